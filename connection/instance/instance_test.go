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

// server accepts connections and runs a function on each.
func server(t *testing.T, f func(n int, c net.Conn, br *bufio.Reader)) netip.AddrPort {
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

// answerAll answers each request with its id and path.
func answerAll(c net.Conn, br *bufio.Reader) {
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		answer(c, req.Header.Get("Id"), req.URL.Path)
	}
}

func answer(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// do sends a request and returns its body.
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

// TestReuse guards against a new connection for each request and against more
// connections than the instance accepts.
func TestReuse(t *testing.T) {
	var opened atomic.Int32
	addr := server(t, func(_ int, c net.Conn, br *bufio.Reader) { answerAll(c, br) })
	p := New(addr, WithConnections(3), WithOpened(func() { opened.Add(1) }))
	defer p.Close()
	for i := range 20 {
		path := fmt.Sprintf("/%d", i)
		if got, _, err := do(t, p, fmt.Sprint(i), path, "body"); err != nil || got != path {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if n := opened.Load(); n != 1 {
		t.Errorf("opened %d connections for requests one after the other", n)
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

// TestStrayAnswers guards against an answer that reaches another request.
func TestStrayAnswers(t *testing.T) {
	t.Run("repeated", func(t *testing.T) {
		addr := server(t, func(_ int, c net.Conn, br *bufio.Reader) {
			last := ""
			for {
				req, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				if last != "" {
					answer(c, last, "stray")
				}
				last = req.Header.Get("Id")
				answer(c, last, "own")
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
		addr := server(t, func(_ int, c net.Conn, br *bufio.Reader) {
			if _, err := http.ReadRequest(br); err == nil {
				answer(c, "other", "stray")
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
			t.Errorf("told after %v", took)
		}
	})
	t.Run("behindAnswer", func(t *testing.T) {
		addr := server(t, func(_ int, c net.Conn, br *bufio.Reader) {
			for {
				req, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				answer(c, req.Header.Get("Id"), "own")
				answer(c, req.Header.Get("Id"), "again")
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

// TestSent guards against a request that counts as not run although bytes of it
// have left, and against one that counts as run although none has.
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
	addr := server(t, func(_ int, _ net.Conn, br *bufio.Reader) { _, _ = http.ReadRequest(br) })
	p = New(addr)
	defer p.Close()
	if _, res, err := do(t, p, "1", "/", ""); err == nil || !res.Sent {
		t.Errorf("connection that breaks: got sent %v, %v", res.Sent, err)
	}
	// The only connection is taken.
	hold := make(chan struct{})
	addr = server(t, func(_ int, _ net.Conn, br *bufio.Reader) {
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

// TestDeadConnection guards against a request that fails because the instance has
// closed an idle connection.
func TestDeadConnection(t *testing.T) {
	var conns atomic.Int32
	addr := server(t, func(n int, c net.Conn, br *bufio.Reader) {
		conns.Add(1)
		if n > 0 {
			answerAll(c, br)
			return
		}
		if req, err := http.ReadRequest(br); err == nil {
			answer(c, req.Header.Get("Id"), "first")
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

// TestPartialAnswers guards against a part of an answer that is taken for the
// whole, and against the use of its connection.
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
		addr := server(t, func(_ int, conn net.Conn, br *bufio.Reader) {
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
			t.Errorf("%s: got %q, %v, want a whole answer %v", c.name, got, err, c.whole)
		}
		if len(p.idle) > 0 {
			t.Errorf("%s: the connection is used again", c.name)
		}
		p.Close()
	}
}

// TestEarlyAnswer guards against bytes that are sent where the rest of a request
// is due, after the instance answered without reading it.
func TestEarlyAnswer(t *testing.T) {
	var mixed atomic.Bool
	addr := server(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			answer(c, req.Header.Get("Id"), "early")
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
		t.Error("the body of a request holds other bytes")
	}
}

// TestCancel guards against an instance that works on for a caller that has left.
func TestCancel(t *testing.T) {
	gone := make(chan struct{})
	addr := server(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		if _, err := br.ReadByte(); err != nil {
			close(gone)
		}
	})
	p := New(addr)
	defer p.Close()
	if _, _, err := doUntil(t, p, "1", "/", "", time.Now().Add(50*time.Millisecond)); err == nil {
		t.Error("got an answer")
	}
	select {
	case <-gone:
	case <-time.After(3 * time.Second):
		t.Error("the connection stays open")
	}
}
