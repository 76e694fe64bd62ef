package entry

import (
	"fmt"
	"testing"
	"time"
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
