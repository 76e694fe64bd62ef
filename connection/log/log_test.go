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

func logAt(t *testing.T, h http.HandlerFunc) Log {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return NewHTTPLog(netip.MustParseAddrPort(srv.Listener.Addr().String()))
}

// TestAppendResult guards against an append that may have taken effect and is
// reported as one that did not, or whose offset is made up.
func TestAppendResult(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer http.HandlerFunc
		want   error
		offset int64
	}{
		{"created", text(201, `{"offset":7}`), nil, 7},
		{"outage", text(503, "outage"), ErrUnavailable, 0},
		{"tooMany", text(429, "slow down"), ErrUnavailable, 0},
		{"serverError", text(500, "oops"), ErrUnknown, 0},
		{"badGateway", text(502, "oops"), ErrUnknown, 0},
		{"ok", text(200, `{"offset":7}`), ErrUnknown, 0},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, ErrUnknown, 0},
		{"noOffset", text(201, `{}`), ErrUnknown, 0},
		{"notJSON", text(201, `{"offset":`), ErrUnknown, 0},
		{"lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrUnknown, 0},
		{"cut", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			w.WriteHeader(201)
			_, _ = io.WriteString(w, `{"offset":7}`)
			panic(http.ErrAbortHandler)
		}, ErrUnknown, 0},
	} {
		var n atomic.Int64
		lg := logAt(t, func(w http.ResponseWriter, r *http.Request) {
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

func text(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// TestReadPage guards against a page that is cut, or belongs to another read,
// and is taken for the records that follow the offset.
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
		{"whole", text(200, page("5", "6")), 2, nil},
		{"empty", text(200, page()), 0, nil},
		{"otherOffset", text(200, page("3", "4")), 0, ErrUnavailable},
		{"later", text(200, page("6")), 0, ErrUnavailable},
		{"gap", text(200, page("5", "7")), 0, ErrUnavailable},
		{"cut", text(200, page("5", "6")[:40]), 0, ErrUnavailable},
		{"outage", text(503, ""), 0, ErrUnavailable},
		{"expired", text(410, `{"first":8,"next":9,"records":[]}`), 0, ErrExpired},
	} {
		lg := logAt(t, c.answer)
		got, err := lg.Read(t.Context(), "config", 5, time.Now())
		if !errors.Is(err, c.want) || len(got.Records) != c.records {
			t.Errorf("%s: got %d records, %v, want %d, %v", c.name, len(got.Records), err, c.records, c.want)
		}
		if errors.Is(c.want, ErrExpired) && got.First != 8 {
			t.Errorf("%s: first is %d, want 8", c.name, got.First)
		}
	}
}

// TestSilentLog guards against one lost read for each idle connection, when all
// connections to the log have gone silent while new ones work.
func TestSilentLog(t *testing.T) {
	const conns = 4
	var (
		mu     sync.Mutex
		silent bool
		old    = make(map[string]bool)
		wg     sync.WaitGroup
	)
	wg.Add(conns)
	lg := logAt(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		hang := silent && old[r.RemoteAddr]
		warm := !silent
		old[r.RemoteAddr] = old[r.RemoteAddr] || warm
		mu.Unlock()
		if warm {
			wg.Done()
			wg.Wait()
		}
		if hang {
			<-r.Context().Done()
			return
		}
		text(201, `{"offset":1}`)(w, r)
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

// TestLogRefused guards against a read that blames anything but the log when
// nothing listens.
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
