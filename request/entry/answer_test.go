package entry

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// TestAnswerIsWhole guards against an answer that reaches the caller changed, truncated
// or swapped with that of another request: it must be passed on completely or refused.
func TestAnswerIsWhole(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 2<<16) // 2 MiB
	gzip := "\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xffnot checked on the way"
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
	cases := []struct {
		name, method string
		answer       func(net.Conn, *http.Request, []byte)
		status       int
		body         string
		header       [2]string
		trailer      [2]string
		reason       request.Reason // of a refusal with outcome unknown
		aborted      bool           // the caller sees that the answer is truncated
	}{
		{name: "contentLength", answer: raw(head + "Content-Length: 5\r\nX-A: b\r\n\r\nhello"), status: 200, body: "hello", header: [2]string{"X-A", "b"}},
		{name: "chunked", answer: raw(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"), status: 200, body: "hello"},
		{name: "trailer", answer: raw(head + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 9\r\n\r\n"), status: 200, body: "hello", trailer: [2]string{"X-Sum", "9"}},
		{name: "empty", answer: raw(head + "Content-Length: 0\r\n\r\n"), status: 200},
		{name: "noContent", answer: raw("HTTP/1.1 204 No Content\r\nRequest-Id: {id}\r\n\r\n"), status: 204},
		{name: "notModified", answer: raw("HTTP/1.1 304 Not Modified\r\nRequest-Id: {id}\r\nEtag: \"1\"\r\n\r\n"), status: 304, header: [2]string{"Etag", `"1"`}},
		{name: "head", method: http.MethodHead, answer: raw(head + "Content-Length: 12345\r\n\r\n"), status: 200, header: [2]string{"Content-Length", "12345"}},
		{name: "informational", answer: raw("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok"), status: 200, body: "ok"},
		{name: "redirect", answer: raw("HTTP/1.1 302 Found\r\nRequest-Id: {id}\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"), status: 302, header: [2]string{"Location", "/elsewhere"}},
		{name: "redirectUnparsable", answer: raw("HTTP/1.1 302 Found\r\nRequest-Id: {id}\r\nLocation: http://[::1%/x\r\nContent-Length: 0\r\n\r\n"), status: 302, header: [2]string{"Location", "http://[::1%/x"}},
		{name: "serverError", answer: raw("HTTP/1.1 500 Oops\r\nRequest-Id: {id}\r\nContent-Length: 4\r\n\r\noops"), status: 500, body: "oops"},
		{name: "compressed", answer: raw(head + "Content-Encoding: gzip\r\nContent-Length: " + fmt.Sprint(len(gzip)) + "\r\n\r\n" + gzip), status: 200, body: gzip, header: [2]string{"Content-Encoding", "gzip"}},
		{name: "long", answer: raw(head + "Content-Length: " + fmt.Sprint(len(long)) + "\r\n\r\n" + long), status: 200, body: long},
		{name: "longCut", answer: rawThenClose(head + "Content-Length: " + fmt.Sprint(len(long)+1) + "\r\n\r\n" + long), status: 200, aborted: true},
		{name: "longChunkedCut", answer: rawThenClose(head + "Transfer-Encoding: chunked\r\n\r\n200000\r\n" + long + "\r\n"), status: 200, aborted: true},
		{name: "shorterThanAnnounced", answer: rawThenClose(head + "Content-Length: 10\r\n\r\nhello"), reason: request.ReasonTruncated},
		{name: "chunkedCut", answer: rawThenClose(head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"), reason: request.ReasonTruncated},
		{name: "wrongID", answer: raw("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\nhello"), reason: request.ReasonMismatch},
		{name: "noID", answer: raw("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"), reason: request.ReasonMismatch},
		{name: "switchingProtocols", answer: raw("HTTP/1.1 101 Switching Protocols\r\nRequest-Id: {id}\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n"), reason: request.ReasonMismatch},
		{name: "invalidStatus", answer: raw("HTTP/1.1 099 Odd\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"), reason: request.ReasonMismatch},
		{name: "meshHeaders", answer: raw(head + "Kingcuppitch-Refused: true\r\nKingcuppitch-Outcome: notRun\r\nKingcuppitch-Reason: overload\r\nConnection: X-Hop\r\nX-Hop: 1\r\nContent-Length: 2\r\n\r\nok"), status: 200, body: "ok", header: [2]string{"X-Hop", ""}},
	}
	runLocalAndForwarded(t, func(t *testing.T, local bool) {
		for _, c := range cases {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				up := newUpstream(t, c.answer)
				m := newMesh(t, meshOptions{local: local}, up.addr())
				method := c.method
				if method == "" {
					method = http.MethodGet
				}
				// A non-idempotent route shows the result of one attempt.
				got := m.call(t, method, "/reserve/1", "", request.HeaderUpstreamRequest, "mine")
				if c.aborted {
					if got.err == nil {
						t.Fatalf("got %d bytes as a complete answer, want an error", len(got.body))
					}
					return
				}
				if got.err != nil {
					t.Fatal(got.err)
				}
				if n := up.ran("/reserve/1"); n != 1 {
					t.Errorf("the request ran %d times, want once", n)
				}
				for name := range got.header {
					if strings.HasPrefix(name, "Kingcuppitch-") && name != request.HeaderOutcome && (c.reason == "" || name != request.HeaderReason) {
						t.Errorf("header %s leaked to the caller", name)
					}
				}
				if id := got.header.Get(request.HeaderUpstreamRequest); id != "" {
					t.Errorf("the id %q of the attempt leaked to the caller", id)
				}
				if c.reason != "" {
					if got.outcome() != request.Unknown || got.reason() != c.reason || got.status != http.StatusBadGateway {
						t.Errorf("got %d %s %s, want 502 unknown %s", got.status, got.outcome(), got.reason(), c.reason)
					}
					return
				}
				if got.status != c.status || got.outcome() != request.Ran {
					t.Errorf("got %d %s %s, want %d ran: %.80s", got.status, got.outcome(), got.reason(), c.status, got.body)
				}
				if got.body != c.body {
					t.Errorf("got a body of %d bytes %.40q, want %d bytes %.40q", len(got.body), got.body, len(c.body), c.body)
				}
				if h := c.header; h[0] != "" && got.header.Get(h[0]) != h[1] {
					t.Errorf("header %s: got %q, want %q", h[0], got.header.Get(h[0]), h[1])
				}
				if h := c.trailer; h[0] != "" && got.trailer.Get(h[0]) != h[1] {
					t.Errorf("trailer %s: got %q, want %q", h[0], got.trailer.Get(h[0]), h[1])
				}
			})
		}
	})
}

// TestRequestIsPassedOn guards against a request that reaches the upstream changed, and
// against hop-by-hop or mesh headers in it.
func TestRequestIsPassedOn(t *testing.T) {
	runLocalAndForwarded(t, func(t *testing.T, local bool) {
		var mu sync.Mutex
		var seen *http.Request
		var seenBody []byte
		up := newUpstream(t, func(c net.Conn, r *http.Request, body []byte) {
			mu.Lock()
			seen, seenBody = r, body
			mu.Unlock()
			echo(c, r, body)
		})
		m := newMesh(t, meshOptions{local: local}, up.addr())
		got := m.call(t, http.MethodPost, "/reserve//a/../b%2Fc?q=1%20&q=2;x", "body", "X-A", "b", "Connection", "X-Hop", "X-Hop", "1",
			"Te", "trailers", "Kingcuppitch-Idempotent", "true", "Kingcuppitch-Route", "archive", "Kingcuppitch-Run-By-Ms", "x",
			request.HeaderTimeout, "2000", request.HeaderKey, "")
		if got.err != nil || got.status != 400 {
			t.Errorf("an empty key: got %d %v, want 400", got.status, got.err)
		}
		got = m.call(t, http.MethodPost, "/reserve//a/../b%2Fc?q=1%20&q=2;x", "body", "X-A", "b", "Connection", "X-Hop", "X-Hop", "1",
			"Te", "trailers", "Kingcuppitch-Idempotent", "true", "Kingcuppitch-Route", "archive", "Kingcuppitch-Run-By-Ms", "x",
			request.HeaderTimeout, "2000", "User-Agent", "")
		if got.err != nil || got.status != 200 {
			t.Fatalf("got %d %s %v", got.status, got.body, got.err)
		}
		mu.Lock()
		defer mu.Unlock()
		if seen.RequestURI != "/reserve//a/../b%2Fc?q=1%20&q=2;x" || string(seenBody) != "body" || seen.ContentLength != 4 || seen.Method != "POST" {
			t.Errorf("got %s %s with %d bytes %q", seen.Method, seen.RequestURI, seen.ContentLength, seenBody)
		}
		for name := range seen.Header {
			switch name {
			case "X-A", request.HeaderUpstreamRequest, request.HeaderTimeout, "Content-Length":
			default:
				t.Errorf("the upstream received header %s: %q, which the caller did not send to it", name, seen.Header[name])
			}
		}
	})
}

// TestCrossedAnswers guards against the answer of another request. The upstream swaps
// the answers of each pair of concurrent requests. A plain client with three attempts
// and no check of the request id accepts these answers.
func TestCrossedAnswers(t *testing.T) {
	const pairs = 40
	swapAnswers := func() func(net.Conn, *http.Request, []byte) {
		type waiting struct {
			c net.Conn
			r *http.Request
		}
		var mu sync.Mutex
		var first *waiting
		return func(c net.Conn, r *http.Request, _ []byte) {
			mu.Lock()
			defer mu.Unlock()
			if first == nil {
				first = &waiting{c, r}
				return
			}
			echo(first.c, r, nil)
			echo(c, first.r, nil)
			first = nil
		}
	}
	run := func(call func(path string) (status int, body string)) (wrong, answered int) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 2 * pairs {
			wg.Go(func() {
				path := fmt.Sprintf("/slots/%d", i)
				status, body := call(path)
				mu.Lock()
				defer mu.Unlock()
				if status == 200 {
					answered++
					if body != path {
						wrong++
					}
				}
			})
		}
		wg.Wait()
		return wrong, answered
	}
	plain := newUpstream(t, swapAnswers())
	plainWrong, _ := run(func(path string) (int, string) {
		for range 3 {
			if res, err := http.Get("http://" + plain.addr().String() + path); err == nil {
				defer func() { _ = res.Body.Close() }()
				buf := make([]byte, 64)
				n, _ := res.Body.Read(buf)
				return res.StatusCode, string(buf[:n])
			}
		}
		return 0, ""
	})
	if plainWrong == 0 {
		t.Error("the plain client received no wrong answer, so the test does not exercise the fault")
	}
	runLocalAndForwarded(t, func(t *testing.T, local bool) {
		up := newUpstream(t, swapAnswers())
		m := newMesh(t, meshOptions{local: local}, up.addr())
		wrong, answered := run(func(path string) (int, string) {
			got := m.call(t, http.MethodGet, path, "")
			return got.status, got.body
		})
		if wrong != 0 {
			t.Errorf("%d of %d answers belong to another request", wrong, answered)
		}
		t.Logf("wrong answers of %d: plain client %d, mesh %d", 2*pairs, plainWrong, wrong)
	})
}

// TestLateAnswer guards against an answer that arrives after its request reached its
// deadline, and is then taken for that of the next request.
func TestLateAnswer(t *testing.T) {
	runLocalAndForwarded(t, func(t *testing.T, local bool) {
		var once sync.Once
		late := make(chan struct{})
		up := newUpstream(t, func(c net.Conn, r *http.Request, body []byte) {
			first := false
			once.Do(func() { first = true })
			if first {
				<-late
			}
			echo(c, r, body)
		})
		m := newMesh(t, meshOptions{local: local}, up.addr())
		start := time.Now()
		if got := m.call(t, http.MethodPost, "/reserve/first", "x", request.HeaderTimeout, "100"); got.outcome() != request.Unknown || got.reason() != request.ReasonDeadline && got.reason() != request.ReasonNoAnswer {
			t.Errorf("got %d %s %s, want unknown deadline", got.status, got.outcome(), got.reason())
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("the refusal took %v after a deadline of 100 ms", took)
		}
		close(late)
		for i := range 20 {
			path := fmt.Sprintf("/reserve/%d", i)
			if got := m.call(t, http.MethodPost, path, "x"); got.status != 200 || got.body != path {
				t.Errorf("%s: got %d %q %s", path, got.status, got.body, got.reason())
			}
		}
	})
}
