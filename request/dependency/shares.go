package dependency

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// reportTime is how long the report of a host is valid.
	reportTime = 2 * time.Second
	// maxReports is the number of reports that are kept for a route. An entry with much
	// traffic gets them within a fraction of reportTime.
	maxReports = 24
	// minHosts is the number of hosts whose reports are needed: one failing instance is
	// no failing upstream.
	minHosts = 2
	// loweredFor is the time between two reductions of a share: reports cover two
	// seconds, of which the reduction must be a part.
	loweredFor = 3 * time.Second
	// settleFor is how long a majority must report a share below 1 before the first
	// reduction: the first such reports cover a time in which most calls succeeded. A
	// lack that shows again soon after a reduction was never gone.
	settleFor = time.Second
	// forgottenFor is the time after which a reduction has no effect, if no other one
	// followed. Until loweredFor it is in full effect. Then it falls slowly at first and
	// faster later, with forgettingPower: hosts know too few runs to see a lack of
	// capacity while half of the requests are refused, so a slow end gains nothing.
	forgottenFor    = 10 * time.Second
	forgettingPower = 8
	// minShare is the least share, so that no kind of request is served less than a
	// quarter as often as others, and the hosts learn when calls succeed again.
	minShare = 0.25
	// evaluateEvery bounds how often reports are compared.
	evaluateEvery = 100 * time.Millisecond
	// maxShares bounds the routes of Shares. Routes that are limited are kept.
	maxShares = 64
)

// Shares holds the shares of new requests that an entry admits, by route. The zero value
// admits all; it is safe for concurrent use.
type Shares struct {
	mu     sync.Mutex
	routes map[string]*share
}

// share is the share of one route.
type share struct {
	position int
	reports  [maxReports]report
	next     int
	// reduction is the part of the requests that is refused, and lowered that part when
	// the share was last lowered, at loweredAt.
	reduction, lowered float64
	loweredAt          time.Time
	// leastSince is since when the share is the least one; zero if it is not.
	leastSince time.Time
	evaluateAt time.Time
	// belowAt is when a majority last reported a share below 1, and belowSince since when
	// it does without interruption; zero if it does not.
	belowAt, belowSince time.Time
}

// report is what one host reported.
type report struct {
	instance string
	share    float64
	at       time.Time
}

// Observe takes the report of a host: the share of the runs of a route that can finish,
// zero if all can. position is the position of the class of the route in the shed order.
func (s *Shares) Observe(now time.Time, route string, position int, instance string, finishes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sh := s.routes[route]
	if sh == nil {
		if len(s.routes) >= maxShares && !s.removeUnlimited(now) {
			return
		}
		if s.routes == nil {
			s.routes = make(map[string]*share)
		}
		sh = &share{}
		s.routes[route] = sh
	}
	if finishes <= 0 || finishes > 1 {
		finishes = 1
	}
	sh.position = position
	sh.reports[sh.next] = report{instance, finishes, now}
	sh.next = (sh.next + 1) % maxReports
}

// removeUnlimited removes a route that is not limited, preferably one without a valid
// report, and reports whether there was one.
func (s *Shares) removeUnlimited(now time.Time) bool {
	removed, found := "", false
	for route, sh := range s.routes {
		if now.Sub(sh.loweredAt) < forgottenFor || !sh.belowSince.IsZero() && now.Sub(sh.belowAt) < reportTime {
			continue
		}
		removed, found = route, true
		if newest := &sh.reports[(sh.next-1+maxReports)%maxReports]; now.Sub(newest.at) >= reportTime {
			break
		}
	}
	delete(s.routes, removed)
	return found
}

// Admit reports whether to admit a new request of a route; rnd is in [0, 1).
func (s *Shares) Admit(now time.Time, route string, rnd float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sh := s.routes[route]
	if sh == nil {
		return true
	}
	s.evaluate(now, sh)
	return rnd >= sh.reduction
}

// Share returns the share of new requests of a route that Admit admits. It changes
// nothing.
func (s *Shares) Share(now time.Time, route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sh := s.routes[route]
	if sh == nil {
		return 1
	}
	evaluated := *sh
	s.evaluate(now, &evaluated)
	return 1 - evaluated.reduction
}

// Limited returns the share of new requests that is admitted, of the route with the
// least one.
func (s *Shares) Limited(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	least := 1.0
	for _, sh := range s.routes {
		s.evaluate(now, sh)
		least = min(least, 1-sh.reduction)
	}
	return least
}

// evaluate updates the share of a route from the reports.
func (s *Shares) evaluate(now time.Time, sh *share) {
	if now.Before(sh.evaluateAt) {
		return
	}
	sh.evaluateAt = now.Add(evaluateEvery)
	sh.recover(now)
	finishes, below := sh.majority(now)
	if !below {
		sh.belowSince = time.Time{}
		return
	}
	sh.belowAt = now
	if sh.belowSince.IsZero() {
		sh.belowSince = now
	}
	settled := !now.Before(sh.belowSince.Add(settleFor)) || now.Before(sh.loweredAt.Add(2*forgottenFor))
	if !settled || now.Before(sh.loweredAt.Add(loweredFor)) || s.lessUrgentLeft(now, sh) {
		return
	}
	// The hosts report on the runs that were admitted.
	sh.reduction = 1 - max(minShare, (1-sh.reduction)*finishes)
	sh.lowered, sh.loweredAt = sh.reduction, now
	if sh.isLeast() && sh.leastSince.IsZero() {
		sh.leastSince = now
	}
}

// recover lets the reduction fall with the time since the share was last lowered.
func (sh *share) recover(now time.Time) {
	if sh.lowered == 0 {
		return
	}
	forgotten := float64(now.Sub(sh.loweredAt)-loweredFor) / float64(forgottenFor-loweredFor)
	sh.reduction = sh.lowered * (1 - math.Pow(min(max(forgotten, 0), 1), forgettingPower))
	if !sh.isLeast() {
		sh.leastSince = time.Time{}
	}
}

// isLeast reports whether the share is about the least one.
func (sh *share) isLeast() bool {
	const tolerance = 0.02
	return 1-sh.reduction < minShare+tolerance
}

// lessUrgentLeft reports whether a route of a less urgent class lacks capacity too and
// has not had the least share for some time.
func (s *Shares) lessUrgentLeft(now time.Time, sh *share) bool {
	for _, other := range s.routes {
		if other.position >= sh.position || now.Sub(other.belowAt) >= loweredFor {
			continue
		}
		if other.leastSince.IsZero() || now.Before(other.leastSince.Add(loweredFor)) {
			return true
		}
	}
	return false
}

// majority returns the median of the valid reports of the hosts that report a share
// below 1, and whether these are more than half of the hosts with a valid report.
func (sh *share) majority(now time.Time) (median float64, below bool) {
	var low [maxReports]float64
	hosts, n := 0, 0
	for back := range maxReports {
		i := (sh.next - 1 - back + 2*maxReports) % maxReports
		r := &sh.reports[i]
		if r.instance == "" || !now.Before(r.at.Add(reportTime)) {
			break
		}
		if sh.reportedSince(i, back) {
			continue // an older report of the same host
		}
		hosts++
		if r.share < 1 {
			low[n] = r.share
			n++
		}
	}
	if hosts < minHosts || 2*n <= hosts {
		return 0, false
	}
	slices.Sort(low[:n])
	return low[n/2], true
}

// reportedSince reports whether the host of report i made one of the newer reports.
func (sh *share) reportedSince(i, newer int) bool {
	for back := range newer {
		if sh.reports[(sh.next-1-back+2*maxReports)%maxReports].instance == sh.reports[i].instance {
			return true
		}
	}
	return false
}
