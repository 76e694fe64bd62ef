package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/peer"
)

// boundTest is a server of net/http with a bound on its connections. Requests of /busy
// wait until release is closed.
type boundTest struct {
	addr    string
	release chan struct{}
	closed  atomic.Int64
}

const testBound = 8

func newBoundTest(t *testing.T) *boundTest {
	t.Helper()
	b := &boundTest{release: make(chan struct{})}
	bound := &connBound{max: fixed(testBound), closed: func() { b.closed.Add(1) }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.addr = l.Addr().String()
	srv := &http.Server{
		ConnState: bound.observe, Protocols: new(http.Protocols), ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/busy" {
				<-b.release
			}
			_, _ = io.WriteString(w, r.Proto)
		}),
	}
	srv.Protocols.SetHTTP1(true)
	srv.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return b
}

// get sends a request on a connection of its own and checks that it is served by a protocol.
func (b *boundTest) get(client *http.Client, path, proto string) error {
	res, err := client.Get("http://" + b.addr + path)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err == nil && string(body) != proto {
		err = fmt.Errorf("got %q, want %q", body, proto)
	}
	return err
}

// check runs others beside a request in hand. It checks that connections were closed, and
// that the request in hand is served.
func (b *boundTest) check(t *testing.T, newClient func() *http.Client, proto string, others func()) {
	t.Helper()
	busy := make(chan error, 1)
	go func() { busy <- b.get(newClient(), "/busy", proto) }()
	time.Sleep(50 * time.Millisecond)
	others()
	if got, want := b.closed.Load(), int64(2*testBound); got < want {
		t.Errorf("got %d connections closed, want at least %d", got, want)
	}
	close(b.release)
	if err := <-busy; err != nil {
		t.Errorf("connection with a request: got %v, want a response", err)
	}
}

// TestConnBound guards against peers and tools that take the daemon's descriptors with
// connections to the servers of net/http, and against closing one with a request.
func TestConnBound(t *testing.T) {
	b := newBoundTest(t)
	newClient := func() *http.Client { return &http.Client{Timeout: 5 * time.Second, Transport: new(http.Transport)} }
	b.check(t, newClient, "HTTP/1.1", func() {
		for range 3 * testBound {
			nc, err := net.Dial("tcp", b.addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = nc.Close() })
			_, _ = fmt.Fprint(nc, "GET / HTTP/1.1\r\nHost:")
		}
		if err := b.get(newClient(), "/", "HTTP/1.1"); err != nil {
			t.Fatalf("got %v, want a response", err)
		}
	})
}

// TestConnBoundOfPeers guards against the same over HTTP/2, where a connection is idle
// between its streams.
func TestConnBoundOfPeers(t *testing.T) {
	b := newBoundTest(t)
	newClient := func() *http.Client { return new(peer.Pool).Client(netip.MustParseAddrPort(b.addr)) }
	b.check(t, newClient, "HTTP/2.0", func() {
		for i := range 3 * testBound {
			if err := b.get(newClient(), "/", "HTTP/2.0"); err != nil {
				t.Fatalf("connection %d: %v", i, err)
			}
		}
	})
}
