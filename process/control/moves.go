package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/move"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

const (
	// reportStagger is the wait of each further zone before it reports a move, in
	// case the zones before it cannot.
	reportStagger = time.Second
	// reportRetryDelay is the pause before a report is tried again.
	reportRetryDelay = 700 * time.Millisecond
	// endGossipPeriod is how long the end of a move is told to peers. It covers the
	// time in which each daemon has exchanged with another that knows it.
	endGossipPeriod = time.Minute
	// judgeTask names the task of judging timed moves, and judges is the number of
	// daemons for it. Each host sends its counters to all of them.
	judgeTask = "judge"
	judges    = 2
	// judgementTTL is how long the word of a judge is used. It covers several
	// reports to it.
	judgementTTL = 3 * time.Second
	// maxUndelivered bounds the counters that are kept for a judge: some windows of a
	// dozen routes, each about 60 bytes.
	maxUndelivered = 128
	// holdPeriod is how long a move is held after a judge has said so, also where
	// the other one says otherwise. It covers the pause between two reports.
	holdPeriod = 1500 * time.Millisecond
	// startTolerance is the difference between two starts of a move that is left as it
	// is. A message takes some milliseconds.
	startTolerance = 100 * time.Millisecond
)

// Report is the state of a move as it is told to operators.
type Report struct {
	// Move is the offset of the record that ordered the move.
	Move     int64
	Upstream string
	// To is the version that the move goes to.
	To     string
	State  fold.MoveState
	Reason string
}

// Outcomes keeps the reports of moves. The first end of a move that is kept
// stands; daemons that decide otherwise take it over.
type Outcomes interface {
	// Report keeps a report and returns the one that stands.
	Report(ctx context.Context, r Report) (Report, error)
	// Reports returns the newest report of each upstream.
	Reports(ctx context.Context) ([]Report, error)
}

// Directory lists the daemons of the mesh, for those that know nobody.
type Directory interface {
	// Enter adds the daemon or replaces its entry.
	Enter(ctx context.Context, m membership.Member) error
	// Remove takes the daemon out.
	Remove(ctx context.Context, name string) error
	// List returns the daemons that entered; some may be gone.
	List(ctx context.Context) ([]membership.Member, error)
}

// progress is what is known of a move whose record gives a length of time.
type progress struct {
	start time.Time
	// end is empty while the move runs.
	end     fold.MoveState
	reason  string
	endedAt time.Time
	// reported is the state that Outcomes holds.
	reported fold.MoveState
	// judgedAt is when a judge has told the state of the move; what it told of
	// routes is in routes.
	judgedAt time.Time
	routes   map[string]float64
	// heldUntil bounds the time for which another judge holds the move at its first
	// stage.
	heldUntil time.Time
	// own is the share by the evidence of this daemon, if it is a judge.
	ownShare float64
}

// judgedShares are the shares of the new version that a judge uses.
type judgedShares struct {
	share  float64
	routes map[string]float64
}

// Events and actions of moves.
type (
	// reportsRead holds the reports that were found on Outcomes.
	reportsRead struct{ reports []Report }
	// moveReported is the report that stands.
	moveReported struct{ report Report }
	readReports  struct{}
	reportMove   struct{ report Report }
)

// progressOf returns what is known of a move, which begins now if it is new.
func (d *decisions) progressOf(id int64, now time.Time) *progress {
	p, ok := d.progress[id]
	if !ok {
		p = &progress{start: now}
		d.progress[id] = p
	}
	return p
}

// time fills in the times of moves by the steady clock of this daemon and ends
// those whose end is known. st must not be shared yet.
func (d *decisions) setMoveTimes(st *fold.State, now time.Time) {
	for _, m := range st.Moves {
		if m.Within <= 0 {
			continue
		}
		p := d.progressOf(m.ID, now)
		if m.State == fold.MoveRunning && p.end != "" {
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

// onReports takes the reports found on Outcomes. Moves without an end there go
// on; the daemon may serve from now on.
func (c *core) onReports(now time.Time, ev reportsRead) {
	c.reportsDue = false
	for _, r := range ev.reports {
		c.onReport(now, r)
	}
	c.serveIfCurrent(now)
}

// onReport takes the state of a move from Outcomes.
func (c *core) onReport(now time.Time, r Report) {
	p := c.decisions.progressOf(r.Move, now)
	p.reported = r.State
	if r.State != fold.MoveRunning {
		c.endMove(now, r.Move, r.State, r.Reason)
	}
}

// endMove takes the end of a move. The first one known stands.
func (c *core) endMove(now time.Time, id int64, end fold.MoveState, reason string) {
	p := c.decisions.progressOf(id, now)
	if p.end != "" {
		return
	}
	p.end, p.reason, p.endedAt = end, reason, now
	c.event(now, timeline.KindMove, id, "move %d is %s: %s", id, end, reason)
	c.refreshMoveTimes(now)
}

// retime puts the state in force again with the moves as they are known now.
func (c *core) refreshMoveTimes(now time.Time) {
	st := c.state.Clone()
	c.decisions.setMoveTimes(st, now)
	c.state = st
	c.dirty = true
}

// forget drops what is known of moves that the state does not remember any more.
func (d *decisions) pruneProgress(st *fold.State) {
	for id := range d.progress {
		if id <= st.Offset && !slices.ContainsFunc(st.Moves, func(m fold.Move) bool { return m.ID == id }) {
			delete(d.progress, id)
			delete(d.reportAfter, id)
		}
	}
}

// reportMoves has the states of moves told to operators. Each zone has one
// daemon for it, and the zones take turns.
func (c *core) reportMoves(now time.Time) {
	if !c.hasOutcomes || !c.logReachable || !c.serving {
		return
	}
	// The judges decide; other zones take over where these cannot reach the log.
	turn := slices.IndexFunc(c.judges(), func(m membership.Member) bool { return m.Name == c.table.Self().Name })
	if turn < 0 {
		if c.table.ZoneRank("end") != 0 {
			return
		}
		turn = judges + c.table.ZoneOrder("end")
	}
	stagger := time.Duration(turn) * reportStagger
	for _, m := range c.state.Moves {
		p := c.decisions.progress[m.ID]
		if p == nil || m.Reason != "" && p.end == "" {
			continue
		}
		want, reason := fold.MoveRunning, ""
		if v, bad := c.decisions.verdicts[m.ID]; bad {
			want, reason = fold.MoveTakenBack, v.Reason+": "+v.Evidence
		} else if c.isJudge() && !now.Before(p.heldUntil) && c.decisions.evidence.Done(m, now) {
			want, reason = fold.MoveDone, "the new version was used to the end without a fault"
		}
		if p.end != "" {
			want, reason = p.end, p.reason
		}
		if p.reported == want || p.reported != "" && p.reported != fold.MoveRunning {
			continue
		}
		due, ok := c.decisions.reportAfter[m.ID]
		if !ok || due.state != want {
			due = reportDue{state: want, at: now.Add(stagger)}
			c.decisions.reportAfter[m.ID] = due
		}
		if now.Before(due.at) {
			continue
		}
		c.decisions.reportAfter[m.ID] = reportDue{state: want, at: now.Add(reportRetryDelay + stagger)}
		c.act(reportMove{Report{Move: m.ID, Upstream: m.Upstream, To: m.To, State: want, Reason: reason}})
	}
}

// reportDue is when the state of a move is to be reported.
type reportDue struct {
	state fold.MoveState
	at    time.Time
}

// judges returns the daemons that hold the counters of all hosts while a timed move
// runs. Exchanges would bring them to all daemons when the move is over.
func (c *core) judges() []membership.Member {
	list := c.table.TaskOwners(judgeTask)
	return list[:min(judges, len(list))]
}

func (c *core) isJudge() bool {
	name := c.table.Self().Name
	return slices.ContainsFunc(c.judges(), func(m membership.Member) bool { return m.Name == name })
}

// reportCounters sends the counters of the own host to the judges, whose answers
// tell the state of the move, and repeats what a judge has not got.
func (c *core) reportCounters(counters []*wirev1.MoveCounters) {
	undelivered := c.decisions.undelivered
	c.decisions.undelivered = make(map[string][]*wirev1.MoveCounters)
	for _, m := range c.judges() {
		if m.Name == c.table.Self().Name {
			continue
		}
		c.act(sendExchange{to: m, update: true, req: &wirev1.ExchangeRequest{
			From: toWire(c.table.Self()), Offset: c.state.Offset, Judge: true, Counters: slices.Concat(undelivered[m.Name], counters),
		}})
	}
}

// onCountersUndelivered keeps counters for the next report to a judge, the newest if
// there are too many. They are merged there, so that what it got after all does no
// harm.
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

// judgement tells the shares of running timed moves to a host that reports.
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

// timedShares returns the shares of a timed move: those of the own evidence on a
// judge, those of the schedule elsewhere unless a judge holds the move, and those of
// the first stage where no judge has told anything. The schedule needs no message, so
// that all daemons change their shares at the same time.
func (c *core) timedShares(m fold.Move, now time.Time) judgedShares {
	d := &c.decisions
	share := d.share(c.state, m, now)
	p := d.progress[m.ID]
	if c.isJudge() && p != nil {
		p.ownShare = share
		if now.Before(p.heldUntil) {
			// The other judge has evidence that is missing here.
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
	if now.Before(p.heldUntil) || share == 1 && p.judgedAt.Before(move.PauseOver(m)) {
		share = move.Scheduled(m, percent, m.StartAt)
	}
	return judgedShares{share, p.routes}
}

// isHeld reports whether the share of a judge is below the schedule. The judge has
// decided on it up to two of its periods before.
func (c *core) isHeld(w *wirev1.MoveProgress, now time.Time) bool {
	m, ok := c.state.RunningMove(w.GetMove())
	if !ok {
		return false
	}
	told := m.StartAt.Add(time.Duration(w.GetElapsedMs()) * time.Millisecond)
	percent := c.canaryPercent(now)
	return w.GetShare() < min(move.Scheduled(m, percent, told), move.Scheduled(m, percent, told.Add(-2*timedDecidePeriod)))
}

func (c *core) canaryPercent(now time.Time) int {
	preset, _ := c.state.InForce(now)
	return preset.CanaryPercent
}

// progressToWire tells peers what this daemon knows of moves.
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

// mergeProgress takes what a peer knows of moves: the earliest start and the
// first end.
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
		c.logPlatformFailure("report of a move", err)
		return
	}
	c.send(moveReported{got})
}

func (c *control) runReadReports(ctx context.Context) {
	list, err := c.outcomes.Reports(ctx)
	if err != nil {
		c.metrics.Add("control.reportFailures", 1)
		c.logPlatformFailure("read of the reports of moves", err)
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
