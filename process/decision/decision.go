// Package decision logs what a daemon decided on each request and why, so that
// the cause of a failed request can be found by its id.
//
// The entry and the host of a request write lines with the same id. Ordinary
// requests are sampled by a hash of their id, so all daemons log the same ones;
// failed and unusual requests are always logged. The number of lines per second
// is bounded, writing never blocks, and a separate line counts the dropped ones.
//
// # Usage
//
//	l := decision.New(logger)
//	defer l.Close()
//	if l.Keeps(id, failed) {
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
	// sampleEvery is the sampling rate: one in sampleEvery ordinary requests is
	// logged.
	sampleEvery = 32
	// maxLinesPerSecond bounds the lines of a daemon. A line costs about 10 µs, so
	// they take at most 0.2 percent of a core.
	maxLinesPerSecond = 200
	// reservedLines of the lines per second are reserved for WriteReserved. During
	// a load peak, refusals use up all others.
	reservedLines = 50
	// maxQueued bounds the lines that wait to be written.
	maxQueued = 512
)

// Log writes lines in the background. A nil Log discards all lines.
type Log struct {
	logger  hclog.Logger
	lines   chan line
	dropped atomic.Int64
	done    chan struct{}

	mu sync.Mutex
	// remaining is the number of lines that may still be written before refillAt.
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

// Keeps reports whether lines about the request are logged; always overrides the
// sampling. Call it before collecting the values of a line.
func (l *Log) Keeps(id string, always bool) bool {
	return l != nil && (always || xxhash.Sum64String(id)%sampleEvery == 0)
}

// Write queues a line, or counts it as dropped.
func (l *Log) Write(msg string, args ...any) { l.write(reservedLines, msg, args) }

// WriteReserved is like Write but may use the reserved lines. Use it for lines that
// must not be lost among many others: requests that failed or whose outcome is
// unknown.
func (l *Log) WriteReserved(msg string, args ...any) { l.write(0, msg, args) }

// write queues a line if more than keepFree lines remain in this second.
func (l *Log) write(keepFree int, msg string, args []any) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); !now.Before(l.refillAt) {
		l.remaining, l.refillAt = maxLinesPerSecond, now.Add(time.Second)
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

// Close writes all queued lines and stops the Log.
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
