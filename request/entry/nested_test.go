package entry

import (
	"strconv"
	"testing"
	"time"
)

// TestNestedAfterRestart addresses the load after all daemons have restarted: upstreams
// are cold, and their calls fail unless they go before new work. It guards against marks
// of hosts that do not count for seconds because the same hosts answered without a mark
// while they did not know yet who calls the route.
func TestNestedAfterRestart(t *testing.T) {
	now := time.Unix(1000, 0)
	var n nestedRoutes
	for i := range nestedReports {
		n.observe(now, "read", "i-"+strconv.Itoa(i%4), false)
	}
	if n.isNested(now, "read", true) {
		t.Fatal("got nested without a mark, want not")
	}
	for i := range 4 {
		n.observe(now, "read", "i-"+strconv.Itoa(i), true)
	}
	if !n.isNested(now, "read", true) {
		t.Error("got not nested although the last answer of each instance has the mark")
	}
	// One instance alone may be wrong.
	var one nestedRoutes
	for range nestedReports {
		one.observe(now, "read", "i-1", true)
	}
	if one.isNested(now, "read", true) {
		t.Error("got nested by the marks of one instance, want not")
	}
}
