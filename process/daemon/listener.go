package daemon

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
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
		err = raw.Control(func(fd uintptr) {
			fds = acceptAll(int(fd))
			// The socket refuses connections from here on. Without it they would be
			// taken, and reset by the close, until the accepting goroutine is gone.
			_ = syscall.Shutdown(int(fd), syscall.SHUT_RD)
		})
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
