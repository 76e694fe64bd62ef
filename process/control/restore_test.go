package control

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// stableAfter is the time after an outage of the log from which changes must be in force
// in time again.
const stableAfter = 3 * time.Second

// operator writes to the log of a fleet. After a restore it writes again what the log has
// lost: the newest value of each key.
type operator struct {
	f *fleet
	// out holds the zones that are out of service.
	out map[string]bool
	// written holds, for each record of the log, the key that it is of.
	written []string
}

const configKey = "config"

func (o *operator) publish(t *testing.T) {
	t.Helper()
	o.f.write(t)
	o.written = append(o.written, configKey)
}

func (o *operator) toggle(t *testing.T, zone string) {
	t.Helper()
	o.out[zone] = !o.out[zone]
	o.f.setZone(t, zone, o.out[zone])
	o.written = append(o.written, zone)
}

// restore restores the log from a copy with n records and returns the keys that it lost.
func (o *operator) restore(t *testing.T, n int) (lost []string) {
	t.Helper()
	seen := make(map[string]bool)
	for _, key := range o.written[n:] {
		if !seen[key] {
			lost, seen[key] = append(lost, key), true
		}
	}
	o.f.restore(t, n)
	o.written = o.written[:n:n]
	return lost
}

func (o *operator) writeAgain(t *testing.T, key string) {
	t.Helper()
	if key == configKey {
		o.f.writeRevision(t, o.f.revision)
	} else {
		o.f.setZone(t, key, o.out[key])
	}
	o.written = append(o.written, key)
}

// TestRestoredLogFollowed guards against daemons that return to an older configuration,
// that do not take new ones in time, or that end with other zones out of service than the
// operator's, when the log is restored from older copies several times: with records
// written again before the daemons read the log and after, with daemons that reach either
// only the log or only their peers, with readers that restart, and with records that the log
// deletes before daemons read them.
func TestRestoredLogFollowed(t *testing.T) {
	for _, size := range []struct {
		daemons int
		within  time.Duration
		seeds   uint64
	}{{11, appliedWithinSmall, 60}, {66, appliedWithin, 2}} {
		t.Run(fmt.Sprintf("%d daemons", size.daemons), func(t *testing.T) {
			var worst time.Duration
			for seed := range size.seeds {
				f := newFleet(t, size.daemons, seed)
				o := &operator{f: f, out: make(map[string]bool), written: []string{configKey}}
				playRestores(t, o, rand.New(rand.NewPCG(seed, 34)), size.within)
				longest, late := f.late(size.within)
				worst = max(worst, longest)
				if late > 0 || f.regressed > 0 {
					t.Errorf("seed %d: %d times a daemon held a version later than %v, the last one after %v; %d times one returned to an earlier one",
						seed, late, size.within, longest.Round(time.Millisecond), f.regressed)
				}
				for _, name := range f.names {
					st := f.cores[name].state
					if st.Offset != f.end() || st.Revision != f.revision || st.Zones["a"].Out != o.out["a"] || st.Zones["b"].Out != o.out["b"] {
						t.Errorf("seed %d: %s ends at offset %d with revision %d and zones %+v, want offset %d, revision %d and zones out %v",
							seed, name, st.Offset, st.Revision, st.Zones, f.end(), f.revision, o.out)
					}
				}
			}
			t.Logf("the last daemon held a version after %v", worst.Round(time.Millisecond))
		})
	}
}

// excuse takes the revisions that were written from a time on from those that must be held
// in time, because the log was away before they had to be.
func (f *fleet) excuse(since time.Time) {
	maps.DeleteFunc(f.written, func(_ int64, at time.Time) bool { return !at.Before(since) })
}

// playRestores has the log restored four times, with changes before and after.
func playRestores(t *testing.T, o *operator, rng *rand.Rand, within time.Duration) {
	t.Helper()
	f := o.f
	pass := func(most time.Duration) { f.runUntil(f.now.Add(time.Duration(rng.Int64N(int64(most))))) }
	pass(time.Second)
	for range 4 {
		f.runUntil(f.now.Add(stableAfter))
		for range 1 + rng.IntN(4) {
			if rng.IntN(3) == 0 {
				o.toggle(t, []string{"a", "b"}[rng.IntN(2)])
			} else {
				o.publish(t)
			}
			pass(700 * time.Millisecond)
		}
		// A third of the daemons: a zone, or some of each zone.
		third := func(name string) bool { return f.index(name)%3 == 1 }
		if rng.IntN(2) == 0 {
			third = func(name string) bool { return f.index(name)%9 < 3 }
		}
		switch rng.IntN(4) {
		case 0:
			f.cut = func(from, to string) bool { return third(from) || third(to) }
		case 1:
			f.logCut = third
		case 2:
			f.restartReaders()
		}
		pass(700 * time.Millisecond)
		cutBefore := f.logCut
		f.logCut = func(string) bool { return true }
		f.excuse(f.now.Add(-within))
		pass(2 * time.Second)
		lost := o.restore(t, max(0, len(f.records)-rng.IntN(6)))
		readFirst := rng.IntN(2) == 0
		if readFirst {
			f.logCut = cutBefore
		}
		for _, key := range lost {
			if readFirst {
				pass(400 * time.Millisecond)
			}
			o.writeAgain(t, key)
		}
		if rng.IntN(4) == 0 {
			// All records are deleted, or all but the last; the newest of each key stay.
			f.first = max(f.first, int64(len(f.records)+rng.IntN(2)))
		}
		f.logCut = cutBefore
		back := f.now
		for range rng.IntN(3) {
			o.publish(t)
			if f.now.Before(back.Add(stableAfter)) {
				f.excuse(back)
			}
			pass(time.Second)
		}
		f.cut, f.logCut = nil, nil
		pass(time.Second)
	}
	f.runUntil(f.now.Add(stableAfter))
	o.publish(t)
	f.runUntil(f.now.Add(2 * stableAfter))
}

// TestLoneRecordSurvivesRestore guards against what a single daemon has read before a
// restore and the log has lost: the others, which have not read it, must take it over,
// whether that daemon or another one reads the restored log first.
func TestLoneRecordSurvivesRestore(t *testing.T) {
	for seed := range uint64(12) {
		f := newFleet(t, 11, seed)
		o := &operator{f: f, out: make(map[string]bool), written: []string{configKey}}
		f.runUntil(epoch.Add(stableAfter))
		lone := f.names[f.rnd.IntN(len(f.names))]
		f.cut = func(from, to string) bool { return from == lone || to == lone }
		f.logCut = func(name string) bool { return name != lone }
		o.toggle(t, "a")
		o.publish(t)
		f.runUntil(f.now.Add(stableAfter))
		if !f.cores[lone].state.Zones["a"].Out {
			t.Fatalf("seed %d: %s has not read the order", seed, lone)
		}
		f.logCut = func(string) bool { return true }
		o.restore(t, 1)
		f.runUntil(f.now.Add(time.Second))
		f.logCut = nil
		if seed%2 == 0 {
			f.logCut = func(name string) bool { return name == lone }
		}
		f.runUntil(f.now.Add(2 * stableAfter))
		f.cut, f.logCut = nil, nil
		f.runUntil(f.now.Add(4 * stableAfter))
		for _, name := range f.names {
			if st := f.cores[name].state; !st.Zones["a"].Out || st.Revision != f.revision || st.Offset != f.end() {
				t.Errorf("seed %d: %s is at offset %d with zones %+v and revision %d, want offset %d, zone a out and revision %d",
					seed, name, st.Offset, st.Zones, st.Revision, f.end(), f.revision)
			}
		}
	}
}

// TestLateReadOfEra guards against a read that began before a restore and is handed over
// after the daemon has met the new era.
func TestLateReadOfEra(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.write(t)
	f.write(t)
	late := recordsArrived{entries: slices.Clone(f.records), first: 1, next: 4, asked: epoch}
	c := f.cores[f.names[0]]
	f.restore(t, 1)
	f.write(t)
	now := epoch.Add(time.Second)
	c.handle(recordsArrived{entries: f.records, first: f.offset(1), next: f.end() + 1, asked: now}, now, 0)
	st := c.state
	if st.Offset != f.end() || st.Revision != f.revision {
		t.Fatalf("got offset %d and revision %d, want %d and %d", st.Offset, st.Revision, f.end(), f.revision)
	}
	end := c.logEnds.newest
	if _, actions := c.handle(late, now.Add(time.Second), 0); c.state != st || c.logEnds.newest != end {
		t.Errorf("got state at %d, end %+v and %d actions from a read of an era that is over, want offset %d and end %+v", c.state.Offset, c.logEnds.newest, len(actions), st.Offset, end)
	}
}
