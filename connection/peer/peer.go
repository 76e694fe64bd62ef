// Package peer holds the connections from one daemon to others.
//
// Connections speak HTTP/2 without TLS. A connection on which nothing arrives
// is pinged, and closed when the ping stays unanswered. Retire drops all
// connections to a peer at once, since a path that lost track of one
// connection has often lost the others too.
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
	// pingAfter is the silence on a connection after which it is pinged.
	pingAfter = 600 * time.Millisecond
	// pingTimeout is the time to answer a ping; a connection is closed after
	// little more than a second of silence in all, so that a request that may be
	// repeated can still be answered elsewhere.
	pingTimeout = 500 * time.Millisecond
	// dialTimeout bounds a connection attempt, which takes one round trip. A
	// daemon that does not answer in this time is not there or starved.
	dialTimeout = 300 * time.Millisecond
	// maxHeader bounds the head of an answer, in bytes, as daemons do with that of a
	// forwarded call.
	maxHeader = 512 << 10
	// defaultIdleTimeout closes connections that were not used.
	defaultIdleTimeout = time.Minute
)

// Pool holds HTTP/2 clients by peer address; the zero value is ready for use.
type Pool struct {
	// Traffic is told the bytes read and written on the connections; it may be
	// nil.
	Traffic func(read, written int)
	// DisablePings leaves silent connections to the timeouts of the calls, for
	// pools whose calls are short and may be repeated.
	DisablePings bool
	// IdleTimeout closes connections that were not used; zero means a minute.
	IdleTimeout time.Duration

	mu      sync.Mutex
	clients map[netip.AddrPort]*http.Client
}

// Client returns the client of a peer.
func (p *Pool) Client(addr netip.AddrPort) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[addr]
	if !ok {
		c = &http.Client{
			Transport: p.transport(),
			// A redirect is an answer for the caller.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
		if p.clients == nil {
			p.clients = make(map[netip.AddrPort]*http.Client)
		}
		p.clients[addr] = c
	}
	return c
}

// Retire drops the connections to a peer; calls in flight on them go on until
// their deadline, new calls open new connections.
func (p *Pool) Retire(addr netip.AddrPort) {
	p.mu.Lock()
	c, ok := p.clients[addr]
	delete(p.clients, addr)
	p.mu.Unlock()
	if ok {
		c.CloseIdleConnections()
	}
}

// Close drops all connections that are idle.
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

		MaxResponseHeaderBytes: maxHeader,
		// The encoding of an answer is between the caller and the upstream.
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil || p.Traffic == nil {
				return conn, err
			}
			return &countedConn{Conn: conn, traffic: p.Traffic}, nil
		},
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	if !p.DisablePings {
		t.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout}
	}
	return t
}

// countedConn reports the bytes that cross a connection.
type countedConn struct {
	net.Conn
	traffic func(read, written int)
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic(n, 0)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic(0, n)
	return n, err
}
