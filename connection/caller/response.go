package caller

import (
	"bufio"
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

// maxBuffered is the maximum size of a response body that is buffered until its
// handler returns, so that it is sent with a Content-Length.
const maxBuffered = 64 << 10

// response is the response to one request on a connection. It implements
// http.ResponseWriter and the methods used by http.ResponseController.
type response struct {
	conn   *conn
	req    *http.Request
	number int
	// turn is closed when all earlier requests are finished, done when this one is.
	turn <-chan struct{}
	done chan struct{}
	// bodyDone is closed when the request body has been read.
	bodyDone chan struct{}
	body     *requestBody

	// bw is taken from writers when it is the turn of the response; an idle connection
	// needs none.
	bw     *bufio.Writer
	header http.Header
	status int
	buf    []byte
	// headerSent is set once the header is written, chunked if the body is sent in
	// chunks.
	headerSent, chunked bool
	// closeAfter is set if the connection ends after this response.
	closeAfter atomic.Bool
	err        error
}

// writers holds write buffers that are not in use.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}

// errConnEnded means that the caller closed the connection, or that an earlier
// response ended it.
var errConnEnded = errors.New("connection to the caller has ended")

// run calls the handler and sends its response.
func (w *response) run(h http.Handler, req *http.Request) {
	defer w.conn.end(w.done)
	defer w.releaseWriter()
	defer func() {
		if err := recover(); err != nil {
			if err != http.ErrAbortHandler && w.conn.server.Logger != nil { //nolint:errorlint // as net/http compares it
				w.conn.server.Logger.Error("handler panicked", "error", fmt.Sprint(err))
			}
			w.conn.abort()
		}
	}()
	h.ServeHTTP(w, req)
	if err := w.finish(); err != nil && w.conn.open() {
		w.conn.abort()
	}
}

// releaseWriter returns the write buffer.
func (w *response) releaseWriter() {
	if w.bw != nil {
		w.bw.Reset(nil)
		writers.Put(w.bw)
		w.bw = nil
	}
}

// isFinal reports whether the connection ends with this response.
func (w *response) isFinal() bool { return w.req.Close || w.closeAfter.Load() }

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
	if !w.headerSent {
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

// FlushError sends the data written so far.
func (w *response) FlushError() error { return w.flush() }

// flush sends the header and the body written so far.
func (w *response) flush() error {
	w.WriteHeader(http.StatusOK)
	if !w.headerSent {
		if err := w.sendHeader(false); err != nil {
			return err
		}
	}
	return w.bw.Flush()
}

// SetReadDeadline sets the deadline for reading the body of the request.
func (w *response) SetReadDeadline(t time.Time) error {
	select {
	case <-w.bodyDone:
		// The connection may already be in use to read the next request.
		return nil
	default:
		w.conn.readBy(t)
		return nil
	}
}

// hasBody reports whether the response may have a body.
func (w *response) hasBody() bool {
	return w.req.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// awaitTurn waits until all earlier responses are written. It returns an error if
// one of them ended the connection, or if the caller closed it.
func (w *response) awaitTurn() error {
	c := w.conn
	select {
	case <-w.turn:
	case <-c.ctx.Done():
		return errConnEnded
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// An earlier request may have been aborted without a response.
	if c.ctx.Err() != nil || c.finalRequest != 0 && c.finalRequest < w.number {
		return errConnEnded
	}
	return nil
}

// sendHeader waits for all earlier responses, then writes the header and the
// buffered body. complete is set if the buffer contains the whole body.
func (w *response) sendHeader(complete bool) error {
	if w.err = w.awaitTurn(); w.err != nil {
		return w.err
	}
	w.headerSent = true
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
	case complete:
		h.Set("Content-Length", strconv.Itoa(len(w.buf)))
	case h.Get("Content-Length") != "":
	case w.req.ProtoAtLeast(1, 1):
		w.chunked = true
		h.Set("Transfer-Encoding", "chunked")
	default:
		w.closeAfter.Store(true)
	}
	if w.finalizeConnection(h) {
		w.closeAfter.Store(true)
		h.Set("Connection", "close")
	} else if !w.req.ProtoAtLeast(1, 1) {
		h.Set("Connection", "keep-alive")
	}
	if h.Get("Date") == "" {
		h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	bw := writers.Get().(*bufio.Writer)
	bw.Reset(w.conn)
	w.bw = bw
	_, _ = fmt.Fprintf(bw, "HTTP/1.1 %03d %s\r\n", w.status, http.StatusText(w.status))
	_ = h.Write(bw)
	_, _ = bw.WriteString("\r\n")
	buf := w.buf
	w.buf = nil
	return w.writeBody(buf)
}

// finalizeConnection reports whether the connection ends with this response. If so,
// the connection accepts no further request. With keep-alives disabled, only the
// response to the newest request may end it.
func (w *response) finalizeConnection(h http.Header) bool {
	c := w.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	noKeepAlives := c.server.noKeepAlives.Load() || c.evicted
	ends := w.req.Close || w.closeAfter.Load() || strings.EqualFold(h.Get("Connection"), "close") || !w.body.ended() ||
		noKeepAlives && c.received == w.number && (!c.reading || c.closed)
	if ends {
		c.closed, c.finalRequest = true, w.number
	}
	return ends
}

func (w *response) writeBody(p []byte) error {
	bw := w.bw
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

// finish sends the rest of the response.
func (w *response) finish() error {
	if w.err != nil {
		return w.err
	}
	w.WriteHeader(http.StatusOK)
	if !w.headerSent {
		if err := w.sendHeader(true); err != nil {
			return err
		}
	}
	if w.chunked {
		_, _ = w.bw.WriteString("0\r\n")
		trailer := make(http.Header)
		for name, values := range w.header {
			if name, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
				trailer[name] = values
			}
		}
		_ = trailer.Write(w.bw)
		_, _ = w.bw.WriteString("\r\n")
	}
	if err := w.bw.Flush(); err != nil {
		return err
	}
	if w.isFinal() {
		// The reader may be waiting for a request that is no longer accepted, or for the
		// departure of the caller.
		w.conn.endReading()
	}
	return nil
}

// requestBody is the body of a request. Its first read sends 100 Continue if the
// caller expects it.
type requestBody struct {
	io.ReadCloser
	w            *response
	continueOnce sync.Once
	atEnd        atomic.Bool
	doneOnce     sync.Once
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.continueOnce.Do(b.sendContinue)
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.atEnd.Store(true)
		b.doneOnce.Do(func() { close(b.w.bodyDone) })
	}
	return n, err
}

func (b *requestBody) sendContinue() {
	if !strings.EqualFold(b.w.req.Header.Get("Expect"), "100-continue") {
		return
	}
	select {
	case <-b.w.turn:
		_, _ = io.WriteString(b.w.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	case <-b.w.conn.ctx.Done():
	}
}

func (b *requestBody) ended() bool { return b.atEnd.Load() }
