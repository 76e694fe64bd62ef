package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// breakOnReuse answers the first request of a connection and closes the connection
// after it ran the second. An upstream does so if it closes an idle connection or
// crashes at that moment.
func breakOnReuse() func(net.Conn, *http.Request, []byte) {
	var mu sync.Mutex
	answered := make(map[net.Conn]bool)
	return func(c net.Conn, r *http.Request, body []byte) {
		mu.Lock()
		reused := answered[c]
		answered[c] = true
		mu.Unlock()
		if reused {
			_ = c.Close()
			return
		}
		echo(c, r, body)
	}
}

// TestRunsAtMostOnce guards against a non-idempotent request that reaches the upstream
// twice, because net/http or the entry sends it again when a reused connection breaks.
// A plain client with three attempts sends it again.
func TestRunsAtMostOnce(t *testing.T) {
	type kind struct{ method, body, key string }
	var kinds []kind
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		for _, body := range []string{"", "body"} {
			for _, key := range []string{"", request.HeaderKey, "X-Idempotency-Key"} {
				kinds = append(kinds, kind{method, body, key})
			}
		}
	}
	const rounds = 2
	plain := newUpstream(t, breakOnReuse())
	duplicates := 0
	for i, k := range kinds {
		path := fmt.Sprintf("/reserve/%d", i)
		for range rounds {
			for range 3 {
				req, _ := http.NewRequest(k.method, "http://"+plain.addr().String()+path, strings.NewReader(k.body))
				if k.key != "" {
					req.Header.Set(k.key, path)
				}
				if res, err := http.DefaultClient.Do(req); err == nil {
					_, _ = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
					break
				}
			}
		}
		duplicates += plain.ran(path) - rounds
	}
	if duplicates == 0 {
		t.Error("the plain client ran nothing twice, so the test does not exercise the fault")
	}
	runLocalAndForwarded(t, func(t *testing.T, local bool) {
		up := newUpstream(t, breakOnReuse())
		m := newMesh(t, meshOptions{local: local, claims: new(fakeClaims)}, up.addr(), up.addr())
		brokenConns, extraRuns := 0, 0
		for i, k := range kinds {
			for round := range rounds {
				path := fmt.Sprintf("/reserve/%d/%d", i, round)
				var header []string
				if k.key != "" {
					header = []string{k.key, path}
				}
				got := m.call(t, k.method, path, k.body, header...)
				if n := up.ran(path); n != 1 {
					extraRuns += n - 1
					t.Errorf("%+v: ran %d times, want once", k, n)
				}
				switch got.outcome() {
				case request.Ran:
				case request.Unknown:
					brokenConns++
				default:
					t.Errorf("%+v: got %d %s %s after a run", k, got.status, got.outcome(), got.reason())
				}
			}
		}
		if brokenConns == 0 {
			t.Error("no reused connection broke, so the test does not exercise the fault")
		}
		t.Logf("runs beyond the first of %d requests: plain client %d, mesh %d; broken connections %d", rounds*len(kinds), duplicates, extraRuns, brokenConns)
	})
}

// resetPeer implements just enough HTTP/2 to count the streams of requests and to end
// each with a stream error.
type resetPeer struct {
	ln   net.Listener
	code byte
	mu   sync.Mutex
	n    int
}

func (p *resetPeer) serve() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			preface := make([]byte, 24)
			if _, err := io.ReadFull(c, preface); err != nil {
				return
			}
			_, _ = c.Write([]byte{0, 0, 0, 4, 0, 0, 0, 0, 0}) // SETTINGS
			for {
				h := make([]byte, 9)
				if _, err := io.ReadFull(c, h); err != nil {
					return
				}
				if _, err := io.CopyN(io.Discard, c, int64(h[0])<<16|int64(h[1])<<8|int64(h[2])); err != nil {
					return
				}
				switch {
				case h[3] == 4 && h[4]&1 == 0:
					_, _ = c.Write([]byte{0, 0, 0, 4, 1, 0, 0, 0, 0}) // acknowledge
				case h[3] == 1: // HEADERS
					p.mu.Lock()
					p.n++
					p.mu.Unlock()
					_, _ = c.Write([]byte{0, 0, 4, 3, 0, h[5], h[6], h[7], h[8], 0, 0, 0, p.code}) // RST_STREAM
				}
			}
		}()
	}
}

// TestForwardedOnce guards against net/http retrying a call between daemons: after the
// stream error PROTOCOL_ERROR it retries each request without a body, including POST,
// as often as the error occurs.
func TestForwardedOnce(t *testing.T) {
	for _, target := range [][2]string{{http.MethodGet, "/reserve/1"}, {http.MethodPost, "/reserve/1"}, {http.MethodGet, "/slots/1"}} {
		for _, body := range []string{"", "body"} {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = ln.Close() })
			const protocolError = 1
			p := &resetPeer{ln: ln, code: protocolError}
			go p.serve()
			m := newMesh(t, meshOptions{peerProxy: redirectTo(ln)}, newUpstream(t, echo).addr())
			got := m.call(t, target[0], target[1], body)
			p.mu.Lock()
			if p.n != 1 || got.outcome() != request.Unknown {
				t.Errorf("%s with body %q: sent %d times, outcome %s, want once and unknown", target, body, p.n, got.outcome())
			}
			p.mu.Unlock()
		}
	}
}

// TestCancelledCall guards against an upstream that keeps working for a caller that
// gave up, against a claim that is released although its request may have run, and
// against counting the cancellation as a failure of the instance.
func TestCancelledCall(t *testing.T) {
	runLocalAndForwarded(t, func(t *testing.T, local bool) {
		arrived, ended := make(chan struct{}, 2), make(chan error, 2)
		up := newUpstream(t, func(c net.Conn, r *http.Request, body []byte) {
			if r.URL.Path != "/reserve/cancelled" {
				echo(c, r, body)
				return
			}
			arrived <- struct{}{}
			_, err := c.Read(make([]byte, 1))
			ended <- err
		})
		claims := new(fakeClaims)
		m := newMesh(t, meshOptions{local: local, claims: claims}, up.addr())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan reply)
		go func() { done <- m.callCtx(ctx, http.MethodPost, "/reserve/cancelled", "x", request.HeaderKey, "k") }()
		<-arrived
		cancel()
		if got := <-done; got.err == nil {
			t.Errorf("got status %d, want a cancelled call", got.status)
		}
		select {
		case err := <-ended:
			if err == nil {
				t.Error("the upstream received another byte")
			}
		case <-time.After(answerWithin - time.Second):
			t.Fatal("the upstream was not told that the caller gave up")
		}
		// The retry is refused because the first call may have run. Wait until that
		// call has ended.
		waitFor(t, func() bool { return m.metrics.Get("entry.refused.cancelled") > 0 })
		m.entry.finishes.Wait()
		if got := m.call(t, http.MethodPost, "/reserve/cancelled", "x", request.HeaderKey, "k"); got.status != http.StatusConflict || got.outcome() != request.Unknown {
			t.Errorf("retry: got %d %s %s, want 409 unknown", got.status, got.outcome(), got.reason())
		}
		if n := claims.released["k"]; n != 0 {
			t.Errorf("the claim was released %d times", n)
		}
		if _, failing := m.entry.loads.Ratio("booking-0", time.Now()); failing {
			t.Error("the instance counts as failing because its caller gave up")
		}
	})
}

func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not reached within 5 s")
		}
	}
}

// TestKeyedEnds guards against a key that stays claimed although nothing ran, and
// against a replayed answer that differs from the stored one.
func TestKeyedEnds(t *testing.T) {
	long := strings.Repeat("x", 5<<10)
	answers := map[string]string{
		"/reserve/plain": "HTTP/1.1 201 Created\r\nRequest-Id: {id}\r\nContent-Type: text/a\r\nContent-Length: 2\r\n\r\nok",
		"/reserve/gzip":  "HTTP/1.1 201 Created\r\nRequest-Id: {id}\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"/reserve/long":  "HTTP/1.1 201 Created\r\nRequest-Id: {id}\r\nContent-Length: 5120\r\n\r\n" + long,
	}
	up := newUpstream(t, func(c net.Conn, r *http.Request, body []byte) { raw(answers[r.URL.Path])(c, r, body) })
	claims := new(fakeClaims)
	m := newMesh(t, meshOptions{claims: claims}, up.addr())
	for path, want := range map[string][2]string{"/reserve/plain": {"ok", ""}, "/reserve/gzip": {"", "bodyNotKept"}, "/reserve/long": {"", "bodyNotKept"}} {
		if got := m.call(t, http.MethodPost, path, "x", request.HeaderKey, path); got.status != 201 || got.outcome() != request.Ran {
			t.Errorf("%s: got %d %s", path, got.status, got.outcome())
		}
		m.entry.finishes.Wait()
		got := m.call(t, http.MethodPost, path, "x", request.HeaderKey, path)
		if got.status != 201 || got.outcome() != request.Replayed || got.body != want[0] || string(got.reason()) != want[1] {
			t.Errorf("%s replayed: got %d %s %.20q %q, want %q", path, got.status, got.outcome(), got.body, got.reason(), want)
		}
		if n := up.ran(path); n != 1 {
			t.Errorf("%s ran %d times", path, n)
		}
	}
	up.close()
	for range 2 { // the second call shows that the first released its claim
		got := m.call(t, http.MethodPost, "/reserve/plain", "x", request.HeaderKey, "free")
		m.entry.finishes.Wait()
		if got.outcome() != request.NotRun || got.reason() != request.ReasonConnect {
			t.Errorf("without an upstream: got %d %s %s, want notRun connect", got.status, got.outcome(), got.reason())
		}
	}
	claims.mu.Lock()
	claims.down = true
	claims.mu.Unlock()
	if got := m.call(t, http.MethodPost, "/reserve/plain", "x", request.HeaderKey, "new"); got.outcome() != request.NotRun || got.reason() != request.ReasonLogOut {
		t.Errorf("without the log: got %d %s %s, want notRun logUnavailable", got.status, got.outcome(), got.reason())
	}
}

// TestKeyBelongsToPath guards against an answer that is replayed for a request to
// another path for which a caller used the same key.
func TestKeyBelongsToPath(t *testing.T) {
	up := newUpstream(t, echo)
	m := newMesh(t, meshOptions{claims: new(fakeClaims)}, up.addr())
	for _, path := range []string{"/reserve/a", "/reserve/b"} {
		if got := m.call(t, http.MethodPost, path, "x", request.HeaderKey, "same"); got.outcome() != request.Ran {
			t.Errorf("%s: got %d %s, want ran", path, got.status, got.outcome())
		}
		m.entry.finishes.Wait()
	}
	for _, path := range []string{"/reserve/a", "/reserve/b"} {
		if n := up.ran(path); n != 1 {
			t.Errorf("%s ran %d times, want once", path, n)
		}
	}
}
