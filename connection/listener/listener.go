// Package listener accepts connections in spite of failures that pass.
//
// A lack of descriptors or memory, or a caller that has closed its connection already,
// is no reason to stop serving an address. Accept waits and tries again after such a
// failure. It logs one line when a shortage begins and one when it has ended.
//
// # Usage
//
//	l := &listener.Listener{Listener: l, Name: "peers", Logger: logger}
//	err := server.Serve(l)
package listener

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// minDelay and maxDelay bound the pause after a failed accept; it doubles with each
	// consecutive failure. A listener that is closed meanwhile is noticed after the pause.
	minDelay = 5 * time.Millisecond
	maxDelay = 100 * time.Millisecond
	// quietPeriod is how long accepts must succeed until a shortage counts as over.
	quietPeriod = 5 * time.Second
)

// Listener is a net.Listener whose Accept returns only errors that last. One goroutine
// may call Accept at a time.
type Listener struct {
	net.Listener
	// Name stands in log lines and in the name of the counter NAME.acceptFailures.
	Name string
	// Logger may be nil.
	Logger hclog.Logger
	// Count adds to a counter; it may be nil.
	Count func(name string, n int64)
	// Failed is called after each failed accept; it may be nil.
	Failed func()

	shortage shortage
}

// shortage is a period in which accepts fail.
type shortage struct {
	began, last time.Time
	failures    int
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for delay := minDelay; ; delay = min(2*delay, maxDelay) {
		nc, err := l.Listener.Accept()
		if err == nil {
			l.endShortage(time.Now())
			return nc, nil
		}
		if !isPassing(err) {
			return nil, err
		}
		l.noteFailure(time.Now(), err)
		if l.Failed != nil {
			l.Failed()
		}
		time.Sleep(delay)
	}
}

// isPassing reports whether an accept may succeed later.
func isPassing(err error) bool {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return true
	}
	return slices.ContainsFunc([]error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPROTO, syscall.EINTR,
	}, func(e error) bool { return errors.Is(err, e) })
}

func (l *Listener) noteFailure(now time.Time, err error) {
	if l.Count != nil {
		l.Count(l.Name+".acceptFailures", 1)
	}
	if l.shortage.failures == 0 {
		l.shortage.began = now
		if l.Logger != nil {
			l.Logger.Warn("connections cannot be accepted for now", "listener", l.Name, "error", err)
		}
	}
	l.shortage.failures++
	l.shortage.last = now
}

func (l *Listener) endShortage(now time.Time) {
	if l.shortage.failures == 0 || now.Sub(l.shortage.last) < quietPeriod {
		return
	}
	if l.Logger != nil {
		l.Logger.Info("connections are accepted again", "listener", l.Name, "failures", l.shortage.failures,
			"seconds", l.shortage.last.Sub(l.shortage.began).Seconds())
	}
	l.shortage = shortage{}
}
