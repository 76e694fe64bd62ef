package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// TestIdempotentRetry guards against an idempotent request that fails although another
// instance could answer it, and against one that is tried twice on one instance.
func TestIdempotentRetry(t *testing.T) {
	refusing := newUpstream(t, echo)
	refusing.close()
	breaking := newUpstream(t, rawThenClose(""))
	good := newUpstream(t, echo)
	for i := range 20 {
		// Each call gets a new mesh: the retry budget covers the retries of one call.
		m := newMesh(t, meshOptions{}, refusing.addr(), breaking.addr(), good.addr())
		path := fmt.Sprintf("/slots/%d", i)
		if got := m.call(t, http.MethodGet, path, ""); got.status != 200 || got.body != path {
			t.Errorf("%s: got %d %s %s", path, got.status, got.outcome(), got.reason())
		}
		if n := breaking.ran(path); n > 1 {
			t.Errorf("%s reached one instance %d times", path, n)
		}
	}
}

// TestRetryBudget guards against retries that multiply the load when no instance
// answers. They are limited to retryPercent of the requests; the token bucket starts
// with 3 tokens and earns one in 5 s without traffic.
func TestRetryBudget(t *testing.T) {
	const calls, percent, initial = 50, 20, 3
	gone := newUpstream(t, echo)
	gone.close()
	m := newMesh(t, meshOptions{}, gone.addr(), gone.addr(), gone.addr())
	start := time.Now()
	for range calls {
		if got := m.call(t, http.MethodGet, "/slots/1", ""); got.outcome() != request.NotRun {
			t.Errorf("got %d %s %s", got.status, got.outcome(), got.reason())
		}
	}
	limit := int64(calls*percent/100 + initial + 1 + int(time.Since(start)/(5*time.Second)))
	got := m.metrics.Get("entry.retries")
	if got > limit || got == 0 {
		t.Errorf("%d retries of %d calls, want at most %d", got, calls, limit)
	}
	t.Logf("retries of %d calls that fail: three attempts each %d, mesh %d", calls, 2*calls, got)
}

// maxSilence is the specified bound on how long a connection to a peer may stay silent,
// and timingTolerance is added for a busy machine.
const (
	maxSilence      = 2 * time.Second
	timingTolerance = time.Second
)

// TestSilentPeerConnection guards against calls that fail on a connection to a peer
// that has gone silent while new connections work.
func TestSilentPeerConnection(t *testing.T) {
	t.Parallel()
	// With a short deadline the call itself detects the silence, with a long one the
	// ping does.
	for _, timeout := range []string{"300", "10000"} {
		t.Run(timeout, func(t *testing.T) {
			t.Parallel()
			testSilentPeer(t, timeout)
		})
	}
}

func testSilentPeer(t *testing.T, timeout string) {
	up := newUpstream(t, echo)
	var box middlebox
	m := newMesh(t, meshOptions{peerProxy: box.proxy(t)}, up.addr())
	if got := m.call(t, http.MethodGet, "/slots/warm", ""); got.status != 200 {
		t.Fatalf("got %d %s", got.status, got.reason())
	}
	box.silence()
	start := time.Now()
	// The outcome of a non-idempotent call is unknown, and it may run at most once.
	if got := m.call(t, http.MethodPost, "/reserve/lost", "x", request.HeaderTimeout, timeout); got.outcome() != request.Unknown {
		t.Errorf("on the silent connection: got %d %s %s, want unknown", got.status, got.outcome(), got.reason())
	}
	lost := time.Since(start)
	if lost > maxSilence+timingTolerance {
		t.Errorf("the silent connection was abandoned after %v, want %v", lost, maxSilence)
	}
	for i := range 20 {
		path := fmt.Sprintf("/reserve/%d", i)
		if got := m.call(t, http.MethodPost, path, "x"); got.status != 200 || got.body != path {
			t.Errorf("call %d afterwards: got %d %s %s", i, got.status, got.outcome(), got.reason())
		}
	}
	t.Logf("entry to host: calls succeed again after %v (bound %v)", lost.Round(time.Millisecond), maxSilence)
}

// TestSilentPeerNaive shows that a plain HTTP/2 client does not recover from a silent
// connection within the bound.
func TestSilentPeerNaive(t *testing.T) {
	t.Parallel()
	up := newUpstream(t, echo)
	var box middlebox
	m := newMesh(t, meshOptions{}, up.addr())
	addr := box.proxy(t)(m.addr(0))
	tr := &http.Transport{Protocols: new(http.Protocols)}
	tr.Protocols.SetUnencryptedHTTP2(true)
	get := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), maxSilence/2)
		defer cancel()
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/forward/slots/1", nil)
		res, err := tr.RoundTrip(req)
		if err == nil {
			_ = res.Body.Close()
		}
		return err
	}
	if err := get(); err != nil {
		t.Fatal(err)
	}
	box.silence()
	failed := 0
	for range 3 {
		if get() != nil {
			failed++
		}
	}
	if failed != 3 {
		t.Errorf("%d of 3 calls of the plain client failed, so the test does not exercise the fault", failed)
	}
}

// TestSilentUpstreamConnections guards against one failed call for each idle
// connection to the upstream, when all of them have gone silent.
func TestSilentUpstreamConnections(t *testing.T) {
	t.Parallel()
	const conns = 6
	// The upstream answers once conns calls have arrived, so that each call has a
	// connection of its own.
	answerTogether := func() func(net.Conn, *http.Request, []byte) {
		var wg sync.WaitGroup
		wg.Add(conns)
		return func(c net.Conn, r *http.Request, body []byte) {
			if r.URL.Path == "/slots/warm" {
				wg.Done()
				wg.Wait()
			}
			echo(c, r, body)
		}
	}
	warm := func(call func(path string) bool) {
		var wg sync.WaitGroup
		for range conns {
			wg.Go(func() { call("/slots/warm") })
		}
		wg.Wait()
	}
	const within = 400 * time.Millisecond
	failures := func(call func(path string) bool) (n int) {
		for !call(fmt.Sprint("/slots/", n)) && n < 2*conns {
			n++
		}
		return n
	}
	var plainBox middlebox
	addr := plainBox.proxy(t)(newUpstream(t, answerTogether()).addr())
	tr := &http.Transport{MaxIdleConnsPerHost: conns}
	plainCall := func(path string, within time.Duration) bool {
		ctx, cancel := context.WithTimeout(t.Context(), within)
		defer cancel()
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+path, nil)
		res, err := tr.RoundTrip(req)
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		return res.StatusCode == 200
	}
	warm(func(path string) bool { return plainCall(path, 10*time.Second) })
	if n := plainBox.silence(); n < conns {
		t.Fatalf("%d connections, want %d", n, conns)
	}
	plainFailures := failures(func(path string) bool { return plainCall(path, within) })
	if plainFailures < conns {
		t.Errorf("the plain client failed %d times, want %d, so the test does not exercise the fault", plainFailures, conns)
	}
	runLocalAndForwarded(t, func(t *testing.T, local bool) {
		var box middlebox
		m := newMesh(t, meshOptions{local: local, upstreamProxy: box.proxy(t)}, newUpstream(t, answerTogether()).addr())
		call := func(path string) bool {
			return m.call(t, http.MethodGet, path, "", request.HeaderTimeout, fmt.Sprint(within.Milliseconds())).status == 200
		}
		var wg sync.WaitGroup
		for range conns {
			wg.Go(func() {
				if got := m.call(t, http.MethodGet, "/slots/warm", ""); got.status != 200 {
					t.Errorf("got %d %s", got.status, got.reason())
				}
			})
		}
		wg.Wait()
		if n := box.silence(); n < conns {
			t.Fatalf("%d connections, want %d", n, conns)
		}
		start := time.Now()
		// The first call detects the silence and closes all silent connections.
		meshFailures := failures(call)
		if meshFailures > 1 {
			t.Errorf("%d calls failed, want at most one", meshFailures)
		}
		t.Logf("host to upstream: calls failed on %d silent connections: plain client %d, mesh %d, %v after the first", conns, plainFailures, meshFailures, time.Since(start).Round(time.Millisecond))
	})
}
