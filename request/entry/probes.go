package entry

import (
	"context"
	mathrand "math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/route"
)

// Prober asks the daemon of an instance for its load. The answer arrives later, through
// Entry.ObserveProbe.
type Prober interface {
	Probe(name string, to netip.AddrPort, now time.Time) bool
}

// probes sends the probes of an entry.
type probes struct {
	prober Prober
	// local returns the load of the daemon's own instance, which needs no datagram.
	local func() (request.Load, uint64)
	intn  func(int) int

	mu   sync.Mutex
	plan probePlan
	// awaited holds the batch that the answer of an instance belongs to, by the name of
	// the instance. If the answer is lost, it stays until the next probe of the instance.
	awaited map[string]*probeBatch
}

// EnableProbes makes the entry probe instances for their load. It is called before the
// first request. local returns the load of the daemon's own instance and the incarnation
// of the daemon.
func (e *Entry) EnableProbes(p Prober, local func() (request.Load, uint64)) {
	e.probes = &probes{prober: p, local: local, intn: mathrand.IntN}
	e.loads.probing = true
}

// ObserveProbe takes the load report in the answer to a probe.
func (e *Entry) ObserveProbe(name string, load request.Load, incarnation uint64, now time.Time) {
	if !e.loads.observeReport(name, load, incarnation, now) {
		e.metrics.Add("loads.probesOutdated", 1)
	}
	e.probes.answered(name)
}

// answerWait bounds the time for which a request waits for the reports on which its
// instance is chosen. It covers a round trip within an availability zone and a busy
// daemon at the other end. A report that is older than the time between two requests of
// an entry leaves three to six times as many requests without a free slot.
const answerWait = time.Millisecond

// probeBatch is the set of probes whose answers a request waits for; probes.mu guards
// left.
type probeBatch struct {
	left int
	done chan struct{}
}

// probe sends the probes for the choice of an instance for q, and for rare requests to
// other upstreams. It returns the answers to wait for; nil if there are none.
func (e *Entry) probe(snap *control.Snapshot, q route.Query, repeated bool) *probeBatch {
	p := e.probes
	p.mu.Lock()
	orders := p.plan.route(q.Now, probeGroup{q.Upstream, q.Version}, repeated)
	p.mu.Unlock()
	var buf [2 * maxSavedProbes]*route.Instance
	targets, awaited, ordered := buf[:0], 0, 0
	claim := func(in *route.Instance) bool { return e.loads.claimProbe(in, q.Now) }
	for i, o := range orders {
		if i > 0 {
			q.Upstream, q.Version, q.TrialShare = o.upstream, o.version, trialShare(snap, o.upstream, o.version)
		}
		targets = snap.Table.ProbeTargets(q, true, o.ownZone, p.intn, claim, targets)
		if i == 0 {
			awaited = len(targets)
		}
		targets = snap.Table.ProbeTargets(q, false, o.otherZones, p.intn, claim, targets)
		ordered += o.ownZone + o.otherZones
	}
	batch := p.await(targets[:awaited], ordered-len(targets))
	for _, in := range targets {
		if in.Name == e.name {
			load, incarnation := p.local()
			e.ObserveProbe(in.Name, load, incarnation, q.Now)
		} else if !p.prober.Probe(in.Name, in.Peer, q.Now) {
			p.answered(in.Name)
		}
	}
	return batch
}

// await returns a batch of the answers of the given instances, and returns probes that
// were not needed to the plan.
func (p *probes) await(targets []*route.Instance, unused int) *probeBatch {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan.unused(unused)
	if len(targets) == 0 {
		return nil
	}
	if p.awaited == nil {
		p.awaited = make(map[string]*probeBatch)
	}
	b := &probeBatch{left: len(targets), done: make(chan struct{})}
	for _, in := range targets {
		p.awaited[in.Name] = b
	}
	return b
}

// answered notes that an instance has answered, or will not.
func (p *probes) answered(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.awaited[name]
	if !ok {
		return
	}
	delete(p.awaited, name)
	if b.left--; b.left == 0 {
		close(b.done)
	}
}

// awaitReports probes instances for the choice of one for q, waits for the answers, and
// returns the time of the choice.
func (e *Entry) awaitReports(ctx context.Context, snap *control.Snapshot, q route.Query, repeated bool) time.Time {
	if !e.probe(snap, q, repeated).wait(ctx) {
		e.metrics.Add("loads.waitsExpired", 1)
	}
	return time.Now()
}

// wait waits until all answers have arrived, but no longer than answerWait.
// It reports whether they have.
func (b *probeBatch) wait(ctx context.Context) bool {
	if b == nil {
		return true
	}
	timer := time.NewTimer(answerWait)
	defer timer.Stop()
	select {
	case <-b.done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// countChoice counts the choice of an instance in the metrics.
func (e *Entry) countChoice(inst *route.Instance, now time.Time) {
	e.metrics.Add("loads.choices", 1)
	if age, ok := e.loads.reportAge(inst, now); ok {
		e.metrics.Add("loads.choicesKnown", 1)
		e.metrics.Observe("loads.reportAge", age, "", "chosen")
	}
}

// chosen tells the plan which instance was chosen. reports is the number of valid reports
// among the instances of the same version. It is not called for an instance that was
// reserved, because its reports were not counted.
func (e *Entry) chosen(snap *control.Snapshot, q route.Query, inst *route.Instance, reports int) {
	e.probes.mu.Lock()
	defer e.probes.mu.Unlock()
	e.probes.plan.chosen(q.Now, probeGroup{q.Upstream, q.Version}, reports, inst.Zone == snap.Self.Zone)
}

// trialShare returns the share of all requests that a version on trial receives; zero if
// it is not on trial.
func trialShare(snap *control.Snapshot, upstream, version string) float64 {
	if m, ok := snap.State.Move(upstream); ok && m.To == version {
		return snap.Shares[m.ID]
	}
	return 0
}
