package retry

import (
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/internal/trace"
	"github.com/kingcuppitch/kingcuppitch/request"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "rewrite the trace in testdata")

const (
	seed    = 20261204
	percent = 20
	depth   = 14
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes property tests draw the same cases in every run.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// traceLine is one call and the results of its attempts, as keys of results.
type traceLine struct {
	At         int64    `json:"at"` // ms
	Phase      string   `json:"phase"`
	Idempotent bool     `json:"idempotent"`
	Attempts   []string `json:"attempts"`
}

var results = map[string]Attempt{
	"ok":       {Outcome: request.Ran},
	"overload": {Outcome: request.NotRun, Reason: request.ReasonOverload},
	"leaving":  {Outcome: request.NotRun, Reason: request.ReasonLeaving},
	"connect":  {Outcome: request.NotRun, Reason: request.ReasonConnect},
	"lost":     {Outcome: request.Unknown, Reason: request.ReasonConnection},
	"timeout":  {Outcome: request.Unknown, Reason: request.ReasonDeadline},
}

func generate(rnd *rand.Rand) (lines []traceLine) {
	phases := []struct {
		name   string
		until  int64
		failed float64
		kinds  []string
	}{
		{"healthy", 8000, 0.01, []string{"lost", "timeout", "connect", "overload"}},
		{"oneOfEightDown", 18000, 1.0 / 8, []string{"lost", "timeout", "connect"}},
		{"leaving", 26000, 0.4, []string{"leaving"}},
		{"outage", 42000, 1, []string{"timeout", "overload", "connect"}},
		{"recovered", 48000, 0.01, []string{"lost", "timeout", "connect", "overload"}},
	}
	at := 0.0
	for _, p := range phases {
		for ; int64(at) < p.until; at += rnd.ExpFloat64() * 30 {
			l := traceLine{At: int64(at), Phase: p.name, Idempotent: rnd.IntN(4) > 0}
			for range 4 {
				if rnd.Float64() >= p.failed {
					l.Attempts = append(l.Attempts, "ok")
					break
				}
				l.Attempts = append(l.Attempts, p.kinds[rnd.IntN(len(p.kinds))])
			}
			lines = append(lines, l)
		}
	}
	return lines
}

func readTrace(t *testing.T) []traceLine {
	t.Helper()
	const path = "testdata/calls.jsonl"
	if *update {
		trace.Write(t, path, generate(rand.New(rand.NewPCG(seed, 1))))
	}
	return trace.Read[traceLine](t, path)
}

// policy is a retry policy to replay: Next or naive.
type policy func(call *request.Call, attempts []Attempt, b *Budget, now time.Time, rnd float64) Decision

// naive retries up to three times after any failure, without a budget.
func naive(_ *request.Call, attempts []Attempt, _ *Budget, now time.Time, _ float64) Decision {
	failed := len(attempts) == 0 || attempts[len(attempts)-1].Outcome != request.Ran
	return Decision{Retry: failed && len(attempts) < 4, NotBefore: now}
}

type counts struct {
	calls, attempts, served int
	// maybeRanTwice counts the calls that are not idempotent but may have run
	// twice.
	maybeRanTwice int
}

func replay(lines []traceLine, next policy) (phases []string, sums map[string]*counts) {
	var b Budget
	rnd := rand.New(rand.NewPCG(seed, 2))
	sums = make(map[string]*counts)
	for _, l := range lines {
		f := sums[l.Phase]
		if f == nil {
			f = &counts{}
			sums[l.Phase] = f
			phases = append(phases, l.Phase)
		}
		f.calls++
		now := epoch.Add(time.Duration(l.At) * time.Millisecond)
		call := &request.Call{Idempotent: l.Idempotent, Deadline: now.Add(time.Second)}
		b.Request(now, percent, 0)
		var attempts []Attempt
		ran := 0
		for {
			d := next(call, attempts, &b, now, rnd.Float64())
			if !d.Retry || len(attempts) == len(l.Attempts) {
				break
			}
			now = d.NotBefore
			a := results[l.Attempts[len(attempts)]]
			attempts = append(attempts, a)
			if a.Outcome != request.NotRun {
				ran++
			}
			if a.Outcome == request.Ran {
				f.served++
			}
		}
		f.attempts += len(attempts)
		if ran > 1 && !l.Idempotent {
			f.maybeRanTwice++
		}
	}
	return phases, sums
}

// TestReplay guards against retries that amplify an outage, against a budget that
// fails calls in a partial failure, and against a second run of a request that is
// not idempotent.
func TestReplay(t *testing.T) {
	lines := readTrace(t)
	phases, own := replay(lines, Next)
	_, other := replay(lines, naive)
	for _, p := range phases {
		f, n := own[p], other[p]
		amplification := float64(f.attempts) / float64(f.calls)
		success := float64(f.served) / float64(f.calls)
		t.Logf("%-14s calls=%d own: amplification=%.3f success=%.4f twice=%d naive: amplification=%.3f success=%.4f twice=%d", p, f.calls,
			amplification, success, f.maybeRanTwice, float64(n.attempts)/float64(n.calls), float64(n.served)/float64(n.calls), n.maybeRanTwice)
		if f.maybeRanTwice > 0 {
			t.Errorf("%s: %d requests may have run twice", p, f.maybeRanTwice)
		}
		switch p {
		case "oneOfEightDown":
			if n.maybeRanTwice == 0 {
				t.Error("the naive policy ran no request twice, so the trace does not exercise the policy")
			}
			// An eighth of the attempts fails, two thirds of these with an
			// unknown outcome, and a quarter of the calls must not be repeated
			// then.
			if want := 1 - 1.0/8*2/3/4 - 0.02; success < want {
				t.Errorf("%s: got success %.4f, want at least %.4f", p, success, want)
			}
		case "leaving":
			// A planned stop fails no request as long as one of the three chosen
			// instances stays.
			if want := 1 - 0.4*0.4*0.4 - 0.03; success < want {
				t.Errorf("%s: got success %.4f, want at least %.4f", p, success, want)
			}
		case "outage":
			if want := 1 + percent/100.0; amplification > want {
				t.Errorf("%s: got amplification %.3f, want at most %.3f", p, amplification, want)
			}
			if float64(n.attempts) < 2*float64(f.calls) {
				t.Errorf("%s: the naive policy made only %d attempts, so the trace does not exercise the budget", p, n.attempts)
			}
		case "recovered":
			if success < 0.99 {
				t.Errorf("%s: got success %.4f, want at least 0.99", p, success)
			}
		}
	}
}

// chain sends one call down a chain of entries to an upstream that fails the
// given share of its requests. It returns the number of attempts that reach the
// upstream.
func chain(budgets []Budget, level int, deadline, now time.Time, failing float64, next policy, rnd *rand.Rand) (reached int, ok bool) {
	if level == len(budgets) {
		return 1, rnd.Float64() >= failing
	}
	call := &request.Call{Idempotent: true, Deadline: deadline}
	b := &budgets[level]
	b.Request(now, percent, 0)
	var attempts []Attempt
	for {
		d := next(call, attempts, b, now, rnd.Float64())
		if !d.Retry {
			return reached, false
		}
		now = d.NotBefore
		n, ok := chain(budgets, level+1, AttemptDeadline(call, len(attempts), now), now, failing, next, rnd)
		reached += n
		if ok {
			return reached, true
		}
		attempts = append(attempts, Attempt{Outcome: request.Unknown, Reason: request.ReasonDeadline})
	}
}

// TestChain guards against a retry storm: in a chain of 14 entries, each of which
// retries the failures of the next, the retries multiply.
func TestChain(t *testing.T) {
	const perSecond = 250
	for _, failing := range []float64{0.1, 0.3, 0.5, 0.7, 0.9, 1} {
		rnd := rand.New(rand.NewPCG(seed, 3))
		budgets := make([]Budget, depth)
		now := epoch
		run := func(failing float64) (amplification, success float64) {
			reached, served := 0, 0
			for range perSecond {
				now = now.Add(time.Second / perSecond)
				n, ok := chain(budgets, 0, now.Add(10*time.Second), now, failing, Next, rnd)
				reached += n
				if ok {
					served++
				}
			}
			return float64(reached) / perSecond, float64(served) / perSecond
		}
		for range 20 {
			run(0) // all budgets are full when the failures begin
		}
		first, firstSuccess := run(failing)
		worst, success := 0.0, 0.0
		for range 10 {
			a, s := run(failing)
			worst, success = max(worst, a), success+s/10
		}
		t.Logf("failing %.1f: amplification %.2f in the first second, then at most %.2f; success %.3f, then %.3f", failing, first, worst, firstSuccess, success)
		// The whole chain must not load the upstream more than one entry that
		// always makes all its attempts. In an outage, the load must at most
		// double at the start and exceed the request rate by the share of one
		// budget later.
		wantFirst, want := float64(MaxAttempts), float64(MaxAttempts)
		if failing == 1 {
			wantFirst, want = 2, 1+percent/100.0
		}
		if first > wantFirst || worst > want {
			t.Errorf("failing %.1f: got amplification %.2f in the first second and then %.2f, want at most %.2f and %.2f", failing, first, worst, wantFirst, want)
		}
		if failing <= 0.5 && success < 0.98 {
			t.Errorf("failing %.1f: got success %.3f, want at least 0.98", failing, success)
		}
	}
	reached, _ := chain(make([]Budget, 6), 0, epoch.Add(10*time.Second), epoch, 1, naive, rand.New(rand.NewPCG(seed, 3)))
	t.Logf("naive: amplification %d at depth 6, so %.3g at depth %d", reached, math.Pow(4, depth), depth)
	if reached <= MaxAttempts {
		t.Error("the naive policy does not multiply retries, so the test does not exercise the budget")
	}
}

// TestNext guards against attempts beyond the deadline or MaxAttempts, and
// against the repetition of a request that may have run and is not idempotent.
func TestNext(t *testing.T) {
	kinds := []string{"overload", "leaving", "lost", "timeout", "lost", "connect", "lost", "ok"}
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		b.Request(epoch, 100, 0)
		call := &request.Call{
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Deadline:   epoch.Add(time.Duration(rapid.IntRange(-10, 100).Draw(t, "left")) * time.Millisecond),
		}
		var attempts []Attempt
		stop := !epoch.Before(call.Deadline)
		lost := 0
		for _, k := range rapid.SliceOfN(rapid.SampledFrom(kinds), 0, 4).Draw(t, "attempts") {
			a := results[k]
			attempts = append(attempts, a)
			if k == "lost" {
				lost++
			}
			stop = stop || a.Outcome == request.Ran || a.Outcome == request.Unknown && !call.Idempotent
		}
		stop = stop || len(attempts) >= MaxAttempts || lost > 1
		d := Next(call, attempts, &b, epoch, rapid.Float64Range(0, 0.999).Draw(t, "rnd"))
		if d.Retry && stop {
			t.Fatalf("got %+v after %+v of %+v, want no further attempt", d, attempts, call)
		}
		if d.Retry && (d.NotBefore.Before(epoch) || !d.NotBefore.Before(call.Deadline)) {
			t.Fatalf("got an attempt at %v, want one before %v", d.NotBefore, call.Deadline)
		}
		if waits := len(attempts) > 0 && attempts[len(attempts)-1].Reason == request.ReasonOverload; !d.Retry && !stop && !waits {
			t.Fatalf("got no attempt after %+v of %+v, want one", attempts, call)
		}
	})
}

// TestBudget guards against a budget that grants more tokens than it earned.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		now := epoch
		share := rapid.IntRange(-10, 110).Draw(t, "percent")
		requests, taken := 0, 0
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, 3), 300, 300).Draw(t, "ops") {
			switch op {
			case 0, 1:
				b.Request(now, share, 0)
				requests++
			case 2:
				if b.Take(now) {
					taken++
				}
			case 3:
				// Goroutines may read the clock in another order than they call
				// the budget, so time may go backwards.
				now = now.Add(time.Duration(rapid.IntRange(-5, 500).Draw(t, "ms")) * time.Millisecond)
			}
		}
		earned := float64(minTokens) + float64(requests)*float64(min(max(share, 0), 100))/100 + minRate*max(0, now.Sub(epoch).Seconds()+0.01*300)
		if float64(taken) > earned {
			t.Fatalf("took %d tokens, earned %.2f", taken, earned)
		}
	})
}

// TestAttemptDeadline guards against an unresponsive instance that uses all the
// time of a call, and against reserves that leave no time to the end of a chain.
func TestAttemptDeadline(t *testing.T) {
	now := epoch
	call := &request.Call{Idempotent: true, Deadline: now.Add(800 * time.Millisecond)}
	for attempt := range MaxAttempts {
		got := AttemptDeadline(call, attempt, now)
		if last := attempt == MaxAttempts-1; !got.After(now) || got.After(call.Deadline) || got.Equal(call.Deadline) != last {
			t.Errorf("attempt %d at %v: got deadline %v of %v", attempt, now, got, call.Deadline)
		}
		now = got
	}
	once := &request.Call{Deadline: epoch.Add(time.Second)}
	if got := AttemptDeadline(once, 0, epoch); !got.Equal(once.Deadline) {
		t.Errorf("not idempotent: got %v, want the deadline of the call", got)
	}
	deadline := epoch.Add(2 * time.Second)
	for range depth {
		deadline = AttemptDeadline(&request.Call{Idempotent: true, Deadline: deadline}, 0, epoch)
	}
	if got, want := deadline.Sub(epoch), 200*time.Millisecond; got < want {
		t.Errorf("got %v for the last of a chain of %d calls, want at least a tenth of 2 s", got, depth)
	}
}

func BenchmarkNext(b *testing.B) {
	var budget Budget
	call := &request.Call{Idempotent: true, Deadline: epoch.Add(time.Hour)}
	attempts := []Attempt{results["connect"]}
	for b.Loop() {
		budget.Request(epoch, percent, 0)
		Next(call, attempts, &budget, epoch, 0.5)
	}
}

// TestSharedSlack guards against bursts of many entries that add up to more
// retries than operators allow for all of them: in a scaled-down model of a
// deployment of 295 daemons, one service received 434 repeated requests in 10 s,
// where 426 are allowed. After a time without failures, in which the budgets fill
// up, a third of the attempts fail.
func TestSharedSlack(t *testing.T) {
	const (
		ratio       = 0.2
		share       = 9 // percent; see Bounds.OwnRetryRatio
		window      = 10 * time.Second
		healthyTime = 20 * time.Second
		length      = 60 * time.Second
	)
	for _, c := range []struct {
		entries    int
		slack, rps float64
	}{{12, 60, 8}, {23, 30, 2}, {23, 30, 10}, {66, 172, 10}, {295, 630, 0.2}, {295, 630, 10}} {
		rnd := rand.New(rand.NewPCG(uint64(c.entries), 4))
		budgets := make([]Budget, c.entries)
		var requests, retries []time.Time
		for at := time.Duration(0); at < length; at += time.Duration(rnd.ExpFloat64() / (c.rps * float64(c.entries)) * float64(time.Second)) {
			now := epoch.Add(at)
			b := &budgets[rnd.IntN(c.entries)]
			requests = append(requests, now)
			b.Request(now, share, Share(c.slack, c.entries))
			for range 2 {
				if at < healthyTime || rnd.Float64() > 1.0/3 || !b.Take(now) {
					break
				}
				retries = append(retries, now)
			}
		}
		most := 0.0
		for _, from := range retries {
			in := func(list []time.Time) (n float64) {
				for _, at := range list {
					if !at.Before(from) && at.Before(from.Add(window)) {
						n++
					}
				}
				return n
			}
			if len(retries) > 200 && rnd.IntN(20) > 0 {
				continue
			}
			most = max(most, in(retries)-ratio*in(requests))
		}
		if most > c.slack {
			t.Errorf("%d entries, %v requests a second each: %.0f retries beyond the share in %v, want at most %v", c.entries, c.rps, most, window, c.slack)
		}
	}
}

// TestLimitedInstanceCostsNoBudget guards against retries that are used up by the refusals
// of instances that are full or name a rate limit, and against a call that may not be
// repeated and is not tried elsewhere after such a refusal.
func TestLimitedInstanceCostsNoBudget(t *testing.T) {
	for _, reason := range []request.Reason{request.ReasonOverload, request.ReasonRateLimit} {
		var b Budget
		b.Request(epoch, percent, 0)
		for i := range 200 {
			call := &request.Call{Attempts: 2, Deadline: epoch.Add(time.Second)}
			if d := Next(call, []Attempt{{Outcome: request.NotRun, Reason: reason, Instance: "a"}}, &b, epoch, 0.5); !d.Retry {
				t.Fatalf("%s: call %d is not tried elsewhere", reason, i)
			}
		}
		if !b.Take(epoch) {
			t.Errorf("%s: the budget is used up", reason)
		}
	}
}
