package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// expectedTimes is the time that an answer needs, as a multiple of the mean answer time of
// its route.
const expectedTimes = 3

// Leave prepares the stop of the entry. Requests whose answers are not expected before
// answerBy are refused as not run, so that callers send them elsewhere. All others have
// their answers by then.
func (e *Entry) Leave(answerBy time.Time) {
	e.answerBy.Store(&answerBy)
	time.AfterFunc(time.Until(answerBy), e.end)
}

// limitByDeparture refuses a call that cannot end before the entry stops, and bounds the
// deadline of all others.
func (e *Entry) limitByDeparture(call *request.Call, now time.Time) error {
	answerBy := e.answerBy.Load()
	switch {
	case answerBy == nil:
		return nil
	case now.Add(expectedTimes * e.loads.mean(call.Route)).After(*answerBy):
		return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonLeaving, Detail: fmt.Sprintf("daemon %s is about to stop", e.name), RetryAt: now}
	case answerBy.Before(call.Deadline):
		call.Deadline = *answerBy
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
