// Package caller serves the HTTP/1.1 connections of callers.
//
// It supports pipelining: requests that a caller sends before the first response
// are handled concurrently, and the responses are written in order. The connection
// is read all the time, so the server detects immediately that a caller has closed
// it, and cancels the contexts of the requests.
//
// A request that may run only once must not run while a response before it may
// still end the connection. The caller would consider the request unread and send
// it again. The handler of such a request calls AwaitTurn first.
//
// # Usage
//
//	s := &caller.Server{Handler: entry, Limits: func() caller.Limits { return limits }}
//	go s.Serve(listener)
//	...
//	s.DisableKeepAlives()  // responses ask callers to use another daemon
//	err := s.Shutdown(ctx) // responds to the requests that were read
package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// maxPipelined bounds the concurrent requests of one connection.
	maxPipelined = 16
	// bufferSize is the size of the read buffer of a connection.
	bufferSize = 4 << 10
	// lingerPeriod is how long the server reads and discards data after the last
	// response. Closing a connection with unread data resets it, and the caller may
	// then lose the response.
	lingerPeriod = 500 * time.Millisecond
	// firstRequestTimeout bounds the wait for the first request on a new connection
	// while the server shuts down.
	firstRequestTimeout = 300 * time.Millisecond
	// headerSlack is the number of bytes read beyond the header limit, so that the
	// part of the body in the same buffer does not count.
	headerSlack = bufferSize
	// idleSlack is added to the idle timeout, so that a connection is not closed
	// just as the caller uses it.
	idleSlack = time.Second
)

// Limits bound what callers send.
type Limits struct {
	HeaderBytes  int
	HeaderWithin time.Duration
	IdleWithin   time.Duration
}

// Server serves the connections of callers. Its fields are set before Serve.
type Server struct {
	Handler http.Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// Logger may be nil.
	Logger hclog.Logger
	// MaxConns is the number of connections above which the longest idle ones are
	// closed; zero means no bound.
	MaxConns int
	// Count adds to a counter; it may be nil.
	Count func(name string, n int64)

	// closeIdleAfter is when idle connections may be closed again; only Serve uses it.
	closeIdleAfter time.Time

	// noKeepAlives and closing are read by requests, which take no lock of the server.
	noKeepAlives, closing atomic.Bool

	// mu guards the set of connections. No other lock is taken while it is held, and it
	// is not taken while a conn.mu is held.
	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
	wg       sync.WaitGroup
}

func (s *Server) start(nc net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: s, nc: nc, ctx: ctx, cancel: cancel, lr: io.LimitedReader{R: nc, N: math.MaxInt64}, bw: bufio.NewWriterSize(nc, bufferSize), idleSince: time.Now()}
	c.br = bufio.NewReaderSize(&c.lr, bufferSize)
	c.idle = sync.NewCond(&c.mu)
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// DisableKeepAlives makes the response to the newest request of each connection end
// the connection.
func (s *Server) DisableKeepAlives() { s.noKeepAlives.Store(true) }

// Shutdown closes the listener and all connections without a request. It waits until
// all requests that were read have their response.
func (s *Server) Shutdown(ctx context.Context) error {
	s.noKeepAlives.Store(true)
	s.closing.Store(true)
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	var err error
	if l != nil {
		err = l.Close()
	}
	for _, c := range s.list() {
		c.closeIdle()
	}
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return err
	case <-ctx.Done():
		return errors.Join(err, ctx.Err())
	}
}

// turnKey is the context key of the response of a request.
type turnKey struct{}

// AwaitTurn waits until the responses to all earlier requests on the connection of
// ctx are written. An error means that the connection has ended, so the caller
// considers the request unread. For any other context AwaitTurn returns nil at once.
func AwaitTurn(ctx context.Context) error {
	w, ok := ctx.Value(turnKey{}).(*response)
	if !ok {
		return nil
	}
	return w.awaitTurn()
}

// conn is one connection. One goroutine reads it, and each request has its own.
type conn struct {
	server *Server
	nc     net.Conn
	ctx    context.Context
	cancel context.CancelFunc
	lr     io.LimitedReader
	br     *bufio.Reader
	bw     *bufio.Writer

	// mu guards the state of the connection. No other lock is taken while it is held.
	mu sync.Mutex
	// idle is signalled when a request ends.
	idle *sync.Cond
	// pending counts the requests without a response, received all requests.
	pending, received int
	// reading is set while a request is being read. closed is set once no further
	// request is accepted.
	reading, closed bool
	// ending is set once the connection was asked to close for want of a request.
	ending bool
	// idleSince is since when the connection has been without a request.
	idleSince time.Time
	// finalRequest is the number of the request whose response ends the connection;
	// zero means none so far.
	finalRequest int
	// tail is closed when the newest request is finished.
	tail <-chan struct{}
}

// serve reads requests until the connection ends, and waits for their responses.
func (c *conn) serve() {
	first := make(chan struct{})
	close(first)
	c.tail = first
	for c.readRequest() {
	}
	c.mu.Lock()
	c.closed = true
	for c.pending > 0 {
		c.idle.Wait()
	}
	c.mu.Unlock()
	c.cancel()
	c.linger()
}

// linger closes the connection without a reset.
func (c *conn) linger() {
	if tc, ok := c.nc.(interface{ CloseWrite() error }); ok && tc.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerPeriod))
		_, _ = io.Copy(io.Discard, c.nc)
	}
	_ = c.nc.Close()
}

// readRequest reads one request and starts its handler. It reports whether another
// request may follow.
func (c *conn) readRequest() bool {
	if !c.awaitBytes() {
		return false
	}
	limits := c.server.Limits()
	c.lr.N = int64(limits.HeaderBytes) + headerSlack
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderWithin))
	req, err := http.ReadRequest(c.br)
	if err != nil {
		c.refuse(err)
		return false
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	if c.lr.N <= headerSlack && headerSize(req) > limits.HeaderBytes {
		c.refuseStatus(http.StatusRequestHeaderFieldsTooLarge)
		return false
	}
	c.lr.N = math.MaxInt64
	if req.Host == "" && req.ProtoAtLeast(1, 1) {
		c.refuseStatus(http.StatusBadRequest)
		return false
	}
	w := c.begin(req)
	if w == nil {
		return false
	}
	// The next request begins after the body, which the handler reads.
	select {
	case <-w.bodyDone:
	case <-w.done:
		if !w.body.ended() {
			return false
		}
	}
	return !w.isFinal()
}

// headerSize returns the approximate size of a header in bytes.
func headerSize(req *http.Request) int {
	n := len(req.Method) + len(req.RequestURI)
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// awaitBytes waits for the first byte of a request.
func (c *conn) awaitBytes() bool {
	for {
		c.mu.Lock()
		for c.pending >= maxPipelined && c.ctx.Err() == nil {
			c.idle.Wait()
		}
		closed, busy, fresh := c.closed, c.pending > 0, c.received == 0
		c.mu.Unlock()
		if closed || c.server.closing.Load() && !fresh && !busy {
			return false
		}
		wait := c.server.Limits().IdleWithin + idleSlack
		if c.server.closing.Load() && fresh {
			wait = firstRequestTimeout
		}
		c.lr.N = math.MaxInt64
		_ = c.nc.SetReadDeadline(time.Now().Add(wait))
		_, err := c.br.Peek(1)
		if err == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			// A further request on a connection is not read while the server shuts
			// down; the caller sends it to another daemon.
			if c.server.closing.Load() && c.received > 0 {
				c.closed = true
			}
			c.reading = !c.closed
			return c.reading
		}
		var ne net.Error
		if !errors.As(err, &ne) || !ne.Timeout() {
			// The caller closed the connection.
			c.cancel()
			return false
		}
		c.mu.Lock()
		idle := c.pending == 0
		c.mu.Unlock()
		if idle {
			return false
		}
	}
}

// closeIdle ends a connection without a pending request by a read deadline. A new
// connection has firstRequestTimeout left for its first request.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 {
		return
	}
	c.ending = true
	wait := time.Duration(0)
	if c.received == 0 {
		wait = firstRequestTimeout
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(wait))
}

// refuse responds to a request that cannot be read, after all earlier ones.
func (c *conn) refuse(err error) {
	var ne net.Error
	switch {
	case errors.As(err, &ne) && ne.Timeout():
		c.refuseStatus(http.StatusRequestTimeout)
	case c.lr.N <= 0:
		c.refuseStatus(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
		c.cancel()
	default:
		c.refuseStatus(http.StatusBadRequest)
	}
}

func (c *conn) refuseStatus(status int) {
	req, err := http.NewRequestWithContext(c.ctx, http.MethodGet, "/", nil)
	if err != nil {
		return
	}
	req.Close = true
	c.startHandler(req, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
}

// begin starts the handler of a request.
func (c *conn) begin(req *http.Request) *response {
	return c.startHandler(req, c.server.Handler)
}

func (c *conn) startHandler(req *http.Request, h http.Handler) *response {
	done := make(chan struct{})
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.reading, c.ending = false, false
	c.pending++
	c.received++
	turn := c.tail
	c.tail = done
	w := &response{conn: c, req: req, turn: turn, done: done, number: c.received, header: make(http.Header), bodyDone: make(chan struct{})}
	w.body = &requestBody{ReadCloser: req.Body, w: w}
	c.mu.Unlock()
	if req.Body == nil || req.Body == http.NoBody {
		close(w.bodyDone)
		w.body.atEnd.Store(true)
	} else {
		req.Body = w.body
	}
	ctx, cancel := context.WithCancel(context.WithValue(c.ctx, turnKey{}, w))
	req = req.WithContext(ctx)
	req.RemoteAddr = c.nc.RemoteAddr().String()
	go func() {
		defer cancel()
		w.run(h, req)
	}()
	return w
}

// end marks a request as finished.
func (c *conn) end(done chan struct{}) {
	c.mu.Lock()
	c.pending--
	idle := c.pending == 0
	c.idleSince = time.Now()
	c.mu.Unlock()
	close(done)
	c.idle.Broadcast()
	if idle && c.server.closing.Load() {
		c.closeIdle()
	}
}

// open reports whether no response has ended the connection.
func (c *conn) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finalRequest == 0
}

// abort resets the connection, so that an incomplete response does not look complete.
func (c *conn) abort() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	if tc, ok := c.nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	c.cancel()
	_ = c.nc.Close()
}
