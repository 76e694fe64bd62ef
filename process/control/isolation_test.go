package control

import (
	"fmt"
	"testing"
	"time"
)

// appliedWithinSmall is the time in which a change must be in force on a fleet of a
// dozen daemons.
const appliedWithinSmall = 2 * time.Second

// TestIsolatedDaemonsFollowLog guards against daemons that reach the log and are behind
// it, because no peer tells them: they are cut off from all peers, or from all but some
// that have no news either.
func TestIsolatedDaemonsFollowLog(t *testing.T) {
	// third reports whether a daemon belongs to the third that is cut off.
	third := func(f *fleet, name string) bool { return f.index(name)%9 < 3 }
	for i, tt := range []struct {
		name  string
		fault func(f *fleet)
	}{
		{"each from all others", func(f *fleet) {
			f.cut = func(from, to string) bool { return third(f, from) || third(f, to) }
		}},
		{"all together", func(f *fleet) {
			f.cut = func(from, to string) bool { return third(f, from) != third(f, to) }
		}},
		{"in pairs", func(f *fleet) {
			f.cut = func(from, to string) bool {
				pair := f.index(from)/9 == f.index(to)/9 && f.index(from)%9 < 2 && f.index(to)%9 < 2
				return (third(f, from) || third(f, to)) && !pair
			}
		}},
		{"in one direction", func(f *fleet) {
			f.cut = func(_, to string) bool { return third(f, to) }
		}},
		{"readers stand still", func(f *fleet) {
			for _, name := range f.names {
				if f.cores[name].isReader() {
					f.freeze(name, 4*time.Second)
				}
			}
		}},
	} {
		for _, size := range []struct {
			daemons int
			within  time.Duration
		}{{11, appliedWithinSmall}, {66, appliedWithin}, {300, appliedWithinLarge}} {
			if size.daemons == 300 && i > 0 {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d daemons", tt.name, size.daemons), func(t *testing.T) {
				seeds := uint64(12)
				if size.daemons > 11 {
					seeds = 1
				}
				var worst time.Duration
				reads := 0
				for seed := range seeds {
					f := newFleet(t, size.daemons, seed)
					// The cut begins at any time between two messages.
					f.runUntil(epoch.Add(3*time.Second + time.Duration(seed)*97*time.Millisecond))
					tt.fault(f)
					for range 5 {
						f.runUntil(f.now.Add(700 * time.Millisecond))
						f.write(t)
					}
					f.runUntil(f.now.Add(500 * time.Millisecond))
					f.cut = nil
					f.runUntil(f.now.Add(2 * size.within))
					longest, late := f.late(size.within)
					worst, reads = max(worst, longest), max(reads, f.reads)
					if late > 0 {
						t.Errorf("seed %d: %d times a daemon held a version later than %v, the last one after %v", seed, late, size.within, longest.Round(time.Millisecond))
					}
				}
				t.Logf("the last daemon held a version after %v; up to %d reads of the log", worst.Round(time.Millisecond), reads)
			})
		}
	}
}
