package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// event is the end of a request in a model of an instance.
type event struct {
	at  time.Time
	req *slotRequest
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)        { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	old := *e
	v := old[len(old)-1]
	*e = old[:len(old)-1]
	return v
}

// serveTenants sends requests of tenants at the given rates per second to a Gate with 13
// slots and 100 ms of work each, 130 answers a second. It returns the share of each
// tenant's requests that were served, and that of all.
func serveTenants(t *testing.T, seed uint64, rates []float64) (served []float64, all float64) {
	t.Helper()
	const (
		span = 60 * time.Second
		work = 100 * time.Millisecond
		wait = 250 * time.Millisecond
	)
	rnd := rand.New(rand.NewPCG(seed, 7))
	var g Gate
	g.SetBounds(Bounds{Slots: 13})
	total := 0.0
	for _, r := range rates {
		total += r
	}
	start := time.Now()
	now := start
	sent, ran := make([]int, len(rates)), make([]int, len(rates))
	var waiting []*slotRequest
	var ends events
	run := func(req *slotRequest) {
		heap.Push(&ends, event{now.Add(time.Duration(float64(work) * (0.5 + rnd.Float64()))), req})
	}
	tenantOf := func(name string) (i int) {
		_, _ = fmt.Sscanf(name, "t%d", &i)
		return i
	}
	collect := func() {
		left := waiting[:0]
		for _, req := range waiting {
			switch req.state {
			case stateQueued:
				left = append(left, req)
			case stateRunning:
				ran[tenantOf(req.tenant)]++
				run(req)
			}
		}
		waiting = left
	}
	for now.Before(start.Add(span)) {
		now = now.Add(time.Duration(rnd.ExpFloat64() / total * float64(time.Second)))
		arrival := now
		for len(ends) > 0 && ends[0].at.Before(arrival) {
			e := heap.Pop(&ends).(event)
			now = e.at
			g.Done(now, Ticket{e.req}, Result{Took: now.Sub(e.req.grantedAt)})
			collect()
		}
		now = arrival
		i, at := 0, rnd.Float64()*total
		for i < len(rates)-1 && at >= rates[i] {
			at -= rates[i]
			i++
		}
		sent[i]++
		req, _ := g.admit(now, Order{Class: "rank0", Tenant: fmt.Sprint("t", i)}, nil, now.Add(wait))
		switch {
		case req == nil:
		case req.state == stateRunning:
			ran[i]++
			run(req)
		default:
			waiting = append(waiting, req)
		}
		collect()
	}
	allSent, allRan := 0, 0
	for i := range rates {
		served = append(served, float64(ran[i])/float64(max(1, sent[i])))
		allSent, allRan = allSent+sent[i], allRan+ran[i]
	}
	return served, float64(allRan) / float64(allSent)
}

// TestTenantsServed guards against a tenant that keeps others out by the number of its
// requests, and against one with much load that is served less than a quarter as often as
// all. An instance answers 130 requests a second.
func TestTenantsServed(t *testing.T) {
	even := func(n int, each float64, first ...float64) []float64 {
		for range n {
			first = append(first, each)
		}
		return first
	}
	for _, tt := range []struct {
		name  string
		rates []float64
		// others is the least share of the requests of all tenants but the first.
		others float64
	}{
		// The others together ask for half of the capacity.
		{"one with ten times the capacity", even(20, 3, 1300), 0.8},
		{"one with twice the capacity", even(20, 3, 260), 0.8},
		// All ask for twice the capacity.
		{"one with half of the load", even(76, 1.7, 130), 0},
		{"one with a tenth of the load", even(76, 3, 26), 0},
		{"77 alike", even(77, 3.4), 0},
		{"two", []float64{200, 60}, 0},
	} {
		for seed := range uint64(3) {
			served, all := serveTenants(t, seed, tt.rates)
			least := served[0]
			for _, s := range served[1:] {
				least = min(least, s)
				if s < tt.others {
					t.Errorf("%s, seed %d: served share %.2f of a small tenant, want at least %.2f", tt.name, seed, s, tt.others)
					break
				}
			}
			if least < all/4 {
				t.Errorf("%s, seed %d: served shares from %.2f, of all %.2f, want at least a quarter of it", tt.name, seed, least, all)
			}
			t.Logf("%s, seed %d: first %.2f, least %.2f, all %.2f", tt.name, seed, served[0], least, all)
		}
	}
}

// TestWithoutTenantOrder guards against requests without a tenant, which are calls of
// upstreams, that wait behind those of tenants or are refused in favour of them.
func TestWithoutTenantOrder(t *testing.T) {
	var g Gate
	g.SetBounds(Bounds{Slots: 2})
	now := time.Now()
	until := now.Add(10 * time.Second)
	add := func(tenant string) *slotRequest {
		t.Helper()
		req, ref := g.admit(now, Order{Class: "rank0", Tenant: tenant}, nil, until)
		if ref != nil {
			t.Fatalf("a request of tenant %q is refused: %v", tenant, ref)
		}
		return req
	}
	running := []*slotRequest{add("a"), add("a")}
	calls := []*slotRequest{add(""), add(""), add("")}
	if _, ref := g.admit(now, Order{Class: "rank0", Tenant: "a"}, nil, until); ref != nil {
		t.Fatal(ref)
	}
	if req, _ := g.admit(now, Order{Class: "rank0", Tenant: "b"}, nil, until); req != nil {
		t.Error("a request of a tenant was queued beyond the length of the queue")
	}
	for i, req := range calls {
		if i < len(running) {
			g.Done(now, Ticket{running[i]}, Result{Took: time.Millisecond})
		} else {
			g.Done(now, Ticket{calls[0]}, Result{Took: time.Millisecond})
		}
		if req.state != stateRunning {
			t.Errorf("call %d was not granted in the order of arrival", i)
		}
	}
}
