package control

import (
	"slices"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/version/era"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/record"
)

const (
	// directoryTask is the name of the task of entering members in the directory again
	// after the store has been restored.
	directoryTask = "directory"
	// repairRetryDelay is the pause before the directory is checked again after a
	// failure, and saveRetryDelay the same for a snapshot.
	repairRetryDelay = 2 * time.Second
	saveRetryDelay   = 2 * time.Second
	// resumeStep is the number of records before the daemon's own offset from which a
	// restored log is read first, and the factor by which the next read begins further
	// back.
	resumeStep = 8
)

// resumeFrom returns the offset from which a restored log is read, whose oldest retained
// offset is first: the number of the daemon's own offset, less some records.
func resumeFrom(st *fold.State, first, back int64) int64 {
	return max(first, era.Start(first)+era.Number(st.Offset)+1-back)
}

// startsFolded reports whether the first of the records is one that a state includes.
func startsFolded(entries []log.Entry, st *fold.State) bool {
	return len(entries) > 0 && st.Folded(stored(entries[:1])[0])
}

// onNewEra handles the first read of a log that has been restored since the era of the
// daemon's state. The records that the log has lost stay in force; those written since
// the restore follow them.
func (c *core) onNewEra(ev recordsArrived, now time.Time, rnd float64) {
	end, was := ev.next-1, c.state
	if isEmpty(was) {
		c.replaceState(&fold.State{Offset: era.Start(end)})
		c.directoryEra = era.Of(end)
		return
	}
	if len(ev.entries) == 1 && isListing(ev.entries[0]) {
		// It is adopted like any other snapshot.
		return
	}
	next, outcomes, ok := was.Resume(stored(ev.entries), end)
	switch {
	case ok:
		c.event(now, timeline.KindLog, next.Offset, "the log has been restored: era %d after offset %d, ending at %d with %d copied and %d new records; what it lost stays in force",
			era.Of(end), was.Offset, end, len(ev.entries)-len(outcomes), len(outcomes))
	case len(ev.entries) > 0 && era.Number(ev.entries[0].Offset) == 1:
		next, outcomes = &fold.State{Offset: era.Start(end)}, nil
		for _, e := range ev.entries {
			outcomes = append(outcomes, next.Apply(e.Offset, e.Data))
		}
		kept := next.Keep(was)
		c.event(now, timeline.KindLog, next.Offset, "the log has been restored: era %d after offset %d, ending at %d; it is not known which records are copies, so they replace the state (newer configuration kept: %t)",
			era.Of(end), was.Offset, end, kept)
	default:
		c.event(now, timeline.KindLog, was.Offset, "the log has been restored: era %d ends at offset %d; its %d records do not show what has been lost", era.Of(end), end, len(ev.entries))
		if c.compacted {
			c.act(readLog{fromStart: true})
		}
		return
	}
	for _, out := range outcomes {
		c.observeOutcome(now, out, ev.source)
	}
	c.startEra()
	for _, e := range ev.entries {
		c.keepRaw(e)
	}
	c.setState(now, next)
	c.reportOffset(now, rnd, "")
}

// enterEra prepares the adoption of a state of a later era, and reports whether the state
// may be adopted. If the daemon holds records that a peer's state does not include, the
// daemon's own state has to be resumed from the log, or without the log they are added.
func (c *core) enterEra(now time.Time, st *fold.State, peer string) bool {
	if isEmpty(c.state) {
		c.directoryEra = era.Of(st.Offset)
		return true
	}
	if peer != "" && c.state.Offset > st.Carried && c.logReachable {
		c.act(readLog{})
		return false
	}
	kept := false
	switch {
	case peer == "":
		// Records beyond the end of the log are lost; of the others it is not known.
		st.Add(stored(slices.DeleteFunc(slices.Clone(c.raw), func(e log.Entry) bool {
			return era.Number(e.Offset) <= era.Number(st.Offset)
		})))
		kept = st.Keep(c.state)
	case c.state.Offset > st.Carried:
		st.Add(stored(c.raw))
		kept, st.Carried = st.Keep(c.state), c.state.Offset
	}
	c.event(now, timeline.KindLog, st.Offset, "the log has been restored: era %d after offset %d (newer configuration kept: %t)", era.Of(st.Offset), c.state.Offset, kept)
	c.startEra()
	return true
}

// keepOwn adds to a state that is about to be adopted, from a peer or from the log if peer
// is empty, the records of its era that only this daemon has folded, and what it knows of
// moves that the log holds only as orders.
func (c *core) keepOwn(st *fold.State, peer string) {
	if era.Of(st.Offset) == era.Of(c.state.Offset) {
		for _, e := range c.raw {
			if e.Offset == st.Offset+1 {
				st.Apply(e.Offset, e.Data)
			}
		}
		if peer == "" || st.Revision < c.state.Revision {
			st.Keep(c.state)
		}
	}
	for upstream, v := range c.state.Versions {
		st.MergeVersions(upstream, v)
	}
	c.raw, c.rawBytes = nil, 0
}

// assumeReported notes that the ends of moves in an adopted state that this daemon has
// not followed itself are reported by those that have.
func (c *core) assumeReported(st *fold.State, now time.Time) {
	for _, m := range st.Moves {
		if m.Within > 0 && m.State != fold.MoveRunning && c.decisions.progress[m.ID] == nil {
			c.decisions.progressOf(m.ID, now).reported = m.State
		}
	}
}

// startEra forgets what holds for one era only.
func (c *core) startEra() {
	c.metrics.Add("control.eras", 1)
	c.raw, c.rawBytes, c.caughtUp = nil, 0, false
	c.decisions.forgetReports(c.state)
}

// isEmpty reports whether a state is that before any record.
func isEmpty(st *fold.State) bool { return era.Number(st.Offset) == 0 && len(st.Outcomes) == 0 }

// isListing reports whether an entry is a snapshot that a compacted log made when it was
// read.
func isListing(e log.Entry) bool {
	rec, err := record.Decode(e.Data)
	return err == nil && rec.Kind == record.KindSnapshot && rec.Snapshot.UpTo == e.Offset
}

func stored(entries []log.Entry) []fold.StoredRecord {
	out := make([]fold.StoredRecord, 0, len(entries))
	for _, e := range entries {
		out = append(out, fold.StoredRecord{Offset: e.Offset, Data: e.Data})
	}
	return out
}

// noteSnapshot notes a snapshot on the log.
func (c *core) noteSnapshot(e log.Entry) {
	c.lastSnapshot = e.Offset
	rec, err := record.Decode(e.Data)
	if err != nil || rec.IsStub() || rec.Snapshot.UpTo != e.Offset-1 {
		return
	}
	if st, err := fold.DecodeState(rec.Snapshot.State); err == nil {
		c.savedCarried = max(c.savedCarried, st.Carried)
	}
}

// saveDue reports whether a snapshot is due because the log has lost records that the
// state includes. turn is larger for a daemon that should leave it to others first.
func (c *core) saveDue(now time.Time, turn int64) bool {
	if c.state.Carried <= c.savedCarried {
		c.saveAfter = time.Time{}
		return false
	}
	if c.saveAfter.IsZero() {
		c.saveAfter = now.Add(time.Duration(turn-1) * saveRetryDelay)
	}
	if now.Before(c.saveAfter) {
		return false
	}
	c.saveAfter = now.Add(time.Duration(turn) * saveRetryDelay)
	return true
}

// repairDirectory enters the members of the zone in the directory again if they are
// missing there, after the store has been restored.
func (c *core) repairDirectory(now time.Time) {
	e := era.Of(c.state.Offset)
	if e <= c.directoryEra || !c.serving || !c.logReachable || now.Before(c.repairAfter) || c.table.ZoneRank(directoryTask) != 0 {
		return
	}
	c.repairAfter = now.Add(repairRetryDelay)
	var members []membership.Member
	for _, m := range c.table.All() {
		if m.Zone == c.table.Self().Zone && m.State != membership.Leaving {
			members = append(members, m)
		}
	}
	c.act(repairDirectory{members: members, era: e})
}
