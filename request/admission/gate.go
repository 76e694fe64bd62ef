package admission

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

const (
	// coldRateShare is the part of the announced cold start rate that is used in
	// any second. The rest allows for requests that are delayed in transit and
	// arrive together.
	coldRateShare = 0.95
	// coldWindow is the sliding window over which the cold start rate is counted.
	coldWindow = time.Second
	// limitWindow is the sliding window over which a named rate limit is counted. With
	// a longer one, a burst would use up the limit and the next requests would wait for
	// the rest of the window.
	limitWindow = 200 * time.Millisecond
	// meanWeight is the weight of a new answer in the moving average of answer
	// times.
	meanWeight = 1.0 / 16
	// queuedPerSlot is the maximum length of the queue per slot.
	queuedPerSlot = 2
	// initialMeanSeconds is the mean answer time that is assumed before the first
	// answer.
	initialMeanSeconds = 0.05
	// minRateBoundLimit is the least limit reported while a rate bounds the requests.
	minRateBoundLimit = 1
)

// Gate bounds the requests of an instance that announces how many requests it
// runs concurrently and how long it is in cold start, and may name a limit of
// requests per second in its answers. Unlike Limiter, it reduces the load below these
// bounds only after LearnCapacity. Requests beyond them are refused by rank and by the
// latest time at which a start is useful.
//
// The zero value refuses all requests until SetBounds. It is safe for concurrent
// use.
type Gate struct {
	mu     sync.Mutex
	bounds Bounds
	// rateLimit is the limit that the instance names in its answers.
	rateLimit RateLimit
	// grantTimes are the times of the last grant and of those within coldWindow before
	// it, the oldest first.
	grantTimes []time.Time
	inFlight   int
	// incarnation counts the restarts. Requests of an earlier incarnation hold no
	// slot.
	incarnation uint64
	queue       queue
	// grants counts the grants to queued requests since the last one to the
	// lowest rank.
	grants int
	// meanSeconds is the moving average of answer times; zero before the first
	// answer.
	meanSeconds float64
	// arrivals counts the recent requests by rank.
	arrivals map[int]*arrivals
	// waits holds how long requests may wait, by rank; see Admits.
	waits map[int]time.Duration
	// timer dispatches the queue when the bounds of the rate allow the next request.
	timer *time.Timer
	// learned is the capacity that the instance sustains; nil unless it is learned.
	learned *capacity
}

// RateLimit is a limit that the instance names. The zero value means that it names none.
type RateLimit struct {
	// PerSecond is the number of requests per second; zero means no limit.
	PerSecond float64
	// Since is when the instance first named a limit, and ConfirmedAt is when the last
	// answer that named this one was received.
	Since, ConfirmedAt time.Time
}

// arrivals is an exponentially decaying count of requests.
type arrivals struct {
	count float64
	at    time.Time
}

// arrivalDecayTime is the time constant of the arrival rate of a rank. It spans a
// few answers, so that a burst shows immediately.
const arrivalDecayTime = 500 * time.Millisecond

func (a *arrivals) add(now time.Time, n float64) {
	a.count = a.count*math.Exp(-now.Sub(a.at).Seconds()/arrivalDecayTime.Seconds()) + n
	a.at = now
}

// minLowestShare is the least share of the grants that the lowest queued rank
// gets when higher ranks would take all of them.
const minLowestShare = 0.04

// Bounds are the limits that the instance announces.
type Bounds struct {
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// ColdUntil is the end of its cold start, and ColdPerSecond the number of
	// requests that it can handle in any second until then; zero means no bound.
	ColdUntil     time.Time
	ColdPerSecond float64
}

// SetBounds sets the bounds. They take effect immediately.
func (g *Gate) SetBounds(b Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bounds = b
	if g.learned != nil {
		g.learned.setSlots(b.Slots)
	}
	g.dispatch(time.Now())
}

// SetRateLimit sets the limit of requests per second that the instance named before it
// answered a request; zero means none.
func (g *Gate) SetRateLimit(now time.Time, perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setRateLimit(now, perSecond)
}

// ObserveRateLimit handles the limit of requests per second in the answer to the
// request of a ticket; zero means that it names none. A lower limit takes effect at
// once. Answers may be received in another order than they were sent, so a higher
// limit, or none, takes effect if the request was granted after the last answer with
// the limit in force. It returns the limit in force before and after.
func (g *Gate) ObserveRateLimit(now time.Time, t Ticket, perSecond float64) (before, after float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before = g.rateLimit.PerSecond
	if t.req == nil || t.req.incarnation != g.incarnation || before == 0 && perSecond == 0 {
		return before, before
	}
	raises := before > 0 && (perSecond == 0 || perSecond > before)
	if raises && !t.req.grantedAt.After(g.rateLimit.ConfirmedAt) {
		return before, before
	}
	g.setRateLimit(now, perSecond)
	return before, perSecond
}

// setRateLimit sets the limit. It refuses the queued requests that can no longer be
// served in time, and grants those that the limit allows. The caller holds mu.
func (g *Gate) setRateLimit(now time.Time, perSecond float64) {
	old := g.rateLimit
	lowered := perSecond > 0 && (old.PerSecond == 0 || perSecond < old.PerSecond)
	g.rateLimit = RateLimit{}
	if perSecond > 0 {
		g.rateLimit = RateLimit{PerSecond: perSecond, Since: old.Since, ConfirmedAt: now}
		if old.PerSecond == 0 {
			g.rateLimit.Since = now
		}
	}
	g.dispatch(now)
	if lowered {
		g.refuseLate(now, math.MaxInt)
	}
}

// RateLimit returns the limit in force.
func (g *Gate) RateLimit() RateLimit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rateLimit
}

// Restarted records that the instance runs as a new incarnation, which holds none
// of the earlier requests and has named no limit.
func (g *Gate) Restarted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.incarnation++
	g.inFlight = 0
	g.queue.tenants = tenantShares{}
	g.rateLimit = RateLimit{}
	if g.learned != nil {
		g.learned.reset()
	}
	g.dispatch(time.Now())
}

// Load returns the requests in flight and in the queue, the limit, and whether
// the instance is in cold start.
func (g *Gate) Load() (inFlight, queued, limit int, cold bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	limit, cold = g.slots(), g.cold(now)
	if rate := g.rate(now); rate > 0 {
		limit = min(limit, max(minRateBoundLimit, int(rate*g.meanOrInitial())))
	}
	if now.Before(g.nextGrant(now)) {
		return max(g.inFlight, limit), g.queue.len(), limit, cold
	}
	return g.inFlight, g.queue.len(), limit, cold
}

func (g *Gate) cold(now time.Time) bool {
	return g.bounds.ColdPerSecond > 0 && now.Before(g.bounds.ColdUntil)
}

// rate returns the requests per second that the instance takes; zero means that only
// its slots bound them.
func (g *Gate) rate(now time.Time) float64 {
	switch limit := g.rateLimit.PerSecond; {
	case !g.cold(now):
		return limit
	case limit > 0:
		return min(limit, g.bounds.ColdPerSecond)
	}
	return g.bounds.ColdPerSecond
}

// nextGrant returns the time from which the bounds of the rate allow the next grant.
func (g *Gate) nextGrant(now time.Time) (at time.Time) {
	if g.cold(now) {
		at = g.windowEnd(math.Floor(coldRateShare*g.bounds.ColdPerSecond), coldWindow)
	}
	if limit := g.rateLimit.PerSecond; limit > 0 {
		// The window holds a whole number of requests, so that the limit is used in full.
		n := max(1, math.Floor(limit*limitWindow.Seconds()))
		if end := g.windowEnd(n, time.Duration(n/limit*float64(time.Second))); end.After(at) {
			at = end
		}
	}
	return at
}

// windowEnd returns the time from which a sliding window that allows n grants, one at
// least, allows the next one.
func (g *Gate) windowEnd(n float64, window time.Duration) time.Time {
	oldest := len(g.grantTimes) - int(max(1, n))
	if oldest < 0 {
		return time.Time{}
	}
	return g.grantTimes[oldest].Add(window)
}

func (g *Gate) meanOrInitial() float64 {
	if g.meanSeconds == 0 {
		return initialMeanSeconds
	}
	return g.meanSeconds
}

// Acquire waits for a slot until the given time or the end of ctx. The error is a
// *request.Refusal, or the error of ctx.
func (g *Gate) Acquire(ctx context.Context, o Order, shed []string, until time.Time) (Ticket, error) {
	req, ref := g.admit(time.Now(), o, shed, until)
	if ref != nil {
		return Ticket{}, ref
	}
	if req.ready == nil {
		return Ticket{req}, nil
	}
	granted, err := req.await(ctx, until)
	switch {
	case err != nil:
		return Ticket{}, err
	case granted:
		return Ticket{req}, nil
	}
	now := time.Now()
	g.Cancel(now, Ticket{req})
	if err := ctx.Err(); err != nil {
		return Ticket{}, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return Ticket{}, g.overloadRefusal(now)
}

// admit grants a slot, queues the request, or refuses it.
func (g *Gate) admit(now time.Time, o Order, shed []string, until time.Time) (*slotRequest, *request.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(now)
	req := &slotRequest{class: o.Class, tenant: o.Tenant, deadline: until, rank: o.position(shed)}
	g.countArrival(now, req.rank)
	g.observeWait(req.rank, until.Sub(now))
	if g.canGrant(now) {
		g.grant(now, req)
		return req, nil
	}
	late := min(g.estimateRankWait(now, req.rank, g.queue.ahead(req.rank)), g.estimateShareWait(now, req.rank)) > until.Sub(now)
	if late && !g.displace(now, req) {
		return nil, g.overloadRefusal(now)
	}
	if g.queue.len() >= queuedPerSlot*g.bounds.Slots {
		victim := g.queue.lowest()
		switch {
		case victim.rank < req.rank:
			g.refuse(victim, g.overloadRefusal(now))
		case !g.displace(now, req):
			return nil, g.overloadRefusal(now)
		}
	}
	req.ready = make(chan Grant, 1)
	g.queue.push(req)
	g.scheduleDispatch(now)
	// Refuse immediately the requests behind it that can no longer be served in
	// time.
	g.refuseLate(now, req.rank)
	return req, nil
}

// countArrival counts the arrival of a request.
func (g *Gate) countArrival(now time.Time, rank int) {
	a, ok := g.arrivals[rank]
	if !ok {
		if g.arrivals == nil {
			g.arrivals = make(map[int]*arrivals)
		}
		a = &arrivals{at: now}
		g.arrivals[rank] = a
	}
	a.add(now, 1)
}

// estimateRankWait estimates how long a request of the given rank waits behind n
// others while requests of higher ranks keep arriving at their present rate.
func (g *Gate) estimateRankWait(now time.Time, rank, n int) time.Duration {
	higher := 0.0
	for r, a := range g.arrivals {
		if r > rank {
			a.add(now, 0)
			higher += a.count / arrivalDecayTime.Seconds()
		}
	}
	rate := g.throughput(now)
	if rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(n+1) / max(rate-higher, minLowestShare*rate) * float64(time.Second))
}

// estimateShareWait estimates how long a request of the given rank waits for the
// grants reserved for the lowest rank, behind the requests of its own rank and
// below.
func (g *Gate) estimateShareWait(now time.Time, rank int) time.Duration {
	rate, n := g.throughput(now), 0
	if rate <= 0 {
		return math.MaxInt64
	}
	for _, q := range g.queue.requests {
		if q.rank <= rank {
			n++
		}
	}
	return time.Duration(float64(n+1) / (minLowestShare * rate) * float64(time.Second))
}

// refuseLate refuses the queued requests of lower ranks that are estimated to
// miss their deadline behind the requests ahead of them.
func (g *Gate) refuseLate(now time.Time, rank int) {
	for _, q := range append([]*slotRequest(nil), g.queue.requests...) {
		if q.rank < rank && g.estimateWait(now, g.queue.ahead(q.rank)-1) > q.deadline.Sub(now)+g.estimateTolerance() {
			g.refuse(q, g.overloadRefusal(now))
		}
	}
}

// estimateTolerance returns by how much the estimated wait must exceed the
// remaining time before a queued request is refused, since the estimate may be
// wrong.
func (g *Gate) estimateTolerance() time.Duration {
	return time.Duration(g.meanOrInitial() / float64(max(1, g.slots())) * float64(time.Second))
}

func (g *Gate) canGrant(now time.Time) bool {
	return g.inFlight < g.slots() && !now.Before(g.nextGrant(now))
}

func (g *Gate) grant(now time.Time, req *slotRequest) {
	g.inFlight++
	g.queue.tenants.start(req.tenant)
	req.state, req.incarnation, req.grantedAt, req.load = stateRunning, g.incarnation, now, g.inFlight
	expired := 0
	for expired < len(g.grantTimes) && !g.grantTimes[expired].After(now.Add(-coldWindow)) {
		expired++
	}
	g.grantTimes = append(g.grantTimes[expired:], now)
}

func (g *Gate) refuse(req *slotRequest, ref *request.Refusal) {
	g.queue.remove(req)
	req.state = stateEnded
	req.ready <- Grant{Refusal: ref}
}

// Done releases the slot of a ticket and updates the mean answer time.
func (g *Gate) Done(now time.Time, t Ticket, r Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.req == nil || t.req.state != stateRunning {
		return
	}
	if !r.Failed && !r.Expired && !r.Shed {
		g.meanSeconds = g.meanOrInitial() + meanWeight*(r.Took.Seconds()-g.meanOrInitial())
	}
	g.learn(now, t.req, r)
	g.release(t.req)
	g.dispatch(now)
}

// Cancel withdraws a queued request, or releases a granted one that was not sent
// or whose caller disconnected.
func (g *Gate) Cancel(now time.Time, t Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.req == nil {
		return
	}
	if !g.queue.cancel(t.req) && t.req.state == stateRunning {
		g.release(t.req)
	}
	g.dispatch(now)
}

func (g *Gate) release(req *slotRequest) {
	req.state = stateEnded
	if req.incarnation == g.incarnation {
		g.inFlight--
		g.queue.tenants.end(req.tenant)
	}
}

// dispatch refuses queued requests whose deadline has passed and grants the free
// slots in the order of next.
func (g *Gate) dispatch(now time.Time) {
	for _, req := range g.queue.expired(now) {
		g.refuse(req, g.overloadRefusal(now))
	}
	for g.queue.len() > 0 && g.canGrant(now) {
		best := g.next()
		g.queue.remove(best)
		g.grant(now, best)
		best.ready <- Grant{Granted: true}
	}
	g.scheduleDispatch(now)
}

// scheduleDispatch dispatches the queue when the rate allows the next grant, which may
// be before any other request arrives or ends.
func (g *Gate) scheduleDispatch(now time.Time) {
	next := g.nextGrant(now).Sub(now)
	if g.queue.len() == 0 || next <= 0 {
		return
	}
	if g.timer == nil {
		g.timer = time.AfterFunc(next, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.dispatch(time.Now())
		})
		return
	}
	g.timer.Reset(next)
}

// next returns the queued request that is granted next: the oldest one of the
// highest rank, and after every 1/minLowestShare such grants the oldest one of
// the lowest rank, which prevents starvation.
func (g *Gate) next() *slotRequest {
	best, lowest := g.queue.requests[0], g.queue.requests[0]
	for _, req := range g.queue.requests[1:] {
		if req.rank > best.rank {
			best = req
		}
		if req.rank < lowest.rank {
			lowest = req
		}
	}
	if lowest.rank < best.rank && g.grants >= int(1/minLowestShare) {
		g.grants = 0
		return g.queue.byTenant(lowest)
	}
	g.grants++
	return g.queue.byTenant(best)
}

// throughput returns the number of requests that the instance can answer per
// second.
func (g *Gate) throughput(now time.Time) float64 {
	bySlots := float64(g.slots()) / g.meanOrInitial()
	if rate := g.rate(now); rate > 0 {
		return min(bySlots, rate)
	}
	return bySlots
}

// estimateWait estimates how long a request waits behind n others.
func (g *Gate) estimateWait(now time.Time, n int) time.Duration {
	rate := g.throughput(now)
	if rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(n+1) / rate * float64(time.Second))
}

// overloadRefusal returns the refusal of a saturated instance. Successive
// refusals carry delays that differ by up to a factor of two.
func (g *Gate) overloadRefusal(now time.Time) *request.Refusal {
	after := min(max(g.estimateWait(now, g.queue.len()), minRetryAfter), maxRetryAfter)
	reason, detail := request.ReasonOverload, "all slots of the upstream instance are taken"
	if limit := g.rateLimit.PerSecond; limit > 0 && g.inFlight < g.slots() {
		reason, detail = request.ReasonRateLimit, fmt.Sprintf("the upstream instance takes %.4g requests per second", limit)
	}
	return &request.Refusal{
		Outcome: request.NotRun, Reason: reason, Detail: detail,
		RetryAt: now.Add(time.Duration(float64(after) * (1 + g.queue.jitter()))),
	}
}
