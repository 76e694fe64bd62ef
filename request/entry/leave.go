package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// departure says until when an entry that is about to stop passes requests on.
type departure struct {
	// lastStart is until when a request may arrive, and answerBy when those that have no
	// answer are answered.
	lastStart, answerBy time.Time
}

// expectedTimes is the time that is left for an answer, as a multiple of the mean answer
// time of its route.
const expectedTimes = 2

// Leave prepares the stop of the entry. Requests that arrive after lastStart, or whose
// answers are not expected before answerBy, are refused as not run, so that callers send
// them elsewhere. All that have no answer at answerBy are answered then.
func (e *Entry) Leave(lastStart, answerBy time.Time) {
	e.departure.Store(&departure{lastStart, answerBy})
	time.AfterFunc(time.Until(answerBy), e.end)
}

// limitByDeparture refuses a call that cannot end before the entry stops, and bounds the
// deadline of all others.
func (e *Entry) limitByDeparture(call *request.Call, now time.Time) error {
	d := e.departure.Load()
	switch {
	case d == nil:
		return nil
	case now.After(d.lastStart), now.Add(expectedTimes * e.loads.mean(call.Route)).After(d.answerBy):
		return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonLeaving, Detail: fmt.Sprintf("daemon %s is about to stop", e.name), RetryAt: now}
	case d.answerBy.Before(call.Deadline):
		call.Deadline = d.answerBy
	}
	return nil
}

// endedByDeparture replaces the error of a request that ended because the entry stops, and
// not because its caller gave up.
func (e *Entry) endedByDeparture(caller context.Context, err error) error {
	var ref *request.Refusal
	if caller.Err() != nil || e.ended.Err() == nil || !errors.As(err, &ref) || ref.Reason != request.ReasonCancelled {
		return err
	}
	ended := *ref
	ended.Reason, ended.Detail, ended.RetryAt = request.ReasonLeaving, fmt.Sprintf("daemon %s stops", e.name), time.Now()
	return &ended
}
