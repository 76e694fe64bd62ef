package host

import (
	"net/http"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
)

// TestProbeReport guards against a host that takes no calls and looks idle to the entries that
// probe it, and against a mean answer time that lacks some routes.
func TestProbeReport(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(h *Host, self *membership.Member)
		limit  int
	}{
		{"ready", func(*Host, *membership.Member) {}, 100},
		{"draining", func(_ *Host, self *membership.Member) { self.State = membership.Draining }, 0},
		{"leaving", func(h *Host, _ *membership.Member) { _ = h.Drain(cancelled()) }, 0},
		{"leavingStated", func(h *Host, _ *membership.Member) { h.target.Load().leaving.Store(true) }, 0},
		{"zoneOut", func(_ *Host, self *membership.Member) { self.Zone = "out" }, 0},
	} {
		h := newHost(t, new(openLimiter), ready, func(http.ResponseWriter, *http.Request) {})
		h.meanTimes.observe("quick", 100*time.Millisecond)
		h.meanTimes.observe("slow", 260*time.Millisecond)
		c.change(h, &h.view.Snapshot().Self)
		got := h.ProbeReport()
		if got.Limit != c.limit {
			t.Errorf("%s: got a limit of %d, want %d", c.name, got.Limit, c.limit)
		}
		if want := 110 * time.Millisecond; c.limit > 0 && got.Mean != want {
			t.Errorf("%s: got a mean of %v, want %v", c.name, got.Mean, want)
		}
	}
}
