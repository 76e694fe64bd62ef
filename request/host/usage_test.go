package host

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"
)

// usageLog counts by tenant, in a window that moves on with each count.
type usageLog struct {
	window int64
	counts map[int64]int
}

func (u *usageLog) Count(string) int64 {
	u.window++
	u.counts[u.window]++
	return u.window
}

func (u *usageLog) TakeBack(_ string, window int64) { u.counts[window]-- }

// TestUsageCounts guards against requests that are counted though the upstream states that
// it did not run them, or was not reached, against ones that are not counted though they
// may have run, and against requests without a tenant that are counted.
func TestUsageCounts(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer http.HandlerFunc
		tenant string
		want   int
	}{
		{"answered", func(http.ResponseWriter, *http.Request) {}, "t", 1},
		{"failed", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, "t", 1},
		{"cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "t", 1},
		{"refused, may have run", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, "t", 1},
		{"not run", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, "t", 0},
		{"wrong instance", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, "t", 0},
		{"no tenant", func(http.ResponseWriter, *http.Request) {}, "", 0},
	} {
		u := &usageLog{counts: make(map[int64]int)}
		h := newHost(t, new(openLimiter), ready, c.answer)
		h.headers.NotRun, h.headers.Instance, h.usage = "Not-Run", "Instance", u
		call := newCall()
		call.Tenant = c.tenant
		_, _ = h.Do(t.Context(), call)
		if got := u.counts[1]; got != c.want {
			t.Errorf("%s: got %d counted requests, want %d", c.name, got, c.want)
		}
	}
	u := &usageLog{counts: make(map[int64]int)}
	h := newHost(t, new(openLimiter), ready, func(http.ResponseWriter, *http.Request) {})
	h.usage = u
	gone := httptest.NewServer(http.NotFoundHandler())
	h.SetUpstream(Upstream{Address: netip.MustParseAddrPort(gone.Listener.Addr().String()), Connections: 2})
	gone.Close()
	call := newCall()
	call.Tenant, call.Deadline = "t", time.Now().Add(time.Second)
	if _, err := h.Do(t.Context(), call); err == nil || u.window != 1 || u.counts[1] != 0 {
		t.Errorf("got %d counted requests and error %v from an upstream that cannot be reached, want none", u.counts[1], err)
	}
}
