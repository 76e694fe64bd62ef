package control

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/metrics"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/move"
	"github.com/kingcuppitch/kingcuppitch/version/record"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

const testWithin = 20 * time.Second

// announcedConfig returns a configuration whose instances announce their versions.
func announcedConfig() *config.Config {
	return &config.Config{
		Zones:     []config.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Upstreams: []config.Upstream{{Name: "booking", Announced: true, Connections: 120}},
		Routes:    []config.Route{{Name: "r", Prefix: "/", Upstream: "booking", Class: "c", AnswerWithin: config.Duration(time.Second)}},
		Presets:   []config.Preset{{Name: "p", CanaryPercent: 10}},
	}
}

func timedRecords(t *testing.T) []log.Entry {
	t.Helper()
	return []log.Entry{
		entryOf(t, 1, record.Record{ID: "c", Kind: record.KindReplace, Replace: announcedConfig()}),
		entryOf(t, 2, record.Record{ID: "m", Kind: record.KindMove, Move: &record.Move{
			Upstream: "booking", To: "v2", Within: config.Duration(testWithin), Replaces: true,
		}}),
	}
}

// platformCore returns a core configured as on the platform: outcomes, a compacted
// log and one reader per zone.
func platformCore(name, zone string) *core {
	c := testCore(name, zone)
	c.hasOutcomes, c.compacted, c.readers, c.applyWithin = true, true, 1, compactedApplyWithin
	return c
}

// startTimed starts a timed move that the core learns of at the given time.
func startTimed(t *testing.T, c *core, now time.Time) {
	t.Helper()
	c.handle(recordsArrived{entries: timedRecords(t), first: 1, next: 3, asked: now}, now, 0)
	if !c.serving {
		t.Fatal("the daemon is not serving")
	}
}

// TestMoveTime guards against a move that starts anew on a daemon that learns of it
// late, and against one that ends early because the wall clock jumps.
func TestMoveTime(t *testing.T) {
	first, late := platformCore("d1", "a"), platformCore("d2", "b")
	startTimed(t, first, epoch)
	startTimed(t, late, epoch.Add(10*time.Second))
	now := epoch.Add(11 * time.Second)
	reply, _ := first.handle(exchangeReceived{&wirev1.ExchangeRequest{From: toWire(late.table.Self()), Digests: digestsToWire(late.table.Digests())}}, now, 0)
	late.handle(exchangeDone{to: first.table.Self(), res: reply.(*wirev1.ExchangeResponse), asked: now}, now, 0)
	m, ok := late.state.RunningMove(2)
	if !ok || m.StartAt.Sub(epoch).Abs() > time.Second || !m.DoneBy.Equal(m.StartAt.Add(testWithin)) {
		t.Errorf("got a move from %v to %v, want from about %v", m.StartAt, m.DoneBy, epoch)
	}
}

// TestMoveEnds guards against a move with two ends: the first known end is final,
// and a daemon that would decide otherwise adopts it.
func TestMoveEnds(t *testing.T) {
	c := platformCore("d1", "a")
	startTimed(t, c, epoch)
	c.handle(moveReported{Report{Move: 2, Upstream: "booking", To: "v2", State: fold.MoveDone}}, epoch, 0)
	c.handle(moveReported{Report{Move: 2, Upstream: "booking", To: "v2", State: fold.MoveTakenBack}}, epoch, 0)
	if u, _ := c.state.Config.Upstream("booking"); u.Active != "v2" {
		t.Errorf("got active version %q, want v2", u.Active)
	}
	// The next configuration does not name a version.
	c.handle(recordsArrived{entries: []log.Entry{entryOf(t, 3, record.Record{ID: "c2", Kind: record.KindReplace, Replace: announcedConfig()})}, first: 1, next: 4, asked: epoch}, epoch, 0)
	if u, _ := c.state.Config.Upstream("booking"); u.Active != "v2" {
		t.Errorf("after a configuration: got active version %q, want v2", u.Active)
	}
	peer := platformCore("d2", "b")
	startTimed(t, peer, epoch)
	reply, _ := c.handle(exchangeReceived{&wirev1.ExchangeRequest{From: toWire(peer.table.Self()), Digests: digestsToWire(peer.table.Digests())}}, epoch, 0)
	peer.handle(exchangeDone{to: c.table.Self(), res: reply.(*wirev1.ExchangeResponse), asked: epoch}, epoch, 0)
	if u, _ := peer.state.Config.Upstream("booking"); u.Active != "v2" {
		t.Errorf("a peer has active version %q, want v2", u.Active)
	}
}

// TestStartReadsReports guards against a daemon that starts after the end of a move
// and sends requests to the version that was taken back.
func TestStartReadsReports(t *testing.T) {
	snapshot := listingOf(retained(timedRecords(t)...), 2)
	c := platformCore("d1", "a")
	_, actions := c.handle(recordsArrived{entries: []log.Entry{snapshot}, first: 1, next: 3, asked: epoch}, epoch, 0)
	if c.serving || len(find[readReports](actions)) != 1 {
		t.Fatalf("serving %v before the reports are read, actions %v", c.serving, actions)
	}
	c.handle(reportsRead{[]Report{{Move: 2, Upstream: "booking", To: "v2", State: fold.MoveTakenBack, Reason: "errors"}}}, epoch, 0)
	if !c.serving || !c.state.IsWithdrawn("booking", "v2") {
		t.Errorf("serving %v, version v2 withdrawn %v, want both", c.serving, c.state.IsWithdrawn("booking", "v2"))
	}
}

// TestReportOfUnknownMove guards against a stored report of another writer that ends a
// move which is ordered later.
func TestReportOfUnknownMove(t *testing.T) {
	c := platformCore("d1", "a")
	records := timedRecords(t)
	c.handle(recordsArrived{entries: records[:1], first: 1, next: 2, asked: epoch}, epoch, 0)
	c.handle(reportsRead{[]Report{{Move: 2, Upstream: "booking", To: "v2", State: fold.MoveDone}}}, epoch, 0)
	c.handle(recordsArrived{entries: records[1:], first: 1, next: 3, asked: epoch}, epoch, 0)
	if _, ok := c.state.RunningMove(2); !ok {
		t.Error("the move has ended, want running")
	}
}

// TestReportOnce guards against every daemon writing the same report, and against a
// report that no daemon writes because the one due to write it cannot reach the
// log.
func TestReportOnce(t *testing.T) {
	names := []string{"d1", "d2", "d3"}
	var cores []*core
	for i, zone := range []string{"a", "b", "c"} {
		c := platformCore(names[i], zone)
		for j, other := range []string{"a", "b", "c"} {
			if j != i {
				c.table.Merge(epoch, []membership.Member{testMember(names[j], other)})
			}
		}
		startTimed(t, c, epoch)
		cores = append(cores, c)
	}
	reports := func(from, to time.Duration, out *core) (list []Report) {
		for at := from; at < to; at += 250 * time.Millisecond {
			for _, c := range cores {
				if c == out {
					c.handle(logFailed{errors.New("outage")}, epoch.Add(at), 0)
				}
				_, actions := c.handle(tick{}, epoch.Add(at), 0)
				for _, a := range find[reportMove](actions) {
					list = append(list, a.report)
					if c != out {
						for _, peer := range cores {
							peer.handle(moveReported(a), epoch.Add(at), 0)
						}
					}
				}
			}
		}
		return list
	}
	if got := reports(0, 3*time.Second, nil); len(got) != 1 || got[0].State != fold.MoveRunning {
		t.Errorf("got reports %+v, want one of the running move", got)
	}
	// The daemon due to report loses the log, and all daemons receive the verdict.
	var turn *core
	for _, c := range cores {
		if c.table.ZoneOrder("end") == 0 {
			turn = c
		}
		c.mergeDecisions(epoch.Add(3*time.Second), 0, &wirev1.ExchangeRequest{Verdicts: []*wirev1.Verdict{{Move: 2, Reason: "errors"}}})
	}
	if got := reports(3*time.Second, 6*time.Second, turn); len(got) != 1 || got[0].State != fold.MoveTakenBack || !strings.Contains(got[0].Reason, "errors") {
		t.Errorf("got reports %+v, want one of the move taken back", got)
	}
}

// TestReaderHandOver guards against a zone without a reader while the log refuses
// its reader but not the other daemons.
func TestReaderHandOver(t *testing.T) {
	a, b := platformCore("d1", "a"), platformCore("d2", "a")
	a.table.Merge(epoch, []membership.Member{b.table.Self()})
	b.table.Merge(epoch, []membership.Member{a.table.Self()})
	reader, other := a, b
	if b.isReader() {
		reader, other = b, a
	}
	if !reader.isReader() || other.isReader() {
		t.Fatalf("readers: %v and %v, want one", a.isReader(), b.isReader())
	}
	_, actions := reader.handle(logFailed{errors.New("status 503")}, epoch, 0)
	sent := find[sendExchange](actions)
	if len(sent) != 1 {
		t.Fatalf("got actions %v, want one exchange with the other daemon", actions)
	}
	other.handle(exchangeReceived{sent[0].req}, epoch, 0)
	if !other.isReader() {
		t.Error("the other daemon has not become a reader")
	}
	if !reader.isReader() {
		t.Error("the first daemon is no longer a reader, so it will not retry")
	}
}

// TestLargeRecords guards against sending a large record to peers that already have
// it, and against a peer that never gets it after a refused fetch.
func TestLargeRecords(t *testing.T) {
	a, b := testCore("d1", "a"), testCore("d2", "a")
	a.table.Merge(epoch, []membership.Member{b.table.Self()})
	cfg := announcedConfig()
	for i := range 200 {
		r := cfg.Routes[0]
		r.Name, r.Prefix = "r"+strings.Repeat("x", i%50)+string(rune('a'+i/50)), "/"+strings.Repeat("y", i+1)
		cfg.Routes = append(cfg.Routes, r)
	}
	large := entryOf(t, 1, record.Record{ID: "c", Kind: record.KindReplace, Replace: cfg})
	_, actions := a.handle(recordsArrived{entries: []log.Entry{large}, first: 1, next: 2, asked: epoch}, epoch, 0)
	if n := len(find[sendPush](actions)); n != 0 || len(find[sendExchange](actions)) != 1 {
		t.Fatalf("got %d pushes, actions %v", n, actions)
	}
	notice := find[sendExchange](actions)[0].req
	for range 2 {
		// The second notice comes from another peer.
		_, actions = b.handle(exchangeReceived{notice}, epoch, 0)
	}
	if n := len(find[sendFetch](actions)); n != 0 {
		t.Errorf("%d fetches for the second notice, want none", n)
	}
	b.table.Merge(epoch, []membership.Member{testMember("d3", "a")})
	for i := range 5 {
		_, actions = b.handle(fetchFailed{to: a.table.Self(), upTo: position{offset: 1}}, epoch, float64(i)/5)
		if got := find[sendFetch](actions); len(got) != 1 || got[0].to.Name != "d3" {
			t.Errorf("got actions %v after a fetch that failed, want one from another peer", actions)
		}
	}
}

// TestJudges guards against a fleet in which no daemon holds the counters of all
// hosts while a timed move runs.
func TestJudges(t *testing.T) {
	const daemons = 66
	zones := []string{"a", "b", "c", "d"}
	cores := make(map[string]*core)
	var members []membership.Member
	for i := range daemons {
		members = append(members, testMember(fmt.Sprint("d", i), zones[i%len(zones)]))
	}
	for _, m := range members {
		c := newCore(m, new(metrics.Set), &timeline.Timeline{Name: m.Name, Zone: m.Zone})
		c.hasOutcomes, c.compacted = true, true
		c.table.Merge(epoch, members)
		startTimed(t, c, epoch)
		cores[m.Name] = c
	}
	sent := 0
	for name, c := range cores {
		k := move.Key{Move: 2, Instance: name, Incarnation: 1, Route: "r", Version: "v1", Window: 1}
		_, actions := c.handle(countersMeasured{map[move.Key]move.Counters{k: {Requests: 1}}}, epoch, 0)
		for _, a := range find[sendExchange](actions) {
			sent++
			cores[a.to.Name].handle(exchangeReceived{a.req}, epoch, 0)
		}
	}
	holding := 0
	for _, c := range cores {
		n := 0
		for range c.decisions.evidence.All() {
			n++
		}
		if n == daemons {
			holding++
		}
	}
	if holding != maxJudges || sent > daemons*maxJudges {
		t.Errorf("%d daemons hold all counters after %d messages, want %d and at most %d", holding, sent, maxJudges, daemons*maxJudges)
	}
	// A host follows the schedule of the move, also between two reports, unless a
	// judge holds the move or no judge responds.
	host, judge := cores["d0"], cores[cores["d0"].judges()[0].Name]
	if host.isJudge() {
		host = cores["d1"]
	}
	respond := func(now time.Time, share float64) {
		judge.decisions.progress[2].ownShare = share
		reply, _ := judge.handle(exchangeReceived{&wirev1.ExchangeRequest{From: toWire(host.table.Self()), Judge: true}}, now, 0)
		host.handle(exchangeDone{to: judge.table.Self(), res: reply.(*wirev1.ExchangeResponse), asked: now}, now, 0)
	}
	check := func(now time.Time, want float64) {
		t.Helper()
		m, _ := host.state.RunningMove(2)
		if got := host.timedShares(m, now).share; got != want {
			t.Errorf("got share %v at %v, want %v", got, now.Sub(epoch), want)
		}
	}
	at := func(part float64) time.Time { return epoch.Add(time.Duration(part * float64(testWithin))) }
	respond(at(0.59), 0.25)
	check(at(0.59), 0.25)
	check(at(0.61), 0.5)
	check(at(0.71), move.FirstShare)
	// A response from before the end of the pause does not cover the last stage.
	respond(at(0.77), move.FirstShare)
	check(at(0.84), move.FirstShare)
	respond(at(0.8), move.FirstShare)
	check(at(0.84), 1)
	respond(at(0.84), move.FirstShare) // The judge has not decided again.
	check(at(0.84), 1)
	respond(at(0.86), move.FirstShare)
	check(at(0.86), move.FirstShare)
	respond(at(0.87), 1) // The response of the other judge.
	check(at(0.87), move.FirstShare)
	check(at(0.87).Add(2*judgementTTL), move.FirstShare)
	// A judge applies the other judge's hold, but does not report it as its own
	// share.
	other := cores[cores["d0"].judges()[1].Name]
	host = other
	respond(at(0.86), move.FirstShare)
	m, _ := other.state.RunningMove(2)
	if got := other.timedShares(m, at(0.87)).share; got != move.FirstShare {
		t.Errorf("got share %v on a judge while the other judge holds the move", got)
	}
	other.decisions.progress[2].ownShare = 1
	if got := other.judgement(at(0.87)); len(got) != 1 || got[0].GetShare() != 1 {
		t.Errorf("got %v from a judge without evidence against the move, want its own share", got)
	}
}

// TestDoneOnAgreement guards against a judge that declares a move done while the
// other judge holds it.
func TestDoneOnAgreement(t *testing.T) {
	c := platformCore("d1", "a")
	startTimed(t, c, epoch)
	for w := int64(1); w <= 17; w++ {
		for _, version := range []string{"v1", "v2"} {
			k := move.Key{Move: 2, Instance: version, Incarnation: 1, Route: "r", Version: version, Window: w}
			c.decisions.evidence.Merge(k, move.Counters{Requests: 20})
		}
	}
	now := epoch.Add(testWithin * 89 / 100)
	p := c.decisions.progressOf(2, epoch)
	p.reported = fold.MoveRunning
	done := func(heldUntil time.Time) int {
		p.heldUntil = heldUntil
		c.actions = nil
		delete(c.decisions.reportAfter, 2)
		c.reportMoves(now)
		return len(find[reportMove](c.actions))
	}
	if got := done(now.Add(time.Second)); got != 0 {
		t.Error("the move is reported as done while the other judge holds it")
	}
	if got := done(now); got != 1 {
		t.Errorf("got %d reports of a move that is done, want 1", got)
	}
}

// TestReportsToJudges guards against losing counters with a report that does not
// reach a judge.
func TestReportsToJudges(t *testing.T) {
	host := platformCore("d3", "c")
	host.table.Merge(epoch, []membership.Member{testMember("d1", "a"), testMember("d2", "b")})
	startTimed(t, host, epoch)
	report := func(window int64) map[string][]int64 {
		k := move.Key{Move: 2, Instance: "d3", Incarnation: 1, Route: "r", Version: "v2", Window: window}
		_, actions := host.handle(countersMeasured{map[move.Key]move.Counters{k: {Requests: 1}}}, epoch, 0)
		windows := make(map[string][]int64)
		for _, a := range find[sendExchange](actions) {
			for _, n := range a.req.GetCounters() {
				windows[a.to.Name] = append(windows[a.to.Name], n.GetWindow())
			}
			if window == 1 && a.to.Name == "d1" || window == 2 {
				host.handle(countersUndelivered{a.to.Name, a.req.GetCounters()}, epoch, 0)
			}
		}
		return windows
	}
	for i, want := range []map[string][]int64{
		{"d1": {1}, "d2": {1}},
		{"d1": {1, 2}, "d2": {2}},
		{"d1": {1, 2, 3}, "d2": {2, 3}},
		{"d1": {4}, "d2": {4}},
	} {
		if got := report(int64(i + 1)); !reflect.DeepEqual(got, want) {
			t.Errorf("report %d: got windows %v, want %v", i+1, got, want)
		}
	}
	var many []*wirev1.MoveCounters
	for range 2 * maxUndelivered {
		many = append(many, &wirev1.MoveCounters{Move: 2})
	}
	host.handle(countersUndelivered{"d1", many}, epoch, 0)
	if got := len(host.decisions.undelivered["d1"]); got != maxUndelivered {
		t.Errorf("got %d counters kept for a judge, want %d", got, maxUndelivered)
	}
}
