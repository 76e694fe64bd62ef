package move

import (
	"fmt"
	"math"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

// A timed move is one whose record gives a duration instead of a start and an end.
// It is short, and so are its windows. During the move, an undetected fault must
// not affect more than canaryPercent of all requests. The share therefore stays low
// for half of the time, and each stage after that lasts only as long as a verdict
// takes.
//
// At the end of the last stage the old version stops immediately, without time to
// drain. The new version therefore takes all requests for some time before that.

const (
	// minTimedWindow is the length of the shortest window. A busy route has enough
	// samples in it for a comparison.
	minTimedWindow = 500 * time.Millisecond
	// timedWindows is the number of windows of a longer timed move. It is below
	// KeptWindows.
	timedWindows = 20
	// timedSettleTime is the settleTime of a timed move.
	timedSettleTime = 500 * time.Millisecond
	// timedDoneAt is the fraction of the time after which the move is done. The
	// rest is reserved for the report and one retry of it.
	timedDoneAt = 0.88
	// timedExposure is the time-weighted sum of the shares before the last stage of
	// timedSchedule, with a margin for the time that a verdict takes.
	timedExposure = 0.1
	// timedMinSamples is the number of samples of the new version that each stage
	// after the first needs.
	timedMinSamples = 30
	// routeRate is the number of requests per second of each route that the new
	// version receives, up to maxRouteShare of the route. Otherwise a fault on a
	// route with little traffic would appear only in the last stage. A few requests
	// per second are a small fraction of all.
	routeRate     = 4
	maxRouteShare = 0.25
	// maxRoutesFraction bounds the fraction of all requests that routeRate adds up
	// to.
	maxRoutesFraction = 0.06
	// rateMargin compensates for a rate below the mean.
	rateMargin = 1.15
)

// timedSchedule exposes 9 percent of the requests to the new version before the
// last stage. A fault that grows with the load appears at half load, where each
// second exposes fewer requests than at full load. The share then returns to
// FirstShare until that evidence has reached all daemons, which takes more than a
// second on a large fleet of small machines. Each second at a high share without
// evidence uses up a tenth of the requests that may be exposed.
var timedSchedule = []stage{{0, FirstShare}, {0.48, 0.1}, {0.55, 0.25}, {0.6, 0.5}, {0.7, FirstShare}, {0.83, 1}}

// loadEvidenceAt is the fraction of the time after which the evidence from half
// load is complete. Evidence takes up to 1.3 s to arrive on the largest fleets.
const loadEvidenceAt = 0.78

// FirstShare is the share of the first stage of a timed move.
const FirstShare = 0.04

// timedWindow returns the window length of a timed move.
func timedWindow(m fold.Move) time.Duration {
	return max(minTimedWindow, time.Duration(m.Within)/timedWindows)
}

// settleTimeOf returns the time in which a host detects a disturbance and its
// report arrives.
func settleTimeOf(m fold.Move) time.Duration {
	if m.Within > 0 {
		return timedSettleTime
	}
	return settleTime
}

// Scheduled returns the share of a timed move without evidence against the new
// version.
func Scheduled(m fold.Move, canaryPercent int, now time.Time) float64 {
	share := shareAt(timedSchedule, progress(m, now))
	if share < 1 {
		share *= min(1, canaryLimit(canaryPercent)/timedExposure)
	}
	return share
}

// LoadEvidenceComplete returns the time at which the evidence from half load is
// complete. A decision made before that time does not justify the last stage.
func LoadEvidenceComplete(m fold.Move) time.Time {
	return m.StartAt.Add(time.Duration(loadEvidenceAt * float64(m.DoneBy.Sub(m.StartAt))))
}

// timedShare returns the share of a timed move. It is that of the first stage
// while there are too few samples, the new version is suspect or a weak fault
// under load is found.
func (e *Evidence) timedShare(m fold.Move, canaryPercent int, now time.Time) float64 {
	share, first := Scheduled(m, canaryPercent, now), Scheduled(m, canaryPercent, m.StartAt)
	if share == first {
		return first
	}
	v := e.view(m, now, omission{})
	if v.since(0).to.Requests < timedMinSamples || e.suspect(v, m, now) {
		return first
	}
	if _, weak := v.weakFaultUnderLoad(m); weak && progress(m, now) >= weakFaultHoldAt {
		return first
	}
	return share
}

const (
	// weakFaultHoldAt is the fraction of the time from which a weak fault keeps a
	// timed move at the first stage. Half load begins at that time.
	weakFaultHoldAt = 0.6
	// weakFaultAlpha is the significance level of a weak fault. At most two good
	// versions in a hundred are wrongly taken back because of one.
	weakFaultAlpha = 0.02
	// loadedShare is the fraction of all requests from which the new version counts
	// as loaded. Before the last stage, only the one at half of the requests reaches
	// it.
	loadedShare = 0.3
	// weakFaultRollbackAt is the fraction of the time after which a weak fault takes
	// the version back, because the move can no longer be done in time.
	weakFaultRollbackAt = 0.94
	// weakFaultErrors is the minimum number of failed requests of a weak fault.
	weakFaultErrors = 3
)

// weakFaultUnderLoad reports whether the new version fails more requests than the
// old one, at a level that is too weak to take it back at once.
//
// Only windows in which the new version was loaded count. A fault that grows with
// the load does not appear at the lower share that the weak fault leads to, so
// windows at that share must not outweigh it.
func (v view) weakFaultUnderLoad(m fold.Move) (finding, bool) {
	var all [][]*pair
	for _, windows := range v.routes {
		loaded := make(map[int64]*pair)
		for w, p := range windows {
			if total := v.total[w]; float64(total.to.Requests) >= loadedShare*float64(total.to.Requests+total.from.Requests) {
				loaded[w] = p
			}
		}
		all = append(all, blocks(loaded, math.MinInt64))
	}
	return compareErrors(m, all, level{weakFaultAlpha, weakFaultErrors})
}

// timedDone reports whether the new version of a timed move receives all requests
// at the end of the last stage.
func (e *Evidence) timedDone(m fold.Move, now time.Time) bool {
	return m.State == fold.MoveRunning && progress(m, now) >= timedDoneAt && e.timedShare(m, 100, now) == 1
}

// RouteShares returns the shares of routes with little traffic that are above the
// given share of the move. It returns nil at the start and in the last stage of a
// timed move, and for other moves.
func (e *Evidence) RouteShares(m fold.Move, share float64, now time.Time) map[string]float64 {
	elapsed := now.Sub(m.StartAt).Seconds()
	if m.Within <= 0 || share <= 0 || share >= 1 || elapsed < 2*timedWindow(m).Seconds() {
		return nil
	}
	rates, all := make(map[string]float64), 0.0
	for route, windows := range e.view(m, now, omission{}).routes {
		for _, p := range windows {
			rates[route] += float64(p.to.Requests+p.from.Requests) / elapsed
		}
		all += rates[route]
	}
	// The first stage must yield enough samples even with little traffic.
	least := rateMargin * timedMinSamples / (timedSchedule[1].at * time.Duration(m.Within).Seconds())
	wanted := min(routeRate, max(maxRoutesFraction*all, least)/float64(len(rates)))
	out := make(map[string]float64)
	for route, rate := range rates {
		if rate == 0 {
			continue
		}
		if s := min(math.Round(100*wanted/rate)/100, maxRouteShare); s > share {
			out[route] = s
		}
	}
	return out
}

const (
	// quickWindows is the number of recent windows that quickFault considers.
	quickWindows = 4
	// quickMinErrors and quickMinRatio are the minimum number and ratio of failed
	// requests of a route for a fault.
	quickMinErrors = 6
	quickMinRatio  = 0.15
	// quickMinFactor is the minimum ratio of the failed requests to one more than
	// the number that the old version would have failed.
	quickMinFactor = 3
	// quickAlpha is the significance level that is also required for periods shorter
	// than quickWindows, and for all periods in the last stage.
	quickAlpha = 1e-3
	// quickMinOldSamples is the minimum number of samples of the old version in a
	// window that is compared.
	quickMinOldSamples = 2
	// quickMinOldFraction is the minimum number of requests of the old version in a
	// window as a fraction of those of the new one. Below it, the old version
	// received requests in only a part of the window.
	quickMinOldFraction = 0.08
)

// quickFault detects a new version that suddenly fails many requests, for which the
// exact test needs samples of both versions over several seconds. The old version
// must have failed far fewer requests in the same windows. Once all requests go to
// the new version, no comparison is possible.
func (e *Evidence) quickFault(m fold.Move, now time.Time) (finding, bool) {
	all := e.view(m, now, omission{})
	newest := WindowOf(m, now)
	// In the last stage, the old version has few requests in the newest windows.
	atEnd := progress(m, now) >= timedSchedule[len(timedSchedule)-1].at
	for route, windows := range all.routes {
		// The shorter periods reveal a fault that has just begun.
		for _, after := range []int64{newest - 1, newest - 2, newest - quickWindows, math.MinInt64} {
			to, from, expected := sumComparable(windows, after)
			if !isQuickFault(to, expected) {
				continue
			}
			if (after > newest-quickWindows || atEnd) && excessPValue([]stratum{{to.Requests, from.Requests, to.Errors, from.Errors}}) > quickAlpha {
				continue
			}
			if failing, used := e.countFailing(m, route, after); 2*failing < used {
				continue
			}
			return finding{reason: reasonErrors, route: route, detail: fmt.Sprintf("%d of %d requests failed on %s, %d of %d on %s",
				to.Errors, to.Requests, m.To, from.Errors, from.Requests, m.From)}, true
		}
	}
	return finding{}, false
}

// countFailing returns the number of instances of the new version with failed
// requests, and with any requests. A faulty version fails on most of them; an
// unhealthy instance or availability zone affects only some.
func (e *Evidence) countFailing(m fold.Move, route string, after int64) (failing, used int) {
	byInstance := make(map[string]*Counters)
	for s, cells := range e.cells {
		if s.move != m.ID || s.route != route {
			continue
		}
		for i := range cells {
			if c := &cells[i]; c.version == m.To && c.window > after {
				if byInstance[s.instance] == nil {
					byInstance[s.instance] = new(Counters)
				}
				byInstance[s.instance].add(&c.counters)
			}
		}
	}
	for _, c := range byInstance {
		if c.Requests > 0 {
			used++
		}
		if c.Errors > 0 {
			failing++
		}
	}
	return failing, used
}

// isQuickFault reports whether the new version failed at least quickMinRatio of the
// requests, and many more than the old one would have.
func isQuickFault(to Counters, expected float64) bool {
	return to.Errors >= quickMinErrors && errorRatio(to) >= quickMinRatio && float64(to.Errors) >= quickMinFactor*(expected+1)
}

// sumComparable sums the windows after the given one in which the old version also
// had requests. It returns the expected number of failed requests of the new version
// if it failed as often as the old one in the same windows. Without requests of the
// old version, a fault of a common dependency looks like one of the new version.
func sumComparable(windows map[int64]*pair, after int64) (to, from Counters, expected float64) {
	for w, p := range windows {
		if w <= after || p.from.Requests < quickMinOldSamples || float64(p.from.Requests) < quickMinOldFraction*float64(p.to.Requests) {
			continue
		}
		to.add(&p.to)
		from.add(&p.from)
		expected += errorRatio(p.from) * float64(p.to.Requests)
	}
	// A few requests without a failure do not prove an error ratio of zero.
	return to, from, expected + float64(to.Requests)/float64(from.Requests+1)
}

func errorRatio(c Counters) float64 {
	if c.Requests == 0 {
		return 0
	}
	return float64(c.Errors) / float64(c.Requests)
}
