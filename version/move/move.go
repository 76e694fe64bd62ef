// Package move decides how a move of an upstream from one version to another
// proceeds: the share of traffic that the new version receives, whether the
// new version has a fault, and when the move is done.
//
// All decisions are pure functions of the record of the move, the time and the
// merged evidence. Daemons that hold the same evidence reach the same decision,
// without a leader.
//
// # Evidence
//
// Hosts count the requests to their own instance per move, route, upstream
// version and time window. Counters are grow-only, and evidence is merged by
// taking the maximum of each field, so messages may be lost, duplicated or
// reordered. Only the newest windows of each instance and route are kept.
//
// # Share
//
// The share rises in the stages 1%, 5%, 25%, 50% and 95% at 0, 20, 40, 60 and
// 80 percent of the time between startAt and doneBy. Each stage after the first
// needs MinSamples samples of the new version from windows in which it received
// at least half of the share of the previous stage. If there is too little
// traffic for that, the share is the one that yields enough samples, up to
// canaryPercent, and then follows a later schedule: 25% and 50% at 55 and 70
// percent of the time, after which the move is done without a further stage.
//
// The old version keeps 5% of the traffic until the move is done, so that both
// versions are always compared over the same period. A comparison with the past
// alone cannot distinguish a fault of the version from a fault of a dependency.
// Such a comparison only lowers the share to canaryPercent, which gives the old
// version enough traffic for a direct comparison.
//
// # Verdict
//
// Both versions are compared on errors and on the latency quantiles p50, p90 and
// p99, per route and over all routes. The test is exact and stratified by time
// and route: a period in which both versions fail or are slow together counts
// against neither. With at least three instances of the new version, the fault
// must remain significant without the worst third of them. A verdict also needs
// the fault in more than one window, or a few seconds without signs of cold start
// or overload after it, because a host may detect these late. Until then the
// share is lowered to canaryPercent.
//
// Samples taken during cold start, overload or a zone disturbance are excluded. If
// most samples of an instance are excluded, so are its few others at that time. A
// version without other samples stays at canaryPercent. If that is still the case
// when the time is up, and not so for the old version, it is rolled back.
//
// # Usage
//
//	var ev move.Evidence
//	counters.Add(took, failed, excluded) // the host, after each request
//	ev.Merge(key, counters)              // own counters and those of peers
//	if v, ok := ev.Judge(m, now); ok {
//		verdicts = append(verdicts, v) // grow-only; appended to the log later
//	}
//	share := ev.Share(m, preset.CanaryPercent, takenBack, now)
//	if ev.Done(m, now) {
//		// append moveDone
//	}
package move

import (
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

// MinSamples is the number of samples of the new version that a stage needs.
// With it, a fault that affects one request in twenty is almost certainly
// detected.
const MinSamples = 200

// soakEnd is the fraction of the time after which the move may be done. The rest
// is reserved for appending the record and distributing it before doneBy.
const soakEnd = 0.95

// finalShare is the share of the last stage. The old version keeps the rest until
// the move is done, so that both versions can be compared.
const finalShare = 0.95

// stageFraction is the duration of a stage as a fraction of the move.
const stageFraction = 0.2

// estimateAt is the fraction of the time after which the traffic is estimated. A
// version with little traffic then receives the share that yields enough samples,
// up to canaryPercent.
const estimateAt = 0.05

// stage is a share and the fraction of the time at which it begins.
type stage struct {
	at, share float64
}

// schedule applies while there is enough evidence.
var schedule = []stage{{0, 0.01}, {0.2, 0.05}, {0.4, 0.25}, {0.6, 0.5}, {0.8, finalShare}}

// lowTrafficSchedule applies above canaryPercent if there is too little traffic
// for enough evidence. It ends at equal shares, which need the least traffic for a
// comparison of both versions.
var lowTrafficSchedule = []stage{{0, 0}, {0.55, 0.25}, {0.7, 0.5}}

// Verdict is a permanent decision against a move.
type Verdict struct {
	Move int64
	// Reason is the kind of the fault: errors, p50, p90, p99 or stalled.
	Reason string
	// Evidence describes the route and the figures of both versions.
	Evidence string
	At       time.Time
}

// Judge returns a verdict against the move if the merged evidence shows a fault
// of the new version. The caller must keep the verdict, because the evidence
// expires.
func (e *Evidence) Judge(m fold.Move, now time.Time) (Verdict, bool) {
	if m.State != fold.MoveRunning || now.Before(m.StartAt) {
		return Verdict{}, false
	}
	v := e.view(m, now, omission{})
	f, ok := e.fault(v, m, now, judgeAlpha, true)
	if !ok && m.Within > 0 {
		f, ok = e.quickFault(m, now)
		if !ok && progress(m, now) >= weakFaultRollbackAt {
			f, ok = v.weakFaultUnderLoad(m)
		}
	}
	if !ok {
		f, ok = v.stalled(m, now)
	}
	if !ok {
		return Verdict{}, false
	}
	return Verdict{Move: m.ID, Reason: f.reason, Evidence: f.String(), At: now}, true
}

// Share returns the share of traffic in [0,1] that goes to the new version. It is
// 0 once the move is taken back and 1 once it is done. Without enough evidence it
// is at most canaryPercent, except late in a move with little traffic.
func (e *Evidence) Share(m fold.Move, canaryPercent int, takenBack bool, now time.Time) float64 {
	switch {
	case takenBack || m.State == fold.MoveTakenBack:
		return 0
	case m.State == fold.MoveDone:
		return 1
	case m.State != fold.MoveRunning || now.Before(m.StartAt):
		return 0
	}
	if m.Within > 0 {
		return e.timedShare(m, canaryPercent, now)
	}
	limit := canaryLimit(canaryPercent)
	elapsed := progress(m, now)
	v := e.view(m, now, omission{})
	n := v.stageReached(elapsed)
	share := schedule[n].share
	if n == 0 {
		share = min(share, limit)
	}
	sparse, overloaded := v.sparse(m, now, schedule[n].share), v.overloaded(m, now)
	if sparse || overloaded {
		// An instance leaves cold start only if it receives requests, so a version
		// without evidence does not stay at the first stage.
		share = max(share, min(shareAt(schedule, elapsed), limit))
	}
	if sparse {
		share = max(share, shareAt(lowTrafficSchedule, elapsed))
		if elapsed >= estimateAt {
			share = max(share, min(2*MinSamples/v.expectedRequests(m, now), limit))
		}
	}
	if share > limit && (overloaded || e.suspect(v, m, now)) {
		share = limit
	}
	return share
}

// canaryLimit returns a percentage in [0,100] as a share.
func canaryLimit(percent int) float64 { return float64(min(max(percent, 0), 100)) / 100 }

// Done reports whether the move is complete and moveDone must be appended: the
// last stage has lasted until the end of the soak period without a fault.
func (e *Evidence) Done(m fold.Move, now time.Time) bool {
	if m.Within > 0 {
		return e.timedDone(m, now)
	}
	if m.State != fold.MoveRunning || progress(m, now) < soakEnd {
		return false
	}
	share := e.Share(m, 0, false, now)
	v := e.view(m, now, omission{})
	if share < finalShare {
		return share >= 0.5 && v.sparse(m, now, 0.5)
	}
	return v.samplesAtShare(finalShare) >= MinSamples || v.sparse(m, now, finalShare)
}

// progress returns the elapsed fraction of the time between startAt and doneBy.
func progress(m fold.Move, now time.Time) float64 {
	return now.Sub(m.StartAt).Seconds() / m.DoneBy.Sub(m.StartAt).Seconds()
}

func shareAt(stages []stage, elapsed float64) float64 {
	share := 0.0
	for _, s := range stages {
		if elapsed >= s.at {
			share = s.share
		}
	}
	return share
}

// stageReached returns the highest stage that the elapsed time and the evidence
// allow.
func (v *view) stageReached(elapsed float64) int {
	n := 0
	for n+1 < len(schedule) && elapsed >= schedule[n+1].at && v.samplesAtShare(schedule[n].share) >= MinSamples {
		n++
	}
	return n
}

// samplesAtShare returns the number of samples of the new version in windows in
// which it received at least half of the given share.
func (v *view) samplesAtShare(share float64) uint64 {
	var n uint64
	for _, p := range v.total {
		if to, from := p.to.Requests, p.from.Requests; to > 0 && float64(to) >= share/2*float64(to+from) {
			n += to
		}
	}
	return n
}

// sparse reports whether there is too little traffic to yield enough samples at
// the given share within one stage. It returns false if the new version lacks
// samples although the old one has enough: the new version then receives no
// requests for another reason.
func (v *view) sparse(m fold.Move, now time.Time, share float64) bool {
	if v.expectedRequests(m, now)*share >= 2*MinSamples {
		return false
	}
	p := v.since(WindowOf(m, now) - stageWindows(m))
	want := float64(p.to.Requests+p.from.Requests) * schedule[0].share
	return want < 4 || float64(p.to.Requests) >= want/4
}

// stageWindows returns the number of windows in a stage, up to KeptWindows.
func stageWindows(m fold.Move) int64 {
	n := int64(m.DoneBy.Sub(m.StartAt).Seconds() * stageFraction / WindowSeconds)
	return min(max(n, recentWindows), KeptWindows)
}

// expectedRequests estimates the number of requests in one stage.
func (v *view) expectedRequests(m fold.Move, now time.Time) float64 {
	n := stageWindows(m)
	p := v.since(WindowOf(m, now) - n)
	passed := min(max(WindowOf(m, now)-WindowOf(m, m.StartAt), 1), n)
	return max(float64(p.to.Requests+p.from.Requests)*float64(n)/float64(passed), 1)
}

// overloaded reports whether most of the recent samples of the new version, but
// not of the old one, were excluded. There is then no evidence for a high share.
func (v *view) overloaded(m fold.Move, now time.Time) bool {
	p := v.since(WindowOf(m, now) - recentWindows)
	return p.to.Excluded > p.to.Requests && p.from.Excluded <= p.from.Requests
}

// since returns the sum of all windows after the given one.
func (v *view) since(window int64) (sum pair) {
	for w, p := range v.total {
		if w > window {
			sum.to.add(&p.to)
			sum.from.add(&p.from)
		}
	}
	return sum
}
