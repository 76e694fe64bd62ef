package claim

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"golang.org/x/time/rate"
)

// fakeLog is one stream of a log in memory.
type fakeLog struct {
	mu      sync.Mutex
	first   int64 // zero means 1
	records []log.Entry
	// retainRecords and retainAge bound the retained records; zero retains all.
	retainRecords int
	retainAge     time.Duration
	outages       []span
	all           []log.Entry   // including the expired records
	limit         *rate.Limiter // beyond it appends are refused; nil is unlimited
	rate          *throttle     // shared by the streams of one log; nil is unlimited
}

// throttle delays appends to a fixed rate.
type throttle struct {
	mu        sync.Mutex
	perAppend time.Duration
	busyUntil time.Time
}

// span is a time span. In an outage that hangs, requests get no answer; in any
// other they are refused.
type span struct {
	from, to time.Time
	hangs    bool
}

// fault is the fault of one append.
type fault int

const (
	none      fault = iota
	lost            // takes effect, but the answer is lost
	dropped         // has no effect, and the answer is lost
	late            // the answer is lost, and it takes effect later
	refused         // the log refuses it
	numFaults = iota
)

// link is the connection of one writer to the log.
type link struct {
	*fakeLog
	delay  time.Duration // of each request, and of each answer
	faults []fault       // of the appends, cyclic
	lag    time.Duration // delay of late appends
	pauses []span        // in which the process of the writer is paused
	n      atomic.Int64
}

func (l *fakeLog) expire() {
	if l.first == 0 {
		l.first = 1
	}
	n := 0
	if l.retainRecords > 0 {
		n = max(0, len(l.records)-l.retainRecords)
	}
	for l.retainAge > 0 && n < len(l.records) && time.Since(l.records[n].At) > l.retainAge {
		n++
	}
	l.records, l.first = l.records[n:], l.first+int64(n)
}

func (l *fakeLog) append(data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	offset := l.first + int64(len(l.records))
	e := log.Entry{Offset: offset, At: time.Now(), Data: data}
	l.records, l.all = append(l.records, e), append(l.all, e)
	l.expire()
	return offset
}

func (l *fakeLog) outage() (span, bool) {
	for _, s := range l.outages {
		if now := time.Now(); !now.Before(s.from) && now.Before(s.to) {
			return s, true
		}
	}
	return span{}, false
}

func (r *throttle) wait() {
	if r == nil {
		return
	}
	r.mu.Lock()
	if now := time.Now(); r.busyUntil.Before(now) {
		r.busyUntil = now
	}
	r.busyUntil = r.busyUntil.Add(r.perAppend)
	until := r.busyUntil
	r.mu.Unlock()
	time.Sleep(time.Until(until))
}

// waitOutPause blocks until the end of the current pause of the process.
func (l *link) waitOutPause() {
	for _, s := range l.pauses {
		if now := time.Now(); !now.Before(s.from) && now.Before(s.to) {
			time.Sleep(s.to.Sub(now))
		}
	}
}

func (l *link) Append(ctx context.Context, _ string, data []byte) (int64, error) {
	defer l.waitOutPause()
	f := none
	if len(l.faults) > 0 {
		f = l.faults[int(l.n.Add(1))%len(l.faults)]
	}
	time.Sleep(l.delay)
	if l.limit != nil && !l.limit.Allow() {
		return 0, log.ErrUnavailable
	}
	if s, out := l.outage(); out {
		if s.hangs {
			<-ctx.Done()
			return 0, errors.Join(log.ErrUnknown, ctx.Err())
		}
		return 0, log.ErrUnavailable
	}
	switch f {
	case refused:
		return 0, log.ErrUnavailable
	case dropped:
		return 0, log.ErrUnknown
	case late:
		time.AfterFunc(l.lag, func() { l.append(data) })
		return 0, log.ErrUnknown
	}
	l.rate.wait()
	offset := l.append(data)
	time.Sleep(l.delay)
	if f == lost {
		return 0, log.ErrUnknown
	}
	return offset, nil
}

func (l *link) Read(ctx context.Context, _ string, from int64, _ time.Time) (log.Page, error) {
	defer l.waitOutPause()
	time.Sleep(l.delay)
	if s, out := l.outage(); out {
		if s.hangs {
			<-ctx.Done()
		}
		return log.Page{}, log.ErrUnavailable
	}
	l.mu.Lock()
	l.expire()
	page := log.Page{First: l.first, Next: l.first + int64(len(l.records))}
	if from >= l.first && from < page.Next {
		page.Records = l.records[from-l.first:]
		page.Records = page.Records[:min(len(page.Records), 16)]
	}
	l.mu.Unlock()
	time.Sleep(l.delay)
	if from < page.First {
		return page, log.ErrExpired
	}
	return page, nil
}
