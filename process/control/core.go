package control

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/metrics"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/request/route"
	"github.com/kingcuppitch/kingcuppitch/request/tenant"
	"github.com/kingcuppitch/kingcuppitch/version/era"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/record"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

const (
	// readersPerZone is the number of daemons in a zone that tail the log.
	readersPerZone = 3
	// recordFanout is the number of peers to which new records are pushed. A single
	// round of pushes to 3 random peers misses 6 in 100 daemons; with 6 peers it
	// misses one in 400. Daemons that are missed catch up at the next exchange.
	recordFanout = 6
	// updateFanout is the number of peers in the daemon's zone to which other
	// updates are forwarded.
	updateFanout = 3
	// crossZoneCopies is the number of times that a zone which receives an update
	// forwards it to another zone. One copy may be lost; zones that are missed
	// catch up at the next exchange.
	crossZoneCopies = 2
	// maxPushBytes is the largest total size of records that are pushed to peers;
	// peers fetch larger ones.
	maxPushBytes = 4 << 10
	// crossZoneDelay is how much later other zones are notified of large records.
	crossZoneDelay = 150 * time.Millisecond
	// fetchTimeout is how long to wait for the response to a fetch before another
	// peer is asked. fetchRetryDelay is the pause after a refused fetch.
	fetchTimeout    = 400 * time.Millisecond
	fetchRetryDelay = 60 * time.Millisecond
	// maxFetchTries is the number of peers that are asked for what only peers can hold.
	maxFetchTries = 8
	// maxRawRecords and maxRawBytes bound the encoded records that are kept for
	// peers to fetch.
	maxRawRecords = 2048
	maxRawBytes   = 8 << 20
	// pauseThreshold is the gap between two ticks above which the process counts as
	// paused.
	pauseThreshold = 2 * time.Second
	// minOffsetZones is the number of availability zones from which peers must have
	// reported their offset before a daemon serves without the log.
	minOffsetZones = 2
	// startExchangePeriod is the pause between two exchanges of a daemon that does not
	// serve yet with the zones that have not reported their offset.
	startExchangePeriod = 500 * time.Millisecond
	// snapshotRecords is the number of records after which a snapshot is due.
	snapshotRecords = 500
	// snapshotMinRecords keeps a log with a short retention from filling up with
	// snapshots.
	snapshotMinRecords = 20
	// defaultAnnounceTimeout is the time without an announcement after which the
	// upstream beside the daemon counts as gone; it announces itself every second.
	defaultAnnounceTimeout = 4 * time.Second
)

// Events of the core.
type (
	// tick is the control tick; sinceBoot is the time since the machine was started,
	// which counts suspensions.
	tick struct{ sinceBoot time.Duration }
	// flush changes nothing itself: due updates and views are sent after every
	// event.
	flush          struct{}
	recordsArrived struct {
		entries []log.Entry
		source  string
		// logEnd is the end of the log as the source knows it; it may be nil.
		logEnd *wirev1.LogEnd
		// next is the offset after the end of the log and first the oldest retained
		// one; both are zero unless the log was read.
		next, first int64
		// asked is when the read began.
		asked time.Time
		// endAt is when the log ended at next; zero means asked.
		endAt time.Time
	}
	logFailed    struct{ err error }
	stateArrived struct {
		state      *fold.State
		zone, name string
	}
	offsetReported struct {
		zone string
		at   position
		// serving is false if the peer has no current state.
		serving bool
		// asked is when the peer was asked.
		asked time.Time
	}
	gossipDue        struct{}
	exchangeReceived struct{ req *wirev1.ExchangeRequest }
	exchangeDone     struct {
		to    membership.Member
		res   *wirev1.ExchangeResponse
		asked time.Time
	}
	exchangeFailed struct{ to membership.Member }
	probeDone      struct {
		to    membership.Member
		alive bool
	}
	announced Upstream
	leaving   struct{}
	// fetchFailed reports a failed fetch from a peer that holds more records.
	fetchFailed struct {
		to   membership.Member
		upTo position
	}
	fetchReceived struct{ req *wirev1.FetchRequest }
	// directoryRepaired says that the directory lists the members of the zone in an era.
	directoryRepaired struct{ era int64 }
	statusRequested   struct{ withoutState bool }
)

// Actions of the core, carried out by control.
type (
	sendPush struct {
		to  []membership.Member
		req *wirev1.PushRequest
	}
	sendExchange struct {
		to  membership.Member
		req *wirev1.ExchangeRequest
		// update marks an exchange that only forwards changed entries.
		update bool
		// notBefore is the earliest time to send the exchange; zero means at once.
		notBefore time.Time
	}
	sendFetch struct {
		to membership.Member
		// offset is that of the first record asked for, and carried that of the
		// daemon's own state.
		offset, carried int64
		// upTo is the position of the peer.
		upTo position
	}
	sendProbe struct {
		target membership.Member
		via    []membership.Member
	}
	// readLog requests a read of the log from the daemon's offset on, or of its newest
	// state if fromStart is set.
	readLog         struct{ fromStart bool }
	appendRecord    struct{ rec record.Record }
	repairDirectory struct {
		// members are those that the directory must list.
		members []membership.Member
		era     int64
	}
)

// position tells which of two states of the log is the newer one.
type position struct {
	// offset is that of the last folded record, and carried the offset up to which the
	// state includes the records of earlier eras.
	offset, carried int64
}

// after reports whether p is newer than q. In one era, a state that includes more of
// earlier eras is the newer one, because the records that follow can be read again.
func (p position) after(q position) bool {
	return cmp.Or(cmp.Compare(era.Of(p.offset), era.Of(q.offset)), cmp.Compare(p.carried, q.carried), cmp.Compare(p.offset, q.offset)) > 0
}

func positionOf(st *fold.State) position { return position{st.Offset, st.Carried} }

// reportedPosition returns the position in a message of a peer.
func reportedPosition(m interface {
	GetOffset() int64
	GetCarried() int64
}) position {
	return position{m.GetOffset(), m.GetCarried()}
}

// core is the state machine of the control state; handle is its only entry point.
type core struct {
	state     *fold.State
	raw       []log.Entry
	rawBytes  int
	table     *membership.Table
	decisions decisions

	metrics *metrics.Set
	events  *timeline.Timeline

	serving bool
	// hasOutcomes says that the ends of moves are kept in Outcomes and not on the
	// log. reportsDue says that they must be read before the daemon serves.
	hasOutcomes, reportsDue bool
	// compacted says that the log itself keeps the newest state, so no snapshots
	// are appended.
	compacted bool
	// readers is the number of daemons in a zone that tail the log.
	readers int
	// announceTimeout is the time without an announcement after which the upstream
	// beside the daemon counts as gone.
	announceTimeout time.Duration
	// pausedUntil is when the last pause was detected. Responses to requests sent
	// before it may be older than the pause, so they don't make the daemon serve
	// again.
	pausedUntil time.Time
	// caughtUp says that the last read reached the end of the log, and caughtUpAt when
	// the newest such read was made.
	caughtUp     bool
	caughtUpAt   time.Time
	logReachable bool
	// logFirst is the oldest offset that the log retains and logNext the next one
	// to be appended.
	logFirst, logNext int64
	// lastSnapshot is the offset of the newest snapshot on the log, savedCarried what the
	// newest one of all records before it includes of earlier eras, and saveAfter when a
	// snapshot of that may be appended again.
	lastSnapshot, savedCarried int64
	saveAfter                  time.Time
	// directoryEra is the era in which the directory is known to list the members, and
	// repairAfter when that may be checked again.
	directoryEra int64
	repairAfter  time.Time
	peerOffsets  map[string]position
	// askZonesAfter is when the zones that have not reported their offset are asked
	// again.
	askZonesAfter time.Time
	// contactAt is when a peer was last heard and contactPeer is its name.
	contactAt   time.Time
	contactPeer string
	// applyWithin is the time in which a change must be in force on all daemons.
	applyWithin     time.Duration
	logEnds         logEnds
	upstreamExpires time.Time
	upstream        announced
	// services restricts the followed services; empty means all.
	services []string
	// lastTick is the time of the last tick, and lastSinceBoot its time since boot.
	lastTick      time.Time
	lastSinceBoot time.Duration
	// behindSince is when a newer position than the daemon's own was first reported;
	// zero while none is known.
	behindSince time.Time
	// fetchUntil is the deadline for the response to a fetch of the records up to
	// fetchUpTo from fetchPeer.
	fetchUntil time.Time
	fetchUpTo  position
	fetchPeer  membership.Member
	// fetchTries counts the peers that were asked in vain for the records up to fetchUpTo.
	fetchTries int
	// crossZoneUpTo is the newest position that crossZonePeer, a peer in another
	// zone, has reported. Its records are fetched from there after
	// crossZoneFetchAt.
	crossZoneUpTo    position
	crossZonePeer    membership.Member
	crossZoneFetchAt time.Time
	preset           string
	// encoded is the encoding of state; nil if it has not been encoded.
	encoded []byte

	updates updateQueue
	// routes is the route table of the last view.
	routes *route.Table
	// tenants is the index of the last view.
	tenants *tenant.Index
	// initial holds the initial versions of upstreams, by upstream.
	initial map[string]initialVersion
	// dirty requests a new view for traffic at once. stale requests one soon,
	// because many members may change together.
	dirty, stale bool
	actions      []any
}

func newCore(self membership.Member, set *metrics.Set, events *timeline.Timeline) *core {
	st := &fold.State{}
	return &core{
		state: st, routes: route.NewTable(st, nil, self.Zone, self.Region), table: membership.NewTable(self), metrics: set, events: events,
		peerOffsets: make(map[string]position), decisions: newDecisions(), dirty: true,
		initial: make(map[string]initialVersion),
		readers: readersPerZone, announceTimeout: defaultAnnounceTimeout, applyWithin: defaultApplyWithin,
	}
}

// handle applies one event and returns the reply to it, if any, and the actions to
// carry out. rnd is a random number in [0,1).
func (c *core) handle(ev any, now time.Time, rnd float64) (reply any, actions []any) {
	c.actions = nil
	switch ev := ev.(type) {
	case tick:
		c.onTick(now, rnd, ev.sinceBoot)
	case flush:
	case recordsArrived:
		reply = c.onRecords(ev, now, rnd)
	case logFailed:
		c.onLogFailed(now, rnd, ev)
	case stateArrived:
		c.adopt(now, rnd, ev.state, ev.name)
	case offsetReported:
		c.onOffsetReported(now, ev)
	case gossipDue:
		c.onGossip(now, rnd)
	case exchangeReceived:
		reply = c.onExchange(now, rnd, ev.req)
	case exchangeDone:
		c.onExchangeDone(now, rnd, ev)
	case exchangeFailed:
		c.onExchangeFailed(rnd, ev.to)
	case probeDone:
		c.onProbe(now, ev)
	case announced:
		c.onAnnounced(now, ev)
	case leaving:
		c.table.Update(func(m *membership.Member) {
			if m.State != membership.Ready {
				// Peers must not report this upstream to the restarted daemon as
				// one that still runs.
				m.UpstreamID = ""
			}
			m.State = membership.Leaving
		})
		c.queueUpdates(c.table.Self())
		c.dirty = true
	case reportsRead:
		c.onReports(now, ev)
	case moveReported:
		c.onReport(now, ev.report)
	case fetchFailed:
		c.fetchElsewhere(now, rnd, ev)
	case fetchReceived:
		reply = c.onFetch(ev.req)
	case directoryRepaired:
		c.directoryEra = max(c.directoryEra, ev.era)
	case statusRequested:
		reply = c.status(now, ev.withoutState)
	default:
		reply = c.handleDecision(ev, now, rnd)
	}
	c.followLogEnd(now, rnd)
	c.sendQueuedUpdates(now, rnd)
	return reply, c.actions
}

func (c *core) act(a any) { c.actions = append(c.actions, a) }

func (c *core) event(now time.Time, kind timeline.Kind, version int64, format string, args ...any) {
	c.events.Add(now, kind, version, fmt.Sprintf(format, args...))
}

func (c *core) onTick(now time.Time, rnd float64, sinceBoot time.Duration) {
	gap := time.Duration(0)
	if !c.lastTick.IsZero() {
		gap = max(now.Sub(c.lastTick), sinceBoot-c.lastSinceBoot)
	}
	if gap > pauseThreshold {
		c.metrics.Add("control.pauses", 1)
		c.event(now, timeline.KindPause, c.state.Offset, "process was paused for %v; catching up before new work", gap.Round(time.Millisecond))
		c.serving, c.caughtUp, c.pausedUntil = false, false, now
		clear(c.peerOffsets)
		c.logEnds.newest, c.logEnds.relyUntil = logEnd{}, time.Time{}
		c.dirty = true
	}
	c.lastTick, c.lastSinceBoot = now, sinceBoot
	if dead := c.table.Tick(now); len(dead) > 0 {
		for _, m := range dead {
			c.event(now, timeline.KindMember, 0, "member %s (%s) is dead", m.Name, m.Zone)
		}
		c.queueUpdates(dead...)
		c.dirty = true
	}
	if !c.upstreamExpires.IsZero() && now.After(c.upstreamExpires) {
		c.upstreamExpires = time.Time{}
		gone := c.upstream
		gone.State = string(membership.Starting)
		c.onAnnounced(now, gone)
		c.upstreamExpires = time.Time{}
	}
	if p, ok := c.state.InForce(now); ok && p.Name != c.preset {
		c.preset = p.Name
		c.event(now, timeline.KindPreset, c.state.Version, "preset %s is in force", p.Name)
	}
	if !c.serving && !c.awaitsFirstRecord(now) {
		c.act(readLog{})
	}
	c.askZones(now, rnd)
	switch {
	case c.crossZoneUpTo.after(c.at()) && now.After(c.crossZoneFetchAt):
		c.fetch(now, c.crossZonePeer, c.crossZoneUpTo)
	case c.fetchUpTo.after(c.at()) && now.After(c.fetchUntil):
		c.fetchElsewhere(now, rnd, fetchFailed{to: c.fetchPeer, upTo: c.fetchUpTo})
	}
	c.recheckLog(now, rnd)
	c.repairDirectory(now)
	c.noteInitialVersions(now)
	c.endMovesWithoutOther(now)
	c.decide(now, rnd)
}

// awaitsFirstRecord reports whether the log is still empty and the zone's reader
// will forward the first record.
func (c *core) awaitsFirstRecord(now time.Time) bool {
	return c.compacted && c.logReachable && era.Number(c.state.Offset) == 0 && now.Before(c.logEnds.relyUntil)
}

// onRecords folds records that arrived from the log or a peer and forwards the new
// ones. It returns the offset up to which records are folded.
func (c *core) onRecords(ev recordsArrived, now time.Time, rnd float64) int64 {
	c.hearLogEnd(now, ev.logEnd)
	if ev.next > 0 {
		c.logNext, c.logFirst = ev.next, ev.first
		if !c.logReachable {
			c.logReachable, c.logEnds.failures = true, 0
			c.event(now, timeline.KindLog, c.state.Offset, "log is reachable")
			c.dirty = true
			c.setLogUnreachable(false)
		}
	}
	if ev.next > 0 && era.Of(ev.next) > era.Of(c.state.Offset) {
		c.onNewEra(ev, now, rnd)
	}
	c.adoptSnapshot(ev.entries, now, rnd)
	st := c.state.Clone()
	var fresh []log.Entry
	for _, e := range ev.entries {
		if e.Offset != st.Offset+1 {
			continue
		}
		out := st.Apply(e.Offset, e.Data)
		c.observeOutcome(now, out, ev.source)
		if out.Kind == record.KindSnapshot {
			c.noteSnapshot(e)
			e = stub(e)
		}
		c.keepRaw(e)
		fresh = append(fresh, e)
	}
	if len(fresh) > 0 {
		c.setState(now, st)
		c.endMovesInForce(now, fresh[0].Offset)
	}
	fromLog := ev.next > 0 && era.Of(ev.next) == era.Of(c.state.Offset) && !ev.asked.Before(c.pausedUntil)
	if fromLog {
		if c.logEnds.overdue && c.hasOutcomes && slices.ContainsFunc(c.state.Moves, isTimed) {
			// Peers tell the ends of moves, too.
			c.act(readReports{})
		}
		c.caughtUp = c.state.Offset >= ev.next-1
		if c.caughtUp {
			c.caughtUpAt = latest(ev.asked, ev.endAt)
			c.noteRead(c.caughtUpAt, ev.next-1)
		}
	}
	switch {
	case len(fresh) > 0:
		c.push(now, rnd, fresh, ev.source)
	case fromLog && c.caughtUp && c.readsLog():
		c.tellLogEnd(now, rnd)
	}
	if n := len(ev.entries); n > 0 && ev.entries[n-1].Offset > c.state.Offset {
		c.metrics.Add("control.gaps", 1)
		c.catchUp(now, ev.source, ev.entries[n-1].Offset)
	}
	if fromLog {
		c.serveIfCurrent(now)
	}
	c.snapshotIfDue(now)
	return c.state.Offset
}

// serveIfCurrent starts to serve once the daemon has caught up with the log. On a
// log without any configuration there is nothing to serve.
func (c *core) serveIfCurrent(now time.Time) {
	if !c.caughtUp || c.serving {
		return
	}
	if c.reportsDue {
		c.act(readReports{})
		return
	}
	if c.compacted && len(c.state.Schedule) == 0 {
		// There is no configuration yet. One without routes is one, too.
		return
	}
	// Peers may not know this daemon yet and tell it nothing, so it relies on them for
	// the usual time after the read and not after the start.
	c.startServing(now, c.caughtUpAt, "the log")
}

// stub returns a snapshot record without its state, to be forwarded to peers. With
// the state of 1,800 services, whole snapshots would take more bandwidth than all
// other control traffic.
func stub(e log.Entry) log.Entry {
	rec, err := record.Decode(e.Data)
	if err != nil {
		return e
	}
	if data, err := rec.Stub().Encode(); err == nil {
		e.Data = data
	}
	return e
}

// at returns the position of the daemon's state.
func (c *core) at() position { return positionOf(c.state) }

// fetch asks a peer for the records up to a position, unless a request for them is
// already pending.
func (c *core) fetch(now time.Time, to membership.Member, upTo position) {
	if !upTo.after(c.at()) || to.Name == "" || to.Name == c.table.Self().Name {
		return
	}
	if c.behindSince.IsZero() {
		c.behindSince = now
		// Two peers have the time to send the records before the daemon reads them
		// from the log.
		c.rely(now.Add(2 * fetchTimeout))
	}
	if now.Before(c.fetchUntil) && !upTo.after(c.fetchUpTo) {
		return
	}
	if to.Zone != c.table.Self().Zone && c.serving && upTo.after(c.crossZoneUpTo) {
		// A peer in the same zone may have the records in a moment. If none does, a
		// later tick fetches them from the other zone.
		if !c.crossZoneUpTo.after(c.at()) {
			c.crossZoneFetchAt = now.Add(crossZoneDelay)
		}
		c.crossZoneUpTo, c.crossZonePeer = upTo, to
		return
	}
	if upTo != c.fetchUpTo {
		c.fetchTries = 0
	}
	c.fetchUntil, c.fetchUpTo, c.fetchPeer = now.Add(fetchTimeout), upTo, to
	c.act(sendFetch{to: to, offset: c.state.Offset + 1, carried: c.state.Carried, upTo: upTo})
}

// fetchElsewhere asks another peer after a failed fetch; the first one may be
// leaving or gone.
func (c *core) fetchElsewhere(now time.Time, rnd float64, ev fetchFailed) {
	c.fetchUntil = time.Time{}
	if c.fetchTries++; c.fetchTries >= maxFetchTries && ev.upTo.offset <= c.state.Offset {
		// The log holds no more than this daemon, and the peer that kept more from
		// earlier eras is gone.
		c.fetchUpTo, c.crossZoneUpTo, c.behindSince = position{}, position{}, time.Time{}
		return
	}
	zone := c.table.Self().Zone
	others := c.table.Random(rnd, 1, func(m membership.Member) bool {
		return m.Name != ev.to.Name && m.Zone == zone && m.State != membership.Suspect
	})
	if len(others) == 0 {
		others = c.table.Random(rnd, 1, func(m membership.Member) bool { return m.State != membership.Suspect })
	}
	if len(others) == 0 {
		c.act(readLog{})
		return
	}
	c.fetch(now, others[0], ev.upTo)
}

// catchUp fetches the missing records up to an offset from the peer that is ahead, or
// reads the log.
func (c *core) catchUp(now time.Time, source string, offset int64) {
	if m, ok := c.table.Get(source); ok && source != c.table.Self().Name {
		c.fetch(now, m, position{offset, c.state.Carried})
		return
	}
	c.act(readLog{})
}

// adoptSnapshot adopts the newest snapshot among the entries if the records before
// them have expired.
func (c *core) adoptSnapshot(entries []log.Entry, now time.Time, rnd float64) {
	if len(entries) == 0 || entries[0].Offset <= c.state.Offset+1 && !c.compacted {
		return
	}
	for i := len(entries) - 1; i >= 0; i-- {
		rec, err := record.Decode(entries[i].Data)
		if err != nil || rec.Kind != record.KindSnapshot || rec.IsStub() || rec.Snapshot.UpTo < entries[0].Offset-1 {
			continue
		}
		st, err := fold.DecodeState(rec.Snapshot.State)
		if err != nil || st.Offset != rec.Snapshot.UpTo {
			c.metrics.Add("control.badSnapshots", 1)
			continue
		}
		// The orders of earlier moves may be gone from the log.
		c.reportsDue = c.hasOutcomes && !c.serving
		c.adopt(now, rnd, st, "")
		return
	}
}

// adopt replaces the state by one from a peer, or from a snapshot on the log if peer is
// empty, if that is newer, and tells peers. A daemon that does not serve yet tells only
// of what comes from the log, because its peers have the state that it gets from them.
func (c *core) adopt(now time.Time, rnd float64, st *fold.State, peer string) {
	if peer == "" && era.Of(st.Offset) == era.Of(c.state.Offset) {
		// What the daemon keeps from earlier eras is not on the log.
		st.Carried = max(st.Carried, c.state.Carried)
	}
	if !positionOf(st).after(c.at()) {
		return
	}
	if era.Of(st.Offset) > era.Of(c.state.Offset) && !c.enterEra(now, st, peer) {
		return
	}
	c.keepOwn(st, peer)
	c.assumeReported(st, now)
	c.event(now, timeline.KindVersion, st.Version, "version %d adopted from %s%s", st.Version, cmp.Or(peer, "a snapshot on the log"), c.lag(now))
	c.setState(now, st)
	if peer == "" || c.serving {
		c.reportOffset(now, rnd, peer)
	}
}

// setState puts a state in force. The position never decreases.
func (c *core) setState(now time.Time, st *fold.State) {
	if c.at().after(positionOf(st)) {
		return
	}
	if len(st.Remarks) > 0 && !slices.Equal(st.Remarks, c.state.Remarks) {
		c.metrics.Add("control.remarks", int64(len(st.Remarks)))
		c.event(now, timeline.KindVersion, st.Version, "%s", remarksText(st))
	}
	c.decisions.setMoveTimes(st, now)
	c.replaceState(st)
	if !c.behindSince.IsZero() {
		c.metrics.Observe("control.versionLag", now.Sub(c.behindSince), "", "")
		c.behindSince = time.Time{}
	}
	follow := c.services
	if len(follow) == 0 {
		for _, u := range st.Config.Upstreams {
			follow = append(follow, u.Name)
		}
	}
	c.table.Follow(follow...)
}

// replaceState replaces the state without checking its offset.
func (c *core) replaceState(st *fold.State) {
	c.state, c.encoded, c.dirty = st, nil, true
}

// lag describes for the timeline how long the daemon has known of a newer version and
// when it last heard a peer. Readers hear of a version from the log alone.
func (c *core) lag(now time.Time) string {
	text := ""
	if !c.behindSince.IsZero() {
		text = fmt.Sprintf(", %v after a newer version was reported", now.Sub(c.behindSince).Round(time.Millisecond))
	}
	if !c.isReader() && !c.contactAt.IsZero() {
		text += fmt.Sprintf(", %v after the last contact to a peer (%s)", now.Sub(c.contactAt).Round(time.Millisecond), c.contactPeer)
	}
	return text
}

// noteContact records that a peer was heard.
func (c *core) noteContact(now time.Time, peer string) {
	c.contactAt, c.contactPeer = now, peer
}

// observeOutcome counts a folded record and adds it to the timeline. source is the
// peer that sent the record; it is empty for the log.
func (c *core) observeOutcome(now time.Time, out fold.Outcome, source string) {
	c.metrics.Add("control.records."+string(out.Result), 1)
	switch {
	case out.Newer:
		c.metrics.Add("control.newerRecords", 1)
		c.event(now, timeline.KindRefused, out.Offset, "record %d is of a newer release: %s", out.Offset, out.Reason)
	case out.Result == fold.Refused:
		c.event(now, timeline.KindRefused, out.Offset, "%s record %d refused: %s", out.Kind, out.Offset, out.Reason)
	case out.Result == fold.Skipped:
		c.event(now, timeline.KindRefused, out.Offset, "record %d skipped: %s", out.Offset, out.Reason)
	case out.Result == fold.Accepted && out.Kind != record.KindSnapshot:
		c.event(now, timelineKind(out.Kind), out.Offset, "%s record %d is in force, from %s%s", out.Kind, out.Offset, cmp.Or(source, "the log"), c.lag(now))
	}
}

func timelineKind(k record.Kind) timeline.Kind {
	switch k {
	case record.KindPreset:
		return timeline.KindPreset
	case record.KindZone:
		return timeline.KindZone
	case record.KindMove, record.KindMoveStop, record.KindMoveDone, record.KindVerdict:
		return timeline.KindMove
	}
	return timeline.KindVersion
}

func (c *core) keepRaw(e log.Entry) {
	c.raw = append(c.raw, e)
	c.rawBytes += len(e.Data)
	for len(c.raw) > 1 && (len(c.raw) > maxRawRecords || c.rawBytes > maxRawBytes) {
		c.rawBytes -= len(c.raw[0].Data)
		c.raw = slices.Delete(c.raw, 0, 1)
	}
}

// push forwards new records to peers. For large records only the offset is sent, and
// peers that lack them fetch them once.
func (c *core) push(now time.Time, rnd float64, entries []log.Entry, source string) {
	req, size := &wirev1.PushRequest{From: c.table.Self().Name, LogEnd: c.wireLogEnd(now)}, 0
	for _, e := range entries {
		req.Records = append(req.Records, &wirev1.Record{Offset: e.Offset, Data: e.Data})
		size += len(e.Data)
	}
	if size > maxPushBytes {
		c.reportOffset(now, rnd, source)
		return
	}
	near, far := c.receivers(rnd, source)
	if to := append(near, far...); len(to) > 0 {
		c.act(sendPush{to: to, req: req})
	}
}

// reportOffset tells peers the daemon's offset, so that those that are behind fetch
// the records or the state. Peers in other zones are told later, because they usually
// have them from their own reader by then.
func (c *core) reportOffset(now time.Time, rnd float64, source string) {
	near, far := c.receivers(rnd, source)
	for _, m := range near {
		c.act(sendExchange{to: m, req: c.offsetNotice(now), update: true})
	}
	for _, m := range far {
		req := c.offsetNotice(now)
		req.LogEnd = nil // it would be older when it is sent
		c.act(sendExchange{to: m, req: req, update: true, notBefore: now.Add(crossZoneDelay)})
	}
}

// receivers returns the peers that are told of a new version: random ones in the
// daemon's zone and, if the version comes from the log, one in each other zone, so
// that it reaches a zone that cannot reach the log. source is the peer from which the
// version comes; it is empty for the log.
func (c *core) receivers(rnd float64, source string) (near, far []membership.Member) {
	zone := c.table.Self().Zone
	near = c.table.Random(rnd, recordFanout, func(m membership.Member) bool { return m.Zone == zone && m.Name != source })
	if source == "" {
		far = c.onePeerPerZone(rnd, c.isOtherZone)
	}
	return near, far
}

// newExchange returns an exchange that only reports this daemon's position.
func (c *core) newExchange() *wirev1.ExchangeRequest {
	return &wirev1.ExchangeRequest{From: toWire(c.table.Self()), Offset: c.state.Offset, Carried: c.state.Carried}
}

// offsetNotice returns an exchange that only reports this daemon's position and the end
// of the log.
func (c *core) offsetNotice(now time.Time) *wirev1.ExchangeRequest {
	req := c.newExchange()
	req.LogEnd = c.wireLogEnd(now)
	return req
}

// isOtherZone reports whether a member is in another zone than this daemon.
func (c *core) isOtherZone(m membership.Member) bool { return m.Zone != c.table.Self().Zone }

// onePeerPerZone returns a random member of each zone among those for which accept
// returns true.
func (c *core) onePeerPerZone(rnd float64, accept func(membership.Member) bool) []membership.Member {
	seen := make(map[string]bool)
	var out []membership.Member
	for _, m := range c.table.Random(rnd, c.table.Len(), accept) {
		if !seen[m.Zone] {
			seen[m.Zone] = true
			out = append(out, m)
		}
	}
	return out
}

// setLogUnreachable tells the members whether this daemon can read the log. If it
// cannot, another daemon in the zone reads it instead.
func (c *core) setLogUnreachable(unreachable bool) {
	if c.table.Self().LogUnreachable == unreachable {
		return
	}
	c.queueUpdates(c.table.Update(func(m *membership.Member) { m.LogUnreachable = unreachable }))
	c.dirty = true
}

func (c *core) onLogFailed(now time.Time, rnd float64, ev logFailed) {
	c.metrics.Add("control.logFailures", 1)
	c.noteFailure(now, rnd)
	c.setLogUnreachable(true)
	if c.logReachable {
		c.logReachable = false
		c.event(now, timeline.KindLog, c.state.Offset, "log is unreachable: %v", ev.err)
		c.dirty = true
	}
}

// onOffsetReported records the newest position reported from each zone. Without the
// log, a daemon serves once peers in two zones have reported theirs and it has
// folded up to the newest.
func (c *core) onOffsetReported(now time.Time, ev offsetReported) {
	if c.serving || !ev.serving || ev.asked.Before(c.pausedUntil) {
		return
	}
	if old, ok := c.peerOffsets[ev.zone]; !ok || ev.at.after(old) {
		c.peerOffsets[ev.zone] = ev.at
	}
	if c.logReachable || len(c.peerOffsets) < minOffsetZones {
		return
	}
	for _, at := range c.peerOffsets {
		if at.after(c.at()) {
			return
		}
	}
	c.startServing(now, now, "peers of "+strconv.Itoa(len(c.peerOffsets))+" availability zones")
}

// askZones exchanges with a peer of each zone that has not reported its offset, if the
// daemon needs that to serve without the log.
func (c *core) askZones(now time.Time, rnd float64) {
	if c.serving || c.logReachable || now.Before(c.askZonesAfter) {
		return
	}
	c.askZonesAfter = now.Add(startExchangePeriod)
	for _, m := range c.onePeerPerZone(rnd, func(m membership.Member) bool {
		_, reported := c.peerOffsets[m.Zone]
		return !reported && m.State != membership.Suspect
	}) {
		c.act(sendExchange{to: m, req: c.exchangeRequest(now)})
	}
}

// startServing begins to serve the state, which was current at the given time according to
// source.
func (c *core) startServing(now, current time.Time, source string) {
	c.serving = true
	clear(c.peerOffsets)
	c.rely(current.Add(c.relyPeriod()))
	c.dirty = true
	c.event(now, timeline.KindVersion, c.state.Version, "serving version %d, caught up with %s%s", c.state.Version, source, c.lastHeard(now))
}

// onFetch returns the records from an offset, or the state if the records are no
// longer kept or are larger than the state. That is so for several whole
// configurations, of which only the newest is of use.
func (c *core) onFetch(req *wirev1.FetchRequest) *wirev1.FetchResponse {
	res := &wirev1.FetchResponse{Offset: c.state.Offset, Carried: c.state.Carried, Zone: c.table.Self().Zone, Serving: c.serving}
	lacks := position{req.GetFrom() - 1, req.GetCarried()}
	if !c.at().after(lacks) {
		return res
	}
	if len(c.raw) == 0 || c.raw[0].Offset > req.GetFrom() || req.GetCarried() != c.state.Carried {
		res.Snapshot = c.encodedState()
		return res
	}
	limit := int(req.GetLimit())
	if limit <= 0 || limit > maxRawRecords {
		limit = maxRawRecords
	}
	size := 0
	for _, e := range c.raw[req.GetFrom()-c.raw[0].Offset:] {
		if len(res.Records) == limit {
			break
		}
		res.Records = append(res.Records, &wirev1.Record{Offset: e.Offset, Data: e.Data})
		size += len(e.Data)
	}
	if len(res.GetRecords()) > 1 && size > maxPushBytes {
		if data := c.encodedState(); len(data) > 0 && len(data) < size {
			res.Records, res.Snapshot = nil, data
		}
	}
	return res
}

// encodedState returns the encoded state, which is kept for the peers that fetch it,
// or nil if it cannot be encoded.
func (c *core) encodedState() []byte {
	if c.encoded == nil {
		data, err := c.state.Encode()
		if err != nil {
			c.metrics.Add("control.snapshotFailures", 1)
			return nil
		}
		c.encoded = data
	}
	return c.encoded
}

// isReader reports whether this daemon tails the log for its zone.
func (c *core) isReader() bool {
	return c.table.ZoneRank("reader") < c.readers
}

// readsLog reports whether this daemon reads the log continuously, for its zone or for
// want of peers that tell it of the log.
func (c *core) readsLog() bool { return c.logEnds.overdue || c.isReader() }

// snapshotIfDue appends a snapshot well before the records that it replaces expire
// from the log.
func (c *core) snapshotIfDue(now time.Time) {
	if c.compacted {
		return
	}
	since := c.state.Offset - c.lastSnapshot
	if era.Of(c.lastSnapshot) != era.Of(c.state.Offset) || c.lastSnapshot == 0 {
		since = c.state.Offset - c.logFirst + 1
	}
	retained := c.logNext - c.logFirst
	// One zone appends. Each further zone waits longer, in case the zones before it
	// cannot.
	turn := int64(1 + c.table.ZoneOrder("snapshot"))
	due := since >= turn*snapshotRecords || since >= turn*snapshotMinRecords && since > retained/2 || c.saveDue(now, turn)
	if !due || !c.serving || !c.logReachable || c.table.ZoneRank("snapshot") != 0 {
		return
	}
	c.lastSnapshot = c.state.Offset
	data, err := c.state.Encode()
	if err != nil {
		c.metrics.Add("control.snapshotFailures", 1)
		return
	}
	c.act(appendRecord{record.Record{
		ID:   fmt.Sprintf("snapshot-%d-%s", c.state.Offset, c.table.Self().Name),
		Kind: record.KindSnapshot, At: now, Author: c.table.Self().Name,
		Snapshot: &record.Snapshot{UpTo: c.state.Offset, State: data},
	}})
}

func (c *core) snapshot() *Snapshot {
	self, members := c.table.Self(), c.table.All()
	c.routes = c.routes.Next(c.state, members)
	c.tenants = c.tenants.Next(c.state.Config.Tenants)
	s := &Snapshot{
		State: c.state, Self: self, Members: members, Serving: c.serving, LogReachable: c.logReachable, Table: c.routes,
		Tenants: c.tenants,
	}
	if m, ok := c.table.SelfBeforeRestart(); ok {
		s.Earlier = &m
	}
	c.decisions.fillSnapshot(s, c.state)
	s.owners = sync.OnceValue(s.shardOwners)
	return s
}
