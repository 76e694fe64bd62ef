package instance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The texts of an answer with the body "whole"; {id} stands for the id of the request.
const (
	cutHead      = "HTTP/1.1 200 OK\r\nId: {id}\r\n"
	withLength   = cutHead + "Content-Length: 5\r\n\r\nwhole"
	inChunks     = cutHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n"
	untilClose   = cutHead + "\r\nwhole"
	shortLength  = cutHead + "Content-Length: 50\r\n\r\nwhole"
	noLastChunk  = cutHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"
	partOfAChunk = cutHead + "Transfer-Encoding: chunked\r\n\r\n50\r\nwhole"
)

// answerEarly returns a server that answers before it has read the whole upload. It reads
// some bytes of the upload before the answer and some after it, and ends the connection
// after a pause.
func answerEarly(text string, before, after int64, pause time.Duration, end func(*net.TCPConn)) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, before)
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "{id}", r.Header.Get("Id")))
		_, _ = io.CopyN(io.Discard, r.Body, after)
		time.Sleep(pause)
		end(c.(*net.TCPConn))
	}
}

// reset ends a connection by a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// closeOrderly ends a connection as most servers do.
func closeOrderly(c *net.TCPConn) { _ = c.Close() }

// wholeUpload is more bytes than any upload has.
const wholeUpload = 1 << 30

// TestAnswerCutDuringUpload guards against a part of an answer that is taken for the
// whole, because the reset of its connection was reported to the write of the request
// that runs beside the read. An answer without a length then seems to end orderly.
func TestAnswerCutDuringUpload(t *testing.T) {
	for _, answer := range []struct{ name, text string }{
		{"no length", untilClose}, {"length", shortLength}, {"no last chunk", noLastChunk}, {"part of a chunk", partOfAChunk},
		{"head", "HTTP/1.1 200 OK\r\nId: {id}\r\nX-"},
	} {
		for _, size := range []int{32 << 10, 1 << 20, 16 << 20} {
			t.Run(fmt.Sprintf("%s, upload of %d bytes", answer.name, size), func(t *testing.T) {
				t.Parallel()
				upload := strings.Repeat("x", size)
				got, runs := make(map[string]int), 0
				for _, end := range []struct {
					name string
					f    func(*net.TCPConn)
				}{{"reset", reset}, {"close", closeOrderly}} {
					for _, taken := range []struct{ before, after int64 }{{0, 0}, {0, 8 << 10}, {8 << 10, 0}, {int64(size) / 2, 0}, {0, int64(size) / 2}, {int64(size) / 2, int64(size) / 4}} {
						for _, pause := range []time.Duration{0, 100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
							addr := startServer(t, answerEarly(answer.text, taken.before, taken.after, pause, end.f))
							for range 4 {
								p := New(addr)
								runs++
								if body, _, err := do(t, p, "1", "/", upload); err == nil {
									got[fmt.Sprintf("%s after %v, %d and %d bytes read: %q", end.name, pause, taken.before, taken.after, body)]++
								}
								p.Close()
							}
						}
					}
				}
				for how, n := range got {
					t.Errorf("%d of %d answers taken for whole: %s", n, runs, how)
				}
			})
		}
	}
}

// TestWholeAnswerDuringUpload guards against a whole answer that is refused because it
// came before the end of the upload, or because it ends with its connection.
func TestWholeAnswerDuringUpload(t *testing.T) {
	halfClose := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
	for _, tt := range []struct {
		name, text    string
		before, after int64
		end           func(*net.TCPConn)
	}{
		{"length, reset", withLength, 0, 0, reset},
		{"length, reset in the upload", withLength, 8 << 10, 8 << 10, reset},
		{"length, close", withLength, 0, 0, closeOrderly},
		{"chunks, reset", inChunks, 0, 0, reset},
		{"chunks, close in the upload", inChunks, 8 << 10, 8 << 10, closeOrderly},
		{"close after the upload", untilClose, wholeUpload, 0, closeOrderly},
		{"answer, rest of the upload, close", untilClose, 8 << 10, wholeUpload, closeOrderly},
		{"answer, half close, rest of the upload", untilClose, 8 << 10, 0, halfClose},
	} {
		for _, size := range []int{32 << 10, 1 << 20, 16 << 20} {
			t.Run(fmt.Sprintf("%s, upload of %d bytes", tt.name, size), func(t *testing.T) {
				t.Parallel()
				upload := strings.Repeat("x", size)
				for _, pause := range []time.Duration{0, 100 * time.Microsecond, 5 * time.Millisecond} {
					addr := startServer(t, answerEarly(tt.text, tt.before, tt.after, pause, tt.end))
					for range 5 {
						p := New(addr)
						if got, _, err := do(t, p, "1", "/", upload); err != nil || got != "whole" {
							t.Errorf("pause %v: got %q, %v, want the whole answer", pause, got, err)
						}
						p.Close()
					}
				}
			})
		}
	}
}
