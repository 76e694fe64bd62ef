package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// firstRequestWithin is the age after which a connection without a request
	// is not waited for; http.Server has the same bound.
	firstRequestWithin = 5 * time.Second
	// finishPoll is the period of looking for busy connections.
	finishPoll = 5 * time.Millisecond
)

// listener hands out the connections that wait in the kernel's queue when it
// is closed. The kernel resets those that are left in the queue, and a caller
// may have sent a request on them.
type listener struct {
	*net.TCPListener
	mu     sync.Mutex
	closed bool
	rest   []net.Conn
}

func listen(ctx context.Context, addr string) (net.Listener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &listener{TCPListener: ln.(*net.TCPListener)}, nil
}

// Accept implements net.Listener. After Close it first returns the connections
// that waited.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.rest) == 0 {
		return nil, err
	}
	c, l.rest = l.rest[0], l.rest[1:]
	return c, nil
}

// Close implements net.Listener; a second call does nothing.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	var fds []int
	raw, err := l.SyscallConn()
	if err == nil {
		// Nothing else is done between the last connection and the end of the
		// socket, because a connection that arrives there is lost.
		err = raw.Control(func(fd uintptr) { fds = acceptAll(int(fd)) })
	}
	err = errors.Join(err, l.TCPListener.Close())
	for _, fd := range fds {
		syscall.CloseOnExec(fd)
		f := os.NewFile(uintptr(fd), "connection")
		c, connErr := net.FileConn(f)
		if err = errors.Join(err, connErr, f.Close()); connErr == nil {
			l.rest = append(l.rest, c)
		}
	}
	return err
}

// acceptAll takes connections from a socket that does not block until there is
// none.
func acceptAll(fd int) (fds []int) {
	for {
		nfd, _, err := syscall.Accept(fd)
		switch {
		case err == nil:
			fds = append(fds, nfd)
		case errors.Is(err, syscall.EINTR), errors.Is(err, syscall.ECONNABORTED):
		default:
			return fds
		}
	}
}

// busyConns knows the connections on which a request is expected or runs; the
// zero value is ready for use.
type busyConns struct {
	mu    sync.Mutex
	since map[net.Conn]busySince
}

type busySince struct {
	state http.ConnState
	at    time.Time
}

// set is the ConnState hook of a server.
func (b *busyConns) set(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state != http.StateNew && state != http.StateActive {
		delete(b.since, c)
		return
	}
	if b.since == nil {
		b.since = make(map[net.Conn]busySince)
	}
	b.since[c] = busySince{state, time.Now()}
}

// any reports whether a connection is busy. One that has sent nothing for
// firstRequestWithin does not count.
func (b *busyConns) any() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.since {
		if s.state == http.StateActive || time.Since(s.at) < firstRequestWithin {
			return true
		}
	}
	return false
}

// finish closes the listener and waits until no connection is busy. From the
// start of Shutdown, http.Server drops requests that it has read but not begun
// to serve, so there must be none left by then.
func (s *server) finish(ctx context.Context) error {
	err := s.listener.Close()
	t := time.NewTicker(finishPoll)
	defer t.Stop()
	for s.busy.any() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
	return err
}
