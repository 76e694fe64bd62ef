package move

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

const (
	// judgeAlpha bounds the probability that one evaluation of a good version finds
	// a fault. It is divided among the tests of the evaluation. Successive
	// evaluations share most of their samples, so an hour contains in the order of
	// a hundred independent ones.
	judgeAlpha = 1e-4
	// suspectAlpha is the same bound for lowering the share, which does no harm to
	// a good version.
	suspectAlpha = 1e-2
	// recentWindows is the shorter of the two periods that are compared. It reveals
	// a fault that begins late, which the longer period dilutes.
	recentWindows = 3
	// minHits is the minimum number of failed or slow requests for a fault, so
	// that a single burst is not one.
	minHits = 5
	// minErrorRise is the minimum rise of the error ratio for a fault.
	minErrorRise = 0.01
	// minErrorFactor is the minimum factor of the error ratio for a fault.
	minErrorFactor = 1.5
	// minLatencyFactor is the minimum factor of a latency quantile for a fault. It
	// is above 2, because a small rise can cross the boundary between two buckets
	// and then looks like a factor of 2.
	minLatencyFactor = 2.2
	// settleTime is the time in which a host detects a disturbance and its report
	// arrives.
	settleTime = 3 * time.Second
	// stallWindows is the number of windows in cold start or overload at the end of
	// the move that make a version stalled.
	stallWindows = 12
	// blockSamples is the number of samples of each version to which a block of
	// consecutive windows is extended. Otherwise a route with little traffic would
	// have windows with one version only, which allow no comparison.
	blockSamples = 10
	// minInstances is the number of instances of the new version from which a
	// fault on a third of them is not attributed to the version.
	minInstances = 3
	// confirmAlpha and confirmHits are the level of the repeated comparisons
	// without the worst instances and without the worst window.
	confirmAlpha = 0.003
	confirmHits  = 2
)

// Reasons of a verdict besides the names of the quantiles.
const (
	reasonErrors  = "errors"
	reasonStalled = "stalled"
)

// quantile is a latency quantile that is compared.
type quantile struct {
	name string
	q    float64
	// minSamples is the minimum number of samples of the old version for the
	// estimate.
	minSamples uint64
	// minRiseMs is the minimum rise in milliseconds for a fault. Scheduling and
	// garbage collection alone shift the tail by several milliseconds.
	minRiseMs float64
}

var quantiles = []quantile{
	{"p50", 0.5, 20, 5},
	{"p90", 0.9, 50, 10},
	{"p99", 0.99, 100, 25},
}

// tests is the number of kinds of comparison: errors and each quantile.
var tests = 1 + len(quantiles)

// stratum holds the number of samples of both versions from one route and one
// period, and the number of hits: samples that failed or were slow.
type stratum struct {
	to, from, toHits, fromHits uint64
}

// finding is a significant difference between both versions.
type finding struct {
	reason, route string
	// bucket is the last bucket whose latencies do not count as slow.
	bucket int
	detail string
	p      float64
}

// String describes the finding for operators.
func (f finding) String() string {
	where := "all routes"
	if f.route != "" {
		where = fmt.Sprintf("route %q", f.route)
	}
	if f.reason == reasonStalled {
		return where + ": " + f.detail
	}
	return fmt.Sprintf("%s: %s (p=%.1g)", where, f.detail, f.p)
}

// suspect reports whether the share must be lowered: both versions differ at a
// weaker level than a verdict needs, or the new version is worse than the recent
// past and the old one has too little traffic for a comparison.
func (e *Evidence) suspect(v view, m fold.Move, now time.Time) bool {
	if _, ok := e.fault(v, m, now, suspectAlpha, false); ok {
		return true
	}
	newest := WindowOf(m, now)
	alpha := judgeAlpha / float64(len(v.routes)*tests+1)
	for route, windows := range v.routes {
		var p pair
		var old Counters
		for w, x := range windows {
			if w > newest-recentWindows {
				p.to.add(&x.to)
				old.add(&x.from)
			} else {
				p.from.add(&x.to)
				p.from.add(&x.from)
			}
		}
		if old.Requests >= 2*blockSamples {
			continue
		}
		for range compare(m, route, [][]*pair{{&p}}, level{alpha, minHits}) {
			return true
		}
	}
	return false
}

// fault compares both versions at the given significance level, which is divided
// among the comparisons. With requireSettled, the fault must appear in more than
// one window, or its window must have ended long enough ago for hosts to detect a
// disturbance.
func (e *Evidence) fault(v view, m fold.Move, now time.Time, alpha float64, requireSettled bool) (finding, bool) {
	for f := range v.findings(m, now, level{alpha / float64(2*(len(v.routes)+1)*tests), minHits}) {
		if !e.confirmed(m, now, f, omission{instances: e.worstInstances(m, now, f.route)}) {
			continue
		}
		if requireSettled {
			w := v.worstWindow(f)
			end := windowEnd(m, w)
			if now.Before(end.Add(settleTimeOf(m))) && !e.confirmed(m, now, f, omission{window: w}) {
				continue
			}
		}
		return f, true
	}
	return finding{}, false
}

// confirmed reports whether a finding persists without some of the evidence.
// Leaving out the worst part lowers the hits of the rest below their mean, so a
// weaker level suffices.
func (e *Evidence) confirmed(m fold.Move, now time.Time, f finding, without omission) bool {
	if len(without.instances) == 0 && without.window == 0 {
		return true
	}
	for g := range e.view(m, now, without).findings(m, now, level{confirmAlpha, confirmHits}) {
		if g.route == f.route && g.reason == f.reason {
			return true
		}
	}
	return false
}

// worstInstances returns the third of the instances of the new version with the
// most failed and slow requests on a route: as many as an availability zone
// contains. It returns none if there are fewer than minInstances. An empty route
// means all routes.
func (e *Evidence) worstInstances(m fold.Move, now time.Time, route string) []string {
	byInstance := make(map[string]*Counters)
	for s, cells := range e.cells {
		if s.move != m.ID || (route != "" && s.route != route) {
			continue
		}
		for i := range cells {
			if c := &cells[i]; c.version == m.To && c.counters.Requests > 0 && c.window <= WindowOf(m, now)+1 {
				if byInstance[s.instance] == nil {
					byInstance[s.instance] = new(Counters)
				}
				byInstance[s.instance].add(&c.counters)
			}
		}
	}
	if len(byInstance) < minInstances {
		return nil
	}
	// A failed request weighs slightly more than one in the last bucket.
	score := func(c *Counters) float64 {
		sum := c.Errors * uint64(len(c.Latency))
		for i, n := range c.Latency {
			sum += uint64(i) * n
		}
		return float64(sum) / float64(c.Requests)
	}
	ids := slices.SortedFunc(maps.Keys(byInstance), func(a, b string) int {
		return cmp.Or(cmp.Compare(score(byInstance[b]), score(byInstance[a])), cmp.Compare(a, b))
	})
	return ids[:(len(ids)+2)/3]
}

// worstWindow returns the window with the most failed or slow requests of the new
// version in a finding.
func (v view) worstWindow(f finding) (window int64) {
	hits := make(map[int64]uint64)
	for route, windows := range v.routes {
		if f.route != "" && f.route != route {
			continue
		}
		for w, p := range windows {
			if f.reason == reasonErrors {
				hits[w] += p.to.Errors
			} else {
				hits[w] += countAboveBucket(&p.to, f.bucket)
			}
		}
	}
	var most uint64
	for w, n := range hits {
		if n > most || n == most && w > window {
			most, window = n, w
		}
	}
	return window
}

// level is the significance and the minimum number of hits that a comparison
// needs to show a fault.
type level struct {
	alpha float64
	hits  uint64
}

// findings yields the faults of each route and of all routes together, over all
// windows and over the newest ones.
func (v view) findings(m fold.Move, now time.Time, at level) iter.Seq[finding] {
	return func(yield func(finding) bool) {
		for _, first := range []int64{math.MinInt64, WindowOf(m, now) - recentWindows + 1} {
			var all [][]*pair
			for _, route := range slices.Sorted(maps.Keys(v.routes)) {
				b := blocks(v.routes[route], first)
				for f := range compare(m, route, [][]*pair{b}, at) {
					if !yield(f) {
						return
					}
				}
				all = append(all, b)
			}
			for f := range compare(m, "", all, at) {
				if !yield(f) {
					return
				}
			}
		}
	}
}

// stalled reports whether the time is up and the new version, but not the old one,
// was in cold start or overload in the last stallWindows windows with requests.
func (v view) stalled(m fold.Move, now time.Time) (finding, bool) {
	if progress(m, now) < soakEnd {
		return finding{}, false
	}
	n := 0
	var last pair
	for _, w := range slices.Backward(slices.Sorted(maps.Keys(v.total))) {
		p := v.total[w]
		if p.to.Excluded == 0 && p.to.Requests == 0 {
			continue
		}
		if p.to.Excluded <= p.to.Requests || p.from.Excluded > p.from.Requests {
			break
		}
		last.to.add(&p.to)
		last.from.add(&p.from)
		if n++; n == stallWindows {
			return finding{reason: reasonStalled, detail: fmt.Sprintf("%d of %d requests in cold start or overload on %s, %d of %d on %s",
				last.to.Excluded, last.to.Excluded+last.to.Requests, m.To, last.from.Excluded, last.from.Excluded+last.from.Requests, m.From)}, true
		}
	}
	return finding{}, false
}

// blocks joins consecutive windows, from the newest backwards, until each block
// contains blockSamples of each version. The result of a request does not influence
// the bounds of a block. A period in which the new version had many requests and
// the old one none is left out: otherwise it would be compared with the past.
func blocks(windows map[int64]*pair, first int64) []*pair {
	var out []*pair
	var cur *pair
	var unpaired Counters
	keys := slices.Sorted(maps.Keys(windows))
	for _, w := range slices.Backward(keys) {
		if w < first {
			break
		}
		p := windows[w]
		if p.from.Requests == 0 {
			unpaired.add(&p.to)
			continue
		}
		if cur == nil {
			cur = new(pair)
			out = append(out, cur)
		}
		if unpaired.Requests < 2*blockSamples {
			cur.to.add(&unpaired)
		}
		unpaired = Counters{}
		cur.to.add(&p.to)
		cur.from.add(&p.from)
		if cur.to.Requests >= blockSamples && cur.from.Requests >= blockSamples {
			cur = nil
		}
	}
	return out
}

// compare yields the faults in errors and latency quantiles over the blocks of
// one or more routes.
func compare(m fold.Move, route string, routes [][]*pair, at level) iter.Seq[finding] {
	return func(yield func(finding) bool) {
		if f, ok := compareErrors(m, routes, at); ok {
			f.route = route
			if !yield(f) {
				return
			}
		}
		for _, q := range quantiles {
			if f, ok := q.compare(m, routes, at); ok {
				f.route = route
				if !yield(f) {
					return
				}
			}
		}
	}
}

func compareErrors(m fold.Move, routes [][]*pair, at level) (finding, bool) {
	var strata []stratum
	for _, b := range routes {
		for _, p := range b {
			strata = append(strata, stratum{p.to.Requests, p.from.Requests, p.to.Errors, p.from.Errors})
		}
	}
	s := sum(strata)
	to, from := s.ratios()
	if s.toHits < at.hits || to < from+minErrorRise || to < from*minErrorFactor {
		return finding{}, false
	}
	p := excessPValue(strata)
	return finding{reason: reasonErrors, p: p, detail: fmt.Sprintf("%d of %d requests failed on %s, %d of %d on %s",
		s.toHits, s.to, m.To, s.fromHits, s.from, m.From)}, p < at.alpha
}

// compare tests one latency quantile. It finds a fault if significantly more
// requests of the new version than of the old one are above the bucket of the old
// version's quantile, and the quantile of the new version is above the tolerated
// rise.
func (q quantile) compare(m fold.Move, routes [][]*pair, at level) (finding, bool) {
	var strata []stratum
	var n, aboveLimit, to, from float64
	last := len(Counters{}.Latency)
	for _, b := range routes {
		var all pair
		for _, p := range b {
			all.to.add(&p.to)
			all.from.add(&p.from)
		}
		if countWithLatency(&all.from) < q.minSamples {
			continue
		}
		ms, limit := q.estimate(&all.from)
		n += float64(countWithLatency(&all.to))
		aboveLimit += countAbove(&all.to, max(ms*minLatencyFactor, ms+q.minRiseMs))
		if newMs, _ := q.estimate(&all.to); newMs > to {
			to, from = newMs, ms
		}
		last = min(last, limit)
		for _, p := range b {
			strata = append(strata, stratum{countWithLatency(&p.to), countWithLatency(&p.from), countAboveBucket(&p.to, limit), countAboveBucket(&p.from, limit)})
		}
	}
	if s := sum(strata); n < blockSamples || s.toHits < at.hits || aboveLimit < (1-q.q)*n {
		return finding{}, false
	}
	p := excessPValue(strata)
	return finding{reason: q.name, bucket: last, p: p, detail: fmt.Sprintf("%s is %.0f ms on %s, %.0f ms on %s",
		q.name, to, m.To, from, m.From)}, p < at.alpha
}

// estimate returns the quantile in milliseconds, interpolated within its bucket,
// and the index of the bucket.
func (q quantile) estimate(c *Counters) (ms float64, i int) {
	rank := q.q * float64(countWithLatency(c))
	var seen float64
	for i, k := range c.Latency {
		if n := float64(k); n > 0 && seen+n >= rank {
			return math.Exp2(float64(i-1) + (rank-seen)/n), i
		}
		seen += float64(k)
	}
	return 0, 0
}

// countAbove estimates the number of requests above a latency.
func countAbove(c *Counters, ms float64) float64 {
	at := math.Log2(ms) + 1
	i := min(max(int(at), 0), len(c.Latency)-1)
	inBucket := min(max(at-float64(i), 0), 1)
	return float64(countAboveBucket(c, i)) + float64(c.Latency[i])*(1-inBucket)
}

// countWithLatency returns the number of requests in the latency histogram.
func countWithLatency(c *Counters) (n uint64) {
	for _, k := range c.Latency {
		n += k
	}
	return n
}

// countAboveBucket returns the number of requests in the buckets after i.
func countAboveBucket(c *Counters, i int) (n uint64) {
	for _, k := range c.Latency[i+1:] {
		n += k
	}
	return n
}

func sum(strata []stratum) (s stratum) {
	for _, x := range strata {
		s.to += x.to
		s.from += x.from
		s.toHits += x.toHits
		s.fromHits += x.fromHits
	}
	return s
}

func (s stratum) ratios() (to, from float64) {
	return float64(s.toHits) / float64(max(s.to, 1)), float64(s.fromHits) / float64(max(s.from, 1))
}

// excessPValue returns an upper bound of the one-sided p-value: the probability
// that the new version has at least as many hits as observed if both versions have
// the same ratio of hits within each stratum.
//
// Given the hits of a stratum, the hits of the new version are hypergeometric,
// which is a sum of independent Bernoulli variables (Vatutin and Mikhailov,
// 1982). The sum over the strata is one too, and its upper tail is at most that
// of the binomial distribution with the same mean (Hoeffding, 1956).
func excessPValue(strata []stratum) float64 {
	var trials, hits, mean float64
	for _, s := range strata {
		n, k := s.to+s.from, s.toHits+s.fromHits
		if s.to == 0 || s.from == 0 || k == 0 || k >= n {
			continue
		}
		least := uint64(0)
		if k > s.from {
			least = k - s.from
		}
		trials += float64(min(k, s.to) - least)
		hits += float64(s.toHits) - float64(least)
		mean += float64(s.to)*float64(k)/float64(n) - float64(least)
	}
	if hits < mean+1 {
		return 1
	}
	return binomialTail(trials, mean/trials, hits)
}

// binomialTail returns the probability that at least k of n trials succeed, each
// with probability p. k must be above the mean, where the terms decrease.
func binomialTail(n, p, k float64) float64 {
	lnFactorial := func(x float64) float64 { l, _ := math.Lgamma(x + 1); return l }
	term := math.Exp(lnFactorial(n) - lnFactorial(k) - lnFactorial(n-k) + k*math.Log(p) + (n-k)*math.Log1p(-p))
	var tail float64
	for ; k <= n && term > tail*1e-9; k++ {
		tail += term
		term *= (n - k) / (k + 1) * p / (1 - p)
	}
	return min(tail, 1)
}
