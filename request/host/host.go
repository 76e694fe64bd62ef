// Package host sends calls to the one upstream instance of the daemon.
//
// All calls to that instance pass through it, so slots, connections, cold start
// and drain are enforced here. A refusal has the outcome notRun only if no byte
// of the request was sent or the upstream states that it did not run it.
//
// # Usage
//
//	h := host.New(view, limiter, host.WithMetrics(set))
//	h.SetUpstream(host.Upstream{Address: addr, Connections: 120, ID: "i-1"})
//	ans, err := h.Do(ctx, call)           // calls of the entry in this process
//	mux.Handle(host.ForwardPrefix, h)     // calls of other daemons
package host

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/instance"
	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/process/decision"
	"github.com/kingcuppitch/kingcuppitch/process/metrics"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
	"github.com/kingcuppitch/kingcuppitch/request/dependency"
)

const (
	// ForwardPrefix is the path prefix of calls forwarded by other daemons.
	ForwardPrefix = "/forward/"
	// nonIdempotentReuseIdle is the idle time after which a connection no longer
	// carries a request that must not be repeated: the upstream or a middlebox may have
	// dropped the connection, and a lost request could not be sent again.
	nonIdempotentReuseIdle = time.Second
	// idleTimeout is the idle time after which a connection carries no request at all.
	idleTimeout = 9 * time.Second
	// shedRetryAfter is the time after which a caller may retry a request that the
	// upstream itself did not run. It is the time of a few answers.
	shedRetryAfter = 100 * time.Millisecond
	// deadlineTolerance is the time before the deadline from which a cancelled call
	// counts as one that got no answer by the deadline.
	deadlineTolerance = 50 * time.Millisecond
)

// View provides the current control state.
type View interface {
	Snapshot() *control.Snapshot
}

// Limiter bounds the requests that the upstream runs concurrently.
type Limiter interface {
	Acquire(ctx context.Context, o admission.Order, shed []string, deadline time.Time) (admission.Ticket, error)
	Done(now time.Time, t admission.Ticket, r admission.Result)
	Cancel(now time.Time, t admission.Ticket)
	Load() (inFlight, queued, limit int, cold bool)
}

// Observer is notified of each call that is sent to the upstream and of its result.
type Observer interface {
	// Started is called before the call is sent, so that its fingerprint is known.
	Started(call *request.Call)
	// Finished is called with the result.
	Finished(call *request.Call, s request.Sample)
}

// Option configures a Host.
type Option func(*Host)

// WithMetrics sets the metrics that the host updates.
func WithMetrics(s *metrics.Set) Option { return func(h *Host) { h.metrics = s } }

// WithObserver sets the observer.
func WithObserver(o Observer) Option { return func(h *Host) { h.observer = o } }

// WithBuffers bounds the memory for bodies; host and entry of a daemon share it.
func WithBuffers(b *request.Buffers) Option { return func(h *Host) { h.buffers = b } }

// WithHeaders sets the names of the headers that the upstream uses.
func WithHeaders(n request.Headers) Option { return func(h *Host) { h.headers = n } }

// WithUnreachable sets a function that is called when the upstream refuses a connection
// or another instance has its address.
func WithUnreachable(f func()) Option { return func(h *Host) { h.unreachable = f } }

// WithLeaving sets a function that is called when an answer says that the upstream
// leaves.
func WithLeaving(f func(Upstream)) Option { return func(h *Host) { h.leaving = f } }

// WithDecisions sets the decision log.
func WithDecisions(l *decision.Log) Option { return func(h *Host) { h.decisions = l } }

// WithAnswerLimits bounds what is read from the upstream.
func WithAnswerLimits(l instance.Limits) Option { return func(h *Host) { h.limits = l } }

// WithCallRanks makes the host report which classes it admits, which routes only
// upstreams call and which share of runs can finish, and observe the runs for that. The
// entry of the daemon observes the calls of the upstream.
func WithCallRanks(l *dependency.Learner) Option { return func(h *Host) { h.learner = l } }

// Host sends calls to the upstream instance of the daemon.
type Host struct {
	view     View
	limiter  RateLimiter
	metrics  *metrics.Set
	observer Observer

	headers   request.Headers
	buffers   *request.Buffers
	limits    instance.Limits
	draining  atomic.Bool
	calls     calls
	target    atomic.Pointer[target]
	warmup    warmup
	meanTimes meanTimes
	origins   origins
	// statements logs what the upstream says about itself.
	statements statements
	// capacity is what the limiter learns of the upstream, and capacityLog logs it.
	capacity    CapacityLearner
	capacityLog capacityLog
	// unreachable is called when the upstream is gone.
	unreachable func()
	// leaving is called when an answer says that the upstream leaves.
	leaving func(Upstream)
	// decisions may be nil.
	decisions *decision.Log
	// learner is nil without WithCallRanks.
	learner *dependency.Learner
	usage   UsageCounter
}

// Upstream is an incarnation of the upstream instance beside the daemon.
type Upstream struct {
	Address netip.AddrPort
	// Connections is the number of connections that it accepts.
	Connections int
	// ID and Incarnation name the incarnation; ID may be empty.
	ID          string
	Incarnation uint64
}

func (u Upstream) sameIncarnation(v Upstream) bool {
	return u.ID == v.ID && u.Incarnation == v.Incarnation
}

// target is the upstream instance and its connections.
type target struct {
	Upstream
	pool *instance.Pool
	// leaving is set once an answer has said that the upstream leaves.
	leaving atomic.Bool
}

// New returns a host without an upstream. The host obeys the rate limits that the
// upstream names if limiter is a RateLimiter.
func New(view View, limiter Limiter, opts ...Option) *Host {
	rateLimiter, ok := limiter.(RateLimiter)
	if !ok {
		rateLimiter = noRateLimiter{limiter}
	}
	h := &Host{
		view: view, limiter: rateLimiter, metrics: new(metrics.Set), observer: noObserver{}, headers: request.DefaultHeaders,
		unreachable: func() {}, leaving: func(Upstream) {}, usage: noUsage{},
	}
	for _, opt := range opts {
		opt(h)
	}
	h.metrics.Gauge("host.rateLimit", h.rateLimitGauge)
	h.capacity = noCapacity{}
	if c, ok := limiter.(CapacityLearner); ok {
		h.capacity = c
	}
	h.addCapacityGauges()
	return h
}

// SetUpstream sets the upstream. An incarnation that said that it leaves gets no calls.
func (h *Host) SetUpstream(u Upstream) {
	old := h.target.Load()
	if old != nil && old.Upstream == u {
		return
	}
	// One connection is reserved for probes.
	next := &target{Upstream: u, pool: instance.New(u.Address,
		instance.WithConnections(u.Connections-1), instance.WithLimits(h.limits),
		instance.WithOpened(func() { h.metrics.Add("host.connections", 1) }))}
	next.leaving.Store(old != nil && old.leaving.Load() && old.sameIncarnation(u))
	if old := h.target.Swap(next); old != nil {
		old.pool.Close()
	}
}

// Restarted tells the host that the upstream runs as a new incarnation.
func (h *Host) Restarted(now time.Time) {
	h.warmup.restarted(now)
	h.meanTimes.reset()
}

// Drain refuses new calls and waits for those in flight.
func (h *Host) Drain(ctx context.Context) error {
	h.draining.Store(true)
	select {
	case <-h.calls.idle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Do sends a call to the upstream. An error is a *request.Refusal.
func (h *Host) Do(ctx context.Context, call *request.Call) (ans *request.Answer, err error) {
	h.calls.start()
	began, load := time.Now(), h.load()
	var granted time.Time
	defer func() {
		h.record(call, began, granted, load, err)
		// A streamed answer is in flight until its body is closed.
		if ans == nil || ans.Rest == nil {
			h.calls.end()
		}
	}()
	h.metrics.Add("host.calls", 1)
	if n := h.headers.CallerService; n != "" && call.Caller == "" {
		call.Caller = call.Header.Get(n)
	}
	snap := h.view.Snapshot()
	if err = h.check(snap, call); err != nil {
		return nil, h.countRefusal(err)
	}
	h.origins.observe(call.Route, call.Caller)
	h.startCapacity(call)
	order := admission.Order{Class: call.Class, Nested: call.Nested, Returning: call.Returning, Tenant: call.Tenant}
	ticket, err := h.limiter.Acquire(ctx, order, snap.ShedOrder(time.Now()), h.startBy(call, time.Now()))
	if err != nil {
		return nil, h.countRefusal(overloadRefusal(err))
	}
	// The state may have changed while the call waited for a slot.
	if err = h.check(h.view.Snapshot(), call); err != nil {
		h.limiter.Cancel(time.Now(), ticket)
		return nil, h.countRefusal(err)
	}
	granted = time.Now()
	return h.exchange(ctx, call, ticket)
}

// record counts a finished call and logs what decided its outcome.
func (h *Host) record(call *request.Call, began, granted time.Time, load request.Load, err error) {
	took, outcome, reason, detail := time.Since(began), request.Ran, request.Reason(""), ""
	var ref *request.Refusal
	if errors.As(err, &ref) {
		outcome, reason, detail = ref.Outcome, ref.Reason, ref.Detail
	}
	h.metrics.Observe("host.latency", took, call.Route, string(outcome))
	id := h.headers.TraceOf(call)
	if !h.decisions.Keeps(id, err != nil) {
		return
	}
	args := []any{
		"id", id, "side", "host", "route", call.Route, "configVersion", h.view.Snapshot().State.Version,
		"entryVersion", call.Version, "outcome", outcome, "reason", reason, "detail", detail, "inFlight", load.InFlight,
		"limit", load.Limit, "state", load.State, "tookMs", took.Milliseconds(),
	}
	if call.Tenant != "" {
		args = append(args, "tenant", call.Tenant)
	}
	if load.RateLimit > 0 {
		args = append(args, "perSecond", load.RateLimit)
	}
	if !granted.IsZero() {
		args = append(args, "waitedMs", granted.Sub(began).Milliseconds())
	}
	if t := h.target.Load(); t != nil {
		args = append(args, "instance", t.ID)
	}
	if outcome == request.NotRun {
		h.decisions.Write("call handled", args...)
		return
	}
	h.decisions.WriteReserved("call handled", args...)
}

// maxWaitShare is the share of the time until the objective that a request may wait for
// a slot; the rest is for the answer.
const maxWaitShare = 0.5

// answerReserve is the time that is reserved for the answer to a call of a server, as a
// multiple of the mean answer time.
const answerReserve = 2

// startBy returns the time until which a call may wait for a slot. A call that starts
// too late to meet its objective takes the slot from a call that would meet it. A
// server that makes a call holds a slot itself, and all its work is lost if the call
// fails: such a call may wait as long as its answer can still arrive in time.
func (h *Host) startBy(call *request.Call, now time.Time) time.Time {
	until := call.StartBy()
	if call.Objective.IsZero() {
		return until
	}
	if call.Nested || h.origins.fromServersOnly(call.Route) {
		if last := call.Deadline.Add(-answerReserve * h.meanTimes.of(call.Route)); last.Before(until) && last.After(now) {
			return last
		}
		return until
	}
	useful := now.Add(time.Duration(maxWaitShare * float64(call.Objective.Sub(now))))
	if useful.Before(until) && useful.After(now) {
		return useful
	}
	return until
}

func overloadRefusal(err error) error {
	var ref *request.Refusal
	if errors.As(err, &ref) {
		return ref
	}
	return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonOverload, Detail: err.Error(), RetryAt: time.Now().Add(time.Second)}
}

func (h *Host) countRefusal(err error) error {
	var ref *request.Refusal
	if errors.As(err, &ref) {
		h.metrics.Add("host.refused."+string(ref.Reason), 1)
	}
	return err
}

// check refuses calls that must not reach the upstream.
func (h *Host) check(snap *control.Snapshot, call *request.Call) error {
	refuse := func(reason request.Reason, format string, args ...any) error {
		return &request.Refusal{Outcome: request.NotRun, Reason: reason, Detail: fmt.Sprintf(format, args...), RetryAt: time.Now()}
	}
	self, tgt := snap.Self, h.target.Load()
	switch {
	case h.draining.Load() || self.State == "draining" || self.State == "leaving":
		return refuse(request.ReasonLeaving, "instance %s is leaving", self.Name)
	case !snap.Serving:
		return refuse(request.ReasonNotReady, "daemon %s has no current configuration", self.Name)
	case snap.ZoneOut():
		return refuse(request.ReasonZoneOut, "availability zone %s is out", self.Zone)
	case self.State != "ready":
		return refuse(request.ReasonNotReady, "upstream beside %s is %s", self.Name, self.State)
	case tgt == nil:
		return refuse(request.ReasonNotReady, "the limits of the upstream beside %s are not known", self.Name)
	case tgt.leaving.Load():
		return refuse(request.ReasonLeaving, "upstream %s says that it leaves", tgt.ID)
	case call.Upstream != "" && call.Upstream != self.Service:
		return refuse(request.ReasonWrongVersion, "instance %s belongs to upstream %s, not %s", self.Name, self.Service, call.Upstream)
	case call.UpstreamVersion != "" && call.UpstreamVersion != self.Version:
		return refuse(request.ReasonWrongVersion, "instance %s runs version %s, not %s", self.Name, self.Version, call.UpstreamVersion)
	case !time.Now().Before(call.StartBy()):
		return refuse(request.ReasonDeadline, "deadline has passed")
	case snap.Quarantined(call.Fingerprint()):
		return &request.Refusal{
			Outcome: request.NotRun, Reason: request.ReasonQuarantined, Status: http.StatusUnprocessableEntity,
			Detail: fmt.Sprintf("request %016x was in flight when upstream instances crashed", call.Fingerprint()),
		}
	}
	return nil
}

// unknownRefusal returns a refusal for a call that the upstream may have run.
func unknownRefusal(reason request.Reason, detail string) error {
	return &request.Refusal{Outcome: request.Unknown, Reason: reason, Detail: detail, Status: http.StatusBadGateway}
}

func (h *Host) load() request.Load {
	inFlight, queued, limit, cold := h.limiter.Load()
	l := request.Load{InFlight: inFlight + queued, Limit: limit, State: stateWarm, RateLimit: h.limiter.RateLimit().PerSecond}
	switch {
	case cold:
		l.State = StateCold
	case l.RateLimit > 0:
		l.State = stateLimited
	}
	_, l.Capacity = h.capacity.Capacity()
	return l
}

// upstreamRequest returns the request to the upstream and the id that the upstream
// echoes.
func (h *Host) upstreamRequest(ctx context.Context, tgt *target, call *request.Call) (req *http.Request, id string, err error) {
	if req, err = request.NewHTTPRequest(ctx, "http://"+tgt.Address.String()+call.Path, call); err != nil {
		return nil, "", err
	}
	n := h.headers
	if id = call.ID; n.CallerNamesID {
		id = call.Header.Get(n.ID)
	} else {
		req.Header.Set(n.ID, id)
	}
	req.Header.Set(n.Timeout, strconv.FormatInt(max(1, time.Until(call.Deadline).Milliseconds()), 10))
	if n.Instance != "" {
		req.Header.Set(n.Instance, tgt.ID)
	}
	if tenants := h.view.Snapshot().Tenants; call.Tenant != "" || tenants.Len() > 0 {
		// The entry may have an earlier configuration or release, which checks no keys.
		tenants.RemoveKey(req.Header)
		n.SetTenant(req.Header, call.Tenant)
	}
	return req, id, nil
}

// calls counts the calls in flight. A sync.WaitGroup does not allow a call to
// start while Drain waits; the zero value is ready for use.
type calls struct {
	mu      sync.Mutex
	n       int
	waiters []chan struct{}
}

func (c *calls) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

func (c *calls) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
}

func (c *calls) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
	c.notifyIdle()
}

// idle returns a channel that is closed once no call is in flight.
func (c *calls) idle() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan struct{})
	c.waiters = append(c.waiters, ch)
	c.notifyIdle()
	return ch
}

func (c *calls) notifyIdle() {
	if c.n > 0 {
		return
	}
	for _, ch := range c.waiters {
		close(ch)
	}
	c.waiters = nil
}

// streamedBody calls done at the end of a streamed answer.
type streamedBody struct {
	io.ReadCloser
	// ended and broken say how the last read ended.
	ended, broken atomic.Bool
	once          sync.Once
	done          func()
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.ended.Store(true)
	case err != nil:
		b.broken.Store(true)
	}
	return n, err
}

// Close implements io.Closer.
func (b *streamedBody) Close() error {
	defer b.once.Do(b.done)
	return b.ReadCloser.Close()
}

type noObserver struct{}

func (noObserver) Started(*request.Call)                  {}
func (noObserver) Finished(*request.Call, request.Sample) {}
