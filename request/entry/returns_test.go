package entry

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
	"github.com/kingcuppitch/kingcuppitch/request/returns"
)

// TestReturnTimes guards against a caller that returns when it was told and is taken for
// a new one, against one that gets a second time because it came too early, and, after
// a restart of the daemon, against an entry that refuses the callers of its predecessor.
func TestReturnTimes(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		release := make(chan struct{})
		up := newUpstream(t, func(c net.Conn, r *http.Request, body []byte) {
			time.Sleep(5 * time.Millisecond)
			if strings.HasPrefix(r.URL.Path, "/slots/slow") {
				<-release
			}
			echo(c, r, body)
		})
		headers := request.DefaultHeaders
		headers.FractionalRetryTime = true
		opts := []Option{WithReturnTimes(), WithHeaders(headers)}
		m := newMesh(t, meshOptions{slots: 1, entry: opts}, up.addr())
		// The entry learns at which rate its requests are served.
		for i := range 50 {
			if got := m.call(t, http.MethodGet, fmt.Sprintf("/slots/%d", i), ""); got.status != 200 {
				t.Fatalf("got %d %s", got.status, got.reason())
			}
		}
		done := make(chan reply, 2)
		for i := range 2 {
			go func() { done <- m.call(t, http.MethodGet, fmt.Sprintf("/slots/slow%d", i), "") }()
		}
		for until := time.Now().Add(answerWithin / 2); time.Now().Before(until); time.Sleep(time.Millisecond) {
			if n, queued, _, _ := m.limiter.Load(); n+queued == 2 {
				break
			}
		}
		call := func() (got reply, retryAt time.Time) {
			got = m.call(t, http.MethodGet, "/slots/refused", "", request.HeaderTimeout, "9000")
			seconds, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			return got, time.Now().Add(time.Duration(seconds * float64(time.Second)))
		}
		// Other callers get the first times, so that this one has to wait.
		for i := range 40 {
			m.call(t, http.MethodGet, fmt.Sprintf("/slots/other%d", i), "", request.HeaderTimeout, "9000")
		}
		before := m.metrics.Get("returns.promised")
		got, at := call()
		if promised := m.metrics.Get("returns.promised") - before; got.reason() != request.ReasonOverload || promised != 1 {
			t.Fatalf("got %d %s, %d promises", got.status, got.reason(), promised)
		}
		if wait := time.Until(at); wait <= 0 || wait > 3*time.Second {
			t.Errorf("told to return after %v, want at most a third of 9 s", wait)
		}
		_, again := call()
		if isEarly := time.Until(at) > 50*time.Millisecond; isEarly && (m.metrics.Get("returns.early") != 1 || m.metrics.Get("returns.promised") != before+1) {
			t.Errorf("early: told to return at %v, want %v; %d further promises", again, at, m.metrics.Get("returns.promised")-before-1)
		}
		at = again
		close(release)
		for range 2 {
			if got := <-done; got.status != 200 {
				t.Errorf("got %d %s", got.status, got.reason())
			}
		}
		if restarted {
			m.server.Close()
			m.entry = New(m.entry.view, nil, append(opts, WithMetrics(m.metrics))...)
			m.server = httptest.NewServer(m.entry)
			m.url = m.server.URL
		}
		time.Sleep(time.Until(at))
		if got, _ := call(); got.status != 200 {
			t.Errorf("restarted %v: got %d %s at the promised time", restarted, got.status, got.reason())
		}
		want := int64(1)
		if restarted {
			want = 0
		}
		if got := m.metrics.Get("returns.kept"); got != want {
			t.Errorf("restarted %v: got %d promises kept, want %d", restarted, got, want)
		}
		m.close()
	}
}

// TestNotLimitedWhileFree guards against a new request that is refused in favour of
// promised ones although an instance reports a free slot. Load: 20 requests at once after
// the upstream has refused 100 callers that were promised times.
func TestNotLimitedWhileFree(t *testing.T) {
	for _, free := range []bool{false, true} {
		up := newUpstream(t, echo)
		m := newMesh(t, meshOptions{entry: []Option{WithReturnTimes()}}, up.addr(), up.addr())
		snap := m.entry.view.Snapshot()
		rt, _ := snap.Table.Match("", http.MethodGet, "/slots/1")
		key := returns.Key{Upstream: "booking", Class: rt.Class, Rank: admission.Position(rt.Class, snap.ShedOrder(time.Now()))}
		refused := 0
		for i := range 20 {
			now := time.Now()
			for j := range 5 {
				m.entry.returns.Refuse(now, key, returns.Caller{Fingerprint: uint64(5*i + j)}, returns.Refusal{Deadline: now.Add(time.Minute)})
			}
			for name, load := range map[string]request.Load{"booking-0": {InFlight: 20, Limit: 10}, "booking-1": {InFlight: 20, Limit: 10}} {
				if free && name == "booking-1" {
					load.InFlight = 5
				}
				m.entry.loads.start(name)
				m.entry.loads.finish(name, "slots", &request.Answer{Load: load}, nil, now)
			}
			if got := m.call(t, http.MethodGet, fmt.Sprintf("/slots/%d", i), ""); got.status != http.StatusOK {
				refused++
			}
		}
		if got := int(m.metrics.Get("returns.limited")); got != refused || free != (refused == 0) {
			t.Errorf("free %v: got %d requests refused, %d of them limited", free, refused, got)
		}
	}
}
