package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestAnswerResetDuringUpload guards against a part of an answer of another daemon that
// is taken for the whole, because the stream or the connection was reset while the
// request was still being written.
func TestAnswerResetDuringUpload(t *testing.T) {
	type connKey struct{}
	resetStream := func(*http.Request) { panic(http.ErrAbortHandler) }
	resetConn := func(r *http.Request) {
		c := r.Context().Value(connKey{}).(*net.TCPConn)
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	upload := strings.Repeat("x", 16<<20)
	for _, tt := range []struct {
		name, length string
		end          func(*http.Request)
		whole        bool
	}{
		{"stream", "", resetStream, false},
		{"stream, length", "50", resetStream, false},
		{"connection", "", resetConn, false},
		{"connection, length", "50", resetConn, false},
		{"whole", "", func(*http.Request) {}, true},
		{"whole, length", "4", func(*http.Request) {}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var pause atomic.Int64
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if tt.length != "" {
					w.Header().Set("Content-Length", tt.length)
				}
				_, _ = io.WriteString(w, "part")
				if !tt.whole || tt.length == "" {
					_ = http.NewResponseController(w).Flush()
				}
				time.Sleep(time.Duration(pause.Load()))
				tt.end(r)
			}))
			srv.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, connKey{}, c)
			}
			srv.Config.Protocols = new(http.Protocols)
			srv.Config.Protocols.SetUnencryptedHTTP2(true)
			srv.Start()
			defer srv.Close()
			addr := netip.MustParseAddrPort(srv.Listener.Addr().String())
			for _, d := range []time.Duration{0, 100 * time.Microsecond, 5 * time.Millisecond} {
				pause.Store(int64(d))
				for range 20 {
					var p Pool
					req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr.String(), strings.NewReader(upload))
					if err != nil {
						t.Fatal(err)
					}
					var got []byte
					res, err := p.Client(addr).Transport.RoundTrip(req)
					if err == nil {
						got, err = io.ReadAll(res.Body)
						_ = res.Body.Close()
					}
					if tt.whole != (err == nil) || tt.whole && string(got) != "part" {
						t.Errorf("pause %v: got %q, %v, want it whole: %v", d, got, err, tt.whole)
					}
					p.Close()
				}
			}
		})
	}
}
