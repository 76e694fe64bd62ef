package move

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"golang.org/x/sync/errgroup"
)

var moves = flag.Int("moves", 200, "number of random moves")

// randomScenario returns a scenario with a good or a bad version, and with
// disturbances that the version does not cause.
func randomScenario(rng *rand.Rand, bad bool) *scenario {
	between := func(lo, hi float64) float64 { return lo + rng.Float64()*(hi-lo) }
	logBetween := func(lo, hi float64) float64 { return math.Exp(between(math.Log(lo), math.Log(hi))) }
	likely := func(p float64) bool { return rng.Float64() < p }
	s := &scenario{faultAt: -1, faultRoute: -1}
	s.MoveSeconds, s.CanaryPercent = 120+rng.IntN(360), 5+rng.IntN(16)
	s.OldInstances, s.NewInstances = 3+rng.IntN(6), 2+rng.IntN(7)
	rate := logBetween(1, 250)
	for i := range 1 + rng.IntN(4) {
		s.Routes = append(s.Routes, fmt.Sprint("route-", i))
		s.rate = append(s.rate, rate*between(0.1, 1))
	}
	s.base = profile{errors: between(0, 0.02), median: logBetween(5, 80), sigma: between(0.3, 0.9), tail: between(0, 0.01), tailFactor: between(2, 8)}
	s.disturb = func(int, int, int, bool, *profile) {}
	during := func(length float64, in func(second, route, group int, isNew bool, m *profile)) {
		from := int(between(0, float64(s.MoveSeconds)*0.8))
		to, next := from+int(length), s.disturb
		s.disturb = func(second, route, group int, isNew bool, m *profile) {
			next(second, route, group, isNew, m)
			if second >= from && second < to {
				in(second-from, route, group, isNew, m)
			}
		}
	}
	if likely(0.3) { // cold start of the new version at the beginning
		cold, next := rng.IntN(s.MoveSeconds/5), s.disturb
		s.disturb = func(second, route, group int, isNew bool, m *profile) {
			next(second, route, group, isNew, m)
			if isNew && second < cold {
				m.excluded = 1
			}
		}
	}
	if likely(0.3) { // overload of both versions, partly detected
		errors, slow, excluded := between(0.05, 0.4), between(2, 8), between(0, 0.6)
		during(between(20, 60), func(_, _, _ int, _ bool, m *profile) {
			m.worsen(errors, slow)
			m.excluded = excluded
		})
	}
	if likely(0.3) { // zone disturbance or a second cold start, detected after 2 s
		s.groups = 4
		both := likely(0.5)
		during(between(10, 40), func(second, _, group int, isNew bool, m *profile) {
			if group == 0 && (both || isNew) {
				m.worsen(0.6, 6)
				if second >= 2 {
					m.excluded = 0.95
				}
			}
		})
	}
	if likely(0.2) { // one broken instance of the new version, never detected
		s.groups, s.NewInstances = 4, max(s.NewInstances, 4)
		errors := between(0.1, 1)
		during(between(10, 60), func(_, _, group int, isNew bool, m *profile) {
			if group == 1 && isNew {
				m.worsen(errors, 1)
			}
		})
		s.NewInstances -= s.NewInstances % 4
	}
	if likely(0.3) { // a route with a high error ratio on both versions
		noisy, errors, next := rng.IntN(len(s.rate)), between(0.05, 0.2), s.disturb
		s.disturb = func(second, route, group int, isNew bool, m *profile) {
			if route == noisy {
				m.worsen(errors, 1)
			}
			next(second, route, group, isNew, m)
		}
	}
	if !bad {
		return s
	}
	s.bad = s.base
	switch rng.IntN(3) {
	case 0:
		s.Name = "errors"
		s.bad.errors += logBetween(0.08, 0.98)
	case 1:
		s.Name = "slow"
		s.bad.slowdown, s.bad.overhead = between(4, 10), 30
	case 2:
		s.Name = "slowTail"
		s.bad.tail, s.bad.tailFactor = between(0.08, 0.2), between(10, 30)
	}
	s.faultAt = 0
	switch rng.IntN(4) {
	case 0:
		s.faultAt = int(between(0, 0.9) * float64(s.MoveSeconds))
	case 1:
		s.faultRoute = rng.IntN(len(s.rate))
	case 2:
		s.LoadedFrom = between(0.05, 0.5)
	}
	return s
}

// worsen adds errors and a slowdown to the profile.
func (m *profile) worsen(errors, slowdown float64) {
	m.errors = 1 - (1-m.errors)*(1-errors)
	m.slowdown = max(m.slowdown, 1) * slowdown
}

// TestRandomMoves guards against rules that are overfitted to the recorded traces.
// It samples good and bad versions under disturbances. The fixed seed is not the
// one to which the constants of the rules were fitted.
func TestRandomMoves(t *testing.T) {
	type outcome struct {
		bad           bool
		rate          float64
		daemon, naive result
		kind          string
		length        int
	}
	outcomes := make([]outcome, *moves)
	var g errgroup.Group
	g.SetLimit(max(runtime.GOMAXPROCS(0)/2, 1))
	for i := range outcomes {
		g.Go(func() error {
			rng := rand.New(rand.NewPCG(990017, uint64(i)))
			s := randomScenario(rng, i%2 == 1)
			tr := s.generate(rng)
			o := &outcomes[i]
			o.bad, o.length, o.kind = i%2 == 1, s.MoveSeconds, s.Name
			for _, r := range s.rate {
				o.rate += r
			}
			o.daemon, o.naive = tr.replay(new(daemonDecider), uint64(i)), tr.replay(new(naiveDecider), uint64(i))
			return nil
		})
	}
	_ = g.Wait()
	type counts struct {
		good, rolledBack, late int // good versions, those rolled back, those not done by doneBy
		bad, missed            int // bad versions whose fault affected a request, those not rolled back
		affected, total        int
		took                   []int
	}
	var tallies [2][2]counts // by decider (daemon, naive) and rate (below 10 requests per second, from 10)
	for i, o := range outcomes {
		busy := 0
		if o.rate >= 10 {
			busy = 1
		}
		for decider, r := range []result{o.daemon, o.naive} {
			ty := &tallies[decider][busy]
			switch {
			case !o.bad:
				ty.good++
				if r.rolledBackAt >= 0 {
					ty.rolledBack++
				} else if r.doneAt < 0 || r.doneAt > o.length {
					ty.late++
				}
			case r.faultAt >= 0:
				ty.bad++
				ty.affected += r.affected
				ty.total += r.total
				if r.rolledBackAt < 0 {
					ty.missed++
				} else {
					ty.took = append(ty.took, max(r.rolledBackAt-r.faultAt, 0))
				}
			}
			if decider == 0 && (!o.bad && (r.rolledBackAt >= 0 || r.doneAt < 0 || r.doneAt > o.length) || o.bad && r.faultAt >= 0 && r.rolledBackAt < 0) {
				t.Logf("move %d: bad %v %s, %.0f requests per second, %d s: %s", i, o.bad, o.kind, o.rate, o.length, r)
			}
		}
	}
	// A good version is rarely rolled back, and a bad one is rarely missed if it
	// receives enough requests to be detected. Below 10 requests per second a slow
	// tail often receives fewer than 200, so only its share of traffic is bounded.
	quiet, busy := tallies[0][0], tallies[0][1]
	if n := quiet.rolledBack + busy.rolledBack; n*100 > quiet.good+busy.good {
		t.Errorf("%d of %d good versions rolled back, want at most 1%%", n, quiet.good+busy.good)
	}
	if n := quiet.late + busy.late; n*50 > quiet.good+busy.good {
		t.Errorf("%d of %d good versions not done in time, want at most 2%%", n, quiet.good+busy.good)
	}
	if busy.missed*20 > busy.bad {
		t.Errorf("%d of %d bad versions with at least 10 requests per second missed, want at most 5%%", busy.missed, busy.bad)
	}
	for i, ty := range tallies[0] {
		if n := tallies[1][i]; float64(ty.affected)/float64(ty.total) >= float64(n.affected)/float64(n.total) {
			t.Errorf("share of traffic after the fault: %d of %d, naive %d of %d", ty.affected, ty.total, n.affected, n.total)
		}
	}
	for decider, name := range []string{"daemon", "naive"} {
		for busy, rates := range []string{"below 10/s", "from 10/s"} {
			ty := tallies[decider][busy]
			slices.Sort(ty.took)
			quantile := func(q float64) int {
				if len(ty.took) == 0 {
					return -1
				}
				return ty.took[int(q*float64(len(ty.took)-1))]
			}
			t.Logf("%-6s %-10s good: %d, rolled back %d, late %d; bad: %d, missed %d, share of traffic after the fault %.4f, seconds to rollback p50 %d, p90 %d, max %d",
				name, rates, ty.good, ty.rolledBack, ty.late, ty.bad, ty.missed, float64(ty.affected)/float64(max(ty.total, 1)), quantile(0.5), quantile(0.9), quantile(1))
		}
	}
}
