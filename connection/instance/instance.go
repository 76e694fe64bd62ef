// Package instance holds the connections from a daemon to the one upstream
// instance beside it.
//
// Each exchange has its connection for itself. The caller learns whether a byte
// of the request may have reached the instance, which decides whether a request
// counts as not run. An answer is taken only if it names the request; one to an
// earlier request that was given up is skipped. A connection is used again only
// after a whole answer, and not after one with bytes behind it. What is read of an
// instance is bounded, since one in trouble may write without end.
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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds a connection attempt; the instance runs on the same
	// machine, where a process that accepts answers in less than a millisecond.
	dialTimeout = 500 * time.Millisecond
	// maxSkipped bounds the answers to other requests that one exchange skips.
	maxSkipped = 4
	// inlineBody is the size up to which a request is written before the answer
	// is read; the buffers of a connection hold it.
	inlineBody = 32 << 10
	// idleShare is the part of the time announced by the instance for which an
	// idle connection is used.
	idleShare = 0.7
	// bufferSize is the size of the read buffer of a connection.
	bufferSize = 4 << 10
)

// ErrMismatch means that the answers on a connection belong to other requests.
var ErrMismatch = errors.New("the instance answered other requests")

// Exchange describes one request to an instance.
type Exchange struct {
	// IDHeader names the header by which the instance says which request it
	// answers, and ID is its value; without a header every answer is taken.
	IDHeader, ID string
	// UsedSince is the time since which a connection must have been used to carry
	// the request. One that was idle for longer may be dead, and a request that
	// must not be repeated asks for a recent use.
	UsedSince time.Time
}

// Result is what became of an exchange.
type Result struct {
	// Response is the answer; its body must be closed.
	Response *http.Response
	// Sent says that bytes of the request may have reached the instance.
	Sent bool
}

// Option configures a Pool.
type Option func(*Pool)

// WithConnections bounds the open connections.
func WithConnections(n int) Option {
	return func(p *Pool) { p.free = make(chan struct{}, max(1, n)) }
}

// WithLimits bounds the answers; limits of zero keep their defaults.
func WithLimits(l Limits) Option {
	return func(p *Pool) {
		p.limits = Limits{
			Head:    cmp.Or(l.Head, DefaultLimits.Head),
			Skipped: cmp.Or(l.Skipped, DefaultLimits.Skipped),
			Body:    cmp.Or(l.Body, DefaultLimits.Body),
		}
	}
}

// WithOpened sets a function that is told of each new connection.
func WithOpened(f func()) Option { return func(p *Pool) { p.opened = f } }

// Pool holds the connections to one instance.
type Pool struct {
	addr   netip.AddrPort
	free   chan struct{}
	opened func()
	limits Limits
	// returned hands a connection to an exchange that waits for one.
	returned chan *conn

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// New returns a pool without connections.
func New(addr netip.AddrPort, opts ...Option) *Pool {
	p := &Pool{addr: addr, opened: func() {}, limits: DefaultLimits, returned: make(chan *conn)}
	WithConnections(1)(p)
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// conn is one connection; it belongs to one exchange or to the idle list.
type conn struct {
	net.Conn
	// lr bounds what br reads.
	lr   *io.LimitedReader
	br   *bufio.Reader
	used time.Time
	// idleUntil is when the instance may close the idle connection; zero means
	// that it has not said.
	idleUntil time.Time
	// last is the id of the request before; an answer to it is a repeated one.
	last string
}

func newConn(nc net.Conn) *conn {
	lr := &io.LimitedReader{R: nc, N: math.MaxInt64}
	return &conn{Conn: nc, lr: lr, br: bufio.NewReaderSize(lr, bufferSize)}
}

// Do sends a request and reads the head of its answer. The end of ctx ends the
// exchange, also while the body is read.
func (p *Pool) Do(ctx context.Context, req *http.Request, x Exchange) (res Result, err error) {
	for {
		c, reused, err := p.get(ctx, x.UsedSince)
		if err != nil {
			return Result{}, err
		}
		res, err := p.exchange(ctx, c, req, x)
		if err != nil {
			p.drop(c)
			if reused && !res.Sent && ctx.Err() == nil {
				// The connection was dead before the first byte.
				continue
			}
		}
		return res, err
	}
}

// Close drops the idle connections; those in use are dropped after their
// exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle drops the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	list := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range list {
		p.drop(c)
	}
}

// get returns an idle connection, or a new one.
func (p *Pool) get(ctx context.Context, usedSince time.Time) (c *conn, reused bool, err error) {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			break
		}
		c, p.idle = p.idle[n-1], p.idle[:n-1]
		p.mu.Unlock()
		// The connection used last comes first, so all others are older.
		if c.usable(time.Now(), usedSince) {
			return c, true, nil
		}
		p.drop(c)
	}
	select {
	case p.free <- struct{}{}:
	case c := <-p.returned:
		return c, true, nil
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", p.addr.String())
	if err != nil {
		<-p.free
		return nil, false, err
	}
	p.opened()
	return newConn(nc), false, nil
}

func (p *Pool) drop(c *conn) {
	_ = c.Close()
	<-p.free
}

func (p *Pool) put(c *conn) {
	c.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.drop(c)
		return
	}
	select {
	case p.returned <- c:
	default:
		p.idle = append(p.idle, c)
	}
}

// usable reports whether an idle connection is open and has nothing to read.
func (c *conn) usable(now, usedSince time.Time) bool {
	if c.used.Before(usedSince) || !c.idleUntil.IsZero() && now.After(c.idleUntil) {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange sends the request on a connection and reads the head of its answer.
func (p *Pool) exchange(ctx context.Context, c *conn, req *http.Request, x Exchange) (res Result, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	written := make(chan error, 1)
	w := &countedWriter{Writer: c}
	if req.ContentLength >= 0 && req.ContentLength <= inlineBody {
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
	hres, err := c.answer(req, x, p.limits) //nolint:bodyclose // the caller closes it
	res.Sent = true
	if err != nil {
		stop()
		return res, err
	}
	hres.Body = &body{ReadCloser: hres.Body, pool: p, conn: c, left: p.limits.Body, stop: stop, written: written, reusable: !hres.Close}
	if hres.ContentLength == 0 && !hres.Close {
		// Nothing is left to read, so the connection is free before the close.
		_, _ = hres.Body.Read(nil)
	}
	c.idleUntil = keepAlive(hres.Header.Get("Keep-Alive"))
	res.Response = hres
	return res, nil
}

// answer reads the head of the answer that names the request.
func (c *conn) answer(req *http.Request, x Exchange, limits Limits) (*http.Response, error) {
	defer func() { c.lr.N = math.MaxInt64 }()
	for range maxSkipped {
		// The start of the body may come with the head.
		c.lr.N = int64(limits.Head) + bufferSize
		res, err := http.ReadResponse(c.br, req)
		switch {
		case err != nil && c.lr.N <= 0:
			return nil, fmt.Errorf("a head of more than %d bytes: %w", limits.Head, ErrTooLong)
		case err != nil:
			return nil, err
		case res.StatusCode < http.StatusContinue || res.StatusCode == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("status %d: %w", res.StatusCode, ErrMismatch)
		case res.StatusCode < http.StatusOK:
			continue
		case x.IDHeader == "" || res.Header.Get(x.IDHeader) == x.ID:
			c.last = x.ID
			return res, nil
		case res.Close || c.last == "" || res.Header.Get(x.IDHeader) != c.last:
			return nil, fmt.Errorf("%s %q: %w", x.IDHeader, res.Header.Get(x.IDHeader), ErrMismatch)
		}
		c.lr.N = int64(limits.Skipped)
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			if c.lr.N <= 0 {
				err = fmt.Errorf("a skipped answer of more than %d bytes: %w", limits.Skipped, ErrTooLong)
			}
			return nil, err
		}
	}
	return nil, ErrMismatch
}

// keepAlive returns when an idle connection may be closed by the instance.
func keepAlive(header string) time.Time {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.ParseFloat(value, 64); strings.EqualFold(name, "timeout") && err == nil && s >= 0 {
			return time.Now().Add(time.Duration(s * idleShare * float64(time.Second)))
		}
	}
	return time.Time{}
}

// body is the body of an answer. It returns the connection to the pool after the
// whole answer and drops it otherwise.
type body struct {
	io.ReadCloser
	pool *Pool
	conn *conn
	// left is the number of bytes that the body may still have.
	left     int64
	stop     func() bool
	written  chan error
	reusable bool
	ended    bool
	once     sync.Once
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, ErrTooLong
	}
	if errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.once.Do(b.release)
	return nil
}

func (b *body) release() {
	// False means that the end of the context has touched the connection.
	intact := b.stop()
	wrote := false
	select {
	case err := <-b.written:
		wrote = err == nil
	default:
		// The instance answered before it had the whole request.
	}
	if !b.ended || !b.reusable || !intact || !wrote || b.conn.br.Buffered() > 0 {
		b.pool.drop(b.conn)
		return
	}
	_ = b.conn.SetDeadline(time.Time{})
	b.pool.put(b.conn)
}

// countedWriter counts the bytes that were written.
type countedWriter struct {
	io.Writer
	n atomic.Int64
}

// Write implements io.Writer.
func (w *countedWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.n.Add(int64(n))
	return n, err
}
