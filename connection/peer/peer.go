// Package peer manages the connections from one daemon to others.
//
// Connections use HTTP/2 without TLS. A connection on which no data arrives is
// pinged, and closed if the ping gets no response in time. Retire drops all
// connections to a peer at once: if the network path lost the state of one
// connection, it has often lost that of the others too.
//
// # Usage
//
//	var pool peer.Pool
//	res, err := pool.Client(addr).Do(req)
//	if err != nil {
//		pool.Retire(addr)
//	}
package peer

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// pingAfter is the time without received data after which a connection is
	// pinged.
	pingAfter = 600 * time.Millisecond
	// pingTimeout is the time in which a ping must get its response. A connection
	// without received data is thus closed after little more than a second, which
	// leaves time to repeat an idempotent request on another daemon.
	pingTimeout = 500 * time.Millisecond
	// dialTimeout bounds a connection attempt, which takes one round trip. A daemon
	// that does not accept in this time is down or starved of CPU.
	dialTimeout = 300 * time.Millisecond
	// maxResponseHeader bounds the header of a response in bytes. Daemons use the
	// same limit for the header of a forwarded call.
	maxResponseHeader = 512 << 10
	// streamBuffer bounds the bytes of one response that have arrived and are not read
	// yet, because the caller of the request reads slowly.
	streamBuffer = 256 << 10
	// defaultIdleTimeout is the time after which an unused connection is closed.
	defaultIdleTimeout = time.Minute
)

// Pool holds HTTP/2 clients by peer address; the zero value is ready for use.
type Pool struct {
	// Traffic is called with the number of bytes read and written on the
	// connections; it may be nil.
	Traffic func(read, written int)
	// DisablePings turns pings off for pools whose calls are short and may be
	// repeated. Connections without a response are then left to the timeouts of the
	// calls.
	DisablePings bool
	// IdleTimeout is the time after which an unused connection is closed; zero means
	// a minute.
	IdleTimeout time.Duration

	mu      sync.Mutex
	clients map[netip.AddrPort]*http.Client
}

// Client returns the HTTP client for a peer.
func (p *Pool) Client(addr netip.AddrPort) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[addr]
	if !ok {
		c = &http.Client{
			Transport: p.transport(),
			// A redirect is returned to the caller as the response.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
		if p.clients == nil {
			p.clients = make(map[netip.AddrPort]*http.Client)
		}
		p.clients[addr] = c
	}
	return c
}

// Retire stops the use of the existing connections to a peer. Calls in flight on
// them continue until their deadline; new calls open new connections.
func (p *Pool) Retire(addr netip.AddrPort) {
	p.mu.Lock()
	c, ok := p.clients[addr]
	delete(p.clients, addr)
	p.mu.Unlock()
	if ok {
		c.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.CloseIdleConnections()
	}
	p.clients = nil
}

func (p *Pool) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		IdleConnTimeout: cmp.Or(p.IdleTimeout, defaultIdleTimeout),
		Protocols:       new(http.Protocols),

		MaxResponseHeaderBytes: maxResponseHeader,
		// The content encoding is negotiated between the caller and the upstream.
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil || p.Traffic == nil {
				return conn, err
			}
			return &countingConn{Conn: conn, traffic: p.Traffic}, nil
		},
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	t.HTTP2 = &http.HTTP2Config{MaxReceiveBufferPerStream: streamBuffer}
	if !p.DisablePings {
		t.HTTP2.SendPingTimeout, t.HTTP2.PingTimeout = pingAfter, pingTimeout
	}
	return t
}

// countingConn reports the bytes read and written on a connection.
type countingConn struct {
	net.Conn
	traffic func(read, written int)
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic(n, 0)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic(0, n)
	return n, err
}
