package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

func newPeer(t *testing.T, h http.HandlerFunc) (*httptest.Server, netip.AddrPort) {
	t.Helper()
	srv := httptest.NewUnstartedServer(h)
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	t.Cleanup(srv.Close)
	return srv, netip.MustParseAddrPort(srv.Listener.Addr().String())
}

func get(ctx context.Context, p *Pool, addr netip.AddrPort, path string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+path, nil)
	if err != nil {
		return "", err
	}
	res, err := p.Client(addr).Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

// TestRetire guards against a call in flight that fails because another call retired
// the connections to its peer, and against a new call on an old connection.
func TestRetire(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	_, addr := newPeer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(arrived)
			<-release
		}
		_, _ = io.WriteString(w, r.RemoteAddr)
	})
	var p Pool
	defer p.Close()
	type result struct {
		remote string
		err    error
	}
	slow := make(chan result, 1)
	go func() {
		remote, err := get(t.Context(), &p, addr, "/slow")
		slow <- result{remote, err}
	}()
	<-arrived
	p.Retire(addr)
	remote, err := get(t.Context(), &p, addr, "/")
	if err != nil {
		t.Error(err)
	}
	close(release)
	old := <-slow
	if old.err != nil || old.remote == remote {
		t.Errorf("call in flight: got %q, %v, the new call got %q", old.remote, old.err, remote)
	}
	again, err := get(t.Context(), &p, addr, "/")
	if err != nil || again != remote {
		t.Errorf("got connection %q, %v, want %q reused", again, err, remote)
	}
}

// TestSilentIdleConnection guards against a call that fails on an idle connection
// whose path silently drops all data. A ping must have closed the connection before.
func TestSilentIdleConnection(t *testing.T) {
	_, addr := newPeer(t, func(http.ResponseWriter, *http.Request) {})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	var silent atomic.Bool
	closed := make(chan struct{}, 2)
	go func() {
		for {
			a, err := ln.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", addr.String())
			if err != nil {
				return
			}
			isOld := !silent.Load() // the connection was opened before the data loss
			forward := func(from, to net.Conn) {
				buf := make([]byte, 32<<10)
				for {
					n, err := from.Read(buf)
					if err != nil {
						_ = to.Close()
						if isOld {
							closed <- struct{}{}
						}
						return
					}
					if !isOld || !silent.Load() {
						_, _ = to.Write(buf[:n])
					}
				}
			}
			go forward(a, b)
			go forward(b, a)
		}
	}()
	proxyAddr := netip.MustParseAddrPort(ln.Addr().String())
	var p Pool
	defer p.Close()
	if _, err := get(t.Context(), &p, proxyAddr, "/"); err != nil {
		t.Fatal(err)
	}
	silent.Store(true)
	// The design allows 2 s; the third second is a margin for a busy machine.
	select {
	case <-closed:
	case <-time.After(3 * time.Second):
		t.Fatal("the silent connection is still open")
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err := get(ctx, &p, proxyAddr, "/"); err != nil {
		t.Errorf("over a new connection: %v", err)
	}
}

// TestIdle guards against idle connections that are kept open. With hundreds of
// peers and a call every few seconds, all of them would also be pinged.
func TestIdle(t *testing.T) {
	srv, addr := newPeer(t, func(http.ResponseWriter, *http.Request) {})
	closed := make(chan struct{})
	var once sync.Once
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			once.Do(func() { close(closed) })
		}
	}
	p := Pool{IdleTimeout: 100 * time.Millisecond}
	defer p.Close()
	if _, err := get(t.Context(), &p, addr, "/"); err != nil {
		t.Fatal(err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection is still open")
	}
	if _, err := get(t.Context(), &p, addr, "/"); err != nil {
		t.Errorf("over a new connection: %v", err)
	}
}

// TestTraffic guards against control traffic that is not counted.
func TestTraffic(t *testing.T) {
	_, addr := newPeer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 10_000)) })
	var read, written atomic.Int64
	p := Pool{Traffic: func(r, w int) {
		read.Add(int64(r))
		written.Add(int64(w))
	}}
	defer p.Close()
	if _, err := get(t.Context(), &p, addr, "/"); err != nil {
		t.Fatal(err)
	}
	if read.Load() < 10_000 || written.Load() == 0 {
		t.Errorf("read %d, written %d bytes, want at least 10000 and 1", read.Load(), written.Load())
	}
}
