package admission

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

var ranks = []string{"rank2", "rank1"}

// TestGateSlots guards against more concurrent requests than slots, and against a
// slot leak.
func TestGateSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		if _, err := g.Acquire(t.Context(), Order{Class: "rank0"}, ranks, time.Now().Add(time.Second)); err == nil {
			t.Fatal("granted without bounds")
		}
		g.SetBounds(Bounds{Slots: 3})
		var mu sync.Mutex
		running, most, served := 0, 0, 0
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				tk, err := g.Acquire(t.Context(), Order{Class: "rank0"}, ranks, time.Now().Add(time.Second))
				if err != nil {
					return
				}
				mu.Lock()
				running++
				most = max(most, running)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				running--
				served++
				mu.Unlock()
				g.Done(time.Now(), tk, Result{Took: 20 * time.Millisecond})
			})
		}
		wg.Wait()
		if most != 3 || served != 8 {
			t.Errorf("got %d at once and %d served, want 3 and 8", most, served)
		}
		if n, queued, _, _ := g.Load(); n != 0 || queued != 0 {
			t.Errorf("got %d in flight and %d queued at the end", n, queued)
		}
	})
}

// flood sends a request at each interval until span has passed, each of which may wait
// 100 ms and takes work. It returns when the granted ones started.
func flood(t *testing.T, g *Gate, span, interval, work time.Duration) (starts []time.Time) {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for begin := time.Now(); time.Since(begin) < span; time.Sleep(interval) {
		wg.Go(func() {
			tk, err := g.Acquire(t.Context(), Order{Class: "rank0"}, ranks, time.Now().Add(100*time.Millisecond))
			if err != nil {
				return
			}
			mu.Lock()
			starts = append(starts, time.Now())
			mu.Unlock()
			time.Sleep(work)
			g.Done(time.Now(), tk, Result{Took: work})
		})
	}
	wg.Wait()
	return starts
}

// TestGateCold guards against a cold instance that gets more requests in any
// second than it can handle, and against one that gets too few.
func TestGateCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, span = 20, 5 * time.Second
		var g Gate
		begin := time.Now()
		g.SetBounds(Bounds{Slots: 50, ColdUntil: begin.Add(span), ColdPerSecond: perSecond})
		starts := flood(t, &g, span, 2*time.Millisecond, 10*time.Millisecond)
		for i, s := range starts {
			if j := i + perSecond; j < len(starts) && starts[j].Sub(s) < time.Second && starts[j].Before(begin.Add(span)) {
				t.Fatalf("%d requests within %v", perSecond+1, starts[j].Sub(s))
			}
		}
		if want := int(0.8 * perSecond * span.Seconds()); len(starts) < want {
			t.Errorf("got %d requests, want at least %d", len(starts), want)
		}
	})
}

// TestGateOverload sends more requests of three ranks than the slots can serve
// within the objective. The highest ranks are served nearly in full, the lowest
// gets the remaining slots, and requests that cannot be served in time are
// refused early.
func TestGateOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			slots   = 12
			service = 50 * time.Millisecond
			maxWait = 100 * time.Millisecond
			span    = 5 * time.Second
		)
		// The slots serve 240 requests per second; 100 of each rank arrive.
		var g Gate
		g.SetBounds(Bounds{Slots: slots})
		asked, served := map[string]int{}, map[string]int{}
		var refusalTime time.Duration
		var refused int
		var mu sync.Mutex
		var wg sync.WaitGroup
		begin := time.Now()
		for i := 0; time.Since(begin) < span; i++ {
			class := fmt.Sprintf("rank%d", i%3)
			asked[class]++
			wg.Go(func() {
				now := time.Now()
				tk, err := g.Acquire(t.Context(), Order{Class: class}, ranks, now.Add(maxWait))
				var ref *request.Refusal
				if errors.As(err, &ref) {
					mu.Lock()
					refused++
					refusalTime += time.Since(now)
					mu.Unlock()
					if ref.Outcome != request.NotRun || !ref.RetryAt.After(now) {
						t.Errorf("got refusal %+v, want outcome notRun and a retry time", ref)
					}
					return
				}
				time.Sleep(service)
				g.Done(time.Now(), tk, Result{Took: service})
				mu.Lock()
				served[class]++
				mu.Unlock()
			})
			time.Sleep(10 * time.Millisecond / 3)
		}
		wg.Wait()
		share := func(c string) float64 { return float64(served[c]) / float64(asked[c]) }
		t.Logf("served: rank0 %.2f, rank1 %.2f, rank2 %.2f; mean time to refusal %v", share("rank0"), share("rank1"), share("rank2"), refusalTime/time.Duration(max(1, refused)))
		if share("rank0") < 0.98 || share("rank1") < 0.95 {
			t.Errorf("got %.2f of rank0 and %.2f of rank1, want nearly all", share("rank0"), share("rank1"))
		}
		if total := served["rank0"] + served["rank1"] + served["rank2"]; float64(total) < 0.95*slots*span.Seconds()/service.Seconds() {
			t.Errorf("served %d in total, so slots stayed idle", total)
		}
		if mean := refusalTime / time.Duration(max(1, refused)); mean > maxWait/2 {
			t.Errorf("mean time to refusal %v, want at most half of the maximum wait", mean)
		}
	})
}

// TestGateLeastShare reproduces the load of interview booking when a called
// service is short of capacity: the calls of a higher rank alone exceed the
// slots. The lowest rank still gets its least share, and the slots stay full.
func TestGateLeastShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			slots   = 18
			service = 80 * time.Millisecond
			maxWait = 250 * time.Millisecond
			span    = 10 * time.Second
			rate    = slots * int(time.Second) / int(service)
		)
		var g Gate
		g.SetBounds(Bounds{Slots: slots})
		served := map[string]int{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		begin := time.Now()
		for i := 0; time.Since(begin) < span; i++ {
			// Twice as many requests as the slots can serve; one in ten is of the
			// lowest rank.
			class := "rank0"
			if i%10 == 0 {
				class = "rank2"
			}
			wg.Go(func() {
				tk, err := g.Acquire(t.Context(), Order{Class: class}, ranks, time.Now().Add(maxWait))
				if err != nil {
					return
				}
				time.Sleep(service)
				g.Done(time.Now(), tk, Result{Took: service})
				mu.Lock()
				served[class]++
				mu.Unlock()
			})
			time.Sleep(time.Second / time.Duration(2*rate))
		}
		wg.Wait()
		total := served["rank0"] + served["rank2"]
		t.Logf("served: rank0 %d, rank2 %d", served["rank0"], served["rank2"])
		if least := int(0.75 * minLowestShare * float64(total)); served["rank2"] < least {
			t.Errorf("got %d of the lowest rank, want at least %d", served["rank2"], least)
		}
		if most := int(1.5 * minLowestShare * float64(total)); served["rank2"] > most {
			t.Errorf("got %d of the lowest rank, want at most %d", served["rank2"], most)
		}
		if float64(total) < 0.95*float64(rate)*span.Seconds() {
			t.Errorf("served %d in total, so slots stayed idle", total)
		}
	})
}

// TestGateCancel guards against a slot that stays held after its caller has
// disconnected, and against requests of an earlier incarnation that hold slots.
func TestGateCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		g.SetBounds(Bounds{Slots: 1})
		tk, err := g.Acquire(t.Context(), Order{Class: "rank0"}, ranks, time.Now().Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if _, err := g.Acquire(ctx, Order{Class: "rank0"}, ranks, time.Now().Add(time.Second)); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v", err)
		}
		g.Cancel(time.Now(), tk)
		g.Cancel(time.Now(), tk)
		if n, queued, _, _ := g.Load(); n != 0 || queued != 0 {
			t.Errorf("got %d in flight and %d queued", n, queued)
		}
		held, _ := g.Acquire(t.Context(), Order{Class: "rank0"}, ranks, time.Now().Add(time.Second))
		g.Restarted()
		if _, err := g.Acquire(t.Context(), Order{Class: "rank0"}, ranks, time.Now().Add(time.Second)); err != nil {
			t.Errorf("after a restart: %v", err)
		}
		g.Done(time.Now(), held, Result{})
		if n, _, _, _ := g.Load(); n != 1 {
			t.Errorf("got %d in flight, want only that of the new incarnation", n)
		}
	})
}
