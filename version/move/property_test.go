package move

import (
	"maps"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// counterReport is one counter message from a daemon to another.
type counterReport struct {
	k Key
	c Counters
}

func reports(t *rapid.T, label string) []counterReport {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) counterReport {
		r := counterReport{k: Key{
			Move:        7,
			Instance:    rapid.SampledFrom([]string{"a", "b"}).Draw(t, "instance"),
			Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
			Route:       rapid.SampledFrom([]string{"stock", "price"}).Draw(t, "route"),
			Version:     rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
			Window:      Window(epoch) + rapid.Int64Range(0, 2*KeptWindows).Draw(t, "window"),
		}}
		r.c.Errors = rapid.Uint64Range(0, 20).Draw(t, "errors")
		r.c.Excluded = rapid.Uint64Range(0, 20).Draw(t, "excluded")
		for i := range 4 {
			r.c.Latency[2+2*i] = rapid.Uint64Range(0, 20).Draw(t, "latency")
		}
		r.c.Requests = r.c.Errors + countWithLatency(&r.c)
		return r
	}), 0, 300).Draw(t, label)
}

func merged(lists ...[]counterReport) *Evidence {
	e := new(Evidence)
	for _, list := range lists {
		for _, r := range list {
			e.Merge(r.k, r.c)
		}
	}
	return e
}

// TestMergeLaws guards against daemons that decide differently because the same
// reports reached them in a different order, more than once or through other
// daemons, and against sums that are inconsistent with the cells.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := reports(t, "a"), reports(t, "b")
		want := merged(a, b)
		allReports := func(e *Evidence) (out []counterReport) {
			for k, c := range e.All() {
				out = append(out, counterReport{k, c})
			}
			return out
		}
		m, now := testMove(time.Hour), epoch.Add(time.Hour)
		for name, got := range map[string]*Evidence{
			"commutative": merged(b, a),
			"idempotent":  merged(a, b, a, b),
			"permuted":    merged(rapid.Permutation(append(a[:len(a):len(a)], b...)).Draw(t, "order")),
			"associative": merged(allReports(merged(b)), allReports(merged(a))),
			"rebuilt":     merged(allReports(want)),
		} {
			if !maps.Equal(maps.Collect(got.All()), maps.Collect(want.All())) {
				t.Fatalf("%s: cells differ", name)
			}
			if !reflect.DeepEqual(got.view(m, now, omission{}), want.view(m, now, omission{})) {
				t.Fatalf("%s: sums differ", name)
			}
		}
		for s, cells := range want.cells {
			if len(cells) > KeptWindows {
				t.Fatalf("%v keeps %d cells, want at most %d", s, len(cells), KeptWindows)
			}
		}
	})
}

// TestShareBounds guards against a share outside of [0,1], a share above
// canaryPercent without evidence, and a share above 0 after a verdict.
func TestShareBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := testMove(2 * KeptWindows * WindowSeconds * time.Second)
		e := new(Evidence)
		canary := rapid.IntRange(0, 100).Draw(t, "canaryPercent")
		now, rolledBack := epoch, false
		for range 4 {
			for _, r := range reports(t, "reports") {
				e.Merge(r.k, r.c)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "seconds")) * time.Second)
			_, verdict := e.Judge(m, now)
			rolledBack = rolledBack || verdict
			share := e.Share(m, canary, rolledBack, now)
			if share < 0 || share > 1 || math.IsNaN(share) || rolledBack && share != 0 {
				t.Fatalf("share %v, verdict %v", share, rolledBack)
			}
			v := e.view(m, now, omission{})
			if limit := float64(canary) / 100; v.since(0).to.Requests < MinSamples && progress(m, now) < lowTrafficSchedule[1].at && share > limit {
				t.Fatalf("share %v without evidence, want at most %v", share, limit)
			}
			if rolledBack && e.Done(m, now) && e.Share(m, canary, rolledBack, now) > 0 {
				t.Fatal("done after a verdict")
			}
		}
	})
}

// TestExcess guards against a p-value that is too small, which would roll back good
// versions. It compares the upper bound with the exact distribution.
func TestExcess(t *testing.T) {
	choose := func(n, k uint64) float64 {
		r := 1.0
		for i := range k {
			r = r * float64(n-i) / float64(i+1)
		}
		return r
	}
	rapid.Check(t, func(t *rapid.T) {
		strata := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) stratum {
			s := stratum{to: rapid.Uint64Range(0, 12).Draw(t, "to"), from: rapid.Uint64Range(0, 12).Draw(t, "from")}
			s.toHits = rapid.Uint64Range(0, s.to).Draw(t, "toHits")
			s.fromHits = rapid.Uint64Range(0, s.from).Draw(t, "fromHits")
			return s
		}), 1, 4).Draw(t, "strata")
		dist := []float64{1} // probability of each total number of hits
		for _, s := range strata {
			k := s.toHits + s.fromHits
			next := make([]float64, uint64(len(dist))+s.to)
			for i, p := range dist {
				for x := uint64(0); x <= min(k, s.to); x++ {
					if k-x <= s.from {
						next[uint64(i)+x] += p * choose(s.to, x) * choose(s.from, k-x) / choose(s.to+s.from, k)
					}
				}
			}
			dist = next
		}
		want := 0.0
		for _, p := range dist[sum(strata).toHits:] {
			want += p
		}
		if got := excessPValue(strata); got < want*(1-1e-6) {
			t.Fatalf("got %g, want at least %g: %v", got, want, strata)
		}
	})
}

// TestJudge guards against verdicts that are not caused by the new version, and
// against a fault that is hidden by the requests of a busier route. Each case gives
// the counters of one of the four instances of a version in one of twenty windows.
func TestJudge(t *testing.T) {
	counts := func(requests, failed, excluded uint64) Counters {
		return Counters{Requests: requests, Errors: failed, Excluded: excluded, Latency: [16]uint64{5: requests - failed}}
	}
	for _, tc := range []struct {
		name   string
		counts func(route string, isNew bool, window int64) Counters
		now    int64 // seconds
		want   string
	}{
		{"both fail while the share is high", func(_ string, isNew bool, w int64) Counters {
			if w >= 10 && isNew {
				return counts(45, 15, 0)
			} else if w >= 10 {
				return counts(5, 2, 0)
			} else if isNew {
				return counts(5, 0, 0)
			}
			return counts(45, 0, 0)
		}, 99, ""},
		{"cold start of the whole new version, not yet detected", func(_ string, isNew bool, w int64) Counters {
			if isNew && w == 19 {
				return counts(40, 20, 0)
			}
			return counts(40, 0, 0)
		}, 98, ""},
		{"the same, not cold start", func(_ string, isNew bool, w int64) Counters {
			if isNew && w == 19 {
				return counts(40, 20, 0)
			}
			return counts(40, 0, 0)
		}, 103, reasonErrors},
		{"overload detected more fully on the old version", func(_ string, isNew bool, w int64) Counters {
			if w >= 16 && isNew {
				return counts(40, 20, 5)
			} else if w >= 16 {
				return counts(25, 1, 20)
			}
			return counts(45, 0, 0)
		}, 99, ""},
		{"fault on a route with less traffic than another", func(route string, isNew bool, _ int64) Counters {
			if route == "stock" {
				return counts(2000, 100, 0)
			} else if isNew {
				return counts(10, 3, 0)
			}
			return counts(10, 1, 0)
		}, 99, reasonErrors},
	} {
		var e Evidence
		for w := range int64(20) {
			for _, route := range []string{"price", "stock"} {
				for i, instance := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
					version := []string{"v1", "v2"}[i/4]
					e.Merge(Key{Move: 7, Instance: instance, Route: route, Version: version, Window: Window(epoch) + w}, tc.counts(route, i >= 4, w))
				}
			}
		}
		if v, ok := e.Judge(testMove(200*time.Second), epoch.Add(time.Duration(tc.now)*time.Second)); v.Reason != tc.want || ok != (tc.want != "") {
			t.Errorf("%s: got %+v, want reason %q", tc.name, v, tc.want)
		}
	}
}

// TestWithoutOldTraffic guards against a verdict on a fault of a dependency that
// affects only the new version because the old one has no traffic. The share must
// fall to canaryPercent, so that both can be compared.
func TestWithoutOldTraffic(t *testing.T) {
	var e Evidence
	m := testMove(200 * time.Second)
	for w := range int64(38) {
		failed := uint64(0)
		if w >= 36 {
			failed = 40
		}
		e.Merge(Key{Move: 7, Instance: "new", Route: "stock", Version: "v2", Window: Window(epoch) + w},
			Counters{Requests: 50, Errors: failed, Latency: [16]uint64{4: 50 - failed}})
		if w < 34 {
			e.Merge(Key{Move: 7, Instance: "old", Route: "stock", Version: "v1", Window: Window(epoch) + w},
				Counters{Requests: 50, Latency: [16]uint64{4: 50}})
		}
	}
	now := epoch.Add(188 * time.Second)
	if v, ok := e.Judge(m, now); ok {
		t.Errorf("got verdict %+v, want none", v)
	}
	if got := e.Share(m, 10, false, now); got != 0.1 {
		t.Errorf("got share %v, want 0.1", got)
	}
	if e.Done(m, now.Add(5*time.Second)) {
		t.Error("done while the new version is suspect")
	}
}

// TestStalled guards against a version that is neither done nor rolled back because
// it stays in cold start or overload, where all its samples are excluded.
func TestStalled(t *testing.T) {
	var e Evidence
	m := testMove(200 * time.Second)
	for w := range int64(40) {
		e.Merge(Key{Move: 7, Instance: "new", Route: "stock", Version: "v2", Window: Window(epoch) + w}, Counters{Excluded: 10})
		e.Merge(Key{Move: 7, Instance: "old", Route: "stock", Version: "v1", Window: Window(epoch) + w},
			Counters{Requests: 90, Latency: [16]uint64{4: 90}})
	}
	if v, ok := e.Judge(m, epoch.Add(180*time.Second)); ok {
		t.Errorf("got verdict %+v before the time is up, want none", v)
	}
	if got := e.Share(m, 10, false, epoch.Add(180*time.Second)); got != 0.1 {
		t.Errorf("got share %v, want 0.1", got)
	}
	if v, ok := e.Judge(m, epoch.Add(195*time.Second)); !ok || v.Reason != reasonStalled {
		t.Errorf("got verdict %+v, want one for %q", v, reasonStalled)
	}
}
