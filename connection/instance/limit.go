package instance

import "errors"

// Limits bounds the bytes that are read from an instance. A faulty server may write
// without end until its connection is closed.
type Limits struct {
	// Head bounds the status line and the headers of each response, including interim
	// ones. Chunk sizes with their extensions, and trailers, have the bounds of
	// net/http: 4 kB each, and extensions no more than the chunks themselves.
	Head int
	// Skipped bounds the body of a response to an earlier request, which is read only
	// to reach the response after it.
	Skipped int
	// Body bounds the body of a response.
	Body int64
}

// DefaultLimits are the limits of a pool without the option WithLimits. A header of
// 64 kB is eight times what servers usually allow. On most links, the deadline of a
// request ends its body long before 128 MB.
var DefaultLimits = Limits{Head: 64 << 10, Skipped: 1 << 20, Body: 128 << 20}

// ErrTooLong means that a response exceeds its limit.
var ErrTooLong = errors.New("response from the instance exceeds the size limit")
