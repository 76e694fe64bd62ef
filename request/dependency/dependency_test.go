package dependency

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

var shed = []string{"rank2", "rank1"}

// event is something that happens in a model at a time, in seconds.
type event struct {
	at float64
	do func(at float64)
}

// model is a loop over events in the order of time.
type model struct {
	rnd    *rand.Rand
	events []event // a heap
}

func (m *model) add(at float64, do func(at float64)) {
	m.events = append(m.events, event{at, do})
	for i := len(m.events) - 1; i > 0 && m.events[i].at < m.events[(i-1)/2].at; i = (i - 1) / 2 {
		m.events[i], m.events[(i-1)/2] = m.events[(i-1)/2], m.events[i]
	}
}

func (m *model) run(until float64) {
	for len(m.events) > 0 && m.events[0].at < until {
		e, n := m.events[0], len(m.events)-1
		m.events[0] = m.events[n]
		m.events = m.events[:n]
		for i := 0; 2*i+1 < n; {
			c := 2*i + 1
			if c+1 < n && m.events[c+1].at < m.events[c].at {
				c++
			}
			if m.events[i].at <= m.events[c].at {
				break
			}
			m.events[i], m.events[c] = m.events[c], m.events[i]
			i = c
		}
		e.do(e.at)
	}
}

// every calls do at random times, at the given rate per second.
func (m *model) every(rate, until float64, do func(at float64)) {
	var next func(at float64)
	next = func(at float64) {
		if at < until {
			do(at)
			m.add(at+m.rnd.ExpFloat64()/rate, next)
		}
	}
	m.add(m.rnd.ExpFloat64()/rate, next)
}

func instant(at float64) time.Time { return epoch.Add(time.Duration(at * float64(time.Second))) }

// work returns a log-normal work time with sigma 0.8 and the given mean, in seconds.
func (m *model) work(mean float64) float64 {
	const sigma = 0.8
	return mean * math.Exp(sigma*m.rnd.NormFloat64()-sigma*sigma/2)
}

// TestCallsPerRun guards against calls that are attributed to runs that make none, and
// against attributions that outlast a change by more than 10 s. Load: one instance runs
// look-ups of rank 0 and reports of rank 2, 20 a second each; the look-ups make two
// ledger reads each, and after 30 s only the reports do.
func TestCallsPerRun(t *testing.T) {
	m := &model{rnd: rand.New(rand.NewPCG(5, 1))}
	var l Learner
	request := func(route, class string, mean float64, calls func(at float64) int) {
		m.every(20, 60, func(at float64) {
			took := m.work(mean)
			l.StartRun(instant(at), route, class, false)
			for range calls(at) {
				m.add(at+m.rnd.Float64()*took, func(at float64) { l.StartCall(instant(at), "ledger") })
			}
			m.add(at+took, func(at float64) { l.EndRun(instant(at), route, class, RunSucceeded) })
		})
	}
	request("look", "rank0", 0.24, func(at float64) int {
		if at < 30 {
			return 2
		}
		return 0
	})
	request("report", "rank2", 0.4, func(at float64) int {
		if at >= 30 {
			return 2
		}
		return 0
	})
	check := func(at, look, report float64) {
		t.Helper()
		gotLook, gotReport := l.CallsPerRun(instant(at), "look", "ledger"), l.CallsPerRun(instant(at), "report", "ledger")
		t.Logf("after %v s: %.2f calls a look-up, %.2f a report", at, gotLook, gotReport)
		if math.Abs(gotLook-look) > 0.7 || math.Abs(gotReport-report) > 0.7 {
			t.Errorf("after %v s: got %.2f calls a look-up and %.2f a report, want %v and %v", at, gotLook, gotReport, look, report)
		}
	}
	m.run(25)
	check(25, 2, 0)
	m.run(40)
	check(40, 0, 2)
	if got := l.RepeatShare(instant(40)); got != 0 {
		t.Errorf("got a share of %v repeats, want none", got)
	}
}

// TestMostUrgent guards against a call that waits behind less urgent requests than the
// one that needs it, and against a call that is raised by runs that do not make it.
func TestMostUrgent(t *testing.T) {
	var l Learner
	now := epoch
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		l.StartRun(now, "look", "rank0", false)
		l.StartCall(now.Add(20*time.Millisecond), "ledger")
		l.EndRun(now.Add(30*time.Millisecond), "look", "rank0", RunSucceeded)
		l.StartRun(now.Add(35*time.Millisecond), "report", "rank2", false)
		l.EndRun(now.Add(45*time.Millisecond), "report", "rank2", RunSucceeded)
	}
	l.StartRun(now.Add(48*time.Millisecond), "report", "rank2", false)
	now = now.Add(49 * time.Millisecond)
	if got, want := l.MostUrgent(now, "ledger", "rank1", shed), "rank1"; got != want {
		t.Errorf("beside a report: got %s, want %s", got, want)
	}
	l.StartRun(now, "look", "rank0", false)
	if got, want := l.MostUrgent(now, "ledger", "rank1", shed), "rank0"; got != want {
		t.Errorf("beside a look-up: got %s, want %s", got, want)
	}
	if got, want := l.MostUrgent(now, "register", "rank1", shed), "rank1"; got != want {
		t.Errorf("unknown call: got %s, want %s", got, want)
	}
	now = now.Add(12 * time.Second)
	if got, want := l.MostUrgent(now, "ledger", "rank1", shed), "rank1"; got != want {
		t.Errorf("after 12 s without calls: got %s, want %s", got, want)
	}
}

// fleet is a model of scoring, whose look-ups of rank 0 need a ledger read each, and of
// billing, which has the capacity for some reads. Entries retry a read that an instance
// of billing refuses once.
type fleet struct {
	model
	hosts   []Learner
	entries []Shares
	// capacity is the number of reads a second for which billing has room.
	capacity func(at float64) float64
	// shedShare is the share of reads that billing refuses at random, and refusing the
	// share of its instances that refuse everything for lack of capacity.
	shedShare, refusing float64
	// optional means that a look-up finishes without its read.
	optional bool
	// lying hosts always report that nothing can finish; stale is the time from which no
	// host reports.
	lying int
	stale float64

	tokens, tokensAt         float64
	asked, started, finished [64]float64 // by second
}

func (f *fleet) simulate(seconds float64) {
	const lookups, hosts, entries = 1348.0, 46, 80
	f.hosts, f.entries = make([]Learner, hosts), make([]Shares, entries)
	f.every(lookups, seconds, func(at float64) {
		f.asked[int(at)]++
		e := &f.entries[f.rnd.IntN(entries)]
		if !e.Admit(instant(at), "look", f.rnd.Float64()) {
			return
		}
		f.started[int(at)]++
		i := f.rnd.IntN(hosts)
		h := &f.hosts[i]
		h.StartRun(instant(at), "look", "rank0", false)
		f.add(at+f.work(0.1), func(at float64) {
			h.StartCall(instant(at), "ledger")
			read := f.read(at)
			f.add(at+f.work(0.14), func(at float64) {
				h.EndCall(instant(at), "ledger", read)
				ok, outcome := read == CallSucceeded || f.optional, RunFailed
				if ok {
					outcome = RunSucceeded
					f.finished[int(at)]++
				}
				h.EndRun(instant(at), "look", "rank0", outcome)
				if f.stale > 0 && at > f.stale {
					return
				}
				share := h.Finishes(instant(at), "look")
				if i < f.lying {
					share = 0.01
				}
				e.Observe(instant(at), "look", 2, fmt.Sprint(i), share)
			})
		})
	})
	f.run(seconds)
}

// read returns the outcome of a ledger read after up to two attempts.
func (f *fleet) read(at float64) (outcome CallOutcome) {
	for range 2 {
		switch {
		case f.rnd.Float64() < f.shedShare:
			outcome = CallFailed
			continue
		case f.rnd.Float64() < f.refusing:
			outcome = NoCapacity
			continue
		}
		c := f.capacity(at)
		f.tokens, f.tokensAt = min(0.1*c, f.tokens+c*(at-f.tokensAt)), at
		if f.tokens >= 1 {
			f.tokens--
			return CallSucceeded
		}
		return NoCapacity
	}
	return outcome
}

func sum(list []float64) (sum float64) {
	for _, n := range list {
		sum += n
	}
	return sum
}

// TestLackOfCapacity guards against look-ups that take slots of scoring without a result,
// against a limit that wastes the capacity that there is, and against one that outlasts
// the lack by more than 10 s. Load: look-ups of rank 0 at scoring, 1,348 a second, each
// with a ledger read, of which billing takes 674 a second from the 10th to the 30th
// second.
func TestLackOfCapacity(t *testing.T) {
	f := &fleet{model: model{rnd: rand.New(rand.NewPCG(5, 2))}, capacity: func(at float64) float64 {
		if at >= 10 && at < 30 {
			return 674
		}
		return 1e6
	}}
	f.simulate(50)
	started, finished := sum(f.started[16:29]), sum(f.finished[16:29])
	t.Logf("of %.0f look-ups from second 16 to 28, %.0f are started and %.0f finish", sum(f.asked[16:29]), started, finished)
	t.Logf("started by second: %.0f", f.started[:50])
	if got, want := finished/started, 0.75; got < want {
		t.Errorf("%.2f of the started look-ups finish, want at least %v", got, want)
	}
	if want := 0.85 * 674 * 13; finished < want {
		t.Errorf("%.0f look-ups finish, want at least %.0f", finished, want)
	}
	if got, want := sum(f.started[41:50]), 0.99*sum(f.asked[41:50]); got < want {
		t.Errorf("from 11 s after the end: %.0f look-ups are started, want at least %.0f", got, want)
	}
	if got, want := sum(f.started[:10]), sum(f.asked[:10]); got != want {
		t.Errorf("before: %.0f look-ups are started, want all %.0f", got, want)
	}
}

// TestNotLimited guards against requests that are refused without a lack of capacity.
// Load: as in TestLackOfCapacity, where billing refuses half of the reads at random, where
// one of its 26 instances refuses everything, where a read is optional, where one host of
// scoring lies, and where reports stop while requests are limited.
func TestNotLimited(t *testing.T) {
	ample := func(float64) float64 { return 1e6 }
	half := func(float64) float64 { return 674 }
	for i, c := range []struct {
		name string
		f    fleet
		from int
	}{
		{"randomRefusals", fleet{capacity: ample, shedShare: 0.5}, 0},
		{"oneInstanceRefuses", fleet{capacity: ample, refusing: 1.0 / 26}, 0},
		{"optionalCalls", fleet{capacity: half, optional: true}, 0},
		{"lyingHost", fleet{capacity: ample, lying: 1}, 0},
		{"staleReports", fleet{capacity: half, stale: 10}, 23},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &c.f
			f.rnd = rand.New(rand.NewPCG(5, uint64(10+i)))
			f.simulate(30)
			if got, want := sum(f.started[c.from:30]), sum(f.asked[c.from:30]); got < 0.99*want {
				t.Errorf("%.0f look-ups are started, want all %.0f", got, want)
			}
		})
	}
}

// TestUrgentLimitedLast guards against urgent requests that are limited while less urgent
// ones use the capacity. Load: look-ups of rank 0 and reports of rank 2 at scoring, both
// of which lack the capacity for half of their ledger reads.
func TestUrgentLimitedLast(t *testing.T) {
	var s Shares
	share := func(now time.Time, route string) (admitted float64) {
		const n = 100
		for i := range n {
			if s.Admit(now, route, float64(i)/n) {
				admitted += 1.0 / n
			}
		}
		return admitted
	}
	order := []float64{}
	for at := 0.0; at < 14; at += 0.05 {
		for i := range 6 {
			s.Observe(instant(at), "look", 2, fmt.Sprint(i), 0.5)
			s.Observe(instant(at), "report", 0, fmt.Sprint(i), 0.5)
		}
		report, look := share(instant(at), "report"), share(instant(at), "look")
		if look < 1 && report > minShare+0.01 {
			t.Fatalf("after %.2f s: %.2f of the look-ups are admitted, and %.2f of the reports", at, look, report)
		}
		order = append(order, report, look)
	}
	if n := len(order); order[n-2] > minShare+0.01 || order[n-1] > 0.51 {
		t.Errorf("at the end: %.2f of the reports and %.2f of the look-ups are admitted, want %v and at most 0.5", order[n-2], order[n-1], minShare)
	}
	if got := s.Limited(instant(14)); got > 0.51 {
		t.Errorf("got a least share of %v, want at most 0.5", got)
	}
}

// TestManyRoutes guards against a limit that is lost because requests of many other routes
// arrive, against a state that grows without bound, and against a route that is never
// limited because others were there before. Load: 1,000 routes beside one whose runs fail.
func TestManyRoutes(t *testing.T) {
	var s Shares
	other := 0
	for at := 0.0; at < 4; at += 0.05 {
		for i := range 3 {
			s.Observe(instant(at), "look", 2, fmt.Sprint(i), 0.5)
		}
		limited := !s.Admit(instant(at), "look", 0)
		if want := at > settleFor.Seconds()+0.15; at > 0.1 && limited != want && (at < 0.9 || want) {
			t.Fatalf("after %.2f s: got limited %v, want %v", at, limited, want)
		}
		for range 1000 {
			other++
			s.Observe(instant(at), fmt.Sprint("other", other%1000), 1, "0", 0)
		}
	}
	if got := len(s.routes); got > maxShares {
		t.Errorf("got %d routes, want at most %d", got, maxShares)
	}
}

// TestShareIsThatOfAdmit guards against a share that differs from that by which requests
// are admitted, and against asking for it changing that: the share falls, settles and
// recovers.
func TestShareIsThatOfAdmit(t *testing.T) {
	var asked, other Shares
	lowered := false
	for at := 0.0; at < 30; at += 0.05 {
		for i := range 6 {
			finishes := 0.5
			if at > 10 {
				finishes = 1
			}
			asked.Observe(instant(at), "look", 2, fmt.Sprint(i), finishes)
			other.Observe(instant(at), "look", 2, fmt.Sprint(i), finishes)
		}
		got := asked.Share(instant(at), "look")
		lowered = lowered || got < 1
		for _, rnd := range []float64{1 - got - 1e-9, 1 - got + 1e-9} {
			admitted := asked.Admit(instant(at), "look", rnd)
			if want := rnd >= 1-got; admitted != want || admitted != other.Admit(instant(at), "look", rnd) {
				t.Fatalf("after %.2f s: got %v for %v with a share of %v", at, admitted, rnd, got)
			}
		}
	}
	if !lowered {
		t.Error("got a share of 1 at all times, want a lower one")
	}
}
