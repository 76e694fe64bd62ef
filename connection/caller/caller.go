// Package caller serves the HTTP/1.1 connections of callers.
//
// It reads ahead on each connection. Requests that a caller sends before the
// first is answered are therefore handled side by side, and answered in order.
// It also notices at any time that a caller has left, and ends the context of
// its requests.
//
// A request that may run only once must not run ahead of an answer that could
// still end the connection: the caller would take it for unread and send it
// again. Its handler calls AwaitTurn first.
//
// # Usage
//
//	s := &caller.Server{Handler: entry, Limits: func() caller.Limits { return limits }}
//	go s.Serve(listener)
//	...
//	s.Leave()              // answers ask callers to go elsewhere
//	err := s.Shutdown(ctx) // answers what has been read
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
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// maxAhead bounds the requests of one connection that are handled at once.
	maxAhead = 16
	// bufferSize is the size of the read buffer of a connection.
	bufferSize = 4 << 10
	// lingerPeriod is how long bytes of the caller are still read after the last
	// answer; a connection that is closed with unread bytes is reset, which can
	// take the answer with it.
	lingerPeriod = 500 * time.Millisecond
	// firstPeriod is how long a new connection may take for its first request
	// while the server shuts down.
	firstPeriod = 300 * time.Millisecond
	// headerSlack is read beyond the limit of a header, in bytes, so that the
	// body in the same buffer does not count.
	headerSlack = bufferSize
	// idleSlack is added to the idle time, so that a connection is not closed
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

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
	leaving  bool
	closing  bool
	wg       sync.WaitGroup
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	if s.conns == nil {
		s.conns = make(map[*conn]bool)
	}
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return http.ErrServerClosed
		}
		if err != nil {
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			return err
		}
		s.start(nc)
	}
}

func (s *Server) start(nc net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: s, nc: nc, ctx: ctx, cancel: cancel, lr: io.LimitedReader{R: nc, N: math.MaxInt64}, bw: bufio.NewWriterSize(nc, bufferSize)}
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

// DisableKeepAlives has each answer to the newest request of a connection end it.
func (s *Server) DisableKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// Shutdown closes the listener and all connections without a request, and waits
// until the requests that were read are answered.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.leaving, s.closing = true, true
	l := s.listener
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	s.mu.Unlock()
	var err error
	if l != nil {
		err = l.Close()
	}
	for _, c := range list {
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

// turnKey is the key of a request's response in its context.
type turnKey struct{}

// AwaitTurn waits until all requests before this one on its connection are
// answered. The error says that the caller takes the request for unread. It
// returns at once for other contexts.
func AwaitTurn(ctx context.Context) error {
	w, ok := ctx.Value(turnKey{}).(*response)
	if !ok {
		return nil
	}
	return w.awaitTurn()
}

// conn is one connection. One goroutine reads it, and each request has one.
type conn struct {
	server *Server
	nc     net.Conn
	ctx    context.Context
	cancel context.CancelFunc
	lr     io.LimitedReader
	br     *bufio.Reader
	bw     *bufio.Writer

	mu sync.Mutex
	// idle is signalled when a request ends.
	idle *sync.Cond
	// pending counts the requests that are not answered, served all requests.
	pending, served int
	// reading is set while a request is being read, closed once no further one
	// is.
	reading, closed bool
	// lastAnswer is the number of the request whose answer ends the connection.
	lastAnswer int
	// tail is closed when the newest request is answered.
	tail <-chan struct{}
}

// serve reads requests until the connection ends, and waits for their answers.
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

// linger ends the connection without a reset.
func (c *conn) linger() {
	if tc, ok := c.nc.(interface{ CloseWrite() error }); ok && tc.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerPeriod))
		_, _ = io.Copy(io.Discard, c.nc)
	}
	_ = c.nc.Close()
}

// readRequest reads one request and starts its handler. It reports whether
// another may follow.
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
	return !w.last()
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
		for c.pending >= maxAhead && c.ctx.Err() == nil {
			c.idle.Wait()
		}
		closed, busy, fresh := c.closed, c.pending > 0, c.served == 0
		c.mu.Unlock()
		if closed || c.server.isClosing() && !fresh && !busy {
			return false
		}
		wait := c.server.Limits().IdleWithin + idleSlack
		if c.server.isClosing() && fresh {
			wait = firstPeriod
		}
		c.lr.N = math.MaxInt64
		_ = c.nc.SetReadDeadline(time.Now().Add(wait))
		_, err := c.br.Peek(1)
		if err == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			// A request that comes while the server shuts down, behind others or
			// after their answers, is left unread; the caller sends it elsewhere.
			if c.server.isClosing() && c.served > 0 {
				c.closed = true
			}
			c.reading = !c.closed
			return c.reading
		}
		var ne net.Error
		if !errors.As(err, &ne) || !ne.Timeout() {
			// The caller has left.
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

// closeIdle wakes the reader of a connection without a request, which then ends.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 {
		return
	}
	wait := time.Duration(0)
	if c.served == 0 {
		wait = firstPeriod
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(wait))
}

// refuse answers a request that cannot be read, after those before it.
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
	c.reading = false
	c.pending++
	c.served++
	turn := c.tail
	c.tail = done
	w := &response{conn: c, req: req, turn: turn, done: done, number: c.served, header: make(http.Header), bodyDone: make(chan struct{})}
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

// end marks a request as answered.
func (c *conn) end(done chan struct{}) {
	c.mu.Lock()
	c.pending--
	idle := c.pending == 0
	c.mu.Unlock()
	close(done)
	c.idle.Broadcast()
	if idle && c.server.isClosing() {
		c.closeIdle()
	}
}

// open reports whether no answer has ended the connection.
func (c *conn) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastAnswer == 0
}

// abort ends the connection at once, so that no answer looks whole.
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
