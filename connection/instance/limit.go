package instance

import "errors"

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
