package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// malformedLines are lines of a head without a valid name of a field.
var malformedLines = []string{
	"X A: b", "X-A : b", "X-A\t: b", " X-A: b", "\tX-A: b", "X-A\x00: b", "\x01X-A: b", "X\x1fA: b", "X\x7fA: b", "X\rA: b",
	"Content-Length : 1", " Content-Length: 1", "Transfer-Encoding : chunked", " Transfer-Encoding: chunked", ": b", " : b", "X-A",
}

// TestMalformedFieldOfUpstream guards against an answer in whose head the name of a field
// holds a blank or a control byte, and that reaches the caller as an answer: without the
// field, or with a body that has another framing than the server meant.
func TestMalformedFieldOfUpstream(t *testing.T) {
	const status, id, body = "HTTP/1.1 200 OK\r\n", "Request-Id: {id}\r\n", "2\r\nok\r\n0\r\n\r\n"
	runLocalAndForwarded(t, func(t *testing.T, local bool) {
		for _, line := range malformedLines {
			line += "\r\n"
			for name, text := range map[string]string{
				"first":   status + line + id + "Content-Length: 2\r\n\r\nok",
				"between": status + id + line + "Content-Length: 2\r\n\r\nok",
				"last":    status + id + "Content-Length: 2\r\n" + line + "\r\nok",
				"framing": status + id + line + "\r\n" + body,
				"interim": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + line + "\r\n" + status + id + "Content-Length: 2\r\n\r\nok",
			} {
				t.Run(fmt.Sprintf("%s %q", name, line), func(t *testing.T) {
					t.Parallel()
					up := newUpstream(t, rawThenClose(text))
					m := newMesh(t, meshOptions{local: local}, up.addr())
					checkMalformed(t, m, name, m.call(t, http.MethodPost, "/reserve/1", "x"))
					if n := up.ran("/reserve/1"); n != 1 {
						t.Errorf("ran %d times, want once", n)
					}
				})
			}
		}
	})
}

// TestFieldOfUpstream guards against refusing an answer whose names of fields are unusual
// but valid.
func TestFieldOfUpstream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
	runLocalAndForwarded(t, func(t *testing.T, local bool) {
		for _, tt := range []struct{ text, name, value string }{
			{head + "!#$%&'*+-.^_`|~09azAZ: b : c\r\nContent-Length: 2\r\n\r\nok", "!#$%&'*+-.^_`|~09azAZ", "b : c"},
			{head + "X-A:\r\nContent-Length:2\r\n\r\nok", "X-A", ""},
			{head + "X-A: \t b \t\r\nContent-Length: 2\r\n\r\nok", "X-A", "b"},
			{"HTTP/1.1 200 OK\nRequest-Id: {id}\nX-A: b\nContent-Length: 2\n\nok", "X-A", "b"},
			{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "X-A: b\r\nContent-Length: 2\r\n\r\nok", "X-A", "b"},
		} {
			up := newUpstream(t, raw(tt.text))
			m := newMesh(t, meshOptions{local: local}, up.addr())
			for range 2 {
				got := m.call(t, http.MethodPost, "/reserve/1", "x")
				if got.err != nil || got.status != http.StatusOK || got.body != "ok" || got.outcome() != request.Ran {
					t.Errorf("%q: got %d %q %s %v, want the answer", tt.text, got.status, got.body, got.outcome(), got.err)
				}
				if values, ok := got.header[http.CanonicalHeaderKey(tt.name)]; !ok || values[0] != tt.value {
					t.Errorf("%q: got header %q, want %s: %q", tt.text, got.header, tt.name, tt.value)
				}
			}
			m.close()
		}
	})
}

// TestMalformedTrailer guards against a whole answer that does not reach the caller because
// the name of a field in its trailer is malformed. The line itself is not passed on.
func TestMalformedTrailer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("0123456789abcdef", request.MaxBody/8)
	runLocalAndForwarded(t, func(t *testing.T, local bool) {
		for _, body := range []string{"ok", long} {
			for _, line := range []string{"X B: c\r\n", "X-B : c\r\n", "X B: c\r\nX-Sum: 9\r\n"} {
				up := newUpstream(t, raw(fmt.Sprintf("%s%x\r\n%s\r\n0\r\n%s\r\n", head, len(body), body, line)))
				m := newMesh(t, meshOptions{local: local}, up.addr())
				got := m.call(t, http.MethodPost, "/reserve/1", "x")
				if got.err != nil || got.status != http.StatusOK || got.body != body {
					t.Errorf("%q: got %d, %d bytes, %s %v, want the whole answer", line, got.status, len(got.body), got.reason(), got.err)
				}
				if _, sum := got.trailer["X-Sum"]; sum != strings.Contains(line, "X-Sum") || len(got.trailer) > 1 {
					t.Errorf("%q: got trailer %q", line, got.trailer)
				}
				m.close()
			}
		}
	})
}

// TestMalformedFieldOfPeer guards against an answer of another daemon with a malformed name
// of a field that reaches the caller as an answer.
func TestMalformedFieldOfPeer(t *testing.T) {
	const name = "x~~~~"
	for _, by := range []string{name, "x ~~~", "x~~~ ", " x~~~", "x\t~~~", "x\x00~~~", "x\x7f~~~", "X~~~~", "x:~~~", ""} {
		up := newUpstream(t, raw("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"+name+": b\r\nContent-Length: 2\r\n\r\nok"))
		m := newMesh(t, meshOptions{peerProxy: rewritePeer(t, name, by)}, up.addr())
		got := m.call(t, http.MethodPost, "/reserve/1", "x")
		switch {
		case by == name && (got.status != http.StatusOK || got.header.Get(name) != "b"):
			t.Fatalf("the proxy does not work: got %d %s %v", got.status, got.outcome(), got.err)
		case by != name && (got.err != nil || got.status != http.StatusBadGateway || got.outcome() != request.Unknown):
			t.Errorf("name %q: got %d %s %v, want 502 unknown", by, got.status, got.outcome(), got.err)
		}
		m.close()
	}
}
