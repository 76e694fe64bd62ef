package entry

import (
	"errors"
	"fmt"
	"math"
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
	"github.com/kingcuppitch/kingcuppitch/request/dependency"
	"github.com/kingcuppitch/kingcuppitch/request/retry"
	"github.com/kingcuppitch/kingcuppitch/request/route"
)

const (
	// minReturnTime and maxReturnTime bound the time after which a caller that the entry
	// refused may return.
	minReturnTime = 50 * time.Millisecond
	maxReturnTime = 5 * time.Second
	// dependencyReturnTime is that time if the runs of a route lack the capacity of
	// another upstream; shares change about as fast.
	dependencyReturnTime = time.Second
)

// Causes of a refusal by the entry, in the decision log.
const (
	refusedNotAdmitted = "notAdmitted"
	refusedDependency  = "dependency"
)

// ranks is what an entry knows with WithCallRanks.
type ranks struct {
	learner *dependency.Learner
	nested  nestedRoutes
	shares  dependency.Shares
}

// WithCallRanks makes the entry recognise the calls of the upstream beside the daemon,
// obey the ranks that instances admit, and limit requests whose runs cannot finish. The
// host of the daemon observes the runs.
func WithCallRanks(l *dependency.Learner) Option {
	return func(e *Entry) { e.ranks = &ranks{learner: l} }
}

// reporter is a host that reports its load.
type reporter interface {
	Report(call *request.Call) request.Load
}

// rankCall finds out whether the upstream beside the daemon made the request, and raises
// the class of such a call to that of the runs that need it. It refuses a new request if
// the runs of its route cannot finish.
func (e *Entry) rankCall(call *request.Call, snap *control.Snapshot, tr *requestTrace) error {
	k := e.ranks
	if k == nil {
		return nil
	}
	now := time.Now()
	if k.nested.isNested(now, call.Route, k.learner.Running(now)) {
		e.metrics.Add("entry.nestedCalls", 1)
		call.Nested = true
		call.Repeat = mathrand.Float64() < k.learner.RepeatShare(now)
		if class := k.learner.MostUrgent(now, call.Route, call.Class, snap.ShedOrder(now)); class != call.Class {
			e.metrics.Add("entry.raisedCalls", 1)
			call.Class = class
		}
		k.learner.StartCall(now, call.Route)
	}
	if k.shares.Admit(now, call.Route, mathrand.Float64()) || e.isDue(call, now) {
		return nil
	}
	e.metrics.Add("entry.refusedDependency", 1)
	tr.refusedBy = refusedDependency
	return refuseDependency(call.Route, now)
}

// refuseDependency refuses a request whose run cannot finish.
func refuseDependency(route string, now time.Time) *request.Refusal {
	return &request.Refusal{
		Outcome: request.NotRun, Reason: request.ReasonOverload,
		Detail:  fmt.Sprintf("the upstreams that route %s needs lack the capacity", route),
		RetryAt: now.Add(time.Duration(float64(dependencyReturnTime) * (1 + mathrand.Float64()))),
	}
}

// endRanked tells the learner how a call of the upstream ended.
func (e *Entry) endRanked(tr *requestTrace, ans *request.Answer, err error) {
	if e.ranks == nil || tr.call == nil || !tr.call.Nested {
		return
	}
	outcome := dependency.CallSucceeded
	var ref *request.Refusal
	switch {
	case err == nil && ans.Status >= http.StatusInternalServerError:
		outcome = dependency.CallFailed
	case errors.As(err, &ref) && ref.Reason == request.ReasonCancelled:
		return
	case ref != nil && (ref.Reason == request.ReasonOverload || ref.Reason == request.ReasonRateLimit):
		outcome = dependency.NoCapacity
	case err != nil:
		outcome = dependency.CallFailed
	}
	e.ranks.learner.EndCall(time.Now(), tr.call.Route, outcome)
}

// countRequest counts a new request in the retry budget. The share of repeats is
// subtracted whether or not the request is known to be nested, because calls on routes
// that callers use too are never recognised.
func (k *ranks) countRequest(b *retry.Budget, percent int, slack float64, entries int) {
	now := time.Now()
	b.RequestRanked(now, percent, slack, entries, k.learner.RepeatShare(now))
}

// pickRanked chooses an instance that admits the class of the call. The refusal is set if
// all instances say that they do not. reports is the counter of q.ReportAge, which then
// holds the number of reports at the call of Pick that chose the instance.
func (e *Entry) pickRanked(q route.Query, call *request.Call, previous []retry.Attempt, snap *control.Snapshot, reports *int) (inst route.Instance, ok bool, ref *request.Refusal) {
	k := admittanceOf(call, snap, q.Now)
	wait := maxReturnTime
	q.Admits = func(name string) bool {
		admits, after := e.loads.admits(name, k, q.Now)
		if !admits {
			wait = min(wait, after)
		}
		return admits
	}
	if len(previous) > 0 {
		last := previous[len(previous)-1]
		// All instances may be refusing a part of their requests.
		q.AnyAdmitting = last.Outcome == request.NotRun && (last.Reason.IsSaturation() || last.Reason == request.ReasonShed)
		inst, ok = snap.Table.Pick(q, &e.loads)
		return inst, ok, nil
	}
	if inst, ok = snap.Table.Pick(q, &e.loads); ok {
		return inst, true, nil
	}
	// An instance in a zone that is returning may have room.
	q.Rnd[0], *reports = 0, 0
	if inst, ok = snap.Table.Pick(q, &e.loads); ok {
		return inst, true, nil
	}
	q.Admits, q.Explanation = nil, nil
	if _, ok = snap.Table.Pick(q, &e.loads); !ok {
		return inst, false, nil
	}
	after := max(wait, minReturnTime)
	return inst, false, &request.Refusal{
		Outcome: request.NotRun, Reason: request.ReasonOverload,
		Detail:  fmt.Sprintf("no instance of upstream %s admits class %s", q.Upstream, call.Class),
		RetryAt: q.Now.Add(time.Duration(float64(after) * (1 + mathrand.Float64()))),
	}
}

// observeRanked takes what the answer of an instance, or its refusal, says about the
// route of the call. It returns the answer with the load report, also if the instance is
// the daemon's own one, whose refusals carry none.
func (e *Entry) observeRanked(call *request.Call, instance string, ans *request.Answer) *request.Answer {
	if e.ranks == nil {
		return ans
	}
	if r, ok := e.local.(reporter); ok && ans == nil && instance == e.name {
		ans = &request.Answer{Load: r.Report(call)}
	}
	if ans == nil || ans.Load.Limit <= 0 {
		return ans
	}
	now := time.Now()
	e.ranks.nested.observe(now, call.Route, instance, ans.Load.UpstreamsOnly)
	position := admission.Position(call.Class, e.view.Snapshot().ShedOrder(now))
	e.ranks.shares.Observe(now, call.Route, position, instance, ans.Load.Finishes)
	return ans
}

// admittance describes a request whose admission depends on its class.
type admittance struct {
	// position is the position of its class in the shed order.
	position int
	// precedes means that it goes before others of its class, so an instance that just
	// does not admit the class may admit it.
	precedes bool
}

func admittanceOf(call *request.Call, snap *control.Snapshot, now time.Time) admittance {
	return admittance{position: admission.Position(call.Class, snap.ShedOrder(now)), precedes: call.Nested || call.Returning}
}

// admits returns a function for route.Query that reports whether an instance may admit the
// call.
func (e *Entry) admits(call *request.Call, snap *control.Snapshot, now time.Time) func(instance string) bool {
	k := admittanceOf(call, snap, now)
	return func(instance string) bool {
		admits, _ := e.loads.admits(instance, k, now)
		return admits
	}
}

// admits reports whether an instance may admit a request: it says so in a valid report,
// or there is none. If not, wait is the time after which the requests that wait at the
// instance will have been granted.
func (l *loads) admits(name string, k admittance, now time.Time) (admits bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	in, ok := l.instances[name]
	if !ok || !now.Before(in.reportUntil) || k.position >= in.report.Admits || k.precedes && k.position+1 >= in.report.Admits {
		return true, 0
	}
	rate := in.report.Capacity
	if mean := in.report.Mean.Seconds(); rate == 0 && mean > 0 {
		rate = float64(in.report.Limit) / mean
	}
	if rate <= 0 {
		return false, minReturnTime
	}
	waiting := max(0, in.report.InFlight-in.report.Limit) + 1
	return false, time.Duration(math.Min(float64(waiting)/rate, maxReturnTime.Seconds()) * float64(time.Second))
}
