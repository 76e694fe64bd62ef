// Package dependency finds out which calls to other upstreams the runs of an upstream
// need, and which share of the runs can finish.
//
// A daemon sees the requests that run at the upstream beside it and the calls that this
// upstream makes, but not which run makes which call. Learner infers the calls per run of
// each route from the runs that are in flight when calls arrive, and the share of runs
// that can finish from the outcomes of calls and runs. Hosts report that share, and
// Shares holds what an entry concludes from the reports.
//
// Both are pure: the time and random numbers are arguments.
//
// # Usage
//
//	var l dependency.Learner // beside the calling upstream
//	l.StartRun(now, call.Route, call.Class, call.Repeat)
//	class := l.MostUrgent(now, nested.Route, nested.Class, shed)
//	l.StartCall(now, nested.Route)
//	l.EndCall(now, nested.Route, dependency.NoCapacity)
//	l.EndRun(now, call.Route, call.Class, dependency.RunFailed)
//	load.Finishes = l.Finishes(now, call.Route)
//
//	var s dependency.Shares // at an entry
//	s.Observe(now, route, position, instance, load.Finishes)
//	if !s.Admit(now, route, rand.Float64()) {
//		return refusal
//	}
package dependency

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// maxRoutes bounds the routes of the upstream whose runs are told apart, and
	// maxCalled the routes that it calls; further ones are ignored.
	maxRoutes = 8
	maxCalled = 32
	// learningTime is the time constant with which runs and calls are forgotten: after
	// ten seconds, less than a twentieth of them counts.
	learningTime = 3 * time.Second
	// repeatTime is the time constant of the share of repeated runs. It is short,
	// because calls of repeated runs count against the retry budget from the start.
	repeatTime = 2 * time.Second
	// minCalls and minStarted are the numbers of calls and runs, after decay, from which
	// a route is known to make calls, and minCallsPerRun is the least number per run. The
	// estimate for a route without calls exceeded it in one of 100 cases in a model where
	// another route with as many runs made one call each.
	minCalls       = 5
	minStarted     = 0.2
	minCallsPerRun = 0.3
	// lingering is how long after the end of its last run an upstream may still make
	// calls, such as those of runs whose caller gave up.
	lingering = time.Second
	// bucketTime and buckets give the two seconds whose outcomes are counted.
	bucketTime = 250 * time.Millisecond
	buckets    = 8
	// minRuns is the number of runs in that time from which failures count.
	minRuns = 50
	// minFailing is the share of failures, and certainty the number of standard
	// deviations of the two-sided 99% interval, from which runs are limited.
	minFailing = 0.1
	certainty  = 2.576
	// baseTime is the time constant of the share of runs that fail although their calls
	// succeed, and quietFailing the share of failed calls up to which it is learned.
	baseTime     = 10 * time.Second
	quietFailing = 0.02
)

// CallOutcome says how a call that the upstream made ended.
type CallOutcome uint8

// The outcomes of calls.
const (
	// CallSucceeded means that the call was answered without an error.
	CallSucceeded CallOutcome = iota
	// NoCapacity means that the call was refused because no instance of the called
	// upstream had room for its class.
	NoCapacity
	// CallFailed means any other failure, such as a refusal by the called upstream
	// itself.
	CallFailed
)

// RunOutcome says how a run ended.
type RunOutcome uint8

// The outcomes of runs.
const (
	// RunSucceeded means that the upstream answered without an error.
	RunSucceeded RunOutcome = iota
	// RunFailed means that it answered with an error or not at all.
	RunFailed
	// RunExcluded means that the run says nothing, because the upstream did not run the
	// request or the caller gave up.
	RunExcluded
)

// Learner learns the calls per run of each route of one upstream. The zero value is
// ready for use; it is safe for concurrent use.
type Learner struct {
	mu     sync.Mutex
	at     time.Time
	runs   []*runs
	called []*called
	// both holds the integrals of the products of the numbers of runs in flight of two
	// routes, in seconds, which decay.
	both [maxRoutes][maxRoutes]float64
	// inFlight counts all runs; lastEnd is the end of the last one.
	inFlight int
	lastEnd  time.Time
	// started and repeated are decaying counts of runs.
	started, repeated float64
	repeatAt          time.Time
}

// runs are the runs of one route.
type runs struct {
	route    string
	inFlight int
	// byClass counts the runs in flight by class.
	byClass map[string]int
	// started is a decaying count.
	started float64
	// exposure is the decaying integral of inFlight, in seconds.
	exposure float64
	ended    window
	failed   window
	// base is the share of runs that fail although their calls succeed.
	base   float64
	baseAt time.Time
	// finishes is the last result of Finishes, which is valid until finishesUntil.
	finishes      float64
	finishesUntil time.Time
}

// called are the calls to one route.
type called struct {
	route string
	// withRuns holds, by route of the upstream, the decaying sum of its runs in flight
	// over the calls at their arrival, and calls the decaying count of calls.
	withRuns [maxRoutes]float64
	calls    float64
	// total, noCapacity and failed count the calls that ended.
	total, noCapacity, failed window
	// rates holds the calls per second that one run in flight of each route makes, as of
	// ratesAt.
	rates   [maxRoutes]float64
	ratesAt time.Time
}

// window counts events in the last buckets*bucketTime.
type window struct {
	n    [buckets]int
	last int64
}

func bucketOf(now time.Time) int64 { return now.UnixNano() / int64(bucketTime) }

// advance drops the buckets that have expired.
func (w *window) advance(now time.Time) {
	b := bucketOf(now)
	if b <= w.last-buckets || b >= w.last+buckets {
		// All buckets have expired, or the clock was set.
		w.n, w.last = [buckets]int{}, b
		return
	}
	// Goroutines may read the clock in another order than they count, so b may also be
	// a little before the last bucket.
	for ; w.last < b; w.last++ {
		w.n[(w.last+1)%buckets] = 0
	}
}

func (w *window) add(now time.Time) {
	w.advance(now)
	w.n[w.last%buckets]++
}

func (w *window) sum(now time.Time) (sum int) {
	w.advance(now)
	for _, n := range w.n {
		sum += n
	}
	return sum
}

// advance decays all counts and adds the time since the last event. The caller holds mu.
func (l *Learner) advance(now time.Time) {
	dt := now.Sub(l.at).Seconds()
	if l.at.IsZero() || dt <= 0 {
		if l.at.IsZero() {
			l.at = now
		}
		return
	}
	l.at = now
	decay := math.Exp(-dt / learningTime.Seconds())
	for i, r := range l.runs {
		r.started *= decay
		r.exposure = r.exposure*decay + float64(r.inFlight)*dt
		for j, s := range l.runs {
			l.both[i][j] = l.both[i][j]*decay + float64(r.inFlight*s.inFlight)*dt
		}
	}
	for _, c := range l.called {
		c.calls *= decay
		for i := range l.runs {
			c.withRuns[i] *= decay
		}
	}
}

// find returns the runs of a route, or nil.
func (l *Learner) find(route string) *runs {
	for _, r := range l.runs {
		if r.route == route {
			return r
		}
	}
	return nil
}

func (l *Learner) findCalled(route string) *called {
	for _, c := range l.called {
		if c.route == route {
			return c
		}
	}
	return nil
}

// forgotten is the count, after decay, below which a route makes room for another one.
const forgotten = 0.01

// add returns the runs of a route, which replace those of a forgotten one if there are
// too many, or nil.
func (l *Learner) add(route string) *runs {
	if r := l.find(route); r != nil {
		return r
	}
	fresh := &runs{route: route, byClass: make(map[string]int)}
	if len(l.runs) < maxRoutes {
		l.runs = append(l.runs, fresh)
		return fresh
	}
	for i, r := range l.runs {
		if r.inFlight == 0 && r.started < forgotten {
			l.runs[i] = fresh
			for j := range l.runs {
				l.both[i][j], l.both[j][i] = 0, 0
			}
			for _, c := range l.called {
				c.withRuns[i], c.rates[i] = 0, 0
			}
			return fresh
		}
	}
	return nil
}

func (l *Learner) addCalled(route string) *called {
	if c := l.findCalled(route); c != nil {
		return c
	}
	fresh := &called{route: route}
	if len(l.called) < maxCalled {
		l.called = append(l.called, fresh)
		return fresh
	}
	for i, c := range l.called {
		if c.calls < forgotten {
			l.called[i] = fresh
			return fresh
		}
	}
	return nil
}

// StartRun counts a request that the upstream begins to run.
func (l *Learner) StartRun(now time.Time, route, class string, repeat bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.inFlight++
	l.decayRepeats(now)
	l.started++
	if repeat {
		l.repeated++
	}
	if r := l.add(route); r != nil {
		r.inFlight++
		r.byClass[class]++
		r.started++
	}
}

// EndRun counts the end of a run.
func (l *Learner) EndRun(now time.Time, route, class string, outcome RunOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.inFlight--
	l.lastEnd = now
	r := l.find(route)
	if r == nil || r.byClass[class] == 0 {
		return // there were too many routes when it began
	}
	r.inFlight--
	if r.byClass[class]--; r.byClass[class] == 0 {
		delete(r.byClass, class)
	}
	if outcome == RunExcluded {
		return
	}
	r.ended.add(now)
	if outcome == RunFailed {
		r.failed.add(now)
	}
}

// StartCall counts a call that the upstream makes.
func (l *Learner) StartCall(now time.Time, route string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	c := l.addCalled(route)
	if c == nil {
		return
	}
	c.calls++
	for i, r := range l.runs {
		c.withRuns[i] += float64(r.inFlight)
	}
}

// EndCall counts the end of a call that the upstream made.
func (l *Learner) EndCall(now time.Time, route string, outcome CallOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.findCalled(route)
	if c == nil {
		return
	}
	c.total.add(now)
	switch outcome {
	case NoCapacity:
		c.noCapacity.add(now)
	case CallFailed:
		c.failed.add(now)
	}
}

// Running reports whether the upstream may be making calls: it runs a request, or did
// until recently.
func (l *Learner) Running(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight > 0 || !l.lastEnd.IsZero() && now.Before(l.lastEnd.Add(lingering))
}

func (l *Learner) decayRepeats(now time.Time) {
	if dt := now.Sub(l.repeatAt).Seconds(); dt > 0 && !l.repeatAt.IsZero() {
		decay := math.Exp(-dt / repeatTime.Seconds())
		l.started *= decay
		l.repeated *= decay
	}
	l.repeatAt = now
}

// RepeatShare returns the share of the recent runs that were repeats.
func (l *Learner) RepeatShare(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decayRepeats(now)
	return l.repeated / max(1, l.started)
}

// CallsPerRun returns how many calls to a route a run of a route of the upstream makes;
// zero if it is not known to make any.
func (l *Learner) CallsPerRun(now time.Time, route, calledRoute string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	c := l.findCalled(calledRoute)
	if c == nil {
		return 0
	}
	for i, r := range l.runs {
		if r.route == route {
			return l.callsPerRun(now, c, i)
		}
	}
	return 0
}

func (l *Learner) callsPerRun(now time.Time, c *called, i int) float64 {
	r := l.runs[i]
	if c.calls < minCalls || r.started < minStarted {
		return 0
	}
	l.updateRates(now, c)
	n := c.rates[i] * r.exposure / r.started
	if n < minCallsPerRun {
		return 0
	}
	return n
}

// updateRates estimates the calls per second that one run in flight of each route makes.
// If these rates were right and constant, the expected sum of the runs in flight of a
// route over all calls would be the sum over the routes of rate times integral of the
// product of their runs in flight. It solves these equations by coordinate descent, with
// no rate below zero.
func (l *Learner) updateRates(now time.Time, c *called) {
	const rounds = 30
	if now.Before(c.ratesAt.Add(bucketTime)) && !now.Before(c.ratesAt) {
		return
	}
	c.ratesAt = now
	for range rounds {
		for i := range l.runs {
			if l.both[i][i] < forgotten {
				c.rates[i] = 0
				continue
			}
			rest := c.withRuns[i]
			for j := range l.runs {
				if j != i {
					rest -= l.both[i][j] * c.rates[j]
				}
			}
			c.rates[i] = max(0, rest/l.both[i][i])
		}
	}
}

// MostUrgent returns the most urgent class among the given one and those of the runs in
// flight of routes that are known to make calls to a route. shed lists the classes from
// the least urgent one; others are more urgent than these.
func (l *Learner) MostUrgent(now time.Time, calledRoute, class string, shed []string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	c := l.findCalled(calledRoute)
	if c == nil {
		return class
	}
	best := position(class, shed)
	for i, r := range l.runs {
		if r.inFlight == 0 || l.callsPerRun(now, c, i) == 0 {
			continue
		}
		for other := range r.byClass {
			if p := position(other, shed); p > best {
				class, best = other, p
			}
		}
	}
	return class
}

// position returns the position of a class in the shed order.
func position(class string, shed []string) int {
	if i := slices.Index(shed, class); i >= 0 {
		return i
	}
	return len(shed)
}

// Finishes returns the share of the runs of a route that can finish, because the
// upstreams that they call have the capacity; 1 if there is no evidence to the contrary.
func (l *Learner) Finishes(now time.Time, route string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, r := range l.runs {
		if r.route != route {
			continue
		}
		if now.Before(r.finishesUntil) && now.After(r.finishesUntil.Add(-bucketTime)) {
			return r.finishes
		}
		l.advance(now)
		r.finishes, r.finishesUntil = l.finishShare(now, i), now.Add(bucketTime)
		return r.finishes
	}
	return 1
}

func (l *Learner) finishShare(now time.Time, i int) float64 {
	r := l.runs[i]
	// What a run needs succeeds if all its calls do.
	enough, others := 1.0, 1.0
	for _, c := range l.called {
		total := float64(c.total.sum(now))
		if total == 0 {
			continue
		}
		if n := l.callsPerRun(now, c, i); n > 0 {
			enough *= math.Pow(1-float64(c.noCapacity.sum(now))/total, n)
			others *= math.Pow(1-float64(c.failed.sum(now))/total, n)
		}
	}
	noCapacity, other := 1-enough, 1-others
	ended := float64(r.ended.sum(now))
	if ended < minRuns {
		return 1
	}
	failing := float64(r.failed.sum(now)) / ended
	if noCapacity+other < quietFailing {
		r.learnBase(now, failing)
	}
	if noCapacity == 0 {
		return 1
	}
	// Failed calls that do not fail their runs are optional. Of the failures beyond the
	// usual ones, those for lack of capacity are counted.
	failing = max(0, failing-r.base) / (1 - r.base)
	failing = min(noCapacity, failing*noCapacity/(noCapacity+other))
	if lowerBound(failing, ended) < minFailing {
		return 1
	}
	return 1 - failing
}

func (r *runs) learnBase(now time.Time, failing float64) {
	weight := 1.0
	if !r.baseAt.IsZero() {
		weight = 1 - math.Exp(-max(0, now.Sub(r.baseAt).Seconds())/baseTime.Seconds())
	}
	// Runs that fail almost always leave nothing to compare.
	r.base, r.baseAt = min(0.9, r.base+weight*(failing-r.base)), now
}

// lowerBound returns the lower end of the Wilson interval of a share in n samples.
func lowerBound(share, n float64) float64 {
	const z = certainty
	mid := share + z*z/(2*n)
	return (mid - z*math.Sqrt(share*(1-share)/n+z*z/(4*n*n))) / (1 + z*z/n)
}
