package admission

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// TestGateRateLimit guards against an instance that gets more requests per second than
// the limit that it names, and against one that gets too few.
func TestGateRateLimit(t *testing.T) {
	for _, c := range []struct {
		limit float64
		// coldPerSecond is the rate of a cold start that lasts throughout; zero means none.
		coldPerSecond float64
		want          float64 // requests per second
	}{
		{limit: 0.2, want: 0.2},
		{limit: 0.75, want: 0.75},
		{limit: 2, want: 2},
		{limit: 14.7, want: 14.7},
		{limit: 43.4, want: 43.4},
		{limit: 150, want: 150},
		{limit: 30, coldPerSecond: 10, want: 9},
		{limit: 5, coldPerSecond: 40, want: 5},
	} {
		t.Run(fmt.Sprintf("%v with cold start %v", c.limit, c.coldPerSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const span = 20 * time.Second
				var g Gate
				begin := time.Now()
				g.SetBounds(Bounds{Slots: 12, ColdPerSecond: c.coldPerSecond, ColdUntil: begin.Add(span)})
				g.SetRateLimit(begin, c.limit)
				starts := flood(t, &g, span, 3*time.Millisecond, 50*time.Millisecond)
				for _, window := range []time.Duration{time.Second, 4 * time.Second} {
					most := c.limit*window.Seconds() + max(1, c.limit*limitWindow.Seconds())
					for i := range starts {
						n := 0
						for j := i; j < len(starts) && starts[j].Sub(starts[i]) < window; j++ {
							n++
						}
						if float64(n) > most {
							t.Fatalf("got %d requests within %v, want at most %.1f", n, window, most)
						}
					}
				}
				if got, want := float64(len(starts)), 0.9*c.want*span.Seconds(); got < want {
					t.Errorf("got %v requests, want at least %v", got, want)
				}
			})
		})
	}
}

// observe sends one request at a gate and handles the limit in its answer.
func observe(t *testing.T, g *Gate, perSecond float64) {
	t.Helper()
	tk := acquire(t, g)
	g.ObserveRateLimit(time.Now(), tk, perSecond)
	g.Done(time.Now(), tk, Result{Took: time.Millisecond})
}

func acquire(t *testing.T, g *Gate) Ticket {
	t.Helper()
	tk, err := g.Acquire(t.Context(), Order{Class: "rank0"}, ranks, time.Now().Add(10*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	return tk
}

// TestGateRateLimitOrder guards against a limit that ends, or rises, by an answer from
// before the instance named it, and against one that a restart does not end.
func TestGateRateLimitOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		g.SetBounds(Bounds{Slots: 12})
		check := func(what string, want float64) {
			t.Helper()
			if got := g.RateLimit().PerSecond; got != want {
				t.Errorf("%s: got a limit of %v, want %v", what, got, want)
			}
			time.Sleep(time.Second)
		}
		early, earlier := acquire(t, &g), acquire(t, &g)
		time.Sleep(time.Millisecond)
		observe(t, &g, 50)
		check("named", 50)
		g.ObserveRateLimit(time.Now(), early, 0)
		check("late answer without a limit", 50)
		g.ObserveRateLimit(time.Now(), early, 80)
		check("late answer with a higher limit", 50)
		g.ObserveRateLimit(time.Now(), early, 30)
		check("lower limit", 30)
		observe(t, &g, 60)
		check("raised", 60)
		observe(t, &g, 0)
		check("ended", 0)
		observe(t, &g, 40)
		check("named again", 40)
		g.Restarted()
		check("restarted", 0)
		g.ObserveRateLimit(time.Now(), earlier, 10)
		check("answer of an earlier incarnation", 0)
	})
}

// TestGateRateLimitLowered guards against requests that wait for a slot which a lowered
// limit no longer gives in time, and against refusals with a false reason.
func TestGateRateLimitLowered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		g.SetBounds(Bounds{Slots: 4})
		running := make([]Ticket, 4)
		for i := range running {
			running[i] = acquire(t, &g)
		}
		errs := make(chan error)
		for range 4 {
			go func() {
				_, err := g.Acquire(t.Context(), Order{Class: "rank0"}, ranks, time.Now().Add(time.Second))
				errs <- err
			}()
		}
		synctest.Wait()
		began := time.Now()
		g.ObserveRateLimit(began, running[0], 0.5)
		for range 4 {
			var ref *request.Refusal
			if err := <-errs; !errors.As(err, &ref) || ref.Outcome != request.NotRun || ref.RetryAt.Before(began.Add(time.Second)) {
				t.Errorf("got %v, want a refusal with a retry time more than a second ahead", err)
			}
		}
		if waited := time.Since(began); waited > 0 {
			t.Errorf("got the refusals after %v, want them at once", waited)
		}
		for _, tk := range running {
			g.Done(time.Now(), tk, Result{Took: time.Second})
		}
		_, err := g.Acquire(t.Context(), Order{Class: "rank0"}, ranks, time.Now().Add(time.Second))
		var ref *request.Refusal
		if !errors.As(err, &ref) || ref.Reason != request.ReasonRateLimit {
			t.Errorf("got %v, want a refusal for %s", err, request.ReasonRateLimit)
		}
	})
}

// TestGateGrantsLoneRequest guards against a request that waits for its turn by the rate
// and is not granted it, because no other request arrives or ends meanwhile.
func TestGateGrantsLoneRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		bounds func(now time.Time) (b Bounds, limit float64)
		want   time.Duration
	}{
		{"rate limit", func(time.Time) (Bounds, float64) { return Bounds{Slots: 12}, 2 }, 500 * time.Millisecond},
		{"cold start", func(now time.Time) (Bounds, float64) {
			return Bounds{Slots: 12, ColdPerSecond: 1, ColdUntil: now.Add(time.Minute)}, 0
		}, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var g Gate
				began := time.Now()
				b, limit := c.bounds(began)
				g.SetBounds(b)
				g.SetRateLimit(began, limit)
				g.Done(began, acquire(t, &g), Result{Took: time.Millisecond})
				acquire(t, &g)
				if got := time.Since(began); got != c.want {
					t.Errorf("got the second grant after %v, want %v", got, c.want)
				}
			})
		})
	}
}
