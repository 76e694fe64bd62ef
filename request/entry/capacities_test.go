package entry

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
	"github.com/kingcuppitch/kingcuppitch/request/host"
	"github.com/kingcuppitch/kingcuppitch/request/route"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

// changingView is a View that the test changes.
type changingView struct {
	atomic.Pointer[control.Snapshot]
}

func (v *changingView) Snapshot() *control.Snapshot { return v.Load() }

// TestRestartedDaemonGetsCapacity guards against a daemon that is killed and, after its
// restart, sends its upstream more than it sustains until it has learned that again: the
// first call of an entry that knows of the restart tells it, and the second call of any
// other. What was known of an earlier start of the upstream is not told.
func TestRestartedDaemonGetsCapacity(t *testing.T) {
	const slots, limit, perSecond = 9, 5, 30.0
	for _, c := range []struct {
		name                  string
		incarnation, upstream uint64
		calls, want           int
	}{
		{"the entry knows of the restart", 2, 1, 1, limit},
		{"the entry does not know of the restart, first call", 1, 1, 1, slots},
		{"the entry does not know of the restart, second call", 1, 1, 2, limit},
		{"the upstream has restarted as well", 2, 2, 2, slots},
	} {
		t.Run(c.name, func(t *testing.T) {
			up := newUpstream(t, echo)
			st := &fold.State{Version: 7, Zones: make(map[string]fold.Zone)}
			st.Config = config.Config{
				Zones:     []config.Zone{{Name: "a", Region: "r"}},
				Upstreams: []config.Upstream{{Name: "booking", Versions: []string{"v1"}, Active: "v1", Slots: slots, Connections: 120}},
				Routes:    []config.Route{{Name: "slots", Prefix: "/slots", Upstream: "booking", Idempotent: true, AnswerWithin: config.Duration(answerWithin)}},
				Presets:   []config.Preset{{Name: "ordinary", RetryPercent: 20, CanaryPercent: 5}},
			}
			self := membership.Member{Name: "booking-0", Zone: "a", Region: "r", Service: "booking", Version: "v1", State: membership.Ready, Incarnation: 1, UpstreamIncarnation: 1}
			var running atomic.Pointer[host.Host]
			start := func() *admission.Gate {
				g := new(admission.Gate)
				g.LearnCapacity()
				g.SetBounds(admission.Bounds{Slots: slots})
				h := host.New(fixedView{&control.Snapshot{State: st, Self: self, Serving: true}}, g)
				h.SetUpstream(host.Upstream{Address: up.addr(), Connections: 120})
				running.Store(h)
				return g
			}
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { running.Load().ServeHTTP(w, r) }))
			srv.Config.Protocols = new(http.Protocols)
			srv.Config.Protocols.SetUnencryptedHTTP2(true)
			srv.Start()
			defer srv.Close()
			self.Peer = netip.MustParseAddrPort(srv.Listener.Addr().String())
			var view changingView
			show := func() {
				view.Store(&control.Snapshot{State: st, Table: route.NewTable(st, []membership.Member{self}, "a", "r"), Serving: true})
			}
			show()
			e := New(&view, running.Load())
			defer e.Close()
			call := func() {
				t.Helper()
				w := httptest.NewRecorder()
				e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/slots", nil))
				if w.Code != http.StatusOK {
					t.Fatalf("got status %d, want 200", w.Code)
				}
			}
			start().StartCapacity(time.Now(), limit, perSecond)
			call()
			g := start()
			self.Incarnation, self.UpstreamIncarnation = c.incarnation, c.upstream
			show()
			for range c.calls {
				call()
			}
			if got, _ := g.Capacity(); got != c.want {
				t.Errorf("got limit %d after the restart, want %d", got, c.want)
			}
		})
	}
}

// TestKnownCapacityUnused guards against headers on the calls to daemons that have not
// restarted, or that do not learn.
func TestKnownCapacityUnused(t *testing.T) {
	now := time.Now()
	inst := &route.Instance{Name: "i", Incarnation: 1, UpstreamIncarnation: 1}
	for name, load := range map[string]request.Load{"not learned": {Limit: 9}, "not restarted": {Limit: 9, Capacity: 30}} {
		var l loads
		l.observeCapacity(inst, &request.Answer{Load: load}, now)
		var c request.Call
		l.addKnownCapacity(&c, inst, now)
		if c.KnownLimit != 0 || c.KnownCapacity != 0 {
			t.Errorf("%s: got limit %d and capacity %v in the call, want none", name, c.KnownLimit, c.KnownCapacity)
		}
	}
}

// TestKnownCapacityOfBoundedInstance guards against a daemon that restarts and starts its
// upstream with half of the slots, because the last report came from a cold start or from
// the time of a named rate limit. The limit in such a report follows from the rate.
func TestKnownCapacityOfBoundedInstance(t *testing.T) {
	now := time.Now()
	before := &route.Instance{Name: "i", Incarnation: 1, UpstreamIncarnation: 1}
	after := &route.Instance{Name: "i", Incarnation: 2, UpstreamIncarnation: 1}
	sustained := request.Load{Limit: 9, Capacity: 30, State: "warm"}
	for name, bounded := range map[string]request.Load{
		"cold start": {Limit: 1, Capacity: 5, State: "cold"},
		"rate limit": {Limit: 1, Capacity: 5, State: "limited", RateLimit: 5},
	} {
		var l loads
		l.observeCapacity(before, &request.Answer{Load: bounded}, now)
		var c request.Call
		l.addKnownCapacity(&c, after, now)
		if c.KnownLimit != 0 || c.KnownCapacity != 0 {
			t.Errorf("%s: got limit %d and capacity %v in the call, want none", name, c.KnownLimit, c.KnownCapacity)
		}
		l.observeCapacity(before, &request.Answer{Load: sustained}, now)
		l.observeCapacity(before, &request.Answer{Load: bounded}, now)
		l.addKnownCapacity(&c, after, now)
		if c.KnownLimit != 9 || c.KnownCapacity != 30 {
			t.Errorf("%s: got limit %d and capacity %v in the call, want those of the report before, 9 and 30", name, c.KnownLimit, c.KnownCapacity)
		}
		// The restarted daemon knows a capacity again.
		l.observeCapacity(after, &request.Answer{Load: bounded}, now)
		c = request.Call{}
		l.addKnownCapacity(&c, after, now)
		if c.KnownLimit != 0 || c.KnownCapacity != 0 {
			t.Errorf("%s: got limit %d and capacity %v in a later call, want none", name, c.KnownLimit, c.KnownCapacity)
		}
	}
}
