// Package retry decides whether a call is attempted again and sets the deadline
// of each attempt.
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
	// overloadBackoff is the maximum backoff before the second attempt after a
	// refusal by a saturated instance; it doubles for the third attempt.
	overloadBackoff = 25 * time.Millisecond
	// reserveDivisor divides the remaining time to give the part that is reserved
	// for another attempt. Each level of a chain of calls takes its part from the
	// time of the levels below: with an eighth, 14 levels leave 15 percent to the
	// last; with a half they would leave almost nothing.
	reserveDivisor = 8
	// maxReserve bounds the time reserved for another attempt.
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

// Next reports whether another attempt is allowed after the attempts made so far,
// and when it may start. It takes tokens from b for attempts after the first,
// except after refusals without work at an upstream. rnd is a random number in
// [0, 1). The caller must choose an instance that is not among the attempts.
func Next(call *request.Call, attempts []Attempt, b *Budget, now time.Time, rnd float64) Decision {
	if !now.Before(call.Deadline) || len(attempts) >= maxAttempts(call) || countReached(attempts) >= maxReached(call) {
		return Decision{}
	}
	if len(attempts) == 0 {
		return Decision{Retry: true, NotBefore: now}
	}
	lostConnections := 0
	for _, a := range attempts {
		if !mayRepeat(call, a) {
			return Decision{}
		}
		if a.Reason == request.ReasonConnection {
			lostConnections++
		}
	}
	// A request that lost two connections may have crashed two instances. Two
	// crashes are enough for quarantine, so it does not get a third.
	if lostConnections >= 2 {
		return Decision{}
	}
	d := Decision{Retry: true, NotBefore: now}
	last := attempts[len(attempts)-1]
	if call.Attempts > 0 && !last.Reached() {
		// The refusal caused no work at an upstream, so it costs no token.
		return d
	}
	if last.Reason.IsSaturation() {
		pause := overloadBackoff << (len(attempts) - 1)
		d.NotBefore = now.Add(time.Duration(rnd * float64(pause)))
		if !d.NotBefore.Before(call.Deadline) {
			return Decision{}
		}
	}
	if isStale(last) && b.takeStale(now) {
		return d
	}
	if b.CallRanks {
		d.Retry = b.takeRanked(now, call.Nested, last.Reason == request.ReasonShed)
		return d
	}
	if !b.Take(now) {
		return Decision{}
	}
	return d
}

// extraAttempts is the number of attempts refused by hosts that are allowed in
// addition to the attempts of a route.
const extraAttempts = 2

// maxReached returns the maximum number of upstream instances that the call may
// reach.
func maxReached(call *request.Call) int {
	if call.Attempts > 0 {
		return call.Attempts
	}
	return MaxAttempts
}

// maxAttempts returns the maximum number of attempts of the call, including
// refusals by hosts.
func maxAttempts(call *request.Call) int {
	if call.Attempts > 0 {
		return call.Attempts + extraAttempts
	}
	return MaxAttempts
}

func countReached(attempts []Attempt) (n int) {
	for _, a := range attempts {
		if a.Reached() {
			n++
		}
	}
	return n
}

// IsRepeat reports whether a further attempt arrives at an instance although another one
// may have received the request before.
func IsRepeat(attempts []Attempt) bool { return countReached(attempts) > 0 }

// Reached reports whether an upstream instance may have received the request,
// even if it refused to run it.
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

// firstAttemptObjectives is the number of objectives that the first attempt of an
// idempotent request may take. It covers the 99th percentile of a healthy
// instance, and another instance can still answer before the deadline.
const firstAttemptObjectives = 2

// AttemptDeadline returns the deadline of an attempt. It splits the remaining
// time so that an unresponsive instance leaves time for another attempt of an
// idempotent request. attempt is the number of attempts made before this one.
func AttemptDeadline(call *request.Call, attempt int, now time.Time) time.Time {
	left := call.Deadline.Sub(now)
	if !call.Idempotent || attempt >= maxReached(call)-1 || left <= 0 {
		return call.Deadline
	}
	reserve := min(left/reserveDivisor, maxReserve)
	if attempt > 0 {
		// After an unresponsive instance, little time remains.
		reserve = left / 2
	}
	if until := call.Objective.Sub(now); !call.Objective.IsZero() && until > 0 {
		reserve = max(reserve, left-max(firstAttemptObjectives*until, left/2))
	}
	return call.Deadline.Add(-reserve)
}
