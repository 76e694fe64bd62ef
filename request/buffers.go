package request

import (
	"errors"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// freeBuffer is the size of buffers, in bytes, that are not counted. The number of
	// calls bounds their sum.
	freeBuffer = 4 << 10
	// smallBuffer is the size in bytes up to which a buffer may use the reserve.
	smallBuffer = 64 << 10
	// reserveDivisor divides the limit to give the bytes that only small buffers may use
	// beyond it, so that a few large bodies do not keep all others out.
	reserveDivisor = 8
	// collectPause is the least time between two collections that Buffers starts, and
	// collectWait the longest wait for the memory that one has freed.
	collectPause = 50 * time.Millisecond
	collectWait  = 5 * time.Millisecond
)

// ErrNoRoom means that the bodies of other calls take up the memory for bodies.
var ErrNoRoom = errors.New("the memory for bodies is in use")

// Buffers bounds the memory that the bodies of all calls of a daemon take up together. A
// buffer counts until the garbage collector has freed it, so what is no longer used but
// not yet free is included. A nil Buffers and one without a limit have no bound. Buffers
// is safe for concurrent use.
type Buffers struct {
	limit   int64
	used    atomic.Int64
	refused atomic.Int64

	mu           sync.Mutex
	collectAfter time.Time
}

// NewBuffers returns buffers of at most limit bytes together, and an eighth of that
// beyond it for bodies of up to 64 KiB.
func NewBuffers(limit int64) *Buffers { return &Buffers{limit: limit} }

// Used returns the bytes of all counted buffers.
func (b *Buffers) Used() int64 { return b.used.Load() }

// Refused returns the number of buffers for which there was no room.
func (b *Buffers) Refused() int64 { return b.refused.Load() }

// get returns an empty buffer with a capacity of n bytes, or false if there is no room.
func (b *Buffers) get(n int) ([]byte, bool) {
	if b == nil || b.limit <= 0 || n <= freeBuffer {
		return make([]byte, 0, n), true
	}
	if !b.reserve(int64(n)) {
		b.collect(int64(n))
		if !b.reserve(int64(n)) {
			b.refused.Add(1)
			return nil, false
		}
	}
	buf := make([]byte, 0, n)
	runtime.AddCleanup(&buf[:1][0], func(n int64) { b.used.Add(-n) }, int64(n))
	return buf, true
}

func (b *Buffers) limitFor(n int64) int64 {
	if n <= smallBuffer {
		return b.limit + b.limit/reserveDivisor
	}
	return b.limit
}

func (b *Buffers) reserve(n int64) bool {
	if b.used.Add(n) > b.limitFor(n) {
		b.used.Add(-n)
		return false
	}
	return true
}

// collect frees buffers that are no longer used, unless that was just done or n bytes
// would not fit anyway.
func (b *Buffers) collect(n int64) {
	if n > b.limitFor(n) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used.Load()+n <= b.limitFor(n) || time.Now().Before(b.collectAfter) {
		return
	}
	runtime.GC()
	// The cleanups run in the background.
	for until := time.Now().Add(collectWait); b.used.Load()+n > b.limitFor(n) && time.Now().Before(until); {
		time.Sleep(collectWait / 50)
	}
	b.collectAfter = time.Now().Add(collectPause)
}

// read reads at most limit bytes from r, of which length are expected; a negative length
// is unknown. more means that r may hold more: the limit was reached, or there was no room
// for a larger buffer, and then the error is ErrNoRoom. What was read is returned in any
// case.
func (b *Buffers) read(r io.Reader, length, limit int64) (data []byte, more bool, err error) {
	size := int64(freeBuffer)
	if length >= 0 {
		// One more byte lets the end be read without a larger buffer.
		size = length + 1
	}
	buf, ok := b.get(int(min(size, limit)))
	if !ok {
		return nil, true, ErrNoRoom
	}
	for {
		if int64(len(buf)) >= limit {
			return buf, true, nil
		}
		if len(buf) == cap(buf) {
			larger, ok := b.get(int(min(2*int64(cap(buf)), limit)))
			if !ok {
				return buf, true, ErrNoRoom
			}
			buf = append(larger, buf...)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buf, false, nil
		case err != nil:
			return buf, false, err
		}
	}
}

// ReadAnswer reads the first MaxBody bytes of an answer, or fewer if there is no room for
// more. more means that the rest has not been read.
func (b *Buffers) ReadAnswer(r io.Reader, length int64) (body []byte, more bool, err error) {
	// An answer may state a length that it never reaches.
	if length > MaxBody {
		length = -1
	}
	body, more, err = b.read(r, length, MaxBody)
	if !errors.Is(err, ErrNoRoom) {
		return body, more, err
	}
	if body == nil {
		body, more, err = b.read(r, -1, freeBuffer)
		return body, more, err
	}
	return body, true, nil
}
