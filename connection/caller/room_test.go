package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestBoundReachedInUse guards against locks that are taken in two orders while the bound
// on connections is reached all the time, also during a shutdown: the server then answers
// nobody, and does not end.
func TestBoundReachedInUse(t *testing.T) {
	const (
		bound, inUse, newcomers = 100, 90, 8
		period                  = 2 * time.Second
		within                  = 10 * time.Second
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{
		Handler:  http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
		Limits:   func() Limits { return Limits{HeaderBytes: 8 << 10, HeaderWithin: time.Second, IdleWithin: time.Minute} },
		MaxConns: bound,
	}
	go func() { _ = s.Serve(l) }()
	var served, late atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	// use sends one request after the other on a connection, and dials anew after an error.
	use := func(perConn int) {
		for {
			nc, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				return
			}
			br := bufio.NewReader(nc)
			for n := 0; n < perConn || perConn == 0; n++ {
				select {
				case <-stop:
					_ = nc.Close()
					return
				default:
				}
				_ = nc.SetDeadline(time.Now().Add(within))
				if _, err = io.WriteString(nc, get("/")); err != nil {
					break
				}
				res, err := http.ReadResponse(br, nil)
				if err != nil {
					if ne, ok := err.(net.Error); ok && ne.Timeout() { //nolint:errorlint // as net returns it
						late.Add(1)
					}
					break
				}
				_, _ = io.Copy(io.Discard, res.Body)
				served.Add(1)
			}
			if perConn == 0 {
				_ = nc.Close()
			} else {
				// The server closes it to make room.
				defer func() { _ = nc.Close() }()
			}
		}
	}
	for range inUse {
		wg.Go(func() { use(0) })
	}
	for range newcomers {
		wg.Go(func() { use(1) })
	}
	time.Sleep(period)
	before := served.Load()
	time.Sleep(period)
	if got := served.Load() - before; got < 100 {
		buf := make([]byte, 1<<20)
		t.Logf("%s", buf[:runtime.Stack(buf, true)])
		t.Fatalf("got %d requests served in the last %v, want at least 100", got, period)
	}
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	down := make(chan error, 1)
	go func() { down <- s.Shutdown(ctx) }()
	select {
	case err := <-down:
		if err != nil {
			t.Errorf("shutdown: %v", err)
		}
	case <-time.After(within + time.Second):
		t.Fatal("the shutdown does not return")
	}
	close(stop)
	wg.Wait()
	if n := late.Load(); n > 0 {
		t.Errorf("got %d requests without an answer within %v, want none", n, within)
	}
}
