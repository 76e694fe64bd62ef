package route

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/internal/trace"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/record"
)

var (
	epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	zones = []string{"a", "b", "c"}
)

const (
	perZone     = 8
	slots       = 10
	coldSlots   = 2
	serviceTime = 150 * time.Millisecond
	entries     = 3
)

func testState() *fold.State {
	st := &fold.State{Zones: make(map[string]fold.Zone)}
	st.Config = config.Config{
		Upstreams: []config.Upstream{{Name: "catalogue", Versions: []string{"v1", "v2"}, Active: "v1", Slots: slots, ColdSlots: coldSlots, Connections: 130}},
		Routes: []config.Route{
			{Name: "all", Prefix: "/", Upstream: "catalogue"},
			{Name: "stock", Prefix: "/stock", Methods: []string{"GET"}, Upstream: "catalogue"},
			{Name: "stockWrite", Prefix: "/stock", Upstream: "catalogue"},
			{Name: "stockDetail", Prefix: "/stock/detail", Methods: []string{"GET"}, Upstream: "catalogue"},
		},
	}
	for _, z := range zones {
		st.Config.Zones = append(st.Config.Zones, config.Zone{Name: z, Region: "r"})
	}
	return st
}

func testMembers() []membership.Member {
	var list []membership.Member
	for _, z := range zones {
		for i := range perZone {
			list = append(list, membership.Member{
				Name: fmt.Sprint(z, i), Zone: z, Region: "r", Service: "catalogue", Version: "v1", State: membership.Ready,
				Peer: netip.MustParseAddrPort("127.0.0.1:1"),
			})
		}
	}
	return list
}

// TestMatch guards against a route that shadows a more specific one.
func TestMatch(t *testing.T) {
	tbl := NewTable(testState(), nil, "a", "r")
	for _, c := range []struct{ method, path, want string }{
		{"GET", "/stock/detail/1", "stockDetail"},
		{"POST", "/stock/detail/1", "stockWrite"},
		{"GET", "/stock", "stock"},
		{"POST", "/stock", "stockWrite"},
		{"GET", "/price", "all"},
	} {
		if got, ok := tbl.Match("", c.method, c.path); !ok || got.Name != c.want {
			t.Errorf("%s %s: got %q, want %q", c.method, c.path, got.Name, c.want)
		}
	}
}

// TestVersion guards against traffic to a version that has no instance, and
// against a version choice that does not follow the share.
func TestVersion(t *testing.T) {
	st := testState()
	st.Moves = []fold.Move{{ID: 7, Move: record.Move{Upstream: "catalogue", From: "v1", To: "v2"}, State: fold.MoveRunning}}
	share := func(fold.Move) float64 { return 0.25 }
	members := testMembers()
	if got := NewTable(st, members, "a", "r").Version("catalogue", share, 0.1); got != "v1" {
		t.Errorf("no instance of v2: got %q, want v1", got)
	}
	members[0].Version = "v2"
	tbl := NewTable(st, members, "a", "r")
	for rnd, want := range map[float64]string{0: "v2", 0.249: "v2", 0.25: "v1", 0.9: "v1"} {
		if got := tbl.Version("catalogue", share, rnd); got != want {
			t.Errorf("random number %v: got %q, want %q", rnd, got, want)
		}
	}
	st.Zones["a"] = fold.Zone{Out: true}
	if got := NewTable(st, members, "b", "r").Version("catalogue", share, 0.1); got != "v1" {
		t.Errorf("v2 only in a zone that is out: got %q, want v1", got)
	}
}

type traceEvent struct {
	AtMs   int64  `json:"atMs"`
	Rate   int    `json:"rate"`
	Zone   string `json:"zone"`
	Out    bool   `json:"out"`
	RampMs int64  `json:"rampMs"`
}

// upstream models one instance. It runs requests up to its limit, which grows
// after a cold start, and refuses further ones.
type upstream struct {
	running []time.Time // end times of running requests
	limit   float64
}

func (u *upstream) advance(now time.Time) {
	for len(u.running) > 0 && !u.running[0].After(now) {
		u.running = u.running[1:]
		u.limit = min(slots, u.limit+1/u.limit)
	}
}

// replay counts the results of the requests of a trace.
type replay struct {
	state     *fold.State
	instances map[string]*upstream
	tables    [entries]*Table
	now       time.Time

	requests, refused, toOutOfService int
}

// Ratio implements Loads.
func (r *replay) Ratio(name string, _ time.Time) (float64, bool) {
	u := r.instances[name]
	u.advance(r.now)
	return float64(len(u.running)) / u.limit, false
}

// Slowness implements Loads.
func (r *replay) Slowness(string, time.Time) float64 { return 0 }

func draw(rnd *rand.Rand) (out [1 + pickChoices]float64) {
	for i := range out {
		out[i] = rnd.Float64()
	}
	return out
}

func (r *replay) send(name string) bool {
	u := r.instances[name]
	u.advance(r.now)
	if len(u.running) >= int(u.limit) {
		return false
	}
	u.running = append(u.running, r.now.Add(serviceTime))
	return true
}

func (r *replay) apply(ev traceEvent) {
	if ev.Zone == "" {
		return
	}
	r.state = r.state.Clone()
	if ev.Out {
		r.state.Zones[ev.Zone] = fold.Zone{Out: true}
	} else {
		r.state.Zones[ev.Zone] = fold.Zone{RampFrom: r.now, RampUntil: r.now.Add(time.Duration(ev.RampMs) * time.Millisecond)}
		for i := range perZone {
			r.instances[fmt.Sprint(ev.Zone, i)].limit = coldSlots
		}
	}
	for i := range r.tables {
		r.tables[i] = NewTable(r.state, testMembers(), zones[i], "r")
	}
}

// run replays the trace. pick chooses an instance for the entry of a zone; its
// argument tried lists the instances of earlier attempts.
func run(trace []traceEvent, rnd *rand.Rand, pick func(r *replay, entry int, tried []string) (string, bool)) *replay {
	r := &replay{state: testState(), instances: make(map[string]*upstream), now: epoch}
	for _, m := range testMembers() {
		r.instances[m.Name] = &upstream{limit: slots}
	}
	for i := range r.tables {
		r.tables[i] = NewTable(r.state, testMembers(), zones[i], "r")
	}
	rate := 0
	for i, ev := range trace {
		r.now = epoch.Add(time.Duration(ev.AtMs) * time.Millisecond)
		r.apply(ev)
		if ev.Rate > 0 {
			rate = ev.Rate
		}
		if i+1 == len(trace) {
			break
		}
		end := epoch.Add(time.Duration(trace[i+1].AtMs) * time.Millisecond)
		for {
			r.now = r.now.Add(time.Duration(rnd.ExpFloat64() / float64(rate) * float64(time.Second)))
			if !r.now.Before(end) {
				break
			}
			r.request(rnd.IntN(entries), pick)
		}
	}
	return r
}

func (r *replay) request(entry int, pick func(r *replay, entry int, tried []string) (string, bool)) {
	r.requests++
	var tried []string
	for range 2 {
		name, ok := pick(r, entry, tried)
		if !ok {
			break
		}
		if r.state.Zones[name[:1]].Out {
			r.toOutOfService++
		}
		if r.send(name) {
			return
		}
		tried = append(tried, name)
	}
	r.refused++
}

// TestZoneLeavesAndReturns guards against requests to a zone that is out, against
// overloading the remaining zones, and against sending a returning zone more than
// its cold instances can handle. The naive policy is round robin. The traces load
// two zones to at most 85 percent, where a loss system of 160 slots (Erlang B)
// refuses less than one request in 300.
func TestZoneLeavesAndReturns(t *testing.T) {
	files, err := filepath.Glob("testdata/zone*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("traces: got %d files, error %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			trace := trace.Read[traceEvent](t, file)
			rnd := rand.New(rand.NewPCG(1, 5))
			own := run(trace, rand.New(rand.NewPCG(1, 6)), func(r *replay, entry int, tried []string) (string, bool) {
				in, ok := r.tables[entry].Pick(Query{
					Upstream: "catalogue", Version: "v1", Exclude: tried, Now: r.now,
					Rnd: draw(rnd),
				}, r)
				return in.Name, ok
			})
			turn := 0
			all := testMembers()
			naive := run(trace, rand.New(rand.NewPCG(1, 6)), func(r *replay, _ int, _ []string) (string, bool) {
				for range all {
					turn++
					if m := all[turn%len(all)]; !r.state.Zones[m.Zone].Out {
						return m.Name, true
					}
				}
				return "", false
			})
			ownRate := 1 - float64(own.refused)/float64(own.requests)
			naiveRate := 1 - float64(naive.refused)/float64(naive.requests)
			t.Logf("success: naive %.5f, own %.5f of %d requests", naiveRate, ownRate, own.requests)
			if own.toOutOfService != 0 {
				t.Errorf("requests to a zone that is out: got %d, want 0", own.toOutOfService)
			}
			if ownRate < 0.999 {
				t.Errorf("success rate: got %.5f, want at least 0.999 where the zones in service have the capacity", ownRate)
			}
			if ownRate <= naiveRate {
				t.Errorf("success rate: got %.5f, want more than the naive %.5f", ownRate, naiveRate)
			}
		})
	}
}

// noLoads reports no load.
type noLoads struct{ failing map[string]bool }

// Ratio implements Loads.
func (n noLoads) Ratio(name string, _ time.Time) (float64, bool) { return 0, n.failing[name] }

// Slowness implements Loads.
func (n noLoads) Slowness(string, time.Time) float64 { return 0 }

// TestPickAvoids guards against picking instances that were already tried, that
// fail, whose daemon is suspect or leaving, or that run another version.
func TestPickAvoids(t *testing.T) {
	members := testMembers()
	members[0].State = membership.Suspect
	members[1].State = membership.Draining
	members[2].State = membership.Leaving
	members[3].Version = "v2"
	tbl := NewTable(testState(), members, "a", "r")
	loads := noLoads{failing: map[string]bool{"a4": true, "a5": true}}
	rnd := rand.New(rand.NewPCG(1, 7))
	for range 500 {
		in, ok := tbl.Pick(Query{
			Upstream: "catalogue", Version: "v1", Exclude: []string{"a6"}, Now: epoch,
			Rnd: draw(rnd),
		}, loads)
		if !ok || in.Name != "a7" {
			t.Fatalf("pick: got %q, %t, want a7, the only healthy instance of the own zone", in.Name, ok)
		}
	}
}

// BenchmarkPick measures the choice among 24 instances in three zones.
func BenchmarkPick(b *testing.B) {
	tbl := NewTable(testState(), testMembers(), "a", "r")
	rnd := rand.New(rand.NewPCG(1, 8))
	for range b.N {
		tbl.Pick(Query{Upstream: "catalogue", Version: "v1", Now: epoch, Rnd: draw(rnd)}, noLoads{})
	}
}

// zoneLoads holds load ratios by zone, the first letter of an instance's name.
type zoneLoads map[byte]float64

func (z zoneLoads) Ratio(name string, _ time.Time) (float64, bool) { return z[name[0]], false }
func (z zoneLoads) Slowness(string, time.Time) float64             { return 0 }

// TestStaysInZone guards against bodies that are sent between zones to avoid a
// short wait, and against a request that waits longer than WaitRatio allows.
func TestStaysInZone(t *testing.T) {
	tbl := NewTable(testState(), testMembers(), "a", "r")
	rnd := rand.New(rand.NewPCG(1, 9))
	for _, c := range []struct {
		own, other, wait float64
		stays            bool
	}{
		{0.8, 0, 0, true}, {0.95, 0, 0, false},
		{0.95, 0, 0.3, true}, {1.25, 0, 0.3, true}, {1.35, 0, 0.3, false},
		{1.35, 0.95, 0.3, true}, // the other zones are saturated too, with queues as long
	} {
		loads := zoneLoads{'a': c.own, 'b': c.other, 'c': c.other}
		if c.other >= SaturatedRatio {
			loads['b'], loads['c'] = 1.4, 1.4
		}
		for range 50 {
			in, ok := tbl.Pick(Query{Upstream: "catalogue", Version: "v1", Now: epoch, WaitRatio: c.wait, Rnd: draw(rnd)}, loads)
			if !ok || (in.Zone == "a") != c.stays {
				t.Errorf("own zone %v, others %v, wait ratio %v: got %s, want own zone %v", c.own, c.other, c.wait, in.Name, c.stays)
				break
			}
		}
	}
}

// nameLoads holds load ratios by instance.
type nameLoads map[string]float64

func (l nameLoads) Ratio(name string, _ time.Time) (float64, bool) { return l[name], false }
func (nameLoads) Slowness(string, time.Time) float64               { return 0 }

// TestTrialLoad guards against a fault under load that stays hidden during a
// trial because its small share is spread over all instances of the new version,
// as with 4 percent of the requests on 14 instances in each zone. All daemons
// must select the same instances.
func TestTrialLoad(t *testing.T) {
	const perZone = 14
	var members []membership.Member
	for _, zone := range []string{"a", "b", "c"} {
		for i := range perZone {
			members = append(members, membership.Member{
				Name: fmt.Sprint(zone, i), Region: "r", Zone: zone, Service: "catalogue", Version: "v2", State: membership.Ready,
			})
		}
	}
	st := testState()
	st.Moves = []fold.Move{{ID: 7, State: fold.MoveRunning, Move: record.Move{Upstream: "catalogue", To: "v2"}}}
	tables := []*Table{NewTable(st, members, "a", "r")}
	slices.Reverse(members)
	tables = append(tables, NewTable(st, members, "a", "r"))
	rnd := rand.New(rand.NewPCG(1, 10))
	for _, c := range []struct {
		share float64
		want  int
	}{{0.04, 1}, {0.1, 2}, {0.25, 4}, {0.5, 8}, {1, perZone}, {0, perZone}} {
		loads, used := make(nameLoads), make(map[string]bool)
		pick := func(want string, n int) {
			t.Helper()
			clear(used)
			for i := range 2000 {
				in, ok := tables[i%2].Pick(Query{Upstream: "catalogue", Version: "v2", Now: epoch, TrialShare: c.share, Rnd: draw(rnd)}, loads)
				if !ok || in.Zone != want {
					t.Fatalf("share %v: got %q, want an instance of zone %s", c.share, in.Name, want)
				}
				used[in.Name] = true
			}
			if len(used) != n {
				t.Errorf("share %v: %d instances of zone %s received requests, want %d", c.share, len(used), want, n)
			}
		}
		pick("a", c.want)
		// When the trial instances are full, those of the next zones are used,
		// then all others.
		for name := range used {
			loads[name] = 1
		}
		if c.want == perZone {
			continue
		}
		for _, zone := range []string{"b", "c"} {
			for i := range perZone {
				loads[fmt.Sprint(zone, i)] = 1
			}
		}
		pick("a", perZone-c.want)
	}
}
