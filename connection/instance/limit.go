package instance

import (
	"errors"
	"io"
)

// Limits bound what is read in place of an answer or as one, in bytes. A server in
// trouble may write without end until its connection is closed.
type Limits struct {
	// Head bounds the status line and the headers of each answer, those of interim
	// answers too. Chunk sizes with their extensions, and trailers, have the bounds of
	// net/http: 4 kB each, and extensions no more than the chunks themselves.
	Head int
	// Skipped bounds the body of an answer to an earlier request, which is read only
	// to reach the answer behind it.
	Skipped int
	// Body bounds the body of an answer.
	Body int64
}

// DefaultLimits are used where a pool is given none. A head of 64 kB is eight times
// what servers usually allow; bodies end with the time of their request long before
// 128 MB on most links.
var DefaultLimits = Limits{Head: 64 << 10, Skipped: 1 << 20, Body: 128 << 20}

// ErrTooLong means that more bytes came than an answer may have.
var ErrTooLong = errors.New("the instance sent more bytes than an answer may have")

// limitedReader ends with ErrTooLong once the allowed bytes have been read.
type limitedReader struct {
	r io.Reader
	// left is the number of bytes that may still be read while limited is set.
	left    int
	limited bool
}

// allow sets the number of bytes that may be read from now on. What is buffered
// already does not count.
func (l *limitedReader) allow(n int) { l.left, l.limited = n, true }

// allowAll lifts the limit.
func (l *limitedReader) allowAll() { l.limited = false }

// exceeded reports whether the allowed bytes have been read.
func (l *limitedReader) exceeded() bool { return l.limited && l.left <= 0 }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
