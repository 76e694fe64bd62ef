package caller

import (
	"cmp"
	"net"
	"slices"
	"time"
)

const (
	// roomDivisor divides the number of connections to give the number of those that are
	// closed together when there are too many.
	roomDivisor = 16
	// roomPause is the least time between two searches for connections to close, because
	// a closed one takes a moment to end; noRoomPause is that after a search that found
	// none.
	roomPause   = 50 * time.Millisecond
	noRoomPause = 5 * time.Millisecond
	// refusedDivisor divides MaxConns to give the number of further connections that are
	// accepted in order to refuse their requests.
	refusedDivisor = 16
	// unreadPeriod is how long a caller may leave a response unread before its connection
	// may be closed to make room.
	unreadPeriod = time.Second
)

// stage is how far a connection is with its requests. Connections in a lower stage are
// closed before those in a higher one.
type stage int

const (
	// awaiting has no request in hand: it is idle, or the header of a request has not
	// arrived completely.
	awaiting stage = iota
	// receiving has a request whose body has not arrived completely.
	receiving
	// unread has a response that its caller does not read.
	unread
	// busy has a request that a handler works on, and is not closed.
	busy
	// ends is about to end.
	ends
)

// Connections returns the number of open connections and the bound on them; a bound of
// zero means that there is none.
func (s *Server) Connections() (n, bound int) {
	s.mu.Lock()
	n = len(s.conns)
	s.mu.Unlock()
	return n, s.bound()
}

func (s *Server) bound() int {
	if s.MaxConns == nil {
		return 0
	}
	return s.MaxConns()
}

// Full reports whether new connections are left in the queue of the kernel.
func (s *Server) Full() bool { return s.full.Load() }

// MakeRoom closes connections if there are more than MaxConns. Call it now and then, as
// the bound may fall without a new connection.
func (s *Server) MakeRoom() {
	if n, bound := s.Connections(); bound > 0 && n > bound {
		s.closeSome()
	}
}

// admit starts a new connection. If there are too many and none of them can be closed,
// its requests are refused.
func (s *Server) admit(nc net.Conn) {
	refused := false
	if n, bound := s.Connections(); bound > 0 && n >= bound {
		refused = !s.closeSome()
	}
	if refused {
		s.count("callers.refused", 1)
	}
	s.start(nc, refused)
}

// candidate is a connection that may be closed to make room.
type candidate struct {
	*conn
	stage stage
	since time.Time
}

// closeSome closes a part of the connections to make room, the ones of the lowest stage
// first. It reports whether there is room once all those that are about to end have done
// so.
func (s *Server) closeSome() bool {
	s.roomMu.Lock()
	defer s.roomMu.Unlock()
	now := time.Now()
	if now.Before(s.roomAfter) {
		return s.roomFound
	}
	s.roomAfter = now.Add(roomPause)
	list := s.list()
	candidates := make([]candidate, 0, len(list))
	// staying counts the connections that are neither refused nor about to end.
	staying := 0
	for _, c := range list {
		st, since := c.stage(now)
		if st != ends && !c.refused {
			staying++
		}
		if st < busy {
			candidates = append(candidates, candidate{c, st, since})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.stage, b.stage), a.since.Compare(b.since))
	})
	most := max(1, len(list)/roomDivisor)
	bound := s.bound()
	if bound > 0 {
		most = max(most, staying-bound)
	}
	closed := make(map[stage]int64)
	for _, c := range candidates[:min(most, len(candidates))] {
		if st := c.evict(now); st < busy {
			closed[st]++
			staying--
		}
	}
	s.count("callers.idleClosed", closed[awaiting])
	s.count("callers.incompleteClosed", closed[receiving])
	s.count("callers.unreadClosed", closed[unread])
	if s.roomFound = staying < bound; !s.roomFound {
		s.roomAfter = now.Add(noRoomPause)
	}
	return s.roomFound
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

// stage returns how far the connection is, and since when.
func (c *conn) stage(now time.Time) (stage, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stageLocked(now)
}

func (c *conn) stageLocked(now time.Time) (stage, time.Time) {
	switch {
	case c.evicted || !c.endBy.IsZero() || c.closed && c.pending == 0:
		return ends, time.Time{}
	case c.pending == 0 && c.reading:
		return awaiting, c.headSince
	case c.pending == 0:
		return awaiting, c.idleSince
	case !c.writingSince.IsZero():
		if now.Sub(c.writingSince) > unreadPeriod {
			return unread, c.writingSince
		}
	case c.pending == 1 && !c.newest.body.ended():
		return receiving, c.headSince
	}
	return busy, time.Time{}
}

// evict ends the connection to make room, unless it is busy or about to end by now; it
// returns its stage. A caller whose request has arrived in part gets a response.
func (c *conn) evict(now time.Time) stage {
	c.mu.Lock()
	defer c.mu.Unlock()
	st, _ := c.stageLocked(now)
	switch st {
	case awaiting, receiving:
		c.evicted, c.endBy = true, now
		if st == awaiting && c.received == 0 && !c.reading {
			c.endBy = c.idleSince.Add(firstRequestTimeout)
		}
		c.readByLocked(time.Time{})
	case unread:
		c.evicted = true
		_ = c.nc.SetWriteDeadline(now)
	}
	return st
}
