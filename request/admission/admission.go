// Package admission bounds the concurrent requests of the one upstream
// instance beside the daemon.
package admission

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// Verdict says what became of a request for a slot.
type Verdict uint8

// The verdicts.
const (
	// Refused means that the request must not be sent.
	Refused Verdict = iota
	// Granted means that the request may be sent at once.
	Granted
	// Queued means that Decision.Ready tells the verdict later.
	Queued
)

// Limits are the limits of the upstream instance.
type Limits struct {
	// Slots is the number of concurrent requests that a warm instance bears.
	Slots int
	// ColdSlots is the number of concurrent requests in cold start.
	ColdSlots int
}

// Result is what one answer said.
type Result struct {
	// Took is the time from handing the request over to the answer.
	Took time.Duration
	// Failed means that there was no answer or a server error.
	Failed bool
	// Shed means that the upstream refused the request for overload.
	Shed bool
	// Route names the route, which has its own latency baseline; empty means
	// the baseline of the class.
	Route string
}

// Grant is the later verdict on a queued request.
type Grant struct {
	Granted bool
	// Refusal is the refusal of a request that was dropped from the queue.
	Refusal *request.Refusal
}

// Decision is the answer to a request for a slot.
type Decision struct {
	Verdict Verdict
	// Ticket is set unless the request was refused.
	Ticket Ticket
	// Ready receives one Grant if the request was queued.
	Ready <-chan Grant
	// Refusal is set if the request was refused.
	Refusal *request.Refusal
}

// Ticket is one admitted or queued request. The zero value belongs to none.
type Ticket struct{ e *entry }

type entryState uint8

const (
	stateQueued entryState = iota
	stateRunning
	stateEnded
)

type entry struct {
	state    entryState
	class    string
	rank     int
	deadline time.Time
	ready    chan Grant
	epoch    uint64
}

// Limiter is the concurrency limit of one upstream instance. The zero value
// refuses all requests until SetLimits. It is safe for concurrent use.
type Limiter struct {
	mu        sync.Mutex
	limits    Limits
	limit     int
	cold      bool
	inFlight  int
	queue     []*entry
	epoch     uint64
	successes int
}

// SetLimits sets the limits; it takes effect at once.
func (l *Limiter) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.limits.Slots == 0
	l.limits = limits
	if first {
		l.limit, l.cold = limits.ColdSlots, true
	}
	l.limit = min(l.limit, limits.Slots)
}

// Admit asks for a slot for a request of the given class. shed lists the
// classes in the order in which they are refused.
func (l *Limiter) Admit(now time.Time, class string, shed []string, deadline time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &entry{class: class, deadline: deadline, epoch: l.epoch, rank: slices.Index(shed, class)}
	if e.rank < 0 {
		e.rank = len(shed)
	}
	if !now.Before(deadline) {
		return Decision{Refusal: refusal(request.ReasonDeadline, now)}
	}
	if l.inFlight < l.limit && len(l.queue) == 0 {
		l.inFlight++
		e.state = stateRunning
		return Decision{Verdict: Granted, Ticket: Ticket{e}}
	}
	if len(l.queue) >= l.limit {
		return Decision{Refusal: refusal(request.ReasonOverload, now.Add(100*time.Millisecond))}
	}
	e.ready = make(chan Grant, 1)
	l.queue = append(l.queue, e)
	slices.SortStableFunc(l.queue, func(a, b *entry) int { return b.rank - a.rank })
	return Decision{Verdict: Queued, Ticket: Ticket{e}, Ready: e.ready}
}

func refusal(reason request.Reason, retryAt time.Time) *request.Refusal {
	return &request.Refusal{Outcome: request.NotRun, Reason: reason, Detail: "the upstream instance is saturated", RetryAt: retryAt}
}

// Done returns the slot of a ticket and learns from the answer.
func (l *Limiter) Done(now time.Time, t Ticket, r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.e == nil || t.e.state != stateRunning {
		return
	}
	l.release(t.e)
	if t.e.epoch == l.epoch && !r.Failed && !r.Shed {
		if l.successes++; l.successes >= l.limit {
			l.successes = 0
			l.limit = min(l.limit+1, l.limits.Slots)
			l.cold = l.cold && l.limit < l.limits.Slots
		}
	}
	l.dispatch(now)
}

// Cancel gives up a queued request, or a granted one that was not sent.
func (l *Limiter) Cancel(now time.Time, t Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.e == nil {
		return
	}
	switch t.e.state {
	case stateQueued:
		t.e.state = stateEnded
		l.queue = slices.DeleteFunc(l.queue, func(e *entry) bool { return e == t.e })
	case stateRunning:
		l.release(t.e)
		l.dispatch(now)
	}
}

func (l *Limiter) release(e *entry) {
	e.state = stateEnded
	if e.epoch == l.epoch {
		l.inFlight--
	}
}

func (l *Limiter) dispatch(now time.Time) {
	for len(l.queue) > 0 {
		e := l.queue[0]
		if now.Before(e.deadline) && l.inFlight >= l.limit {
			return
		}
		l.queue = l.queue[1:]
		if !now.Before(e.deadline) {
			e.state = stateEnded
			e.ready <- Grant{Refusal: refusal(request.ReasonDeadline, now)}
			continue
		}
		e.state, e.epoch = stateRunning, l.epoch
		l.inFlight++
		e.ready <- Grant{Granted: true}
	}
}

// Restarted says that the upstream runs as a new incarnation: it is cold.
func (l *Limiter) Restarted(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch++
	l.inFlight = 0
	l.limit, l.cold, l.successes = l.limits.ColdSlots, true, 0
	l.dispatch(now)
}

// Load returns the requests in flight and in the queue, the limit, and whether
// the instance is in cold start.
func (l *Limiter) Load() (inFlight, queued, limit int, cold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight, len(l.queue), l.limit, l.cold
}

// Acquire waits for a slot until the deadline or the end of ctx. The error is
// a *request.Refusal or the error of ctx.
func (l *Limiter) Acquire(ctx context.Context, class string, shed []string, deadline time.Time) (Ticket, error) {
	d := l.Admit(time.Now(), class, shed, deadline)
	switch d.Verdict {
	case Granted:
		return d.Ticket, nil
	case Refused:
		return Ticket{}, d.Refusal
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case g := <-d.Ready:
		if g.Granted {
			return d.Ticket, nil
		}
		return Ticket{}, g.Refusal
	case <-ctx.Done():
		l.Cancel(time.Now(), d.Ticket)
		return Ticket{}, ctx.Err()
	case <-timer.C:
		l.Cancel(time.Now(), d.Ticket)
		return Ticket{}, refusal(request.ReasonDeadline, deadline)
	}
}
