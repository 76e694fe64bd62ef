package host

import (
	"net/http"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
)

// TestCapacityReport guards against a load report without the learned limit and
// capacity, and against one with a capacity where it is not learned.
func TestCapacityReport(t *testing.T) {
	for _, learns := range []bool{true, false} {
		var g admission.Gate
		if learns {
			g.LearnCapacity()
		}
		g.SetBounds(admission.Bounds{Slots: 9})
		h := newHost(t, &g, ready, func(http.ResponseWriter, *http.Request) {})
		call := newCall()
		call.KnownLimit, call.KnownCapacity = 5, 30
		ans, err := h.Do(t.Context(), call)
		if err != nil {
			t.Fatal(err)
		}
		header := make(http.Header)
		request.EncodeLoad(ans.Load, header)
		if got := h.Warning() != ""; got != learns {
			t.Errorf("learning %t: got a warning of a reduced limit %t", learns, got)
		}
		want := [2]string{"9", ""}
		if learns {
			want = [2]string{"5", "30.0"}
		}
		if got := [2]string{header.Get(request.HeaderLimit), header.Get(request.HeaderCapacity)}; got != want {
			t.Errorf("learning %t: got the limit and the capacity %q, want %q", learns, got, want)
		}
	}
}

// TestCapacityLog guards against a log line for each trial of a limit, and against a
// change that is never logged.
func TestCapacityLog(t *testing.T) {
	var l capacityLog
	now := time.Now()
	for i, c := range []struct {
		after time.Duration
		limit int
		want  bool
	}{{0, 13, false}, {0, 10, false}, {0, 7, true}, {time.Second, 13, false}, {4 * time.Second, 13, true}, {time.Minute, 13, false}} {
		now = now.Add(c.after)
		if _, got := l.changed(now, c.limit); got != c.want {
			t.Errorf("step %d, limit %d: got %t, want %t", i, c.limit, got, c.want)
		}
	}
}
