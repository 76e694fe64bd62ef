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
	at           time.Duration
	key          int
	writer       int
	claimTimeout time.Duration
	pause        time.Duration // between the grant and the run
	end          ending
}

// ending is the way an attempt ends after its grant.
type ending int

const (
	finishes   ending = iota // runs and stores the answer
	entryLost                // runs, then the entry crashes
	releases                 // does not run; no byte reached an upstream
	grantLost                // does not run; the entry did not receive the grant
	numEndings = iota
)

// schedule is one random sequence of attempts and faults.
type schedule struct {
	attempts []attempt
	links    []linkPlan
	restarts []restart
	outages  []interval
	// lifetime is that of the keys; retainRecords and retainAge are those of the
	// log, with zero for no limit.
	lifetime      time.Duration
	retainRecords int
	retainAge     time.Duration
	// beforeClose runs after the attempts, before the owners are closed.
	beforeClose func(log *fakeLog, owners []owner)
}

type linkPlan struct {
	delay, lag time.Duration
	faults     []fault
	pauses     []interval
}

type restart struct {
	at     time.Duration
	writer int
	crash  bool
}

type interval struct {
	at, length time.Duration
	hangs      bool
}

const (
	scheduleKeys   = 3
	scheduleLength = 40 * time.Second
)

func randomDuration(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

func randomIntervals(rng *rand.Rand, most time.Duration) []interval {
	out := make([]interval, rng.IntN(3))
	for i := range out {
		out[i] = interval{randomDuration(rng, 0, scheduleLength), randomDuration(rng, 0, most), rng.IntN(2) == 0}
	}
	return out
}

// newSchedule returns the schedule of a seed. Rapid draws only the seed and the
// number of attempts: its generators favour small values, with which most claims
// would fail at once.
func newSchedule(seed uint64, attempts int, short bool) schedule {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := schedule{lifetime: time.Hour, outages: randomIntervals(rng, 4*time.Second)}
	if short {
		s.lifetime = randomDuration(rng, 8*time.Second, 16*time.Second)
	}
	switch rng.IntN(3) {
	case 1:
		s.retainRecords = 8 + rng.IntN(16)
	case 2:
		s.retainAge = randomDuration(rng, 3*time.Second, 10*time.Second)
	}
	for range 2 + rng.IntN(2) {
		l := linkPlan{
			delay:  randomDuration(rng, time.Microsecond, 30*time.Millisecond),
			lag:    randomDuration(rng, 0, 5*time.Second),
			pauses: randomIntervals(rng, 8*time.Second),
		}
		for range rng.IntN(8) {
			l.faults = append(l.faults, none, none, fault(rng.IntN(numFaults)))
		}
		s.links = append(s.links, l)
	}
	for range rng.IntN(5) {
		s.restarts = append(s.restarts, restart{randomDuration(rng, 0, scheduleLength), rng.IntN(len(s.links)), rng.IntN(2) == 0})
	}
	for range attempts {
		s.attempts = append(s.attempts, attempt{
			at: randomDuration(rng, 0, scheduleLength), key: rng.IntN(scheduleKeys), writer: rng.IntN(len(s.links)),
			claimTimeout: randomDuration(rng, 0, 3*time.Second), pause: randomDuration(rng, 0, time.Second),
			end: ending(rng.IntN(numEndings)),
		})
		if rng.IntN(4) == 0 { // the entry is paused
			s.attempts[len(s.attempts)-1].pause = randomDuration(rng, 0, 20*time.Second)
		}
	}
	return s
}

// owner is the implementation under test: the Writer, or a naive version.
type owner interface {
	Owner
	Close(ctx context.Context) error
}

type newOwnerFunc func(log log.Log, s *schedule) owner

func newWriterOwner(log log.Log, s *schedule) owner {
	noJitter := func(o *options) { o.jitter = 0 } // a seed must give the same history in every run
	opts := []Option{WithLifetime(s.lifetime), WithRunWithin(2 * time.Second), noJitter}
	if s.retainRecords > 0 {
		opts = append(opts, WithRetention(time.Hour, int64(s.retainRecords)))
	}
	if s.retainAge > 0 {
		opts = append(opts, WithRetention(s.retainAge, 1<<20))
	}
	return NewWriter(log, 0, opts...)
}

// history is the result of a schedule.
type history struct {
	mu         sync.Mutex
	runs       [scheduleKeys][]time.Time
	holder     [scheduleKeys]string
	heldAt     [scheduleKeys]time.Time
	grants     int
	results    map[Result]int
	duplicates []string
}

// runSchedule runs a schedule in virtual time.
func runSchedule(t *testing.T, s *schedule, newOwner newOwnerFunc) *history {
	h := &history{results: make(map[Result]int)}
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		log := &fakeLog{retainRecords: s.retainRecords, retainAge: s.retainAge}
		spans := func(gaps []interval) (out []span) {
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
				h.runAttempt(o, &a, fmt.Sprint("attempt-", i), s.lifetime)
			})
		}
		wg.Wait()
		if s.beforeClose != nil {
			s.beforeClose(log, owners)
		}
		for _, o := range owners {
			stop(o, time.Minute)
		}
	})
	return h
}

// runAttempt runs one attempt, as an entry does.
func (h *history) runAttempt(o owner, a *attempt, id string, lifetime time.Duration) {
	key := fmt.Sprint("key-", a.key)
	ctx, cancel := context.WithTimeout(context.Background(), a.claimTimeout)
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
	if a.end == grantLost {
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
	// A key may run again only after its lifetime, which begins at most the time
	// to start a run, 2 s, before the run.
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
// writers race, restart or pause, and the log loses answers, is unavailable or
// expires records.
func TestAtMostOneRun(t *testing.T) {
	for _, short := range []bool{false, true} {
		t.Run(fmt.Sprintf("shortLifetime=%v", short), func(t *testing.T) {
			runs, grants := 0, 0
			results := make(map[Result]int)
			check(t, 1500, func(rt *rapid.T) {
				s := newSchedule(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 40).Draw(rt, "attempts"), short)
				h := runSchedule(t, &s, newWriterOwner)
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
				t.Errorf("the schedules do not cover runs, taken and done: results %v", results)
			}
		})
	}
}

// check runs a property with a fixed seed and the given number of checks. Flags
// on the command line take precedence.
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

// Guards against keys that stay taken although nothing ran. Causes are claims
// whose requester gave up while the outcome of the append was unknown, and copies
// of a batch that take effect after the release.
func TestReleasedKeysAreFree(t *testing.T) {
	granted := 0
	check(t, 1500, func(rt *rapid.T) {
		s := newSchedule(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 40).Draw(rt, "attempts"), false)
		// Exclude crashes, which lose the queued releases, and expired records,
		// after which a fold may leave a key in doubt.
		s.restarts, s.retainRecords, s.retainAge = nil, 0, 0
		for i := range s.attempts {
			s.attempts[i].end = releases + ending(i%2)
		}
		s.beforeClose = func(_ *fakeLog, owners []owner) {
			time.Sleep(time.Minute)
			for key := range scheduleKeys {
				name := fmt.Sprint("key-", key)
				for i, o := range owners {
					id := fmt.Sprint("probe-", key, i)
					// A writer learns of the releases of others when it reads.
					g, err := o.Claim(context.Background(), name, id)
					for n := 0; n < 5 && err != nil; n++ { // faults still occur
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
		runSchedule(t, &s, newWriterOwner)
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

// naiveLease keeps the claims on the log, but each claim is a lease that expires
// after a short time, so that a key does not stay taken when its holder crashes.
type naiveLease struct {
	*Writer
}

// Guards against schedules that cannot reveal a second run: on the same
// schedules the naive versions must have some, and the Writer none.
func TestNaiveVersionsRunTwice(t *testing.T) {
	naive := map[string]newOwnerFunc{
		"mapPerWriter": func(log.Log, *schedule) owner {
			return &naiveMap{keys: make(map[string]*Stored)}
		},
		"leaseByTime": func(log log.Log, s *schedule) owner {
			lease := *s
			lease.lifetime = 4 * time.Second
			return naiveLease{newWriterOwner(log, &lease).(*Writer)}
		},
		"writer": newWriterOwner,
	}
	got := make(map[string]int)
	for seed := range 100 {
		s := newSchedule(uint64(seed), 40, false)
		for name, m := range naive {
			if h := runSchedule(t, &s, m); len(h.duplicates) > 0 {
				got[name]++
			}
		}
	}
	t.Logf("schedules of 100 with a second run or holder: %v", got)
	if got["mapPerWriter"] == 0 || got["leaseByTime"] == 0 || got["writer"] != 0 {
		t.Errorf("got %v, want some for the naive versions and none for the writer", got)
	}
}
