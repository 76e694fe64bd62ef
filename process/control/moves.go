package control

import (
	"context"
	"errors"
	"reflect"
	"slices"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/move"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

const (
	// reportStagger is the additional delay of each further daemon before it
	// reports a move, in case the daemons before it cannot.
	reportStagger = time.Second
	// reportRetryDelay is the pause before a failed report is repeated.
	reportRetryDelay = 700 * time.Millisecond
	// endGossipPeriod is how long the end of a move is sent to peers. It covers the
	// time until every daemon has exchanged with one that knows it.
	endGossipPeriod = time.Minute
	// judgeTask is the name of the task of judging timed moves, and maxJudges the
	// number of daemons that do it. Each host sends its counters to all of them.
	judgeTask = "judge"
	maxJudges = 2
	// judgementTTL is how long the decision of a judge is used. It covers several
	// reports to the judge.
	judgementTTL = 3 * time.Second
	// maxUndelivered bounds the counters that are kept for a judge: several windows
	// of a dozen routes at about 60 bytes each.
	maxUndelivered = 128
	// holdPeriod is how long a move is held after one judge has said so, even if
	// the other judge does not hold it. It covers the pause between two reports.
	holdPeriod = 1500 * time.Millisecond
	// initialSettlePeriod is how long a version must have been the initial one before an
	// order to it counts as an order to the version in force. The instances of a new
	// version start shortly before its order.
	initialSettlePeriod = 5 * time.Second
	// startTolerance is the largest difference between two start times of a move
	// that is ignored. A message takes some milliseconds.
	startTolerance = 100 * time.Millisecond
)

// Report is the state of a move as reported to operators.
type Report struct {
	// Move is the offset of the newest record that ordered the move.
	Move     int64
	Upstream string
	// To is the target version of the move.
	To     string
	State  fold.MoveState
	Reason string
	// Versions is what the moves of the upstream before this one have decided. It is
	// stored with the report for daemons that start when the log holds only the order of
	// this move.
	Versions fold.Versions
}

// Outcomes stores the reports of moves. The first end stored for a move is final;
// daemons that decided otherwise adopt it.
type Outcomes interface {
	// Report stores a report and returns the one in force.
	Report(ctx context.Context, r Report) (Report, error)
	// Reports returns the newest report of each upstream.
	Reports(ctx context.Context) ([]Report, error)
}

// Directory lists the daemons of the mesh for daemons that know no member.
type Directory interface {
	// Enter adds the daemon or replaces its entry.
	Enter(ctx context.Context, m membership.Member) error
	// Remove removes the daemon's entry.
	Remove(ctx context.Context, name string) error
	// List returns the daemons with an entry; some may be gone.
	List(ctx context.Context) ([]membership.Member, error)
}

// progress is what is known of a timed move.
type progress struct {
	start time.Time
	// end is empty while the move runs.
	end     fold.MoveState
	reason  string
	endedAt time.Time
	// reported is the state stored in Outcomes.
	reported fold.MoveState
	// judgedAt is when a judge last responded about the move; routes holds the
	// route shares from that response.
	judgedAt time.Time
	routes   map[string]float64
	// heldUntil is until when the move is held at its first stage because of a
	// judge's report.
	heldUntil time.Time
	// ownShare is the share by this daemon's own evidence, if it is a judge.
	ownShare float64
}

// judgedShares are the shares of the new version that are in force on a daemon.
type judgedShares struct {
	share  float64
	routes map[string]float64
}

// Events and actions for moves.
type (
	// reportsRead holds the reports stored in Outcomes.
	reportsRead struct{ reports []Report }
	// moveReported holds the report that is in force.
	moveReported struct{ report Report }
	readReports  struct{}
	reportMove   struct{ report Report }
)

// progressOf returns the progress of a move, which starts now if it is new.
func (d *decisions) progressOf(id int64, now time.Time) *progress {
	p, ok := d.progress[id]
	if !ok {
		p = &progress{start: now}
		d.progress[id] = p
	}
	return p
}

// setMoveTimes sets the start and end times of moves by this daemon's monotonic
// clock, and ends those whose end is known. st must not be shared yet.
func (d *decisions) setMoveTimes(st *fold.State, now time.Time) {
	for _, m := range st.Moves {
		if m.Within <= 0 {
			continue
		}
		p := d.progressOf(m.ID, now)
		if m.State == fold.MoveRunning && p.end != "" || m.Replaced && p.end == fold.MoveDone {
			_ = st.EndMove(m.ID, p.end, p.reason)
		}
	}
	for i := range st.Moves {
		m := &st.Moves[i]
		if p := d.progress[m.ID]; p != nil {
			m.StartAt, m.DoneBy = p.start, p.start.Add(time.Duration(m.Within))
		}
	}
}

// onReports handles the reports stored in Outcomes. Moves without a stored end
// continue, and the daemon may serve from now on.
func (c *core) onReports(now time.Time, ev reportsRead) {
	c.reportsDue = false
	for _, r := range ev.reports {
		c.onReport(now, r)
	}
	if now.Sub(c.caughtUpAt) > c.relyPeriod() {
		// The log may hold changes by now that have to be in force. The next read serves.
		c.caughtUp = false
	}
	c.serveIfCurrent(now)
}

// onReport handles the report of a move that is in force in Outcomes.
func (c *core) onReport(now time.Time, r Report) {
	if r.Move > c.state.Offset {
		// The move is not known yet, or the report is of another writer. Peers tell
		// the end of a move.
		c.metrics.Add("control.reportsOfUnknownMoves", 1)
		return
	}
	id, known := r.Move, false
	for _, m := range c.state.Moves {
		switch {
		case m.OrderedAt() == r.Move:
			id, known = m.ID, true
		case m.Upstream == r.Upstream && m.OrderedAt() < r.Move && m.State != fold.MoveRunning:
			// A stored report replaces those of the moves before.
			c.decisions.progressOf(m.ID, now).reported = m.State
		}
	}
	c.learnVersions(r, known, now)
	p := c.decisions.progressOf(id, now)
	p.reported = r.State
	if r.State != fold.MoveRunning {
		c.endMove(now, id, r.State, r.Reason)
	}
}

// learnVersions adds what a report tells of the versions of its upstream. The log retains
// only the newest order, so known is false for a report of the order before that one.
func (c *core) learnVersions(r Report, known bool, now time.Time) {
	versions := []fold.Versions{r.Versions}
	if !known {
		switch r.State {
		case fold.MoveDone:
			versions = append(versions, fold.Versions{Active: r.To, Since: r.Move})
		default:
			// A move that was still running has been replaced by the newer order.
			versions = append(versions, fold.Versions{Withdrawn: []string{r.To}})
		}
	}
	st := c.state.Clone()
	for _, v := range versions {
		st.MergeVersions(r.Upstream, v)
	}
	if !reflect.DeepEqual(st.Versions[r.Upstream], c.state.Versions[r.Upstream]) {
		c.decisions.setMoveTimes(st, now)
		c.replaceState(st)
	}
}

// endMovesInForce ends the moves that new records ordered to a version that was the
// initial one long before; first is the offset of the first of these records.
func (c *core) endMovesInForce(now time.Time, first int64) {
	for _, m := range c.state.Moves {
		if m.ID >= first && c.isToInitial(now, m) {
			c.endMove(now, m.ID, fold.MoveDone, "the version was in force already")
		}
	}
}

// endMovesWithoutOther ends the moves to a version that was the initial one long before
// and has no other version beside it. The share that is left to the version in force would
// be refused, and the trial would spare nobody a bad answer.
func (c *core) endMovesWithoutOther(now time.Time) {
	for _, m := range c.state.Moves {
		if c.isToInitial(now, m) && c.routes.InitialVersions()[m.Upstream] == "" {
			c.endMove(now, m.ID, fold.MoveDone, "no other version runs")
		}
	}
}

// isToInitial reports whether a running move is to a version that was the initial one long
// before, in an upstream of which no move was done.
func (c *core) isToInitial(now time.Time, m fold.Move) bool {
	in := c.initial[m.Upstream]
	return isTimed(m) && in.version == m.To && !in.settledAt.After(now) && c.state.ActiveVersion(m.Upstream) == ""
}

// initialVersion is the initial version of an upstream; orders to it are done at once
// from settledAt on.
type initialVersion struct {
	version   string
	settledAt time.Time
}

// noteInitialVersions notes changes of the initial versions of upstreams.
func (c *core) noteInitialVersions(now time.Time) {
	for upstream, version := range c.routes.InitialVersions() {
		if c.initial[upstream].version != version {
			c.initial[upstream] = initialVersion{version, now.Add(initialSettlePeriod)}
			c.event(now, timeline.KindMove, c.state.Offset, "version %s of %s is in force: no move was done yet, and its instances were the first", version, upstream)
		}
	}
}

// endMove records the end of a move. The first known end is final.
func (c *core) endMove(now time.Time, id int64, end fold.MoveState, reason string) {
	p := c.decisions.progressOf(id, now)
	if p.end != "" {
		return
	}
	p.end, p.reason, p.endedAt = end, reason, now
	c.event(now, timeline.KindMove, id, "move %d is %s: %s", id, end, reason)
	c.refreshMoveTimes(now)
}

// refreshMoveTimes puts the state in force again with the current times and ends of
// moves.
func (c *core) refreshMoveTimes(now time.Time) {
	st := c.state.Clone()
	c.decisions.setMoveTimes(st, now)
	c.replaceState(st)
}

// pruneProgress drops the progress of moves that are no longer in the state.
func (d *decisions) pruneProgress(st *fold.State) {
	for id := range d.progress {
		if id <= st.Offset && !slices.ContainsFunc(st.Moves, func(m fold.Move) bool { return m.ID == id }) {
			delete(d.progress, id)
			delete(d.reportAfter, id)
		}
	}
}

// forgetReports lets the newest move of each upstream be reported again, because the
// report may have been lost.
func (d *decisions) forgetReports(st *fold.State) {
	seen := make(map[string]bool)
	for _, m := range slices.Backward(st.Moves) {
		if p := d.progress[m.ID]; p != nil && !seen[m.Upstream] {
			p.reported = ""
			delete(d.reportAfter, m.ID)
		}
		seen[m.Upstream] = true
	}
}

// reportMoves reports the states of moves to operators. The judges report first,
// then one daemon of each further zone, each after a longer delay.
func (c *core) reportMoves(now time.Time) {
	if !c.hasOutcomes || !c.logReachable || !c.serving {
		return
	}
	// The judges decide on moves. Other zones take over if no judge can reach the
	// log.
	turn := slices.IndexFunc(c.judges(), func(m membership.Member) bool { return m.Name == c.table.Self().Name })
	if turn < 0 {
		if c.table.ZoneRank("end") != 0 {
			return
		}
		turn = maxJudges + c.table.ZoneOrder("end")
	}
	stagger := time.Duration(turn) * reportStagger
	waiting := make(map[string]bool)
	for _, m := range c.state.Moves {
		p := c.decisions.progress[m.ID]
		if p == nil || waiting[m.Upstream] {
			continue
		}
		want, reason := c.reportedState(m, p, now)
		if p.reported == want || p.reported != "" && p.reported != fold.MoveRunning {
			continue
		}
		// Operators read the newest report of an upstream only, so the end of a move is
		// stored before anything about the next one.
		waiting[m.Upstream] = true
		due, ok := c.decisions.reportAfter[m.ID]
		if !ok || due.state != want {
			due = reportDue{state: want, at: now.Add(stagger)}
			c.decisions.reportAfter[m.ID] = due
		}
		if now.Before(due.at) {
			continue
		}
		c.decisions.reportAfter[m.ID] = reportDue{state: want, at: now.Add(reportRetryDelay + stagger)}
		c.act(reportMove{Report{
			Move: m.OrderedAt(), Upstream: m.Upstream, To: m.To, State: want, Reason: reason, Versions: c.state.Versions[m.Upstream],
		}})
	}
}

// reportedState returns the state of a move to be reported, and the reason.
func (c *core) reportedState(m fold.Move, p *progress, now time.Time) (fold.MoveState, string) {
	v, bad := c.decisions.verdicts[m.ID]
	switch {
	case p.end != "":
		return p.end, p.reason
	case m.State != fold.MoveRunning:
		return m.State, m.Reason
	case bad:
		return fold.MoveTakenBack, v.Reason + ": " + v.Evidence
	case c.isJudge() && !now.Before(p.heldUntil) && c.decisions.evidence.Done(m, now):
		return fold.MoveDone, "the new version was used to the end without a fault"
	}
	return fold.MoveRunning, ""
}

// reportDue is when the state of a move is to be reported.
type reportDue struct {
	state fold.MoveState
	at    time.Time
}

// judges returns the daemons that collect the counters of all hosts while a timed
// move runs. Periodic exchanges would deliver them to all daemons only after the
// move is over.
func (c *core) judges() []membership.Member {
	list := c.table.TaskOwners(judgeTask)
	return list[:min(maxJudges, len(list))]
}

func (c *core) isJudge() bool {
	name := c.table.Self().Name
	return slices.ContainsFunc(c.judges(), func(m membership.Member) bool { return m.Name == name })
}

// reportCounters sends the host's counters to the judges, whose responses carry the
// state of the move. It repeats those that a judge has not received.
func (c *core) reportCounters(counters []*wirev1.MoveCounters) {
	undelivered := c.decisions.undelivered
	c.decisions.undelivered = make(map[string][]*wirev1.MoveCounters)
	for _, m := range c.judges() {
		if m.Name == c.table.Self().Name {
			continue
		}
		req := c.newExchange()
		req.Judge, req.Counters = true, slices.Concat(undelivered[m.Name], counters)
		c.act(sendExchange{to: m, update: true, req: req})
	}
}

// onCountersUndelivered keeps counters for the next report to a judge, only the
// newest if there are too many. The judge merges them, so those that did arrive do
// no harm.
func (c *core) onCountersUndelivered(ev countersUndelivered) {
	kept := slices.Concat(c.decisions.undelivered[ev.judge], ev.counters)
	kept = slices.DeleteFunc(kept, func(n *wirev1.MoveCounters) bool { return !c.running(n.GetMove()) })
	if n := len(kept) - maxUndelivered; n > 0 {
		c.metrics.Add("control.countersLost", int64(n))
		kept = kept[n:]
	}
	if len(kept) > 0 {
		c.decisions.undelivered[ev.judge] = kept
	}
}

// judgement returns the shares of running timed moves for a reporting host.
func (c *core) judgement(now time.Time) []*wirev1.MoveProgress {
	if !c.isJudge() {
		return nil
	}
	out := c.decisions.progressToWire(now)
	for _, w := range out {
		if m, ok := c.state.RunningMove(w.GetMove()); ok && isTimed(m) {
			w.Judged, w.Share, w.RouteShares = true, c.decisions.progressOf(m.ID, now).ownShare, c.decisions.routeShares[m.ID]
		}
	}
	return out
}

// timedShares returns the shares of a timed move. A judge uses its own evidence.
// Other daemons follow the schedule unless a judge holds the move, and stay at the
// first stage if no judge has responded recently. The schedule needs no message, so
// all daemons change their shares at the same time.
func (c *core) timedShares(m fold.Move, now time.Time) judgedShares {
	d := &c.decisions
	share := d.share(c.state, m, now)
	p := d.progress[m.ID]
	if c.isJudge() && p != nil {
		p.ownShare = share
		if now.Before(p.heldUntil) {
			// The other judge has evidence that this one lacks.
			share = min(share, move.Scheduled(m, c.canaryPercent(now), m.StartAt))
		}
	}
	if c.isJudge() || share == 0 {
		return judgedShares{share, d.evidence.RouteShares(m, share, now)}
	}
	if p == nil || now.After(p.judgedAt.Add(judgementTTL)) {
		return judgedShares{share: min(share, move.FirstShare)}
	}
	percent := c.canaryPercent(now)
	share = move.Scheduled(m, percent, now)
	if now.Before(p.heldUntil) || share == 1 && p.judgedAt.Before(move.LoadEvidenceComplete(m)) {
		share = move.Scheduled(m, percent, m.StartAt)
	}
	return judgedShares{share, p.routes}
}

// isHeld reports whether the share reported by a judge is below the schedule. The
// judge may have decided on it up to two decision periods earlier.
func (c *core) isHeld(w *wirev1.MoveProgress, now time.Time) bool {
	m, ok := c.state.RunningMove(w.GetMove())
	if !ok {
		return false
	}
	reportedAt := m.StartAt.Add(time.Duration(w.GetElapsedMs()) * time.Millisecond)
	percent := c.canaryPercent(now)
	return w.GetShare() < min(move.Scheduled(m, percent, reportedAt), move.Scheduled(m, percent, reportedAt.Add(-2*timedDecidePeriod)))
}

func (c *core) canaryPercent(now time.Time) int {
	preset, _ := c.state.InForce(now)
	return preset.CanaryPercent
}

// progressToWire returns the known progress of moves for peers.
func (d *decisions) progressToWire(now time.Time) []*wirev1.MoveProgress {
	var out []*wirev1.MoveProgress
	for id, p := range d.progress {
		if p.end != "" && now.After(p.endedAt.Add(endGossipPeriod)) {
			continue
		}
		out = append(out, &wirev1.MoveProgress{
			Move: id, ElapsedMs: now.Sub(p.start).Milliseconds(), End: string(p.end), Reason: p.reason,
		})
	}
	return out
}

// mergeProgress merges a peer's progress of moves: the earliest start and the first
// end win.
func (c *core) mergeProgress(now time.Time, list []*wirev1.MoveProgress) {
	moved := false
	for _, w := range list {
		p := c.decisions.progressOf(w.GetMove(), now)
		if start := now.Add(-time.Duration(w.GetElapsedMs()) * time.Millisecond); start.Before(p.start.Add(-startTolerance)) {
			p.start, moved = start, true
		}
		if w.GetJudged() {
			p.judgedAt, p.routes = now, w.GetRouteShares()
			if c.isHeld(w, now) {
				p.heldUntil = now.Add(holdPeriod)
			}
		}
		if end := fold.MoveState(w.GetEnd()); end == fold.MoveDone || end == fold.MoveTakenBack {
			c.endMove(now, w.GetMove(), end, w.GetReason())
		}
	}
	if moved {
		c.refreshMoveTimes(now)
	}
}

func (c *control) runReport(ctx context.Context, a reportMove) {
	got, err := c.outcomes.Report(ctx, a.report)
	if err != nil {
		c.metrics.Add("control.reportFailures", 1)
		c.logPlatformFailure("store a move report", err)
		return
	}
	c.send(moveReported{got})
}

func (c *control) runReadReports(ctx context.Context) {
	list, err := c.outcomes.Reports(ctx)
	if err != nil {
		c.metrics.Add("control.reportFailures", 1)
		c.logPlatformFailure("list the move reports", err)
		return
	}
	c.send(reportsRead{list})
}

// logPlatformFailure logs a failed call to the platform, unless the daemon is stopping.
func (c *control) logPlatformFailure(what string, err error) {
	if c.ctx.Err() == nil && !errors.Is(err, context.Canceled) {
		c.logger.Warn("call to the platform failed", "call", what, "error", err)
	}
}
