package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// mode is how a link treats the bytes that it forwards.
type mode int

const (
	modeOpen mode = iota
	// modeDelayed delays each chunk of bytes.
	modeDelayed
	// modeSilent holds back all bytes until the mode changes, because TCP would
	// retransmit lost packets. modeSilentForward and modeSilentReverse hold back the
	// bytes of one direction.
	modeSilent
	modeSilentForward
	modeSilentReverse
	// modeRefusing resets each connection.
	modeRefusing
)

const (
	bufferSize = 32 << 10
	// dialTimeout is for connection attempts on loopback.
	dialTimeout = time.Second
)

// link is a TCP proxy on loopback in front of one address.
type link struct {
	ln     net.Listener
	target netip.AddrPort

	mu      sync.Mutex
	mode    mode
	delay   time.Duration
	changed chan struct{}
	conns   map[net.Conn]struct{}
	closed  bool
}

func newLink(address, target netip.AddrPort) (*link, error) {
	ln, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	go l.serve()
	return l, nil
}

func (l *link) set(m mode, delay time.Duration) {
	l.mu.Lock()
	l.mode, l.delay = m, delay
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	if m == modeRefusing {
		l.reset()
	}
}

// reset closes all connections of the link with a TCP reset.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.ln.Close()
	l.set(modeRefusing, 0)
}

func (l *link) serve() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.proxy(c)
	}
}

// proxy forwards the bytes of one connection in both directions.
func (l *link) proxy(inbound net.Conn) {
	l.mu.Lock()
	refusing := l.mode == modeRefusing
	l.mu.Unlock()
	outbound, err := net.DialTimeout("tcp", l.target.String(), dialTimeout)
	if err != nil || refusing {
		resetConn(inbound)
		if err == nil {
			resetConn(outbound)
		}
		return
	}
	l.mu.Lock()
	l.conns[inbound], l.conns[outbound] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var relays sync.WaitGroup
	relays.Go(func() { l.relay(inbound, outbound, modeSilentForward) })
	relays.Go(func() { l.relay(outbound, inbound, modeSilentReverse) })
	relays.Wait()
	l.mu.Lock()
	delete(l.conns, inbound)
	delete(l.conns, outbound)
	l.mu.Unlock()
}

func (l *link) relay(from, to net.Conn, direction mode) {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !l.awaitOpen(direction) {
				break
			}
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			l.awaitOpen(direction)
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// awaitOpen waits until the link may forward a chunk in the given direction. It
// returns false if the link was closed.
func (l *link) awaitOpen(direction mode) bool {
	for {
		l.mu.Lock()
		m, delay, changed, closed := l.mode, l.delay, l.changed, l.closed
		l.mu.Unlock()
		switch {
		case closed:
			return false
		case m == modeSilent || m == direction:
			<-changed
		case m == modeDelayed:
			time.Sleep(delay)
			return true
		default:
			return true
		}
	}
}
