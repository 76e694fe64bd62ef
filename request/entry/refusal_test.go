package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/peer"
	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/host"
)

// maxRefusalTime bounds the time of a refusal that does not have to wait.
const maxRefusalTime = time.Second

// checkRefusal checks the form of a refusal.
func checkRefusal(t *testing.T, name string, got reply, status int, outcome request.Outcome, reason request.Reason) {
	t.Helper()
	var body struct {
		Error, Outcome, Reason string
		RetryAt                *time.Time
	}
	if got.err != nil {
		t.Errorf("%s: %v", name, got.err)
		return
	}
	if err := json.Unmarshal([]byte(got.body), &body); err != nil {
		t.Errorf("%s: body %q: %v", name, got.body, err)
	}
	if got.status != status || got.outcome() != outcome || got.reason() != reason || body.Outcome != string(outcome) || body.Reason != string(reason) || body.Error == "" {
		t.Errorf("%s: got %d %s %s with %+v, want %d %s %s", name, got.status, got.outcome(), got.reason(), body, status, outcome, reason)
	}
	after, err := strconv.Atoi(got.header.Get("Retry-After"))
	if status >= 500 && (err != nil || after < 1 || body.RetryAt == nil || time.Until(*body.RetryAt) > time.Duration(after)*time.Second) {
		t.Errorf("%s: got Retry-After %q and retryAt %v, want at least a second", name, got.header.Get("Retry-After"), body.RetryAt)
	}
}

// TestRefusals guards against refusals that are late, do not state the outcome, or are
// sent although the request reached the upstream.
func TestRefusals(t *testing.T) {
	up := newUpstream(t, echo)
	m := newMesh(t, meshOptions{claims: new(fakeClaims)}, up.addr())
	big := strings.Repeat("x", request.MaxBody+1)
	old := time.Now().Add(-25 * time.Hour).UTC().Format(http.TimeFormat)
	for _, c := range []struct {
		name, method, path, body string
		header                   []string
		status                   int
		reason                   request.Reason
	}{
		{"unknownRoute", "GET", "/nowhere", "", nil, 404, request.ReasonNoRoute},
		{"internalRoute", "GET", "/archive/1", "", nil, 403, request.ReasonInternalRoute},
		{"internalRouteForged", "GET", "/archive/1", "", []string{"X-Forwarded-For", "127.0.0.1", "Kingcuppitch-Route", "archive"}, 403, request.ReasonInternalRoute},
		{"bodyTooLong", "POST", "/reserve/1", big, nil, 413, request.ReasonTooLarge},
		{"timeoutNotANumber", "GET", "/slots/1", "", []string{request.HeaderTimeout, "soon"}, 400, request.ReasonMalformed},
		{"timeoutNegative", "GET", "/slots/1", "", []string{request.HeaderTimeout, "-5"}, 400, request.ReasonMalformed},
		{"timeoutOverflow", "GET", "/slots/1", "", []string{request.HeaderTimeout, "99999999999999999999"}, 400, request.ReasonMalformed},
		{"keyTooLong", "POST", "/reserve/1", "x", []string{request.HeaderKey, strings.Repeat("k", maxKeyBytes+1)}, 400, request.ReasonMalformed},
		{"keyEmpty", "POST", "/reserve/1", "x", []string{request.HeaderKey, ""}, 400, request.ReasonMalformed},
		{"keyDate", "POST", "/reserve/1", "x", []string{request.HeaderKey, "k", request.HeaderKeyDate, "yesterday"}, 400, request.ReasonMalformed},
		{"keyExpired", "POST", "/reserve/1", "x", []string{request.HeaderKey, "k", request.HeaderKeyDate, old}, 409, request.ReasonKeyExpired},
	} {
		start := time.Now()
		got := m.call(t, c.method, c.path, c.body, c.header...)
		if took := time.Since(start); took > maxRefusalTime {
			t.Errorf("%s: refused after %v", c.name, took)
		}
		checkRefusal(t, c.name, got, c.status, request.NotRun, c.reason)
	}
	for _, c := range []struct {
		name, wire string
		status     int
		reason     request.Reason
	}{
		{"chunkedTooLong", "POST /reserve/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\n" + big + "\r\n0\r\n\r\n", 413, request.ReasonTooLarge},
		{"announcedTooLong", "POST /reserve/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 1048577\r\n\r\n", 413, request.ReasonTooLarge},
		{"chunkMalformed", "POST /reserve/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, request.ReasonMalformed},
		{"bodyStalls", "POST /reserve/1 HTTP/1.1\r\nHost: x\r\nRequest-Timeout-Ms: 100\r\nContent-Length: 10\r\n\r\nhalf", 408, request.ReasonDeadline},
		{"connect", "CONNECT /reserve/1 HTTP/1.1\r\nHost: x\r\n\r\n", 405, request.ReasonMalformed},
		{"twoKeys", "POST /reserve/1 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n", 400, request.ReasonMalformed},
	} {
		start := time.Now()
		got := sendWire(t, strings.TrimPrefix(m.url, "http://"), c.wire)
		if took := time.Since(start); took > maxRefusalTime {
			t.Errorf("%s: refused after %v", c.name, took)
		}
		checkRefusal(t, c.name, got, c.status, request.NotRun, c.reason)
	}
	if n := up.seen.Load(); n != 0 {
		t.Errorf("the upstream saw %d requests", n)
	}
	// A body of exactly the limit is accepted.
	if got := m.call(t, http.MethodPost, "/reserve/1", big[1:]); got.status != 200 {
		t.Errorf("a body of 1 MiB: got %d %s", got.status, got.reason())
	}
	internal := newMesh(t, meshOptions{entry: []Option{WithInternalCallers(netip.MustParsePrefix("127.0.0.0/8"))}}, up.addr())
	if got := internal.call(t, http.MethodGet, "/archive/1", ""); got.status != 200 {
		t.Errorf("internal caller: got %d %s", got.status, got.reason())
	}
	none := newMesh(t, meshOptions{})
	checkRefusal(t, "noInstance", none.call(t, http.MethodGet, "/slots/1", ""), 503, request.NotRun, request.ReasonNoInstance)
	none.entry.view = fixedView{&control.Snapshot{}}
	checkRefusal(t, "notReady", none.call(t, http.MethodGet, "/slots/1", ""), 503, request.NotRun, request.ReasonNotReady)
}

// sendWire sends raw bytes and reads one answer.
func sendWire(t *testing.T, addr, wire string) reply {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	go func() { _, _ = io.WriteString(c, wire) }()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	data, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header, res.Trailer, string(data), res.ContentLength, err}
}

// TestMalformedForwardedCalls guards against a malformed forwarded call that crashes a
// daemon, runs, or is answered without its id.
func TestMalformedForwardedCalls(t *testing.T) {
	up := newUpstream(t, echo)
	m := newMesh(t, meshOptions{}, up.addr())
	addr := m.addr(0)
	good := map[string]string{
		request.HeaderRequest: "id", request.HeaderTimeout: "1000", request.HeaderVersion: "7",
		"Kingcuppitch-Idempotent": "true", request.HeaderUpstreamVersion: "v1",
	}
	var pool peer.Pool
	defer pool.Close()
	send := func(name, value, body string) (int, http.Header) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr.String()+host.ForwardPrefix+"reserve/1", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		for k, v := range good {
			req.Header.Set(k, v)
		}
		if name != "" {
			req.Header.Set(name, value)
		}
		res, err := pool.Client(addr).Transport.RoundTrip(req)
		if err != nil {
			t.Errorf("%s=%q: %v", name, value, err)
			return 0, http.Header{}
		}
		_ = res.Body.Close()
		return res.StatusCode, res.Header
	}
	for _, c := range [][2]string{
		{request.HeaderRequest, ""}, {request.HeaderTimeout, ""}, {request.HeaderTimeout, "0"}, {request.HeaderTimeout, "-1"}, {request.HeaderTimeout, "x"},
		{request.HeaderVersion, "x"}, {request.HeaderVersion, ""}, {"Kingcuppitch-Idempotent", "perhaps"}, {"Kingcuppitch-Run-By-Ms", "x"},
		{"Kingcuppitch-Run-By-Ms", "-9223372036854775808"}, {request.HeaderUpstreamVersion, "v9"},
	} {
		status, h := send(c[0], c[1], "x")
		if status < 400 || h.Get(request.HeaderOutcome) != string(request.NotRun) {
			t.Errorf("%s=%q: got %d %s, want a refusal as notRun", c[0], c[1], status, h.Get(request.HeaderOutcome))
		}
	}
	if status, h := send("", "", strings.Repeat("x", request.MaxBody+1)); status != 413 || h.Get(request.HeaderOutcome) != string(request.NotRun) {
		t.Errorf("body too long: got %d %s", status, h.Get(request.HeaderOutcome))
	}
	if n := up.seen.Load(); n != 0 {
		t.Errorf("the upstream saw %d requests", n)
	}
	// The longest timeout must not overflow into one that has passed.
	for _, ms := range []string{"1000", "9223372036854775807"} {
		if status, h := send(request.HeaderTimeout, ms, "x"); status != 200 || h.Get(request.HeaderRequest) != "id" {
			t.Errorf("timeout %s: got %d with id %q", ms, status, h.Get(request.HeaderRequest))
		}
	}
}

// TestNotRunIsTrue guards against a refusal with the outcome notRun for a request of
// which the upstream received a byte.
func TestNotRunIsTrue(t *testing.T) {
	runLocalAndForwarded(t, func(t *testing.T, local bool) {
		for _, c := range []struct {
			name    string
			wire    func(c net.Conn) // instead of an upstream; nil refuses connections
			outcome request.Outcome  // empty where the upstream reads nothing, so that notRun and unknown are both true
		}{
			{"connectionRefused", nil, request.NotRun},
			{"closedAtOnce", func(net.Conn) {}, ""},
			{"resetAtOnce", func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }, ""},
			{"closedAfterAByte", func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }, request.Unknown},
			{"closedAfterTheRequest", func(c net.Conn) { _, _ = http.ReadRequest(bufio.NewReader(c)) }, request.Unknown},
			{"closedInTheAnswer", func(c net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, "HTTP/1.1 200 O")
			}, request.Unknown},
			{"neverAnswers", func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, request.Unknown},
		} {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				ln := listenUnique(t)
				if c.wire == nil {
					_ = ln.Close()
				} else {
					t.Cleanup(func() { _ = ln.Close() })
					go func() {
						for {
							conn, err := ln.Accept()
							if err != nil {
								return
							}
							go func() {
								c.wire(conn)
								_ = conn.Close()
							}()
						}
					}()
				}
				m := newMesh(t, meshOptions{local: local}, netip.MustParseAddrPort(ln.Addr().String()))
				for i := range 5 {
					got := m.call(t, http.MethodPost, fmt.Sprint("/reserve/", i), "body", request.HeaderTimeout, "300")
					if o := got.outcome(); o != c.outcome && (c.outcome != "" || o != request.NotRun && o != request.Unknown) {
						t.Errorf("got %d %s %s, want %s", got.status, got.outcome(), got.reason(), c.outcome)
					}
				}
			})
		}
	})
}

// TestQueueDeadline guards against a request that runs although its caller was told
// that its deadline passed in the queue, and against a request that waits although the
// queue is full.
func TestQueueDeadline(t *testing.T) {
	runLocalAndForwarded(t, func(t *testing.T, local bool) {
		running, release := make(chan struct{}), make(chan struct{})
		up := newUpstream(t, func(c net.Conn, r *http.Request, body []byte) {
			if r.URL.Path == "/reserve/running" {
				close(running)
				<-release
			}
			echo(c, r, body)
		})
		m := newMesh(t, meshOptions{local: local, slots: 1}, up.addr())
		first, queued := make(chan reply, 1), make(chan reply, 1)
		go func() { first <- m.call(t, http.MethodPost, "/reserve/running", "x") }()
		<-running
		go func() { queued <- m.call(t, http.MethodPost, "/reserve/queued", "x", request.HeaderTimeout, "300") }()
		waitFor(t, func() bool { _, n, _, _ := m.limiter.Load(); return n == 1 })
		start := time.Now()
		checkRefusal(t, "full", m.call(t, http.MethodPost, "/reserve/full", "x"), 503, request.NotRun, request.ReasonOverload)
		if took := time.Since(start); took > maxRefusalTime {
			t.Errorf("a full queue refused after %v", took)
		}
		got := <-queued
		close(release)
		// A forwarded call may reach its deadline at the entry first.
		if got.status < 500 || got.outcome() != request.NotRun && (local || got.outcome() != request.Unknown) {
			t.Errorf("queued: got %d %s %s", got.status, got.outcome(), got.reason())
		}
		if got := <-first; got.status != 200 {
			t.Errorf("running: got %d %s %s", got.status, got.outcome(), got.reason())
		}
		// A later call shows that the slot was returned.
		if got := m.call(t, http.MethodPost, "/reserve/later", "x"); got.status != 200 {
			t.Errorf("later: got %d %s %s", got.status, got.outcome(), got.reason())
		}
		if up.ran("/reserve/queued")+up.ran("/reserve/full") != 0 {
			t.Errorf("refused requests ran: queued %d, full %d", up.ran("/reserve/queued"), up.ran("/reserve/full"))
		}
		t.Logf("deadline in the queue: %d %s %s", got.status, got.outcome(), got.reason())
	})
}

// TestHostDies guards against a wrong outcome when the host stops before, during or
// after the run of a request.
func TestHostDies(t *testing.T) {
	running := make(chan struct{}, 1)
	up := newUpstream(t, func(c net.Conn, r *http.Request, body []byte) {
		if r.URL.Path == "/reserve/during" {
			running <- struct{}{}
			_, _ = c.Read(make([]byte, 1))
			return
		}
		echo(c, r, body)
	})
	m := newMesh(t, meshOptions{}, up.addr())
	if got := m.call(t, http.MethodPost, "/reserve/after", "x"); got.outcome() != request.Ran {
		t.Errorf("after: got %d %s %s", got.status, got.outcome(), got.reason())
	}
	done := make(chan reply)
	go func() { done <- m.call(t, http.MethodPost, "/reserve/during", "x") }()
	<-running
	_ = m.hosts[0].Listener.Close()
	m.hosts[0].CloseClientConnections()
	checkRefusal(t, "during", <-done, 502, request.Unknown, request.ReasonConnection)
	checkRefusal(t, "before", m.call(t, http.MethodPost, "/reserve/before", "x"), 503, request.NotRun, request.ReasonConnect)
	if up.ran("/reserve/after") != 1 || up.ran("/reserve/during") != 1 || up.ran("/reserve/before") != 0 {
		t.Errorf("ran %v, want after and during once, before never", up.runs)
	}
}
