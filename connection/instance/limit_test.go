package instance

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// writeEndlessly writes text and then rest repeatedly until the connection ends.
func writeEndlessly(c net.Conn, text, rest string) {
	if _, err := io.WriteString(c, text); err != nil {
		return
	}
	block := []byte(strings.Repeat(rest, 1+(32<<10)/len(rest)))
	for {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
}

// TestEndlessAnswers guards against unbounded reads from an instance that writes
// without end. If the bytes arrive fast, the exchange must fail at once.
func TestEndlessAnswers(t *testing.T) {
	const (
		statusAndID = "HTTP/1.1 200 OK\r\nId: 1\r\n"
		chunked     = statusAndID + "Transfer-Encoding: chunked\r\n\r\n"
		// memory bounds the bytes that an exchange may allocate: each response that may
		// be skipped has a header of 64 kB, and its parser allocates a multiple of that.
		memory = 4 << 20
	)
	limits := Limits{Body: 512 << 10}
	for _, c := range []struct {
		name, text, rest string
		// inBody is set if the header of the response is complete.
		inBody bool
		// tooLong is set if the limits of this package apply, and not those of net/http.
		tooLong bool
	}{
		{"statusLine", "", "a", false, true},
		{"statusText", "HTTP/1.1 200 ", "a", false, true},
		{"headerName", "HTTP/1.1 200 OK\r\n", "a", false, true},
		{"headerValue", "HTTP/1.1 200 OK\r\nA: ", "a", false, true},
		{"headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n", false, true},
		{"continuedHeader", "HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n", false, true},
		{"emptyLines", "", "\r\n", false, false},
		{"interim", "", "HTTP/1.1 103 Early Hints\r\n\r\n", false, false},
		{"interimHeaders", "HTTP/1.1 103 Early Hints\r\n", "Link: a\r\n", false, true},
		{"repeated", "", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1\r\n\r\nx", false, false},
		{"repeatedBody", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1000000000\r\n\r\n", "x", false, true},
		{"body", statusAndID + "\r\n", "x", true, true},
		{"chunks", chunked, "1\r\nx\r\n", true, true},
		{"chunkSize", chunked, "0", true, false},
		{"chunkExtension", chunked + "1;", "a", true, false},
		{"chunkExtensions", chunked, "1;" + strings.Repeat("a", 1000) + "\r\nx\r\n", true, false},
		{"trailer", chunked + "1\r\nx\r\n0\r\n", "A: b\r\n", true, false},
		{"trailerValue", chunked + "1\r\nx\r\n0\r\nA: ", "b", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := startServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
				// The first response is valid, so that a duplicate of it may precede the
				// second one.
				if req, err := http.ReadRequest(br); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
					writeResponse(nc, "0", "own")
				}
				if _, err := http.ReadRequest(br); err == nil {
					writeEndlessly(nc, c.text, c.rest)
				}
			})
			p := New(addr, WithLimits(limits))
			defer p.Close()
			if got, _, err := do(t, p, "0", "/", ""); err != nil || got != "own" {
				t.Fatalf("got %q, %v", got, err)
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			got, res, err := do(t, p, "1", "/", "")
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			if err == nil || !res.Sent || c.inBody != (res.Response != nil) {
				t.Errorf("got %.20q, sent %v, header %v, %v", got, res.Sent, res.Response != nil, err)
			}
			if c.tooLong != errors.Is(err, ErrTooLong) {
				t.Errorf("got %v, want %v: %v", err, ErrTooLong, c.tooLong)
			}
			if took > 2*time.Second {
				t.Errorf("ended after %v, want at most 2s", took)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > memory {
				t.Errorf("allocated %d bytes, want at most %d", n, memory)
			}
			if n := p.openConnections(); n != 0 {
				t.Errorf("%d connections are open after the response", n)
			}
		})
	}
}

// openConnections returns the number of open connections.
func (p *Pool) openConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// TestSlowEndlessAnswer guards against an exchange that exceeds the deadline of its
// request when bytes arrive slowly and without end.
func TestSlowEndlessAnswer(t *testing.T) {
	for _, head := range []string{"", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"} {
		addr := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, err := io.WriteString(c, head)
			for ; err == nil; _, err = io.WriteString(c, "a") {
				time.Sleep(5 * time.Millisecond)
			}
		})
		p := New(addr)
		defer p.Close()
		began := time.Now()
		if _, _, err := doUntil(t, p, "1", "/", "", began.Add(200*time.Millisecond)); err == nil {
			t.Errorf("header %q: no error", head)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("header %q: ended after %v, want at most 1s", head, took)
		}
		if n := p.openConnections(); n != 0 {
			t.Errorf("header %q: %d connections are open", head, n)
		}
	}
}

// replayConn is a connection whose reads come from r. It counts the bytes read.
type replayConn struct {
	net.Conn
	r io.Reader
	n int
}

// Read implements net.Conn.
func (p *replayConn) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	p.n += n
	return n, err
}

// repeatReader is an io.Reader that repeats a text without end.
type repeatReader struct{ text, rest []byte }

// Read implements io.Reader.
func (r *repeatReader) Read(b []byte) (int, error) {
	if len(r.rest) == 0 {
		r.rest = r.text
	}
	n := copy(b, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// FuzzAnswer guards against bytes that are accepted as the response to another
// request, and against unbounded reads. Each text is sent once or repeated without
// end.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n1;a\r\nx\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n", "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n", "a", "\r\n", "\x00",
		"HTTP/1.1 200 OK\r\nId: 1\r\nId: 0\r\n\r\n",
	} {
		f.Add([]byte(text), false)
		f.Add([]byte(text), true)
	}
	limits := Limits{Head: 8 << 10, Skipped: 16 << 10}
	const maxRead = maxSkipped * (8<<10 + 16<<10 + 3*bufferSize)
	f.Fuzz(func(t *testing.T, text []byte, repeat bool) {
		p := &replayConn{r: bytes.NewReader(text)}
		if repeat && len(text) > 0 {
			p.r = &repeatReader{text: text}
		}
		c := newConn(p)
		c.lastID = "0"
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://instance/", nil)
		if err != nil {
			t.Fatal(err)
		}
		res, err := c.readResponse(req, Exchange{IDHeader: "Id", ID: "1"}, limits)
		if err == nil {
			defer func() { _ = res.Body.Close() }()
			if id := res.Header.Get("Id"); id != "1" || res.StatusCode < http.StatusOK {
				t.Errorf("accepted a response with status %d to %q", res.StatusCode, id)
			}
		}
		if p.n > maxRead {
			t.Errorf("read %d bytes, want at most %d", p.n, maxRead)
		}
	})
}
