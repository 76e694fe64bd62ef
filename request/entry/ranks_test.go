package entry

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
	"github.com/kingcuppitch/kingcuppitch/request/dependency"
	"github.com/kingcuppitch/kingcuppitch/request/host"
	"github.com/kingcuppitch/kingcuppitch/request/returns"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

// TestNestedRoutes guards against a request of a caller that is taken for a call of an
// upstream: for the mark of one host, of hosts that disagree, of marks that are old, or
// while the upstream beside the daemon runs nothing that could have made it.
func TestNestedRoutes(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name    string
		observe func(n *nestedRoutes)
		idleAt  time.Duration // when a request arrives beside an idle upstream; zero: never
		after   time.Duration
		want    bool
	}{
		{"unknown", func(*nestedRoutes) {}, 0, 0, false},
		{"twoHosts", func(n *nestedRoutes) {
			n.observe(now, "ledger", "a", true)
			n.observe(now, "ledger", "b", true)
		}, 0, time.Second, true},
		{"oneHost", func(n *nestedRoutes) {
			for range 40 {
				n.observe(now, "ledger", "a", true)
			}
		}, 0, time.Second, false},
		{"disagreement", func(n *nestedRoutes) {
			for i := range 40 {
				n.observe(now, "ledger", fmt.Sprint(i%8), i%8 < 5)
			}
		}, 0, time.Second, false},
		{"oneHostStartedAgain", func(n *nestedRoutes) {
			for i := range 40 {
				n.observe(now, "ledger", fmt.Sprint(i%8), i%8 > 0)
			}
		}, 0, time.Second, true},
		{"old", func(n *nestedRoutes) {
			n.observe(now, "ledger", "a", true)
			n.observe(now, "ledger", "b", true)
		}, 0, nestedReportTime, false},
		{"idleUpstream", func(n *nestedRoutes) {
			for i := range 40 {
				n.observe(now, "ledger", fmt.Sprint(i%8), true)
			}
		}, time.Second, 2 * time.Second, false},
	} {
		var n nestedRoutes
		c.observe(&n)
		if c.idleAt > 0 && n.isNested(now.Add(c.idleAt), "ledger", false) {
			t.Errorf("%s: a call beside an idle upstream counts as nested", c.name)
		}
		if got := n.isNested(now.Add(c.after), "ledger", true); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
		if n.isNested(now.Add(c.after), "invoice", true) {
			t.Errorf("%s: another route counts as nested", c.name)
		}
	}
}

// TestManyNestedRoutes guards against calls of an upstream that lose their precedence
// because requests of many other routes arrive, and against a state that grows without
// bound. Load: 10,000 routes of callers beside one that only upstreams call.
func TestManyNestedRoutes(t *testing.T) {
	now := time.Now()
	var n nestedRoutes
	n.observe(now, "ledger", "a", true)
	n.observe(now, "ledger", "b", true)
	for i := range 10_000 {
		n.observe(now, fmt.Sprint("route", i), "a", false)
	}
	if !n.isNested(now, "ledger", true) {
		t.Error("a call of the upstream does not count as nested")
	}
	if got := len(n.routes); got > maxNestedRoutes {
		t.Errorf("got %d routes, want at most %d", got, maxNestedRoutes)
	}
	later := now.Add(nestedReportTime)
	for i := range maxNestedRoutes + 1 {
		n.observe(later, fmt.Sprint("call", i), "a", true)
	}
	if _, ok := n.routes["ledger"]; ok {
		t.Error("a route without a valid answer was kept")
	}
}

// TestReportedAdmission guards against an instance that is not tried because of a stale
// report, and against one that is tried although it refuses the class.
func TestReportedAdmission(t *testing.T) {
	var l loads
	now := time.Now()
	l.start("i")
	l.finish("i", "r", &request.Answer{Load: request.Load{InFlight: 26, Limit: 13, Mean: 130 * time.Millisecond, Admits: 1}}, nil, now)
	for _, c := range []struct {
		instance string
		k        admittance
		after    time.Duration
		want     bool
	}{
		{"i", admittance{position: 0}, 0, false},
		{"i", admittance{position: 1}, 0, true},
		{"i", admittance{position: 0, precedes: true}, 0, true},
		{"i", admittance{position: 0}, reportLifetime, true},
		{"unknown", admittance{position: 0}, 0, true},
	} {
		got, wait := l.admits(c.instance, c.k, now.Add(c.after))
		if got != c.want {
			t.Errorf("%+v: got %v, want %v", c, got, c.want)
		}
		// 13 requests are served before a new one, 100 in a second.
		if want := 130 * time.Millisecond; !got && (wait < want/2 || wait > 2*want) {
			t.Errorf("got a wait of %v, want about %v", wait, want)
		}
	}
}

// TestRefusedAtEntry guards against a request that waits at, or is sent to, instances that
// all say that they refuse its class, and against a refusal that outlasts their reports or
// that is made while an instance may have room.
func TestRefusedAtEntry(t *testing.T) {
	up := newUpstream(t, echo)
	learner := new(dependency.Learner)
	m := newMesh(t, meshOptions{entry: []Option{WithCallRanks(learner)}}, up.addr(), up.addr())
	full := request.Load{InFlight: 30, Limit: 10, Mean: 100 * time.Millisecond, Admits: 2}
	report := func(load request.Load, instances ...string) {
		for _, name := range instances {
			m.entry.loads.start(name)
			m.entry.loads.finish(name, "slots", &request.Answer{Load: load}, nil, time.Now())
		}
	}
	report(full, "booking-0", "booking-1")
	got := m.call(t, http.MethodGet, "/slots/1", "")
	if got.outcome() != request.NotRun || got.reason() != request.ReasonOverload || got.header.Get("Retry-After") == "" {
		t.Errorf("got %d %s %s, want a refusal for overload", got.status, got.outcome(), got.reason())
	}
	if n := up.ran("/slots/1"); n != 0 {
		t.Errorf("the request arrived %d times", n)
	}
	if n := m.metrics.Get("entry.refusedNotAdmitted"); n != 1 {
		t.Errorf("got %d refusals by the entry, want 1", n)
	}
	report(request.Load{InFlight: 1, Limit: 10}, "booking-1")
	if got := m.call(t, http.MethodGet, "/slots/2", ""); got.status != http.StatusOK {
		t.Errorf("one instance has room: got %d %s", got.status, got.reason())
	}
	report(full, "booking-0", "booking-1")
	time.Sleep(reportLifetime)
	if got := m.call(t, http.MethodGet, "/slots/3", ""); got.status != http.StatusOK {
		t.Errorf("stale reports: got %d %s", got.status, got.reason())
	}
}

// TestRefusedWithoutRun guards against a request that fails although an instance that has
// not refused it could answer, when all instances refuse a part of their requests and so
// count as failing.
func TestRefusedWithoutRun(t *testing.T) {
	refuse := raw("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	headers := request.DefaultHeaders
	headers.NotRun = "Not-Run"
	refused := make(map[string]bool)
	upstream := func(c net.Conn, r *http.Request, body []byte) {
		if !refused[r.URL.Path] {
			refused[r.URL.Path] = true
			refuse(c, r, body)
			return
		}
		echo(c, r, body)
	}
	// One connection at a time is in use, so the map needs no lock.
	up := newUpstream(t, upstream)
	m := newMesh(t, meshOptions{entry: []Option{WithCallRanks(new(dependency.Learner))}, host: headers}, up.addr(), up.addr(), up.addr())
	for i := range 20 {
		// The instances appear to fail half of their requests.
		for _, name := range []string{"booking-0", "booking-1", "booking-2"} {
			m.entry.loads.mu.Lock()
			m.entry.loads.get(name).failureShare, m.entry.loads.get(name).failureShareAt = 0.5, time.Now()
			m.entry.loads.get(name).report, m.entry.loads.get(name).reportUntil = request.Load{InFlight: 8, Limit: 10}, time.Now().Add(time.Second)
			m.entry.loads.mu.Unlock()
		}
		b := m.entry.budget("booking")
		for range 20 {
			b.RequestRanked(time.Now(), 20, 0, 1, 0)
		}
		path := fmt.Sprintf("/timely/%d", i)
		if got := m.call(t, http.MethodGet, path, ""); got.status != http.StatusOK {
			t.Errorf("%s: got %d %s %s", path, got.status, got.outcome(), got.reason())
		}
	}
}

// TestRankCall guards against a nested call that does not get the class of the runs that
// need it, against a request of a caller that does, and against an outcome that is counted
// as a lack of capacity although the called upstream refused at random.
func TestRankCall(t *testing.T) {
	learner := new(dependency.Learner)
	up := newUpstream(t, echo)
	m := newMesh(t, meshOptions{entry: []Option{WithCallRanks(learner)}}, up.addr())
	e, snap := m.entry, m.entry.view.Snapshot()
	for _, name := range []string{"a", "b"} {
		e.observeRanked(&request.Call{Route: "ledger"}, name, &request.Answer{Load: request.Load{Limit: 1, UpstreamsOnly: true}})
	}
	now := time.Now().Add(-time.Second)
	for range 5 {
		learner.StartRun(now, "slots", "urgent", true)
	}
	for i := range 20 {
		at := now.Add(time.Duration(i) * 40 * time.Millisecond)
		learner.StartCall(at, "ledger")
		learner.EndCall(at, "ledger", dependency.CallSucceeded)
	}
	for _, c := range []struct {
		route, class string
		nested       bool
	}{{"ledger", "urgent", true}, {"invoice", "late", false}} {
		// The preset sheds no class but this one.
		snap.State.Config.Presets[0].Shed = []string{"late"}
		snap.State.Schedule = []fold.Activation{{Name: snap.State.Config.Presets[0].Name}}
		call := &request.Call{Route: c.route, Class: "late"}
		tr := &requestTrace{call: call}
		if err := e.rankCall(call, snap, tr); err != nil {
			t.Fatal(err)
		}
		// All runs were repeats.
		if call.Nested != c.nested || call.Repeat != c.nested || call.Class != c.class {
			t.Errorf("%s: got nested %v, repeat %v, class %s; want %v, %v, %s", c.route, call.Nested, call.Repeat, call.Class, c.nested, c.nested, c.class)
		}
	}
	for range 60 {
		learner.StartRun(time.Now(), "slots", "urgent", false)
		learner.StartCall(time.Now(), "ledger")
		learner.StartCall(time.Now(), "ledger")
		learner.EndRun(time.Now(), "slots", "urgent", dependency.RunFailed)
	}
	end := func(reason request.Reason) float64 {
		for range 60 {
			tr := &requestTrace{call: &request.Call{Route: "ledger", Nested: true}}
			e.endRanked(tr, nil, &request.Refusal{Outcome: request.NotRun, Reason: reason})
		}
		time.Sleep(300 * time.Millisecond) // the share is computed four times a second
		return learner.Finishes(time.Now(), "slots")
	}
	if got := end(request.ReasonShed); got != 1 {
		t.Errorf("random refusals: got a share of %v, want 1", got)
	}
	if got := end(request.ReasonOverload); got >= 0.9 {
		t.Errorf("lack of capacity: got a share of %v, want less", got)
	}
}

// TestLimitedByDependency guards against a request that takes a slot although the runs of
// its route cannot finish, and against a refusal that hides why.
func TestLimitedByDependency(t *testing.T) {
	up := newUpstream(t, echo)
	m := newMesh(t, meshOptions{entry: []Option{WithCallRanks(new(dependency.Learner))}}, up.addr())
	shares := &m.entry.ranks.shares
	for i := 30; i >= 0; i-- {
		at := time.Now().Add(-time.Duration(i) * 50 * time.Millisecond)
		for _, name := range []string{"a", "b", "c"} {
			shares.Observe(at, "slots", 0, name, 0.01)
		}
		shares.Admit(at, "slots", 0)
	}
	refused := 0
	for range 100 {
		got := m.call(t, http.MethodGet, "/slots/1", "")
		if got.status == http.StatusOK {
			continue
		}
		refused++
		if got.outcome() != request.NotRun || got.reason() != request.ReasonOverload || got.header.Get("Retry-After") == "" {
			t.Fatalf("got %d %s %s, want a refusal for overload", got.status, got.outcome(), got.reason())
		}
	}
	if refused < 55 || refused > 92 || up.ran("/slots/1") != 100-refused {
		t.Errorf("%d of 100 are refused and %d arrive, want about three quarters and the others", refused, up.ran("/slots/1"))
	}
	if n := m.metrics.Get("entry.refusedDependency"); int(n) != refused {
		t.Errorf("got a count of %d refusals, want %d", n, refused)
	}
}

// TestReturningNotLimited guards against a caller that returns when it was told and is
// refused because the runs of the route cannot finish, and against a
// promise that holds twice. Load: 20 such callers while a quarter of the requests are admitted.
func TestReturningNotLimited(t *testing.T) {
	up := newUpstream(t, echo)
	m := newMesh(t, meshOptions{entry: []Option{WithCallRanks(new(dependency.Learner)), WithReturnTimes()}}, up.addr())
	limit := func() {
		for i := 30; i >= 0; i-- {
			at := time.Now().Add(-time.Duration(i) * 50 * time.Millisecond)
			for _, name := range []string{"a", "b", "c"} {
				m.entry.ranks.shares.Observe(at, "slots", 0, name, 0.01)
			}
			m.entry.ranks.shares.Admit(at, "slots", 0)
		}
	}
	snap := m.entry.view.Snapshot()
	rt, _ := snap.Table.Match("", http.MethodGet, "/slots/1")
	key := returns.Key{Upstream: "booking", Class: rt.Class, Rank: admission.Position(rt.Class, snap.ShedOrder(time.Now()))}
	now := time.Now()
	for range 500 {
		m.entry.returns.Served(now, key, returns.Caller{}, returns.Arrival{})
	}
	served := func() (n int) {
		for i := range 20 {
			if got := m.call(t, http.MethodGet, fmt.Sprintf("/slots/%d", i), ""); got.status == http.StatusOK {
				n++
			}
		}
		return n
	}
	last := now
	for i := range 20 {
		caller := callerOf(&request.Call{Method: http.MethodGet, Path: fmt.Sprintf("/slots/%d", i)})
		at, promised := m.entry.returns.Refuse(now, key, caller, returns.Refusal{Deadline: now.Add(time.Minute)})
		if !promised || at.Sub(now) > time.Second/2 {
			t.Fatalf("got promise %v after %v", promised, at.Sub(now))
		}
		last = at
	}
	limit()
	time.Sleep(time.Until(last))
	if got := served(); got != 20 {
		t.Errorf("got %d of 20 returning callers served", got)
	}
	if got := served(); got == 20 {
		t.Error("all new requests are served, want a quarter")
	}
}

// TestNestedCallsFound guards against calls of an upstream that no entry recognises, and
// against requests of callers that count as such, over the wire. Load: callers read slots
// at the daemons of two services, and only the upstream of one of them reads /timely.
func TestNestedCallsFound(t *testing.T) {
	learner := new(dependency.Learner)
	headers := request.DefaultHeaders
	headers.ID, headers.CallerNamesID, headers.CallerService = request.HeaderUpstreamRequest, true, "Caller-Service"
	up := newUpstream(t, echo)
	m := newMesh(t, meshOptions{entry: []Option{WithCallRanks(learner), WithHeaders(headers)}, host: headers}, up.addr(), up.addr())
	for _, h := range m.hosts {
		host.WithCallRanks(new(dependency.Learner))(h.Config.Handler.(*host.Host))
	}
	get := func(path string) (nested int64) {
		before := m.metrics.Get("entry.nestedCalls")
		if got := m.call(t, http.MethodGet, path, ""); got.status != http.StatusOK {
			t.Fatalf("got %d %s", got.status, got.reason())
		}
		return m.metrics.Get("entry.nestedCalls") - before
	}
	learner.StartRun(time.Now(), "look", "browse", false)
	found := int64(0)
	for i := range 300 {
		m.entry.SetService([]string{"scoring", "dossiers"}[i%2])
		if get("/slots/1") != 0 {
			t.Fatal("a request of a caller counts as nested")
		}
		m.entry.SetService("scoring")
		found += get("/timely/1")
	}
	if found < 100 {
		t.Errorf("%d of 300 calls of the upstream are recognised, want at least the last 100", found)
	}
}
