package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/record"
)

// versionSteps plays orders, ends of moves and changes of instances, and returns the
// version that receives the requests outside of the share of a running move.
type versionSteps struct {
	t       *testing.T
	st      *fold.State
	members []membership.Member
	started uint64
}

func newVersionSteps(t *testing.T) *versionSteps {
	v := &versionSteps{t: t, st: &fold.State{}}
	v.apply(record.Record{Kind: record.KindReplace, Replace: &config.Config{
		Upstreams: []config.Upstream{{Name: "catalogue", Announced: true, Connections: 130}},
	}})
	return v
}

func (v *versionSteps) apply(rec record.Record) {
	v.t.Helper()
	offset := v.st.Offset + 1
	rec.ID = fmt.Sprint("r", offset)
	data, err := rec.Encode()
	if err != nil {
		v.t.Fatal(err)
	}
	if out := v.st.Apply(offset, data); out.Result != fold.Accepted {
		v.t.Fatalf("record %d: got %s (%s), want accepted", offset, out.Result, out.Reason)
	}
}

// start adds instances of a version.
func (v *versionSteps) start(version string, n int) {
	for range n {
		v.started++
		v.members = append(v.members, membership.Member{
			Name: fmt.Sprint("d", v.started), Zone: "a", Region: "r", Service: "catalogue", Version: version,
			State: membership.Ready, UpstreamIncarnation: v.started,
		})
	}
}

// state sets the state of all instances of a version.
func (v *versionSteps) state(version string, s membership.State) {
	for i := range v.members {
		if v.members[i].Version == version {
			v.members[i].State = s
		}
	}
}

func (v *versionSteps) order(version string) (id int64) {
	v.apply(record.Record{Kind: record.KindMove, Move: &record.Move{
		Upstream: "catalogue", To: version, Within: config.Duration(16 * time.Second), Replaces: true,
	}})
	return v.st.Offset
}

func (v *versionSteps) end(id int64, to fold.MoveState) {
	v.t.Helper()
	if err := v.st.EndMove(id, to, "test"); err != nil {
		v.t.Error(err)
	}
}

func (v *versionSteps) want(when, version string) {
	v.t.Helper()
	none := func(fold.Move) float64 { return 0 }
	if got := NewTable(v.st, v.members, "a", "r").Version("catalogue", none, 0.5); got != version {
		v.t.Errorf("%s: got version %q, want %q", when, got, version)
	}
}

// TestVersionAfterSecondOrder guards against requests to a version that was taken back,
// once another version has been ordered: the newest move alone does not tell.
func TestVersionAfterSecondOrder(t *testing.T) {
	v := newVersionSteps(t)
	v.start("v9", 3)
	v.want("before any order", "v9")
	v.start("v10", 6)
	v.want("the instances of v10 start before its order", "v9")
	first := v.order("v10")
	v.want("v10 is ordered", "v9")
	v.end(first, fold.MoveTakenBack)
	v.want("v10 is taken back", "v9")
	v.start("v11", 12)
	second := v.order("v11")
	v.want("v11 is ordered", "v9")
	v.end(second, fold.MoveTakenBack)
	v.want("v11 is taken back", "v9")
	v.order("v12")
	v.want("v12, of which no instance runs, is ordered", "v9")
	v.state("v9", membership.Draining)
	v.want("only versions that were taken back are in use", "")
}

// TestVersionAfterReplacedOrder guards against the same with an order that is replaced
// before its end, and against an end that is lost because it becomes known afterwards.
func TestVersionAfterReplacedOrder(t *testing.T) {
	v := newVersionSteps(t)
	v.start("v9", 3)
	v.start("v10", 6)
	first := v.order("v10")
	v.start("v11", 6)
	second := v.order("v11")
	v.want("v11 is ordered before the end of v10 is known", "v9")
	v.end(first, fold.MoveDone)
	v.state("v9", membership.Dead)
	v.want("v10 was done before it was replaced", "v10")
	v.end(second, fold.MoveTakenBack)
	v.want("v11 is taken back", "v10")
}

// TestVersionAfterInstancesDrain guards against a version that is chosen for instances
// that drain or have left.
func TestVersionAfterInstancesDrain(t *testing.T) {
	for _, s := range []membership.State{membership.Draining, membership.Leaving, membership.Starting, membership.Dead} {
		v := newVersionSteps(t)
		v.start("v1", 5)
		v.start("v2", 1)
		v.state("v1", s)
		v.want(fmt.Sprintf("the instances of v1 are %s", s), "v2")
	}
}

// TestOrderToVersionInForce guards against refusing the requests of an upstream while a
// move to the version that already runs is on its way.
func TestOrderToVersionInForce(t *testing.T) {
	v := newVersionSteps(t)
	v.start("v1", 3)
	v.end(v.order("v1"), fold.MoveDone)
	again := v.order("v1")
	v.want("v1 is ordered again", "v1")
	if m, ok := v.st.RunningMove(again); ok {
		t.Errorf("got running move %+v, want it done", m)
	}
	v.start("v2", 3)
	v.order("v2")
	v.order("v1")
	v.want("an order to v1 replaces the one to v2", "v1")
	if m, ok := v.st.Move("catalogue"); ok {
		t.Errorf("got running move %+v, want none", m)
	}
}

// TestVersionAfterOrderAgain guards against a version that stays out although it has been
// ordered again and the move was done.
func TestVersionAfterOrderAgain(t *testing.T) {
	v := newVersionSteps(t)
	v.start("v1", 3)
	v.start("v2", 3)
	v.end(v.order("v2"), fold.MoveTakenBack)
	again := v.order("v2")
	v.want("v2 is on trial again", "v1")
	v.end(again, fold.MoveDone)
	v.want("v2 is done", "v2")
	v.end(v.order("v3"), fold.MoveTakenBack)
	v.want("v3 is taken back", "v2")
}

// TestVersionAfterConfiguration guards against a version that is forgotten while a
// configuration leaves out its upstream.
func TestVersionAfterConfiguration(t *testing.T) {
	v := newVersionSteps(t)
	v.start("v1", 3)
	v.start("v2", 3)
	v.end(v.order("v2"), fold.MoveDone)
	v.apply(record.Record{Kind: record.KindReplace, Replace: &config.Config{}})
	v.apply(record.Record{Kind: record.KindReplace, Replace: &config.Config{
		Upstreams: []config.Upstream{{Name: "catalogue", Announced: true, Connections: 130}},
	}})
	v.want("the upstream is defined again", "v2")
}

// TestOrderBeforeConfiguration guards against an order that has no effect because the
// configuration that defines its upstream follows it.
func TestOrderBeforeConfiguration(t *testing.T) {
	v := &versionSteps{t: t, st: &fold.State{}}
	v.start("v1", 3)
	v.start("v2", 3)
	id := v.order("v2")
	v.end(id, fold.MoveDone)
	v.apply(record.Record{Kind: record.KindReplace, Replace: &config.Config{
		Upstreams: []config.Upstream{{Name: "catalogue", Announced: true, Connections: 130}},
	}})
	v.want("the upstream is defined after its move", "v2")
	if n := len(v.st.Config.Upstreams); n != 1 {
		t.Errorf("got %d upstreams, want 1", n)
	}
}
