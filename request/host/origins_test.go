package host

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
)

// TestOrigins guards against requests of callers that are classified as calls of
// servers, and against calls of servers that are not found.
func TestOrigins(t *testing.T) {
	type from struct {
		route, service string
		share          float64
	}
	for _, c := range []struct {
		name  string
		calls []from
		want  map[string]bool
	}{
		{"calledByOne", []from{{"book", "a", 0.3}, {"book", "b", 0.2}, {"book", "c", 0.1}, {"read", "a", 0.4}}, map[string]bool{"book": false, "read": true}},
		{"calledByTwo", []from{{"book", "a", 0.3}, {"book", "b", 0.2}, {"book", "c", 0.2}, {"read", "a", 0.2}, {"read", "b", 0.1}}, map[string]bool{"book": false, "read": true}},
		{"manyCallers", []from{{"book", "a", 0.2}, {"book", "b", 0.3}, {"look", "a", 0.2}, {"look", "b", 0.3}}, map[string]bool{"book": false, "look": false}},
		{"oneService", []from{{"book", "a", 0.5}, {"read", "a", 0.5}}, map[string]bool{"book": false, "read": false}},
		{"rareService", []from{{"book", "a", 0.599}, {"book", "b", 0.001}, {"look", "a", 0.4}}, map[string]bool{"book": false, "look": false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(7, 1))
			var o origins
			for i := range 3 * maxOriginCalls {
				x := rnd.Float64()
				for _, f := range c.calls {
					if x -= f.share; x < 0 {
						o.observe(f.route, f.service)
						break
					}
				}
				if i == 5 && o.fromServersOnly("read") {
					t.Error("decided after five calls")
				}
			}
			for route, want := range c.want {
				if got := o.fromServersOnly(route); got != want {
					t.Errorf("%s: got %v, want %v", route, got, want)
				}
			}
			if len(o.calls) > maxOriginRoutes || o.total > maxOriginCalls {
				t.Errorf("%d routes, %d calls are kept", len(o.calls), o.total)
			}
		})
	}
}

// TestCallsOfServersWait simulates a saturated service that servers call while they
// work on requests: bookings that hold a slot for 290 ms, and reads of 55 ms by other
// servers, of which each page needs two. It guards against refusing a read for its own
// objective of 200 ms, which fails the page although its server has done its work.
func TestCallsOfServersWait(t *testing.T) {
	const (
		slots        = 12
		work         = 250 * time.Millisecond // of the page before its reads
		readWork     = 55 * time.Millisecond
		bookWork     = 290 * time.Millisecond
		duration     = 20 * time.Second
		pageEvery    = 16 * time.Millisecond
		bookEvery    = 42 * time.Millisecond
		readWithin   = 600 * time.Millisecond
		pageDeadline = 2 * time.Second
	)
	simulate := func(learn bool) (pages, servedPages, books, servedBooks int) {
		synctest.Test(t, func(t *testing.T) {
			var g admission.Gate
			g.SetBounds(admission.Bounds{Slots: slots})
			h := &Host{}
			for i := range 200 {
				if learn {
					h.origins.observe("book", []string{"catalogue", "cutting", "orders"}[i%3])
					h.origins.observe("read", "catalogue")
				}
			}
			h.meanTimes.observe("read", readWork)
			run := func(route string, objective, within, took time.Duration) bool {
				now := time.Now()
				call := &request.Call{Route: route, Idempotent: route == "read", Objective: now.Add(objective), Deadline: now.Add(within)}
				tk, err := g.Acquire(t.Context(), admission.Order{Class: "rank1"}, []string{"rank2", "rank1"}, h.startBy(call, now))
				if err != nil {
					return false
				}
				time.Sleep(took)
				g.Done(time.Now(), tk, admission.Result{Took: took})
				return !time.Now().After(call.Deadline)
			}
			var mu sync.Mutex
			var wg sync.WaitGroup
			add := func(n *int) {
				mu.Lock()
				defer mu.Unlock()
				*n++
			}
			every := func(period time.Duration, f func()) {
				wg.Go(func() {
					for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(period) {
						wg.Go(f)
					}
				})
			}
			every(pageEvery, func() {
				add(&pages)
				time.Sleep(work)
				done := make(chan bool, 2)
				for range 2 {
					wg.Go(func() { done <- run("read", 200*time.Millisecond, readWithin, readWork) })
				}
				if first, second := <-done, <-done; first && second {
					add(&servedPages)
				}
			})
			every(bookEvery, func() {
				add(&books)
				if run("book", 800*time.Millisecond, pageDeadline, bookWork) {
					add(&servedBooks)
				}
			})
			wg.Wait()
		})
		return pages, servedPages, books, servedBooks
	}
	pages, before, books, booksBefore := simulate(false)
	_, after, _, booksAfter := simulate(true)
	t.Logf("of %d pages %d before, %d after; of %d bookings %d before, %d after", pages, before, after, books, booksBefore, booksAfter)
	if after < before+pages/10 {
		t.Errorf("%d of %d pages are served, %d when reads are refused for their own objective", after, pages, before)
	}
	// A booking is worth two pages.
	if after+2*booksAfter <= before+2*booksBefore {
		t.Errorf("served value %d, %d when reads are refused for their own objective", after+2*booksAfter, before+2*booksBefore)
	}
}

// TestMarkSoonAfterRestart addresses the first second after a restart of all daemons, in
// which a host of a small upstream receives some 60 calls. It guards against a mark that comes only when the
// cold start is over, and against one for a route that callers use as well.
func TestMarkSoonAfterRestart(t *testing.T) {
	var o origins
	services := []string{"catalogue", "cutting", "orders"}
	for i := range 60 {
		if i%2 == 0 {
			o.observe("read", "orders")
		} else {
			o.observe("check", services[i/2%3])
		}
	}
	if !o.mayMark("read") || o.mayMark("check") {
		t.Errorf("got marks %v for a route that one upstream calls and %v for one of callers, want true and false", o.mayMark("read"), o.mayMark("check"))
	}
}

// TestNestedCallWaits guards against a host that has just restarted and refuses a call of
// an upstream early, although the entry knows that it is one.
func TestNestedCallWaits(t *testing.T) {
	now := time.Now()
	h := &Host{}
	call := &request.Call{Route: "read", Nested: true, Objective: now.Add(200 * time.Millisecond), Deadline: now.Add(500 * time.Millisecond)}
	if got := h.startBy(call, now); got != call.Deadline {
		t.Errorf("got a wait of %v, want %v", got.Sub(now), call.Deadline.Sub(now))
	}
}
