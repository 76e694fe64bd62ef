package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/request/quarantine"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/move"
	"github.com/kingcuppitch/kingcuppitch/version/record"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

const (
	// decidePeriod is the period of decisions on moves. One decision takes 2.5 ms
	// with 200 instances and 10 routes.
	decidePeriod = time.Second
	// timedDecidePeriod is decidePeriod while a timed move runs.
	timedDecidePeriod = 200 * time.Millisecond
	// moveEndRetryDelay is the pause before a verdict or the end of a move is
	// appended again if it has not been folded.
	moveEndRetryDelay = 2 * time.Second
	// exchangedWindows is the number of counter windows in a periodic exchange.
	exchangedWindows = 3
	// exchangedFingerprints bounds the fingerprints of crashes, newest first, and
	// of completions in a periodic exchange. Each takes about ten bytes. A new
	// crash report is forwarded to all daemons anyway.
	exchangedFingerprints = 128
	// appendersPerZone is the number of daemons in a zone that append the end of a
	// move. The fold ignores repeated ids.
	appendersPerZone = 1
)

// decisions holds the merged evidence on which daemons decide without the log.
type decisions struct {
	evidence move.Evidence
	verdicts map[int64]move.Verdict
	crashes  *quarantine.Set
	// quarantined holds the quarantined fingerprints that the timeline tells.
	quarantined map[uint64]time.Time
	// appendAfter holds when the end of a move may be appended again.
	appendAfter map[int64]time.Time
	// progress holds the timed moves and reportAfter when their states are next
	// reported to operators.
	progress map[int64]*progress
	// undelivered holds the counters that a judge has not received, by the judge's
	// name.
	undelivered map[string][]*wirev1.MoveCounters
	reportAfter map[int64]reportDue
	shares      map[int64]float64
	routeShares map[int64]map[string]float64
	decideAfter time.Time
}

// Events for decisions.
type (
	countersMeasured struct {
		counters map[move.Key]move.Counters
	}
	// countersUndelivered says that a report to a judge failed.
	countersUndelivered struct {
		judge    string
		counters []*wirev1.MoveCounters
	}
	crashReported struct{ crash quarantine.Crash }
)

func newDecisions() decisions {
	return decisions{
		verdicts: make(map[int64]move.Verdict), crashes: new(quarantine.Set),
		appendAfter: make(map[int64]time.Time), shares: make(map[int64]float64),
		routeShares: make(map[int64]map[string]float64), undelivered: make(map[string][]*wirev1.MoveCounters),
		progress: make(map[int64]*progress), reportAfter: make(map[int64]reportDue),
	}
}

func (c *core) handleDecision(ev any, now time.Time, rnd float64) any {
	switch ev := ev.(type) {
	case countersMeasured:
		c.onCounters(now, rnd, ev)
	case countersUndelivered:
		c.onCountersUndelivered(ev)
	case crashReported:
		c.onCrash(now, rnd, ev.crash)
	}
	return nil
}

// decide makes the periodic decisions: shares, verdicts and ends of moves.
func (c *core) decide(now time.Time, rnd float64) {
	d := &c.decisions
	if now.Before(d.decideAfter) {
		return
	}
	d.decideAfter = now.Add(decidePeriod)
	if slices.ContainsFunc(c.state.Moves, isTimed) {
		d.decideAfter = now.Add(timedDecidePeriod)
	}
	d.crashes.Expire(now)
	c.noteQuarantine(now)
	d.pruneProgress(c.state)
	c.reportMoves(now)
	d.evidence.Retain(func(id int64) bool { return c.running(id) })
	for _, m := range c.state.Moves {
		if m.State != fold.MoveRunning {
			delete(d.appendAfter, m.ID)
			delete(d.verdicts, m.ID)
			delete(d.routeShares, m.ID)
			if _, ok := d.shares[m.ID]; ok {
				delete(d.shares, m.ID)
				c.dirty = true
			}
			continue
		}
		if _, judged := d.verdicts[m.ID]; !judged {
			if v, bad := d.evidence.Judge(m, now); bad {
				c.addVerdict(now, rnd, v)
			}
		}
		use := judgedShares{share: d.share(c.state, m, now)}
		if isTimed(m) {
			use = c.timedShares(m, now)
		}
		if use.share != d.shares[m.ID] {
			c.event(now, timeline.KindMove, m.ID, "move %d of %s: share of version %s is %.0f%%", m.ID, m.Upstream, m.To, 100*use.share)
			d.shares[m.ID] = use.share
			c.dirty = true
		}
		if !maps.Equal(use.routes, d.routeShares[m.ID]) {
			d.routeShares[m.ID] = use.routes
			c.stale = true
		}
		c.appendEnd(now, m)
	}
}

func (c *core) running(id int64) bool {
	_, ok := c.state.RunningMove(id)
	return ok
}

// isTimed reports whether the move is timed and running. The record of a timed move
// gives a duration.
func isTimed(m fold.Move) bool { return m.State == fold.MoveRunning && m.Within > 0 }

// addVerdict adds a verdict to the grow-only set. The verdict takes effect at once
// and reaches peers without the log.
func (c *core) addVerdict(now time.Time, rnd float64, v move.Verdict) {
	if _, ok := c.decisions.verdicts[v.Move]; ok {
		return
	}
	c.decisions.verdicts[v.Move] = v
	c.dirty = true
	c.metrics.Add("control.verdicts", 1)
	c.event(now, timeline.KindMove, v.Move, "move %d is taken back: %s (%s)", v.Move, v.Reason, v.Evidence)
	c.gossipOwn(rnd, &wirev1.ExchangeRequest{Verdicts: []*wirev1.Verdict{verdictToWire(v)}})
}

// appendEnd appends the verdict against a move, or its completion, to the log. All
// daemons use the same id, so the record is folded only once.
func (c *core) appendEnd(now time.Time, m fold.Move) {
	d := &c.decisions
	if c.hasOutcomes || now.Before(d.appendAfter[m.ID]) || !c.logReachable || c.table.ZoneRank("end") >= appendersPerZone {
		return
	}
	rec := record.Record{At: now, Author: c.table.Self().Name}
	v, bad := d.verdicts[m.ID]
	switch {
	case bad:
		rec.ID, rec.Kind = fmt.Sprintf("verdict-%d", m.ID), record.KindVerdict
		rec.Verdict = &record.MoveEnd{Move: m.ID, Reason: v.Reason, Evidence: v.Evidence}
	case d.evidence.Done(m, now):
		rec.ID, rec.Kind = fmt.Sprintf("moveDone-%d", m.ID), record.KindMoveDone
		rec.MoveDone = &record.MoveEnd{Move: m.ID, Reason: "the last stage was held to the end without a fault"}
	default:
		return
	}
	d.appendAfter[m.ID] = now.Add(moveEndRetryDelay)
	c.act(appendRecord{rec})
}

// onCounters merges the host's own counters and forwards them.
func (c *core) onCounters(_ time.Time, rnd float64, ev countersMeasured) {
	req := &wirev1.ExchangeRequest{}
	for k, n := range ev.counters {
		c.decisions.evidence.Merge(k, n)
		req.Counters = append(req.Counters, countersToWire(k, n))
	}
	if slices.ContainsFunc(c.state.Moves, isTimed) {
		c.reportCounters(req.Counters)
		return
	}
	if len(req.Counters) > 0 {
		c.gossipOwn(rnd, req)
	}
}

func (c *core) onCrash(now time.Time, rnd float64, crash quarantine.Crash) {
	c.decisions.crashes.Merge(crash)
	c.metrics.Add("control.crashes", 1)
	c.event(now, timeline.KindUpstream, 0, "upstream beside %s crashed with %d requests in flight%s", crash.Instance, len(crash.Fingerprints), listFingerprints(crash.Fingerprints))
	c.noteQuarantine(now)
	c.gossipOwn(rnd, &wirev1.ExchangeRequest{Crashes: []*wirev1.Crash{crashToWire(crash)}})
}

// mergeDecisions merges the evidence of a peer and forwards new verdicts and
// crashes.
func (c *core) mergeDecisions(now time.Time, rnd float64, sets decisionSets) {
	d := &c.decisions
	for _, v := range sets.GetVerdicts() {
		if c.running(v.GetMove()) || v.GetMove() > c.state.Offset {
			c.addVerdict(now, rnd, verdictFromWire(v))
		}
	}
	for _, n := range sets.GetCounters() {
		k, counters := countersFromWire(n)
		if c.running(k.Move) {
			d.evidence.Merge(k, counters)
		}
	}
	for _, cr := range sets.GetCrashes() {
		crash := crashFromWire(cr)
		if slices.ContainsFunc(d.crashes.Crashes(), func(known quarantine.Crash) bool { return known.ID == crash.ID }) {
			continue
		}
		d.crashes.Merge(crash)
		c.event(now, timeline.KindQuarantine, 0, "a peer reported a crash of the upstream beside %s%s", crash.Instance, listFingerprints(crash.Fingerprints))
		c.noteQuarantine(now)
		c.gossip(rnd, &wirev1.ExchangeRequest{Crashes: []*wirev1.Crash{cr}}, nil)
	}
	c.mergeProgress(now, sets.GetMoves())
	for _, done := range sets.GetCompletions() {
		d.crashes.Completed(done.GetFingerprint(), time.Unix(0, done.GetAtUnixNano()))
	}
}

// decisionSets is the evidence in a request or a response.
type decisionSets interface {
	GetVerdicts() []*wirev1.Verdict
	GetCounters() []*wirev1.MoveCounters
	GetCrashes() []*wirev1.Crash
	GetCompletions() []*wirev1.Completion
	GetMoves() []*wirev1.MoveProgress
}

// fillExchange adds the evidence to a periodic exchange.
func (d *decisions) fillExchange(st *fold.State, now time.Time, req *wirev1.ExchangeRequest) {
	req.Verdicts, req.Counters, req.Moves = d.wireVerdicts(), d.wireCounters(st, now), d.progressToWire(now)
	req.Crashes, req.Completions = d.wireCrashes()
}

// fillResponse adds the evidence to the response to a periodic exchange.
func (d *decisions) fillResponse(st *fold.State, now time.Time, res *wirev1.ExchangeResponse) {
	res.Verdicts, res.Counters, res.Moves = d.wireVerdicts(), d.wireCounters(st, now), d.progressToWire(now)
	res.Crashes, res.Completions = d.wireCrashes()
}

func (d *decisions) wireVerdicts() []*wirev1.Verdict {
	var out []*wirev1.Verdict
	for _, v := range d.verdicts {
		out = append(out, verdictToWire(v))
	}
	return out
}

func (d *decisions) wireCounters(st *fold.State, now time.Time) []*wirev1.MoveCounters {
	var out []*wirev1.MoveCounters
	for _, m := range st.Moves {
		if m.State != fold.MoveRunning {
			continue
		}
		for k, n := range d.evidence.Newest(m, exchangedWindows, now) {
			out = append(out, countersToWire(k, n))
		}
	}
	return out
}

func (d *decisions) wireCrashes() ([]*wirev1.Crash, []*wirev1.Completion) {
	var crashes []*wirev1.Crash
	known := d.crashes.Crashes()
	budget := exchangedFingerprints
	for i := len(known) - 1; i >= 0 && budget > 0; i-- {
		budget -= 1 + len(known[i].Fingerprints)
		crashes = append(crashes, crashToWire(known[i]))
	}
	var done []*wirev1.Completion
	for _, cp := range d.crashes.Completions() {
		if len(done) == exchangedFingerprints {
			break
		}
		done = append(done, &wirev1.Completion{Fingerprint: cp.Fingerprint, AtUnixNano: cp.At.UnixNano()})
	}
	return crashes, done
}

// share returns the new version's share of traffic in a move.
func (d *decisions) share(st *fold.State, m fold.Move, now time.Time) float64 {
	if m.State != fold.MoveRunning {
		return map[fold.MoveState]float64{fold.MoveDone: 1}[m.State]
	}
	preset, _ := st.InForce(now)
	_, bad := d.verdicts[m.ID]
	return d.evidence.Share(m, preset.CanaryPercent, bad, now)
}

// fillSnapshot adds the decisions that traffic needs to a snapshot.
func (d *decisions) fillSnapshot(s *Snapshot, st *fold.State) {
	s.Shares, s.TakenBack = make(map[int64]float64), make(map[int64]bool)
	s.RouteShares = make(map[int64]map[string]float64)
	for _, m := range st.Moves {
		if m.State != fold.MoveRunning {
			continue
		}
		s.Shares[m.ID], s.RouteShares[m.ID] = d.shares[m.ID], d.routeShares[m.ID]
		if _, bad := d.verdicts[m.ID]; bad {
			s.Shares[m.ID], s.TakenBack[m.ID] = 0, true
			delete(s.RouteShares, m.ID)
		}
	}
	s.crashes = d.crashes
}

func verdictToWire(v move.Verdict) *wirev1.Verdict {
	return &wirev1.Verdict{Move: v.Move, Reason: v.Reason, Evidence: v.Evidence, AtUnixNano: v.At.UnixNano()}
}

func verdictFromWire(v *wirev1.Verdict) move.Verdict {
	return move.Verdict{Move: v.GetMove(), Reason: v.GetReason(), Evidence: v.GetEvidence(), At: time.Unix(0, v.GetAtUnixNano())}
}

func countersToWire(k move.Key, n move.Counters) *wirev1.MoveCounters {
	return &wirev1.MoveCounters{
		Move: k.Move, Instance: k.Instance, Incarnation: k.Incarnation, Route: k.Route, Version: k.Version, Window: k.Window,
		Requests: n.Requests, Errors: n.Errors, Excluded: n.Excluded, Latency: n.Latency[:],
	}
}

func countersFromWire(w *wirev1.MoveCounters) (move.Key, move.Counters) {
	k := move.Key{
		Move: w.GetMove(), Instance: w.GetInstance(), Incarnation: w.GetIncarnation(),
		Route: w.GetRoute(), Version: w.GetVersion(), Window: w.GetWindow(),
	}
	n := move.Counters{Requests: w.GetRequests(), Errors: w.GetErrors(), Excluded: w.GetExcluded()}
	copy(n.Latency[:], w.GetLatency())
	return k, n
}

func crashToWire(cr quarantine.Crash) *wirev1.Crash {
	return &wirev1.Crash{Id: cr.ID, Instance: cr.Instance, AtUnixNano: cr.At.UnixNano(), Fingerprints: cr.Fingerprints}
}

func crashFromWire(cr *wirev1.Crash) quarantine.Crash {
	return quarantine.Crash{
		ID: cr.GetId(), Instance: cr.GetInstance(), At: time.Unix(0, cr.GetAtUnixNano()), Fingerprints: cr.GetFingerprints(),
	}
}
