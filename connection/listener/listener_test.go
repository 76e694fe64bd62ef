package listener

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
)

// scriptedListener returns the given errors, one for each accept, and a connection for nil.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (s *scriptedListener) Accept() (net.Conn, error) {
	if len(s.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	if err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	}
	c, _ := net.Pipe()
	return c, nil
}

func (s *scriptedListener) Close() error { return nil }

// TestPassingFailures guards against servers of net/http, and with them the daemon, that
// end for a lack of memory in the kernel, and against a line in the log for each failure.
func TestPassingFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		failed, counted := 0, int64(0)
		errs := []error{syscall.ENOBUFS, nil, syscall.ENOMEM, nil, syscall.EMFILE, syscall.ENFILE, nil, syscall.ECONNABORTED, syscall.EPROTO, nil}
		l := &Listener{
			Listener: &scriptedListener{errs: errs}, Name: "peers",
			Logger: hclog.New(&hclog.LoggerOptions{Output: &log}),
			Count:  func(_ string, n int64) { counted += n }, Failed: func() { failed++ },
		}
		for i := range 4 {
			nc, err := l.Accept()
			if err != nil {
				t.Fatalf("connection %d: %v", i, err)
			}
			_ = nc.Close()
		}
		if failed != 6 || counted != 6 {
			t.Errorf("got %d failures reported and %d counted, want 6", failed, counted)
		}
		time.Sleep(quietPeriod)
		l.Listener = &scriptedListener{errs: []error{nil, syscall.EBADF}}
		nc, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_ = nc.Close()
		if got := strings.Count(log.String(), "\n"); got != 2 {
			t.Errorf("got %d lines, want one for the begin of the shortage and one for its end:\n%s", got, log.String())
		}
		if _, err := l.Accept(); !errors.Is(err, syscall.EBADF) {
			t.Errorf("got %v for a failure that lasts, want it returned", err)
		}
		if err := new(http.Server).Serve(&Listener{Listener: &scriptedListener{errs: []error{syscall.ENOBUFS}}}); !errors.Is(err, net.ErrClosed) {
			t.Errorf("got %v from a server of net/http, want it to go on until the listener is closed", err)
		}
	})
}
