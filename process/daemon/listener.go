package daemon

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
)

// drainingListener still returns the connections that are in the accept queue of the kernel
// when it is closed. The kernel would reset connections left in the queue, although a
// caller may have sent a request on them.
type drainingListener struct {
	*net.TCPListener
	mu      sync.Mutex
	closed  bool
	pending []net.Conn
}

func listen(ctx context.Context, addr string) (net.Listener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &drainingListener{TCPListener: ln.(*net.TCPListener)}, nil
}

// Accept implements net.Listener. After Close it first returns the connections that
// were in the accept queue.
func (l *drainingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return nil, err
	}
	c, l.pending = l.pending[0], l.pending[1:]
	return c, nil
}

// Close implements net.Listener; a second call does nothing.
func (l *drainingListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	var fds []int
	raw, err := l.SyscallConn()
	if err == nil {
		// Nothing else happens between the last accept and the shutdown of the
		// socket, because a connection that arrives in between is lost.
		err = raw.Control(func(fd uintptr) {
			fds = acceptAll(int(fd))
			// From here on the socket refuses connections. Without the shutdown the
			// kernel would accept them until the goroutine in Accept has returned,
			// and reset them at the close.
			_ = syscall.Shutdown(int(fd), syscall.SHUT_RD)
		})
	}
	err = errors.Join(err, l.TCPListener.Close())
	for _, fd := range fds {
		syscall.CloseOnExec(fd)
		f := os.NewFile(uintptr(fd), "connection")
		c, connErr := net.FileConn(f)
		if err = errors.Join(err, connErr, f.Close()); connErr == nil {
			l.pending = append(l.pending, c)
		}
	}
	return err
}

// acceptAll accepts connections from a non-blocking socket until its queue is empty.
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
