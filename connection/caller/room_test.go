package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestBoundReachedInUse guards against locks that are taken in two orders while the bound
// on connections is reached all the time, also during a shutdown: the server then answers
// nobody, and does not end.
func TestBoundReachedInUse(t *testing.T) {
	const (
		bound, inUse, newcomers = 100, 90, 8
		period                  = 2 * time.Second
		within                  = 10 * time.Second
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{
		Handler:  http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
		Limits:   func() Limits { return Limits{HeaderBytes: 8 << 10, HeaderWithin: time.Second, IdleWithin: time.Minute} },
		MaxConns: func() int { return bound },
	}
	go func() { _ = s.Serve(l) }()
	var served, late atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	// use sends one request after the other on a connection, and dials anew after an error.
	use := func(perConn int) {
		for {
			nc, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				return
			}
			br := bufio.NewReader(nc)
			for n := 0; n < perConn || perConn == 0; n++ {
				select {
				case <-stop:
					_ = nc.Close()
					return
				default:
				}
				_ = nc.SetDeadline(time.Now().Add(within))
				if _, err = io.WriteString(nc, get("/")); err != nil {
					break
				}
				res, err := http.ReadResponse(br, nil)
				if err != nil {
					if ne, ok := err.(net.Error); ok && ne.Timeout() { //nolint:errorlint // as net returns it
						late.Add(1)
					}
					break
				}
				_, _ = io.Copy(io.Discard, res.Body)
				served.Add(1)
			}
			if perConn == 0 {
				_ = nc.Close()
			} else {
				// The server closes it to make room.
				defer func() { _ = nc.Close() }()
			}
		}
	}
	for range inUse {
		wg.Go(func() { use(0) })
	}
	for range newcomers {
		wg.Go(func() { use(1) })
	}
	time.Sleep(period)
	before := served.Load()
	time.Sleep(period)
	if got := served.Load() - before; got < 100 {
		buf := make([]byte, 1<<20)
		t.Logf("%s", buf[:runtime.Stack(buf, true)])
		t.Fatalf("got %d requests served in the last %v, want at least 100", got, period)
	}
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	down := make(chan error, 1)
	go func() { down <- s.Shutdown(ctx) }()
	select {
	case err := <-down:
		if err != nil {
			t.Errorf("shutdown: %v", err)
		}
	case <-time.After(within + time.Second):
		t.Fatal("the shutdown does not return")
	}
	close(stop)
	wg.Wait()
	if n := late.Load(); n > 0 {
		t.Errorf("got %d requests without an answer within %v, want none", n, within)
	}
}

// newBoundedServer returns a server with a bound on its connections. Requests of /busy
// wait until release is closed.
func newBoundedServer(t *testing.T, bound int, release <-chan struct{}, configure ...func(s *Server)) *testServer {
	t.Helper()
	configure = append(configure, func(s *Server) { s.MaxConns = func() int { return bound } })
	return newTestServer(t, func(w http.ResponseWriter, req *http.Request) {
		switch req.URL.Path {
		case "/busy":
			<-release
		case "/long":
			_, _ = io.WriteString(w, strings.Repeat("x", 16<<20))
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok")
	}, configure...)
}

// TestRoomForRequests guards against callers without a complete request in hand that keep
// others out: silent ones, ones with a part of a header or of a body, and ones that do
// not read their response.
func TestRoomForRequests(t *testing.T) {
	const bound, within = 32, 3 * time.Second
	for _, c := range []struct{ name, text string }{
		{"silent", ""},
		{"partOfHeader", "GET / HTTP/1.1\r\nHost:"},
		{"partOfBody", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nabc"},
		{"unreadResponse", get("/long")},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newBoundedServer(t, bound, nil, func(s *Server) {
				s.Limits = func() Limits {
					return Limits{HeaderBytes: 8 << 10, HeaderWithin: time.Minute, IdleWithin: time.Minute}
				}
			})
			for range 2 * bound {
				r.dial(c.text)
			}
			time.Sleep(unreadPeriod + 100*time.Millisecond)
			if n, most := len(r.server.list()), bound+bound/refusedDivisor; n > most {
				t.Errorf("got %d connections, want at most %d", n, most)
			}
			for i := range 4 {
				began, status := time.Now(), 0
				for status != http.StatusOK && time.Since(began) < within {
					_, br := r.dial(get("/"))
					if res, err := http.ReadResponse(br, nil); err == nil {
						status = res.StatusCode
					}
				}
				if status != http.StatusOK {
					t.Errorf("request %d: got status %d, want 200 within %v", i, status, within)
				}
			}
		})
	}
}

// TestRefusedWithoutRoom guards against callers that wait for their deadline when all
// connections have a request in hand, and against cutting one of these.
func TestRefusedWithoutRoom(t *testing.T) {
	const bound, within = 32, 2 * time.Second
	release := make(chan struct{})
	var refused atomic.Int64
	r := newBoundedServer(t, bound, release, func(s *Server) {
		s.Refuse = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			refused.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	})
	var busy []*bufio.Reader
	for range bound {
		_, br := r.dial(get("/busy"))
		busy = append(busy, br)
	}
	time.Sleep(100 * time.Millisecond)
	for i := range 2 * bound {
		began := time.Now()
		nc, br := r.dial(get("/"))
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("request %d: %v, want a refusal", i, err)
		}
		_ = nc.Close()
		if took := time.Since(began); res.StatusCode != http.StatusServiceUnavailable || !res.Close || took > within {
			t.Errorf("request %d: got status %d, ends the connection %v after %v, want 503, true, at most %v", i, res.StatusCode, res.Close, took, within)
		}
	}
	if got := refused.Load(); got != 2*bound {
		t.Errorf("got %d refusals, want %d", got, 2*bound)
	}
	close(release)
	for i, br := range busy {
		if res, err := http.ReadResponse(br, nil); err != nil || res.StatusCode != http.StatusOK {
			t.Errorf("busy connection %d: got error %v, want status 200", i, err)
		}
	}
	time.Sleep(noRoomPause)
	_, br := r.dial(get("/"))
	if res, err := http.ReadResponse(br, nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("after the busy ones: got error %v, want status 200", err)
	}
}

// TestRequestAtEviction guards against a request that is lost because it arrives while its
// idle connection is closed to make room.
func TestRequestAtEviction(t *testing.T) {
	r := newBoundedServer(t, 1000, nil)
	for i := range 200 {
		nc, br := r.dial(get("/"))
		readResponse(t, br)
		if _, err := io.WriteString(nc, get("/")); err != nil {
			t.Fatal(err)
		}
		for _, c := range r.server.list() {
			c.evict(time.Now())
		}
		if res, err := http.ReadResponse(br, nil); err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("request %d: got error %v, want status 200", i, err)
		}
		_ = nc.Close()
	}
}

// TestResponseAtEviction guards against callers that are left in doubt when their request
// has arrived in part and their connection is closed to make room, whether its header has
// been read by then or not.
func TestResponseAtEviction(t *testing.T) {
	for _, c := range []struct {
		name, text string
		status     int
		// delay is the time from the arrival of the header to the eviction.
		delay time.Duration
	}{
		{"partOfHeader", "GET / HTTP/1.1\r\nHost:", http.StatusRequestTimeout, 0},
		{"partOfHeaderLater", "GET / HTTP/1.1\r\nHost:", http.StatusRequestTimeout, 50 * time.Millisecond},
		{"partOfBody", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc", http.StatusServiceUnavailable, 0},
		{"partOfBodyLater", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc", http.StatusServiceUnavailable, 50 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestServer(t, func(w http.ResponseWriter, req *http.Request) {
				if _, err := io.Copy(io.Discard, req.Body); err != nil && Evicted(req.Context()) {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
			for i := range 8 {
				nc, br := r.dial(c.text)
				time.Sleep(c.delay)
				for evicted := false; !evicted; {
					for _, conn := range r.server.list() {
						evicted = evicted || conn.evict(time.Now()) < busy
					}
				}
				res, err := http.ReadResponse(br, nil)
				if err != nil {
					t.Fatalf("connection %d: %v, want a response", i, err)
				}
				if res.StatusCode != c.status || !res.Close {
					t.Errorf("connection %d: got status %d, ends the connection %v, want %d and true", i, res.StatusCode, res.Close, c.status)
				}
				_ = nc.Close()
			}
		})
	}
}

// TestLiveness guards against a check of a process on itself that a handler answers.
func TestLiveness(t *testing.T) {
	r := newTestServer(t, func(http.ResponseWriter, *http.Request) { t.Error("the handler was called") })
	_, br := r.dial("OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n")
	if res, _ := readResponse(t, br); res.StatusCode != http.StatusOK {
		t.Errorf("got status %d, want 200", res.StatusCode)
	}
}

// TestReaderAtEviction guards against a reader that takes a processor for the time of a
// request, because the connection was closed to make room while the complete body was in
// the buffer.
func TestReaderAtEviction(t *testing.T) {
	var rounds atomic.Int64
	started, release := make(chan struct{}), make(chan struct{})
	r := newTestServer(t, func(w http.ResponseWriter, req *http.Request) {
		close(started)
		<-release
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			t.Errorf("got %v for a body that has arrived, want none", err)
		}
		time.Sleep(100 * time.Millisecond)
	}, func(s *Server) {
		limits := s.Limits
		s.Limits = func() Limits {
			rounds.Add(1)
			return limits()
		}
	})
	_, br := r.dial("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
	<-started
	for _, c := range r.server.list() {
		if got := c.evict(time.Now()); got != receiving {
			t.Errorf("got stage %d, want %d", got, receiving)
		}
	}
	close(release)
	if res, _ := readResponse(t, br); res.StatusCode != http.StatusOK || !res.Close {
		t.Errorf("got status %d, ends the connection %v, want 200 and true", res.StatusCode, res.Close)
	}
	if got, most := rounds.Load(), int64(10); got > most {
		t.Errorf("got %d rounds of the reader, want at most %d", got, most)
	}
}
