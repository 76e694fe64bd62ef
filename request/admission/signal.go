package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// slowRatio times the baseline is slow.
	slowRatio = 4
	// window is the number of recent answers that are judged together.
	window = 16
	// windowAge bounds the age of the answers that are judged.
	windowAge = 10 * time.Second
	// routeWindow is the number of recent answers by which a route votes.
	routeWindow = 8
	// voteWait is how long the vote of a single route waits for another.
	voteWait = time.Second
	// minBad is the number of bad answers that a fall back needs at least, so
	// that a few slow answers after a quiet time do not suffice.
	minBad = 5
	// minRound is the least number of answers between two changes of the
	// limit; fewer do not give a usable median.
	minRound = 16
	// maxRound bounds the answers of a round that enter the median.
	maxRound = 64
	// warmedRatio of the latency at ColdSlots shows that the upstream has
	// become faster since. It is far enough from 1 not to be chance.
	warmedRatio = 0.95
	// warmedDoubling is the time in which the expected latency of a ramp
	// doubles again. The lowest of many noisy medians is too low, and without
	// a way back it would hold the limit down.
	warmedDoubling = 10 * time.Second
	// maxPace bounds the good rounds that a step up needs after setbacks.
	maxPace = 8
	// rampPause is the least time between two steps up of a cold upstream. Fast
	// answers alone would fill the limit within a few tens of milliseconds.
	rampPause = 100 * time.Millisecond
	// slowPause replaces rampPause while the answers are slower than expected
	// or no baseline tells what to expect. An upstream that merely slows down
	// under load, or whose workload has changed, reaches the full limit all the
	// same.
	slowPause = 400 * time.Millisecond
	// elevatedRatio times the baseline of the warm upstream at ColdSlots means
	// that it is probably still cold.
	elevatedRatio = 2
	// holdRatio and overRatio compare the latency of a round with that at
	// ColdSlots. Beyond its capacity the latency of an upstream grows in
	// proportion to the concurrency: at holdRatio the limit rises slowly only,
	// at overRatio it steps back.
	holdRatio = 1.25
	overRatio = 1.5
	// coldAtMost is the time after which an upstream with little traffic no
	// longer counts as cold when its answers show no sign of it.
	coldAtMost = time.Minute
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

// answer is what a window remembers of one answer.
type answer struct {
	at time.Time
	// bad means slow, failed or shed.
	bad, failed bool
}

// ratio is the logarithm of a latency relative to the expected one.
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
	recent [routeWindow]answer
	n      int
}

// since counts the recent answers since the given time.
func (rt *route) since(t time.Time) (answers, bad int) {
	for _, a := range rt.recent[:min(rt.n, routeWindow)] {
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
func (rt *route) elevated(warmed float64) bool {
	return rt.ramp.median.value+warmed > rt.base.median.value+math.Log(elevatedRatio)
}

// signal judges the answers of the upstream.
type signal struct {
	cold bool
	// era counts the fall backs. Answers to requests granted in an earlier era
	// say nothing about the present limit.
	era    uint64
	fellAt time.Time
	// steppedAt is the time of the last step up, roundAt that of the end of
	// the last round.
	steppedAt, roundAt time.Time
	routes             map[string]*route

	recent [window]answer
	n      int // answers of this era, of which recent holds the last
	bad    int // bad answers in recent
	// badSince is when most of the recent answers became bad; zero if they
	// are not.
	badSince time.Time

	// The current round: latencies relative to the expected ones, and counts.
	ratios          []ratio
	successes       int
	sheds, failures int
	// calm counts the good rounds in a row, of which a step up needs pace.
	calm, pace int
	// warmed is the logarithm of the factor by which the latencies of this
	// ramp have fallen below those measured at ColdSlots.
	warmed float64
	// service is the smoothed time of an answer in seconds.
	service float64
}

// fall starts a new ramp.
func (s *signal) fall(now time.Time) {
	s.era++
	s.cold = true
	s.fellAt, s.roundAt = now, now
	s.n, s.bad, s.badSince = 0, 0, time.Time{}
	s.warmed, s.calm = 0, 0
	for _, rt := range s.routes {
		rt.ramp, rt.n = estimate{}, 0
	}
	s.startRound()
}

func (s *signal) startRound() {
	s.ratios = s.ratios[:0]
	s.successes, s.sheds, s.failures = 0, 0, 0
}

// observe judges an answer and returns the change of the limit.
func (s *signal) observe(now time.Time, e *entry, r Result, limit int, limits Limits) step {
	if s.fellAt.IsZero() {
		s.fellAt, s.roundAt = now, now
	}
	s.pace = max(s.pace, 1)
	if s.service == 0 {
		s.service = r.Took.Seconds()
	}
	s.service += (r.Took.Seconds() - s.service) / 32
	if e.era != s.era {
		return stepNone
	}
	rt := s.route(r.Route, now)
	x := math.Log(max(r.Took, time.Microsecond).Seconds())
	failed := r.Failed || r.Shed
	bad := failed || s.isSlow(rt, x)
	switch {
	case failed:
	case !r.Expired:
		s.learn(now, rt, e, x, limits)
	case !bad:
		return stepNone
	}
	a := answer{now, bad, failed}
	s.remember(a)
	rt.recent[rt.n%routeWindow] = a
	rt.n++
	if s.looksCold(now) {
		if s.cold && limit > limits.ColdSlots {
			// The ramp itself overran the upstream.
			s.pace = min(s.pace*4, maxPace)
		}
		s.fall(now)
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
func (s *signal) isSlow(rt *route, x float64) bool {
	if !s.cold {
		return rt.base.isSlow(x)
	}
	return (rt.base.isSlow(x) || rt.base.n == 0) && rt.ramp.isSlow(x-s.warmed)
}

// learn updates the baselines with a latency in logarithmic seconds.
func (s *signal) learn(now time.Time, rt *route, e *entry, x float64, limits Limits) {
	if !s.cold {
		rt.base.add(now, x, false)
		s.addRatio(rt, x-rt.base.median.value)
		return
	}
	if e.load <= limits.ColdSlots {
		rt.ramp.add(now, x, true)
	}
	if rt.ramp.n > 0 {
		s.addRatio(rt, x-rt.ramp.median.value-s.warmed)
	}
}

func (s *signal) addRatio(rt *route, x float64) {
	if len(s.ratios) < maxRound {
		s.ratios = append(s.ratios, ratio{rt, x})
	}
}

func (s *signal) remember(a answer) {
	i := s.n % window
	if s.n >= window && s.recent[i].bad {
		s.bad--
	}
	s.recent[i] = a
	s.n++
	if a.bad {
		s.bad++
	}
}

// looksCold reports whether most of the recent answers failed or were shed, or
// most of them were bad on most of the routes. A single slow route is no sign
// of a cold start.
func (s *signal) looksCold(now time.Time) bool {
	if n := min(s.n, window); s.bad < minBad || 2*s.bad <= n {
		s.badSince = time.Time{}
		return false
	}
	answers, bad, failed := 0, 0, 0
	oldest := now
	for _, a := range s.recent[:min(s.n, window)] {
		if now.Sub(a.at) > windowAge {
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
	if bad < minBad || 2*bad <= answers {
		s.badSince = time.Time{}
		return false
	}
	if failed >= minBad && 2*failed > answers {
		return true
	}
	if s.badSince.IsZero() {
		s.badSince = oldest
	}
	// A route that is no longer served keeps its last good answers, which must
	// not count against a fall back for ever.
	from := now.Add(-voteWait)
	if s.badSince.After(from) {
		from = s.badSince
	}
	votes, against, silent := 0, 0, 0
	for _, rt := range s.routes {
		switch answers, bad := rt.since(from); {
		case answers == 0 && now.Sub(rt.seen) < windowAge:
			silent++
		case answers == 0:
		case 2*bad > answers:
			votes++
		default:
			against++
		}
	}
	if votes+against == 1 && silent > 0 && now.Sub(s.badSince) < voteWait {
		return false
	}
	return votes > against
}

// endRound ends the round when it has enough answers and returns the change of
// the limit.
func (s *signal) endRound(now time.Time, limit int, limits Limits) step {
	if s.sheds >= 2 && 10*s.sheds >= s.successes {
		// The upstream itself says that the limit is too high.
		s.setBack()
		return stepDown
	}
	if s.successes < max(limit, minRound) {
		return stepNone
	}
	slower := s.roundRatio()
	troubled := s.sheds > 0 || 3*s.failures > s.successes
	s.startRound()
	if s.cold && slower < math.Log(warmedRatio) {
		s.warmed += slower / 2
	} else {
		s.warmed = min(0, s.warmed+math.Ln2*now.Sub(s.roundAt).Seconds()/warmedDoubling.Seconds())
	}
	s.roundAt = now
	ramping := limit > limits.ColdSlots && (s.cold || limit < limits.Slots)
	if ramping && slower > math.Log(overRatio) {
		// The expectation gives way a little, so that one that is too low does
		// not take the limit down all the way.
		s.warmed = min(0, s.warmed+slower/4)
		s.setBack()
		return stepDown
	}
	if troubled {
		s.calm = 0
		return stepNone
	}
	s.calm++
	pause := time.Duration(0)
	if s.cold {
		pause = rampPause
		if warm, cold := s.compare(); warm <= cold {
			pause = slowPause
		}
	}
	if ramping && slower > math.Log(holdRatio) {
		pause = slowPause
	}
	if s.calm < s.pace || now.Sub(s.steppedAt) < pause {
		return stepNone
	}
	s.calm, s.steppedAt = 0, now
	s.pace = max(s.pace/2, 1)
	return stepUp
}

func (s *signal) setBack() {
	s.pace = min(s.pace*2, maxPace)
	s.calm = 0
	s.startRound()
}

// compare counts the routes that answer at ColdSlots about as fast as the warm
// upstream did, and those that do not. Routes without both baselines are left
// out.
func (s *signal) compare() (warm, cold int) {
	for _, rt := range s.routes {
		switch {
		case !rt.base.settled() || !rt.ramp.settled():
		case rt.elevated(s.warmed):
			cold++
		default:
			warm++
		}
	}
	return warm, cold
}

// settle ends the cold start after a good round with the full limit, or when an
// upstream with little traffic showed no sign of it for a while.
func (s *signal) settle(now time.Time, full bool) {
	if !s.cold {
		return
	}
	if !full {
		if now.Sub(s.fellAt) < coldAtMost {
			return
		}
		if warm, cold := s.compare(); cold > warm {
			return
		}
	}
	s.cold = false
	s.pace = 1
	for _, rt := range s.routes {
		// A whole ramp above the old baseline means that the workload has
		// changed.
		if rt.ramp.settled() && rt.base.n > 0 && rt.elevated(s.warmed) {
			rt.base = rt.ramp
			rt.base.shift(s.warmed)
		}
	}
	s.startRound()
}

func (s *signal) route(name string, now time.Time) *route {
	rt := s.routes[name]
	if rt == nil {
		if s.routes == nil {
			s.routes = make(map[string]*route)
		}
		if len(s.routes) >= maxRoutes {
			s.forgetOldest()
		}
		rt = &route{}
		s.routes[name] = rt
	}
	rt.seen = now
	return rt
}

func (s *signal) forgetOldest() {
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
func (s *signal) roundRatio() float64 {
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
