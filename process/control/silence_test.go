package control

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
	"github.com/kingcuppitch/kingcuppitch/wire/v1/wirev1connect"
)

// silentListener accepts connections that can go silent: what is written to them is lost,
// and they stay open.
type silentListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*silentConn
}

type silentConn struct {
	net.Conn
	silent atomic.Bool
}

// Accept implements net.Listener.
func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &silentConn{Conn: conn}
	l.conns = append(l.conns, c)
	return c, nil
}

// silence lets all open connections go silent.
func (l *silentListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.silent.Store(true)
	}
}

// Write implements net.Conn.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// quietPeer answers all calls.
type quietPeer struct {
	wirev1connect.UnimplementedControlHandler
}

func (quietPeer) Exchange(context.Context, *connect.Request[wirev1.ExchangeRequest]) (*connect.Response[wirev1.ExchangeResponse], error) {
	return connect.NewResponse(&wirev1.ExchangeResponse{From: toWire(testMember("d2", "a"))}), nil
}

func (quietPeer) Push(context.Context, *connect.Request[wirev1.PushRequest]) (*connect.Response[wirev1.PushResponse], error) {
	return connect.NewResponse(&wirev1.PushResponse{}), nil
}

func (quietPeer) Fetch(context.Context, *connect.Request[wirev1.FetchRequest]) (*connect.Response[wirev1.FetchResponse], error) {
	return connect.NewResponse(&wirev1.FetchResponse{}), nil
}

// TestSilentControlConnection guards against a daemon that goes on calling a peer over a
// connection that has gone silent, while a new one would work: each kind of call is lost
// once at most.
func TestSilentControlConnection(t *testing.T) {
	for _, tt := range []struct {
		name string
		call func(c *control, ctx context.Context, to membership.Member)
	}{
		{"update", func(c *control, ctx context.Context, to membership.Member) {
			c.runExchange(ctx, sendExchange{to: to, update: true, req: &wirev1.ExchangeRequest{From: toWire(c.self)}})
		}},
		{"push", func(c *control, ctx context.Context, to membership.Member) {
			c.runPush(ctx, sendPush{to: []membership.Member{to}, req: &wirev1.PushRequest{}})
		}},
		{"fetch", func(c *control, ctx context.Context, to membership.Member) {
			c.runFetch(ctx, sendFetch{to: to, offset: 1})
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &silentListener{Listener: ln}
			mux := http.NewServeMux()
			mux.Handle(wirev1connect.NewControlHandler(quietPeer{}))
			srv := &http.Server{Handler: mux, Protocols: new(http.Protocols), ReadHeaderTimeout: time.Minute}
			srv.Protocols.SetUnencryptedHTTP2(true)
			go func() { _ = srv.Serve(l) }() // ends with Close
			defer func() { _ = srv.Close() }()
			c := New(WithSelf(testMember("d1", "a"))).(*control)
			defer c.Stop()
			to := testMember("d2", "a")
			to.Peer = netip.MustParseAddrPort(ln.Addr().String())
			// took returns how long a call takes.
			took := func() time.Duration {
				ctx, cancel := context.WithTimeout(t.Context(), rpcTimeout)
				defer cancel()
				began := time.Now()
				tt.call(c, ctx, to)
				return time.Since(began)
			}
			if got := took(); got >= rpcTimeout {
				t.Fatalf("a call took %v before the silence", got)
			}
			l.silence()
			if got := took(); got < rpcTimeout {
				t.Fatalf("a call on the silent connection took %v, want %v", got, rpcTimeout)
			}
			if got := took(); got >= rpcTimeout {
				t.Errorf("the next call took %v, want an answer on a new connection", got)
			}
		})
	}
}
