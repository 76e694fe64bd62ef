package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/peer"
)

// TestConnBound guards against peers and tools that take the daemon's descriptors with
// connections to the servers of net/http, and against closing one with a request.
func TestConnBound(t *testing.T) {
	const bound = 8
	release := make(chan struct{})
	closed := make(chan struct{}, 100)
	b := &connBound{max: fixed(bound), closed: func() { closed <- struct{}{} }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{ConnState: b.observe, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	busy := make(chan error, 1)
	go func() {
		res, err := http.Get("http://" + l.Addr().String() + "/busy")
		if err == nil {
			err = res.Body.Close()
		}
		busy <- err
	}()
	time.Sleep(50 * time.Millisecond)
	for range 3 * bound {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
		_, _ = fmt.Fprint(nc, "GET / HTTP/1.1\r\nHost:")
	}
	res, err := client.Get("http://" + l.Addr().String() + "/")
	if err != nil {
		t.Fatalf("got %v, want a response", err)
	}
	_ = res.Body.Close()
	if got, want := len(closed), 2*bound; got < want {
		t.Errorf("got %d connections closed, want at least %d", got, want)
	}
	close(release)
	if err := <-busy; err != nil {
		t.Errorf("connection with a request: got %v, want a response", err)
	}
}

// TestConnBoundOfPeers guards against the same over HTTP/2, where a connection is idle
// between its streams.
func TestConnBoundOfPeers(t *testing.T) {
	const bound = 8
	release := make(chan struct{})
	closed := make(chan struct{}, 100)
	b := &connBound{max: fixed(bound), closed: func() { closed <- struct{}{} }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{ConnState: b.observe, Protocols: new(http.Protocols), ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			<-release
		}
		_, _ = io.WriteString(w, r.Proto)
	})}
	srv.Protocols.SetHTTP1(true)
	srv.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }()
	get := func(path string) (string, error) {
		var pool peer.Pool
		res, err := pool.Client(netip.MustParseAddrPort(l.Addr().String())).Get("http://" + l.Addr().String() + path)
		if err != nil {
			return "", err
		}
		defer func() { _ = res.Body.Close() }()
		body, err := io.ReadAll(res.Body)
		return string(body), err
	}
	busy := make(chan error, 1)
	go func() {
		_, err := get("/busy")
		busy <- err
	}()
	time.Sleep(50 * time.Millisecond)
	for i := range 3 * bound {
		if got, err := get("/"); err != nil || got != "HTTP/2.0" {
			t.Fatalf("connection %d: got %q, %v, want HTTP/2.0", i, got, err)
		}
	}
	if got, want := len(closed), 2*bound; got < want {
		t.Errorf("got %d connections closed, want at least %d", got, want)
	}
	close(release)
	if err := <-busy; err != nil {
		t.Errorf("connection with a stream: got %v, want a response", err)
	}
}
