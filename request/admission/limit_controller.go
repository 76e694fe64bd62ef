package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// slowRatio is the multiple of the baseline above which an answer is slow.
	slowRatio = 4
	// windowAnswers is the number of recent answers that are evaluated together.
	windowAnswers = 16
	// maxAnswerAge bounds the age of the answers that are evaluated.
	maxAnswerAge = 10 * time.Second
	// routeWindowAnswers is the number of recent answers by which a route votes.
	routeWindowAnswers = 8
	// voteWait is how long the vote of a single route waits for the vote of
	// another.
	voteWait = time.Second
	// minBadAnswers is the least number of bad answers that reset the limit to
	// ColdSlots, so that a few slow answers after an idle time do not suffice.
	minBadAnswers = 5
	// minRoundAnswers is the least number of answers between two changes of the
	// limit; fewer do not give a usable median.
	minRoundAnswers = 16
	// maxRoundAnswers bounds the answers of a round that enter the median.
	maxRoundAnswers = 64
	// fasterRatio is the ratio to the latency at ColdSlots below which the
	// upstream counts as having become faster since. It is far enough below 1 to
	// exclude noise.
	fasterRatio = 0.95
	// shiftDoublingTime is the time in which the lowered expected latency of a
	// ramp doubles, at most up to the latency at ColdSlots. The minimum of many
	// noisy medians is too low, and without this recovery it would hold the limit
	// down.
	shiftDoublingTime = 10 * time.Second
	// maxRoundsPerStep bounds the good rounds that a step up needs after steps
	// down.
	maxRoundsPerStep = 8
	// rampStepInterval is the least time between two steps up during cold start.
	// Without it, fast answers would raise the limit to Slots within a few tens
	// of milliseconds.
	rampStepInterval = 100 * time.Millisecond
	// slowStepInterval replaces rampStepInterval while the answers are slower
	// than expected or there is no baseline. An upstream that merely slows down
	// under load, or whose workload has changed, still reaches the full limit.
	slowStepInterval = 400 * time.Millisecond
	// elevatedRatio is the multiple of the warm baseline above which the latency
	// at ColdSlots shows that the upstream is probably still cold.
	elevatedRatio = 2
	// slowGrowthRatio and stepDownRatio are ratios of the latency of a round to
	// that at ColdSlots. Beyond the capacity of an upstream, its latency grows in
	// proportion to the concurrency: above slowGrowthRatio the limit rises slowly
	// only, above stepDownRatio it steps down.
	slowGrowthRatio = 1.25
	stepDownRatio   = 1.5
	// maxColdTime is the time after which an upstream with little traffic no
	// longer counts as cold when its answers show no sign of it.
	maxColdTime = time.Minute
	// maxRoutes bounds the routes with a baseline.
	maxRoutes = 1024
)

// step is a change of the limit.
type step uint8

const (
	stepNone step = iota
	stepUp
	stepDown
	stepCold
)

// answer is the record of one answer in a window.
type answer struct {
	at time.Time
	// bad means slow, failed or shed.
	bad, failed bool
}

// ratio is the logarithm of the ratio of a latency to the expected one.
type ratio struct {
	route *route
	log   float64
}

// route holds the latency baselines of a route.
type route struct {
	// base is the latency of the warm upstream.
	base estimate
	// ramp is the latency at no more than ColdSlots in the current ramp.
	ramp estimate
	seen time.Time
	// recent holds the last answers, n of them in all.
	recent [routeWindowAnswers]answer
	n      int
}

// since counts the recent answers since the given time, and the bad ones among
// them.
func (rt *route) since(t time.Time) (answers, bad int) {
	for _, a := range rt.recent[:min(rt.n, routeWindowAnswers)] {
		if a.at.Before(t) {
			continue
		}
		answers++
		if a.bad {
			bad++
		}
	}
	return answers, bad
}

// elevated reports whether the route answers more slowly at ColdSlots than it
// did when the upstream was warm.
func (rt *route) elevated(latencyShift float64) bool {
	return rt.ramp.median.value+latencyShift > rt.base.median.value+math.Log(elevatedRatio)
}

// limitController decides on the steps of the limit from the answers of the
// upstream, and detects cold starts.
type limitController struct {
	cold bool
	// generation counts the resets to ColdSlots. Answers to requests granted in
	// an earlier generation are no evidence about the present limit.
	generation    uint64
	rampStartedAt time.Time
	// steppedAt is the time of the last step up, roundAt that of the end of
	// the last round.
	steppedAt, roundAt time.Time
	routes             map[string]*route

	recent [windowAnswers]answer
	n      int // answers of this generation, of which recent holds the last
	bad    int // bad answers in recent
	// badSince is when most of the recent answers became bad; zero if they
	// are not.
	badSince time.Time

	// The current round: latencies relative to the expected ones, and counts.
	ratios          []ratio
	successes       int
	sheds, failures int
	// goodRounds counts the good rounds in a row, of which a step up needs roundsPerStep.
	goodRounds, roundsPerStep int
	// latencyShift is the logarithm of the factor by which the latencies of this
	// ramp have fallen below those at ColdSlots. It is at most zero.
	latencyShift float64
	// meanSeconds is the moving average of answer times.
	meanSeconds float64
}

// startRamp starts a cold start and discards the answers and ramp baselines of
// the previous ramp.
func (s *limitController) startRamp(now time.Time) {
	s.generation++
	s.cold = true
	s.rampStartedAt, s.roundAt = now, now
	s.n, s.bad, s.badSince = 0, 0, time.Time{}
	s.latencyShift, s.goodRounds = 0, 0
	for _, rt := range s.routes {
		rt.ramp, rt.n = estimate{}, 0
	}
	s.startRound()
}

func (s *limitController) startRound() {
	s.ratios = s.ratios[:0]
	s.successes, s.sheds, s.failures = 0, 0, 0
}

// observe evaluates an answer and returns the change of the limit.
func (s *limitController) observe(now time.Time, req *slotRequest, r Result, limit int, limits Limits) step {
	if s.rampStartedAt.IsZero() {
		s.rampStartedAt, s.roundAt = now, now
	}
	s.roundsPerStep = max(s.roundsPerStep, 1)
	if s.meanSeconds == 0 {
		s.meanSeconds = r.Took.Seconds()
	}
	s.meanSeconds += (r.Took.Seconds() - s.meanSeconds) / 32
	if req.generation != s.generation {
		return stepNone
	}
	rt := s.route(r.Route, now)
	x := math.Log(max(r.Took, time.Microsecond).Seconds())
	failed := r.Failed || r.Shed
	bad := failed || s.isSlow(rt, x)
	switch {
	case failed:
	case !r.Expired:
		s.learn(now, rt, req, x, limits)
	case !bad:
		return stepNone
	}
	a := answer{now, bad, failed}
	s.recordAnswer(a)
	rt.recent[rt.n%routeWindowAnswers] = a
	rt.n++
	if s.looksCold(now) {
		if s.cold && limit > limits.ColdSlots {
			// The ramp itself overloaded the upstream.
			s.roundsPerStep = min(s.roundsPerStep*4, maxRoundsPerStep)
		}
		s.startRamp(now)
		return stepCold
	}
	switch {
	case r.Shed:
		s.sheds++
	case r.Failed || r.Expired:
		s.failures++
	default:
		s.successes++
	}
	return s.endRound(now, limit, limits)
}

// isSlow reports whether a latency in logarithmic seconds is far above the
// baseline. A cold upstream may be slow even at ColdSlots, so in a ramp it must
// be far above both baselines.
func (s *limitController) isSlow(rt *route, x float64) bool {
	if !s.cold {
		return rt.base.isSlow(x)
	}
	return (rt.base.isSlow(x) || rt.base.n == 0) && rt.ramp.isSlow(x-s.latencyShift)
}

// learn updates the baselines with a latency in logarithmic seconds.
func (s *limitController) learn(now time.Time, rt *route, req *slotRequest, x float64, limits Limits) {
	if !s.cold {
		rt.base.add(now, x, false)
		s.addRatio(rt, x-rt.base.median.value)
		return
	}
	if req.load <= limits.ColdSlots {
		rt.ramp.add(now, x, true)
	}
	if rt.ramp.n > 0 {
		s.addRatio(rt, x-rt.ramp.median.value-s.latencyShift)
	}
}

func (s *limitController) addRatio(rt *route, x float64) {
	if len(s.ratios) < maxRoundAnswers {
		s.ratios = append(s.ratios, ratio{rt, x})
	}
}

func (s *limitController) recordAnswer(a answer) {
	i := s.n % windowAnswers
	if s.n >= windowAnswers && s.recent[i].bad {
		s.bad--
	}
	s.recent[i] = a
	s.n++
	if a.bad {
		s.bad++
	}
}

// looksCold reports whether most of the recent answers failed or were shed, or
// most of them were bad and most of the routes agree. A single slow route is no
// sign of a cold start.
func (s *limitController) looksCold(now time.Time) bool {
	if n := min(s.n, windowAnswers); s.bad < minBadAnswers || 2*s.bad <= n {
		s.badSince = time.Time{}
		return false
	}
	answers, bad, failed := 0, 0, 0
	oldest := now
	for _, a := range s.recent[:min(s.n, windowAnswers)] {
		if now.Sub(a.at) > maxAnswerAge {
			continue
		}
		if a.at.Before(oldest) {
			oldest = a.at
		}
		answers++
		if a.bad {
			bad++
		}
		if a.failed {
			failed++
		}
	}
	if bad < minBadAnswers || 2*bad <= answers {
		s.badSince = time.Time{}
		return false
	}
	if failed >= minBadAnswers && 2*failed > answers {
		return true
	}
	if s.badSince.IsZero() {
		s.badSince = oldest
	}
	// A route without traffic keeps its last good answers, which must not count
	// against a reset indefinitely.
	from := now.Add(-voteWait)
	if s.badSince.After(from) {
		from = s.badSince
	}
	votes, against, undecided := 0, 0, 0
	for _, rt := range s.routes {
		switch answers, bad := rt.since(from); {
		case answers == 0 && now.Sub(rt.seen) < maxAnswerAge:
			undecided++
		case answers == 0:
		case 2*bad > answers:
			votes++
		default:
			against++
		}
	}
	if votes+against == 1 && undecided > 0 && now.Sub(s.badSince) < voteWait {
		return false
	}
	return votes > against
}

// endRound ends the round when it has enough answers and returns the change of
// the limit.
func (s *limitController) endRound(now time.Time, limit int, limits Limits) step {
	if s.sheds >= 2 && 10*s.sheds >= s.successes {
		// The upstream itself says that the limit is too high.
		s.backOff()
		return stepDown
	}
	if s.successes < max(limit, minRoundAnswers) {
		return stepNone
	}
	logRatio := s.roundRatio()
	unhealthy := s.sheds > 0 || 3*s.failures > s.successes
	s.startRound()
	if s.cold && logRatio < math.Log(fasterRatio) {
		s.latencyShift += logRatio / 2
	} else {
		s.latencyShift = min(0, s.latencyShift+math.Ln2*now.Sub(s.roundAt).Seconds()/shiftDoublingTime.Seconds())
	}
	s.roundAt = now
	ramping := limit > limits.ColdSlots && (s.cold || limit < limits.Slots)
	if ramping && logRatio > math.Log(stepDownRatio) {
		// Raise the expected latency a little, so that one that is too low does
		// not take the limit down all the way.
		s.latencyShift = min(0, s.latencyShift+logRatio/4)
		s.backOff()
		return stepDown
	}
	if unhealthy {
		s.goodRounds = 0
		return stepNone
	}
	s.goodRounds++
	interval := time.Duration(0)
	if s.cold {
		interval = rampStepInterval
		if warm, cold := s.compareRoutes(); warm <= cold {
			interval = slowStepInterval
		}
	}
	if ramping && logRatio > math.Log(slowGrowthRatio) {
		interval = slowStepInterval
	}
	if s.goodRounds < s.roundsPerStep || now.Sub(s.steppedAt) < interval {
		return stepNone
	}
	s.goodRounds, s.steppedAt = 0, now
	s.roundsPerStep = max(s.roundsPerStep/2, 1)
	return stepUp
}

func (s *limitController) backOff() {
	s.roundsPerStep = min(s.roundsPerStep*2, maxRoundsPerStep)
	s.goodRounds = 0
	s.startRound()
}

// compareRoutes counts the routes that answer at ColdSlots about as fast as the
// warm upstream did, and those that are slower. Routes without both baselines are
// not counted.
func (s *limitController) compareRoutes() (warm, cold int) {
	for _, rt := range s.routes {
		switch {
		case !rt.base.usable() || !rt.ramp.usable():
		case rt.elevated(s.latencyShift):
			cold++
		default:
			warm++
		}
	}
	return warm, cold
}

// maybeEndColdStart ends the cold start after a good round with the full limit,
// or when an upstream with little traffic has shown no sign of it for
// maxColdTime.
func (s *limitController) maybeEndColdStart(now time.Time, full bool) {
	if !s.cold {
		return
	}
	if !full {
		if now.Sub(s.rampStartedAt) < maxColdTime {
			return
		}
		if warm, cold := s.compareRoutes(); cold > warm {
			return
		}
	}
	s.cold = false
	s.roundsPerStep = 1
	for _, rt := range s.routes {
		// A latency above the old baseline during the whole ramp means that the
		// workload has changed.
		if rt.ramp.usable() && rt.base.n > 0 && rt.elevated(s.latencyShift) {
			rt.base = rt.ramp
			rt.base.shift(s.latencyShift)
		}
	}
	s.startRound()
}

func (s *limitController) route(name string, now time.Time) *route {
	rt := s.routes[name]
	if rt == nil {
		if s.routes == nil {
			s.routes = make(map[string]*route)
		}
		if len(s.routes) >= maxRoutes {
			s.evictOldestRoute()
		}
		rt = &route{}
		s.routes[name] = rt
	}
	rt.seen = now
	return rt
}

func (s *limitController) evictOldestRoute() {
	var oldest string
	for name, rt := range s.routes {
		o := s.routes[oldest]
		if o == nil || rt.seen.Before(o.seen) || rt.seen.Equal(o.seen) && name < oldest {
			oldest = name
		}
	}
	delete(s.routes, oldest)
}

// roundRatio returns the logarithm by which the answers of the round were
// slower than expected: the lower of the median over all answers and the median
// over the routes, so that a slow route with much traffic does not hold the
// limit down.
func (s *limitController) roundRatio() float64 {
	all := make([]float64, 0, len(s.ratios))
	byRoute := make(map[*route][]float64)
	for _, r := range s.ratios {
		all = append(all, r.log)
		byRoute[r.route] = append(byRoute[r.route], r.log)
	}
	var medians []float64
	for _, list := range byRoute {
		if len(list) > 1 {
			medians = append(medians, median(list))
		}
	}
	if len(medians) < 2 {
		return median(all)
	}
	return min(median(all), median(medians))
}

func median(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[len(x)/2]
}
