package entry

import (
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/host"
	"github.com/kingcuppitch/kingcuppitch/request/route"
)

// knownLifetime is how long the capacity of an instance is told to its daemon after a
// restart; an older one may no longer hold.
const knownLifetime = time.Minute

// knownCapacity is the last capacity that an instance reported.
type knownCapacity struct {
	limit     int
	perSecond float64
	until     time.Time
	// incarnation is that of the daemon that reported it, and upstream that of the
	// upstream instance.
	incarnation, upstream uint64
	// lost means that the instance has since reported that it knows none.
	lost bool
}

// addKnownCapacity puts the last known capacity of an instance into a call if its daemon
// has restarted since.
func (l *loads) addKnownCapacity(c *request.Call, inst *route.Instance, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	in, ok := l.instances[inst.Name]
	if !ok || !now.Before(in.known.until) {
		return
	}
	k := &in.known
	if k.upstream != inst.UpstreamIncarnation || !k.lost && k.incarnation == inst.Incarnation {
		return
	}
	c.KnownLimit, c.KnownCapacity = k.limit, k.perSecond
}

// observeCapacity stores the capacity in the answer of an instance. An answer without
// one means that the daemon has restarted, if it reported one before. Where a rate bounds
// the instance, in a cold start or under a limit that it names, the limit and the capacity
// in the answer follow from the rate and are not stored.
func (l *loads) observeCapacity(inst *route.Instance, ans *request.Answer, now time.Time) {
	if ans == nil || ans.Load.Limit == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	in := l.get(inst.Name)
	if ans.Load.Capacity == 0 {
		in.known.lost = true
		return
	}
	if ans.Load.State == host.StateCold || ans.Load.RateLimit > 0 {
		in.known.incarnation, in.known.lost = inst.Incarnation, false
		return
	}
	in.known = knownCapacity{
		limit: ans.Load.Limit, perSecond: ans.Load.Capacity, until: now.Add(knownLifetime),
		incarnation: inst.Incarnation, upstream: inst.UpstreamIncarnation,
	}
}

// Capacity implements route.Capacities.
func (l *loads) Capacity(name string, now time.Time) (inFlight, limit int, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	in, ok := l.instances[name]
	if !ok || in.report.Capacity == 0 {
		return 0, 0, 0
	}
	inFlight, limit = l.inFlight(in, now), in.report.Limit
	if now.Before(in.saturatedUntil) {
		inFlight = max(inFlight, saturatedRatio*limit)
	}
	return inFlight, limit, in.report.Capacity
}
