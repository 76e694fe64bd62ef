package caller

import (
	"cmp"
	"errors"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// minAcceptDelay and maxAcceptDelay bound the pause after a failed accept; it
	// doubles with each consecutive failure. A listener that is closed meanwhile is
	// noticed after the pause.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 100 * time.Millisecond
	// idleDivisor divides the number of connections to give the number of idle ones
	// that are closed together when there are too many.
	idleDivisor = 16
	// idlePause is the least time between two closings of idle connections, because a
	// closed one takes a moment to end.
	idlePause = 50 * time.Millisecond
)

// Serve accepts connections until the listener is closed. A failure that passes, such as
// a lack of descriptors, does not end it.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	if s.conns == nil {
		s.conns = make(map[*conn]bool)
	}
	s.mu.Unlock()
	failures, delay := 0, minAcceptDelay
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			if failures > 0 && s.Logger != nil {
				s.Logger.Info("connections of callers are accepted again", "failures", failures)
			}
			failures, delay = 0, minAcceptDelay
			s.start(nc)
			s.limitConns()
		case errors.Is(err, net.ErrClosed):
			return http.ErrServerClosed
		case !isPassing(err):
			return err
		default:
			if failures++; failures == 1 && s.Logger != nil {
				s.Logger.Warn("connections of callers cannot be accepted for now", "error", err)
			}
			s.count("callers.acceptFailures", 1)
			s.closeLongestIdle()
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptDelay)
		}
	}
}

// isPassing reports whether an accept may succeed later: the process or the machine lacks
// descriptors or memory, or the caller has closed the connection already.
func isPassing(err error) bool {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return true
	}
	return slices.ContainsFunc([]error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPROTO, syscall.EINTR,
	}, func(e error) bool { return errors.Is(err, e) })
}

func (s *Server) count(name string, n int64) {
	if s.Count != nil {
		s.Count(name, n)
	}
}

// limitConns closes idle connections if there are more than MaxConns.
func (s *Server) limitConns() {
	s.mu.Lock()
	tooMany := s.MaxConns > 0 && len(s.conns) > s.MaxConns
	s.mu.Unlock()
	if tooMany {
		s.closeLongestIdle()
	}
}

// closeLongestIdle closes the connections that have been without a request for the
// longest time, a part of all connections together. Callers find them closed before they
// send a request, as after the idle timeout.
func (s *Server) closeLongestIdle() {
	now := time.Now()
	if now.Before(s.closeIdleAfter) {
		return
	}
	s.closeIdleAfter = now.Add(idlePause)
	type idleConn struct {
		*conn
		since time.Time
	}
	list := s.list()
	var idle []idleConn
	for _, c := range list {
		if since, ok := c.idleFrom(); ok {
			idle = append(idle, idleConn{c, since})
		}
	}
	n := max(1, len(list)/idleDivisor)
	slices.SortFunc(idle, func(a, b idleConn) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	idle = idle[:min(n, len(idle))]
	for _, c := range idle {
		c.closeIdle()
	}
	s.count("callers.idleClosed", int64(len(idle)))
}

// list returns the open connections.
func (s *Server) list() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// idleFrom returns since when the connection has been without a request; false if it has
// one, or is about to close.
func (c *conn) idleFrom() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.pending == 0 && !c.reading && !c.closed && !c.ending
}
