package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// failingListener fails the first accepts with the given errors.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	}
	return l.Listener.Accept()
}

// TestAcceptFailures guards against a daemon that ends itself because the kernel refuses
// an accept for a while.
func TestAcceptFailures(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var failures atomic.Int64
	s := &Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
		Limits:  func() Limits { return Limits{HeaderBytes: 8 << 10, HeaderWithin: time.Second, IdleWithin: time.Second} },
		Count: func(name string, n int64) {
			if name == "callers.acceptFailures" {
				failures.Add(n)
			}
		},
	}
	errs := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EMFILE}
	want := int64(len(errs))
	served := make(chan error, 1)
	go func() { served <- s.Serve(&failingListener{Listener: l, errs: errs}) }()
	client := http.Client{Timeout: 5 * time.Second}
	res, err := client.Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if got := failures.Load(); res.StatusCode != http.StatusOK || got != want {
		t.Errorf("got status %d after %d failures, want 200 after %d", res.StatusCode, got, want)
	}
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("got %v, want %v", err, http.ErrServerClosed)
	}
	if err := s.Serve(&failingListener{Listener: l, errs: []error{syscall.EBADF}}); !errors.Is(err, syscall.EBADF) {
		t.Errorf("got %v for a failure that does not pass, want it returned", err)
	}
}

// TestLongestIdleClosed guards against callers that take all descriptors with connections
// that they do not use, and against closing one that is in use.
func TestLongestIdleClosed(t *testing.T) {
	const conns = 40
	release := make(chan struct{})
	var closed atomic.Int64
	r := newBoundedServer(t, conns, release, func(s *Server) {
		s.Limits = func() Limits { return Limits{HeaderBytes: 8 << 10, HeaderWithin: time.Second, IdleWithin: time.Minute} }
		s.Count = func(name string, n int64) {
			if name == "callers.idleClosed" {
				closed.Add(n)
			}
		}
	})
	_, busyReader := r.dial(get("/busy"))
	var oldest net.Conn
	for i := range 3 * conns {
		c, br := r.dial(get("/"))
		if i == 0 {
			oldest = c
		}
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		time.Sleep(roomPause / 5)
	}
	if closed.Load() < conns {
		t.Errorf("got %d idle connections closed, want at least %d", closed.Load(), conns)
	}
	_ = oldest.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := oldest.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("longest idle connection: got %d bytes, error %v, want it closed", n, err)
	}
	close(release)
	if res, err := http.ReadResponse(busyReader, nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("connection with a request: got error %v", fmt.Sprint(err))
	} else {
		_ = res.Body.Close()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := r.server.Shutdown(ctx); err != nil {
		t.Error(err)
	}
}
