package admission

import (
	"context"
	"errors"
	"flag"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes property tests draw the same cases in every run.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// TestColdStartOfAnyWorkload guards against overloading a cold upstream under
// workloads other than the recorded one.
func TestColdStartOfAnyWorkload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := map[string]float64{
			"stock":   rapid.Float64Range(50, 1000).Draw(t, "stock"),
			"archive": rapid.Float64Range(0, 100).Draw(t, "archive"),
			"deposit": rapid.Float64Range(0, 100).Draw(t, "deposit"),
		}
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		lines := generate(rnd, 12*time.Second, rate, map[int64]string{0: "start", 4000: "restart", 9000: "coldAgain"})
		for _, p := range replay(lines, newLimiter(), &upstream{}, coldEvents) {
			want := 0
			if p.event == "coldAgain" {
				want = 2 * slots
			}
			if p.failed > want {
				t.Fatalf("%s: %d requests overloaded the upstream, want at most %d", p.event, p.failed, want)
			}
		}
	})
}

// TestInvariants guards against grants above the limit, a queue longer than the
// limit, grants after the deadline, lost or duplicate verdicts, and the refusal
// of a higher class in favour of a lower one.
func TestInvariants(t *testing.T) {
	shed := []string{"browse", "book"}
	classes := []string{"browse", "book", "pay"}
	ops := []string{"limits", "admit", "admit", "admit", "admit", "admit", "admit", "done", "done", "done", "cancel", "restart"}
	rapid.Check(t, func(t *rapid.T) {
		var l Limiter
		now := epoch
		limits := Limits{}
		var running, queued []Decision
		deadline := make(map[Ticket]time.Time)
		class := make(map[Ticket]string)
		collect := func() {
			var left []Decision
			for _, d := range queued {
				select {
				case g := <-d.Ready:
					if g.Granted && !now.Before(deadline[d.Ticket]) {
						t.Fatal("granted after the deadline")
					}
					if g.Granted == (g.Refusal != nil) {
						t.Fatalf("got %+v, want either a grant or a refusal", g)
					}
					if g.Granted {
						running = append(running, d)
					}
				default:
					left = append(left, d)
				}
			}
			queued = left
		}
		remove := func(list *[]Decision, name string) (d Decision) {
			i := rapid.IntRange(0, len(*list)-1).Draw(t, name)
			d = (*list)[i]
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			return d
		}
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			before, _, _, _ := l.Load()
			grants := len(running)
			op := rapid.SampledFrom(ops).Draw(t, "op")
			switch {
			case op == "admit" || before == 0 && len(queued) == 0 && op != "limits":
				c := rapid.SampledFrom(classes).Draw(t, "class")
				until := now.Add(time.Duration(rapid.SampledFrom([]int{-5, 1, 20, 200, 2000, 3000, 4000}).Draw(t, "within")) * time.Millisecond)
				d := l.Admit(now, c, shed, until)
				switch d.Verdict {
				case Granted:
					if !now.Before(until) {
						t.Fatal("granted after the deadline")
					}
					running = append(running, d)
				case Queued:
					queued = append(queued, d)
					deadline[d.Ticket], class[d.Ticket] = until, c
				default:
					collect()
					checkRefusal(t, d.Refusal, now)
					// A request with little time left may be refused because the
					// wait is too long.
					if d.Refusal.Reason == request.ReasonOverload && until.Sub(now) > time.Second {
						checkOrder(t, c, queued, class)
					}
				}
			case op == "done" && len(running) > 0:
				d := remove(&running, "ticket")
				grants--
				r := Result{Took: time.Duration(rapid.IntRange(1, 100).Draw(t, "took")) * time.Millisecond}
				r.Failed = rapid.IntRange(0, 3).Draw(t, "failed") == 0
				l.Done(now, d.Ticket, r)
				l.Done(now, d.Ticket, r) // a second call has no effect
			case op == "cancel" && len(queued) > 0:
				l.Cancel(now, remove(&queued, "ticket").Ticket)
			case op == "limits":
				limits.Slots = rapid.SampledFrom([]int{1, 2, 3, 4, 5, 8}).Draw(t, "slots")
				limits.ColdSlots = rapid.IntRange(1, limits.Slots).Draw(t, "coldSlots")
				l.SetLimits(limits)
			case op == "restart":
				l.Restarted(now)
				running, grants = nil, 0
			}
			collect()
			inFlight, waiting, limit, _ := l.Load()
			if limits.Slots > 0 && (limit < limits.ColdSlots || limit > limits.Slots) {
				t.Fatalf("limit %d is outside of %+v", limit, limits)
			}
			if inFlight != len(running) || waiting != len(queued) {
				t.Fatalf("got %d in flight and %d queued, want %d and %d", inFlight, waiting, len(running), len(queued))
			}
			if waiting > limit {
				t.Fatalf("%d queued with a limit of %d", waiting, limit)
			}
			if len(running) > grants && inFlight > limit {
				t.Fatalf("granted with %d in flight and a limit of %d", inFlight, limit)
			}
			if waiting > 0 && inFlight < limit && op != "limits" {
				t.Fatalf("%d wait while %d of %d slots are taken", waiting, inFlight, limit)
			}
		}
	})
}

func checkRefusal(t *rapid.T, ref *request.Refusal, now time.Time) {
	if ref == nil || ref.Outcome != request.NotRun {
		t.Fatalf("got refusal %+v, want the outcome notRun", ref)
	}
	if ref.Reason == request.ReasonOverload && !ref.RetryAt.After(now) {
		t.Fatalf("got retry at %v, want after %v", ref.RetryAt, now)
	}
}

func checkOrder(t *rapid.T, c string, queued []Decision, class map[Ticket]string) {
	order := map[string]int{"browse": 1, "book": 2, "pay": 3}
	lower := 0
	for _, d := range queued {
		if order[class[d.Ticket]] < order[c] {
			lower++
		}
	}
	// One request of a lower class is protected for a fair grant.
	if lower > 1 {
		t.Fatalf("%s was refused while %d requests of lower classes wait", c, lower)
	}
}

// TestBaselineIsNotPoisoned guards against a baseline that follows a slow period,
// after which a cold start would go undetected.
func TestBaselineIsNotPoisoned(t *testing.T) {
	var l Limiter
	l.SetLimits(Limits{8, 2})
	now := epoch
	answers := func(n int, took time.Duration) {
		for range n {
			d := l.Admit(now, "stock", nil, now.Add(time.Minute))
			now = now.Add(10 * time.Millisecond)
			l.Done(now, d.Ticket, Result{Took: took})
		}
	}
	wantLimit := func(when string, want int) {
		t.Helper()
		if _, _, got, _ := l.Load(); got != want {
			t.Fatalf("%s: got limit %d, want %d", when, got, want)
		}
	}
	answers(2000, 20*time.Millisecond)
	wantLimit("after 20 s", 8)
	answers(1, 10*time.Second)
	wantLimit("after one slow answer", 8)
	answers(1000, 70*time.Millisecond)
	wantLimit("after a slow period below 4 times the baseline", 8)
	answers(50, 20*time.Millisecond)
	answers(windowAnswers, 170*time.Millisecond)
	wantLimit("after answers above 8 times the baseline", 2)
}

// TestExpired guards against a reset of the limit because of callers with very
// short deadlines, and against an unresponsive upstream that goes undetected.
func TestExpired(t *testing.T) {
	var l Limiter
	l.SetLimits(Limits{8, 2})
	now := epoch
	answers := func(n int, r Result) {
		for range n {
			d := l.Admit(now, "stock", nil, now.Add(time.Minute))
			now = now.Add(10 * time.Millisecond)
			l.Done(now, d.Ticket, r)
		}
	}
	answers(2000, Result{Took: 20 * time.Millisecond})
	answers(200, Result{Took: 10 * time.Millisecond, Expired: true})
	if _, _, got, _ := l.Load(); got != 8 {
		t.Errorf("after short deadlines: got limit %d, want 8", got)
	}
	answers(windowAnswers, Result{Took: 500 * time.Millisecond, Expired: true})
	if _, _, got, _ := l.Load(); got != 2 {
		t.Errorf("with an unresponsive upstream: got limit %d, want 2", got)
	}
}

// TestNoStarvation guards against a low class that is never served while a
// higher class saturates the instance.
func TestNoStarvation(t *testing.T) {
	var l Limiter
	l.SetLimits(Limits{4, 4})
	shed := []string{"browse"}
	now := epoch
	served := map[string]int{}
	var running, queued []Decision
	class := map[Ticket]string{}
	for range 4000 {
		now = now.Add(time.Millisecond)
		for _, c := range []string{"pay", "browse", "pay"} {
			d := l.Admit(now, c, shed, now.Add(time.Second))
			class[d.Ticket] = c
			switch d.Verdict {
			case Granted:
				running = append(running, d)
			case Queued:
				queued = append(queued, d)
			}
		}
		d := running[0]
		running = running[1:]
		served[class[d.Ticket]]++
		l.Done(now, d.Ticket, Result{Took: 4 * time.Millisecond})
		left := queued[:0]
		for _, d := range queued {
			select {
			case g := <-d.Ready:
				if g.Granted {
					running = append(running, d)
				}
			default:
				left = append(left, d)
			}
		}
		queued = left
	}
	t.Logf("served %v", served)
	if served["browse"] < 40 || served["browse"] > 400 {
		t.Errorf("served %d of the lowest class, want between 1 and 10 percent of 4000", served["browse"])
	}
}

// TestAcquire guards against slots that leak or are granted twice when deadlines,
// cancellations and grants race.
func TestAcquire(t *testing.T) {
	var l Limiter
	if _, err := l.Acquire(t.Context(), Order{Class: "pay"}, nil, time.Now().Add(time.Second)); err == nil {
		t.Fatal("the zero value granted a request")
	}
	l.SetLimits(Limits{4, 4})
	var inFlight atomic.Int32
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for k := range 200 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i*k%7)*100*time.Microsecond)
				ticket, err := l.Acquire(ctx, Order{Class: "pay"}, nil, time.Now().Add(time.Duration(k%5)*200*time.Microsecond))
				cancel()
				var ref *request.Refusal
				if err != nil {
					if !errors.As(err, &ref) && !errors.Is(err, context.DeadlineExceeded) {
						t.Errorf("got error %v", err)
					}
					continue
				}
				if n := inFlight.Add(1); n > 4 {
					t.Errorf("%d requests in flight, want at most 4", n)
				}
				time.Sleep(50 * time.Microsecond)
				inFlight.Add(-1)
				l.Done(time.Now(), ticket, Result{Took: 50 * time.Microsecond})
			}
		})
	}
	wg.Wait()
	if n, queued, _, _ := l.Load(); n != 0 || queued != 0 {
		t.Errorf("got %d in flight and %d queued at the end, want none", n, queued)
	}
}

func BenchmarkAdmitDone(b *testing.B) {
	var l Limiter
	l.SetLimits(Limits{20, 4})
	now := epoch
	shed := []string{"browse", "book"}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		d := l.Admit(now, "pay", shed, now.Add(time.Second))
		l.Done(now, d.Ticket, Result{Took: 20 * time.Millisecond, Route: "pay"})
	}
}

func BenchmarkAdmitSaturated(b *testing.B) {
	var l Limiter
	l.SetLimits(Limits{20, 20})
	now := epoch
	shed := []string{"browse", "book"}
	for range 40 {
		l.Admit(now, "pay", shed, now.Add(time.Hour))
	}
	for b.Loop() {
		l.Admit(now, "book", shed, now.Add(time.Second))
	}
}
