package admission

import "time"

// LearnCapacity makes the gate learn how many concurrent requests the instance sustains
// without a loss of throughput. The slots in use are then the lesser of the announced
// and the learned ones.
func (g *Gate) LearnCapacity() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.learned == nil {
		g.learned = new(capacity)
		g.learned.setSlots(g.bounds.Slots)
	}
}

// Capacity returns the learned limit and the answers per second that the instance gives
// at it. The limit is zero if it is not learned, and the answers are zero while they are
// unknown.
func (g *Gate) Capacity() (limit int, perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.learned == nil {
		return 0, 0
	}
	limit, perSecond = g.learned.limit, g.learned.perSecond()
	if rate := g.rate(time.Now()); rate > 0 {
		perSecond = min(perSecond, rate)
	}
	return limit, perSecond
}

// StartCapacity sets the limit and the answers per second that peers know of the
// instance. The gate starts from them if it has learned nothing yet.
func (g *Gate) StartCapacity(now time.Time, limit int, perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.learned == nil {
		return
	}
	g.learned.start(now, limit, perSecond)
	g.dispatch(now)
}

// AnnouncedSlots returns the slots that the instance announces.
func (g *Gate) AnnouncedSlots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bounds.Slots
}

// slots returns the number of requests that may be in flight.
func (g *Gate) slots() int {
	if g.learned == nil {
		return g.bounds.Slots
	}
	return min(g.bounds.Slots, g.learned.limit)
}

// learn takes an answer into the learned capacity. Errors say nothing about it, nor do
// answers during a cold start or a named rate limit. The caller holds mu.
func (g *Gate) learn(now time.Time, req *slotRequest, r Result) {
	if g.learned == nil || r.Failed || r.Shed || req.incarnation != g.incarnation {
		return
	}
	if g.rateLimit.PerSecond > 0 || g.bounds.ColdPerSecond > 0 && !req.grantedAt.After(g.bounds.ColdUntil) {
		return
	}
	g.learned.observe(observation{
		at: now, grantedAt: req.grantedAt, route: r.Route, inFlight: req.load, atAnswer: g.inFlight, took: r.Took, expired: r.Expired,
	})
}
