package move

import (
	"fmt"
	"math"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

// A timed move is one whose record gives a length of time instead of a start and
// an end. It is short, so that its windows are short too, and an undetected fault
// must not reach more than canaryPercent of all requests in that time. The share
// therefore stays low for half of the time, and the stages after it are as short
// as a verdict takes.
//
// At the end of the last stage the old version stops at once and gets no time to
// drain, so the new one takes all requests for a while before.

const (
	// timedWindowMin is the shortest window; a busy route has enough samples in
	// it for a comparison.
	timedWindowMin = 500 * time.Millisecond
	// timedWindows is the number of windows of a longer timed move, within
	// KeptWindows.
	timedWindows = 20
	// timedSettle is settleTime of a timed move.
	timedSettle = 500 * time.Millisecond
	// timedDoneAt is the part of the time after which the move is done. The rest
	// is left for the report and for another try of it.
	timedDoneAt = 0.88
	// timedLimit is the sum of the shares before the last stage of
	// timedSchedule, weighted by time, with room for the time of a verdict.
	timedLimit = 0.1
	// timedMinSamples is the number of samples of the new version that the
	// stages after the first need.
	timedMinSamples = 30
	// routeRate is the number of requests a second of each route that reach the
	// new version, as far as routeLimit of the route allows. A fault on a route
	// with little traffic would otherwise show in the last stage only, and a few
	// requests a second are a small part of all.
	routeRate  = 4
	routeLimit = 0.25
	// routesLimit bounds the part of all requests that routeRate takes.
	routesLimit = 0.06
	// routeMargin is the room for a rate below the mean.
	routeMargin = 1.15
)

// timedSchedule exposes 9 percent of the requests before the last stage. A fault
// that grows with the load shows at half of it, where each second is cheaper. The
// share then falls back until that evidence has reached all daemons, which takes
// more than a second on a large fleet of small machines; each second at a high share
// without evidence costs a tenth of what may be exposed.
var timedSchedule = []stage{{0, FirstShare}, {0.48, 0.1}, {0.55, 0.25}, {0.6, 0.5}, {0.7, FirstShare}, {0.83, 1}}

// pauseOver is the part of the time after which the evidence of half load is
// complete: it is up to 1.3 s old on the largest fleets that were measured.
const pauseOver = 0.78

// FirstShare is the share of the first stage of a timed move.
const FirstShare = 0.04

// timedWindow returns the length of the windows of a timed move.
func timedWindow(m fold.Move) time.Duration {
	return max(timedWindowMin, time.Duration(m.Within)/timedWindows)
}

// settle returns the time in which a host recognises trouble and its report
// arrives.
func settle(m fold.Move) time.Duration {
	if m.Within > 0 {
		return timedSettle
	}
	return settleTime
}

// Scheduled returns the share of a timed move against which nothing speaks.
func Scheduled(m fold.Move, canaryPercent int, now time.Time) float64 {
	share := shareAt(timedSchedule, progress(m, now))
	if share < 1 {
		share *= min(1, canaryLimit(canaryPercent)/timedLimit)
	}
	return share
}

// LoadEvidenceComplete returns the time from which on the evidence of half load is complete.
// What was known before does not speak for the last stage.
func LoadEvidenceComplete(m fold.Move) time.Time {
	return m.StartAt.Add(time.Duration(pauseOver * float64(m.DoneBy.Sub(m.StartAt))))
}

// timedShare returns the share of a timed move. A suspicion holds it at the first
// stage.
func (e *Evidence) timedShare(m fold.Move, canaryPercent int, now time.Time) float64 {
	share, first := Scheduled(m, canaryPercent, now), Scheduled(m, canaryPercent, m.StartAt)
	if share == first {
		return first
	}
	v := e.view(m, now, omission{})
	if v.since(0).to.Requests < timedMinSamples || e.suspect(v, m, now) {
		return first
	}
	if _, doubt := v.doubtful(m); doubt && progress(m, now) >= doubtFrom {
		return first
	}
	return share
}

const (
	// doubtFrom is the part of the time, the begin of half load, from which on a
	// doubt holds a timed move back.
	doubtFrom = 0.6
	// doubtAlpha is the level of a doubt: two good versions in a hundred at most are
	// taken back wrongly.
	doubtAlpha = 0.02
	// loadedPart is the part of all requests from which on the new version has load.
	// Only the stage at half of the requests reaches it.
	loadedPart = 0.3
	// doubtEnd is the part of the time after which a doubt takes the version back:
	// it cannot be done in time any more.
	doubtEnd = 0.94
	// doubtHits is the least number of failed requests of a doubt.
	doubtHits = 3
)

// doubtful reports whether the new version fails more requests than the old one at
// a level that is too weak to take it back.
//
// Only windows count in which the new version had load: a fault that grows with it
// does not show at the share to which the doubt lowers it, and must not be forgotten
// there.
func (v view) doubtful(m fold.Move) (finding, bool) {
	var all [][]*pair
	for _, windows := range v.routes {
		loaded := make(map[int64]*pair)
		for w, p := range windows {
			if total := v.total[w]; float64(total.to.Requests) >= loadedPart*float64(total.to.Requests+total.from.Requests) {
				loaded[w] = p
			}
		}
		all = append(all, blocks(loaded, math.MinInt64))
	}
	return compareErrors(m, all, level{doubtAlpha, doubtHits})
}

// timedDone reports whether the new version of a timed move has taken all
// requests to the end of the last stage.
func (e *Evidence) timedDone(m fold.Move, now time.Time) bool {
	return m.State == fold.MoveRunning && progress(m, now) >= timedDoneAt && e.timedShare(m, 100, now) == 1
}

// RouteShares returns the shares of routes with little traffic, which are above the
// given share of the move before its last stage.
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
	// The first stage must yield enough samples, also with little traffic.
	least := routeMargin * timedMinSamples / (timedSchedule[1].at * time.Duration(m.Within).Seconds())
	wanted := min(routeRate, max(routesLimit*all, least)/float64(len(rates)))
	out := make(map[string]float64)
	for route, rate := range rates {
		if rate == 0 {
			continue
		}
		if s := min(math.Round(100*wanted/rate)/100, routeLimit); s > share {
			out[route] = s
		}
	}
	return out
}

const (
	// quickWindows is the number of windows that quickFault looks at.
	quickWindows = 4
	// quickHits and quickRatio are the least number and share of failed requests
	// of a route that it takes for a fault.
	quickHits  = 6
	quickRatio = 0.15
	// quickFactor is the least factor between the failed requests and those that
	// the old version would have failed, and one more.
	quickFactor = 3
	// quickAlpha is the level that periods shorter than quickWindows need besides,
	// and all of them at the end.
	quickAlpha = 1e-3
	// quickSamples of the old version in a window tell how it does there.
	quickSamples = 2
	// quickPart of the requests of the new version is what the old one must have in
	// a window; below it, it had requests in a part of the window only.
	quickPart = 0.08
)

// quickFault finds a new version that fails many requests at once. The exact test
// needs several seconds of both versions for the same. The old version must have
// done much better in the same windows; once all requests have moved, there is
// nothing left to compare.
func (e *Evidence) quickFault(m fold.Move, now time.Time) (finding, bool) {
	all := e.view(m, now, omission{})
	newest := WindowOf(m, now)
	// With all requests moved, the old version has few in the newest windows.
	atEnd := progress(m, now) >= timedSchedule[len(timedSchedule)-1].at
	for route, windows := range all.routes {
		// The shorter periods show a fault that has just begun.
		for _, after := range []int64{newest - 1, newest - 2, newest - quickWindows, math.MinInt64} {
			to, from, expected := compared(windows, after)
			if !isQuickFault(to, expected) {
				continue
			}
			if (after > newest-quickWindows || atEnd) && excess([]stratum{{to.Requests, from.Requests, to.Errors, from.Errors}}) > quickAlpha {
				continue
			}
			if failing, used := e.spread(m, route, after); 2*failing < used {
				continue
			}
			return finding{reason: reasonErrors, route: route, detail: fmt.Sprintf("%d of %d requests failed on %s, %d of %d on %s",
				to.Errors, to.Requests, m.To, from.Errors, from.Requests, m.From)}, true
		}
	}
	return finding{}, false
}

// spread returns on how many instances of the new version requests failed, and on
// how many there were any. A version fails on most of them, a sick instance or
// availability zone on some.
func (e *Evidence) spread(m fold.Move, route string, after int64) (failing, used int) {
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

// isQuickFault reports whether the new version failed a good part of all requests,
// and many more than the old one would have.
func isQuickFault(to Counters, expected float64) bool {
	return to.Errors >= quickHits && errorRatio(to) >= quickRatio && float64(to.Errors) >= quickFactor*(expected+1)
}

// compared sums the windows after the given one in which the old version had
// requests too, and returns how many requests of the new version would have failed
// if it failed as often as the old one in the same windows. Without the old version,
// a fault of what both depend on looks like one of the new version.
func compared(windows map[int64]*pair, after int64) (to, from Counters, expected float64) {
	for w, p := range windows {
		if w <= after || p.from.Requests < quickSamples || float64(p.from.Requests) < quickPart*float64(p.to.Requests) {
			continue
		}
		to.add(&p.to)
		from.add(&p.from)
		expected += errorRatio(p.from) * float64(p.to.Requests)
	}
	// Few requests without a failure do not show that none would fail.
	return to, from, expected + float64(to.Requests)/float64(from.Requests+1)
}

func errorRatio(c Counters) float64 {
	if c.Requests == 0 {
		return 0
	}
	return float64(c.Errors) / float64(c.Requests)
}
