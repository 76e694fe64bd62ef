package control

import (
	"fmt"
	"testing"
	"time"
)

// A change must be in force within these times after its acknowledgement.
const (
	appliedWithin      = 2500 * time.Millisecond
	appliedWithinLarge = 3 * time.Second
)

// spread is a change, or a series of changes, on a fleet.
type spread struct {
	daemons int
	within  time.Duration
	// deleted says that the log deletes the records when the first change is written.
	deleted bool
	// restarts says that the readers restart after the first change.
	restarts bool
	// more is the number of further changes, 100 ms apart.
	more int
}

// run plays the changes and reports versions that are in force late.
func (s spread) run(t *testing.T, seeds uint64) {
	t.Helper()
	for seed := range seeds {
		f := newFleet(t, s.daemons, seed)
		f.runUntil(epoch.Add(3 * time.Second))
		f.write(t)
		if s.deleted {
			f.forget()
		}
		if s.restarts {
			f.runUntil(f.now.Add(200 * time.Millisecond))
			f.restartReaders()
		}
		for range s.more {
			f.runUntil(f.now.Add(100 * time.Millisecond))
			f.write(t)
		}
		f.runUntil(f.now.Add(2 * s.within))
		longest, late := f.late(s.within)
		t.Logf("seed %d: the last daemon held a version after %v; %d reads of the log", seed, longest.Round(time.Millisecond), f.reads)
		if late > 0 {
			t.Errorf("seed %d: %d times a daemon held a version later than %v, the last one after %v", seed, late, s.within, longest.Round(time.Millisecond))
		}
	}
}

// TestSnapshotSpreads guards against a version that is in force late because the log
// has deleted its record: the readers adopt a snapshot, and the other daemons learn of
// it only by their periodic exchanges.
func TestSnapshotSpreads(t *testing.T) {
	for _, s := range []spread{
		{daemons: 66, within: appliedWithin},
		{daemons: 66, within: appliedWithin, deleted: true},
		{daemons: 66, within: appliedWithin, deleted: true, restarts: true},
		{daemons: 300, within: appliedWithinLarge, deleted: true},
		{daemons: 300, within: appliedWithinLarge, deleted: true, restarts: true},
	} {
		t.Run(fmt.Sprintf("%d daemons, deleted %t, restarts %t", s.daemons, s.deleted, s.restarts), func(t *testing.T) { s.run(t, 3) })
	}
}

// TestSeriesSpreads guards against versions that are in force late because each
// daemon reads, fetches and applies all whole configurations of a series one after
// the other, although each replaces the one before.
func TestSeriesSpreads(t *testing.T) {
	for _, s := range []spread{
		{daemons: 66, within: appliedWithin, more: 15},
		{daemons: 66, within: appliedWithin, more: 15, deleted: true},
		{daemons: 300, within: appliedWithinLarge, more: 15},
	} {
		t.Run(fmt.Sprintf("%d daemons, deleted %t", s.daemons, s.deleted), func(t *testing.T) { s.run(t, 2) })
	}
}
