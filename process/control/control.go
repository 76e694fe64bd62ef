// Package control holds the control state of a daemon: the folded
// configuration, the members, and the merged evidence on which daemons base their
// decisions.
//
// One actor owns the state. Its core is a pure state machine that maps an event,
// the time and a random number to a reply and a list of actions. Control runs the
// actions and turns their results into further events. Request traffic reads an
// immutable Snapshot through an atomic pointer and never waits for the actor.
//
// # Usage
//
//	ctl := control.New(control.WithSelf(self), control.WithLog(lg), control.WithSeeds(seeds...))
//	mux.Handle(ctl.Handler())
//	ctl.Start()
//	defer ctl.Stop()
//	snap := ctl.Snapshot()
package control

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/asynkron/protoactor-go/actor"
	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"github.com/kingcuppitch/kingcuppitch/connection/peer"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/metrics"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/request/claim"
	"github.com/kingcuppitch/kingcuppitch/version/era"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/record"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
	"github.com/kingcuppitch/kingcuppitch/wire/v1/wirev1connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

const (
	// tickPeriod is the period of the control tick.
	tickPeriod = 250 * time.Millisecond
	// gossipPeriod is the period of exchanges with a random peer.
	gossipPeriod = time.Second
	// reportPeriod is the period in which the host's counters are reported while a
	// timed move runs. Three periods and the delivery to all daemons take a second.
	reportPeriod = 250 * time.Millisecond
	// reportPeriodPerMember is the time that a judge has for the report of each
	// member. A report takes 0.2 ms of CPU time, and small instances have a sixth
	// of a CPU.
	reportPeriodPerMember = 8 * time.Millisecond
	// maxMessage bounds a message from a peer, in bytes: a record or a snapshot,
	// and the fields around it.
	maxMessage = 2 * record.MaxSize
	// compressFrom is the size from which messages are compressed, in bytes.
	// Messages with many members or a configuration shrink to a fifth; compressing
	// short ones costs more than it saves.
	compressFrom = 1 << 10
	// rpcTimeout bounds a call to a peer.
	rpcTimeout = 800 * time.Millisecond
	// seedProbability is the probability that a seed is contacted in a gossip
	// period once members are known.
	seedProbability = 0.05
	// peerIdle is the idle time after which control connections are closed.
	peerIdle = 15 * time.Second
	// compactedAnnounceTimeout is the time without an announcement after which an
	// upstream on the platform counts as gone. Announcements may be late by seconds
	// there, and a server that is gone is detected by the first request to it.
	compactedAnnounceTimeout = 12 * time.Second
	// logRetryMin and logRetryMax bound the pause after a failed read.
	logRetryMin = 100 * time.Millisecond
	logRetryMax = 2 * time.Second
	// directoryRetryMin and directoryRetryMax bound the pause after a directory
	// call that did not lead to a known member. directoryTimeout bounds the call
	// itself.
	directoryRetryMin = 300 * time.Millisecond
	directoryRetryMax = 4 * time.Second
	directoryTimeout  = 2 * time.Second
	// directoryWait is how long a starting daemon waits for the directory before it
	// follows the log.
	directoryWait = 400 * time.Millisecond
	// directoryCheckPeriod is the period in which a daemon checks that it still
	// knows a member.
	directoryCheckPeriod = time.Second
	// maxSeeds bounds the daemons listed in the directory that are contacted at
	// once.
	maxSeeds = 5
	// maxActions bounds the actions that run at once.
	maxActions = 64
	// maxFetches bounds the fetches served at once, so that peers that return
	// together do not starve requests of CPU time.
	maxFetches = 8
	// claimSyncPeriod is the period in which the open claim writers are
	// synchronised with the owned shards. claimSyncTimeout bounds one
	// synchronisation.
	claimSyncPeriod  = 2 * time.Second
	claimSyncTimeout = 5 * time.Second
	// askTimeout bounds the wait for a reply of the actor.
	askTimeout = 2 * time.Second
	// viewIntervalMin is the shortest time between two views that differ only in
	// members; with many members it grows to viewIntervalPerMember for each. All
	// daemons of a zone may start or return within seconds, a view takes about a
	// microsecond of CPU time per member, and small instances have a sixth of a
	// CPU.
	viewIntervalMin       = 50 * time.Millisecond
	viewIntervalPerMember = 500 * time.Microsecond
	// viewIntervalMax bounds the interval from above.
	viewIntervalMax = 250 * time.Millisecond
	// validPeriod is how long traffic may use a view after a control tick.
	validPeriod = pauseThreshold
)

// Control maintains the control state of one daemon.
type Control interface {
	// Start starts reading the log and exchanging with peers.
	Start()
	// Stop ends all activity of the Control.
	Stop()
	// Handler returns the path and the handler of the connect-go service.
	Handler() (string, http.Handler)
	// Snapshot returns the current view for traffic; it is never nil.
	Snapshot() *Snapshot
	// Announce takes an announcement of the upstream beside the daemon.
	Announce(u Upstream)
	// Recorder returns the observer of the calls that this daemon handles as host.
	Recorder() *Recorder
	// Claims returns the router for claims of keyed requests.
	Claims() *claim.Router
	// Leave tells the peers that the daemon is about to stop.
	Leave()
	// Check returns an error if the control state does not answer in time.
	Check() error
}

// Upstream is what the upstream beside the daemon announces. ID and Slots may be
// empty.
type Upstream struct {
	Service, Version, State string
	Incarnation             uint64
	ID                      string
	Slots                   int
}

// Option configures a Control.
type Option func(*control)

// WithSelf sets the daemon's own member entry.
func WithSelf(m membership.Member) Option { return func(c *control) { c.self = m } }

// WithLog sets the log.
func WithLog(l log.Log) Option { return func(c *control) { c.log = l } }

// WithSeeds sets the peer addresses to start from.
func WithSeeds(addrs ...netip.AddrPort) Option { return func(c *control) { c.seeds = addrs } }

// WithServices restricts the services whose members the daemon follows; none
// means all services that routes name.
func WithServices(names ...string) Option { return func(c *control) { c.services = names } }

// WithMetrics sets the counters.
func WithMetrics(s *metrics.Set) Option { return func(c *control) { c.metrics = s } }

// WithTimeline sets the timeline of events.
func WithTimeline(t *timeline.Timeline) Option { return func(c *control) { c.events = t } }

// WithViewObserver sets a function that is called with each new view. It runs on
// the goroutine of the actor and must not block.
func WithViewObserver(f func(*Snapshot)) Option { return func(c *control) { c.onView = f } }

// WithWarning sets a function that returns a warning for operators, which the status
// shows; an empty one is not shown.
func WithWarning(f func() string) Option { return func(c *control) { c.warning = f } }

// WithOutcomes keeps the ends of moves in o instead of on the log.
func WithOutcomes(o Outcomes) Option { return func(c *control) { c.outcomes = o } }

// WithDirectory sets the directory in which daemons that know no member find
// others.
func WithDirectory(d Directory) Option { return func(c *control) { c.directory = d } }

// WithCompactedLog says that the log itself keeps the newest state and serves it in
// place of expired records. No snapshots are appended, there are no claims, and one
// daemon per zone reads the log by long polling.
func WithCompactedLog() Option { return func(c *control) { c.compacted = true } }

// WithApplyWithin sets the time in which a change must be in force on all daemons;
// zero means 2 s on a compacted log and 4 s on others. A daemon that hears of no read of
// the log for five eighths of this time reads the log itself.
func WithApplyWithin(d time.Duration) Option { return func(c *control) { c.applyWithin = d } }

// WithLogger sets the logger of the actor system.
func WithLogger(l *slog.Logger) Option { return func(c *control) { c.logger = l } }

type control struct {
	self     membership.Member
	log      log.Log
	seeds    []netip.AddrPort
	services []string
	metrics  *metrics.Set
	events   *timeline.Timeline
	logger   *slog.Logger
	onView   func(*Snapshot)
	warning  func() string
	// outcomes, directory and compacted adapt the control state to the platform;
	// they may be unset.
	outcomes  Outcomes
	directory Directory
	compacted bool
	// applyWithin is the time in which a change must be in force on all daemons.
	applyWithin time.Duration

	system *actor.ActorSystem
	pid    *actor.PID
	peers  peer.Pool
	// claimPeers carries claims, which belong to request traffic.
	claimPeers peer.Pool
	view       atomic.Pointer[Snapshot]
	valid      atomic.Pointer[validity]
	reader     atomic.Bool
	// overdue is set while the daemon reads the log for want of peers that tell it
	// of the log.
	overdue       atomic.Bool
	readRequested chan struct{}
	// fromStart is set to have the next read return the newest state of the log.
	fromStart atomic.Bool
	actionSem chan struct{}
	fetchSem  chan struct{}
	// directoryListed is closed once the directory has been listed and its daemons
	// contacted.
	directoryListed chan struct{}
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	viewChanged     notifier
	// storeAnswers wakes the loops that wait after a failed call to the log or the
	// directory, which may be one store, when a call of another loop succeeds again.
	storeAnswers notifier
	// viewPublishedAt is when the actor published the last view. viewTimerSet is
	// set while a timer for the next one runs.
	viewPublishedAt time.Time
	viewTimerSet    atomic.Bool
	// updateTimerSet is set while a timer for queued updates runs, and
	// overdueTimerSet while one for the next read of a peer runs.
	updateTimerSet, overdueTimerSet atomic.Bool

	recorder *Recorder
	claims   *claim.Router
}

// New returns a Control that has not been started.
func New(opts ...Option) Control {
	c := &control{
		metrics: new(metrics.Set), events: new(timeline.Timeline), logger: slog.New(slog.DiscardHandler),
		readRequested: make(chan struct{}, 1), actionSem: make(chan struct{}, maxActions), fetchSem: make(chan struct{}, maxFetches),
		directoryListed: make(chan struct{}), warning: func() string { return "" },
	}
	for _, opt := range opts {
		opt(c)
	}
	// Each second an exchange contacts another peer. Pings on all connections kept
	// open would cost more than the exchanges.
	c.peers.DisablePings, c.peers.IdleTimeout = true, peerIdle
	c.peers.Traffic = func(read, written int) {
		c.metrics.Add("control.bytesIn", int64(read))
		c.metrics.Add("control.bytesOut", int64(written))
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return c.logger }))
	core := newCore(c.self, c.metrics, c.events)
	core.services = c.services
	core.hasOutcomes, core.compacted = c.outcomes != nil, c.compacted
	if c.compacted {
		core.readers, core.announceTimeout, core.applyWithin = 1, compactedAnnounceTimeout, compactedApplyWithin
	}
	core.applyWithin = cmp.Or(c.applyWithin, core.applyWithin)
	c.applyWithin = core.applyWithin
	c.publishView(core)
	c.recorder = newRecorder(c)
	c.claims = newClaimRouter(c)
	c.pid = c.system.Root.Spawn(actor.PropsFromFunc(func(ctx actor.Context) { c.receive(ctx, core) }))
	return c
}

// receive runs on the actor; no other code accesses the core.
func (c *control) receive(ctx actor.Context, core *core) {
	switch ctx.Message().(type) {
	case *actor.Started, *actor.Stopping, *actor.Stopped, *actor.Restarting:
		return
	}
	now := time.Now()
	reply, actions := core.handle(ctx.Message(), now, rand.Float64())
	// A member in a status response to an operator must be visible to traffic too.
	_, asked := ctx.Message().(statusRequested)
	period := min(max(viewIntervalMin, time.Duration(core.table.Len())*viewIntervalPerMember), viewIntervalMax)
	if core.dirty || core.stale && (asked || now.Sub(c.viewPublishedAt) >= period) {
		c.publishView(core)
		c.viewPublishedAt = now
	} else if core.stale {
		c.scheduleFlush(&c.viewTimerSet, period)
	}
	if due, ok := core.updatesDue(); ok {
		c.scheduleFlush(&c.updateTimerSet, due.Sub(now))
	}
	if due, ok := core.overdueDue(now); ok {
		c.scheduleFlush(&c.overdueTimerSet, due.Sub(now)+time.Millisecond)
	}
	c.overdue.Store(core.logEnds.overdue)
	if t, ok := ctx.Message().(tick); ok {
		// This follows the new view: the tick that detects a pause must not make
		// the view from before the pause valid again.
		c.valid.Store(&validity{until: now.Add(validPeriod), sinceBoot: t.sinceBoot + validPeriod})
	}
	if ctx.Sender() != nil {
		if reply == nil {
			reply = struct{}{}
		}
		ctx.Respond(reply)
	}
	c.stampClock(actions)
	for _, a := range actions {
		c.run(a)
	}
}

// stampClock sets the clock in all messages of the actions before the first one is
// sent, because several actions may share a message.
func (c *control) stampClock(actions []any) {
	for _, a := range actions {
		switch a := a.(type) {
		case sendPush:
			a.req.ClockUnixNano = c.clock()
		case sendExchange:
			a.req.ClockUnixNano = c.clock()
		}
	}
}

// scheduleFlush sends a flush to the actor after a delay, when a view or queued
// updates are due. set is true while its timer runs.
func (c *control) scheduleFlush(set *atomic.Bool, after time.Duration) {
	if set.CompareAndSwap(false, true) {
		time.AfterFunc(after, func() {
			set.Store(false)
			c.send(flush{})
		})
	}
}

func (c *control) publishView(core *core) {
	core.dirty, core.stale = false, false
	view := core.snapshot()
	c.view.Store(view)
	if c.onView != nil {
		c.onView(view)
	}
	if reads := core.isReader(); reads != c.reader.Swap(reads) && reads {
		// Another daemon in the zone can no longer read the log.
		c.run(readLog{})
	}
	c.viewChanged.notify()
}

// Start implements Control.
func (c *control) Start() {
	c.loop(c.tickLoop)
	c.loop(c.gossipLoop)
	c.loop(c.reportLoop)
	c.loop(c.followLog)
	c.loop(c.seedLoop)
	if !c.compacted {
		c.loop(c.claimLoop)
	}
	if c.directory != nil {
		c.loop(c.directoryLoop)
	}
}

func (c *control) loop(f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		f()
	}()
}

// Stop implements Control.
func (c *control) Stop() {
	c.cancel()
	// The actor stops first, because it starts the goroutines that are waited for.
	_ = c.system.Root.StopFuture(c.pid).Wait()
	c.wg.Wait()
	c.peers.Close()
	c.claimPeers.Close()
	c.system.Shutdown()
}

// Snapshot implements Control.
func (c *control) Snapshot() *Snapshot {
	// valid is loaded before the view. Otherwise a goroutine that was paused in
	// between could take its old view for valid because of a later tick.
	valid := c.valid.Load()
	s := c.view.Load()
	if now := time.Now(); s.Serving && valid.expired(now, now.Round(0), sinceBoot) {
		// The control tick is late: the process was paused or is starved, and the
		// view may be older than one that was already served.
		late := *s
		late.Serving = false
		return &late
	}
	return s
}

// Announce implements Control.
func (c *control) Announce(u Upstream) { c.send(announced(u)) }

// Recorder implements Control.
func (c *control) Recorder() *Recorder { return c.recorder }

// Claims implements Control.
func (c *control) Claims() *claim.Router { return c.claims }

// Leave implements Control.
func (c *control) Leave() { _, _ = ask[any](c, leaving{}) }

// Check implements Control.
func (c *control) Check() error {
	_, err := ask[any](c, flush{})
	return err
}

func (c *control) send(ev any) { c.system.Root.Send(c.pid, ev) }

// ask sends an event to the actor and waits for its reply.
func ask[T any](c *control, ev any) (reply T, err error) {
	defer func() { err = eris.Wrapf(err, "control event %T", ev) }()
	res, err := c.system.Root.RequestFuture(c.pid, ev, askTimeout).Result()
	if err != nil {
		return reply, err
	}
	reply, ok := res.(T)
	if !ok && res != nil {
		return reply, fmt.Errorf("unexpected reply %T", res)
	}
	return reply, nil
}

func (c *control) tickLoop() {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-t.C:
			c.send(tick{sinceBoot: sinceBoot()})
		}
	}
}

// reportLoop reports the host's counters while a timed move runs, because its
// verdict cannot wait for the next exchange.
func (c *control) reportLoop() {
	for {
		// All hosts report to the judges; the more hosts there are, the less often
		// each reports.
		period := max(reportPeriod, time.Duration(len(c.view.Load().Members))*reportPeriodPerMember)
		if !c.pause(jitter(period)) {
			return
		}
		if slices.ContainsFunc(c.view.Load().State.Moves, isTimed) {
			c.recorder.flush(time.Now())
		}
	}
}

func (c *control) gossipLoop() {
	for c.pause(jitter(gossipPeriod)) {
		c.recorder.flush(time.Now())
		c.send(gossipDue{})
	}
}

// seedLoop exchanges with the seeds until members are known, and with one of them
// from time to time after that. It reunites parts of the mesh that were partitioned
// for longer than they remember dead members.
func (c *control) seedLoop() {
	for {
		switch {
		case len(c.view.Load().Members) <= 1:
			for _, addr := range c.seeds {
				c.exchangeWithSeed(addr)
			}
		case len(c.seeds) > 0 && rand.Float64() < seedProbability:
			c.exchangeWithSeed(c.seeds[rand.IntN(len(c.seeds))])
		}
		if !c.pause(jitter(gossipPeriod)) {
			return
		}
	}
}

func (c *control) exchangeWithSeed(addr netip.AddrPort) {
	if addr == c.self.Peer {
		return
	}
	v := c.view.Load()
	req := &wirev1.ExchangeRequest{
		From: toWire(v.Self), Offset: v.State.Offset, Carried: v.State.Carried,
		Digests: []*wirev1.Digest{{Scope: membership.ZoneScope(v.Self.Zone)}},
	}
	for _, u := range v.State.Config.Upstreams {
		req.Digests = append(req.Digests, &wirev1.Digest{Scope: membership.ServiceScope(u.Name)})
	}
	ctx, cancel := context.WithTimeout(c.ctx, rpcTimeout)
	defer cancel()
	asked := time.Now()
	res, err := c.client(addr).Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		c.metrics.Add("control.seedFailures", 1)
		return
	}
	from := fromWire(res.Msg.GetFrom())
	c.countCrossZone(from, "seeds", req, res.Msg)
	c.send(exchangeDone{to: from, res: res.Msg, asked: asked})
}

// followLog reads the log at once, as a restarted daemon must. With a directory it
// starts to tail the log once the directory has been listed or directoryWait is
// over, because a daemon that knows no member considers itself the reader of its
// zone.
func (c *control) followLog() {
	if c.directory != nil {
		if _, err := c.readOnce(false); err != nil {
			c.send(logFailed{err: err})
		}
		select {
		case <-c.directoryListed:
		case <-time.After(directoryWait):
		case <-c.ctx.Done():
			return
		}
	}
	c.tailLoop()
}

// directoryLoop enters the daemon in the directory and contacts the daemons listed
// there until a member is known.
func (c *control) directoryLoop() {
	entered, failed := false, false
	pause := directoryRetryMin
	var listedOnce sync.Once
	for {
		answers := c.storeAnswers.wait()
		ctx, cancel := context.WithTimeout(c.ctx, directoryTimeout)
		var err error
		if !entered {
			err = c.directory.Enter(ctx, c.self)
			entered = err == nil
			if err != nil {
				c.logPlatformFailure("enter the directory", err)
			}
		}
		if entered && len(c.view.Load().Members) <= 1 {
			var list []membership.Member
			if list, err = c.directory.List(ctx); err != nil {
				c.logPlatformFailure("list the directory", err)
			}
			var wg sync.WaitGroup
			for i, m := range shuffled(list) {
				if i == maxSeeds {
					break
				}
				wg.Go(func() { c.exchangeWithSeed(m.Peer) })
			}
			wg.Wait()
			listedOnce.Do(func() { close(c.directoryListed) })
		}
		cancel()
		if err == nil && failed {
			pause = directoryRetryMin
			c.storeAnswers.notify()
		}
		failed = err != nil
		if !c.pauseOr(jitter(pause), answers) {
			return
		}
		if entered && len(c.view.Load().Members) > 1 {
			pause = directoryCheckPeriod
			continue
		}
		pause = min(2*pause, directoryRetryMax)
	}
}

// runRepairDirectory enters the members that the directory lacks.
func (c *control) runRepairDirectory(ctx context.Context, a repairDirectory) {
	if c.directory == nil {
		c.send(directoryRepaired{era: a.era})
		return
	}
	list, err := c.directory.List(ctx)
	if err != nil {
		c.logPlatformFailure("list the directory", err)
		return
	}
	for _, m := range a.members {
		if slices.ContainsFunc(list, func(e membership.Member) bool { return e.Name == m.Name && e.Peer == m.Peer }) {
			continue
		}
		if err := c.directory.Enter(ctx, m); err != nil {
			c.logPlatformFailure("enter a member in the directory again", err)
			return
		}
		c.metrics.Add("control.directoryRepairs", 1)
	}
	c.send(directoryRepaired{era: a.era})
}

func shuffled(list []membership.Member) []membership.Member {
	list = slices.Clone(list)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// tailLoop reads the log continuously while this daemon is a reader, and once
// whenever the core requests it.
func (c *control) tailLoop() {
	// retry is the pause after a failed read, and recheck that after a read which did not
	// make the daemon current. A pause that has grown in an outage ends with it: the
	// daemon may begin to serve while it waits, and must not miss the next change.
	retry, recheck := logRetryMin, logRetryMin
	following := false
	for c.ctx.Err() == nil {
		if !c.readsLog() {
			following = false
			select {
			case <-c.ctx.Done():
				return
			case <-c.readRequested:
				// The random pause spreads the reads of daemons that have the same
				// reason at the same time.
				if !c.readsLog() && !c.pause(time.Duration(rand.Int64N(int64(logRetryMin)))) {
					return
				}
			case <-time.After(tickPeriod):
				continue
			}
		}
		answers := c.storeAnswers.wait()
		// The first read does not wait for a record: the peers hear of it at once, and
		// those that miss the reader before need not read the log themselves.
		current, err := c.readOnce(following)
		if err != nil {
			following = false
			c.send(logFailed{err: err})
			if !c.pauseOr(jitter(retry), answers) {
				return
			}
			retry = min(2*retry, logRetryMax)
			continue
		}
		if retry > logRetryMin {
			retry = logRetryMin
			c.storeAnswers.notify()
		}
		following = c.readsLog()
		if following && (!current || !c.view.Load().Serving) {
			// The log does not hold what this daemon waits for, or the daemon could
			// not use it. Without a pause, reads that do not wait would follow each
			// other at once.
			wait := jitter(recheck)
			c.events.Add(time.Now(), timeline.KindLog, c.view.Load().State.Offset, fmt.Sprintf("the daemon is not current after a read of the log; reading it again within %v", wait.Round(time.Millisecond)))
			if !c.pauseUntilServing(wait) {
				return
			}
			recheck = min(2*recheck, pollPeriod(c.applyWithin))
			continue
		}
		recheck = logRetryMin
	}
}

// readOnce reads from the folded offset to the end of the log, and reports whether the
// daemon's state includes all records since. With wait, a reader waits there for the next
// record. If the log has been restored, it reads from a record on that the state includes.
func (c *control) readOnce(wait bool) (current bool, err error) {
	st := c.view.Load().State
	from, back := st.Offset+1, int64(0)
	if c.fromStart.Swap(false) {
		from = 1
	}
	var got recordsArrived
	for {
		got.asked = time.Now()
		until := got.asked
		if wait && len(got.entries) == 0 && c.readsLog() && (c.view.Load().Serving || c.compacted && era.Number(from) == 1) {
			until = until.Add(pollPeriod(c.applyWithin))
		}
		page, err := c.log.Read(c.ctx, record.Stream, from, until)
		switch expired := errors.Is(err, log.ErrExpired); {
		case expired && era.Of(page.First) > era.Of(from):
			// What has been read is of an era that is over.
			got.entries, wait, back = nil, false, resumeStep
			from = resumeFrom(st, page.First, back)
			continue
		case expired && page.First > from:
			from = page.First
			continue
		case back > 0 && from > page.First && (expired || err == nil && len(got.entries) == 0 && !startsFolded(page.Records, st)):
			// The copy ends further back.
			back *= resumeStep
			from = resumeFrom(st, page.First, back)
			continue
		case err != nil:
			return false, err
		}
		// A read that waits is answered when a record arrives or the wait is over.
		got.endAt = earliest(time.Now(), until)
		got.entries = append(got.entries, page.Records...)
		got.next, got.first = page.Next, page.First
		if n := len(page.Records); n > 0 {
			from = page.Records[n-1].Offset + 1
		}
		if from >= page.Next || len(page.Records) == 0 {
			break
		}
	}
	folded, err := ask[int64](c, got)
	return folded >= got.next-1, err
}

// readsLog reports whether this daemon reads the log continuously.
func (c *control) readsLog() bool { return c.reader.Load() || c.overdue.Load() }

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// pause waits for d and reports false if the daemon stops in the meantime.
func (c *control) pause(d time.Duration) bool { return c.pauseOr(d, nil) }

// pauseOr waits for d or until the channel is closed, and reports false if the daemon stops
// in the meantime.
func (c *control) pauseOr(d time.Duration, end <-chan struct{}) bool {
	select {
	case <-c.ctx.Done():
		return false
	case <-end:
	case <-time.After(d):
	}
	return true
}

// pauseUntilServing waits for d, or until the daemon begins to serve, and reports false if
// the daemon stops in the meantime.
func (c *control) pauseUntilServing(d time.Duration) bool {
	served := c.view.Load().Serving
	for end := time.Now().Add(d); time.Now().Before(end); {
		changed := c.viewChanged.wait()
		if !served && c.view.Load().Serving {
			break
		}
		if !c.pauseOr(time.Until(end), changed) {
			return false
		}
	}
	return true
}

func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

func (c *control) client(addr netip.AddrPort) wirev1connect.ControlClient {
	return wirev1connect.NewControlClient(c.peers.Client(addr), "http://"+addr.String(), connect.WithReadMaxBytes(maxMessage),
		connect.WithSendGzip(), connect.WithCompressMinBytes(compressFrom))
}

// run carries out an action of the core.
func (c *control) run(action any) {
	if a, ok := action.(readLog); ok {
		if a.fromStart {
			c.fromStart.Store(true)
		}
		select {
		case c.readRequested <- struct{}{}:
		default:
		}
		return
	}
	select {
	case c.actionSem <- struct{}{}:
	default:
		// A later exchange repeats what is dropped here.
		c.metrics.Add("control.droppedActions", 1)
		if a, ok := action.(sendExchange); ok {
			c.returnCounters(a)
		}
		return
	}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer func() { <-c.actionSem }()
		ctx, cancel := context.WithTimeout(c.ctx, rpcTimeout)
		defer cancel()
		switch a := action.(type) {
		case sendPush:
			c.runPush(ctx, a)
		case sendExchange:
			c.runExchange(ctx, a)
		case sendFetch:
			c.runFetch(ctx, a)
		case sendProbe:
			c.runProbe(ctx, a)
		case appendRecord:
			c.runAppend(ctx, a)
		case reportMove:
			c.runReport(ctx, a)
		case readReports:
			c.runReadReports(ctx)
		case repairDirectory:
			c.runRepairDirectory(ctx, a)
		}
	}()
}

func (c *control) runPush(ctx context.Context, a sendPush) {
	var wg sync.WaitGroup
	for _, m := range a.to {
		wg.Go(func() {
			if _, err := c.client(m.Peer).Push(ctx, connect.NewRequest(a.req)); err != nil {
				c.metrics.Add("control.pushFailures", 1)
				c.retireFailed(m, err)
				return
			}
			c.countCrossZone(m, "records", a.req)
		})
	}
	wg.Wait()
}

func (c *control) runExchange(ctx context.Context, a sendExchange) {
	if wait := time.Until(a.notBefore); !a.notBefore.IsZero() && !c.pause(wait) {
		return
	}
	asked := time.Now()
	res, err := c.client(a.to.Peer).Exchange(ctx, connect.NewRequest(a.req))
	c.retireFailed(a.to, err)
	switch {
	case err == nil:
		c.countCrossZone(a.to, a.kind(), a.req, res.Msg)
		c.observe(res.Msg.GetClockUnixNano())
		c.send(exchangeDone{to: a.to, res: res.Msg, asked: asked})
	case !a.update && c.ctx.Err() == nil:
		c.send(exchangeFailed{to: a.to})
	default:
		c.returnCounters(a)
	}
}

// retireFailed drops the connections to a peer after a call without a response: they may
// have gone silent, while new ones work. A refusal is a response.
func (c *control) retireFailed(to membership.Member, err error) {
	if err != nil && c.ctx.Err() == nil && connect.CodeOf(err) != connect.CodeResourceExhausted {
		c.peers.Retire(to.Peer)
	}
}

// countCrossZone counts messages between zones and their bytes by cause.
func (c *control) countCrossZone(to membership.Member, cause string, messages ...proto.Message) {
	if to.Zone == c.self.Zone {
		return
	}
	n := 0
	for _, m := range messages {
		n += proto.Size(m)
	}
	c.metrics.Add("bytesBetweenZones."+cause, int64(n))
	c.metrics.Add("messagesBetweenZones."+cause, 1)
}

// kind returns the cause of an exchange for the counters.
func (a sendExchange) kind() string {
	switch {
	case a.req.GetJudge():
		return "reports"
	case a.update:
		return "news"
	}
	return "exchanges"
}

// returnCounters returns the counters of a failed report to the core, which repeats
// them in the next report to that judge.
func (c *control) returnCounters(a sendExchange) {
	if a.req.GetJudge() && len(a.req.GetCounters()) > 0 {
		c.send(countersUndelivered{a.to.Name, a.req.GetCounters()})
	}
}

func (c *control) runFetch(ctx context.Context, a sendFetch) {
	asked := time.Now()
	res, err := c.client(a.to.Peer).Fetch(ctx, connect.NewRequest(&wirev1.FetchRequest{From: a.offset, Carried: a.carried}))
	if err != nil {
		c.metrics.Add("control.fetchFailures", 1)
		c.retireFailed(a.to, err)
		if c.pause(jitter(fetchRetryDelay)) {
			c.send(fetchFailed{to: a.to, upTo: a.upTo})
		}
		return
	}
	c.countCrossZone(a.to, "fetches", res.Msg)
	if data := res.Msg.GetSnapshot(); len(data) > 0 {
		st, err := fold.DecodeState(data)
		if err != nil {
			c.metrics.Add("control.badSnapshots", 1)
			return
		}
		c.send(stateArrived{state: st, zone: res.Msg.GetZone(), name: a.to.Name})
	} else if len(res.Msg.GetRecords()) > 0 {
		c.send(recordsArrived{entries: entriesFromWire(res.Msg.GetRecords()), source: a.to.Name})
	}
	c.send(offsetReported{zone: res.Msg.GetZone(), at: reportedPosition(res.Msg), serving: res.Msg.GetServing(), asked: asked})
}

func (c *control) runProbe(ctx context.Context, a sendProbe) {
	deadline, _ := ctx.Deadline()
	alive := make(chan bool, len(a.via))
	for _, m := range a.via {
		go func() {
			res, err := c.client(m.Peer).Probe(ctx, connect.NewRequest(&wirev1.ProbeRequest{
				PeerAddress: a.target.Peer.String(), DeadlineUnixNano: deadline.UnixNano(),
			}))
			alive <- err == nil && res.Msg.GetAlive()
		}()
	}
	ok := false
	for range a.via {
		ok = <-alive || ok
	}
	c.send(probeDone{to: a.target, alive: ok})
}

func (c *control) runAppend(ctx context.Context, a appendRecord) {
	data, err := a.rec.Encode()
	if err == nil {
		_, err = c.log.Append(ctx, record.Stream, data)
	}
	if err != nil {
		c.metrics.Add("control.appendFailures", 1)
	}
}

// clock returns the daemon's clock for a message to a peer.
func (c *control) clock() int64 { return c.events.Now(time.Now()).UnixNano() }

// observe advances the daemon's clock past that of a peer, so that events caused by
// its message sort after it.
func (c *control) observe(unixNano int64) { c.events.Observe(time.Now(), time.Unix(0, unixNano)) }

func entriesFromWire(list []*wirev1.Record) []log.Entry {
	out := make([]log.Entry, 0, len(list))
	for _, r := range list {
		out = append(out, log.Entry{Offset: r.GetOffset(), Data: r.GetData()})
	}
	return out
}

// notifier wakes goroutines that wait for the next view.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}
