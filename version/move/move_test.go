package move

import (
	"strconv"
	"testing"
	"time"
)

// TestReplay replays each recorded trace. It guards against a bad version that
// keeps traffic, and against a good version that is rolled back or done too late.
func TestReplay(t *testing.T) {
	naiveBroken := 0
	for _, s := range scenarios() {
		tr := readTrace(t, s.path())
		o, n := tr.replay(new(daemonDecider), 1), tr.replay(new(naiveDecider), 1)
		if err := tr.check(o); err != "" {
			t.Errorf("%s: %s (%+v)", tr.Name, err, o)
		}
		naiveErr := tr.check(n)
		if naiveErr != "" {
			naiveBroken++
		}
		t.Logf("%-18s daemon: %s; naive: %s %s", tr.Name, o, n, naiveErr)
	}
	t.Logf("the naive decider misses the wanted outcome of %d traces", naiveBroken)
	if naiveBroken == 0 {
		t.Error("the naive decider reaches the wanted outcome of all traces, so the traces test nothing")
	}
}

// BenchmarkMerge merges updated counters of 200 instances and 10 routes.
func BenchmarkMerge(b *testing.B) {
	var e Evidence
	fill(&e, 200, 10, KeptWindows)
	for n := 0; b.Loop(); n++ {
		k := Key{Move: 7, Instance: "v1-" + strconv.Itoa(n%200), Route: "route-" + strconv.Itoa(n/200%10), Version: "v1", Window: Window(epoch) + KeptWindows - 1}
		e.Merge(k, Counters{Requests: uint64(1000 + n), Latency: [16]uint64{5: uint64(1000 + n)}})
	}
}

// BenchmarkDecide runs Judge and Share with 200 instances and 10 routes.
func BenchmarkDecide(b *testing.B) {
	var e Evidence
	fill(&e, 200, 10, KeptWindows)
	m := testMove(200 * time.Second)
	now := epoch.Add((KeptWindows*WindowSeconds - 1) * time.Second)
	b.Run("Judge", func(b *testing.B) {
		for b.Loop() {
			e.Judge(m, now)
		}
	})
	b.Run("Share", func(b *testing.B) {
		for b.Loop() {
			e.Share(m, 10, false, now)
		}
	})
}

// fill merges counters without a fault; every eighth instance has the new version.
func fill(e *Evidence, instances, routes, windows int) {
	for i := range instances {
		version := "v1"
		if i%8 == 0 {
			version = "v2"
		}
		for r := range routes {
			for w := range windows {
				e.Merge(Key{Move: 7, Instance: version + "-" + strconv.Itoa(i), Route: "route-" + strconv.Itoa(r), Version: version, Window: Window(epoch) + int64(w)},
					Counters{Requests: 100, Errors: 1, Latency: [16]uint64{4: 49, 5: 40, 6: 10}})
			}
		}
	}
}
