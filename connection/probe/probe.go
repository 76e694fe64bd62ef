// Package probe asks other daemons for the load of their upstream instances and answers
// the same question, over UDP.
//
// A probe is one datagram and so is its answer; both have a fixed size. Nothing is
// repeated: a lost probe leaves its sender without a report. An answer counts only if it
// carries the nonce of an outstanding probe and comes from the address to which that
// probe was sent. One goroutine reads the socket, and answers probes itself.
//
// # Usage
//
//	s := probe.Socket{
//		Load:     func() (request.Load, uint64) { return host.ProbeReport(), incarnation },
//		Answered: entry.ObserveProbe,
//		Count:    metrics.Add,
//	}
//	err := s.Listen(peerAddress)
//	go s.Serve()                      // until Close
//	sent := s.Probe("a7", addr, time.Now())
package probe

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/rotisserie/eris"
)

const (
	// maxOutstanding bounds the probes without an answer; it is a power of two. At 200
	// probes a second, 50 are sent within answerTimeout; a burst adds up to 20.
	maxOutstanding = 64
	// answerTimeout is the time after which an answer no longer counts. The report in it
	// would be older than the answer time of most requests.
	answerTimeout = 250 * time.Millisecond
	// readErrorDelay is the pause after a failed read, so that a lasting error does not
	// use up the processor.
	readErrorDelay = 10 * time.Millisecond
)

// Socket sends and answers probes. Its fields are set before Listen.
type Socket struct {
	// Load returns the load of the daemon's own instance and the incarnation of the
	// daemon. A limit of zero means that it has no instance; it then answers nothing.
	Load func() (l request.Load, incarnation uint64)
	// Answered is called with each report, by the reading goroutine. name is the one
	// that was passed to Probe.
	Answered func(name string, l request.Load, incarnation uint64, now time.Time)
	// Count adds n to a counter.
	Count func(name string, n int64)

	conn *net.UDPConn

	mu          sync.Mutex
	outstanding [maxOutstanding]outstanding
	next        int
}

// outstanding is a probe that was sent. Its deadline is zero once the probe is answered.
type outstanding struct {
	nonce    uint64
	name     string
	addr     netip.AddrPort
	deadline time.Time
}

// buffers holds the buffers of probes that are sent.
var buffers = sync.Pool{New: func() any { return new([probeSize]byte) }}

// Listen binds the socket.
func (s *Socket) Listen(addr netip.AddrPort) (err error) {
	defer func() { err = eris.Wrapf(err, "listen for probes on UDP %s", addr) }()
	s.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	return err
}

// Addr returns the address of the socket.
func (s *Socket) Addr() netip.AddrPort { return unmap(s.conn.LocalAddr().(*net.UDPAddr).AddrPort()) }

// Close closes the socket and ends Serve.
func (s *Socket) Close() error { return s.conn.Close() }

// Probe asks the daemon of an instance for its load. It reports whether the probe was
// sent; it is not if too many are outstanding.
func (s *Socket) Probe(name string, to netip.AddrPort, now time.Time) bool {
	nonce, ok := s.register(name, unmap(to), now)
	if !ok {
		s.Count("loads.probesNotSent", 1)
		return false
	}
	b := buffers.Get().(*[probeSize]byte)
	defer buffers.Put(b)
	encodeProbe(b, nonce)
	if _, err := s.conn.WriteToUDPAddrPort(b[:], to); err != nil {
		s.Count("loads.probesNotSent", 1)
		return false
	}
	s.Count("loads.probesSent", 1)
	return true
}

// register returns a nonce whose low bits are the index of the outstanding probe.
func (s *Socket) register(name string, to netip.AddrPort, now time.Time) (nonce uint64, ok bool) {
	nonce = rand.Uint64() //nolint:gosec // ChaCha8 with a random seed
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.next
	if now.Before(s.outstanding[i].deadline) {
		return 0, false
	}
	s.next = (i + 1) % maxOutstanding
	nonce = nonce&^(maxOutstanding-1) | uint64(i) //nolint:gosec // an index
	s.outstanding[i] = outstanding{nonce, name, to, now.Add(answerTimeout)}
	return nonce, true
}

// take removes the outstanding probe that an answer belongs to and returns its name.
func (s *Socket) take(nonce uint64, from netip.AddrPort, now time.Time) (name string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := &s.outstanding[nonce%maxOutstanding]
	if o.nonce != nonce || o.addr != from || !now.Before(o.deadline) {
		return "", false
	}
	o.deadline = time.Time{}
	return o.name, true
}

// Serve reads the socket until Close.
func (s *Socket) Serve() {
	// The longest message and one byte, so that a longer datagram is recognised.
	var in [answerSize + 1]byte
	var out [answerSize]byte
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(in[:])
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.Count("loads.probeReadErrors", 1)
			time.Sleep(readErrorDelay)
			continue
		}
		s.handle(in[:n], from, &out)
	}
}

// handle answers a probe or reports an answer.
func (s *Socket) handle(b []byte, from netip.AddrPort, out *[answerSize]byte) {
	if nonce, ok := decodeProbe(b); ok {
		load, incarnation := s.Load()
		if load.Limit <= 0 {
			return
		}
		encodeAnswer(out, nonce, report{load, incarnation})
		if _, err := s.conn.WriteToUDPAddrPort(out[:], from); err == nil {
			s.Count("loads.probesServed", 1)
		}
		return
	}
	nonce, r, ok := decodeAnswer(b)
	if !ok {
		s.Count("loads.probesMalformed", 1)
		return
	}
	now := time.Now()
	name, ok := s.take(nonce, unmap(from), now)
	if !ok {
		s.Count("loads.probesUnmatched", 1)
		return
	}
	s.Count("loads.probesAnswered", 1)
	s.Answered(name, r.load, r.incarnation, now)
}

// unmap returns the address in the form in which addresses are compared: a socket that
// is bound to an IPv6 wildcard reports IPv4 addresses as mapped ones.
func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }
