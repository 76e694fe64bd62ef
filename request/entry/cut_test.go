package entry

import (
	"bufio"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// cutProxy returns a proxy that ends each connection after a number of bytes from the
// server, by a reset or by closing it. It adds up the bytes that it has passed on.
func cutProxy(t *testing.T, after int64, reset bool, passed *atomic.Int64) func(netip.AddrPort) netip.AddrPort {
	return func(to netip.AddrPort) netip.AddrPort {
		ln := listenUnique(t)
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			for {
				client, err := ln.Accept()
				if err != nil {
					return
				}
				server, err := net.Dial("tcp", to.String())
				if err != nil {
					_ = client.Close()
					continue
				}
				go func() { _, _ = io.Copy(server, client) }()
				go func() {
					n, _ := io.CopyN(client, server, after)
					passed.Add(n)
					if reset {
						// What was written is read before the reset.
						time.Sleep(2 * time.Millisecond)
						_ = client.(*net.TCPConn).SetLinger(0)
					}
					_ = client.Close()
					_ = server.Close()
				}()
			}
		}()
		return netip.MustParseAddrPort(ln.Addr().String())
	}
}

// TestAnswerCutAnywhere guards against an answer that is cut, within its head too, and
// reaches the caller as a whole one with an empty or short body: between the instance and
// its daemon and between two daemons, after each byte, by a close and by a reset.
func TestAnswerCutAnywhere(t *testing.T) {
	const body = "hello world"
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nX-A: b\r\n"
	idLength := len(rand.Text())
	for _, answer := range []struct {
		name, text string
		// unframed says that the end of the connection is that of the body.
		unframed bool
	}{
		{name: "contentLength", text: head + "Content-Length: 11\r\n\r\n" + body},
		{name: "chunked", text: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"},
		{name: "unframed", text: head + "\r\n" + body, unframed: true},
		{name: "bareLineFeeds", text: strings.ReplaceAll(head+"Content-Length: 11\r\n\r\n", "\r\n", "\n") + body},
	} {
		for _, reset := range []bool{false, true} {
			for _, between := range []string{"instance", "daemons"} {
				if between == "daemons" && answer.name != "contentLength" {
					continue // daemons frame all answers in the same way
				}
				t.Run(answer.name+", "+between+", reset "+strconv.FormatBool(reset), func(t *testing.T) {
					t.Parallel()
					up := newUpstream(t, rawThenClose(answer.text))
					headLength := int64(len(answer.text) - len("{id}") + idLength - len(body))
					for after := int64(0); ; after++ {
						var passed atomic.Int64
						proxy := cutProxy(t, after, reset, &passed)
						o := meshOptions{local: true, upstreamProxy: proxy}
						if between == "daemons" {
							o = meshOptions{peerProxy: proxy}
						}
						m := newMesh(t, o, up.addr())
						got := m.call(t, http.MethodPost, "/reserve", "")
						whole := got.err == nil && got.status == http.StatusOK
						inBody := answer.unframed && !reset && after >= headLength
						if whole && got.body != body && !inBody {
							t.Errorf("cut after %d bytes: got status %d and body %q", after, got.status, got.body)
						}
						if got.err == nil && got.status != http.StatusOK && got.outcome() == "notRun" && passed.Load() > 0 && up.ran("/reserve") > 0 && between == "instance" {
							t.Errorf("cut after %d bytes: got outcome %q for a request that ran", after, got.outcome())
						}
						m.close()
						switch {
						case whole && got.body == body:
							return
						case answer.unframed && reset && after > headLength+int64(len(body)):
							return // its end is never seen
						case after > 4096:
							t.Fatal("no answer was whole")
						}
					}
				})
			}
		}
	}
}

// serveDuringUpload answers each request with a text, in which {id} stands for the request
// id, while its body is still being written. It then reads some bytes of the body and
// resets the connection.
func serveDuringUpload(t *testing.T, text string, taken int64, pause time.Duration) netip.AddrPort {
	ln := listenUnique(t)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(answerWithin))
				br := bufio.NewReader(c)
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				raw(text)(c, r, nil)
				_, _ = io.CopyN(io.Discard, br, taken)
				time.Sleep(pause)
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// TestAnswerResetDuringUpload guards against a part of an answer that reaches the caller
// as the whole, because the upstream reset the connection while the request was still
// being written to it and the reset was reported to the write. A whole answer, which has
// a length or its last chunk, must reach the caller all the same.
func TestAnswerResetDuringUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
	upload, long := strings.Repeat("x", request.MaxBody), strings.Repeat("0123456789abcdef", request.MaxBody/8)
	for _, tt := range []struct{ name, text, whole string }{
		{"no length", head + "\r\nhello", ""},
		{"no length, streamed", head + "\r\n" + long, ""},
		{"length", head + "Content-Length: 11\r\n\r\nhello", ""},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", ""},
		{"whole with length", head + "Content-Length: 5\r\n\r\nhello", "hello"},
		{"whole in chunks", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			runLocalAndForwarded(t, func(t *testing.T, local bool) {
				for _, taken := range []int64{0, 8 << 10, request.MaxBody / 2} {
					for _, pause := range []time.Duration{0, 100 * time.Microsecond, time.Millisecond} {
						addr, wrong := serveDuringUpload(t, tt.text, taken, pause), 0
						for range 5 {
							// A second call could use a connection that is reset between two calls.
							m := newMesh(t, meshOptions{local: local}, addr)
							got := m.call(t, http.MethodPost, "/reserve/1", upload)
							delivered := got.err == nil && got.status == http.StatusOK
							if delivered != (tt.whole != "") || delivered && got.body != tt.whole {
								wrong++
							}
							if got.err == nil && !delivered && (got.status != http.StatusBadGateway || got.outcome() != request.Unknown) {
								t.Errorf("got %d %s %s, want 502 unknown", got.status, got.outcome(), got.reason())
							}
							m.close()
						}
						if wrong > 0 {
							t.Errorf("pause %v, %d bytes of the upload read: %d of 5 answers wrong", pause, taken, wrong)
						}
					}
				}
			})
		})
	}
}
