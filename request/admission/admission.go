// Package admission bounds the concurrent requests of the one upstream
// instance beside the daemon.
//
// The limit starts at ColdSlots and grows by one for each round of answers, up to
// Slots. It is reset to ColdSlots as soon as the answers show that the upstream
// is cold again, and when a new incarnation is announced. During a ramp it grows
// only while more concurrency yields more throughput, so an upstream that warms
// up slowly is not overloaded.
//
// Latency is compared with a baseline per route, and a majority of the routes
// decides, so neither one slow route nor a single slow answer is taken for a cold
// start.
//
// Requests without a free slot wait in a queue that is at most as long as the
// limit. Higher classes are served first, and the lowest are refused first.
//
// All decisions take the time as an argument; only Acquire reads the clock.
//
// # Usage
//
//	var l admission.Limiter
//	l.SetLimits(admission.Limits{Slots: 20, ColdSlots: 4})
//	t, err := l.Acquire(ctx, admission.Order{Class: call.Class}, preset.Shed, call.Deadline)
//	if err != nil {
//		return err // a *request.Refusal, or the error of ctx
//	}
//	start := time.Now()
//	// call the upstream
//	now := time.Now()
//	l.Done(now, t, admission.Result{Took: now.Sub(start), Route: call.Route})
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// Verdict is the result of a request for a slot.
type Verdict uint8

// The verdicts.
const (
	// Refused means that the request must not be sent.
	Refused Verdict = iota
	// Granted means that the request may be sent immediately.
	Granted
	// Queued means that Decision.Ready receives the verdict later.
	Queued
)

// Limits are the limits of the upstream instance.
type Limits struct {
	// Slots is the number of concurrent requests that a warm instance can handle.
	Slots int
	// ColdSlots is the number of concurrent requests in cold start.
	ColdSlots int
}

// Order determines which of several waiting requests is served first: the one of the
// most urgent class, within a class nested calls, then returning callers, then the one
// that arrived first.
type Order struct {
	// Class is the priority class.
	Class string
	// Nested means that an upstream made the request while it worked on another one.
	Nested bool
	// Returning means that the caller was refused and came back at the time that it
	// was told.
	Returning bool
	// Tenant is the name of the tenant; it may be empty.
	Tenant string
}

// Result describes the answer to one request, or its absence.
type Result struct {
	// Took is the time from sending the request to the answer.
	Took time.Duration
	// Failed means that the connection was lost or the answer was a server
	// error.
	Failed bool
	// Expired means that the deadline passed without an answer after Took. It
	// counts as slow if Took is far above the baseline, and is ignored otherwise:
	// a caller with a very short deadline is no sign of overload.
	Expired bool
	// Shed means that the upstream refused the request because it is overloaded.
	Shed bool
	// Route names the route, which has its own latency baseline; empty means
	// the baseline of the class.
	Route string
}

// Grant is the verdict on a queued request.
type Grant struct {
	Granted bool
	// Refusal is set if the request was removed from the queue.
	Refusal *request.Refusal
}

// Decision is the response to a request for a slot.
type Decision struct {
	Verdict Verdict
	// Ticket is set unless the request was refused.
	Ticket Ticket
	// Ready receives one Grant if the request was queued, unless the caller
	// cancels it.
	Ready <-chan Grant
	// Refusal is set if the request was refused.
	Refusal *request.Refusal
}

// Ticket is one admitted or queued request. The zero value belongs to no request.
type Ticket struct{ req *slotRequest }

type requestState uint8

const (
	stateQueued requestState = iota
	stateRunning
	stateEnded
)

// slotRequest is the state of a request for a slot, which a Ticket refers to. The
// mutex of the limiter guards it.
type slotRequest struct {
	state  requestState
	class  string
	tenant string
	// rank is the position of the request in the order of service; see Order.position.
	rank     int
	deadline time.Time
	ready    chan Grant
	// incarnation and generation are the limiter's at the time of the grant.
	incarnation, generation uint64
	// grantedAt is the time of the grant.
	grantedAt time.Time
	// load is the number of requests in flight at the grant, this one included.
	load int
}

// Limiter is the concurrency limit of one upstream instance. The zero value
// refuses all requests until SetLimits. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	limits   Limits
	limit    int
	inFlight int
	// incarnation counts the announced restarts. Requests of an earlier
	// incarnation ended with its process and occupy no slot.
	incarnation uint64
	queue       queue
	controller  limitController
}

// SetLimits sets the limits. It takes effect immediately: no request is granted
// while more are in flight than the new limit, and the queue is truncated.
// ColdSlots is clamped to between 1 and Slots.
func (l *Limiter) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits.ColdSlots = min(max(limits.ColdSlots, 1), limits.Slots)
	if l.limits.Slots == 0 {
		l.limit = limits.ColdSlots
		l.controller.cold = true
	}
	l.limits = limits
	l.limit = max(min(l.limit, limits.Slots), limits.ColdSlots)
	l.trimQueue()
}

// Admit asks for a slot for a request of the given class. shed lists the classes
// in the order in which they are refused; other classes are refused last. A
// refusal for overload carries a time to retry at.
func (l *Limiter) Admit(now time.Time, class string, shed []string, deadline time.Time) Decision {
	return l.admit(now, Order{Class: class}, shed, deadline)
}

func (l *Limiter) admit(now time.Time, o Order, shed []string, deadline time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatch(now)
	if !now.Before(deadline) {
		return Decision{Refusal: deadlineRefusal()}
	}
	req := &slotRequest{class: o.Class, tenant: o.Tenant, deadline: deadline, rank: o.position(shed)}
	if l.inFlight < l.limit {
		l.grant(req)
		return Decision{Verdict: Granted, Ticket: Ticket{req}}
	}
	// A request whose estimated wait exceeds twice the remaining time is refused
	// now instead of at the deadline.
	if l.estimateWait(l.queue.ahead(req.rank))/2 > deadline.Sub(now) {
		return Decision{Refusal: l.overloadRefusal(now)}
	}
	if l.queue.full(req.rank, l.limit) {
		victim := l.queue.victim(req.rank, l.limit)
		if victim == nil {
			victim, _ = l.queue.crowding(req)
		}
		if victim == nil {
			return Decision{Refusal: l.overloadRefusal(now)}
		}
		l.refuse(victim, l.overloadRefusal(now))
	}
	req.ready = make(chan Grant, 1)
	l.queue.push(req)
	return Decision{Verdict: Queued, Ticket: Ticket{req}, Ready: req.ready}
}

// Done releases the slot of a ticket and updates the limit from the result.
// Further calls for the same ticket have no effect.
func (l *Limiter) Done(now time.Time, t Ticket, r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.req == nil || t.req.state != stateRunning {
		return
	}
	l.release(t.req)
	if t.req.incarnation == l.incarnation {
		if r.Route == "" {
			r.Route = t.req.class
		}
		l.applyStep(now, l.controller.observe(now, t.req, r, l.limit, l.limits))
	}
	l.dispatch(now)
}

// Cancel withdraws a queued request, or releases a granted one that gives no
// evidence about the upstream because it was not sent or its caller disconnected.
func (l *Limiter) Cancel(now time.Time, t Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.req == nil {
		return
	}
	if !l.queue.cancel(t.req) && t.req.state == stateRunning {
		l.release(t.req)
	}
	l.dispatch(now)
}

// Restarted records that the upstream runs as a new incarnation: it is cold, and
// the requests of the previous incarnation do not occupy its slots.
func (l *Limiter) Restarted(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incarnation++
	l.inFlight = 0
	l.queue.tenants = tenantShares{}
	l.controller.startRamp(now)
	l.limit = l.limits.ColdSlots
	l.trimQueue()
	l.dispatch(now)
}

// Load returns the requests in flight and in the queue, the limit, and whether
// the instance is in cold start.
func (l *Limiter) Load() (inFlight, queued, limit int, cold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight, l.queue.len(), l.limit, l.controller.cold
}

// Acquire waits for a slot until the deadline or the end of ctx. The error is
// a *request.Refusal, or the error of ctx.
func (l *Limiter) Acquire(ctx context.Context, o Order, shed []string, deadline time.Time) (Ticket, error) {
	d := l.admit(time.Now(), o, shed, deadline)
	switch d.Verdict {
	case Granted:
		return d.Ticket, nil
	case Refused:
		return Ticket{}, d.Refusal
	}
	granted, err := d.Ticket.req.await(ctx, deadline)
	switch {
	case err != nil:
		return Ticket{}, err
	case granted:
		return d.Ticket, nil
	}
	l.Cancel(time.Now(), d.Ticket)
	if err := ctx.Err(); err != nil {
		return Ticket{}, err
	}
	return Ticket{}, deadlineRefusal()
}

func (l *Limiter) applyStep(now time.Time, s step) {
	full := s == stepUp && l.limit == l.limits.Slots
	switch s {
	case stepUp:
		l.limit = min(l.limit+1, l.limits.Slots)
	case stepDown:
		l.limit = max(l.limit-1, l.limits.ColdSlots)
		l.trimQueue()
	case stepCold:
		l.limit = l.limits.ColdSlots
		l.trimQueue()
	}
	l.controller.maybeEndColdStart(now, full)
}

func (l *Limiter) grant(req *slotRequest) {
	l.inFlight++
	l.queue.tenants.start(req.tenant)
	req.state, req.load = stateRunning, l.inFlight
	req.incarnation, req.generation = l.incarnation, l.controller.generation
}

func (l *Limiter) release(req *slotRequest) {
	req.state = stateEnded
	if req.incarnation == l.incarnation {
		l.inFlight--
		l.queue.tenants.end(req.tenant)
	}
}

// dispatch refuses queued requests whose deadline has passed and grants the free
// slots.
func (l *Limiter) dispatch(now time.Time) {
	for _, req := range l.queue.expired(now) {
		l.refuse(req, deadlineRefusal())
	}
	for l.inFlight < l.limit && l.queue.len() > 0 {
		req := l.queue.pop()
		l.grant(req)
		req.ready <- Grant{Granted: true}
	}
}

// trimQueue truncates the queue to the limit. The refusals allow an immediate
// retry, because only this instance lost capacity.
func (l *Limiter) trimQueue() {
	for l.queue.len() > max(l.limit, 0) {
		l.refuse(l.queue.lowest(), &request.Refusal{
			Outcome: request.NotRun, Reason: request.ReasonOverload, Detail: "the limit of the upstream instance was reduced"})
	}
}

func (l *Limiter) refuse(req *slotRequest, ref *request.Refusal) {
	l.queue.remove(req)
	req.state = stateEnded
	req.ready <- Grant{Refusal: ref}
}

// estimateWait estimates how long a request waits behind n others.
func (l *Limiter) estimateWait(n int) time.Duration {
	if l.limit == 0 {
		return 0
	}
	return time.Duration(float64(n+1) / float64(l.limit) * l.controller.meanSeconds * float64(time.Second))
}

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// overloadRefusal returns the refusal of a saturated instance. Successive
// refusals carry delays that differ by up to a factor of two, so that the callers
// do not all retry at the same time.
func (l *Limiter) overloadRefusal(now time.Time) *request.Refusal {
	after := min(max(l.estimateWait(l.queue.len()), minRetryAfter), maxRetryAfter)
	jitter := l.queue.jitter()
	return &request.Refusal{
		Outcome: request.NotRun,
		Reason:  request.ReasonOverload,
		Detail:  "all slots of the upstream instance are taken",
		RetryAt: now.Add(time.Duration(float64(after) * (1 + jitter))),
	}
}

func deadlineRefusal() *request.Refusal {
	return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonDeadline, Detail: "the deadline passed before a slot was free"}
}
