package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/route"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

// TestProbePlan guards against more probes than requests have earned or than the bound
// per second allows, against groups of rare requests without probes, and against other
// zones that are probed without need or often.
func TestProbePlan(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	t.Run("bounds", func(t *testing.T) {
		var p probePlan
		g, sent, requests := probeGroup{"u", "v1"}, 0, 0
		const seconds = 3
		for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(5 * time.Millisecond) {
			for _, o := range p.route(now, g, false) {
				sent += o.ownZone + o.otherZones
			}
			if requests++; sent > probesPerRequest*requests {
				t.Fatalf("got %d probes for %d requests, want at most %d for each", sent, requests, probesPerRequest)
			}
			sent += p.route(now, g, true)[0].ownZone
		}
		if limit := probesPerSecond * seconds; sent > limit {
			t.Errorf("got %d probes in %d s, want at most %d", sent, seconds, limit)
		}
	})
	t.Run("few reports", func(t *testing.T) {
		var p probePlan
		g := probeGroup{"u", "v1"}
		first := p.route(start, g, false)[0].ownZone
		p.unused(first)
		p.chosen(start, g, enoughReports-1, true)
		if got := p.route(start.Add(time.Second), g, false)[0].ownZone; got <= probesPerRequest {
			t.Errorf("got %d probes with too few reports and %d saved, want more than usual", got, first)
		}
	})
	t.Run("rare group", func(t *testing.T) {
		var p probePlan
		rare, often := probeGroup{"rare", "v1"}, probeGroup{"often", "v1"}
		p.route(start, rare, false)
		probes, last := 0, time.Time{}
		for now := start; now.Before(start.Add(2 * groupLifetime)); now = now.Add(100 * time.Millisecond) {
			p.chosen(now, often, enoughReports, true)
			if o := p.route(now, often, false)[1]; o.ownZone > 0 {
				if o.probeGroup != rare {
					t.Fatalf("got probes of %v, want of %v", o.probeGroup, rare)
				}
				probes, last = probes+o.ownZone, now
			}
		}
		if want := groupProbes * int(groupLifetime/(2*groupProbeInterval)); probes < want {
			t.Errorf("got %d probes of a rare group, want at least %d", probes, want)
		}
		if last.After(start.Add(groupLifetime)) {
			t.Errorf("got probes of a group that is no longer used, %v after its last request", last.Sub(start))
		}
	})
	t.Run("other zones", func(t *testing.T) {
		var p probePlan
		g := probeGroup{"u", "v1"}
		p.chosen(start, g, enoughReports, true)
		if got := p.route(start, g, false)[0].otherZones; got != 0 {
			t.Errorf("got %d probes to other zones while the own one has room, want none", got)
		}
		n := 0
		for i := range 100 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			p.chosen(now, g, enoughReports, i > 0)
			n += p.route(now, g, false)[0].otherZones
		}
		if limit := int(otherZonePeriod/otherZoneInterval) + 1; n == 0 || n > limit {
			t.Errorf("got %d probes to other zones, want 1 to %d", n, limit)
		}
	})
	t.Run("many groups", func(t *testing.T) {
		var p probePlan
		for i := range 10 * maxGroups {
			p.route(start.Add(time.Duration(i)*time.Millisecond), probeGroup{"u", string(rune('a' + i))}, false)
		}
		if got := len(p.groups); got != maxGroups {
			t.Errorf("got %d groups, want %d", got, maxGroups)
		}
	})
}

// TestObserveReport guards against own calls that are forgotten, so that all calls of
// an entry go to the instance that was idle at the last report, against reports that are
// used too long, and against reports of a daemon that has restarted.
func TestObserveReport(t *testing.T) {
	l, now := loads{probing: true}, time.Unix(1_800_000_000, 0)
	idle := request.Load{InFlight: 1, Limit: 10}
	l.start("i")
	l.observeReport("i", idle, 5, now)
	for range 3 {
		l.start("i")
	}
	if got, _ := l.Ratio("i", now); got != 0.4 {
		t.Errorf("got a load ratio of %v, want 0.4: the report and the calls since", got)
	}
	inst := &route.Instance{Name: "i", Incarnation: 5}
	if _, ok := l.reportAge(inst, now.Add(probedLifetime)); ok {
		t.Errorf("the report is valid after %v", probedLifetime)
	}
	if age, ok := l.reportAge(inst, now.Add(probedLifetime-1)); !ok || age != probedLifetime-1 {
		t.Errorf("got a report of age %v, %v, want %v", age, ok, probedLifetime-1)
	}
	if _, ok := l.reportAge(&route.Instance{Name: "i", Incarnation: 6}, now); ok {
		t.Error("the report of the earlier incarnation is valid after the restart")
	}
	if !l.observeReport("i", request.Load{InFlight: 9, Limit: 10}, 6, now) {
		t.Error("the report of the new incarnation was dropped")
	}
	if l.observeReport("i", idle, 5, now) {
		t.Error("a late report of the earlier incarnation was taken")
	}
	if got, _ := l.Ratio("i", now); got != 0.9 {
		t.Errorf("got a load ratio of %v, want 0.9 as the new incarnation reports", got)
	}
	if !l.observeReport("i", idle, 5, now.Add(probedLifetime)) {
		t.Error("a daemon whose clock was set back is ignored for ever")
	}
}

// TestFalseReport guards against an instance that is chosen on and on because its host
// reports that it is idle and refuses all calls.
func TestFalseReport(t *testing.T) {
	l, now := loads{probing: true}, time.Unix(1_800_000_000, 0)
	l.start("i")
	refusal := &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonOverload}
	l.finish("i", "r", &request.Answer{Load: request.Load{Limit: 10}}, refusal, now)
	l.observeReport("i", request.Load{Limit: 10}, 1, now)
	if got, _ := l.Ratio("i", now.Add(saturatedPeriod-1)); got < saturatedRatio {
		t.Errorf("got a load ratio of %v after a refusal, want a saturated instance", got)
	}
}

// recordingProber records the names of the instances that are probed.
type recordingProber struct{ names map[string]int }

func (r *recordingProber) Probe(name string, _ netip.AddrPort, _ time.Time) bool {
	r.names[name]++
	return true
}

// TestProbedInstances guards against probes to daemons that cannot answer or whose
// instances must not be used, to the own daemon, and to other zones while the own one has
// room; and against a zone without room whose entries know of no other instance.
func TestProbedInstances(t *testing.T) {
	st := &fold.State{Zones: map[string]fold.Zone{"z2": {Out: true}}}
	st.Config.Upstreams = []config.Upstream{{Name: "u", Versions: []string{"v1"}, Active: "v1"}}
	var members []membership.Member
	add := func(name, zone string, state membership.State) {
		members = append(members, membership.Member{
			Name: name, Zone: zone, Region: "r", Service: "u", Version: "v1", State: state, Peer: netip.MustParseAddrPort("127.0.0.1:1"), UpstreamID: name,
		})
	}
	add("self", "z0", membership.Ready)
	add("near", "z0", membership.Ready)
	add("suspect", "z0", membership.Suspect)
	add("draining", "z0", membership.Draining)
	add("leaver", "z0", membership.Ready)
	add("other", "z1", membership.Ready)
	add("out", "z2", membership.Ready)
	snap := &control.Snapshot{State: st, Table: route.NewTable(st, members, "z0", "r"), Self: membership.Member{Name: "self", Zone: "z0"}}
	e, p := New(fixedView{snap}, nil, WithName("self")), &recordingProber{names: make(map[string]int)}
	e.EnableProbes(p, func() (request.Load, uint64) { return request.Load{InFlight: 3, Limit: 9}, 1 })
	e.leavers.add(&route.Instance{Name: "leaver", UpstreamID: "leaver"}, time.Now())
	now := time.Unix(1_800_000_000, 0)
	route20 := func(zone string) {
		for range 20 {
			now = now.Add(100 * time.Millisecond)
			q := route.Query{Upstream: "u", Version: "v1", Leaving: e.leavers.contains, Now: now}
			e.probe(snap, q, false)
			e.chosen(snap, q, &route.Instance{Name: "near", Zone: zone}, enoughReports)
		}
	}
	route20("z0")
	if len(p.names) != 1 || p.names["near"] == 0 {
		t.Errorf("got probes of %v, want of near only", p.names)
	}
	if ratio, _ := e.loads.Ratio("self", now); ratio != 3.0/9 {
		t.Errorf("got a load ratio of %v of the own instance, want that of its host", ratio)
	}
	p.names = make(map[string]int)
	now = now.Add(time.Second)
	e.probe(snap, route.Query{Upstream: "u", Version: "v1", Exclude: []string{"near"}, Now: now}, true)
	if p.names["near"] != 0 {
		t.Error("an instance that the request has tried was probed for its next attempt")
	}
	p.names = make(map[string]int)
	route20("z1")
	if len(p.names) != 2 || p.names["near"] == 0 || p.names["other"] == 0 {
		t.Errorf("got probes of %v, want of near and other only", p.names)
	}
}

// TestPickReported guards against choices of instances without a report, which look idle,
// while others have one, and against a choice that is confined to too few instances.
func TestPickReported(t *testing.T) {
	st := &fold.State{Zones: make(map[string]fold.Zone)}
	st.Config.Upstreams = []config.Upstream{{Name: "u", Versions: []string{"v1"}, Active: "v1"}}
	var members []membership.Member
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		members = append(members, membership.Member{Name: name, Zone: "z0", Region: "r", Service: "u", Version: "v1", State: membership.Ready, Peer: netip.MustParseAddrPort("127.0.0.1:1")})
	}
	tbl, now := route.NewTable(st, members, "z0", "r"), time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		name   string
		loads  map[string]int // requests in flight of 10, by instance
		choose string         // the instances that may be chosen
	}{
		{"two reports", map[string]int{"a": 5, "b": 6}, "ab"},
		{"one report", map[string]int{"a": 5}, "abcde"},
		{"one of them has room", map[string]int{"a": 5, "b": 10}, "a"},
		{"none of them has room", map[string]int{"a": 10, "b": 10}, "cde"},
	} {
		l := loads{probing: true}
		for name, n := range c.loads {
			l.observeReport(name, request.Load{InFlight: n, Limit: 10}, 1, now)
		}
		chosen := make(map[string]bool)
		for i := range 100 {
			reports, rnd := 0, float64(i)/100
			in, _ := tbl.Pick(route.Query{Upstream: "u", Version: "v1", Now: now, Rnd: [4]float64{0, rnd, rnd, rnd}, ReportAge: l.countReports(&reports)}, &l)
			chosen[in.Name] = true
			if reports != len(c.loads) {
				t.Fatalf("%s: got %d reports, want %d", c.name, reports, len(c.loads))
			}
		}
		got := ""
		for _, m := range members {
			if chosen[m.Name] {
				got += m.Name
			}
		}
		if got != c.choose {
			t.Errorf("%s: got choices of %s, want of %s", c.name, got, c.choose)
		}
	}
}

// TestWaitForReports guards against requests that are held up by lost answers or do not
// wait for those that arrive, and against an instance whose lost answer stops the probes.
func TestWaitForReports(t *testing.T) {
	p := &probes{}
	targets := []*route.Instance{{Name: "a"}, {Name: "b"}}
	b := p.await(targets, 0)
	began := time.Now()
	if b.wait(t.Context()) {
		t.Error("got all answers, want a lost one")
	}
	// A second allows for a busy machine.
	if got := time.Since(began); got < answerWait || got > time.Second {
		t.Errorf("waited for %v, want %v", got, answerWait)
	}
	next := p.await(targets[:1], 0)
	for _, name := range []string{"a", "b", "a", "c"} {
		p.answered(name)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if !next.wait(t.Context()) {
		t.Error("got no answers, want that of a")
	}
	if p.await(targets, 0).wait(ctx) {
		t.Error("a request waits although its caller has left")
	}
	if p.await(nil, 0) != nil {
		t.Error("a request waits although it probed nothing")
	}
}

// TestReportsOfReservedInstance guards against probes that are sent in excess because the
// attempt that follows an abandoned one, for which no instance is chosen anew, counts as
// a choice without reports.
func TestReportsOfReservedInstance(t *testing.T) {
	silent := newUpstream(t, func(net.Conn, *http.Request, []byte) {})
	good := newUpstream(t, echo)
	for i := range 20 {
		m := newMesh(t, meshOptions{}, silent.addr(), good.addr())
		m.entry.EnableProbes(&recordingProber{names: make(map[string]int)}, nil)
		for _, name := range []string{"booking-0", "booking-1"} {
			m.entry.loads.observeReport(name, request.Load{Limit: 100}, 1, time.Now())
		}
		path := fmt.Sprintf("/timely/%d", i)
		if got := m.call(t, http.MethodGet, path, ""); got.status != http.StatusOK {
			t.Fatalf("%s: got %d %s", path, got.status, got.reason())
		}
		if silent.ran(path) == 0 {
			continue
		}
		if got := m.entry.probes.plan.groups[0].reports; got != 2 {
			t.Errorf("got %d reports at the last choice, want 2", got)
		}
		return
	}
	t.Error("the silent instance received no request, so the test does not exercise the fault")
}

// TestReportsOfRankedChoice guards against reports that are counted twice, so that too few
// probes are sent, if Pick is called again because no instance admits the request at first.
func TestReportsOfRankedChoice(t *testing.T) {
	now := time.Now()
	st := &fold.State{Zones: map[string]fold.Zone{"returning": {RampFrom: now.Add(-time.Minute), RampUntil: now.Add(time.Minute)}}}
	st.Config.Upstreams = []config.Upstream{{Name: "u", Versions: []string{"v1"}, Active: "v1"}}
	var members []membership.Member
	for name, zone := range map[string]string{"full": "own", "unknown": "returning"} {
		members = append(members, membership.Member{Name: name, Zone: zone, Region: "r", Service: "u", Version: "v1", State: membership.Ready})
	}
	snap := &control.Snapshot{State: st, Table: route.NewTable(st, members, "own", "r")}
	e := New(fixedView{snap}, nil)
	e.loads.observeReport("full", request.Load{InFlight: 30, Limit: 10, Admits: 1}, 1, now)
	reports := 0
	q := route.Query{Upstream: "u", Version: "v1", Now: now, ReportAge: e.loads.countReports(&reports)}
	// The first call of Pick leaves out the returning zone.
	q.Rnd[0] = 0.9
	in, ok, _ := e.pickRanked(q, &request.Call{}, nil, snap, &reports)
	if !ok || in.Name != "unknown" || reports != 1 {
		t.Errorf("got instance %q and %d reports, want the one in the returning zone and 1", in.Name, reports)
	}
}

// BenchmarkChoice measures the probes and the choice of an entry with 100 instances in
// each of three zones, without the socket.
func BenchmarkChoice(b *testing.B) {
	st := &fold.State{Zones: make(map[string]fold.Zone)}
	var members []membership.Member
	for i := range 300 {
		members = append(members, membership.Member{
			Name: fmt.Sprint("d", i), Zone: fmt.Sprint("z", i%3), Region: "r", Service: "u", Version: "v1", State: membership.Ready,
			Peer: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	snap := &control.Snapshot{State: st, Table: route.NewTable(st, members, "z0", "r"), Self: membership.Member{Name: "d0", Zone: "z0"}}
	for _, probing := range []bool{false, true} {
		b.Run(fmt.Sprint("probing=", probing), func(b *testing.B) {
			e := New(fixedView{snap}, nil, WithName("d0"))
			if probing {
				e.EnableProbes(&recordingProber{names: make(map[string]int)}, func() (request.Load, uint64) { return request.Load{InFlight: 3, Limit: 9}, 1 })
			}
			now := time.Unix(1_800_000_000, 0)
			for b.Loop() {
				now = now.Add(17 * time.Millisecond)
				q, reports := route.Query{Upstream: "u", Version: "v1", Now: now}, 0
				for i := range q.Rnd {
					q.Rnd[i] = rand.Float64()
				}
				if probing {
					q.ReportAge = e.loads.countReports(&reports)
					e.probe(snap, q, false)
					for name := range e.probes.awaited {
						e.ObserveProbe(name, request.Load{InFlight: 3, Limit: 9}, 0, now)
					}
				}
				in, _ := snap.Table.Pick(q, &e.loads)
				if probing {
					e.countChoice(&in, now)
					e.chosen(snap, q, &in, reports)
				}
			}
		})
	}
}
