// Package instance manages the HTTP/1.1 connections from a daemon to its local
// upstream instance.
//
// Each exchange uses a connection exclusively. The result says whether a byte of the
// request may have reached the instance, which decides whether the request counts as
// not run. A response is accepted only if it carries the id of the request; a
// response to an earlier, abandoned request is skipped. A response whose end is that of
// its connection is complete only if the instance has received the whole request and the
// connection was not reset. A connection is reused only after a complete response with no
// further bytes after it. The bytes read from an instance are bounded, because a faulty
// instance may write without end.
//
// # Usage
//
//	p := instance.New(addr, instance.WithConnections(100))
//	x, err := p.Do(ctx, req, instance.Exchange{IDHeader: "Request-Id", ID: id})
//	if err != nil {
//		return x.Sent // false: the request has not run
//	}
//	defer x.Response.Body.Close()
package instance

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kingcuppitch/kingcuppitch/internal/field"
	"github.com/kingcuppitch/kingcuppitch/internal/tcp"
)

const (
	// dialTimeout bounds a connection attempt. The instance runs on the same
	// machine, where a listening process accepts within a millisecond.
	dialTimeout = 500 * time.Millisecond
	// maxSkipped bounds the number of responses read in one exchange: interim
	// responses, and those to other requests, which are skipped.
	maxSkipped = 4
	// maxInlineBody is the largest body, in bytes, of a request that is written
	// before the response is read. The socket buffers of a connection can hold it.
	maxInlineBody = 32 << 10
	// idleFraction is the fraction of the keep-alive timeout announced by the
	// instance for which an idle connection is reused.
	idleFraction = 0.7
	// maxCarried bounds the requests of a connection whose ids are remembered.
	maxCarried = 32
	// bufferSize is the size of the read buffer of a connection.
	bufferSize = 4 << 10
)

// ErrMismatch means that a response on a connection belongs to another request or to none,
// as one with a malformed status or field.
var ErrMismatch = errors.New("response from the instance does not match the request")

// Exchange describes one request to an instance.
type Exchange struct {
	// IDHeader is the response header in which the instance returns the id of the
	// request, and ID is its value. If IDHeader is empty, every response is accepted.
	IDHeader, ID string
	// UsedSince is the earliest last use of a connection that may carry the request.
	// A connection that was idle for longer may be dead, so a request that must not
	// be repeated requires a recent use.
	UsedSince time.Time
}

// Result is the result of an exchange.
type Result struct {
	// Response is the response; its body must be closed.
	Response *http.Response
	// Sent is set if bytes of the request may have reached the instance.
	Sent bool
}

// Option configures a Pool.
type Option func(*Pool)

// WithConnections sets the maximum number of open connections.
func WithConnections(n int) Option {
	return func(p *Pool) { p.limit = max(1, n) }
}

// WithLimits sets the limits of responses; a limit of zero keeps its default.
func WithLimits(l Limits) Option {
	return func(p *Pool) {
		p.limits = Limits{
			Head:    cmp.Or(l.Head, DefaultLimits.Head),
			Skipped: cmp.Or(l.Skipped, DefaultLimits.Skipped),
			Body:    cmp.Or(l.Body, DefaultLimits.Body),
		}
	}
}

// WithOpened sets a function that is called for each new connection.
func WithOpened(f func()) Option { return func(p *Pool) { p.onOpen = f } }

// Pool holds the connections to one instance.
type Pool struct {
	addr   netip.AddrPort
	onOpen func()
	limits Limits
	// limit is the maximum number of open connections.
	limit int

	mu sync.Mutex
	// open is the number of open connections and of those being opened.
	open int
	idle []*conn
	// waiters holds the exchanges that wait for a connection, in order. Each receives
	// a connection, or nil if it is to open one.
	waiters []chan *conn
	closed  bool
}

// New returns a pool without connections.
func New(addr netip.AddrPort, opts ...Option) *Pool {
	p := &Pool{addr: addr, onOpen: func() {}, limits: DefaultLimits}
	WithConnections(1)(p)
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// conn is one connection. It is owned by one exchange or is in the idle list.
type conn struct {
	tcp.Conn
	// lr bounds the bytes that br reads, and head checks the heads among them.
	lr   *io.LimitedReader
	br   *bufio.Reader
	head field.Head
	used time.Time
	// idleUntil is the time from which the idle connection is not reused, because
	// the instance may close it; zero means that the instance announced no timeout.
	idleUntil time.Time
	// lastID is the id of the previous request; a further response to it is a
	// duplicate.
	lastID string
	// carried holds the hashes of the ids of the last requests.
	carried []uint64
}

// hasCarried reports whether one of the last requests had the id. A response to it that
// the instance repeats would match another request with that id.
func (c *conn) hasCarried(id string) bool {
	return id != "" && slices.Contains(c.carried, xxhash.Sum64String(id))
}

func (c *conn) noteCarried(id string) {
	if id == "" {
		return
	}
	if len(c.carried) == maxCarried {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, xxhash.Sum64String(id))
}

func newConn(nc net.Conn) *conn {
	tc := tcp.Conn{Conn: nc}
	lr := &io.LimitedReader{R: tc, N: math.MaxInt64}
	c := &conn{Conn: tc, lr: lr}
	c.br = bufio.NewReaderSize(io.TeeReader(lr, &c.head), bufferSize)
	return c
}

// Do sends a request and reads the header of its response. When ctx is done, the
// exchange ends, even while the body is being read.
func (p *Pool) Do(ctx context.Context, req *http.Request, x Exchange) (res Result, err error) {
	for {
		c, reused, err := p.get(ctx, x)
		if err != nil {
			return Result{}, err
		}
		res, err := p.exchange(ctx, c, req, x)
		if err != nil {
			p.drop(c)
			if reused && !res.Sent && ctx.Err() == nil {
				// The connection was closed before the first byte was sent.
				continue
			}
		}
		return res, err
	}
}

// Check takes the lock of the pool. It does not return while that is held.
func (p *Pool) Check() {
	p.mu.Lock()
	defer p.mu.Unlock()
}

// Close closes the idle connections; those in use are closed after their
// exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	list := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range list {
		p.drop(c)
	}
}

// get returns an idle connection that may carry the exchange, or a new one.
func (p *Pool) get(ctx context.Context, x Exchange) (c *conn, reused bool, err error) {
	for {
		p.mu.Lock()
		if c = p.takeIdle(x.ID); c != nil {
			p.mu.Unlock()
			if c.usable(time.Now(), x.UsedSince) {
				return c, true, nil
			}
			p.drop(c)
			continue
		}
		if p.open < p.limit {
			p.open++
			p.mu.Unlock()
			c, err = p.dial(ctx)
			return c, false, err
		}
		if len(p.idle) > 0 {
			// All idle connections have carried the id.
			c, p.idle = p.idle[0], p.idle[1:]
			p.mu.Unlock()
			p.drop(c)
			continue
		}
		w := make(chan *conn, 1)
		p.waiters = append(p.waiters, w)
		p.mu.Unlock()
		select {
		case c = <-w:
		case <-ctx.Done():
			p.abandon(w)
			return nil, false, ctx.Err()
		}
		switch {
		case c == nil:
			c, err = p.dial(ctx)
			return c, false, err
		case c.hasCarried(x.ID):
			p.drop(c)
		default:
			return c, true, nil
		}
	}
}

// takeIdle removes and returns the most recently used idle connection that has not carried
// the id, or nil if there is none. The caller holds mu.
func (p *Pool) takeIdle(id string) *conn {
	for i, c := range slices.Backward(p.idle) {
		if !c.hasCarried(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// dial opens a connection that is already counted as open.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", p.addr.String())
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.release()
		return nil, err
	}
	p.onOpen()
	return newConn(nc), nil
}

// abandon removes a waiter, or passes on what it has received in the meantime.
func (p *Pool) abandon(w chan *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		return
	}
	if c := <-w; c != nil {
		p.keep(c)
		return
	}
	p.release()
}

func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release()
}

// release lets the first waiter open a connection in place of a closed one. The
// caller holds mu.
func (p *Pool) release() {
	if w, ok := p.nextWaiter(); ok {
		w <- nil
		return
	}
	p.open--
}

func (p *Pool) put(c *conn) {
	c.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep(c)
}

// keep hands a connection to the first waiter or adds it to the idle ones. The caller
// holds mu.
func (p *Pool) keep(c *conn) {
	if p.closed {
		_ = c.Close()
		p.release()
		return
	}
	if w, ok := p.nextWaiter(); ok {
		w <- c
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) nextWaiter() (w chan *conn, ok bool) {
	if len(p.waiters) == 0 {
		return nil, false
	}
	w = p.waiters[0]
	p.waiters = slices.Delete(p.waiters, 0, 1)
	return w, true
}

// usable reports whether an idle connection may still be used: it has not expired,
// is open and has no unread data.
func (c *conn) usable(now, usedSince time.Time) bool {
	if c.used.Before(usedSince) || !c.idleUntil.IsZero() && now.After(c.idleUntil) {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return errors.Is(err, errors.ErrUnsupported)
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// exchange sends the request on a connection and reads the header of its response.
func (p *Pool) exchange(ctx context.Context, c *conn, req *http.Request, x Exchange) (res Result, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	written := make(chan error, 1)
	w := &countingWriter{Writer: c}
	c.noteCarried(x.ID)
	if req.ContentLength >= 0 && req.ContentLength <= maxInlineBody {
		var buf bytes.Buffer
		if err = req.Write(&buf); err != nil {
			stop()
			return res, err
		}
		_, err = w.Write(buf.Bytes())
		written <- err
	} else {
		go func() { written <- req.Write(w) }()
	}
	if err != nil {
		stop()
		return Result{Sent: w.n.Load() > 0}, err
	}
	hres, err := c.readResponse(req, x, p.limits) //nolint:bodyclose // the caller closes it
	res.Sent = true
	if err != nil {
		stop()
		return res, err
	}
	hres.Body = &responseBody{
		ReadCloser: hres.Body, pool: p, conn: c, remaining: p.limits.Body, ctx: ctx, stop: stop, written: written,
		reusable: !hres.Close, endsWithConn: hres.ContentLength < 0 && len(hres.TransferEncoding) == 0 && hres.Body != http.NoBody,
	}
	if hres.ContentLength == 0 && !hres.Close {
		// There is no body. Reading the EOF here lets Close reuse the connection.
		_, _ = hres.Body.Read(nil)
	}
	c.idleUntil = keepAliveExpiry(hres.Header.Get("Keep-Alive"))
	res.Response = hres
	return res, nil
}

// readResponse reads the header of the response that carries the id of the request.
func (c *conn) readResponse(req *http.Request, x Exchange, limits Limits) (*http.Response, error) {
	defer func() { c.lr.N = math.MaxInt64 }()
	for range maxSkipped {
		// The start of the body may arrive in the same buffer as the header.
		c.lr.N = int64(limits.Head) + bufferSize
		c.head.Begin(c.br)
		if text, malformed := c.hasMalformedStatus(); malformed {
			return nil, fmt.Errorf("status %q: %w", text, ErrMismatch)
		}
		res, err := http.ReadResponse(c.br, req)
		line, malformed := c.head.Malformed()
		switch {
		case err != nil && c.lr.N <= 0:
			return nil, fmt.Errorf("response header exceeds %d bytes: %w", limits.Head, ErrTooLong)
		case malformed:
			return nil, fmt.Errorf("malformed field line %q: %w", line, ErrMismatch)
		case err != nil:
			return nil, err
		case res.StatusCode == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("status %d: %w", res.StatusCode, ErrMismatch)
		case res.StatusCode < http.StatusOK:
			continue
		case x.IDHeader == "" || res.Header.Get(x.IDHeader) == x.ID:
			c.lastID = x.ID
			return res, nil
		case res.Close || c.lastID == "" || res.Header.Get(x.IDHeader) != c.lastID:
			return nil, fmt.Errorf("%s %q: %w", x.IDHeader, res.Header.Get(x.IDHeader), ErrMismatch)
		}
		c.lr.N = int64(limits.Skipped)
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			if c.lr.N <= 0 {
				err = fmt.Errorf("skipped response exceeds %d bytes: %w", limits.Skipped, ErrTooLong)
			}
			return nil, err
		}
	}
	return nil, ErrMismatch
}

// keepAliveExpiry returns the time until which an idle connection may be reused
// according to a Keep-Alive header. It is zero without a timeout.
func keepAliveExpiry(header string) time.Time {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.ParseFloat(value, 64); strings.EqualFold(name, "timeout") && err == nil && s >= 0 {
			return time.Now().Add(time.Duration(s * idleFraction * float64(time.Second)))
		}
	}
	return time.Time{}
}

// responseBody is the body of a response. Close returns the connection to the pool
// after a complete response and drops it otherwise.
type responseBody struct {
	io.ReadCloser
	pool *Pool
	conn *conn
	// remaining is the number of bytes that may still be read from the body.
	remaining int64
	ctx       context.Context
	stop      func() bool
	// written receives the result of writing the request. wrote is set once that is known
	// to be success.
	written  chan error
	wrote    bool
	reusable bool
	// endsWithConn means that the end of the connection is that of the body.
	endsWithConn bool
	atEOF        bool
	once         sync.Once
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, ErrTooLong
	}
	if !errors.Is(err, io.EOF) || b.atEOF {
		return n, err
	}
	if b.endsWithConn {
		if err := b.awaitRequest(); err != nil {
			return n, fmt.Errorf("the connection of the response ended before the request was received: %w", err)
		}
	}
	b.atEOF = true
	return n, err
}

// awaitRequest waits until the instance has received the whole request. It returns an error
// if the connection breaks before.
func (b *responseBody) awaitRequest() error {
	if !b.wrote {
		if err := <-b.written; err != nil {
			b.written <- err // for the next read
			return err
		}
		b.wrote = true
	}
	return b.conn.AwaitDelivery(b.ctx)
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.once.Do(b.release)
	return nil
}

func (b *responseBody) release() {
	// If stop returns false, the end of the context has set the deadline of the
	// connection.
	intact := b.stop()
	select {
	case err := <-b.written:
		b.wrote = err == nil
	default:
		// The instance responded before it had received the whole request.
	}
	if !b.atEOF || !b.reusable || !intact || !b.wrote || b.conn.br.Buffered() > 0 {
		b.pool.drop(b.conn)
		return
	}
	_ = b.conn.SetDeadline(time.Time{})
	b.pool.put(b.conn)
}

// countingWriter counts the bytes written.
type countingWriter struct {
	io.Writer
	n atomic.Int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.n.Add(int64(n))
	return n, err
}
