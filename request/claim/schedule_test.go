package claim

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"pgregory.net/rapid"
)

// attempt is one attempt of an entry to run a keyed request.
type attempt struct {
	at       time.Duration
	key      int
	writer   int
	patience time.Duration // of the claim
	pause    time.Duration // between the grant and the run
	end      ending
}

// ending is how an attempt ends after its grant.
type ending int

const (
	finishes   ending = iota // runs and stores the answer
	vanishes                 // runs; the entry is lost
	releases                 // no byte reached an upstream
	disowned                 // the grant got lost on its way to the entry
	numEndings = iota
)

// schedule is one random history.
type schedule struct {
	attempts []attempt
	links    []linkPlan
	restarts []restart
	outages  []gap
	// lifetime, retainRecords and retainAge are those of keys and of the log.
	lifetime      time.Duration
	retainRecords int
	retainAge     time.Duration
	// final runs at the end, before the owners are closed.
	final func(log *fakeLog, owners []owner)
}

type linkPlan struct {
	delay, lag time.Duration
	faults     []fault
	pauses     []gap
}

type restart struct {
	at     time.Duration
	writer int
	crash  bool
}

type gap struct {
	at, length time.Duration
	hangs      bool
}

const (
	scheduleKeys   = 3
	scheduleLength = 40 * time.Second
)

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

func gaps(rng *rand.Rand, most time.Duration) []gap {
	out := make([]gap, rng.IntN(3))
	for i := range out {
		out[i] = gap{between(rng, 0, scheduleLength), between(rng, 0, most), rng.IntN(2) == 0}
	}
	return out
}

// newSchedule returns the schedule of a seed. The generators of rapid favour
// small values, with which most claims meet a fault at once; rapid draws the
// seed and the number of attempts.
func newSchedule(seed uint64, attempts int, short bool) schedule {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := schedule{lifetime: time.Hour, outages: gaps(rng, 4*time.Second)}
	if short {
		s.lifetime = between(rng, 8*time.Second, 16*time.Second)
	}
	switch rng.IntN(3) {
	case 1:
		s.retainRecords = 8 + rng.IntN(16)
	case 2:
		s.retainAge = between(rng, 3*time.Second, 10*time.Second)
	}
	for range 2 + rng.IntN(2) {
		l := linkPlan{
			delay:  between(rng, time.Microsecond, 30*time.Millisecond),
			lag:    between(rng, 0, 5*time.Second),
			pauses: gaps(rng, 8*time.Second),
		}
		for range rng.IntN(8) {
			l.faults = append(l.faults, none, none, fault(rng.IntN(numFaults)))
		}
		s.links = append(s.links, l)
	}
	for range rng.IntN(5) {
		s.restarts = append(s.restarts, restart{between(rng, 0, scheduleLength), rng.IntN(len(s.links)), rng.IntN(2) == 0})
	}
	for range attempts {
		s.attempts = append(s.attempts, attempt{
			at: between(rng, 0, scheduleLength), key: rng.IntN(scheduleKeys), writer: rng.IntN(len(s.links)),
			patience: between(rng, 0, 3*time.Second), pause: between(rng, 0, time.Second),
			end: ending(rng.IntN(numEndings)),
		})
		if rng.IntN(4) == 0 { // the entry stands still
			s.attempts[len(s.attempts)-1].pause = between(rng, 0, 20*time.Second)
		}
	}
	return s
}

// owner is what a schedule runs on: the Writer, or a naive version.
type owner interface {
	Owner
	Close(ctx context.Context) error
}

type maker func(log log.Log, s *schedule) owner

func makeWriter(log log.Log, s *schedule) owner {
	noJitter := func(o *options) { o.jitter = 0 } // so that a seed gives the same history
	opts := []Option{WithLifetime(s.lifetime), WithRunWithin(2 * time.Second), noJitter}
	if s.retainRecords > 0 {
		opts = append(opts, WithRetention(time.Hour, int64(s.retainRecords)))
	}
	if s.retainAge > 0 {
		opts = append(opts, WithRetention(s.retainAge, 1<<20))
	}
	return NewWriter(log, 0, opts...)
}

// history is what came of a schedule.
type history struct {
	mu         sync.Mutex
	runs       [scheduleKeys][]time.Time
	holder     [scheduleKeys]string
	heldAt     [scheduleKeys]time.Time
	grants     int
	results    map[Result]int
	duplicates []string
}

// play runs a schedule in virtual time.
func play(t *testing.T, s *schedule, newOwner maker) *history {
	h := &history{results: make(map[Result]int)}
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		log := &fakeLog{retainRecords: s.retainRecords, retainAge: s.retainAge}
		spans := func(gaps []gap) (out []span) {
			for _, g := range gaps {
				out = append(out, span{start.Add(g.at), start.Add(g.at + g.length), g.hangs})
			}
			return out
		}
		log.outages = spans(s.outages)
		links := make([]*link, len(s.links))
		owners := make([]owner, len(s.links))
		var mu sync.Mutex
		for i, p := range s.links {
			links[i] = &link{fakeLog: log, delay: p.delay, lag: p.lag, faults: p.faults, pauses: spans(p.pauses)}
			owners[i] = newOwner(links[i], s)
		}
		var wg sync.WaitGroup
		stop := func(o owner, grace time.Duration) {
			ctx, cancel := context.WithTimeout(context.Background(), grace)
			defer cancel()
			_ = o.Close(ctx)
		}
		for _, r := range s.restarts {
			wg.Go(func() {
				time.Sleep(r.at)
				mu.Lock()
				old := owners[r.writer]
				owners[r.writer] = newOwner(links[r.writer], s)
				mu.Unlock()
				if r.crash {
					stop(old, 0)
				} else {
					stop(old, 5*time.Second)
				}
			})
		}
		for i, a := range s.attempts {
			wg.Go(func() {
				time.Sleep(a.at)
				mu.Lock()
				o := owners[a.writer]
				mu.Unlock()
				h.attempt(o, &a, fmt.Sprint("attempt-", i), s.lifetime)
			})
		}
		wg.Wait()
		if s.final != nil {
			s.final(log, owners)
		}
		for _, o := range owners {
			stop(o, time.Minute)
		}
	})
	return h
}

// attempt plays the part of the entry.
func (h *history) attempt(o owner, a *attempt, id string, lifetime time.Duration) {
	key := fmt.Sprint("key-", a.key)
	ctx, cancel := context.WithTimeout(context.Background(), a.patience)
	defer cancel()
	g, err := o.Claim(ctx, key, id)
	h.mu.Lock()
	if err != nil {
		g.Result = Unavailable
	}
	h.results[g.Result]++
	h.mu.Unlock()
	if err != nil || g.Result != Granted {
		return
	}
	release := func() {
		h.mu.Lock()
		if h.holder[a.key] == id {
			h.holder[a.key] = ""
		}
		h.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_ = o.Release(ctx, key, id)
	}
	h.mu.Lock()
	h.grants++
	now := time.Now()
	if other := h.holder[a.key]; other != "" && now.Before(h.heldAt[a.key].Add(lifetime-2*time.Second)) {
		h.duplicates = append(h.duplicates, fmt.Sprintf("%s granted to %s while %s holds it", key, id, other))
	}
	h.holder[a.key], h.heldAt[a.key] = id, now
	h.mu.Unlock()
	if a.end == disowned {
		release()
		return
	}
	time.Sleep(a.pause)
	if now := time.Now(); a.end == releases || !now.Before(g.RunBy) {
		release()
		return
	}
	h.mu.Lock()
	now = time.Now()
	// A key may run again only after its lifetime, which began before RunBy
	// less the time to start a run.
	for _, at := range h.runs[a.key] {
		if now.Sub(at) < lifetime-2*time.Second {
			h.duplicates = append(h.duplicates, fmt.Sprintf("second run of %s, by %s, %v after the first", key, id, now.Sub(at)))
		}
	}
	h.runs[a.key] = append(h.runs[a.key], now)
	h.mu.Unlock()
	if a.end == finishes {
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_ = o.Finish(ctx, key, id, Stored{Status: 200, Body: []byte(id)})
	}
}

// Guards against a second run of a key, and against two holders of a key, when
// writers race, restart or stand still and the log loses answers, is out, and
// expires records.
func TestAtMostOneRun(t *testing.T) {
	for _, short := range []bool{false, true} {
		t.Run(fmt.Sprintf("shortLifetime=%v", short), func(t *testing.T) {
			runs, grants := 0, 0
			results := make(map[Result]int)
			check(t, 1500, func(rt *rapid.T) {
				s := newSchedule(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 40).Draw(rt, "attempts"), short)
				h := play(t, &s, makeWriter)
				for _, d := range h.duplicates {
					rt.Error(d)
				}
				for _, r := range h.runs {
					runs += len(r)
				}
				grants += h.grants
				for r, n := range h.results {
					results[r] += n
				}
			})
			t.Logf("%d grants, %d runs, results %v", grants, runs, results)
			if runs == 0 || results[Taken] == 0 || results[Done] == 0 {
				t.Errorf("the schedules are too weak: results %v", results)
			}
		})
	}
}

// check runs a property with fixed seeds and a number of checks of its own;
// flags on the command line take precedence.
func check(t *testing.T, checks int, prop func(*rapid.T)) {
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		old := flag.Lookup(name).Value.String()
		if err := flag.Lookup(name).Value.Set(value); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = flag.Lookup(name).Value.Set(old) }()
	}
	rapid.Check(t, prop)
}

// Guards against keys that stay taken although nothing ran: claims whose
// requester gave up while the append was in doubt, and copies of a batch that
// take effect after the release.
func TestReleasedKeysAreFree(t *testing.T) {
	granted := 0
	check(t, 1500, func(rt *rapid.T) {
		s := newSchedule(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 40).Draw(rt, "attempts"), false)
		// A crash loses the releases that are queued, and a fold without the
		// beginning of the stream may leave a key in doubt.
		s.restarts, s.retainRecords, s.retainAge = nil, 0, 0
		for i := range s.attempts {
			s.attempts[i].end = releases + ending(i%2)
		}
		s.final = func(_ *fakeLog, owners []owner) {
			time.Sleep(time.Minute)
			for key := range scheduleKeys {
				name := fmt.Sprint("key-", key)
				for i, o := range owners {
					id := fmt.Sprint("probe-", key, i)
					// A writer knows the releases of others once it reads.
					g, err := o.Claim(context.Background(), name, id)
					for n := 0; n < 5 && err != nil; n++ { // the faults go on
						time.Sleep(time.Second)
						id += "x"
						g, err = o.Claim(context.Background(), name, id)
					}
					if err != nil {
						continue
					}
					if g.Result != Granted {
						rt.Errorf("writer %d: %s is %s, want granted", i, name, g.Result)
						continue
					}
					granted++
					_ = o.Release(context.Background(), name, id)
				}
			}
		}
		play(t, &s, makeWriter)
	})
	t.Logf("%d probes granted", granted)
	if granted == 0 {
		t.Error("no probe was granted")
	}
}

// naiveMap keeps the claims in the memory of each writer.
type naiveMap struct {
	mu   sync.Mutex
	keys map[string]*Stored
}

func (n *naiveMap) Claim(_ context.Context, key, _ string) (Grant, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, held := n.keys[key]
	switch {
	case s != nil:
		return Grant{Result: Done, Stored: *s}, nil
	case held:
		return Grant{Result: Taken}, nil
	}
	n.keys[key] = nil
	return Grant{Result: Granted, RunBy: time.Now().Add(2 * time.Second)}, nil
}

func (n *naiveMap) Release(_ context.Context, key, _ string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.keys, key)
	return nil
}

func (n *naiveMap) Finish(_ context.Context, key, _ string, s Stored) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.keys[key] = &s
	return nil
}

func (n *naiveMap) Close(context.Context) error { return nil }

// naiveLease keeps the claims on the log, but a claim is a lease that ends by
// time, so that a key does not stay taken when its holder is lost.
type naiveLease struct {
	*Writer
}

// Guards against a test that could not see a second run: on the same schedules
// the naive versions must show some, and the Writer none.
func TestNaiveVersionsRunTwice(t *testing.T) {
	naive := map[string]maker{
		"mapPerWriter": func(log.Log, *schedule) owner {
			return &naiveMap{keys: make(map[string]*Stored)}
		},
		"leaseByTime": func(log log.Log, s *schedule) owner {
			lease := *s
			lease.lifetime = 4 * time.Second
			return naiveLease{makeWriter(log, &lease).(*Writer)}
		},
		"writer": makeWriter,
	}
	got := make(map[string]int)
	for seed := range 100 {
		s := newSchedule(uint64(seed), 40, false)
		for name, m := range naive {
			if h := play(t, &s, m); len(h.duplicates) > 0 {
				got[name]++
			}
		}
	}
	t.Logf("schedules of 100 with a second run or holder: %v", got)
	if got["mapPerWriter"] == 0 || got["leaseByTime"] == 0 || got["writer"] != 0 {
		t.Errorf("got %v, want some for the naive versions and none for the writer", got)
	}
}
