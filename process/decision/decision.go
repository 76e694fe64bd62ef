// Package decision logs what a daemon decided on each request and why, so that
// the cause of a failed request is found by its id.
//
// Entry and host of a request write lines with the same id. Ordinary requests are
// sampled by their id, on all daemons the same ones; what failed or was odd is
// kept. The volume is bounded per second, writing never blocks, and what was left
// out is counted in a line of its own.
//
// # Usage
//
//	l := decision.New(logger)
//	defer l.Close()
//	if l.Keeps(id, odd) {
//		l.Write("request answered", "id", id, "status", 200)
//	}
package decision

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
)

const (
	// sampleEvery of so many ordinary requests is logged.
	sampleEvery = 32
	// maxPerSecond bounds the lines of a daemon. A line costs about 10 µs, so
	// they take at most 0.2 percent of a core.
	maxPerSecond = 200
	// reserved of the lines of a second are kept for WriteReserved. Under a peak,
	// refusals take all others.
	reservedLines = 50
	// queued bounds the lines that wait to be written.
	maxQueued = 512
)

// Log writes lines in the background. A nil Log keeps nothing.
type Log struct {
	logger  hclog.Logger
	lines   chan line
	dropped atomic.Int64
	done    chan struct{}

	mu sync.Mutex
	// left is the number of lines that may be written before refillAt.
	remaining int
	refillAt  time.Time
	closed    bool
}

type line struct {
	msg  string
	args []any
}

// New returns a log that writes to the given logger.
func New(logger hclog.Logger) *Log {
	l := &Log{logger: logger, lines: make(chan line, maxQueued), done: make(chan struct{})}
	go l.run()
	return l
}

// Keeps reports whether lines on the request are kept. Ask it before the values of
// a line are gathered.
func (l *Log) Keeps(id string, always bool) bool {
	return l != nil && (always || xxhash.Sum64String(id)%sampleEvery == 0)
}

// Write queues a line, or counts it as left out.
func (l *Log) Write(msg string, args ...any) { l.write(reservedLines, msg, args) }

// WriteReserved is Write for a line that must not be lost among many others: a request
// whose outcome is unknown, or that failed.
func (l *Log) WriteReserved(msg string, args ...any) { l.write(0, msg, args) }

// write queues a line unless no more than the given number may still be written.
func (l *Log) write(keepFree int, msg string, args []any) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); !now.Before(l.refillAt) {
		l.remaining, l.refillAt = maxPerSecond, now.Add(time.Second)
	}
	if l.remaining <= keepFree || l.closed {
		l.dropped.Add(1)
		return
	}
	select {
	case l.lines <- line{msg, args}:
		l.remaining--
	default:
		l.dropped.Add(1)
	}
}

// Close writes what is queued.
func (l *Log) Close() {
	if l == nil {
		return
	}
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.mu.Unlock()
	<-l.done
}

func (l *Log) run() {
	defer close(l.done)
	for ln := range l.lines {
		if n := l.dropped.Swap(0); n > 0 {
			l.logger.Warn("lines on requests left out", "lines", n)
		}
		l.logger.Info(ln.msg, ln.args...)
	}
}
