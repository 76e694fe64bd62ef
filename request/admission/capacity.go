package admission

import (
	"math"
	"time"
)

const (
	// maxCapacityRoutes bounds the routes with a usual time.
	maxCapacityRoutes = 256
	// usualTimeWeight is the least weight of an answer in the usual time of its route.
	// Work times differ by a factor of ten, and an error of the usual time looks like a
	// slowdown.
	usualTimeWeight = 1.0 / 128
	// minUsualAnswers is the number of answers from which a usual time, or the slowdown
	// at the middle level, is compared with others.
	minUsualAnswers = 24
	// middleWeight is the least weight of an answer in the slowdown at the middle level.
	middleWeight = 1.0 / 64
	// shiftWeight is the least weight of an answer in the common slowdown, and
	// shiftDecayTime the time in which one that no answer confirms decays to 1/e. When
	// the load grows, answers that began below half of the slots are slow as well; with
	// 1.5 s, fewer losses were found within 2 s.
	shiftWeight    = 1.0 / 24
	shiftDecayTime = 300 * time.Millisecond
	// heldDecayTime replaces shiftDecayTime after a trial has shown that the slowdown is
	// not due to the number of requests. At full load no answer can confirm it; with a
	// longer time, an error of it hides a loss for as long.
	heldDecayTime = 4 * time.Second
	// loadedWeight is the weight of an answer in the recent slowdown above half.
	loadedWeight = 1.0 / 24
	// spreadWeight is the weight of an answer in the variance of the log times.
	spreadWeight = 1.0 / 64
	// initialSpread is the variance of the log times that is assumed at first, that of
	// a log-normal distribution with sigma 0.8, and minSpread the least one that is used.
	initialSpread, minSpread = 0.64, 0.25
	// maxDeviation bounds the effect of one answer on all estimates, as a log ratio.
	// Work times have a tail.
	maxDeviation = 2.0
	// halfMargin and middleMargin are the logarithms by which the throughput must be
	// lower than that at half of the slots, and at the middle level, to count as a loss.
	// A gain of 5 percent over half of the slots is not worth the longer times. At the
	// middle level the margin covers the error of its slowdown; with 0.13, more limits
	// were cut while all answers were slow alike.
	halfMargin, middleMargin = -0.05, 0.2
	// minLoss bounds the slowdown that counts as a loss from below: close to half of the
	// slots it would be less than the error of the usual times.
	minLoss = 0.35
	// goodMiddle is by how much the throughput at the middle level must exceed that at
	// half to be preferred, as a logarithm.
	goodMiddle = 0.15
	// cutEvidence is the log likelihood ratio from which a lower limit is tried. Noise
	// may cut 5 of 100 healthy instances within 30 s; with 3.6 it cut at most 13 of 400.
	// For repeatPeriod after a change, half of it suffices, since a second loss is more
	// likely.
	cutEvidence  = 3.6
	repeatPeriod = 5 * time.Second
	// minCutSpan is the least time during which the evidence must have grown. A pause of
	// 0.6 s is shorter.
	minCutSpan = 700 * time.Millisecond
	// firstDwell is the time at a lower limit before a higher one is tried, and
	// rejectedDwell the same after a trial that failed. The second one bounds how late an
	// end of the slowdown is noticed; each trial costs throughput for up to a second.
	firstDwell    = 500 * time.Millisecond
	rejectedDwell = 900 * time.Millisecond
	// idleDwell replaces the condition that the limit is reached: without load, there is
	// no reason to keep a lower limit for a long time.
	idleDwell = 10 * time.Second
	// maxUnknownTime is how long an instance may have more than half of its slots taken,
	// without a break, before a lower limit is tried because no usual time is known.
	maxUnknownTime = 30 * time.Second
	// minLoadedAnswers and minDwellAnswers are the numbers of answers that a lower limit
	// is kept for at least: those to requests that took the last slot, and those that
	// show the common slowdown.
	minLoadedAnswers = 4
	minDwellAnswers  = 8
	// A trial of a higher limit fails at rejectTrial and succeeds at acceptTrial, the log
	// likelihood ratios of a loss. After trialAnswers it succeeds below undecidedTrial: a
	// loss has been seen before.
	rejectTrial, acceptTrial, undecidedTrial = 1.0, -2.0, -1.0
	trialAnswers                             = 16
	// timeWeight is the least weight of an answer in the mean time from which the
	// capacity is computed, and minTimeAnswers the number of answers that it takes, and
	// that the mean counts for after a change of the limit.
	timeWeight     = 1.0 / 32
	minTimeAnswers = 8
)

// observation is one answer of the instance.
type observation struct {
	at, grantedAt time.Time
	route         string
	// inFlight is the number of requests in flight at the grant, this one included. It
	// does not depend on the work of the request, unlike the mean number during it.
	inFlight int
	// atAnswer is the number of requests in flight at the answer, this one included.
	atAnswer int
	took     time.Duration
	// expired means that the request took longer.
	expired bool
}

// capacity learns how many concurrent requests an instance sustains without a loss of
// throughput, and how many it then answers per second. It is a pure decision: state
// and observation in, limit out.
//
// The limit is one of three levels: all announced slots, half of them, and the middle.
// Finer steps differ by less than the noise of the answers of two seconds. The times of
// a route are compared with its own usual time, measured below half of the slots. A
// request at level n shows a loss if its time exceeds the usual one by more than about
// the factor n/half, for then n requests yield no more answers per second than half of
// the slots. A cumulative sum of log likelihood ratios decides. After a cut, higher
// levels are tried in turn. What slows down requests at all levels alike, such as calls
// to another upstream, is the common slowdown and no loss; it is measured below half of
// the slots and, while no request runs there, at the lower limit after a cut.
//
// The zero value has no slots.
type capacity struct {
	slots, limit int
	// half and middle are the lower levels.
	half, middle int
	routes       map[string]*usualTime
	spread       float64
	// shift is the common slowdown at half of the slots, as a log ratio, as of shiftAt.
	// While shiftHeld it decays slowly, since it was measured at a lower limit.
	shift     float64
	shiftAt   time.Time
	shiftHeld bool
	// middleSlowdown is the mean log slowdown between half and middle, and
	// loadedSlowdown the recent one above half.
	middleSlowdown, loadedSlowdown mean
	// evidence is the cumulative sum for a loss, which was zero until evidenceSince.
	evidence      float64
	evidenceSince time.Time

	// changedAt is the time of the last change of the limit, and dwell is how long a
	// lower limit is kept from then on.
	changedAt time.Time
	dwell     time.Duration
	// unknownSince is since when only requests above half, on routes without a usual
	// time, were answered; zero if others were.
	unknownSince time.Time
	// answersSince counts the answers to requests granted since the change: those above
	// the previous limit during a trial, those that show the common slowdown otherwise.
	// loadedSince counts those that took the last slot.
	answersSince, loadedSince int
	// trying means that the limit was raised from previous on trial, and trialEvidence is
	// the sum of the log likelihood ratios since.
	trying        bool
	previous      int
	trialEvidence float64
	// rejected is the limit of the last trial that failed.
	rejected int

	// seconds is the mean answer time.
	seconds mean
	// started is what peers told: answers per second; zero if nothing. What they know
	// is not about an instance that has restarted.
	started   float64
	restarted bool
}

// usualTime is the mean of the log times of a route below half of the slots.
type usualTime struct{ mean }

// mean is a moving average that starts as the plain mean.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(x, weight float64) {
	m.n++
	m.value += (x - m.value) * max(weight, 1/float64(m.n))
}

// setSlots sets the announced slots.
func (c *capacity) setSlots(n int) {
	if n == c.slots {
		return
	}
	*c = capacity{slots: n, limit: n, seconds: c.seconds, spread: c.spread, restarted: c.restarted}
	// The limit never falls below two requests at once, nor below half of the slots.
	c.half = min(n, max(2, (n+1)/2))
	c.middle = (c.half + n) / 2
}

// reset forgets an earlier incarnation of the instance.
func (c *capacity) reset() {
	n := c.slots
	*c = capacity{}
	c.setSlots(n)
	c.restarted = true
}

// start sets what peers know about the instance. It has no effect once the instance has
// answered a few requests. Of several values the largest limit counts.
func (c *capacity) start(now time.Time, limit int, perSecond float64) {
	if c.restarted || c.seconds.n >= minTimeAnswers || limit <= 0 || perSecond <= 0 || c.slots == 0 {
		return
	}
	level := c.slots
	switch {
	case limit <= c.half:
		level = c.half
	case limit <= c.middle:
		level = c.middle
	}
	if c.started == 0 || level > c.limit {
		c.change(now, level, firstDwell)
		c.started = perSecond
	}
}

// perSecond returns the answers per second at the limit; zero if unknown.
func (c *capacity) perSecond() float64 {
	if c.seconds.n < minTimeAnswers {
		return c.started
	}
	return float64(c.limit) / c.seconds.value
}

// observe takes an answer into account and sets the limit.
func (c *capacity) observe(o observation) {
	if c.slots == 0 || o.inFlight <= 0 || o.took <= 0 {
		return
	}
	x := math.Log(o.took.Seconds())
	rt := c.usual(o.route)
	if o.expired && x < rt.value {
		// A deadline shorter than the usual time says nothing.
		return
	}
	c.seconds.add(o.took.Seconds(), timeWeight)
	current := !o.grantedAt.Before(c.changedAt)
	if current && o.inFlight >= c.limit {
		c.loadedSince++
	}
	switch {
	case o.inFlight <= c.half || rt.n >= minUsualAnswers:
		c.unknownSince = time.Time{}
	case c.unknownSince.IsZero():
		c.unknownSince = o.at
	}
	steady := !c.trying && (c.limit == c.slots || c.limit == c.half)
	switch {
	case o.inFlight <= c.half && (steady || rt.n < minUsualAnswers):
		c.observeUnloaded(o, rt, x, current)
	case o.inFlight <= c.half:
		// A request that starts unloaded during a trial runs beside more others later.
	case rt.n >= minUsualAnswers && current:
		c.observeLoaded(o, x-rt.value)
	}
	c.decide(o.at)
}

func (c *capacity) usual(route string) *usualTime {
	rt, ok := c.routes[route]
	if !ok {
		if c.routes == nil || len(c.routes) >= maxCapacityRoutes {
			c.routes = make(map[string]*usualTime)
		}
		rt = new(usualTime)
		c.routes[route] = rt
	}
	return rt
}

// observeUnloaded learns from a request that runs with at most half of the slots taken.
// The one that took the last of these counts only once the limit is there: otherwise
// more requests join it.
func (c *capacity) observeUnloaded(o observation, rt *usualTime, x float64, current bool) {
	if o.inFlight == c.half && c.limit != c.half {
		return
	}
	if rt.n == 0 {
		rt.add(x, 1)
		return
	}
	r := clamp(x - rt.value)
	if o.inFlight < c.half || rt.n < minUsualAnswers {
		rt.add(rt.value+r, usualTimeWeight)
	}
	if rt.n < minUsualAnswers {
		return
	}
	if c.spread == 0 {
		c.spread = initialSpread
	}
	c.spread += (r*r - c.spread) * spreadWeight
	if c.limit == c.slots {
		c.shift += (r - c.shift) * shiftWeight
		c.shiftAt = o.at
	} else if current {
		c.observeShift(o.at, r)
	}
}

// observeShift learns the common slowdown after a cut, from the log slowdown r of an
// answer at the new limit.
func (c *capacity) observeShift(now time.Time, r float64) {
	c.answersSince++
	if c.answersSince <= c.limit {
		// The first answers after a change belong to the shortest requests.
		return
	}
	c.shift += (r - c.shift) * max(shiftWeight, 1/float64(c.answersSince-c.limit+1))
	c.shiftAt = now
}

// commonSlowdown returns the slowdown at all levels, as a log ratio. It is at least
// zero, so that its noise never looks like a loss.
func (c *capacity) commonSlowdown(now time.Time) float64 {
	if c.shift <= 0 {
		return 0
	}
	decay := shiftDecayTime
	if c.shiftHeld {
		decay = heldDecayTime
	}
	return c.shift * math.Exp(-max(0, now.Sub(c.shiftAt).Seconds())/decay.Seconds())
}

// observeLoaded learns from a request that took a slot beyond half of them; r
// is its log time relative to the usual one.
func (c *capacity) observeLoaded(o observation, r float64) {
	if c.limit == c.middle && !c.trying && o.inFlight <= c.middle {
		c.observeShift(o.at, clamp(r-max(0, c.middleSlowdown.value)))
	}
	r = clamp(r - c.commonSlowdown(o.at))
	c.loadedSlowdown.add(r, loadedWeight)
	if c.shiftHeld && c.loadedSlowdown.value < 0 {
		// Concurrency never makes an instance faster: the common slowdown has ended.
		c.shift = max(0, c.shift+c.loadedSlowdown.value*loadedWeight)
	}
	if o.inFlight <= c.middle {
		c.middleSlowdown.add(r, middleWeight)
	}
	e := c.likelihood(o.inFlight, r)
	if c.trying {
		if o.inFlight <= c.previous {
			return
		}
		c.answersSince++
		if c.answersSince > c.limit {
			c.trialEvidence += e
		}
		return
	}
	// When the load falls, the last answers of the busy time belong to the longest
	// requests.
	if c.limit == c.half || o.atAnswer < c.middle {
		return
	}
	if c.evidence == 0 {
		c.evidenceSince = o.at
	}
	c.evidence = min(max(0, c.evidence+e), 2*cutEvidence)
}

// likelihood returns the log likelihood ratio of a loss of throughput at level n, for an
// answer slower than usual by the log ratio r.
func (c *capacity) likelihood(n int, r float64) float64 {
	loss := math.Log(float64(n)/float64(c.half)) + halfMargin
	if n > c.middle && c.middle > c.half && c.middleSlowdown.n >= minUsualAnswers {
		loss = min(loss, max(0, c.middleSlowdown.value)+math.Log(float64(n)/float64(c.middle))+middleMargin)
	}
	loss = max(loss, minLoss)
	return loss * (r - loss) / max(c.spread, minSpread)
}

// decide changes the limit if the evidence suffices.
func (c *capacity) decide(now time.Time) {
	threshold, span := cutEvidence, minCutSpan
	if !c.changedAt.IsZero() && now.Sub(c.changedAt) < repeatPeriod {
		threshold, span = threshold/2, span/2
	}
	switch {
	case c.trying:
		ended, failed := c.trialResult(now)
		switch {
		case !ended:
			return
		case failed:
			c.rejected = c.limit
			c.change(now, c.best(), rejectedDwell)
			return
		}
		// The next level may be tried at once.
		c.trying, c.answersSince, c.loadedSince, c.dwell = false, 0, 0, 0
		if c.limit == c.slots {
			c.shiftHeld, c.shiftAt = c.shift > 0, now
		}
	case c.evidence >= threshold && now.Sub(c.evidenceSince) >= span:
		c.change(now, c.best(), firstDwell)
		return
	case c.limit == c.slots && c.half < c.slots && !c.unknownSince.IsZero() && now.Sub(c.unknownSince) >= maxUnknownTime:
		// The few answers before belong to requests that ran beside many others.
		clear(c.routes)
		c.change(now, c.half, firstDwell)
		return
	}
	if c.limit >= c.slots || now.Sub(c.changedAt) < c.dwell {
		return
	}
	loaded := c.loadedSince >= minLoadedAnswers && c.answersSince >= c.limit+minDwellAnswers
	if !loaded && now.Sub(c.changedAt) < idleDwell {
		return
	}
	next := c.slots
	if c.limit < c.middle && c.rejected == c.slots {
		next = c.middle
	}
	previous := c.limit
	c.change(now, next, 0)
	c.trying, c.previous = true, previous
}

// trialResult reports whether the trial of a higher limit has ended and has failed.
func (c *capacity) trialResult(now time.Time) (ended, failed bool) {
	n := c.answersSince - c.limit
	switch {
	case c.trialEvidence >= rejectTrial:
		return true, true
	case c.trialEvidence <= acceptTrial:
		return true, false
	case n >= trialAnswers:
		return true, c.trialEvidence > undecidedTrial
	}
	// Without load, the higher limit does no harm.
	return now.Sub(c.changedAt) >= idleDwell, false
}

// best returns the level below the limit with the best throughput.
func (c *capacity) best() int {
	if c.middle < c.limit && c.middleSlowdown.n >= minUsualAnswers &&
		c.middleSlowdown.value+goodMiddle < math.Log(float64(c.middle)/float64(c.half)) {
		return c.middle
	}
	return c.half
}

// change sets the limit.
func (c *capacity) change(now time.Time, limit int, dwell time.Duration) {
	c.limit, c.changedAt, c.dwell = limit, now, dwell
	c.trying, c.trialEvidence, c.evidence = false, 0, 0
	c.answersSince, c.loadedSince = 0, 0
	c.shiftHeld, c.unknownSince = true, time.Time{}
	c.seconds.n = min(c.seconds.n, minTimeAnswers)
}

func clamp(r float64) float64 { return max(-maxDeviation, min(r, maxDeviation)) }
