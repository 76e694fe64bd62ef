package entry

import (
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
}

// chosen counts the choice of an instance and probes others for the next choices.
// reports is the number of valid reports among the instances of the same version.
func (e *Entry) chosen(snap *control.Snapshot, q route.Query, inst *route.Instance, reports int, repeated bool) {
	e.metrics.Add("loads.choices", 1)
	if age, ok := e.loads.reportAge(inst, q.Now); ok {
		e.metrics.Add("loads.choicesKnown", 1)
		e.metrics.Observe("loads.reportAge", age, q.Upstream, "chosen")
	}
	p := e.probes
	p.mu.Lock()
	orders := p.plan.routed(q.Now, probeGroup{q.Upstream, q.Version}, reports, inst.Zone == snap.Self.Zone, repeated)
	p.mu.Unlock()
	var buf [2 * maxSavedProbes]*route.Instance
	targets, ordered := buf[:0], 0
	claim := func(in *route.Instance) bool { return e.loads.claimProbe(in, q.Now) }
	for i, o := range orders {
		if i > 0 {
			// The share of a trial is known for the version of the request only.
			q.Upstream, q.Version, q.TrialShare = o.upstream, o.version, trialShare(snap, o.upstream, o.version)
		}
		targets = snap.Table.ProbeTargets(q, true, o.ownZone, p.intn, claim, targets)
		targets = snap.Table.ProbeTargets(q, false, o.otherZones, p.intn, claim, targets)
		ordered += o.ownZone + o.otherZones
	}
	if rest := ordered - len(targets); rest > 0 {
		p.mu.Lock()
		p.plan.unused(rest)
		p.mu.Unlock()
	}
	for _, in := range targets {
		if in.Name == e.name {
			load, incarnation := p.local()
			e.ObserveProbe(in.Name, load, incarnation, q.Now)
			continue
		}
		p.prober.Probe(in.Name, in.Peer, q.Now)
	}
}

// trialShare returns the share of all requests that a version on trial receives; zero if
// it is not on trial.
func trialShare(snap *control.Snapshot, upstream, version string) float64 {
	if m, ok := snap.State.Move(upstream); ok && m.To == version {
		return snap.Shares[m.ID]
	}
	return 0
}
