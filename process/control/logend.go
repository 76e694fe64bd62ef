package control

import (
	"fmt"
	"math"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/version/era"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

const (
	// defaultApplyWithin is the time in which a change must be in force on all
	// daemons, and compactedApplyWithin the same for a compacted log.
	defaultApplyWithin   = 4 * time.Second
	compactedApplyWithin = 2 * time.Second
	// logEndFanout is the number of members to which a daemon sends or relays the
	// end of the log.
	logEndFanout = 4
	// overdueSpreadPerMember spreads the reads of the members of a zone that miss
	// the end of the log at the same time, so that the first one can tell the others.
	overdueSpreadPerMember = 20 * time.Millisecond
	// maxLogEndAge is the age from which the end of the log is of no use.
	maxLogEndAge = time.Minute
	// recheckDelay is the pause before a daemon whose read failed reads the log again
	// although peers tell it of the log, at least; it doubles with each failure up to
	// maxRecheckDelay.
	recheckDelay, maxRecheckDelay = time.Second, 16 * time.Second
	// maxKnownReads bounds the readers whose newest read is remembered.
	maxKnownReads = 1024
)

// logEnd is where the log ended when a reader read it. A daemon whose state includes
// all records before the end was up to date at that time.
type logEnd struct {
	offset int64
	// at is the time of the read by the clock of this daemon.
	at     time.Time
	reader string
	read   readID
}

// readID identifies a read of a reader.
type readID struct{ incarnation, number uint64 }

// logEnds holds the newest known end of the log. Daemons that are not readers rely on
// their peers to send them new records for as long as they hear of recent reads. Any
// other contact with a peer says nothing about the log: the peer may be behind itself.
type logEnds struct {
	newest logEnd
	// known holds the newest known read of each reader. The same read heard again
	// seems newer, by the time that the message took.
	known map[string]readID
	// reads counts the reads of this daemon.
	reads uint64
	// reliedAt is the time of the newest read on which this daemon relies, and
	// relyUntil is until when it relies on peers.
	reliedAt, relyUntil time.Time
	// overdue says that this daemon has to read the log itself.
	overdue bool
	// failedAt is when a read of this daemon failed last, failures how often that was in
	// a row while others read it, and recheckAfter when it reads again.
	failedAt, recheckAfter time.Time
	failures               int
}

// pollPeriod returns how long a read of the log waits for a record. It is shorter than
// the relyPeriod by the time in which other daemons hear of the read.
func pollPeriod(applyWithin time.Duration) time.Duration { return applyWithin * 2 / 5 }

// relyPeriod returns how long a daemon relies on peers after a read. The rest of the
// time in which a change must be in force is left for a read of its own.
func (c *core) relyPeriod() time.Duration { return c.applyWithin * 5 / 8 }

// overdueSpread returns a random delay for the start of own reads.
func (c *core) overdueSpread(rnd float64) time.Duration {
	spread := time.Duration(c.table.ZoneSize(c.table.Self().Zone)) * overdueSpreadPerMember
	return time.Duration(rnd * float64(min(spread, c.applyWithin/5)))
}

// noteRead notes that a read of this daemon found the end of the log.
func (c *core) noteRead(at time.Time, offset int64) {
	self := c.table.Self()
	if gap := at.Sub(c.logEnds.newest.at); c.serving && c.isReader() && !c.logEnds.newest.at.IsZero() && gap > c.relyPeriod() {
		c.metrics.Add("control.lateReads", 1)
		c.event(at, timeline.KindLog, c.state.Offset, "this reader heard of no read of the log for %v", gap.Round(time.Millisecond))
	}
	c.logEnds.reads++
	c.logEnds.newest = logEnd{offset: offset, at: at, reader: self.Name, read: readID{self.Incarnation, c.logEnds.reads}}
	if c.isReader() {
		// The daemon relies on the next reader for this time if it is no longer one.
		c.rely(at.Add(c.relyPeriod()))
	}
}

// hearLogEnd notes the end of the log that a peer reported. sent is the earliest time at
// which the peer can have sent it.
func (c *core) hearLogEnd(sent time.Time, w *wirev1.LogEnd) {
	if w == nil || w.GetReader() == c.table.Self().Name || w.GetAgeMs() > maxLogEndAge.Milliseconds() {
		return
	}
	age := time.Duration(max(0, w.GetAgeMs())) * time.Millisecond
	l, read := &c.logEnds, readID{w.GetIncarnation(), w.GetRead()}
	if old, ok := l.known[w.GetReader()]; ok && old.incarnation == read.incarnation && read.number <= old.number {
		return
	}
	if l.known == nil || len(l.known) >= maxKnownReads {
		l.known = make(map[string]readID)
	}
	l.known[w.GetReader()] = read
	if at := sent.Add(-age); at.After(l.newest.at) && era.Of(w.GetOffset()) >= era.Of(l.newest.offset) {
		l.newest = logEnd{offset: w.GetOffset(), at: at, reader: w.GetReader(), read: read}
	}
}

// hearLogUnreachable notes that a member of the zone cannot read the log. The next
// member reads it, so this daemon waits longer before it reads the log itself: all
// members would call a log that is down.
func (c *core) hearLogUnreachable(m membership.Member, rnd float64) {
	if m.LogUnreachable && m.Zone == c.table.Self().Zone && m.Name != c.table.Self().Name && !c.logEnds.newest.at.IsZero() {
		c.rely(c.logEnds.newest.at.Add(2*c.relyPeriod() + time.Duration(rnd*float64(c.relyPeriod()))))
	}
}

func (c *core) rely(until time.Time) {
	if until.After(c.logEnds.relyUntil) {
		c.logEnds.relyUntil = until
	}
}

// followLogEnd decides whether this daemon has to read the log itself.
func (c *core) followLogEnd(now time.Time, rnd float64) {
	l := &c.logEnds
	// A read in an earlier era says nothing of the records of this one.
	if e := l.newest; e.reader != c.table.Self().Name && e.at.After(l.reliedAt) && c.state.Offset >= e.offset && era.Of(e.offset) == era.Of(c.state.Offset) {
		l.reliedAt = e.at
		c.rely(e.at.Add(c.relyPeriod() + c.overdueSpread(rnd)))
	}
	overdue := c.serving && now.After(l.relyUntil) && !c.isReader()
	if overdue == l.overdue {
		return
	}
	l.overdue = overdue
	if !overdue {
		c.event(now, timeline.KindLog, c.state.Offset, "peers report the end of the log again")
		return
	}
	c.metrics.Add("control.directReads", 1)
	c.event(now, timeline.KindLog, c.state.Offset, "no peer has reported the end of the log in time%s; reading the log", c.lastHeard(now))
	c.act(readLog{})
}

// noteFailure notes that a read of this daemon failed. Failures of a log that others
// cannot read either do not count.
func (c *core) noteFailure(now time.Time, rnd float64) {
	l := &c.logEnds
	if l.newest.at.After(l.failedAt) {
		l.failures++
	} else {
		l.failures = 0
	}
	delay := max(recheckDelay, time.Duration(c.table.ZoneSize(c.table.Self().Zone))*overdueSpreadPerMember)
	for range min(l.failures, 8) {
		delay = max(delay, min(2*delay, maxRecheckDelay))
	}
	l.failedAt, l.recheckAfter = now, now.Add(delay/2+time.Duration(rnd*float64(delay)))
}

// recheckLog reads the log if this daemon's last read of it failed and peers have read it
// since. Otherwise a daemon that relies on peers would not learn that it reaches the log.
func (c *core) recheckLog(now time.Time, rnd float64) {
	l := &c.logEnds
	if c.logReachable || !c.serving || c.readsLog() || !l.newest.at.After(l.failedAt) || now.Before(l.recheckAfter) {
		return
	}
	l.recheckAfter = now.Add(maxRecheckDelay/2 + time.Duration(rnd*float64(maxRecheckDelay)))
	c.act(readLog{})
}

// lastHeard describes for the timeline what the daemon last heard of the log and of
// peers.
func (c *core) lastHeard(now time.Time) string {
	text := ""
	if e := c.logEnds.newest; !e.at.IsZero() {
		text = fmt.Sprintf(", the last read was %v ago by %s at offset %d", now.Sub(e.at).Round(time.Millisecond), e.reader, e.offset)
	}
	if !c.contactAt.IsZero() {
		text += fmt.Sprintf(", the last contact %v ago (%s)", now.Sub(c.contactAt).Round(time.Millisecond), c.contactPeer)
	}
	return text
}

// overdueDue returns when the daemon has to read the log itself unless it hears of a
// read until then; false means that this is not to come.
func (c *core) overdueDue(now time.Time) (time.Time, bool) {
	return c.logEnds.relyUntil, c.serving && now.Before(c.logEnds.relyUntil)
}

// wireLogEnd returns the newest known end of the log for a message to a peer; nil if
// none is known.
func (c *core) wireLogEnd(now time.Time) *wirev1.LogEnd {
	e := c.logEnds.newest
	if e.at.IsZero() {
		return nil
	}
	// Rounded up, so that the read does not seem newer to the peer.
	age := now.Sub(e.at).Milliseconds() + 1
	return &wirev1.LogEnd{Offset: e.offset, AgeMs: age, Reader: e.reader, Incarnation: e.read.incarnation, Read: e.read.number}
}

// tellLogEnd reports a read without new records to the members of the zone. Each of them
// relays it to a few others. The tree differs with each read, so that a member that does
// not answer keeps the report from others each time.
func (c *core) tellLogEnd(now time.Time, rnd float64) {
	c.relayLogEnd(now, &wirev1.Relay{Salt: math.Float64bits(rnd), Last: math.MaxUint64})
}

// relayLogEnd sends the newest end of the log to the members in the range of a relay.
func (c *core) relayLogEnd(now time.Time, r *wirev1.Relay) {
	for _, b := range c.table.Branches(c.logEnds.newest.reader, r.GetSalt(), r.GetFirst(), r.GetLast(), logEndFanout) {
		req := c.offsetNotice(now)
		req.Relay = &wirev1.Relay{Salt: r.GetSalt(), First: b.First, Last: b.Last}
		c.act(sendExchange{to: b.Member, req: req, update: true})
	}
}
