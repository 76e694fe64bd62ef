package entry

import (
	"context"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"strconv"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
	"github.com/kingcuppitch/kingcuppitch/request/returns"
	"github.com/kingcuppitch/kingcuppitch/request/route"
	"github.com/kingcuppitch/kingcuppitch/version/config"
)

// WithReturnTimes makes the entry schedule when refused callers may return.
func WithReturnTimes() Option { return func(e *Entry) { e.returns = new(returns.Schedule) } }

// runScheduled sends the call to instances as runAttempts does. With a schedule it
// recognises callers that return, refuses new ones for whom there is no room beside
// them, and promises a time to those that were refused for lack of capacity.
func (e *Entry) runScheduled(ctx context.Context, call *request.Call, upstream string, tr *requestTrace) (*request.Answer, error) {
	if e.returns == nil {
		return e.runAttempts(ctx, call, upstream, tr)
	}
	key := returnKey(call, upstream, e.view.Snapshot().ShedOrder(time.Now()))
	caller, identified := returns.Caller{}, false
	if e.returns.Promises() > 0 {
		caller, identified = callerOf(call), true
	}
	arrival := e.returns.Arrive(time.Now(), key, caller)
	if arrival.Limited && e.knowsFree(upstream, time.Now()) {
		arrival.Limited = false
	}
	if arrival.Early {
		e.metrics.Add("returns.early", 1)
	}
	call.Returning = arrival.Returning
	var ans *request.Answer
	var err error
	if arrival.Limited {
		e.metrics.Add("returns.limited", 1)
		err = refusePromised(upstream)
	} else {
		ans, err = e.runAttempts(ctx, call, upstream, tr)
	}
	now := time.Now()
	var ref *request.Refusal
	switch {
	case err == nil:
		e.returns.Served(now, key, caller, arrival)
		if arrival.Returning {
			e.metrics.Add("returns.kept", 1)
		}
		return ans, nil
	case !errors.As(err, &ref) || ref.Reason == request.ReasonCancelled:
		return nil, err
	case arrival.Returning:
		e.metrics.Add("returns.broken", 1)
	}
	if !e.lacksCapacity(ref, call, upstream, now) {
		return nil, err
	}
	if !identified {
		caller = callerOf(call)
	}
	at, promised := e.returns.Refuse(now, key, caller, returns.Refusal{
		Arrival: arrival, Deadline: e.callerDeadline(call, tr.start),
		WholeSeconds: !e.headers.FractionalRetryTime, Rnd: mathrand.Float64(),
	})
	if promised {
		e.metrics.Add("returns.promised", 1)
	}
	scheduled := *ref
	scheduled.RetryAt = at
	return nil, &scheduled
}

// isDue reports whether a caller was promised that it may return now.
func (e *Entry) isDue(call *request.Call, now time.Time) bool {
	return e.returns != nil && e.returns.Promises() > 0 && e.returns.Due(now, callerOf(call))
}

// knowsFree reports whether an instance of the upstream has a free slot by its last valid
// report. The schedule does not see reports.
func (e *Entry) knowsFree(upstream string, now time.Time) bool {
	table := e.view.Snapshot().Table
	_, ok := table.Pick(route.Query{
		Upstream: upstream, Version: table.InForce(upstream), Leaving: e.leavers.contains, Now: now, AvailableOnly: true,
		Admits: func(name string) bool { return e.loads.reportsFree(name, now) },
	}, &e.loads)
	return ok
}

// refusePromised refuses a new caller for whom there is no room.
func refusePromised(upstream string) *request.Refusal {
	return &request.Refusal{
		Outcome: request.NotRun, Reason: request.ReasonOverload,
		Detail: fmt.Sprintf("the capacity of upstream %s is promised to callers that return", upstream),
	}
}

// returnKey returns the key of a call in the schedule.
func returnKey(call *request.Call, upstream string, shed []string) returns.Key {
	return returns.Key{Upstream: upstream, Class: call.Class, Rank: admission.Position(call.Class, shed), Nested: call.Nested}
}

func callerOf(call *request.Call) returns.Caller {
	return returns.Caller{Fingerprint: call.Fingerprint(), Tenant: call.Tenant}
}

// lacksCapacity reports whether a call was refused, and has not run, because the
// instances of its upstream have no room.
func (e *Entry) lacksCapacity(ref *request.Refusal, call *request.Call, upstream string, now time.Time) bool {
	if ref.Outcome != request.NotRun {
		return false
	}
	switch ref.Reason {
	case request.ReasonOverload, request.ReasonRateLimit, request.ReasonShed:
		return true
	case request.ReasonNoInstance:
		// If there is an instance in service, all are full.
		table := e.view.Snapshot().Table
		_, ok := table.Pick(route.Query{Upstream: upstream, Version: table.InForce(upstream), Leaving: e.leavers.contains, Now: now}, &e.loads)
		return ok
	}
	return false
}

// callerDeadline returns the time until which the caller waits for an answer to a
// request that arrived at the given time. The deadline of the call may be earlier,
// because the route bounds it.
func (e *Entry) callerDeadline(call *request.Call, arrived time.Time) time.Time {
	ms, err := strconv.ParseInt(call.Header.Get(e.headers.Timeout), 10, 64)
	if err != nil || ms <= 0 {
		return call.Deadline
	}
	return arrived.Add(time.Duration(min(ms, config.MaxTimeout.Milliseconds())) * time.Millisecond)
}
