package upstream

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener limits the number of open connections and takes ConnectionCost to accept
// each.
type listener struct {
	net.Listener
	in *instance
}

func (in *instance) listen(ctx context.Context) (net.Listener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", in.address.String())
	if err != nil {
		return nil, err
	}
	return &listener{ln, in}, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(ConnectionCost)
		c := &conn{Conn: nc, in: l.in}
		l.in.mu.Lock()
		l.in.stats.Connections++
		full := len(l.in.conns) >= l.in.connections
		if full {
			l.in.stats.RefusedConnections++
		} else {
			l.in.conns[c] = struct{}{}
		}
		l.in.mu.Unlock()
		if !full {
			return c, nil
		}
		_ = nc.Close()
	}
}

// conn is a connection that can be made silent: it stays open, but bytes in both
// directions are discarded.
type conn struct {
	net.Conn
	in     *instance
	silent atomic.Bool
	once   sync.Once
}

// Read implements net.Conn. A silent connection discards what the client sends
// until the client closes it.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.untrack()
	return c.Conn.Close()
}

func (c *conn) untrack() {
	c.once.Do(func() {
		c.in.mu.Lock()
		defer c.in.mu.Unlock()
		delete(c.in.conns, c)
	})
}

// silence makes the open connections silent. They no longer count toward the limit
// on connections, because a real server would time them out.
func (in *instance) silence() {
	for _, c := range in.openConns() {
		c.silent.Store(true)
		c.untrack()
	}
}

// abort resets the open connections, as happens when a process dies.
func (in *instance) abort() {
	for _, c := range in.openConns() {
		if tc, ok := c.Conn.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = c.Close()
	}
}
