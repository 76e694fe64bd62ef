package entry

import (
	"errors"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

const (
	// reportLifetime is how long a load report is valid; afterwards only the calls of
	// this entry count.
	reportLifetime = time.Second
	// minFailingTime and maxFailingTime bound the time during which an instance is
	// avoided after a failed call; it doubles with each consecutive failure.
	minFailingTime = 250 * time.Millisecond
	maxFailingTime = 5 * time.Second
	// saturatedPeriod is how long an instance counts as saturated after it
	// refused a call for overload.
	saturatedPeriod = 50 * time.Millisecond
	// saturatedRatio is the least load ratio of an instance in that period: its queue
	// is full.
	saturatedRatio = 2
	// failureWeight is the weight of one attempt in the share of failed attempts, and
	// failureDecay is the time in which that share decays to 1/e, so that an instance
	// that was avoided is tried again.
	failureWeight = 0.1
	failureDecay  = 3 * time.Second
	// idleRatio is the least load ratio of an instance with failed attempts, even if it
	// is idle, and failurePenalty is the factor by which failures raise the ratio: an
	// instance that fails a third of its requests counts as saturated when it is a
	// quarter full.
	idleRatio      = 0.05
	failurePenalty = 8
	// slownessPeriod is how long the slowness of an instance is valid; a slow instance
	// is tried again afterwards.
	slownessPeriod = 5 * time.Second
	// slownessWeight is the weight of a load report in the slowness of an instance; the
	// time in a report is already a mean. meanWeight is the weight of a report in the
	// mean of all instances.
	slownessWeight = 0.3
	meanWeight     = 1.0 / 32
	// maxRoutes bounds the routes whose means are kept, because routes are added and
	// removed over time.
	maxRoutes = 1024
	// defaultLimit is assumed for an instance that has not reported a limit.
	defaultLimit = 4
)

// loads tracks the load of each instance as reported in its answers; it implements
// route.Loads.
type loads struct {
	// probing is set before the first request if reports also arrive with the answers
	// to probes; see probed_loads.go.
	probing   bool
	mu        sync.Mutex
	instances map[string]*instanceLoad
	// means holds the mean answer time that instances report, by route.
	means map[string]time.Duration
}

type instanceLoad struct {
	report      request.Load
	reportUntil time.Time
	// ownInFlight counts the calls of this entry that are in flight.
	ownInFlight int
	probedInstance
	consecutiveFailures int
	failingUntil        time.Time
	saturatedUntil      time.Time
	// answeredAt is when the instance last answered a call of this entry.
	answeredAt time.Time
	// slowness is the smoothed ratio of the mean answer times of the instance to those
	// of all instances. It is valid until slownessUntil.
	slowness      float64
	slownessUntil time.Time
	// failureShare is the smoothed share of attempts that failed at the instance, as of
	// failureShareAt.
	failureShare   float64
	failureShareAt time.Time
	// known is the last capacity that the instance reported.
	known knownCapacity
}

// decayedFailureShare returns the share of failed attempts, which decays while no
// attempt is made.
func (in *instanceLoad) decayedFailureShare(now time.Time) float64 {
	if in.failureShare == 0 {
		return 0
	}
	return in.failureShare * math.Exp(-now.Sub(in.failureShareAt).Seconds()/failureDecay.Seconds())
}

func (in *instanceLoad) observe(now time.Time, failed bool) {
	f := in.decayedFailureShare(now)
	f -= f * failureWeight
	if failed {
		f += failureWeight
	}
	in.failureShare, in.failureShareAt = f, now
}

// avoid marks the instance as failing for a time that doubles with each consecutive
// failure.
func (in *instanceLoad) avoid(now time.Time) {
	in.failingUntil = now.Add(min(minFailingTime<<min(in.consecutiveFailures, 8), maxFailingTime))
	in.consecutiveFailures++
}

func (l *loads) get(name string) *instanceLoad {
	in, ok := l.instances[name]
	if !ok {
		if l.instances == nil {
			l.instances = make(map[string]*instanceLoad)
		}
		in = &instanceLoad{}
		l.instances[name] = in
	}
	return in
}

// Ratio implements route.Loads.
func (l *loads) Ratio(name string, now time.Time) (ratio float64, failing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	in, ok := l.instances[name]
	if !ok {
		return 0, false
	}
	limit := defaultLimit
	if in.report.Limit > 0 {
		limit = in.report.Limit
	}
	ratio = float64(l.inFlight(in, now)) / float64(limit)
	if now.Before(in.saturatedUntil) {
		ratio = max(ratio, saturatedRatio)
	}
	if f := in.decayedFailureShare(now); f > 0 {
		ratio = max(ratio, idleRatio) * (1 + failurePenalty*f)
	}
	return ratio, now.Before(in.failingUntil)
}

// inFlight returns how many requests an instance is known to have in flight.
func (l *loads) inFlight(in *instanceLoad, now time.Time) int {
	n := in.ownInFlight
	if now.Before(in.reportUntil) {
		n = max(n, in.report.InFlight)
		if l.probing {
			n = max(n, in.report.InFlight+in.startedSince)
		}
	}
	return n
}

// reportsFree reports whether an instance has a free slot by a valid report.
func (l *loads) reportsFree(name string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	in, ok := l.instances[name]
	return ok && now.Before(in.reportUntil) && l.inFlight(in, now) < in.report.Limit
}

// mean returns the mean answer time that instances report for a route; zero if none is
// known.
func (l *loads) mean(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.means[route]
}

// Slowness implements route.Loads.
func (l *loads) Slowness(name string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	in, ok := l.instances[name]
	if !ok {
		return 0
	}
	slowness := 1.0
	if now.Before(in.slownessUntil) {
		slowness = in.slowness
	}
	// Failed attempts are quick; what counts is the time until another instance
	// answers.
	return slowness * (1 + failurePenalty*in.decayedFailureShare(now))
}

// observeMean adds a mean answer time that the instance reported for a route.
func (l *loads) observeMean(in *instanceLoad, route string, mean time.Duration, now time.Time) {
	if mean <= 0 {
		return
	}
	if l.means == nil {
		l.means = make(map[string]time.Duration)
	}
	all, ok := l.means[route]
	if !ok {
		if len(l.means) >= maxRoutes {
			clear(l.means)
		}
		all = mean
	}
	all += time.Duration(meanWeight * float64(mean-all))
	l.means[route] = all
	ratio := float64(mean) / float64(max(all, time.Millisecond))
	if now.Before(in.slownessUntil) {
		ratio = in.slowness + slownessWeight*(ratio-in.slowness)
	}
	in.slowness, in.slownessUntil = ratio, now.Add(slownessPeriod)
}

// report returns the current load ratio, and the rate limit and the age of the load
// report on which it is based. An age of zero means that there is no report.
func (l *loads) report(name string, now time.Time) (ratio, rateLimit float64, age time.Duration) {
	ratio, _ = l.Ratio(name, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if in, ok := l.instances[name]; ok && !in.reportUntil.IsZero() {
		rateLimit, age = in.report.RateLimit, now.Sub(in.reportUntil.Add(-l.lifetime()))
	}
	return ratio, rateLimit, age
}

// answeredSince reports whether the instance has answered a call of this entry since
// the given time.
func (l *loads) answeredSince(name string, t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	in, ok := l.instances[name]
	return ok && in.answeredAt.After(t)
}

func (l *loads) start(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	in := l.get(name)
	in.ownInFlight++
	in.startedSince++
}

// finish ends a call that was counted by start, and takes the load report of its answer
// or counts its failure.
func (l *loads) finish(name, route string, ans *request.Answer, err error, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	in := l.get(name)
	in.ownInFlight--
	if ans != nil && ans.Load.Limit > 0 {
		in.report, in.reportUntil = ans.Load, now.Add(l.lifetime())
		in.reportedByAnswer()
		// The report includes the call that has just ended.
		in.report.InFlight = max(0, in.report.InFlight-1)
		l.observeMean(in, route, ans.Load.Mean, now)
	}
	if err == nil && ans.Rest != nil {
		// The end of the answer tells whether it failed; see finishStream.
		in.answeredAt = now
		return
	}
	var ref *request.Refusal
	if failed, known := classifyFailure(ans, err); known {
		in.observe(now, failed)
	}
	switch {
	case err == nil:
		in.consecutiveFailures, in.answeredAt = 0, now
	case errors.As(err, &ref) && ref.Reason.IsSaturation():
		in.saturatedUntil = now.Add(saturatedPeriod)
	case ref != nil && isInstanceFault(ref.Reason):
		in.avoid(now)
	}
}

// finishStream counts the end of a streamed answer. An answer that breaks off, or goes on
// until the deadline, has failed, however well it began.
func (l *loads) finishStream(name string, broken bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	in := l.get(name)
	in.observe(now, broken)
	if broken {
		in.avoid(now)
	} else {
		in.consecutiveFailures = 0
	}
}

// isInstanceFault reports whether a refusal for the given reason indicates a fault of
// the instance.
func isInstanceFault(r request.Reason) bool {
	switch r {
	case request.ReasonConnect, request.ReasonConnection, request.ReasonDeadline, request.ReasonNoAnswer,
		request.ReasonNotReady, request.ReasonLeaving, request.ReasonWrongVersion, request.ReasonZoneOut:
		return true
	}
	return false
}

// classifyFailure reports whether an attempt failed at the instance. known is false if
// the result says nothing about the instance.
func classifyFailure(ans *request.Answer, err error) (failed, known bool) {
	var ref *request.Refusal
	switch {
	case err == nil:
		return ans.Status >= http.StatusInternalServerError, true
	case !errors.As(err, &ref):
		return true, true
	}
	switch ref.Reason {
	case request.ReasonShed, request.ReasonNoAnswer, request.ReasonConnection, request.ReasonTruncated, request.ReasonMismatch:
		return true, true
	}
	return false, false
}
