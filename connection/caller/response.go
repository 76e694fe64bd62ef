package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxBuffered is the size up to which an answer is held until its handler
// returns, so that it is sent with a length.
const maxBuffered = 64 << 10

// response is one request on a connection and its answer. It implements
// http.ResponseWriter and what http.ResponseController asks for.
type response struct {
	conn   *conn
	req    *http.Request
	number int
	// turn is closed when all answers before are written, done after this one.
	turn <-chan struct{}
	done chan struct{}
	// bodyDone is closed when the request body has been read.
	bodyDone chan struct{}
	body     *requestBody

	header http.Header
	status int
	buf    []byte
	// sent says that the head has been written, chunked how the body follows.
	sent, chunked bool
	// ends says that the connection ends with this answer.
	ends atomic.Bool
	err  error
}

// errGone means that the caller has left.
var errGone = errors.New("the caller has left")

// run calls the handler and sends its answer.
func (w *response) run(h http.Handler, req *http.Request) {
	defer w.conn.end(w.done)
	defer func() {
		if err := recover(); err != nil {
			if err != http.ErrAbortHandler && w.conn.server.Logger != nil { //nolint:errorlint // as net/http compares it
				w.conn.server.Logger.Error("handler failed", "error", fmt.Sprint(err))
			}
			w.conn.abort()
		}
	}()
	h.ServeHTTP(w, req)
	if err := w.finish(); err != nil && w.conn.open() {
		w.conn.abort()
	}
}

// last reports whether the connection ends with this answer.
func (w *response) last() bool { return w.req.Close || w.ends.Load() }

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if !w.hasBody() {
		return 0, http.ErrBodyNotAllowed
	}
	if !w.sent {
		w.buf = append(w.buf, p...)
		if len(w.buf) <= maxBuffered {
			return len(p), nil
		}
		if err := w.flush(); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	if err := w.writeBody(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Flush implements http.Flusher.
func (w *response) Flush() { _ = w.FlushError() }

// FlushError sends what was written so far.
func (w *response) FlushError() error { return w.flush() }

// flush sends the head and the body so far.
func (w *response) flush() error {
	w.WriteHeader(http.StatusOK)
	if !w.sent {
		if err := w.sendHead(false); err != nil {
			return err
		}
	}
	return w.conn.bw.Flush()
}

// SetReadDeadline bounds the time to read the body of the request.
func (w *response) SetReadDeadline(t time.Time) error {
	select {
	case <-w.bodyDone:
		// The connection may be read for the next request already.
		return nil
	default:
		return w.conn.nc.SetReadDeadline(t)
	}
}

// hasBody reports whether the answer may have a body.
func (w *response) hasBody() bool {
	return w.req.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// awaitTurn waits until all answers before are written. It fails if one of them
// has ended the connection.
func (w *response) awaitTurn() error {
	c := w.conn
	select {
	case <-w.turn:
	case <-c.ctx.Done():
		return errGone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// A request before this one may have been given up without an answer.
	if c.ctx.Err() != nil || c.lastAnswer != 0 && c.lastAnswer < w.number {
		return errGone
	}
	return nil
}

// sendHead waits for the turn and writes the head and what is buffered.
func (w *response) sendHead(whole bool) error {
	if w.err = w.awaitTurn(); w.err != nil {
		return w.err
	}
	w.sent = true
	h := w.header.Clone()
	for name := range h {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			delete(h, name)
		}
	}
	switch {
	case !w.hasBody():
		if w.status == http.StatusNoContent {
			h.Del("Content-Length")
		}
	case whole:
		h.Set("Content-Length", strconv.Itoa(len(w.buf)))
	case h.Get("Content-Length") != "":
	case w.req.ProtoAtLeast(1, 1):
		w.chunked = true
		h.Set("Transfer-Encoding", "chunked")
	default:
		w.ends.Store(true)
	}
	if w.endsConnection(h) {
		w.ends.Store(true)
		h.Set("Connection", "close")
	} else if !w.req.ProtoAtLeast(1, 1) {
		h.Set("Connection", "keep-alive")
	}
	if h.Get("Date") == "" {
		h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	bw := w.conn.bw
	_, _ = fmt.Fprintf(bw, "HTTP/1.1 %03d %s\r\n", w.status, http.StatusText(w.status))
	_ = h.Write(bw)
	_, _ = bw.WriteString("\r\n")
	buf := w.buf
	w.buf = nil
	return w.writeBody(buf)
}

// endsConnection reports whether the connection ends with this answer, and lets
// no further request in if so. While the server leaves, only the answer to the
// newest request may end it.
func (w *response) endsConnection(h http.Header) bool {
	c := w.conn
	leaving := c.server.isLeaving()
	c.mu.Lock()
	defer c.mu.Unlock()
	ends := w.req.Close || w.ends.Load() || strings.EqualFold(h.Get("Connection"), "close") || !w.body.ended() ||
		leaving && c.served == w.number && (!c.reading || c.closed)
	if ends {
		c.closed, c.lastAnswer = true, w.number
	}
	return ends
}

func (w *response) writeBody(p []byte) error {
	bw := w.conn.bw
	if len(p) == 0 || !w.hasBody() {
		return w.err
	}
	if w.chunked {
		_, _ = fmt.Fprintf(bw, "%x\r\n", len(p))
	}
	_, err := bw.Write(p)
	if w.chunked {
		_, _ = bw.WriteString("\r\n")
	}
	return err
}

// finish sends what is left of the answer.
func (w *response) finish() error {
	if w.err != nil {
		return w.err
	}
	w.WriteHeader(http.StatusOK)
	if !w.sent {
		if err := w.sendHead(true); err != nil {
			return err
		}
	}
	if w.chunked {
		_, _ = w.conn.bw.WriteString("0\r\n")
		trailer := make(http.Header)
		for name, values := range w.header {
			if name, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
				trailer[name] = values
			}
		}
		_ = trailer.Write(w.conn.bw)
		_, _ = w.conn.bw.WriteString("\r\n")
	}
	if err := w.conn.bw.Flush(); err != nil {
		return err
	}
	if w.ends.Load() {
		// The reader may wait for a request that is not taken any more.
		_ = w.conn.nc.SetReadDeadline(time.Unix(1, 0))
	}
	return nil
}

// requestBody is the body of a request. At its first read it asks for a body that
// the caller holds back.
type requestBody struct {
	io.ReadCloser
	w     *response
	asked sync.Once
	atEnd atomic.Bool
	once  sync.Once
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.asked.Do(b.askForBody)
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.atEnd.Store(true)
		b.once.Do(func() { close(b.w.bodyDone) })
	}
	return n, err
}

func (b *requestBody) askForBody() {
	if !strings.EqualFold(b.w.req.Header.Get("Expect"), "100-continue") {
		return
	}
	select {
	case <-b.w.turn:
		_, _ = io.WriteString(b.w.conn.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	case <-b.w.conn.ctx.Done():
	}
}

func (b *requestBody) ended() bool { return b.atEnd.Load() }
