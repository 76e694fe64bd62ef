package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/internal/trace"
	"github.com/kingcuppitch/kingcuppitch/request"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "rewrite the trace in testdata")

const seed = 20261204

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes property tests draw the same cases in every run.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// event is a line of the trace: a crash or a completion.
type event struct {
	At           int64    `json:"at"` // ms
	Host         int      `json:"host"`
	Crash        string   `json:"crash,omitempty"`
	Fingerprints []uint64 `json:"fingerprints,omitempty"`
	Completed    uint64   `json:"completed,omitempty"`
}

// Fingerprints of the trace: poison crashes each instance that runs it, those up
// to popular are sent often, those up to common occasionally, and the others
// once, with one retry if their instance crashed.
const (
	poison  = 1
	popular = 8
	common  = 200
)

// generate simulates 8 instances without a quarantine. Instances also crash
// independently of requests.
func generate(rnd *rand.Rand) (events []event) {
	type job struct {
		fp    uint64
		until int64
		tries int
	}
	const instances = 8
	var running [instances][]job
	var down [instances]int64
	unique := uint64(1000)
	send := func(now int64, j job) {
		i := rnd.IntN(instances)
		for down[i] > now || len(running[i]) >= 20 {
			i = rnd.IntN(instances)
		}
		j.until = now + 20 + rnd.Int64N(80)
		running[i] = append(running[i], j)
	}
	for now := int64(0); now < 16000; now++ {
		if rnd.Float64() < 0.8 {
			switch k := rnd.IntN(10); {
			case k < 4:
				send(now, job{fp: 2 + rnd.Uint64N(popular-1)})
			case k < 6:
				send(now, job{fp: popular + 1 + rnd.Uint64N(common-popular)})
			default:
				unique++
				send(now, job{fp: unique})
			}
		}
		if now%2500 == 2000 {
			send(now, job{fp: poison})
		}
		for i := range instances {
			crash := now%4000 == 3500 && i == int(now/4000)
			var left, done []job
			for _, j := range running[i] {
				switch {
				case j.until > now:
					left = append(left, j)
				case j.fp == poison:
					crash = true
					left = append(left, j)
				default:
					done = append(done, j)
				}
			}
			running[i] = left
			for _, j := range done {
				events = append(events, event{At: now, Host: i, Completed: j.fp})
			}
			if !crash {
				continue
			}
			e := event{At: now, Host: i, Crash: fmt.Sprintf("crash-%d-%d", i, now)}
			running[i] = nil
			down[i] = now + 2000
			for _, j := range left {
				e.Fingerprints = append(e.Fingerprints, j.fp)
				if j.tries == 0 {
					send(now, job{fp: j.fp, tries: 1})
				}
			}
			slices.Sort(e.Fingerprints)
			e.Fingerprints = slices.Compact(e.Fingerprints)
			events = append(events, e)
		}
	}
	// Completions of requests that were in flight at no crash are left out to
	// keep the trace small.
	var inFlight []uint64
	for _, e := range events {
		inFlight = append(inFlight, e.Fingerprints...)
	}
	return slices.DeleteFunc(events, func(e event) bool { return e.Crash == "" && !slices.Contains(inFlight, e.Completed) })
}

func readTrace(t *testing.T) []event {
	t.Helper()
	const path = "testdata/crashes.jsonl"
	if *update {
		trace.Write(t, path, generate(rand.New(rand.NewPCG(seed, 1))))
	}
	return trace.Read[event](t, path)
}

func (e event) apply(s *Set) {
	at := epoch.Add(time.Duration(e.At) * time.Millisecond)
	if e.Crash != "" {
		s.Merge(Crash{ID: e.Crash, Instance: fmt.Sprint(e.Host), At: at, Fingerprints: e.Fingerprints})
	} else {
		s.Completed(e.Completed, at)
	}
}

// naive quarantines every fingerprint that was in flight at two crashes.
type naive map[uint64]map[string]bool

func (n naive) apply(e event) {
	for _, fp := range e.Fingerprints {
		if n[fp] == nil {
			n[fp] = make(map[string]bool)
		}
		n[fp][e.Crash] = true
	}
}

// delivery is the arrival of a report at the set under test.
type delivery struct {
	at int64
	e  event
}

// deliver returns the events as host 0 receives them: its own immediately, and
// those of others up to delay milliseconds late, out of order, and some of them
// twice.
func deliver(rnd *rand.Rand, events []event, delay int64) (out []delivery) {
	for _, e := range events {
		if e.Host == 0 || delay == 0 {
			out = append(out, delivery{e.At, e})
			continue
		}
		out = append(out, delivery{e.At + rnd.Int64N(delay), e})
		if rnd.IntN(3) == 0 {
			out = append(out, delivery{e.At + rnd.Int64N(3*delay), e})
		}
	}
	slices.SortStableFunc(out, func(a, b delivery) int { return int(a.at - b.at) })
	return out
}

// TestReplay guards against a poison request that is not quarantined after two
// crashes, and against the quarantine of popular and concurrent requests.
func TestReplay(t *testing.T) {
	events := readTrace(t)
	n := naive{}
	crashes := 0
	for _, e := range events {
		n.apply(e)
		if e.Crash != "" {
			crashes++
		}
	}
	harmlessNaive, popularNaive := 0, 0
	for fp, ids := range n {
		if len(ids) > 1 && fp != poison {
			harmlessNaive++
			if fp <= popular {
				popularNaive++
			}
		}
	}
	if popularNaive == 0 {
		t.Errorf("naive: %d harmless requests quarantined, %d of them popular, so the trace does not exercise the rule", harmlessNaive, popularNaive)
	}
	for _, delay := range []int64{0, 200, 2000} {
		for run := range uint64(20) {
			quarantined, atEnd := replay(t, events, rand.New(rand.NewPCG(run, uint64(delay))), delay)
			popularEver := 0
			for fp := range quarantined {
				if fp <= popular {
					popularEver++
				}
			}
			if run == 0 {
				t.Logf("delay up to %d ms, %d crashes: Set quarantined %d harmless requests (%d popular), %d at the end, naive %d (%d popular)",
					delay, crashes, len(quarantined), popularEver, atEnd, harmlessNaive, popularNaive)
			}
			if popularEver > 0 || atEnd >= harmlessNaive {
				t.Errorf("delay up to %d ms, run %d: %d popular requests were quarantined and %d harmless ones are at the end, want none and fewer than the naive %d",
					delay, run, popularEver, atEnd, harmlessNaive)
			}
		}
	}
}

// replay delivers the events to a set. It returns the fingerprints, except
// poison, that were quarantined at any time, and how many of them are at the end.
func replay(t *testing.T, events []event, rnd *rand.Rand, delay int64) (quarantined map[uint64]bool, atEnd int) {
	t.Helper()
	var s Set
	poisonCrashes := map[string]bool{}
	quarantined = map[uint64]bool{}
	tick := int64(0)
	for _, d := range deliver(rnd, events, delay) {
		for ; tick <= d.at; tick += 1000 {
			s.Expire(epoch.Add(time.Duration(tick) * time.Millisecond))
			s.collect(quarantined)
		}
		d.e.apply(&s)
		s.collect(quarantined)
		if slices.Contains(d.e.Fingerprints, poison) {
			poisonCrashes[d.e.Crash] = true
		}
		if got, want := s.Quarantined(poison), len(poisonCrashes) >= 2; got != want {
			t.Fatalf("delay up to %d ms: after %d crashes at %d ms: got quarantined %v, want %v", delay, len(poisonCrashes), d.at, got, want)
		}
	}
	delete(quarantined, poison)
	for fp := range quarantined {
		got, want := s.Quarantined(fp), specified(events, fp)
		if got != want {
			t.Errorf("delay up to %d ms: fingerprint %d: got quarantined %v, want %v", delay, fp, got, want)
		}
		if got {
			atEnd++
		}
	}
	return quarantined, atEnd
}

// collect adds the quarantined fingerprints to ever.
func (s *Set) collect(ever map[uint64]bool) {
	if m := s.blocked.Load(); m != nil {
		for fp := range *m {
			ever[fp] = true
		}
	}
}

// specified restates the rule over a whole trace: in flight at two crashes and
// not completed since the first of them.
func specified(events []event, fp uint64) bool {
	crashes := 0
	for _, e := range events {
		if e.Completed == fp {
			crashes = 0
		}
		if slices.Contains(e.Fingerprints, fp) {
			crashes++
		}
	}
	return crashes >= 2
}

// TestOrder guards against a result that depends on the order of reports, on
// duplicates, or on reports that contain only some of the requests in flight.
func TestOrder(t *testing.T) {
	// Two requests, one of them of two callers, beside those of unknown callers.
	const callerA, callerB = 1 << 40, 2 << 40
	known := []uint64{1, 2, 3, 4, 5, 1 | callerA, 1 | callerB, 2 | callerA}
	rapid.Check(t, func(t *rapid.T) {
		var events []event
		for i := range rapid.IntRange(1, 12).Draw(t, "events") {
			e := event{At: int64(1000 + 10*rapid.IntRange(0, 6).Draw(t, "at"))}
			if rapid.Bool().Draw(t, "crash") {
				// Two reports of the same crash may differ in the time and in the
				// fingerprints.
				e.Crash = fmt.Sprint(i / 2)
				e.Fingerprints = rapid.SliceOfNDistinct(rapid.SampledFrom(known), 1, 4, rapid.ID).Draw(t, "fingerprints")
			} else {
				e.Completed = rapid.SampledFrom(known).Draw(t, "completed")
			}
			events = append(events, e)
		}
		var a, b Set
		for _, e := range events {
			e.apply(&a)
		}
		for _, i := range rapid.Permutation(seq(len(events))).Draw(t, "order") {
			events[i].apply(&b)
		}
		for _, i := range rapid.SliceOf(rapid.IntRange(0, len(events)-1)).Draw(t, "again") {
			events[i].apply(&b)
		}
		if got, want := b.Crashes(), a.Crashes(); !reflect.DeepEqual(got, want) {
			t.Fatalf("got crashes %v, want %v", got, want)
		}
		if got, want := b.Completions(), a.Completions(); !reflect.DeepEqual(got, want) {
			t.Fatalf("got completions %v, want %v", got, want)
		}
		for _, fp := range append([]uint64{0, 2 | callerB}, known...) {
			got, _ := b.Until(fp)
			if want, _ := a.Until(fp); !got.Equal(want) {
				t.Fatalf("fingerprint %d: got quarantine until %v, want %v", fp, got, want)
			}
		}
	})
}

func seq(n int) (out []int) {
	for i := range n {
		out = append(out, i)
	}
	return out
}

// TestKnownGood guards against the quarantine of a request in use because the
// report of its completion arrives after those of two crashes, and against a
// request that is never quarantined because it once completed.
func TestKnownGood(t *testing.T) {
	const inUse, turnedBad = 2, 3
	var s Set
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	check := func(when string, want ...uint64) {
		t.Helper()
		for _, fp := range []uint64{poison, inUse, turnedBad} {
			if got := s.Quarantined(fp); got != slices.Contains(want, fp) {
				t.Errorf("%s: fingerprint %d: got quarantined %v", when, fp, got)
			}
		}
	}
	s.Completed(inUse, at(0))
	s.Completed(turnedBad, at(0))
	s.Expire(at(5 * time.Second))
	for i, d := range []time.Duration{5 * time.Second, 5050 * time.Millisecond} {
		s.Merge(Crash{ID: fmt.Sprint(i), At: at(d), Fingerprints: []uint64{poison, inUse, turnedBad}})
	}
	check("after two crashes", poison)
	s.Expire(at(7 * time.Second))
	s.Completed(inUse, at(5100*time.Millisecond))
	check("before the end of the grace period", poison)
	s.Expire(at(8050 * time.Millisecond))
	check("after the grace period", poison, turnedBad)
}

// TestCallers guards against a request that is cleared, or refused, because of what the
// same request did for another caller.
func TestCallers(t *testing.T) {
	fingerprints := make(map[string]uint64)
	for _, name := range []string{"a", "b", "c", ""} {
		call := request.Call{Method: "GET", Path: "/slots/17", Caller: name}
		fingerprints[name] = call.Fingerprint()
	}
	// Each step is a crash with the given callers' requests in flight, or a completion.
	type step struct {
		crash     []string
		completed string
	}
	crash := func(callers ...string) step { return step{crash: callers} }
	completed := func(caller string) step { return step{completed: caller} }
	for _, tt := range []struct {
		name  string
		steps []step
		want  []string
	}{
		{"the request of another caller completes", []step{completed("b"), crash("a"), completed("b"), crash("a")}, []string{"a"}},
		{"it completes after the second crash", []step{crash("a"), crash("a"), completed("b")}, []string{"a"}},
		{"it completes for the caller itself", []step{crash("a"), completed("a"), crash("a")}, nil},
		{"another caller's is in flight once", []step{crash("a", "b"), crash("a")}, []string{"a"}},
		{"it crashes upstreams for each caller", []step{crash("a"), crash("b")}, []string{"", "a", "b", "c"}},
		{"it crashes them for two callers and completes for a third", []step{crash("a"), crash("b"), completed("c")}, nil},
		{"callers are not known", []step{crash(""), crash("")}, []string{"", "a", "b", "c"}},
	} {
		var s Set
		now := epoch
		for i, st := range tt.steps {
			now = now.Add(time.Second)
			if st.crash == nil {
				s.Completed(fingerprints[st.completed], now)
				continue
			}
			c := Crash{ID: fmt.Sprint(i), At: now}
			for _, name := range st.crash {
				c.Fingerprints = append(c.Fingerprints, fingerprints[name])
			}
			s.Merge(c)
		}
		s.Expire(now.Add(knownGoodDelay))
		for name, fp := range fingerprints {
			if got, want := s.Quarantined(fp), slices.Contains(tt.want, name); got != want {
				t.Errorf("%s: request of caller %q: got quarantined %v, want %v", tt.name, name, got, want)
			}
		}
	}
}

// TestDeadline guards against a quarantine that never ends, against one that a
// duplicate of an old report renews, and against further crashes that do not
// extend it.
func TestDeadline(t *testing.T) {
	var s Set
	now := epoch
	var copies []Crash
	crash := func() {
		c := Crash{ID: fmt.Sprint(len(copies)), At: now, Fingerprints: []uint64{poison}}
		copies = append(copies, c)
		s.Merge(c)
	}
	crash()
	for _, want := range []time.Duration{5 * time.Minute, time.Hour, 12 * time.Hour} {
		crash()
		s.Expire(now.Add(want - time.Millisecond))
		if until, ok := s.Until(poison); !ok || !until.Equal(now.Add(want)) {
			t.Fatalf("after crash %d: got until %v, %v, want %v", len(copies), until, ok, now.Add(want))
		}
		now = now.Add(want)
		s.Expire(now)
		for _, c := range copies {
			s.Merge(c)
		}
		if s.Quarantined(poison) {
			t.Fatalf("after crash %d: still quarantined at the deadline", len(copies))
		}
	}
	s.Expire(now.Add(KeepCrashes + time.Millisecond))
	if got := s.Crashes(); len(got) > 0 {
		t.Errorf("got %d crashes after %v, want none", len(got), KeepCrashes)
	}
	s.Merge(Crash{ID: "wrong clock", At: now.Add(1000 * time.Hour), Fingerprints: []uint64{poison}})
	if got := s.Crashes(); len(got) > 0 {
		t.Errorf("got a crash of the future: %v", got)
	}
}

// TestBound guards against memory that grows with the number of crashes and of
// distinct requests, and against hosts that retain different crashes.
func TestBound(t *testing.T) {
	var a, b Set
	var list []Crash
	for i := range MaxCrashes + 256 {
		list = append(list, Crash{ID: fmt.Sprint(i), At: epoch.Add(time.Duration(i*7919%4096) * time.Second), Fingerprints: []uint64{uint64(i), poison}})
	}
	for i := range list {
		a.Merge(list[i])
		b.Merge(list[len(list)-1-i])
		a.Completed(uint64(1_000_000+i), epoch)
	}
	if got, want := a.Crashes(), b.Crashes(); len(got) != MaxCrashes || !reflect.DeepEqual(got, want) {
		t.Errorf("got %d and %d crashes, want the same %d", len(got), len(want), MaxCrashes)
	}
	if n := len(a.suspects); n > MaxCrashes+1 {
		t.Errorf("got %d suspects, want at most %d", n, MaxCrashes+1)
	}
	for i := range 5 * maxRecent {
		a.Completed(uint64(2_000_000+i), epoch)
	}
	if n := len(a.recent) + len(a.older); n > 2*maxRecent {
		t.Errorf("got %d completions, want at most %d", n, 2*maxRecent)
	}
}

func BenchmarkCompleted(b *testing.B) {
	var s Set
	at := epoch
	for i := uint64(0); b.Loop(); i++ {
		at = at.Add(time.Millisecond)
		s.Completed(i, at)
	}
}

func BenchmarkQuarantined(b *testing.B) {
	var s Set
	s.Merge(Crash{ID: "1", At: epoch, Fingerprints: []uint64{poison}})
	s.Merge(Crash{ID: "2", At: epoch, Fingerprints: []uint64{poison}})
	for i := uint64(0); b.Loop(); i++ {
		s.Quarantined(i & 1)
	}
}
