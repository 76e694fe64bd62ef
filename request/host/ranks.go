package host

import (
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/dependency"
)

// admitter is a limiter that knows which classes it would admit.
type admitter interface {
	Admits(now time.Time, shed []string) int
}

// Report returns the load report for a call; call may be nil.
func (h *Host) Report(call *request.Call) request.Load {
	load := h.load()
	if h.learner == nil {
		return load
	}
	now := time.Now()
	if a, ok := h.admitter(); ok {
		load.Admits = a.Admits(now, h.view.Snapshot().ShedOrder(now))
	}
	if call != nil {
		// The waiting time at this instance follows from it also after a refusal.
		load.Mean = h.meanTimes.of(call.Route)
		load.UpstreamsOnly = h.origins.mayMark(call.Route)
		load.Finishes = h.learner.Finishes(now, call.Route)
	}
	return load
}

// admitter returns the limiter, if it knows which classes it admits.
func (h *Host) admitter() (admitter, bool) {
	limiter := Limiter(h.limiter)
	if n, ok := limiter.(noRateLimiter); ok {
		limiter = n.Limiter
	}
	a, ok := limiter.(admitter)
	return a, ok
}

func (h *Host) startRun(call *request.Call) {
	if h.learner != nil {
		h.learner.StartRun(time.Now(), call.Route, call.Class, call.Repeat)
	}
}

// endRun reports the end of a run to the learner.
func (uc *upstreamCall) endRun(now time.Time) {
	if uc.host.learner == nil {
		return
	}
	outcome := dependency.RunSucceeded
	switch {
	case uc.cancelled || uc.result.Shed || !uc.answered && !uc.result.Expired && !uc.lost:
		outcome = dependency.RunExcluded
	case uc.result.Failed || uc.result.Expired:
		outcome = dependency.RunFailed
	}
	uc.host.learner.EndRun(now, uc.call.Route, uc.call.Class, outcome)
}
