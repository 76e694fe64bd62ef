package returns

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	slots = 9
	// ordinaryLoad and ordinaryTime describe the load before the overload, as a multiple
	// of the capacity.
	ordinaryLoad = 0.8
	ordinaryTime = 5 * time.Second
	overloadTime = 20 * time.Second
)

// newModel returns a model whose callers offer load times the capacity of the
// instances, in classes of the given shares.
func newModel(entries, instances int, load float64, shares ...float64) *model {
	m := &model{rnd: rand.New(rand.NewPCG(20261207, 5)), slots: slots, ordinary: ordinaryTime, ordinaryShare: min(1, ordinaryLoad/load)}
	for range instances {
		m.instances = append(m.instances, &modelInstance{})
	}
	for range entries {
		m.entries = append(m.entries, new(Schedule))
	}
	capacity := float64(instances) * slots / modelWork.Seconds()
	for i, share := range shares {
		m.classes = append(m.classes, modelClass{name: fmt.Sprint("class", i), rank: i, perSecond: load * share * capacity})
	}
	return m
}

func total[K comparable](counts map[K]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// TestReturnsAreServed guards against callers that return at the time that they were
// told and are refused again, against capacity that is kept free for callers that do
// not come, and against classes or entries that are served nothing. Load: up to 1.8
// times the capacity for 20 s, 30% of the callers return at once and often.
func TestReturnsAreServed(t *testing.T) {
	three := []float64{0.3, 0.4, 0.3}
	restart := func(m *model) {
		for i := range m.entries {
			m.entries[i] = new(Schedule)
		}
	}
	for _, c := range []struct {
		name               string
		entries, instances int
		load               float64
		shares             []float64
		absent             float64
		disturb            func(*model)
	}{
		{"fourEntries", 4, 16, 1.8, three, 0, nil},
		// The entries give a promise every 280 ms or, with three classes, more rarely.
		{"eightyEntries", 80, 4, 1.8, three, 0, nil},
		{"oneClass", 80, 4, 1.8, []float64{1}, 0, nil},
		{"halfNeverReturn", 8, 16, 1.8, []float64{1}, 0.5, nil},
		{"nobodyReturns", 8, 16, 1.8, []float64{1}, 1, nil},
		{"nobodyReturnsEightyEntries", 80, 4, 1.8, []float64{1}, 1, nil},
		{"slightOverload", 8, 16, 1.1, three, 0, nil},
		{"noOverload", 8, 16, 0.95, three, 0, nil},
		{"restart", 8, 16, 1.8, three, 0, restart},
		{"halfTheCapacity", 8, 16, 1.8, three, 0, func(m *model) { m.slots = (slots + 1) / 2 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			run := func(scheduled bool) modelResult {
				m := newModel(c.entries, c.instances, c.load, c.shares...)
				m.scheduled, m.absent, m.disturb, m.disturbAfter = scheduled, c.absent, c.disturb, ordinaryTime+overloadTime/2
				return m.run(ordinaryTime + overloadTime)
			}
			without, with := run(false), run(true)
			if c.disturb != nil {
				// The promises from before the disturbance are lost or are too many.
				from := int((ordinaryTime + overloadTime/2) / time.Second)
				for r := range with.promised {
					if r.second >= from && r.second < from+2 {
						delete(with.promised, r)
						delete(with.kept, r)
					}
				}
			}
			promised, kept := total(with.promised), total(with.kept)
			t.Logf("kept %d of %d; served %d, without schedule %d; by class %v of %v, without %v; limited %d, of these while free %d; busy %v, without %v",
				kept, promised, total(with.served), total(without.served), with.served, with.offered, without.served, with.limited, with.limitedFree,
				with.busy.Round(time.Second), without.busy.Round(time.Second))
			if float64(kept) < 0.95*float64(promised) || promised == 0 && c.absent < 1 && c.load > 1 {
				t.Errorf("got %d of %d returns served, want at least 95%%", kept, promised)
			}
			checkServed(t, with, without)
		})
	}
}

// checkServed checks that a schedule costs no capacity and that nobody starves.
func checkServed(t *testing.T, with, without modelResult) {
	t.Helper()
	if with.busy < without.busy-without.busy/1000 {
		t.Errorf("got slots busy for %v, want %v as without a schedule", with.busy, without.busy)
	}
	// The work times of the requests served differ: with equal busy time, their number
	// differs by this standard deviation.
	n := total(without.served)
	deviation := math.Sqrt(2 * float64(n) * (math.Exp(modelSigma*modelSigma) - 1))
	if got := total(with.served); float64(got) < float64(n)-2*deviation {
		t.Errorf("got %d served, want %d as without a schedule", got, n)
	}
	all := float64(total(with.served)) / float64(total(with.offered))
	for class, n := range with.offered {
		if got := float64(with.served[class]) / float64(n); got < all/4 {
			t.Errorf("%s: got %.3f served, want at least a quarter of %.3f", class, got, all)
		}
	}
	mean := float64(total(with.served)) / float64(len(with.byEntry))
	for i, n := range with.byEntry {
		if float64(n) < mean/2 {
			t.Errorf("entry %d: got %d served, want at least half of %.0f", i, n, mean)
		}
	}
}
