package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/metrics"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
)

const (
	// exchangePeriod is the period in which a host sends counts that have changed, and
	// contactPeriod the one in which it sends a message in any case, so that daemons know
	// each other's clocks.
	exchangePeriod = time.Second
	contactPeriod  = 5 * time.Second
	// startPeriod is exchangePeriod until the first answer of another daemon, for maxStart
	// at most: until then the daemon has no clock but its own.
	startPeriod = 200 * time.Millisecond
	maxStart    = 10 * time.Second
	// spreadPeriod spreads the messages that are due at the end of a window.
	spreadPeriod = 300 * time.Millisecond
	// exchangeTimeout bounds one exchange of counts.
	exchangeTimeout = 800 * time.Millisecond
	// maxRoundTrip is the longest exchange whose reply tells the time.
	maxRoundTrip = 100 * time.Millisecond
	// pausePeriod is the gap between two rounds of the exchange after which the process was
	// paused, and quietPeriod how long messages that may have waited meanwhile tell no time.
	pausePeriod = 2 * time.Second
	quietPeriod = time.Second
	// collectPeriod is how long a daemon must have been a candidate before it fixes the
	// counts of a window: hosts send all counts of the last minute within it.
	collectPeriod = 3 * time.Second
	// handoverPeriod is the time after the lease was acquired in which other daemons that
	// collect send the new holder what they have: it may lack the counts of hosts that took
	// it for gone and have been killed since.
	handoverPeriod = 700 * time.Millisecond
	// heardPeriod is how long a daemon that gets counts though it is no candidate by the
	// members that it knows counts as one.
	heardPeriod = 5 * time.Second
	// membersPeriod is how long the candidates are kept.
	membersPeriod = 500 * time.Millisecond
	// storePart is the part of the lease that bounds a call to the store.
	storePart = 4
	// maxProposals bounds the windows that one record fixes.
	maxProposals = 4
	// maxPendingCounts bounds the counts in a record. At 25 bytes each they take half of
	// what the store returns at once.
	maxPendingCounts = 16 << 10
	// unreachedPeriod is how long the holder has not reached the usage service when it asks
	// others whether they do, and asidePeriod how long it leaves the lease to them then.
	unreachedPeriod = 2 * time.Second
	asidePeriod     = 30 * time.Second
	// reachTimeout bounds such a check.
	reachTimeout = 400 * time.Millisecond
	// alonePeriod is how long a daemon that has just started does not take itself for the
	// only one.
	alonePeriod = 2 * time.Second
	// idlePeriod is the pause of the loops when nothing is due.
	idlePeriod = time.Second
	// watchPeriod is the pause of the report loop while the lease is held.
	watchPeriod = 100 * time.Millisecond
)

// Option configures an Agent.
type Option func(*Agent)

// WithMetrics sets the counters.
func WithMetrics(s *metrics.Set) Option { return func(a *Agent) { a.metrics = s } }

// WithTimeline sets the timeline of events.
func WithTimeline(t *timeline.Timeline) Option { return func(a *Agent) { a.events = t } }

// WithPeers sets how messages are sent to other daemons.
func WithPeers(p Peers) Option { return func(a *Agent) { a.peers = p } }

// WithClocks sets the steady clock, which never jumps, and the time of day.
func WithClocks(steady, wall func() time.Time) Option {
	return func(a *Agent) { a.steady, a.wall = steady, wall }
}

// Agent counts, collects and reports for one daemon.
type Agent struct {
	cfg     Config
	windows windows
	topic   Topic
	service Service
	fleet   Fleet
	peers   Peers
	metrics *metrics.Set
	events  *timeline.Timeline
	steady  func() time.Time
	wall    func() time.Time

	clock   Clock
	counter Counter
	// grant is the permission in force; senders read it immediately before they write.
	grant atomic.Pointer[Grant]

	mu         sync.Mutex
	lease      Lease
	collection Collection
	reporter   reporter
	// order holds the candidates as of orderAt.
	order   []membership.Member
	orderAt time.Time
	// candidateSince is since when the daemon is a candidate; zero if it is none.
	candidateSince time.Time
	// heardAt is when counts of another daemon last arrived.
	heardAt time.Time
	// first is the first window to report if none has been reported yet.
	first int64
	// holder is the holder of the lease and its token, from the store or from peers.
	holder      string
	holderToken int64
	// handedToken is the token of the last holder that has got the collected counts, and
	// acquiredAt when this daemon has acquired the lease.
	handedToken int64
	acquiredAt  time.Time
	receivers   map[string]receiver
	// busy holds the receivers that have not answered yet.
	busy     map[string]bool
	leaving  bool
	released bool
	// unreachedSince is since when no report has reached the usage service, and asideUntil
	// until when the daemon leaves the lease to others that reach it.
	unreachedSince, asideUntil time.Time
	startedAt                  time.Time
	// roundAt is when the last round of the exchange began, and quietUntil until when
	// messages tell no time.
	roundAt, quietUntil time.Time
	sendCtx             context.Context
	cancelSends         context.CancelFunc

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// wakeKeeper, wakeReporter and wakeExchange end a pause of a loop.
	wakeKeeper, wakeReporter, wakeExchange chan struct{}
}

// receiver is what is known of a daemon to which counts are sent.
type receiver struct {
	incarnation uint64
	// seq is the last change that it has received.
	seq uint64
	at  time.Time
}

// New returns an agent that is not started. It counts from now on.
func New(cfg Config, topic Topic, service Service, fleet Fleet, opts ...Option) *Agent {
	a := &Agent{
		cfg: cfg, windows: windows{cfg.Window}, topic: topic, service: service, fleet: fleet,
		metrics: new(metrics.Set), events: new(timeline.Timeline), steady: newSteadyClock().now, wall: time.Now,
		reporter: reporter{perSecond: cfg.PerSecond}, receivers: make(map[string]receiver), busy: make(map[string]bool),
		wakeKeeper: make(chan struct{}, 1), wakeReporter: make(chan struct{}, 1), wakeExchange: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(a)
	}
	if a.peers == nil {
		a.peers = newHTTPPeers(func(read, written int) {
			a.metrics.Add("usage.bytesIn", int64(read))
			a.metrics.Add("usage.bytesOut", int64(written))
		})
	}
	a.lease = Lease{
		Name: cfg.Name, Process: cfg.Name + "/" + strconv.FormatUint(cfg.Incarnation, 10), Period: cfg.Lease,
		Acquired: a.onAcquired, Lost: a.onLost,
	}
	a.startedAt = a.steady()
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.sendCtx, a.cancelSends = context.WithCancel(a.ctx)
	a.metrics.Gauge("usage.holder", func() any {
		g := a.grant.Load()
		if g != nil && g.Allows(g.Token, a.steady()) {
			return 1
		}
		return 0
	})
	return a
}

// Start starts the loops.
func (a *Agent) Start() {
	for _, loop := range []func(){a.keepLease, a.sendReports, a.exchangeCounts} {
		a.wg.Add(1)
		go func() {
			defer a.wg.Done()
			loop()
		}()
	}
}

// trueTime returns the true time as far as it is known.
func (a *Agent) trueTime(now time.Time) time.Time { return a.clock.Time(now, a.wall) }

// Count counts a request that the upstream begins to run, and returns its window.
func (a *Agent) Count(tenant string) (window int64) {
	window = a.windows.at(a.trueTime(a.steady()))
	if !a.counter.Add(window, tenant, 1) {
		a.metrics.Add("usage.dropped", 1)
	}
	return window
}

// TakeBack takes back a request that the upstream did not run.
func (a *Agent) TakeBack(tenant string, window int64) { a.counter.Add(window, tenant, -1) }

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// pause waits until a time of the steady clock or until the channel is signalled. It
// reports false if the agent stops.
func (a *Agent) pause(until time.Time, signal <-chan struct{}) bool {
	t := time.NewTimer(max(time.Millisecond, until.Sub(a.steady())))
	defer t.Stop()
	select {
	case <-a.ctx.Done():
		return false
	case <-t.C:
	case <-signal:
	}
	return a.ctx.Err() == nil
}

// keepLease runs the steps of the lease.
func (a *Agent) keepLease() {
	for a.ctx.Err() == nil {
		step, due := a.nextStep()
		ctx, cancel := context.WithTimeout(a.ctx, a.cfg.Lease/storePart)
		switch step.Kind {
		case StepRead:
			n, err := a.topic.Newest(ctx)
			a.locked(func(now time.Time) { a.lease.Read(now, n, err) })
		case StepAppend:
			a.append(ctx, step)
		default:
			cancel()
			a.pause(due, a.wakeKeeper)
			continue
		}
		cancel()
	}
}

// nextStep returns the next step of the lease, and the time of the next one if it is to
// wait.
func (a *Agent) nextStep() (step Step, due time.Time) {
	a.locked(func(now time.Time) {
		turn := a.turn(now)
		due = a.prepare(now)
		step = a.lease.Step(now, turn)
		if step.Until.Before(due) {
			due = step.Until
		}
	})
	return step, due
}

// locked runs f and then puts the resulting grant in force.
func (a *Agent) locked(f func(now time.Time)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.steady()
	f(now)
	g := a.lease.Grant()
	if old := a.grant.Swap(g); old != nil && (g == nil || g.Token != old.Token) {
		a.stopSends()
	}
	if name, token := a.lease.Holder(); token >= a.holderToken {
		a.noteHolder(name, token)
	}
	if g != nil {
		wake(a.wakeReporter)
	}
}

// noteHolder notes the holder of the lease. The caller must hold mu.
func (a *Agent) noteHolder(name string, token int64) {
	if token > a.holderToken {
		wake(a.wakeExchange)
	}
	a.holder, a.holderToken = name, token
}

// append appends the record of a step. Its validity counts from before the call.
func (a *Agent) append(ctx context.Context, step Step) {
	sentAt := a.steady()
	data, err := json.Marshal(step.Record)
	if err == nil {
		err = a.topic.Append(ctx, step.At, data)
	} else {
		err = errors.Join(ErrNotWritten, err)
	}
	a.locked(func(now time.Time) {
		held := a.lease.Grant() != nil
		a.lease.Appended(sentAt, now, step.Record, err)
		if held && step.Record.Released && err == nil {
			a.released = true
			wake(a.wakeExchange)
		}
	})
}

// stopSends abandons the reports in flight. The caller must hold mu.
func (a *Agent) stopSends() {
	a.cancelSends()
	a.sendCtx, a.cancelSends = context.WithCancel(a.ctx)
}

func (a *Agent) onAcquired(now time.Time, token int64) {
	a.acquiredAt = now
	a.metrics.Add("usage.acquired", 1)
	a.events.Add(time.Now(), timeline.KindUsage, 0, fmt.Sprintf("acquired the lease of usage reports with token %d", token))
}

func (a *Agent) onLost(_ time.Time, reason string) {
	a.metrics.Add("usage.lost", 1)
	a.events.Add(time.Now(), timeline.KindUsage, 0, "lost the lease of usage reports: "+reason)
}

// turn returns the daemon's place among the candidates. The caller must hold mu.
func (a *Agent) turn(now time.Time) Turn {
	if a.order == nil || !now.Before(a.orderAt.Add(membersPeriod)) {
		members := a.fleet.Members()
		a.order, a.orderAt = candidates(members), now
		if len(members) < 2 && now.Before(a.startedAt.Add(alonePeriod)) {
			a.order = []membership.Member{}
		}
	}
	// The last holder does not compete, also when it has given the lease back.
	t := turnOf(a.cfg.Name, a.lease.newest.Holder, a.order)
	if !t.Candidate && !a.heardAt.IsZero() && now.Before(a.heardAt.Add(heardPeriod)) {
		// Daemons that know other members take this one for a candidate.
		t = Turn{Candidate: true, Rank: maxCandidates}
	}
	switch {
	case !t.Candidate:
		a.candidateSince = time.Time{}
	case a.candidateSince.IsZero():
		a.candidateSince = now
	}
	t.Leaving = a.stepsAside(now)
	return t
}

// stepsAside reports whether the daemon leaves the lease to others. The caller must hold
// mu.
func (a *Agent) stepsAside(now time.Time) bool { return a.leaving || now.Before(a.asideUntil) }

// prepare forgets old windows and, if the daemon holds the lease, fixes the counts of
// those that are complete and gives up those that are too old. It returns when it is next
// due. The caller must hold mu.
func (a *Agent) prepare(now time.Time) time.Time {
	trueNow := a.trueTime(now)
	oldest := a.windows.at(trueNow.Add(-a.cfg.keep()))
	a.counter.Forget(oldest)
	reports := &a.lease.reports
	a.collection.Forget(max(oldest, reports.UpTo+1))
	if !a.mayAct(now) {
		if a.lease.held {
			return now.Add(watchPeriod)
		}
		return now.Add(idlePeriod)
	}
	a.giveUp(trueNow)
	if reports.UpTo == 0 && a.first == 0 {
		a.first = a.windows.at(trueNow)
		if w, ok := a.collection.First(); ok {
			a.first = min(a.first, w)
		}
	}
	ready := later(a.candidateSince.Add(collectPeriod), a.acquiredAt.Add(handoverPeriod))
	if a.candidateSince.IsZero() || now.Before(ready) || a.stepsAside(now) {
		return later(ready, now.Add(watchPeriod))
	}
	next := max(reports.UpTo+1, oldest+1)
	if reports.UpTo == 0 {
		next = max(a.first, oldest+1)
	}
	size := reports.entries()
	for _, w := range a.lease.proposed {
		next, size = max(next, w.Window+1), size+len(w.Counts)
	}
	for len(a.lease.proposed) < maxProposals {
		end := a.windows.end(next).Add(a.cfg.settle())
		if trueNow.Before(end) {
			return now.Add(end.Sub(trueNow))
		}
		w := WindowCounts{Window: next, Counts: a.collection.Sum(next)}
		if size += len(w.Counts); size > maxPendingCounts && size > len(w.Counts) {
			break
		}
		a.lease.Propose(w)
		next++
	}
	return now.Add(watchPeriod)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// giveUp settles the windows whose reports are overdue for long.
func (a *Agent) giveUp(trueNow time.Time) {
	for _, w := range a.lease.reports.Pending {
		if trueNow.Sub(a.windows.end(w.Window)) > a.cfg.Due+givenUpAfter {
			a.lease.reports.settle(w.Window)
			a.metrics.Add("usage.late", 1)
		}
	}
}

// mayAct reports whether the daemon may send reports. The caller must hold mu.
func (a *Agent) mayAct(now time.Time) bool {
	g := a.lease.Grant()
	return g != nil && g.Allows(g.Token, now)
}

// sendReports sends the pending reports while the daemon holds the lease.
func (a *Agent) sendReports() {
	until := a.steady()
	for a.pause(until, a.wakeReporter) {
		a.mu.Lock()
		now := a.steady()
		until = now.Add(idlePeriod)
		if g := a.lease.Grant(); g != nil {
			until = now.Add(watchPeriod)
			if !a.mayAct(now) || a.stepsAside(now) {
				a.stopSends()
			} else {
				for {
					w, at, ok := a.reporter.start(now, a.lease.reports.Pending)
					if !ok {
						if !at.IsZero() && at.Before(until) {
							until = at
						}
						break
					}
					a.send(w, g.Token)
				}
			}
		}
		a.mu.Unlock()
	}
}

// send sends a report in the background. The caller must hold mu.
func (a *Agent) send(w WindowCounts, token int64) {
	ctx, cancel := context.WithTimeout(a.sendCtx, sendTimeout)
	r := Report{WindowCounts: w, Holder: a.cfg.Name, Token: token, Left: func() time.Duration {
		now, g := a.steady(), a.grant.Load()
		if !g.Allows(token, now) {
			return 0
		}
		return g.Until.Sub(now)
	}}
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		defer cancel()
		a.sent(w, a.service.Send(ctx, r))
	}()
}

// sent takes the answer to a report.
func (a *Agent) sent(w WindowCounts, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.steady()
	var refused *RefusedError
	switch {
	case err == nil:
		a.metrics.Add("usage.reports", 1)
		if a.trueTime(now).After(a.windows.end(w.Window).Add(a.cfg.Due)) {
			a.metrics.Add("usage.late", 1)
		}
		a.lease.reports.settle(w.Window)
	case errors.As(err, &refused):
		a.metrics.Add("usage.refused", 1)
	default:
		a.metrics.Add("usage.unanswered", 1)
	}
	switch unreached := errors.Is(err, ErrNotWritten) && !errors.Is(err, ErrNotAllowed); {
	case !unreached:
		a.unreachedSince = time.Time{}
	case a.unreachedSince.IsZero():
		a.unreachedSince = now
	}
	a.reporter.done(now, w.Window, err == nil, rand.Float64())
	wake(a.wakeReporter)
}

// exchangeCounts sends the counts of this daemon to those that collect them.
func (a *Agent) exchangeCounts() {
	until := a.steady()
	startUntil := until.Add(maxStart)
	for a.pause(until, a.wakeExchange) {
		a.exchangeAll(a.ctx, false)
		now := a.steady()
		until = now.Add(exchangePeriod)
		if now.Before(startUntil) && !a.heardOther() {
			until = now.Add(startPeriod)
		}
		trueNow := a.trueTime(now)
		spread := time.Duration(rand.Int64N(int64(spreadPeriod)))
		if end := now.Add(a.windows.end(a.windows.at(trueNow)).Sub(trueNow) + spread); end.Before(until) && end.After(now) {
			until = end
		}
	}
}

// exchangeAll sends what has changed to all that collect counts, and waits for their
// answers if these are the last counts. A daemon that has not answered yet is left out, so
// that one that is down does not delay the others.
func (a *Agent) exchangeAll(ctx context.Context, final bool) {
	a.mu.Lock()
	now := a.steady()
	a.noteRound(now)
	a.turn(now)
	list, seq := a.counter.Since(0)
	a.merge(Host{a.cfg.Name, a.cfg.Incarnation}, seq, list)
	var targets []membership.Member
	for _, m := range a.order {
		if m.Name != a.cfg.Name {
			targets = append(targets, m)
		}
	}
	targets = a.addHolder(targets)
	targets = slices.DeleteFunc(targets, func(m membership.Member) bool { return a.busy[m.Name] && !final })
	for _, m := range targets {
		a.busy[m.Name] = true
	}
	released := a.released
	a.released = false
	a.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range targets {
		wg.Add(1)
		a.wg.Add(1)
		go func() {
			defer wg.Done()
			defer a.wg.Done()
			a.exchange(ctx, m, released, final)
			a.mu.Lock()
			defer a.mu.Unlock()
			delete(a.busy, m.Name)
		}()
	}
	if final {
		wg.Wait()
	}
}

// noteRound notes a round of the exchange, and a pause of the process before it. The caller
// must hold mu.
func (a *Agent) noteRound(now time.Time) {
	if !a.roundAt.IsZero() && now.Sub(a.roundAt) >= pausePeriod {
		a.quietUntil = now.Add(quietPeriod)
	}
	a.roundAt = now
}

// heardOther reports whether another daemon has answered.
func (a *Agent) heardOther() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.receivers) > 0
}

// addHolder adds the holder of the lease, which need not be a candidate by the members
// that this daemon knows. The caller must hold mu.
func (a *Agent) addHolder(targets []membership.Member) []membership.Member {
	if a.holder == "" || a.holder == a.cfg.Name {
		return targets
	}
	for _, m := range targets {
		if m.Name == a.holder {
			return targets
		}
	}
	for _, m := range a.fleet.Members() {
		if m.Name == a.holder && m.State != membership.Dead {
			return append(targets, m)
		}
	}
	return targets
}

// exchange sends what a receiver lacks. It sends nothing if nothing has changed and the
// receiver was heard recently.
func (a *Agent) exchange(ctx context.Context, to membership.Member, released, final bool) {
	for range 2 {
		a.mu.Lock()
		now := a.steady()
		r := a.receivers[to.Name]
		list, seq := a.counter.Since(r.seq)
		m := Message{From: a.cfg.Name, Incarnation: a.cfg.Incarnation, Seq: seq, Windows: list, Released: released}
		if g := a.lease.Grant(); g != nil && now.Before(g.Until) {
			reports := a.lease.reports.Merge(Reports{})
			m.Token, m.Reports = g.Token, &reports
			m.Probe = a.unreached(now)
		}
		if to.Name == a.holder && a.handedToken < a.holderToken {
			m.Hosts = slices.DeleteFunc(a.collection.All(), func(h HostTotals) bool {
				return h.From == a.cfg.Name && h.Incarnation == a.cfg.Incarnation
			})
		}
		token := a.holderToken
		a.mu.Unlock()
		if len(list) == 0 && len(m.Hosts) == 0 && m.Reports == nil && !released && !r.at.IsZero() && now.Before(r.at.Add(contactPeriod)) {
			return
		}
		reply, err := a.call(ctx, to, m)
		if err != nil {
			a.metrics.Add("usage.exchangeFailures", 1)
			return
		}
		if len(m.Hosts) > 0 {
			a.mu.Lock()
			a.handedToken = max(a.handedToken, token)
			a.mu.Unlock()
		}
		if r.incarnation == reply.Incarnation || r.at.IsZero() || final {
			return
		}
		// A receiver that was started again lacks what was sent before.
	}
}

// call makes one exchange.
func (a *Agent) call(ctx context.Context, to membership.Member, m Message) (reply Reply, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	began := a.steady()
	m.Clock = a.wall().UnixNano()
	if reply, err = a.peers.Exchange(ctx, to.Peer, m); err != nil {
		return reply, err
	}
	now := a.steady()
	if took := now.Sub(began); took < maxRoundTrip {
		middle := began.Add(took / 2)
		a.clock.Observe(reply.Name, middle, time.Unix(0, reply.Clock))
		a.clock.ObserveEstimate(reply.Name, middle, time.Unix(0, reply.Estimate), reply.Clocks)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply.Token > a.holderToken || reply.Token == a.holderToken && a.holder == "" {
		a.noteHolder(reply.Holder, reply.Token)
	}
	if reply.Reaches && a.mayAct(now) && a.unreached(now) {
		a.asideUntil, a.unreachedSince = now.Add(asidePeriod), time.Time{}
		a.metrics.Add("usage.steppedAside", 1)
		wake(a.wakeKeeper)
	}
	r := a.receivers[to.Name]
	if known := !r.at.IsZero(); known && r.incarnation != reply.Incarnation {
		r.seq = 0
	} else {
		r.seq = max(r.seq, m.Seq)
	}
	r.incarnation, r.at = reply.Incarnation, now
	if len(a.receivers) >= maxReadings {
		clear(a.receivers)
	}
	a.receivers[to.Name] = r
	return reply, nil
}

// unreached reports whether this daemon has not reached the usage service for some time.
// The caller must hold mu.
func (a *Agent) unreached(now time.Time) bool {
	return !a.unreachedSince.IsZero() && now.Sub(a.unreachedSince) >= unreachedPeriod
}

// receive takes the counts of another daemon.
func (a *Agent) receive(ctx context.Context, m Message) Reply {
	reaches := false
	if m.Probe {
		ctx, cancel := context.WithTimeout(ctx, reachTimeout)
		reaches = a.service.Reach(ctx) == nil
		cancel()
	}
	now, wall := a.steady(), a.wall()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !now.Before(a.quietUntil) && now.Sub(a.roundAt) < pausePeriod {
		a.clock.Observe(m.From, now, time.Unix(0, m.Clock))
	}
	estimate, clocks := a.clock.Measured(now, wall)
	a.heardAt = now
	if m.Reports != nil && m.Token >= a.lease.maxToken {
		a.lease.reports = a.lease.reports.Merge(*m.Reports)
	}
	if m.Token > a.holderToken {
		a.noteHolder(m.From, m.Token)
	}
	a.merge(Host{m.From, m.Incarnation}, m.Seq, m.Windows)
	for _, h := range m.Hosts {
		a.merge(Host{h.From, h.Incarnation}, h.Seq, h.Windows)
	}
	if m.Released {
		a.lease.Notice()
		wake(a.wakeKeeper)
	}
	return Reply{
		Name: a.cfg.Name, Incarnation: a.cfg.Incarnation, Clock: wall.UnixNano(), Estimate: estimate.UnixNano(), Clocks: clocks,
		Holder: a.holder, Token: a.holderToken, Reaches: reaches,
	}
}

// merge takes the counts of a host for windows whose counts are not fixed. The caller must
// hold mu.
func (a *Agent) merge(host Host, seq uint64, list []WindowCounts) {
	trueNow := a.trueTime(a.steady())
	// A daemon that has just started may not know the true time yet.
	oldest, newest := a.windows.at(trueNow.Add(-a.cfg.keep())), a.windows.at(trueNow.Add(a.cfg.keep()))
	kept := list[:0:0]
	for _, w := range list {
		if w.Window > a.lease.reports.UpTo && w.Window >= oldest && w.Window <= newest {
			kept = append(kept, w)
		}
	}
	if n := a.collection.Merge(host, seq, kept); n > 0 {
		a.metrics.Add("usage.dropped", int64(n))
	}
}

// Leave gives the lease back, so that the next daemon need not wait for its end. The
// daemon goes on counting.
func (a *Agent) Leave(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	held := a.lease.held
	a.stopSends()
	a.mu.Unlock()
	wake(a.wakeKeeper)
	for held && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(watchPeriod / 10):
		}
		a.mu.Lock()
		held = a.lease.held
		a.mu.Unlock()
	}
}

// Close sends the last counts and stops the loops.
func (a *Agent) Close(ctx context.Context) {
	a.exchangeAll(ctx, true)
	a.cancel()
	a.wg.Wait()
	a.peers.Close()
}
