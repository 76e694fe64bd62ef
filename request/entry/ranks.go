package entry

import (
	"errors"
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/dependency"
	"github.com/kingcuppitch/kingcuppitch/request/retry"
)

// ranks is what an entry knows with WithCallRanks.
type ranks struct {
	learner *dependency.Learner
	nested  nestedRoutes
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
// the class of such a call to that of the runs that need it.
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
	return nil
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

// countRequest counts a new request in the retry budget.
func (k *ranks) countRequest(b *retry.Budget, call *request.Call, percent int, slack float64, entries int) {
	now, repeats := time.Now(), 0.0
	if call.Nested {
		repeats = k.learner.RepeatShare(now)
	}
	b.RequestRanked(now, percent, slack, entries, repeats)
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
	return ans
}
