package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
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
