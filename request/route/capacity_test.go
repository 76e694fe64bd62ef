package route

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
)

// The fleet of TestLearnedFleet addresses the food bank's look-ups: instances of 0.5 to
// 1.7 times the usual work time, of which a third become slower from half of their slots
// on, many entries of which each sees a part of the answers, and an objective of 500 ms.
const (
	fleetServers   = 18
	fleetEntries   = 18
	fleetSlots     = 9
	fleetWork      = 0.14
	fleetObjective = 500 * time.Millisecond
	fleetSeconds   = 24
	// Until fleetCalm the load is at most fleetCalmLoad, and the requests are counted from
	// fleetWarm on, in seconds.
	fleetCalm     = 3
	fleetCalmLoad = 0.3
	fleetWarm     = 6
	fleetCrowding = 0.4
	fleetReport   = time.Second
)

// fleetServer is an instance and its host.
type fleetServer struct {
	gate    admission.Gate
	speed   float64
	crowded bool
	mu      sync.Mutex
	mean    float64
}

// took returns the time of a request at level n.
func (s *fleetServer) took(n int, work float64) time.Duration {
	f := s.speed
	if s.crowded {
		f *= 1 + fleetCrowding*max(0, float64(n)-fleetSlots/2.0)
	}
	return time.Duration(f * work * float64(time.Second))
}

type fleetReportOf struct {
	inFlight, limit int
	perSecond, mean float64
	until           time.Time
	own             int
	fullUntil       time.Time
}

// fleetView is what one entry knows. It implements Loads.
type fleetView struct {
	mu      sync.Mutex
	reports map[string]*fleetReportOf
}

func (v *fleetView) get(name string) *fleetReportOf {
	r, ok := v.reports[name]
	if !ok {
		r = &fleetReportOf{limit: fleetSlots, mean: fleetWork}
		v.reports[name] = r
	}
	return r
}

func (v *fleetView) inFlight(r *fleetReportOf, now time.Time) int {
	n := r.own
	if now.Before(r.until) {
		n = max(n, r.inFlight)
	}
	if now.Before(r.fullUntil) {
		n = max(n, 2*r.limit)
	}
	return n
}

func (v *fleetView) Ratio(name string, now time.Time) (float64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.get(name)
	return float64(v.inFlight(r, now)) / float64(r.limit), false
}

func (v *fleetView) Slowness(name string, _ time.Time) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.get(name).mean / fleetWork
}

// learnedView is a fleetView that implements Capacities.
type learnedView struct{ *fleetView }

func (v learnedView) Capacity(name string, now time.Time) (inFlight, limit int, perSecond float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.get(name)
	return v.inFlight(r, now), r.limit, r.perSecond
}

// fleetResult holds shares of all requests.
type fleetResult struct{ late, refused float64 }

// simulateFleet runs the fleet at a load that is a fraction of what it can answer.
func simulateFleet(load float64, crowding, learn bool) (res fleetResult) {
	var members []membership.Member
	servers := make(map[string]*fleetServer)
	total := 0.0
	for i := range fleetServers {
		name := fmt.Sprint("a", i)
		s := &fleetServer{speed: 0.5 + 1.2*float64(i)/(fleetServers-1), crowded: crowding && i%3 == 1, mean: fleetWork}
		if learn {
			s.gate.LearnCapacity()
		}
		s.gate.SetBounds(admission.Bounds{Slots: fleetSlots})
		servers[name] = s
		members = append(members, membership.Member{Name: name, Zone: "a", Region: "r", Service: "catalogue", Version: "v1", State: membership.Ready})
		if s.crowded {
			total += fleetSlots / 2.0 / (s.speed * fleetWork)
		} else {
			total += fleetSlots / (s.speed * fleetWork)
		}
	}
	tbl := NewTable(testState(), members, "a", "r")
	views := make([]*fleetView, fleetEntries)
	for i := range views {
		views[i] = &fleetView{reports: make(map[string]*fleetReportOf)}
	}
	var mu sync.Mutex
	counted := 0
	request := func(v *fleetView, work float64, rnds [2][1 + pickChoices]float64, count bool) {
		began := time.Now()
		var loads Loads = v
		if learn {
			loads = learnedView{v}
		}
		answered := false
		var tried []string
		for _, rnd := range rnds {
			in, ok := tbl.Pick(Query{
				Upstream: "catalogue", Version: "v1", Now: time.Now(), Rnd: rnd, Exclude: tried, WaitRatio: 0.3,
				UsualTime: time.Duration(fleetWork * float64(time.Second)), AvailableOnly: len(tried) > 0,
			}, loads)
			if !ok {
				break
			}
			tried = append(tried, in.Name)
			answered = fleetAttempt(v, servers[in.Name], in.Name, work, began)
			if answered {
				break
			}
		}
		mu.Lock()
		defer mu.Unlock()
		switch {
		case !count:
			return
		case !answered:
			res.refused++
		case time.Since(began) > fleetObjective:
			res.late++
		}
		counted++
	}
	rnd := rand.New(rand.NewPCG(3, 8))
	var wg sync.WaitGroup
	for begin := time.Now(); time.Since(begin) < fleetSeconds*time.Second; {
		rate := load * total
		if time.Since(begin) < fleetCalm*time.Second {
			rate = min(load, fleetCalmLoad) * total
		}
		time.Sleep(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
		v := views[rnd.IntN(len(views))]
		work := fleetWork * math.Exp(speedSpread*rnd.NormFloat64()-speedSpread*speedSpread/2)
		rnds := [2][1 + pickChoices]float64{draw(rnd), draw(rnd)}
		count := time.Since(begin) > fleetWarm*time.Second
		wg.Go(func() { request(v, work, rnds, count) })
	}
	wg.Wait()
	res.late /= float64(counted)
	res.refused /= float64(counted)
	return res
}

// fleetAttempt sends a request to one instance and reports whether it was answered.
func fleetAttempt(v *fleetView, s *fleetServer, name string, work float64, began time.Time) bool {
	v.mu.Lock()
	v.get(name).own++
	v.mu.Unlock()
	wait := (fleetObjective - time.Since(began)) / 2
	tk, err := s.gate.Acquire(context.Background(), admission.Order{}, nil, time.Now().Add(wait))
	if err == nil {
		n, _, _, _ := s.gate.Load()
		took := s.took(n, work)
		time.Sleep(took)
		s.gate.Done(time.Now(), tk, admission.Result{Took: took, Route: "a"})
		s.mu.Lock()
		s.mean += (took.Seconds() - s.mean) / 16
		s.mu.Unlock()
	}
	n, queued, limit, _ := s.gate.Load()
	_, perSecond := s.gate.Capacity()
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.get(name)
	r.own--
	now := time.Now()
	r.inFlight, r.limit, r.perSecond, r.until = n+queued, limit, perSecond, now.Add(fleetReport)
	if err != nil {
		r.fullUntil = now.Add(50 * time.Millisecond)
		return false
	}
	s.mu.Lock()
	r.mean = s.mean
	s.mu.Unlock()
	return true
}

// TestLearnedFleet guards against entries that fill instances which become slower when
// they are nearly full, and against a loss where none does: with learned capacities, no
// more requests are late or refused.
func TestLearnedFleet(t *testing.T) {
	for _, c := range []struct {
		crowding bool
		load     float64
	}{{true, 0.5}, {true, 0.7}, {true, 0.85}, {true, 1}, {false, 0.5}, {false, 0.7}, {false, 0.85}, {false, 1}} {
		load := c.load
		var with, without fleetResult
		synctest.Test(t, func(*testing.T) { with = simulateFleet(load, c.crowding, true) })
		synctest.Test(t, func(*testing.T) { without = simulateFleet(load, c.crowding, false) })
		t.Logf("crowding %t, load %.2f: late %.4f, without learning %.4f; refused %.4f, without learning %.4f", c.crowding, load, with.late, without.late, with.refused, without.refused)
		if with.late+with.refused > without.late+without.refused {
			t.Errorf("crowding %t, load %.2f: got %.4f late or refused, want at most %.4f as without learning", c.crowding, load, with.late+with.refused, without.late+without.refused)
		}
	}
}

// TestExpectedCost guards against a fast instance that is chosen although the wait for a
// slot costs more than a slower one, and against a cost that changes where no capacity
// is known.
func TestExpectedCost(t *testing.T) {
	q := Query{UsualTime: 100 * time.Millisecond}
	for _, c := range []struct {
		slowness        float64
		inFlight, limit int
		perSecond, want float64
	}{
		{0.5, 0, 10, 200, 0.5},
		{0.5, 9, 10, 200, 0.5},
		{0.5, 10, 10, 200, 0.55},
		{0.5, 19, 10, 200, 1},
		{2, 10, 10, 50, 2.2},
	} {
		if got := q.expectedCost(c.slowness, c.inFlight, c.limit, c.perSecond); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%+v: got %v, want %v", c, got, c.want)
		}
	}
	// The usual time of a route without answers is that of all routes: 10 / 200 / 0.5 s.
	q.UsualTime = 0
	if got, want := q.expectedCost(0.5, 10, 10, 200), 0.55; math.Abs(got-want) > 1e-9 {
		t.Errorf("without a usual time: got %v, want %v", got, want)
	}
}
