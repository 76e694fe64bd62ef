package host

import (
	"net/http"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
	"github.com/kingcuppitch/kingcuppitch/request/dependency"
)

// TestReport guards against a host without call ranks that reports more than before, and
// against one with them that does not report what it knows.
func TestReport(t *testing.T) {
	for _, ranked := range []bool{false, true} {
		var g admission.Gate
		h := newHost(t, &g, membership.Member{Name: "h", Zone: "a", Version: "v1", State: membership.Ready}, func(http.ResponseWriter, *http.Request) {})
		var l dependency.Learner
		if ranked {
			WithCallRanks(&l)(h)
		}
		for range 100 {
			h.origins.observe("invoice", "dossiers")
			h.origins.observe("ledger", "scoring")
		}
		call := newCall()
		call.Route = "ledger"
		now := time.Now().Add(-600 * time.Millisecond)
		for range 100 {
			l.StartRun(now, "ledger", "rank1", false)
			l.StartCall(now.Add(time.Millisecond), "archive")
			l.EndCall(now.Add(2*time.Millisecond), "archive", dependency.NoCapacity)
			now = now.Add(5 * time.Millisecond)
			l.EndRun(now, "ledger", "rank1", dependency.RunFailed)
		}
		got := h.Report(call)
		want := request.Load{State: stateWarm}
		if ranked {
			want.Admits, want.UpstreamsOnly, want.Finishes = 1, true, got.Finishes
			if !(got.Finishes < 0.5) {
				t.Errorf("got a share of %v of the runs that can finish, want less than half", got.Finishes)
			}
		}
		if got != want {
			t.Errorf("ranked %v: got %+v, want %+v", ranked, got, want)
		}
	}
}
