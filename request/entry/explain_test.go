package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/metrics"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/dependency"
	"github.com/kingcuppitch/kingcuppitch/request/route"
	"github.com/kingcuppitch/kingcuppitch/request/tenant"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

// newExplainedEntry returns an entry with three ready instances of booking and one that
// drains, of which the first reports that it admits no request of the class book.
func newExplainedEntry(now time.Time, opts ...Option) *Entry {
	st := &fold.State{Schedule: []fold.Activation{{Name: "ordinary"}}, Config: config.Config{
		Upstreams: []config.Upstream{{Name: "booking", Versions: []string{"v1"}, Active: "v1", Slots: 9}, {Name: "empty", Versions: []string{"v1"}, Active: "v1", Slots: 9}},
		Routes: []config.Route{
			{Name: "reserve", Prefix: "/reserve", Upstream: "booking", Class: "book", AnswerWithin: config.Duration(time.Second)},
			{Name: "split", Prefix: "/split", Backends: []config.Backend{{Upstream: "booking", Weight: 3}, {Upstream: "empty", Weight: 1}}, Class: "book", Public: true},
			{Name: "none", Prefix: "/none", Upstream: "empty", Class: "book", Public: true, Internal: true},
		},
		Presets: []config.Preset{{Name: "ordinary", Shed: []string{"book", "urgent"}}},
		Tenants: []config.Tenant{{Name: "acme", Class: "urgent", Keys: []string{config.KeyDigest("key-acme")}}, {Name: "zeta", Keys: []string{config.KeyDigest("key-zeta")}}},
	}}
	var members []membership.Member
	for i := range 4 {
		members = append(members, membership.Member{Name: fmt.Sprint("i", i), Zone: "a", Region: "r", Service: "booking", Version: "v1", State: membership.Ready})
	}
	members[3].State = membership.Draining
	snap := &control.Snapshot{
		State: st, Table: route.NewTable(st, members, "a", "r"), Serving: true, Tenants: tenant.New(st.Config.Tenants),
		Members: members, Self: membership.Member{Name: "self", Zone: "a"},
	}
	e := New(fixedView{snap}, nil, append(opts, WithName("self"), WithMetrics(new(metrics.Set)))...)
	e.loads.observeReport("i0", request.Load{InFlight: 3, Limit: 9, Capacity: 40, Admits: 1}, 1, now.Add(-100*time.Millisecond))
	return e
}

func explained(t *testing.T, e *Entry, path, key string, now time.Time) Explanation {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, path, nil)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return e.Explain(r, now)
}

// TestExplain guards against an explanation whose route, tenant, class, choice or refusal
// is not that of a request, and against one that contains a key.
func TestExplain(t *testing.T) {
	now := time.Now()
	e := newExplainedEntry(now, WithCallRanks(new(dependency.Learner)))
	for _, c := range []struct {
		path, key    string
		tenant       string
		class, route string
		possible     int
		status       int
		reason       request.Reason
	}{
		{"/x", "key-zeta", "", "", "", 0, 404, request.ReasonNoRoute},
		{"/reserve", "", "", "book", "reserve", 0, 401, request.ReasonUnknownKey},
		{"/reserve", "key-other", "", "book", "reserve", 0, 401, request.ReasonUnknownKey},
		{"/none", "", "", "book", "none", 0, 503, request.ReasonNoInstance},
		// i0 does not admit the class book, and admits that of the tenant acme.
		{"/reserve", "key-zeta", "zeta", "book", "reserve", 2, 0, ""},
		{"/reserve", "key-acme", "acme", "urgent", "reserve", 3, 0, ""},
	} {
		x := explained(t, e, c.path, c.key, now)
		got := ExplainedRefusal{}
		if x.Refusal != nil {
			got = *x.Refusal
		}
		if x.Tenant != c.tenant || x.Class != c.class || x.Route != c.route || x.Possible != c.possible || got.Status != c.status || got.Reason != c.reason {
			t.Errorf("%s with key %q: got %+v, refused %+v, want %+v", c.path, c.key, x, got, c)
		}
		data, err := json.Marshal(x)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(data), "key-") || strings.Contains(string(data), config.KeyDigest(c.key)) {
			t.Errorf("%s: the explanation contains a key: %s", c.path, data)
		}
	}
	x := explained(t, e, "/reserve", "key-zeta", now)
	if len(x.Instances) != 4 {
		t.Fatalf("got %d instances, want 4", len(x.Instances))
	}
	first, last := x.Instances[0], x.Instances[3]
	if first.Obstacle != route.ObstacleNotAdmits || first.InFlight != 3 || first.Limit != 9 || first.Capacity != 40 || first.ReportAgeMs == nil || *first.ReportAgeMs != 100 {
		t.Errorf("got %+v, want the report of i0 of 100 ms ago", first)
	}
	if last.Instance != "i3" || last.Obstacle != "draining" {
		t.Errorf("got %+v, want i3 to drain", last)
	}
	for i := range 3 {
		e.loads.observeReport(fmt.Sprint("i", i), request.Load{InFlight: 9, Limit: 9, Capacity: 40, Admits: 1}, 1, now)
	}
	x = explained(t, e, "/reserve", "key-zeta", now)
	if x.Refusal == nil || x.Refusal.Reason != request.ReasonOverload || x.Chosen != "" || x.Possible != 0 || x.Instances[0].Obstacle != route.ObstacleNotAdmits {
		t.Errorf("got %+v, want a refusal because no instance admits the class", x)
	}
	if got := explained(t, e, "/split", "", now).Backends; got["booking"] != 0.75 || got["empty"] != 0.25 {
		t.Errorf("got backends %v, want 0.75 and 0.25", got)
	}
}

// TestExplainChangesNothing guards against an explanation that leaves a trace in what the
// entry knows: loads, ranks, promises, retry budgets and counters.
func TestExplainChangesNothing(t *testing.T) {
	now := time.Now()
	e := newExplainedEntry(now, WithCallRanks(new(dependency.Learner)), WithReturnTimes())
	e.EnableProbes(&recordingProber{names: make(map[string]int)}, nil)
	for i := range 10 {
		e.ranks.shares.Observe(now, "reserve", 0, fmt.Sprint("i", i%3), 0.5)
	}
	before := newExplainedEntry(now, WithCallRanks(new(dependency.Learner)), WithReturnTimes())
	before.EnableProbes(&recordingProber{names: make(map[string]int)}, nil)
	for i := range 10 {
		before.ranks.shares.Observe(now, "reserve", 0, fmt.Sprint("i", i%3), 0.5)
	}
	for range 50 {
		explained(t, e, "/reserve", "key-zeta", now.Add(time.Second))
	}
	for name, pair := range map[string][2]any{
		"instances": {e.loads.instances, before.loads.instances}, "ranks": {e.ranks, before.ranks},
		"returns": {e.returns, before.returns}, "plan": {&e.probes.plan, &before.probes.plan}, "prober": {e.probes.prober, before.probes.prober},
	} {
		if !reflect.DeepEqual(pair[0], pair[1]) {
			t.Errorf("%s: got %+v, want %+v", name, pair[0], pair[1])
		}
	}
	e.budgets.Range(func(k, _ any) bool {
		t.Errorf("got a retry budget of %v, want none", k)
		return true
	})
	for _, name := range []string{"entry.requests", "entry.refusedNotAdmitted", "entry.refusedDependency", "loads.choices"} {
		if got := e.metrics.Get(name); got != 0 {
			t.Errorf("got %s %d, want 0", name, got)
		}
	}
}
