package move

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

const (
	// judgeAlpha bounds the probability that one look at a good version finds a
	// fault. It is divided among the tests of the look. Looks overlap in most of
	// their samples, so an hour has in the order of a hundred independent looks.
	judgeAlpha = 1e-5
	// suspectAlpha is the same bound for lowering the share, which is harmless to
	// a good version.
	suspectAlpha = 1e-3
	// recentWindows is the shorter of the two periods that are compared. It shows
	// a fault that begins late, which the longer period dilutes.
	recentWindows = 3
	// minHits is the smallest number of failed or slow requests that make a
	// fault, so that a single burst does not.
	minHits = 5
	// minErrorRise is the smallest rise of the error ratio that is a fault.
	minErrorRise = 0.01
	// minErrorFactor is the smallest factor of the error ratio that is a fault.
	minErrorFactor = 1.5
	// minLatencyFactor is the smallest factor of a latency quantile that is a
	// fault. It is above 2, because a small rise can cross the bound between two
	// buckets and then looks like a factor of 2.
	minLatencyFactor = 2.2
	// blockSamples is the number of samples of each version that a block of
	// consecutive windows is extended to. Without it, a quiet route would have
	// windows with one version only, which allow no comparison.
	blockSamples = 10
	// minInstances is the number of instances of the new version from which on
	// the fault of a single instance is no fault of the version.
	minInstances = 3
)

// quantile is a latency quantile that is compared.
type quantile struct {
	name string
	q    float64
	// samples is the number of samples of each version that the estimate needs.
	samples uint64
	// rise is the smallest rise in milliseconds that is a fault. Scheduling and
	// garbage collection alone move the tail by several milliseconds.
	rise float64
}

var quantiles = []quantile{
	{"p50", 0.5, 20, 5},
	{"p90", 0.9, 50, 10},
	{"p99", 0.99, 300, 25},
}

// tests is the number of kinds of comparison: errors and each quantile.
var tests = 1 + len(quantiles)

// stratum holds samples of both versions from one route and one period, and how
// many of them failed or were slow.
type stratum struct {
	to, from, toHits, fromHits uint64
}

// finding is a difference between both versions.
type finding struct {
	reason, route string
	detail        string
	p             float64
}

// String describes the finding for operators.
func (f finding) String() string {
	where := "all routes"
	if f.route != "" {
		where = fmt.Sprintf("route %q", f.route)
	}
	return fmt.Sprintf("%s: %s (p=%.1g)", where, f.detail, f.p)
}

// suspect reports whether the share is to be lowered: both versions differ at a
// weaker level than for a verdict, or the new version is worse than the recent
// past and the old one lacks the traffic to compare.
func (e *Evidence) suspect(m fold.Move, now time.Time) bool {
	if _, ok := e.fault(m, now, suspectAlpha); ok {
		return true
	}
	v := e.view(m, now, "")
	newest := Window(now)
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
		if _, ok := compare(m, route, [][]*pair{{&p}}, alpha); ok {
			return true
		}
	}
	return false
}

// fault compares both versions at the given significance.
func (e *Evidence) fault(m fold.Move, now time.Time, alpha float64) (finding, bool) {
	f, ok := e.view(m, now, "").fault(m, now, alpha)
	if !ok {
		return finding{}, false
	}
	worst, n := e.worst(m, now, f.route)
	if n < minInstances {
		return f, true
	}
	// The second look only rules out a single instance, so a weaker level does.
	if _, ok := e.view(m, now, worst).fault(m, now, max(alpha, suspectAlpha)); !ok {
		return finding{}, false
	}
	return f, true
}

// worst returns the instance of the new version with the most failed and slow
// requests on a route, and the number of instances that have samples there. An
// empty route stands for all routes.
func (e *Evidence) worst(m fold.Move, now time.Time, route string) (worst string, n int) {
	byInstance := make(map[string]*Counters)
	for s, cells := range e.cells {
		if s.move != m.ID || (route != "" && s.route != route) {
			continue
		}
		for i := range cells {
			if c := &cells[i]; c.version == m.To && c.counters.Requests > 0 && c.window <= Window(now)+1 {
				if byInstance[s.instance] == nil {
					byInstance[s.instance] = new(Counters)
				}
				byInstance[s.instance].add(&c.counters)
			}
		}
	}
	most := -1.0
	for _, id := range slices.Sorted(maps.Keys(byInstance)) {
		c := byInstance[id]
		// The sum of the bucket numbers grows with the latency.
		bad := float64(c.Errors) * float64(len(c.Latency))
		for i, k := range c.Latency {
			bad += float64(i) * float64(k)
		}
		bad /= float64(c.Requests)
		if bad > most {
			most, worst = bad, id
		}
	}
	return worst, len(byInstance)
}

// fault looks at each route and at all routes, over all windows and over the
// newest ones.
func (v view) fault(m fold.Move, now time.Time, alpha float64) (finding, bool) {
	alpha /= float64(2 * (len(v.routes) + 1) * tests)
	for _, first := range []int64{math.MinInt64, Window(now) - recentWindows + 1} {
		var all [][]*pair
		for _, route := range slices.Sorted(maps.Keys(v.routes)) {
			b := blocks(v.routes[route], first)
			if f, ok := compare(m, route, [][]*pair{b}, alpha); ok {
				return f, true
			}
			all = append(all, b)
		}
		if f, ok := compare(m, "", all, alpha); ok {
			return f, true
		}
	}
	return finding{}, false
}

// blocks joins consecutive windows, from the newest back, until each block holds
// blockSamples of each version. The result of a request does not influence the
// bounds of a block.
func blocks(windows map[int64]*pair, first int64) []*pair {
	var out []*pair
	var cur *pair
	keys := slices.Sorted(maps.Keys(windows))
	for _, w := range slices.Backward(keys) {
		if w < first {
			break
		}
		if cur == nil {
			cur = new(pair)
			out = append(out, cur)
		}
		cur.to.add(&windows[w].to)
		cur.from.add(&windows[w].from)
		if cur.to.Requests >= blockSamples && cur.from.Requests >= blockSamples {
			cur = nil
		}
	}
	return out
}

// compare tests errors and latency quantiles over the blocks of one or more
// routes.
func compare(m fold.Move, route string, routes [][]*pair, alpha float64) (finding, bool) {
	var strata []stratum
	for _, b := range routes {
		for _, p := range b {
			strata = append(strata, stratum{p.to.Requests, p.from.Requests, p.to.Errors, p.from.Errors})
		}
	}
	if s := sum(strata); s.toHits >= minHits {
		to, from := s.ratios()
		if p := excess(strata); p < alpha && to >= from+minErrorRise && to >= from*minErrorFactor {
			return finding{reason: "errors", route: route, p: p, detail: fmt.Sprintf(
				"%d of %d requests failed on %s, %d of %d on %s", s.toHits, s.to, m.To, s.fromHits, s.from, m.From)}, true
		}
	}
	for _, q := range quantiles {
		if f, ok := q.compare(m, routes, alpha); ok {
			f.route = route
			return f, true
		}
	}
	return finding{}, false
}

// compare tests one latency quantile: more requests of the new version than of
// the old one lie beyond the bucket of the old version's quantile.
func (q quantile) compare(m fold.Move, routes [][]*pair, alpha float64) (finding, bool) {
	var strata []stratum
	var to, from float64
	for _, b := range routes {
		var all pair
		for _, p := range b {
			all.to.add(&p.to)
			all.from.add(&p.from)
		}
		toN, fromN := served(&all.to), served(&all.from)
		if toN < q.samples || fromN < q.samples {
			continue
		}
		oldQ, limit := q.of(&all.from)
		newQ, _ := q.of(&all.to)
		if newQ < oldQ*minLatencyFactor || newQ < oldQ+q.rise {
			continue
		}
		to, from = max(to, newQ), max(from, oldQ)
		for _, p := range b {
			strata = append(strata, stratum{served(&p.to), served(&p.from), beyond(&p.to, limit), beyond(&p.from, limit)})
		}
	}
	if s := sum(strata); s.toHits < minHits {
		return finding{}, false
	}
	p := excess(strata)
	if p >= alpha {
		return finding{}, false
	}
	return finding{reason: q.name, p: p, detail: fmt.Sprintf("%s is %.0f ms on %s, %.0f ms on %s", q.name, to, m.To, from, m.From)}, true
}

// of returns the estimated quantile in milliseconds and its bucket.
func (q quantile) of(c *Counters) (ms float64, i int) {
	rank := q.q * float64(served(c))
	var seen float64
	for i, k := range c.Latency {
		if n := float64(k); n > 0 && seen+n >= rank {
			return math.Exp2(float64(i-1) + (rank-seen)/n), i
		}
		seen += float64(k)
	}
	return 0, 0
}

// served returns the number of requests with a latency.
func served(c *Counters) (n uint64) {
	for _, k := range c.Latency {
		n += k
	}
	return n
}

// beyond returns the number of requests in buckets after i.
func beyond(c *Counters, i int) (n uint64) {
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

// excess returns an upper bound of the probability that the new version has at
// least as many hits as seen if both versions have the same ratio of hits within
// each stratum.
//
// Given the hits of a stratum, the hits of the new version are hypergeometric,
// which is a sum of independent Bernoulli variables (Vatutin and Mikhailov,
// 1982). The sum over the strata is one too, and its upper tail is at most that
// of the binomial distribution with the same mean (Hoeffding, 1956).
func excess(strata []stratum) float64 {
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

// binomialTail returns the probability of at least k of n trials that each
// succeed with probability p. It expects k above the mean, where the terms
// decrease.
func binomialTail(n, p, k float64) float64 {
	lg := func(x float64) float64 { l, _ := math.Lgamma(x + 1); return l }
	term := math.Exp(lg(n) - lg(k) - lg(n-k) + k*math.Log(p) + (n-k)*math.Log1p(-p))
	var tail float64
	for ; k <= n && term > tail*1e-9; k++ {
		tail += term
		term *= (n - k) / (k + 1) * p / (1 - p)
	}
	return min(tail, 1)
}
