package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestOrder guards against a request that is served before one that precedes it: by
// class, then nested calls, then returning callers, then by arrival, where each 25th
// grant goes to the lowest position.
func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		orders := []Order{
			{Class: "rank2"}, {Class: "rank2", Returning: true}, {Class: "rank2", Nested: true}, {Class: "rank1"},
			{Class: "rank1", Returning: true}, {Class: "rank1", Nested: true}, {Class: "rank0"}, {Class: "rank0", Nested: true, Returning: true},
		}
		var g Gate
		g.SetBounds(Bounds{Slots: 20})
		until := time.Now().Add(time.Hour)
		var running []Ticket
		for range 20 {
			req, ref := g.admit(time.Now(), Order{Class: "rank0"}, ranks, until)
			if ref != nil {
				t.Fatal(ref)
			}
			running = append(running, Ticket{req})
		}
		var queued []*slotRequest
		for i := range 4 * len(orders) {
			req, ref := g.admit(time.Now(), orders[i%len(orders)], ranks, until)
			if ref != nil {
				t.Fatal(ref)
			}
			queued = append(queued, req)
		}
		// Oldest first within each position, the highest position first.
		slices.SortStableFunc(queued, func(a, b *slotRequest) int { return b.rank - a.rank })
		for i, want := range queued[:20] {
			g.Done(time.Now(), running[i], Result{Took: 50 * time.Millisecond})
			if want.state != stateRunning {
				t.Fatalf("grant %d: the next one in the order is not running", i)
			}
		}
		// Five more grants make 25; the next one goes to the lowest position.
		for i := range 6 {
			g.Done(time.Now(), Ticket{queued[i]}, Result{Took: 50 * time.Millisecond})
		}
		if lowest := queued[len(queued)-4]; queued[24].state != stateRunning || queued[25].state == stateRunning || lowest.state != stateRunning {
			t.Error("grant 26 does not go to the lowest position")
		}
	})
}

// TestAdmits guards against a report that says other than what the gate does, against a
// call of a look-up that is served less than other requests, and against starvation. Load:
// invoices of rank 2 at 1.8 times the capacity of billing while orders of rank 1 and
// ledger reads, raised to rank 0 for the look-ups that need them, arrive there.
func TestAdmits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, work = 13, 200 * time.Millisecond
		rnd := rand.New(rand.NewPCG(3, 1))
		var g Gate
		g.SetBounds(Bounds{Slots: slots})
		right, wrong, reports := 0, 0, map[int]int{}
		asked, served := map[string]float64{}, map[string]float64{}
		const capacity = slots * float64(time.Second) / float64(work)
		var running []*slotRequest
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
			time.Sleep(time.Duration(rnd.ExpFloat64() / (2.2 * capacity) * float64(time.Second)))
			now := time.Now()
			running = slices.DeleteFunc(running, func(r *slotRequest) bool {
				if r.state == stateRunning && now.Sub(r.grantedAt) >= work {
					g.Done(now, Ticket{r}, Result{Took: now.Sub(r.grantedAt)})
					served[r.class]++
				}
				return r.state == stateEnded
			})
			class := 0 // rank 2, of which 1.8 times the capacity arrives
			if x := rnd.Float64() * 2.2; x < 0.2 {
				class = 2
			} else if x < 0.4 {
				class = 1
			}
			admits := g.Admits(now, ranks)
			reports[admits]++
			order := Order{Class: fmt.Sprint("rank", 2-class), Nested: class == 2}
			asked[order.Class]++
			req, ref := g.admit(now, order, ranks, now.Add(400*time.Millisecond))
			if (ref == nil) == (class >= admits) {
				right++
			} else {
				wrong++
			}
			if ref == nil {
				running = append(running, req)
			}
		}
		t.Logf("%d reports are right, %d wrong; by position %v", right, wrong, reports)
		share := func(class string) float64 { return served[class] / asked[class] }
		t.Logf("served: reads %.2f, orders %.2f, invoices %.2f", share("rank0"), share("rank1"), share("rank2"))
		if share("rank0") < 0.95 || share("rank1") > share("rank0")+0.05 || share("rank2") > share("rank1")+0.05 {
			t.Error("a less urgent class is served more")
		}
		if least := 1 / 2.2 / 4; share("rank2") < least {
			t.Errorf("%.2f of the invoices are served, want at least %.2f, a quarter of the share of all", share("rank2"), least)
		}
		if wrong > right/50 {
			t.Errorf("%d of %d reports are wrong", wrong, right+wrong)
		}
		if reports[0] == 0 || reports[1] == 0 {
			t.Errorf("got reports %v, want the lowest class admitted at some times and refused at others", reports)
		}
	})
}

// TestAdmitsRoom guards against a gate with room that reports a class as refused.
func TestAdmitsRoom(t *testing.T) {
	var g Gate
	g.SetBounds(Bounds{Slots: 2})
	now := time.Now()
	if got := g.Admits(now, ranks); got != 0 {
		t.Errorf("idle: got %d, want 0", got)
	}
	g.SetBounds(Bounds{})
	if got, want := g.Admits(now, ranks), len(ranks)+1; got != want {
		t.Errorf("without slots: got %d, want %d", got, want)
	}
}
