package log

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

func newTestLog(t *testing.T, h http.HandlerFunc) Log {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return NewHTTPLog(netip.MustParseAddrPort(srv.Listener.Addr().String()))
}

// TestAppendResult guards against an append that may have taken effect but is
// reported as one that did not, and against an offset that the log did not return.
func TestAppendResult(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer http.HandlerFunc
		want   error
		offset int64
	}{
		{"created", respondWith(201, `{"offset":7}`), nil, 7},
		{"outage", respondWith(503, "outage"), ErrUnavailable, 0},
		{"tooMany", respondWith(429, "slow down"), ErrUnavailable, 0},
		{"serverError", respondWith(500, "oops"), ErrUnknown, 0},
		{"badGateway", respondWith(502, "oops"), ErrUnknown, 0},
		{"ok", respondWith(200, `{"offset":7}`), ErrUnknown, 0},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, ErrUnknown, 0},
		{"noOffset", respondWith(201, `{}`), ErrUnknown, 0},
		{"notJSON", respondWith(201, `{"offset":`), ErrUnknown, 0},
		{"status000", respondRaw("HTTP/1.1 000 X\r\nContent-Length: 12\r\n\r\n{\"offset\":7}"), ErrUnknown, 0},
		{"malformedField", respondRaw("HTTP/1.1 201 X\r\nX A: b\r\nContent-Length: 12\r\n\r\n{\"offset\":7}"), ErrUnknown, 0},
		{"malformedFieldOfRefusal", respondRaw("HTTP/1.1 503 X\r\nX A: b\r\n\r\n"), ErrUnknown, 0},
		{"lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrUnknown, 0},
		{"cut", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			w.WriteHeader(201)
			_, _ = io.WriteString(w, `{"offset":7}`)
			panic(http.ErrAbortHandler)
		}, ErrUnknown, 0},
	} {
		var n atomic.Int64
		lg := newTestLog(t, func(w http.ResponseWriter, r *http.Request) {
			n.Add(1)
			c.answer(w, r)
		})
		offset, err := lg.Append(t.Context(), "config", []byte("x"))
		if !errors.Is(err, c.want) || offset != c.offset || errors.Is(c.want, ErrUnknown) && errors.Is(err, ErrUnavailable) {
			t.Errorf("%s: got %d, %v, want %d, %v", c.name, offset, err, c.offset, c.want)
		}
		if n := n.Load(); n != 1 {
			t.Errorf("%s: sent %d times, want once", c.name, n)
		}
	}
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// respondRaw writes a response as it stands and closes the connection.
func respondRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	}
}

// TestReadPage guards against a page that is truncated or belongs to another read,
// and is accepted as the records from the offset on.
func TestReadPage(t *testing.T) {
	entry := func(offset string) string {
		return `{"offset":` + offset + `,"at":"2026-12-04T08:00:00Z","data":"eA=="}`
	}
	page := func(offsets ...string) string {
		var list []string
		for _, o := range offsets {
			list = append(list, entry(o))
		}
		return `{"first":1,"next":9,"records":[` + strings.Join(list, ",") + `]}`
	}
	for _, c := range []struct {
		name    string
		answer  http.HandlerFunc
		records int
		want    error
	}{
		{"whole", respondWith(200, page("5", "6")), 2, nil},
		{"empty", respondWith(200, page()), 0, nil},
		{"otherOffset", respondWith(200, page("3", "4")), 0, ErrUnavailable},
		{"later", respondWith(200, page("6")), 0, ErrUnavailable},
		{"gap", respondWith(200, page("5", "7")), 0, ErrUnavailable},
		{"cut", respondWith(200, page("5", "6")[:40]), 0, ErrUnavailable},
		{"outage", respondWith(503, ""), 0, ErrUnavailable},
		{"status000", respondRaw("HTTP/1.1 000 X\r\n\r\n" + page("5", "6")), 0, ErrUnavailable},
		{"malformedField", respondRaw("HTTP/1.1 200 X\r\nX A: b\r\n\r\n" + page("5", "6")), 0, ErrUnavailable},
		{"expired", respondWith(410, `{"first":8,"next":9,"records":[]}`), 0, ErrExpired},
	} {
		lg := newTestLog(t, c.answer)
		got, err := lg.Read(t.Context(), "config", 5, time.Now())
		if !errors.Is(err, c.want) || len(got.Records) != c.records {
			t.Errorf("%s: got %d records, %v, want %d, %v", c.name, len(got.Records), err, c.records, c.want)
		}
		if errors.Is(c.want, ErrExpired) && got.First != 8 {
			t.Errorf("%s: first is %d, want 8", c.name, got.First)
		}
	}
}

// TestSilentLog guards against one failed call for each idle connection. This
// happens when the log no longer responds on any existing connection while new
// connections work.
func TestSilentLog(t *testing.T) {
	const conns = 4
	var (
		mu       sync.Mutex
		silent   bool
		oldConns = make(map[string]bool)
		wg       sync.WaitGroup
	)
	wg.Add(conns)
	lg := newTestLog(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		blocked := silent && oldConns[r.RemoteAddr]
		warm := !silent
		oldConns[r.RemoteAddr] = oldConns[r.RemoteAddr] || warm
		mu.Unlock()
		if warm {
			wg.Done()
			wg.Wait()
		}
		if blocked {
			<-r.Context().Done()
			return
		}
		respondWith(201, `{"offset":1}`)(w, r)
	})
	var calls sync.WaitGroup
	for range conns {
		calls.Go(func() {
			if _, err := lg.Append(t.Context(), "config", nil); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	mu.Lock()
	silent = true
	mu.Unlock()
	failed := 0
	for range conns + 1 {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		if _, err := lg.Append(ctx, "config", nil); err != nil {
			failed++
		}
		cancel()
	}
	if failed > 1 {
		t.Errorf("%d appends failed, want at most one", failed)
	}
}

// TestLogRefused guards against an error other than ErrUnavailable when the log
// refuses connections.
func TestLogRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	lg := NewHTTPLog(netip.MustParseAddrPort(ln.Addr().String()))
	if _, err := lg.Read(t.Context(), "config", 1, time.Now()); !errors.Is(err, ErrUnavailable) {
		t.Errorf("read: got %v, want ErrUnavailable", err)
	}
}
