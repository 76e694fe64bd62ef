package host

import (
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/dependency"
)

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
