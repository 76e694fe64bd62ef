package entry

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// malformedStatuses are no status codes of answers: these have three digits and are
// between 100 and 599.
var malformedStatuses = []string{"000", "0", "20", "2000", "0200", "099", "99", "600", "999", "1200"}

// checkMalformed checks the reply to a request whose answer had a malformed status: the
// request may have run, and the instance has failed it.
func checkMalformed(t *testing.T, m *mesh, status string, got reply) {
	t.Helper()
	checkRefusal(t, "status "+status, got, http.StatusBadGateway, request.Unknown, request.ReasonMismatch)
	m.entry.loads.mu.Lock()
	defer m.entry.loads.mu.Unlock()
	if f := m.entry.loads.get("booking-0").decayedFailureShare(time.Now()); f == 0 {
		t.Errorf("status %s: not counted as a failure of the instance", status)
	}
}

// TestMalformedStatusOfUpstream guards against an answer of an upstream whose status is
// none and that reaches the caller as an answer.
func TestMalformedStatusOfUpstream(t *testing.T) {
	runLocalAndForwarded(t, func(t *testing.T, local bool) {
		for _, status := range append([]string{"", "abc", "2x0", "+20", "-20", strings.Repeat(" ", 40) + "600"}, malformedStatuses...) {
			up := newUpstream(t, raw("HTTP/1.1 "+status+" X\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\nok"))
			m := newMesh(t, meshOptions{local: local}, up.addr())
			checkMalformed(t, m, status, m.call(t, http.MethodPost, "/reserve/1", "x"))
			if n := up.ran("/reserve/1"); n != 1 {
				t.Errorf("status %q: ran %d times, want once", status, n)
			}
			if n := m.metrics.Get("host.mismatchedAnswers"); n != 1 {
				t.Errorf("status %q: got %d answers counted as mismatched, want 1", status, n)
			}
			m.close()
		}
	})
}

// TestStatusOfUpstream guards against refusing an answer whose status is unusual but valid,
// that follows interim responses, or whose status line arrives byte by byte.
func TestStatusOfUpstream(t *testing.T) {
	runLocalAndForwarded(t, func(t *testing.T, local bool) {
		for _, tt := range []struct {
			before, line string
			status       int
		}{
			{"", "HTTP/1.1 200 OK", 200},
			{"", "HTTP/1.1 299", 299},
			{"", "HTTP/1.0 200  OK", 200},
			{"", "HTTP/1.1 599 X", 599},
			{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 201 Created", 201},
			{"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "HTTP/1.1 404 Not Found", 404},
		} {
			text := tt.before + tt.line + "\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\nok"
			up := newUpstream(t, func(c net.Conn, r *http.Request, body []byte) {
				if r.URL.Path != "/reserve/slow" {
					raw(text)(c, r, body)
					return
				}
				for i := range len(tt.before) + len(tt.line) {
					_, _ = io.WriteString(c, text[i:i+1])
					time.Sleep(100 * time.Microsecond)
				}
				raw(text[len(tt.before)+len(tt.line):])(c, r, body)
			})
			m := newMesh(t, meshOptions{local: local}, up.addr())
			for _, path := range []string{"/reserve/1", "/reserve/slow"} {
				if got := m.call(t, http.MethodPost, path, "x"); got.err != nil || got.status != tt.status || got.body != "ok" || got.outcome() != request.Ran {
					t.Errorf("%q, %s: got %d %q %s %v, want %d", tt.line, path, got.status, got.body, got.outcome(), got.err, tt.status)
				}
			}
			m.close()
		}
	})
}

// rewritePeer returns a proxy function for peers that replaces a text in the headers of
// their answers over HTTP/2. It finds only a whole name or value of a field that is not
// shorter in Huffman code.
func rewritePeer(t *testing.T, text, by string) func(netip.AddrPort) netip.AddrPort {
	old, replacement := append([]byte{byte(len(text))}, text...), append([]byte{byte(len(by))}, by...)
	relay := func(to, from net.Conn) {
		defer func() { _ = to.Close() }()
		for {
			h := make([]byte, 9)
			if _, err := io.ReadFull(from, h); err != nil {
				return
			}
			payload := make([]byte, int(h[0])<<16|int(h[1])<<8|int(h[2]))
			if _, err := io.ReadFull(from, payload); err != nil {
				return
			}
			if h[3] == 1 { // HEADERS
				payload = bytes.Replace(payload, old, replacement, 1)
				h[0], h[1], h[2] = byte(len(payload)>>16), byte(len(payload)>>8), byte(len(payload)) //nolint:gosec // a short frame
			}
			if _, err := to.Write(append(h, payload...)); err != nil {
				return
			}
		}
	}
	return func(peer netip.AddrPort) netip.AddrPort {
		ln := listenUnique(t)
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				p, err := net.Dial("tcp", peer.String())
				if err != nil {
					_ = c.Close()
					continue
				}
				go func() {
					_, _ = io.Copy(p, c)
					_ = p.Close()
				}()
				go relay(c, p)
			}
		}()
		return netip.MustParseAddrPort(ln.Addr().String())
	}
}

// TestMalformedStatusOfPeer guards against an answer of another daemon whose status is
// none and that reaches the caller as an answer, or breaks the caller's connection.
func TestMalformedStatusOfPeer(t *testing.T) {
	for _, status := range append([]string{"299"}, malformedStatuses...) {
		up := newUpstream(t, raw("HTTP/1.1 299 X\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\nok"))
		m := newMesh(t, meshOptions{peerProxy: rewritePeer(t, "299", status)}, up.addr())
		got := m.call(t, http.MethodPost, "/reserve/1", "x")
		if status == "299" {
			if got.status != 299 || got.outcome() != request.Ran {
				t.Fatalf("the proxy does not work: got %d %s %v", got.status, got.outcome(), got.err)
			}
			continue
		}
		checkMalformed(t, m, status, got)
		if n := m.metrics.Get("entry.mismatchedAnswers"); n != 1 {
			t.Errorf("status %q: got %d answers counted as mismatched, want 1", status, n)
		}
		m.close()
	}
}
