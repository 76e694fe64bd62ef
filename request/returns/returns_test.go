package returns

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
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
			if with.limitedFree > 0 {
				t.Errorf("%d requests were refused by their entry while a tenth of the slots were free", with.limitedFree)
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
	t.Logf("least served entry: %.2f of the mean, without schedule %.2f", float64(slices.Min(with.byEntry))/mean, float64(slices.Min(without.byEntry))/mean)
	for i, n := range with.byEntry {
		if float64(n) < mean/2 {
			t.Errorf("entry %d: got %d served, want at least half of %.0f", i, n, mean)
		}
	}
}

var (
	epoch = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)
	key   = Key{Upstream: "u", Class: "c"}
)

// trained returns a schedule of an entry whose requests are served 50 times a second,
// and the time.
func trained(start time.Time) (*Schedule, time.Time) {
	s := new(Schedule)
	for range 500 {
		start = start.Add(20 * time.Millisecond)
		s.Served(start, key, Caller{}, Arrival{})
	}
	return s, start
}

// TestRecognised guards against callers that take the room of others because they come
// too early, too late or again, or because another tenant sent the same request.
func TestRecognised(t *testing.T) {
	id := Caller{Fingerprint: 7, Tenant: "a"}
	for _, c := range []struct {
		name  string
		after time.Duration
		id    Caller
		want  Arrival
	}{
		{"early", -25 * time.Millisecond, id, Arrival{Early: true}},
		{"slightlyEarly", -15 * time.Millisecond, id, Arrival{Returning: true}},
		{"late", 900 * time.Millisecond, id, Arrival{Returning: true}},
		{"tooLate", 1100 * time.Millisecond, id, Arrival{}},
		{"otherTenant", 0, Caller{7, "b"}, Arrival{}},
		{"otherRequest", 0, Caller{8, "a"}, Arrival{}},
	} {
		s, now := trained(epoch)
		at, promised := s.Refuse(now, key, id, Refusal{Deadline: now.Add(3 * time.Second), Rnd: 0.99})
		if wait := at.Sub(now); !promised || wait <= minWait || wait > time.Second {
			t.Fatalf("%s: got promise %v after %v", c.name, promised, wait)
		}
		if again, promised := s.Refuse(now, key, id, Refusal{Deadline: now.Add(time.Second)}); promised || !again.Equal(at) {
			t.Errorf("%s: refused again: got %v, want the time promised before, %v", c.name, again, at)
		}
		if got := s.Arrive(at.Add(c.after), key, c.id); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
		if got := s.Arrive(at.Add(c.after), key, c.id); got.Returning {
			t.Errorf("%s: the same promise was kept twice", c.name)
		}
	}
}

// TestEvenSpacing guards against promises that exceed the rate served, against times
// later than callers wait, and against whole seconds that callers are not told.
func TestEvenSpacing(t *testing.T) {
	for _, whole := range []bool{false, true} {
		s, now := trained(epoch)
		times := make(map[time.Duration]int)
		for i := range 400 {
			at, promised := s.Refuse(now, key, Caller{Fingerprint: uint64(i)}, Refusal{Deadline: now.Add(9 * time.Second), WholeSeconds: whole})
			if !promised {
				if at.Sub(now) < 3*time.Second-2*waitMargin {
					t.Errorf("caller %d: told %v without a promise", i, at.Sub(now))
				}
				continue
			}
			if wait := at.Sub(now); wait > 3*time.Second || whole && wait%time.Second != 0 {
				t.Errorf("caller %d: promised %v", i, wait)
			}
			times[at.Sub(now).Truncate(time.Second)]++
		}
		// Seven tenths of 50 a second.
		for second, n := range times {
			if n < 33 || n > 37 {
				t.Errorf("whole seconds %v: got %d promises in second %v, want 35", whole, n, second)
			}
		}
		if want := 3; len(times) < want-1 || len(times) > want {
			t.Errorf("whole seconds %v: got promises in %d seconds", whole, len(times))
		}
	}
}

// TestLateWholeSeconds guards against a caller that is recognised too late because another
// one, which was refused before, was told a later time: whole seconds are counted from the
// refusal.
func TestLateWholeSeconds(t *testing.T) {
	s, now := trained(epoch)
	refuse := func(i uint64) time.Time {
		at, _ := s.Refuse(now, key, Caller{Fingerprint: i}, Refusal{Deadline: now.Add(time.Minute), WholeSeconds: true})
		return at
	}
	first := uint64(0)
	for refuse(first).Sub(now) < 2*time.Second {
		first++
	}
	firstAt := now.Add(2 * time.Second)
	now = now.Add(200 * time.Millisecond)
	at := refuse(first + 1)
	if !at.Before(firstAt) {
		t.Fatalf("got %v, want a time before that of the caller refused before, %v", at, firstAt)
	}
	if got := s.Arrive(at.Add(lateTolerance+time.Millisecond), key, Caller{Fingerprint: first + 1}); got.Returning || got.Early {
		t.Errorf("got %+v, want a new request", got)
	}
}

// TestLimited guards against new requests that compete with callers that return, and
// against ones refused although capacity is free, no time is promised, or the request
// is a call of an upstream.
func TestLimited(t *testing.T) {
	deadline := epoch.Add(time.Hour)
	limited := func(s *Schedule, now time.Time, k Key) (n int) {
		for i := range 30 {
			if s.Arrive(now, k, Caller{Fingerprint: uint64(1000 + i)}).Limited {
				n++
			}
		}
		return n
	}
	nested := key
	nested.Nested = true
	lessUrgent, moreUrgent := key, key
	lessUrgent.Class, lessUrgent.Rank = "less", key.Rank-1
	moreUrgent.Class, moreUrgent.Rank = "more", key.Rank+1
	for _, c := range []struct {
		name                    string
		after                   time.Duration
		served                  int
		refused, servedKey, key Key
		want                    bool
	}{
		{"limited", 0, 0, key, key, key, true},
		{"servedSince", 0, freeAfter, key, key, key, false},
		{"lessUrgentServedSince", 0, freeAfter, key, lessUrgent, key, false},
		{"moreUrgentServedSince", 0, freeAfter, key, moreUrgent, key, true},
		{"notRefusedLately", shedPeriod, 0, key, key, key, false},
		{"nested", 0, 0, nested, nested, nested, false},
		{"otherClass", 0, 0, key, key, Key{Upstream: "u", Class: "d"}, false},
	} {
		s, now := trained(epoch)
		for i := range 100 {
			s.Refuse(now, c.refused, Caller{Fingerprint: uint64(i)}, Refusal{Deadline: deadline})
		}
		for range c.served {
			s.Served(now, c.servedKey, Caller{}, Arrival{})
		}
		if got := limited(s, now.Add(c.after), c.key); got > 0 != c.want {
			t.Errorf("%s: got %d of 30 new requests refused, want any: %v", c.name, got, c.want)
		}
	}
}

// TestBounded guards against a schedule that grows without bound, or that never
// promises anything again once it was full.
func TestBounded(t *testing.T) {
	s, now := trained(epoch)
	for i := range 3 * MaxPromises {
		// Each upstream has its own schedule.
		k := Key{Upstream: fmt.Sprint(i % 900), Class: "c"}
		if i < 900 {
			for range 10 {
				s.Served(now, k, Caller{}, Arrival{})
			}
		}
		s.Refuse(now, k, Caller{Fingerprint: uint64(i)}, Refusal{Deadline: now.Add(time.Hour)})
	}
	if got := s.Promises(); got != MaxPromises {
		t.Errorf("got %d promises, want %d", got, MaxPromises)
	}
	now = now.Add(time.Hour)
	if at, promised := s.Refuse(now, key, Caller{Tenant: "a"}, Refusal{Deadline: now.Add(time.Hour)}); !promised || s.Promises() != 1 {
		t.Errorf("an hour later: got promise %v at %v, %d promises in all", promised, at, s.Promises())
	}
}

// TestManyUpstreams guards against promises that are lost because upstreams come and go,
// and against schedules of upstreams that are gone. Load: 400 new upstreams every minute.
func TestManyUpstreams(t *testing.T) {
	s, now := trained(epoch)
	id := Caller{Fingerprint: 7}
	for round := range 10 {
		now = now.Add(time.Minute)
		at, promised := s.Refuse(now, key, id, Refusal{Deadline: now.Add(time.Minute), Rnd: 0.99})
		if !promised {
			t.Fatalf("round %d: no time is promised", round)
		}
		for i := range 400 {
			s.Served(now, Key{Upstream: fmt.Sprint(round, "/", i), Class: "c"}, Caller{}, Arrival{})
		}
		if got := s.Arrive(at, key, id); !got.Returning {
			t.Errorf("round %d: got %+v, want a returning caller", round, got)
		}
		byUpstream := 0
		for _, list := range s.upstreams {
			byUpstream += len(list)
		}
		if got := len(s.streams); got > maxStreams || got != byUpstream {
			t.Errorf("round %d: got %d schedules, %d by upstream, want as many and at most %d", round, got, byUpstream, maxStreams)
		}
	}
}

// TestMonotonic guards against promises that a step of the wall clock moves: a time
// without a monotonic reading is compared by the wall clock.
func TestMonotonic(t *testing.T) {
	s, now := trained(time.Now())
	for i := range 2 {
		at, _ := s.Refuse(now, key, Caller{Fingerprint: uint64(i)}, Refusal{Deadline: now.Add(time.Minute), WholeSeconds: i > 0})
		if !strings.Contains(at.String(), " m=") {
			t.Errorf("got %v without a monotonic reading", at)
		}
	}
}

// BenchmarkDecision measures the decisions on one request at an entry in overload: an
// arrival, and a refusal or an answer.
func BenchmarkDecision(b *testing.B) {
	s, now := trained(epoch)
	for i := uint64(0); b.Loop(); i++ {
		now = now.Add(10 * time.Millisecond)
		id := Caller{Fingerprint: i}
		a := s.Arrive(now, key, id)
		if a.Limited || i%2 == 0 {
			s.Refuse(now, key, id, Refusal{Arrival: a, Deadline: now.Add(3 * time.Second)})
		} else {
			s.Served(now, key, id, a)
		}
	}
}

// TestRateIsLearnedAgain guards against a rate from before a pause, in which nothing was
// requested, and against one that takes long to learn after it.
func TestRateIsLearnedAgain(t *testing.T) {
	var r rate
	now := epoch
	for _, perSecond := range []int{50, 4, 200} {
		for i := range perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			r.add(now)
			if got, want := r.perSecond(now), float64(perSecond); i > perSecond/2 && (got < want/2 || got > want*2) {
				t.Errorf("after %d of %d answers a second: got a rate of %.1f", i, perSecond, got)
			}
		}
		now = now.Add(relearnAfter + time.Millisecond)
		if got := r.perSecond(now); got != 0 {
			t.Errorf("after a pause: got a rate of %.1f, want it unknown", got)
		}
	}
}

// TestLimitedIsThatOfArrive guards against a schedule that says that it limits new callers
// and admits the next one, or the reverse, and against asking it changing what it decides.
// Load: 40 new callers a second, of which nearly all are refused.
func TestLimitedIsThatOfArrive(t *testing.T) {
	var asked, other Schedule
	k := Key{Upstream: "booking", Class: "book", Rank: 1}
	start := time.Unix(0, 0)
	limited := 0
	for i := range 400 {
		now := start.Add(time.Duration(i) * 25 * time.Millisecond)
		c := Caller{Fingerprint: uint64(i)}
		// Both schedules have forgotten the promises that have expired.
		asked.stream(now, k)
		want := asked.Limited(now, k)
		a, o := asked.Arrive(now, k, c), other.Arrive(now, k, c)
		if a != o || a.Limited != want {
			t.Fatalf("request %d: got %+v and %+v, announced as limited: %v", i, a, o, want)
		}
		if a.Limited {
			limited++
		}
		r := Refusal{Arrival: a, Deadline: now.Add(10 * time.Second), Rnd: 0.5}
		asked.Refuse(now, k, c, r)
		other.Refuse(now, k, c, r)
	}
	if limited == 0 || limited == 400 {
		t.Errorf("got %d limited callers of 400, want some", limited)
	}
}
