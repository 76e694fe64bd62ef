package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// testServer is a server on loopback.
type testServer struct {
	t      *testing.T
	server *Server
	addr   string
}

func newTestServer(t *testing.T, h http.HandlerFunc, configure ...func(s *Server)) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Handler: h, Limits: func() Limits {
		return Limits{HeaderBytes: 8 << 10, HeaderWithin: 300 * time.Millisecond, IdleWithin: 10 * time.Second}
	}}
	for _, f := range configure {
		f(s)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("got %v, want %v", err, http.ErrServerClosed)
		}
	}()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Errorf("shutdown: %v", err)
		}
		<-served
	})
	return &testServer{t: t, server: s, addr: l.Addr().String()}
}

// dial opens a connection and sends text on it.
func (r *testServer) dial(text string) (net.Conn, *bufio.Reader) {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		r.t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// getLast returns a request that ends its connection.
func getLast(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
}

func readResponse(t *testing.T, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(body)
}

// TestRequestsAhead guards against pipelined requests that wait for earlier
// responses, and against responses that are out of order.
func TestRequestsAhead(t *testing.T) {
	const n = 5
	var running atomic.Int32
	all := make(chan struct{})
	r := newTestServer(t, func(w http.ResponseWriter, req *http.Request) {
		if running.Add(1) == n {
			close(all)
		}
		<-all
		i, _ := strconv.Atoi(req.URL.Path[1:])
		time.Sleep(time.Duration(n-i) * 5 * time.Millisecond)
		_, _ = io.WriteString(w, req.URL.Path)
	})
	text := ""
	for i := range n {
		text += get("/" + strconv.Itoa(i))
	}
	_, br := r.dial(text)
	for i := range n {
		if _, got := readResponse(t, br); got != "/"+strconv.Itoa(i) {
			t.Errorf("response %d: got %q", i, got)
		}
	}
}

// TestAwaitTurn guards against a request that may run only once but runs before an
// earlier response that ends the connection.
func TestAwaitTurn(t *testing.T) {
	var ran atomic.Bool
	release := make(chan struct{})
	r := newTestServer(t, func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost {
			if AwaitTurn(req.Context()) == nil {
				ran.Store(true)
			}
			return
		}
		<-release
		w.Header().Set("Connection", "close")
	})
	_, br := r.dial(get("/") + "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	close(release)
	if res, _ := readResponse(t, br); !res.Close {
		t.Error("the first response does not end the connection")
	}
	if _, err := http.ReadResponse(br, nil); err == nil {
		t.Error("got a second response after the one that ends the connection")
	}
	_ = r.server.Shutdown(t.Context())
	if ran.Load() {
		t.Error("the second request ran although the caller sends it again")
	}
}

// TestCallerDisconnects guards against a closed connection that is not detected
// while the first request runs and further ones are already in the buffer, or while a
// request runs that is the last one of its connection.
func TestCallerDisconnects(t *testing.T) {
	for _, c := range []struct {
		ahead int
		last  string
	}{{0, get("/")}, {1, get("/")}, {3, get("/")}, {0, getLast("/")}, {2, getLast("/")}} {
		ahead := c.ahead
		started, ended := make(chan struct{}, 10), make(chan struct{}, 10)
		r := newTestServer(t, func(_ http.ResponseWriter, req *http.Request) {
			started <- struct{}{}
			<-req.Context().Done()
			ended <- struct{}{}
		})
		conn, _ := r.dial(strings.Repeat(get("/"), ahead) + c.last)
		for range ahead + 1 {
			<-started
		}
		_ = conn.Close()
		for i := range ahead + 1 {
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Fatalf("%d pipelined requests before %q: request %d still runs after the caller closed the connection", ahead, c.last, i)
			}
		}
	}
}

// TestDisableKeepAlives guards against a last response that keeps the connection
// open, and against one that drops requests sent after it.
func TestDisableKeepAlives(t *testing.T) {
	began, disabled := make(chan struct{}, 2), make(chan struct{})
	r := newTestServer(t, func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-disabled
	})
	_, br := r.dial(get("/1") + get("/2"))
	<-began
	<-began
	r.server.DisableKeepAlives()
	close(disabled)
	for i, want := range []bool{false, true} {
		if res, _ := readResponse(t, br); res.Close != want {
			t.Errorf("response %d: ends the connection %v, want %v", i, res.Close, want)
		}
	}
}

// TestShutdown guards against a shutdown that drops a request that was read or one
// on a new connection, and against a shutdown that waits for idle connections.
func TestShutdown(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	r := newTestServer(t, func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/slow" {
			close(started)
			<-release
		}
		_, _ = io.WriteString(w, "whole")
	})
	_, idle := r.dial(get("/"))
	readResponse(t, idle)
	_, busy := r.dial(get("/slow"))
	<-started
	fresh, freshReader := r.dial("")
	time.Sleep(20 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- r.server.Shutdown(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	if _, err := io.WriteString(fresh, get("/")); err != nil {
		t.Error(err)
	}
	if res, got := readResponse(t, freshReader); got != "whole" || !res.Close {
		t.Errorf("new connection: got %q, ends the connection %v", got, res.Close)
	}
	if _, err := idle.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: got %v, want EOF", err)
	}
	close(release)
	if _, got := readResponse(t, busy); got != "whole" {
		t.Errorf("request in flight: got %q", got)
	}
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the shutdown does not return")
	}
}

// TestRefused guards against requests that exceed the limits or are malformed, and
// still reach the handler.
func TestRefused(t *testing.T) {
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"noRequest", "hello\r\n\r\n", http.StatusBadRequest},
		{"noHost", "GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"twoLengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest},
		{"longHeader", "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 20<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"slowHeader", "GET / HTTP/1.1\r\nHost:", http.StatusRequestTimeout},
	} {
		r := newTestServer(t, func(http.ResponseWriter, *http.Request) { t.Errorf("%s: the handler was called", c.name) })
		_, br := r.dial(c.text)
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if res.StatusCode != c.status || !res.Close {
			t.Errorf("%s: got status %d, ends the connection %v, want %d and true", c.name, res.StatusCode, res.Close, c.status)
		}
	}
}

// TestBodies guards against a body that is parsed as the next request, and against
// a response with a wrong body, length or trailer.
func TestBodies(t *testing.T) {
	long := strings.Repeat("0123456789", 20<<10)
	r := newTestServer(t, func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			t.Error(err)
		}
		switch req.URL.Path {
		case "/long":
			_, _ = io.WriteString(w, long)
		case "/trailer":
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			w.Header().Set(http.TrailerPrefix+"X-Sum", "1")
		default:
			_, _ = fmt.Fprintf(w, "%s %s", req.Method, body)
		}
	})
	const chunked = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	const sized = "PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nGET "
	_, br := r.dial(chunked + sized + get("/long") + get("/trailer") + get("/"))
	for i, want := range []string{"POST abc", "PUT GET ", long, "part", "GET "} {
		res, got := readResponse(t, br)
		if got != want {
			t.Errorf("response %d: got %d bytes %.40q, want %.40q", i, len(got), got, want)
		}
		if sum := res.Trailer.Get("X-Sum"); (sum == "1") != (want == "part") {
			t.Errorf("response %d: trailer %q", i, sum)
		}
	}
	held, heldReader := r.dial("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	if line, err := heldReader.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
		t.Fatalf("got %q, %v, want status 100", line, err)
	}
	_, _ = heldReader.ReadString('\n')
	_, _ = io.WriteString(held, "ok")
	if _, got := readResponse(t, heldReader); got != "POST ok" {
		t.Errorf("got %q", got)
	}
}

// TestAbort guards against a partial response that looks complete.
func TestAbort(t *testing.T) {
	for _, size := range []int{10, maxBuffered + 1} {
		r := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, size))
			panic(http.ErrAbortHandler)
		})
		_, br := r.dial(get("/"))
		res, err := http.ReadResponse(br, nil)
		if err == nil {
			_, err = io.ReadAll(res.Body)
		}
		if err == nil {
			t.Errorf("%d bytes: the response looks complete", size)
		}
	}
}

// TestNoRequestsDuringShutdown guards against a caller that keeps a connection open
// during a shutdown by always sending the next request before the response.
func TestNoRequestsDuringShutdown(t *testing.T) {
	var served atomic.Int32
	r := newTestServer(t, func(http.ResponseWriter, *http.Request) {
		served.Add(1)
		time.Sleep(20 * time.Millisecond)
	})
	c, br := r.dial(get("/"))
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				_, _ = io.WriteString(c, get("/"))
			}
		}
	}()
	for range 3 {
		readResponse(t, br)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	before := served.Load()
	if err := r.server.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	if n := served.Load() - before; n > maxPipelined {
		t.Errorf("%d requests were served during the shutdown", n)
	}
	last := false
	for {
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			break
		}
		_ = res.Body.Close()
		last = res.Close
	}
	if !last {
		t.Error("the last response does not end the connection")
	}
}

// TestEndlessRequests guards against unbounded memory for a caller that sends without
// end.
func TestEndlessRequests(t *testing.T) {
	const chunked = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ name, text, rest string }{
		{"requestLine", "GET /", "a"},
		{"headerName", "GET / HTTP/1.1\r\n", "a"},
		{"headers", "GET / HTTP/1.1\r\n", "A: b\r\n"},
		{"chunkSize", chunked, "0"},
		{"chunkExtension", chunked + "1;", "a"},
		{"chunkExtensions", chunked, "1;" + strings.Repeat("a", 1000) + "\r\nx\r\n"},
		{"trailer", chunked + "1\r\nx\r\n0\r\n", "A: b\r\n"},
		{"trailerValue", chunked + "1\r\nx\r\n0\r\nA: ", "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestServer(t, func(_ http.ResponseWriter, req *http.Request) {
				if _, err := io.Copy(io.Discard, req.Body); err == nil {
					t.Error("the body was accepted as complete")
				}
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			nc, _ := r.dial(c.text)
			block := []byte(strings.Repeat(c.rest, 1+(32<<10)/len(c.rest)))
			sent := 0
			for {
				n, err := nc.Write(block)
				if sent += n; err != nil {
					break
				}
			}
			runtime.ReadMemStats(&after)
			if n := after.TotalAlloc - before.TotalAlloc; n > 4<<20 {
				t.Errorf("allocated %d bytes, want at most 4 MB; sent %d", n, sent)
			}
		})
	}
}
