package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
)

// TestExplain guards against an explanation that names a wrong reason for an instance
// that is not a choice, or a wrong number of possible instances.
func TestExplain(t *testing.T) {
	member := func(name, zone string, st membership.State) membership.Member {
		return membership.Member{Name: name, Zone: zone, Region: "r", Service: "catalogue", Version: "v1", State: st}
	}
	tbl := NewTable(testState(), []membership.Member{
		member("a1", "a", membership.Ready), member("a2", "a", membership.Ready), member("a3", "a", membership.Ready),
		member("a4", "a", membership.Suspect), member("b1", "b", membership.Ready),
	}, "a", "r")
	for _, c := range []struct {
		name     string
		loads    fixedLoads
		query    Query
		rule     Rule
		possible int
		want     map[string]Obstacle
	}{
		{"open", fixedLoads{}, Query{}, RuleLeastCost, 3, map[string]Obstacle{"a1": "", "a2": "", "a3": "", "a4": ObstacleSuspect, "b1": ObstacleDistance}},
		{"saturated and failing", fixedLoads{map[string]float64{"a1": 1}, map[string]bool{"a2": true}}, Query{}, RuleLeastCost, 1,
			map[string]Obstacle{"a1": ObstacleSaturated, "a2": ObstacleFailing, "a3": "", "a4": ObstacleSuspect, "b1": ObstacleDistance}},
		{"tried and leaving", fixedLoads{}, Query{Exclude: []string{"a1"}, Leaving: func(in *Instance) bool { return in.Name == "a2" }}, RuleLeastCost, 1,
			map[string]Obstacle{"a1": ObstacleTried, "a2": ObstacleLeaving, "a3": "", "a4": ObstacleSuspect, "b1": ObstacleDistance}},
		{"one other zone admits", fixedLoads{}, Query{Admits: func(name string) bool { return name == "b1" }}, RuleLeastCost, 1,
			map[string]Obstacle{"a1": ObstacleNotAdmits, "a2": ObstacleNotAdmits, "a3": ObstacleNotAdmits, "a4": ObstacleNotAdmits, "b1": ""}},
		{"none admits", fixedLoads{}, Query{Admits: func(string) bool { return false }}, "", 0,
			map[string]Obstacle{"a1": ObstacleNotAdmits, "a2": ObstacleNotAdmits, "a3": ObstacleNotAdmits, "a4": ObstacleNotAdmits, "b1": ObstacleNotAdmits}},
		{"all saturated", fixedLoads{ratio: map[string]float64{"a1": 2, "a2": 2, "a3": 3, "b1": 4}}, Query{}, RuleLeastLoad, 2,
			map[string]Obstacle{"a1": ObstacleSaturated, "a2": ObstacleSaturated, "a3": ObstacleSaturated, "a4": ObstacleSuspect, "b1": ObstacleSaturated}},
		{"reports", fixedLoads{}, Query{ReportAge: func(in *Instance, _ time.Time) (time.Duration, bool) {
			return 0, in.Name == "a1" || in.Name == "a3"
		}}, RuleLeastCost, 2, map[string]Obstacle{"a1": "", "a2": ObstacleReport, "a3": "", "a4": ObstacleSuspect, "b1": ObstacleDistance}},
	} {
		var x Explanation
		q := c.query
		q.Upstream, q.Version, q.Now, q.Explanation = "catalogue", "v1", time.Now(), &x
		tbl.Pick(q, c.loads)
		if x.Rule != c.rule || x.Possible() != c.possible || len(x.Candidates) != len(c.want) {
			t.Errorf("%s: got rule %q, %d possible of %d, want %q, %d of %d", c.name, x.Rule, x.Possible(), len(x.Candidates), c.rule, c.possible, len(c.want))
		}
		for _, got := range x.Candidates {
			if want, ok := c.want[got.Instance]; !ok || got.Obstacle != want {
				t.Errorf("%s: got %s %q, want %q", c.name, got.Instance, got.Obstacle, want)
			}
		}
	}
}

// TestExplanationIsPick guards against an explained choice that differs from the one
// that is made for a request, with random loads of 12 instances in three zones.
func TestExplanationIsPick(t *testing.T) {
	rnd := rand.New(rand.NewPCG(7, 11)) //nolint:gosec // a fixed seed
	var members []membership.Member
	for i := range 12 {
		members = append(members, membership.Member{
			Name: fmt.Sprint("i", i), Zone: string(rune('a' + i%3)), Region: "r", Service: "catalogue", Version: "v1", State: membership.Ready,
		})
	}
	tbl := NewTable(testState(), members, "a", "r")
	now := time.Now()
	for range 2000 {
		loads := fixedLoads{make(map[string]float64), make(map[string]bool)}
		for _, m := range members {
			loads.ratio[m.Name], loads.failing[m.Name] = 2*rnd.Float64(), rnd.IntN(3) == 0
		}
		q := Query{Upstream: "catalogue", Version: "v1", Now: now, AvailableOnly: rnd.IntN(2) == 0}
		for i := range q.Rnd {
			q.Rnd[i] = rnd.Float64()
		}
		want, ok := tbl.Pick(q, loads)
		var x Explanation
		q.Explanation = &x
		got, _ := tbl.Pick(q, loads)
		if got != want || x.Chosen != want.Name || ok && x.Possible() == 0 {
			t.Fatalf("got %s, explained as %s of %d, want %s", got.Name, x.Chosen, x.Possible(), want.Name)
		}
	}
}
