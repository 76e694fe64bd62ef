package caller

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/listener"
)

// fullPause is how often a server without room looks whether a connection has ended.
const fullPause = 20 * time.Millisecond

// Serve accepts connections until the listener is closed. A failure that passes, such as
// a lack of descriptors, does not end it.
func (s *Server) Serve(l net.Listener) error {
	l = &listener.Listener{Listener: l, Name: "callers", Logger: s.Logger, Count: s.Count, Failed: func() { s.closeSome() }}
	s.mu.Lock()
	s.listener = l
	if s.conns == nil {
		s.conns = make(map[*conn]bool)
	}
	s.mu.Unlock()
	// Shutdown also waits for the connections that the listener returns after its Close.
	s.wg.Add(1)
	defer s.wg.Done()
	for {
		s.awaitRoom()
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return http.ErrServerClosed
		}
		if err != nil {
			return err
		}
		s.admit(nc)
	}
}

// awaitRoom waits while there are so many connections that a new one could not even be
// refused. New connections stay in the queue of the kernel meanwhile.
func (s *Server) awaitRoom() {
	for {
		n, bound := s.Connections()
		if bound == 0 || n < bound+max(1, bound/refusedDivisor) || s.closing.Load() {
			s.full.Store(false)
			return
		}
		s.full.Store(true)
		s.closeSome()
		time.Sleep(fullPause)
	}
}

func (s *Server) count(name string, n int64) {
	if s.Count != nil && n > 0 {
		s.Count(name, n)
	}
}
