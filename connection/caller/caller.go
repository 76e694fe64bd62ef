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
// Above MaxConns, the server closes connections to make room: first those without a
// request in hand, the longest idle first, then those whose request body has not
// arrived, then those whose caller does not read its response. If no connection can be
// closed, it refuses the requests of new ones.
//
// The server answers OPTIONS * itself, so that a process can check that it serves.
//
// # Usage
//
//	s := &caller.Server{
//		Handler:  entry,
//		Limits:   func() caller.Limits { return limits },
//		MaxConns: func() int { return 1000 },
//		Refuse:   http.HandlerFunc(refuse), // responds beyond MaxConns
//	}
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
	"syscall"
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
	// evictedLinger is the period in place of lingerPeriod for a connection for which
	// there is no room.
	evictedLinger = 100 * time.Millisecond
	// crossingPeriod is how long a connection that was closed to make room still accepts
	// a request that was on its way.
	crossingPeriod = 20 * time.Millisecond
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
	// MaxConns returns the number of connections above which some are closed, or zero
	// for no bound; it may be nil.
	MaxConns func() int
	// Refuse responds to the requests of connections for which there is no room. If it
	// is nil, they get status 503.
	Refuse http.Handler
	// Count adds to a counter; it may be nil.
	Count func(name string, n int64)

	// noKeepAlives and closing are read by requests, which take no lock of the server.
	noKeepAlives, closing atomic.Bool
	// full is set while new connections are left in the queue of the kernel.
	full atomic.Bool

	// roomMu is held by closeSome, which takes mu and conn.mu one after the other. No
	// goroutine that serves a connection takes it.
	roomMu sync.Mutex
	// roomAfter is when closeSome may search again, and roomFound what it found last.
	roomAfter time.Time
	roomFound bool

	// mu guards the set of connections. No other lock is taken while it is held, and it
	// is not taken while a conn.mu is held.
	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
	wg       sync.WaitGroup
}

func (s *Server) start(nc net.Conn, refused bool) {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	c := &conn{server: s, nc: nc, ctx: ctx, cancel: cancel, lr: io.LimitedReader{R: nc, N: math.MaxInt64}, idleSince: now, refused: refused}
	if refused {
		c.endBy = now.Add(firstRequestTimeout)
	}
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

// Evicted reports whether the connection of ctx was closed to make room for others, so
// that the body of its request does not arrive any more.
func Evicted(ctx context.Context) bool {
	w, ok := ctx.Value(turnKey{}).(*response)
	if !ok {
		return false
	}
	w.conn.mu.Lock()
	defer w.conn.mu.Unlock()
	return w.conn.evicted
}

// conn is one connection. One goroutine reads it, and each request has its own.
type conn struct {
	server *Server
	nc     net.Conn
	ctx    context.Context
	cancel context.CancelFunc
	lr     io.LimitedReader
	br     *bufio.Reader
	// refused is set if there is no room for the requests of the connection.
	refused bool

	// mu guards the state of the connection and its deadlines. No other lock is taken
	// while it is held.
	mu sync.Mutex
	// idle is signalled when a request ends.
	idle *sync.Cond
	// pending counts the requests without a response, received all requests.
	pending, received int
	// reading is set while a request is being read. closed is set once no further
	// request is accepted.
	reading, closed bool
	// evicted is set once the connection was closed to make room; the response to a
	// request that arrives all the same ends it.
	evicted bool
	// endBy is when the connection ends unless a request arrives, whatever the limits
	// allow; zero means that the limits decide.
	endBy time.Time
	// idleSince is since when the connection has been without a request, headSince when
	// the header of the newest request began to arrive, and writingSince since when a write
	// to the caller blocks; writingSince is zero if none does.
	idleSince, headSince, writingSince time.Time
	// newest is the response to the last request, or nil if there is none in hand.
	newest *response
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
	period := lingerPeriod
	if c.evicted || c.refused {
		period = evictedLinger
	}
	c.mu.Unlock()
	c.cancel()
	c.linger(period)
}

// linger closes the connection without a reset.
func (c *conn) linger(period time.Duration) {
	if tc, ok := c.nc.(interface{ CloseWrite() error }); ok && tc.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(time.Now().Add(period))
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
	c.readBy(time.Now().Add(limits.HeaderWithin))
	req, err := http.ReadRequest(c.br)
	if err != nil {
		c.refuse(err)
		return false
	}
	c.headerRead()
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
	if w.isFinal() {
		c.awaitDeparture()
		return false
	}
	return true
}

// maxIgnoredBytes bounds what is read after a request that ends its connection.
const maxIgnoredBytes = 64 << 10

// awaitDeparture ends the request that is the last one of the connection if the caller
// closes the connection before the response. What the caller sends meanwhile belongs to
// no request.
func (c *conn) awaitDeparture() {
	c.mu.Lock()
	ending := c.closed || !c.endBy.IsZero()
	c.readByLocked(time.Time{})
	c.mu.Unlock()
	if ending {
		return
	}
	_, err := io.CopyN(io.Discard, c.br, maxIgnoredBytes)
	var ne net.Error
	if err != nil && (!errors.As(err, &ne) || !ne.Timeout()) {
		c.cancel()
	}
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
	for lastLook := false; ; {
		c.lr.N = math.MaxInt64
		if !c.awaitIdle(c.server.Limits().IdleWithin + idleSlack) {
			return false
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return c.beginHeader()
		}
		var ne net.Error
		if !errors.As(err, &ne) || !ne.Timeout() {
			// The caller closed the connection.
			c.cancel()
			return false
		}
		if !c.continues(lastLook) {
			return false
		}
		lastLook = true
	}
}

// continues reports whether the connection goes on although no request was read by the
// deadline: a response is missing, or the connection was closed to make room and a request
// may have crossed that, unless this was the last look for it.
func (c *conn) continues(lastLook bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted && c.pending == 0 {
		arrived := c.hasUnread()
		period := crossingPeriod
		if arrived {
			period = firstRequestTimeout
		}
		c.endBy = time.Now().Add(period)
		return arrived || !lastLook
	}
	return c.pending > 0
}

// hasUnread reports whether data from the caller has arrived, also after the read
// deadline.
func (c *conn) hasUnread() (unread bool) {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) //nolint:gosec // a descriptor
		unread = err == nil && n > 0
	})
	return unread && err == nil
}

// awaitIdle waits until a further request may be read, and sets the read deadline for its
// first byte. It reports whether the connection accepts one.
func (c *conn) awaitIdle(within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pending >= maxPipelined && c.ctx.Err() == nil {
		c.idle.Wait()
	}
	closing, fresh := c.server.closing.Load(), c.received == 0
	if c.closed || closing && !fresh && c.pending == 0 {
		return false
	}
	if !c.endBy.IsZero() && c.pending > 0 {
		// The connection ends with the request in hand.
		return false
	}
	if closing && fresh {
		within = firstRequestTimeout
	}
	c.readByLocked(time.Now().Add(within))
	return true
}

// beginHeader notes that a request is being read. It reports whether the connection
// accepts one.
func (c *conn) beginHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A further request on a connection is not read while the server shuts down; the
	// caller sends it to another daemon.
	if c.server.closing.Load() && c.received > 0 {
		c.closed = true
	}
	c.reading, c.headSince = !c.closed, time.Now()
	return c.reading
}

// headerRead removes the read deadline. On a connection that was closed to make room, the
// body has firstRequestTimeout to arrive.
func (c *conn) headerRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.refused:
	case c.evicted:
		c.endBy = time.Now().Add(firstRequestTimeout)
	default:
		c.endBy = time.Time{}
	}
	c.readByLocked(time.Time{})
}

// readBy sets the read deadline, or an earlier one if the connection is about to end. Zero
// means no deadline.
func (c *conn) readBy(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readByLocked(t)
}

func (c *conn) readByLocked(t time.Time) {
	if !c.endBy.IsZero() && (t.IsZero() || c.endBy.Before(t)) {
		t = c.endBy
	}
	_ = c.nc.SetReadDeadline(t)
}

// closeIdle ends a connection without a pending request by a read deadline. A new
// connection has firstRequestTimeout left for its first request.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 {
		c.endBy = time.Now()
		if c.received == 0 {
			c.endBy = c.endBy.Add(firstRequestTimeout)
		}
		c.readByLocked(time.Time{})
	}
}

// endReading lets the reader stop, since no further request is accepted.
func (c *conn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endBy = time.Unix(1, 0)
	c.readByLocked(time.Time{})
}

// Write writes to the caller and notes for how long that takes.
func (c *conn) Write(p []byte) (int, error) {
	c.setWriting(time.Now())
	defer c.setWriting(time.Time{})
	return c.nc.Write(p)
}

func (c *conn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = since
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
	h := c.server.Handler
	switch {
	case req.Method == http.MethodOptions && req.RequestURI == "*":
		h = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	case c.refused:
		req.Close = true
		if h = c.server.Refuse; h == nil {
			h = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		}
	}
	return c.startHandler(req, h)
}

func (c *conn) startHandler(req *http.Request, h http.Handler) *response {
	done := make(chan struct{})
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.reading = false
	c.pending++
	c.received++
	turn := c.tail
	c.tail = done
	w := &response{conn: c, req: req, turn: turn, done: done, number: c.received, header: make(http.Header), bodyDone: make(chan struct{})}
	w.body = &requestBody{ReadCloser: req.Body, w: w}
	if req.Body == nil || req.Body == http.NoBody {
		close(w.bodyDone)
		w.body.atEnd.Store(true)
	} else {
		req.Body = w.body
	}
	c.newest = w
	c.mu.Unlock()
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
	if idle {
		c.newest = nil
	}
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
