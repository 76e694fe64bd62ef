package route

import (
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
)

// fixedLoads reports constant ratios.
type fixedLoads struct {
	ratio   map[string]float64
	failing map[string]bool
}

func (f fixedLoads) Ratio(name string, _ time.Time) (float64, bool) {
	return f.ratio[name], f.failing[name]
}

func (f fixedLoads) Slowness(string, time.Time) float64 { return 1 }

// TestPickAdmitting guards against a request that is sent to an instance that refuses its
// class although another one admits it, against one that is refused although an instance
// may have room, and against one that is sent to an instance that fails because all others
// refuse it.
func TestPickAdmitting(t *testing.T) {
	members := []membership.Member{
		{Name: "a", Zone: "a", Region: "r", Service: "catalogue", Version: "v1", State: membership.Ready},
		{Name: "b", Zone: "a", Region: "r", Service: "catalogue", Version: "v1", State: membership.Ready},
		{Name: "c", Zone: "b", Region: "r", Service: "catalogue", Version: "v1", State: membership.Ready},
	}
	tbl := NewTable(testState(), members, "a", "r")
	for _, c := range []struct {
		name             string
		admits           map[string]bool
		ratio            map[string]float64
		failing          map[string]bool
		available, relax bool
		want             string
	}{
		{"open", map[string]bool{"b": true, "c": true}, map[string]float64{"a": 0.5, "b": 0.6, "c": 0.1}, nil, false, false, "b"},
		{"otherZone", map[string]bool{"c": true}, map[string]float64{"a": 0.5, "b": 0.6, "c": 0.1}, nil, false, false, "c"},
		{"saturated", map[string]bool{"b": true}, map[string]float64{"a": 1.2, "b": 2, "c": 1.5}, nil, false, false, "b"},
		{"none", nil, map[string]float64{"a": 1.2, "b": 2, "c": 1.5}, nil, false, false, ""},
		{"onlyFailing", map[string]bool{"c": true}, map[string]float64{"a": 1.2, "b": 2}, map[string]bool{"c": true}, false, false, ""},
		{"allFail", map[string]bool{"c": true}, nil, map[string]bool{"a": true, "b": true, "c": true}, false, false, "any"},
		{"retryElsewhere", map[string]bool{"b": true}, map[string]float64{"a": 1.2, "b": 2, "c": 1.5}, nil, true, false, ""},
		{"retryAdmitting", map[string]bool{"b": true}, map[string]float64{"a": 1.2, "b": 2, "c": 1.5}, nil, true, true, "b"},
	} {
		for i := range 10 {
			x := float64(i) / 10
			q := Query{
				Upstream: "catalogue", Version: "v1", Now: time.Now(), Rnd: [1 + pickChoices]float64{x, x, x, x},
				Admits: func(name string) bool { return c.admits[name] }, AvailableOnly: c.available, AnyAdmitting: c.relax,
			}
			got, ok := tbl.Pick(q, fixedLoads{c.ratio, c.failing})
			if ok != (c.want != "") || c.want != "any" && got.Name != c.want {
				t.Errorf("%s: got %q, want %q", c.name, got.Name, c.want)
			}
		}
	}
}
