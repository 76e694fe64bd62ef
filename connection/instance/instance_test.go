package instance

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// startServer accepts connections and calls f for each.
func startServer(t *testing.T, f func(n int, c net.Conn, br *bufio.Reader)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(5 * time.Second))
				f(n, c, bufio.NewReader(c))
			})
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// respondToAll responds to each request with its id and path.
func respondToAll(c net.Conn, br *bufio.Reader) {
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		writeResponse(c, req.Header.Get("Id"), req.URL.Path)
	}
}

func writeResponse(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// do sends a request and returns the body of the response.
func do(t *testing.T, p *Pool, id, path, body string) (string, Result, error) {
	t.Helper()
	return doUntil(t, p, id, path, body, time.Now().Add(3*time.Second))
}

func doUntil(t *testing.T, p *Pool, id, path, body string, deadline time.Time) (string, Result, error) {
	t.Helper()
	ctx, cancel := context.WithDeadline(t.Context(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://instance"+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", id)
	res, err := p.Do(ctx, req, Exchange{IDHeader: "Id", ID: id})
	if err != nil {
		return "", res, err
	}
	defer func() { _ = res.Response.Body.Close() }()
	data, err := io.ReadAll(res.Response.Body)
	return string(data), res, err
}

// TestReuse guards against a new connection for each request, and against more
// connections than the configured maximum.
func TestReuse(t *testing.T) {
	var opened atomic.Int32
	addr := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) { respondToAll(c, br) })
	p := New(addr, WithConnections(3), WithOpened(func() { opened.Add(1) }))
	defer p.Close()
	for i := range 20 {
		path := fmt.Sprintf("/%d", i)
		if got, _, err := do(t, p, fmt.Sprint(i), path, "body"); err != nil || got != path {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if n := opened.Load(); n != 1 {
		t.Errorf("opened %d connections for sequential requests, want 1", n)
	}
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			if _, _, err := do(t, p, fmt.Sprint("p", i), "/", ""); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if n := opened.Load(); n > 3 {
		t.Errorf("opened %d connections, want at most 3", n)
	}
}

// TestStrayAnswers guards against a response that is delivered to another request.
func TestStrayAnswers(t *testing.T) {
	t.Run("repeated", func(t *testing.T) {
		addr := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
			last := ""
			for {
				req, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				if last != "" {
					writeResponse(c, last, "stray")
				}
				last = req.Header.Get("Id")
				writeResponse(c, last, "own")
			}
		})
		p := New(addr)
		defer p.Close()
		for _, id := range []string{"1", "2", "3"} {
			if got, _, err := do(t, p, id, "/", ""); err != nil || got != "own" {
				t.Errorf("request %s: got %q, %v", id, got, err)
			}
		}
	})
	t.Run("foreign", func(t *testing.T) {
		addr := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
			if _, err := http.ReadRequest(br); err == nil {
				writeResponse(c, "other", "stray")
				_, _ = br.ReadByte()
			}
		})
		p := New(addr)
		defer p.Close()
		began := time.Now()
		if _, res, err := do(t, p, "1", "/", ""); !errors.Is(err, ErrMismatch) || !res.Sent {
			t.Errorf("got sent %v, %v, want %v", res.Sent, err, ErrMismatch)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("failed after %v, want at most 1s", took)
		}
	})
	t.Run("behindAnswer", func(t *testing.T) {
		addr := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
			for {
				req, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				writeResponse(c, req.Header.Get("Id"), "own")
				writeResponse(c, req.Header.Get("Id"), "again")
				time.Sleep(5 * time.Millisecond)
			}
		})
		p := New(addr)
		defer p.Close()
		for i := range 5 {
			if got, _, err := do(t, p, fmt.Sprint(i), "/", ""); err != nil || got != "own" {
				t.Errorf("request %d: got %q, %v", i, got, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// TestRepeatedRefusal guards against an earlier refusal that the instance writes once
// more and that is taken for the answer to a request which runs: the caller would be told
// that it has not run.
func TestRepeatedRefusal(t *testing.T) {
	refusal := func(c net.Conn, id string) {
		if id != "" {
			id = "Id: " + id + "\r\n"
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 4\r\n\r\nbusy", id)
	}
	long := strings.Repeat("x", 8<<20)
	for _, tt := range []struct {
		name string
		// ids are the requests on the connection; the instance refuses all but the
		// last, and writes stray before it answers that.
		ids  []string
		body string
		// stray is the id of the repeated refusal.
		stray string
	}{
		{"of the request before", []string{"1", "2"}, "", "1"},
		{"of an earlier request", []string{"1", "2", "3"}, "", "1"},
		{"without an id", []string{"1", "2"}, "", ""},
		{"of a request elsewhere", []string{"1", "2"}, "", "9"},
		{"of the same request", []string{"1", "1"}, "", "1"},
		{"of the same request earlier", []string{"1", "2", "1"}, "", "1"},
		{"while the body is written", []string{"1", "2"}, long, "1"},
		{"of the same request while the body is written", []string{"1", "1"}, long, "1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var served atomic.Int32
			addr := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				first := true
				for {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if n := int(served.Add(1)); n < len(tt.ids) {
						_, _ = io.Copy(io.Discard, req.Body)
						refusal(c, req.Header.Get("Id"))
						first = false
						continue
					}
					if !first {
						// The refusal was written on this connection before.
						refusal(c, tt.stray)
					}
					_, _ = io.Copy(io.Discard, req.Body)
					writeResponse(c, req.Header.Get("Id"), "own")
				}
			})
			p := New(addr, WithConnections(2))
			defer p.Close()
			for i, id := range tt.ids {
				body := ""
				if i == len(tt.ids)-1 {
					body = tt.body
				}
				got, res, err := do(t, p, id, "/", body)
				switch {
				case i < len(tt.ids)-1:
					if err != nil || got != "busy" {
						t.Fatalf("request %d: got %q, %v, want the refusal", i, got, err)
					}
				case err == nil && got != "own":
					t.Errorf("got %q, want the own answer or none", got)
				case err != nil && !res.Sent:
					t.Errorf("got not sent, %v, want sent", err)
				}
			}
		})
	}
}

// TestSent guards against a request that counts as not run although bytes of it
// were sent, and against one that counts as run although none were.
func TestSent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	p := New(netip.MustParseAddrPort(closed.Addr().String()))
	defer p.Close()
	if _, res, err := do(t, p, "1", "/", ""); err == nil || res.Sent {
		t.Errorf("refused connection: got sent %v, %v", res.Sent, err)
	}
	addr := startServer(t, func(_ int, _ net.Conn, br *bufio.Reader) { _, _ = http.ReadRequest(br) })
	p = New(addr)
	defer p.Close()
	if _, res, err := do(t, p, "1", "/", ""); err == nil || !res.Sent {
		t.Errorf("connection that breaks: got sent %v, %v", res.Sent, err)
	}
	// The only connection is in use.
	hold := make(chan struct{})
	addr = startServer(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		<-hold
	})
	p = New(addr)
	go func() { _, _, _ = do(t, p, "1", "/", "") }()
	time.Sleep(50 * time.Millisecond)
	if _, res, err := doUntil(t, p, "2", "/", "", time.Now().Add(50*time.Millisecond)); err == nil || res.Sent {
		t.Errorf("no free connection: got sent %v, %v", res.Sent, err)
	}
	close(hold)
	p.Close()
}

// TestDeadConnection guards against a request that fails because the instance
// closed an idle connection.
func TestDeadConnection(t *testing.T) {
	var conns atomic.Int32
	addr := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
		conns.Add(1)
		if n > 0 {
			respondToAll(c, br)
			return
		}
		if req, err := http.ReadRequest(br); err == nil {
			writeResponse(c, req.Header.Get("Id"), "first")
		}
	})
	p := New(addr)
	defer p.Close()
	for _, id := range []string{"1", "2"} {
		if _, _, err := do(t, p, id, "/", ""); err != nil {
			t.Errorf("request %s: %v", id, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("got %d connections, want 2", n)
	}
}

// TestPartialAnswers guards against a partial response that is accepted as complete,
// and against reuse of its connection.
func TestPartialAnswers(t *testing.T) {
	for _, c := range []struct {
		name, text string
		reset      bool
		whole      bool
	}{
		{"short", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nab", false, false},
		{"chunk", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", false, false},
		{"unframed", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nab", false, true},
		{"unframedReset", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nab", true, false},
		{"noAnswer", "???\r\n\r\n", false, false},
	} {
		addr := startServer(t, func(_ int, conn net.Conn, br *bufio.Reader) {
			_, _ = http.ReadRequest(br)
			_, _ = io.WriteString(conn, c.text)
			if c.reset {
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		p := New(addr)
		got, res, err := do(t, p, "1", "/", "")
		if whole := err == nil; whole != c.whole || whole && got != "ab" || !res.Sent {
			t.Errorf("%s: got %q, %v, want a complete response %v", c.name, got, err, c.whole)
		}
		if len(p.idle) > 0 {
			t.Errorf("%s: the connection is kept for reuse", c.name)
		}
		p.Close()
	}
}

// TestEarlyAnswer guards against a request whose body contains bytes of another one.
// This can happen when the instance responds before it reads the body and the
// connection is reused.
func TestEarlyAnswer(t *testing.T) {
	var mixed atomic.Bool
	addr := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			writeResponse(c, req.Header.Get("Id"), "early")
			time.Sleep(20 * time.Millisecond)
			data, err := io.ReadAll(req.Body)
			if err == nil && strings.Trim(string(data), "x") != "" {
				mixed.Store(true)
			}
		}
	})
	p := New(addr, WithConnections(2))
	defer p.Close()
	for i := range 3 {
		if got, _, err := do(t, p, fmt.Sprint(i), "/", strings.Repeat("x", 8<<20)); err != nil || got != "early" {
			t.Errorf("got %q, %v", got, err)
		}
	}
	if mixed.Load() {
		t.Error("the body of a request contains other bytes")
	}
}

// TestCancel guards against an instance that continues to work on a request after
// its context has ended.
func TestCancel(t *testing.T) {
	gone := make(chan struct{})
	addr := startServer(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		if _, err := br.ReadByte(); err != nil {
			close(gone)
		}
	})
	p := New(addr)
	defer p.Close()
	if _, _, err := doUntil(t, p, "1", "/", "", time.Now().Add(50*time.Millisecond)); err == nil {
		t.Error("got a response")
	}
	select {
	case <-gone:
	case <-time.After(3 * time.Second):
		t.Error("the connection is still open")
	}
}

// TestGivenUpWait guards against a connection that is lost because the request that
// waited for it gave up at the moment at which it received it.
func TestGivenUpWait(t *testing.T) {
	addr := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) { respondToAll(c, br) })
	p := New(addr)
	defer p.Close()
	for range 2000 {
		c, _, err := p.get(t.Context(), Exchange{})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if c, _, err := p.get(ctx, Exchange{}); err == nil {
				p.put(c)
			}
		}()
		go cancel()
		p.put(c)
		<-done
		if n := p.openConnections(); n != 1 {
			t.Fatalf("got %d open connections, want 1", n)
		}
	}
	if _, _, err := do(t, p, "1", "/", ""); err != nil {
		t.Errorf("request after the others have given up: %v", err)
	}
}
