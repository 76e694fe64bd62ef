package move

import (
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
	routeRate  = 3
	routeLimit = 0.25
)

// timedSchedule exposes 7 percent of the requests before its last stage.
var timedSchedule = []stage{{0, 0.05}, {0.55, 0.15}, {0.65, 0.3}, {0.74, 1}}

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

// timedShare returns the share of a timed move. A suspicion holds it at the first
// stage.
func (e *Evidence) timedShare(m fold.Move, limit float64, now time.Time) float64 {
	share := shareAt(timedSchedule, progress(m, now))
	first := timedSchedule[0].share * min(1, limit/timedLimit)
	if share == timedSchedule[0].share {
		return first
	}
	v := e.view(m, now, omission{})
	if v.since(0).to.Requests < timedMinSamples || e.suspect(v, m, now) {
		return first
	}
	if share < 1 {
		share *= min(1, limit/timedLimit)
	}
	return share
}

// timedDone reports whether the new version of a timed move has taken all
// requests to the end of the last stage.
func (e *Evidence) timedDone(m fold.Move, now time.Time) bool {
	return m.State == fold.MoveRunning && progress(m, now) >= timedDoneAt && e.timedShare(m, 1, now) == 1
}

// RouteShares returns the shares of routes with little traffic, which are above the
// given share of the move before its last stage.
func (e *Evidence) RouteShares(m fold.Move, share float64, now time.Time) map[string]float64 {
	elapsed := now.Sub(m.StartAt).Seconds()
	if m.Within <= 0 || share <= 0 || share >= 1 || elapsed < 2*timedWindow(m).Seconds() {
		return nil
	}
	out := make(map[string]float64)
	for route, windows := range e.view(m, now, omission{}).routes {
		var n uint64
		for _, p := range windows {
			n += p.to.Requests + p.from.Requests
		}
		if rate := float64(n) / elapsed; rate > 0 {
			if s := min(math.Round(100*routeRate/rate)/100, routeLimit); s > share {
				out[route] = s
			}
		}
	}
	return out
}
