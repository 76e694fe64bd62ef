// Package retry decides whether a call is attempted again and until when an
// attempt may take.
//
// Next and AttemptDeadline are pure: time and random values are arguments. The
// Budget bounds the retries of one entry. It earns a share of the requests. When
// most requests need a retry it earns less and a retry costs more, because a
// retry hardly helps in an outage, and the retries of the entries along a chain
// of calls multiply.
//
// # Usage
//
//	budget.Request(now, preset.RetryPercent, retry.Share(preset.RetrySlack, entries))
//	var attempts []retry.Attempt
//	for {
//		d := retry.Next(&call, attempts, &budget, time.Now(), rand.Float64())
//		if !d.Retry {
//			break // answer with the last attempt
//		}
//		wait(d.NotBefore)
//		instance := choose(func(name string) bool { return !retry.Tried(attempts, name) })
//		deadline := retry.AttemptDeadline(&call, len(attempts), time.Now())
//		attempts = append(attempts, try(instance, &call, deadline))
//	}
package retry

import (
	"slices"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// MaxAttempts is the number of attempts of a call, the first included.
const MaxAttempts = 3

const (
	// overloadPause is the longest pause before the second attempt after a
	// refusal for overload; it doubles for the third.
	overloadPause = 25 * time.Millisecond
	// reserveShare of the remaining time is kept for another attempt. Each
	// level of a chain of calls takes its part from the time of the levels
	// below: with an eighth, 14 levels leave 15 percent to the last, with a
	// half they would leave nothing.
	reserveShare = 8
	// maxReserve bounds the time kept for another attempt.
	maxReserve = time.Second
)

// Attempt is the result of one attempt that did not succeed.
type Attempt struct {
	Outcome  request.Outcome
	Reason   request.Reason
	Instance string
}

// Tried reports whether one of the attempts went to the instance.
func Tried(attempts []Attempt, instance string) bool {
	return slices.ContainsFunc(attempts, func(a Attempt) bool { return a.Instance == instance })
}

// Decision says whether another attempt is allowed.
type Decision struct {
	Retry bool
	// NotBefore is the earliest time of the attempt.
	NotBefore time.Time
}

// Next says whether another attempt is allowed after the attempts made so far,
// and not before when. It takes a token from b for each attempt after the
// first. rnd is a random number in [0, 1). The caller chooses an instance that
// is not among the attempts.
func Next(call *request.Call, attempts []Attempt, b *Budget, now time.Time, rnd float64) Decision {
	if !now.Before(call.Deadline) || len(attempts) >= most(call) || reached(attempts) >= bound(call) {
		return Decision{}
	}
	if len(attempts) == 0 {
		return Decision{Retry: true, NotBefore: now}
	}
	lost := 0
	for _, a := range attempts {
		if !mayRepeat(call, a) {
			return Decision{}
		}
		if a.Reason == request.ReasonConnection {
			lost++
		}
	}
	// A request that lost two connections may have crashed two instances. Two
	// crashes are enough for quarantine, so it does not get a third.
	if lost >= 2 {
		return Decision{}
	}
	d := Decision{Retry: true, NotBefore: now}
	last := attempts[len(attempts)-1]
	if call.Attempts > 0 && !last.Reached() {
		// No upstream had any work with it.
		return d
	}
	if last.Reason == request.ReasonOverload {
		pause := overloadPause << (len(attempts) - 1)
		d.NotBefore = now.Add(time.Duration(rnd * float64(pause)))
		if !d.NotBefore.Before(call.Deadline) {
			return Decision{}
		}
	}
	if isStale(last) && b.takeStale(now) {
		return d
	}
	if !b.Take(now) {
		return Decision{}
	}
	return d
}

// freeTries is the number of refusals by hosts beside the attempts that a route
// itself allows.
const freeTries = 2

// bound returns the number of upstream instances that the call may reach.
func bound(call *request.Call) int {
	if call.Attempts > 0 {
		return call.Attempts
	}
	return MaxAttempts
}

// most returns the number of attempts of the call, the refusals by hosts
// included.
func most(call *request.Call) int {
	if call.Attempts > 0 {
		return call.Attempts + freeTries
	}
	return MaxAttempts
}

func reached(attempts []Attempt) (n int) {
	for _, a := range attempts {
		if a.Reached() {
			n++
		}
	}
	return n
}

// Reached reports whether an upstream instance may have received the request,
// also if it refused to run it.
func (a Attempt) Reached() bool {
	return a.Outcome != request.NotRun || a.Reason == request.ReasonShed || a.Reason == request.ReasonWrongInstance
}

// mayRepeat reports whether the call may be sent to another instance after the
// attempt.
func mayRepeat(call *request.Call, a Attempt) bool {
	switch a.Outcome {
	case request.NotRun:
	case request.Unknown:
		if !call.Idempotent {
			return false
		}
	default:
		return false
	}
	switch a.Reason {
	case request.ReasonNoRoute, request.ReasonNoInstance, request.ReasonQuarantined,
		request.ReasonTooLarge, request.ReasonMalformed,
		request.ReasonKeyInUse, request.ReasonLogOut, request.ReasonKeyExpired,
		request.ReasonInternalRoute:
		// Every instance would refuse for the same reason. ReasonDeadline is not
		// among them: an attempt has less time than the call.
		return false
	}
	return true
}

// isStale reports whether the entry chose an instance that had just gone out
// of service.
func isStale(a Attempt) bool {
	if a.Outcome != request.NotRun {
		return false
	}
	switch a.Reason {
	case request.ReasonLeaving, request.ReasonZoneOut, request.ReasonNotReady, request.ReasonWrongVersion:
		return true
	}
	return false
}

// objectiveShare is the number of objectives that the first attempt of an
// idempotent request may take: the slowest of a hundred answers of a healthy
// instance are within it, and another instance can still answer in time.
const objectiveShare = 2

// AttemptDeadline splits the remaining time so that a silent instance leaves
// time for another attempt of an idempotent request. attempt is the number of
// attempts made before this one.
func AttemptDeadline(call *request.Call, attempt int, now time.Time) time.Time {
	left := call.Deadline.Sub(now)
	if !call.Idempotent || attempt >= bound(call)-1 || left <= 0 {
		return call.Deadline
	}
	reserve := min(left/reserveShare, maxReserve)
	if attempt > 0 {
		// What is left after a silent instance is short already.
		reserve = left / 2
	}
	if until := call.Objective.Sub(now); !call.Objective.IsZero() && until > 0 {
		reserve = max(reserve, left-max(objectiveShare*until, left/2))
	}
	return call.Deadline.Add(-reserve)
}
