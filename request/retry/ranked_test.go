package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/dependency"
)

// rankedModel is a fleet of 80 entries and two upstreams: requests of callers arrive at
// all entries, and each run of the calling upstream makes calls to the other one, at which
// requests of callers arrive too.
type rankedModel struct {
	rnd     *rand.Rand
	percent int
	slack   float64
	calls   int
	// unrecognised means that the entries do not know which requests are nested.
	unrecognised bool
	upstream     [2][]Budget // by entry
	learners     []dependency.Learner
	// refuse is the share of requests that the instances refuse, fail the share that
	// they run and fail.
	refuse, fail [2]float64
	requests     [2][]time.Time
	repeats      [2][]time.Time
	retried      [2]map[bool]int // by whether the call is nested
}

const rankedEntries, rankedCalling = 80, 46

// send sends a request; repeated means that a repeated run makes it.
func (m *rankedModel) send(now time.Time, upstream, entry int, nested, repeated bool) {
	b := &m.upstream[upstream][entry]
	call := &request.Call{Idempotent: true, Attempts: 2, Deadline: now.Add(time.Second), Nested: nested}
	share := m.learners[entry].RepeatShare(now)
	if m.unrecognised {
		call.Nested = false
	}
	call.Repeat = call.Nested && m.rnd.Float64() < share
	b.RequestRanked(now, m.percent, m.slack, rankedEntries, share)
	var attempts []Attempt
	for Next(call, attempts, b, now, m.rnd.Float64()).Retry {
		repeat := repeated || IsRepeat(attempts)
		if repeat {
			m.repeats[upstream] = append(m.repeats[upstream], now)
		} else {
			m.requests[upstream] = append(m.requests[upstream], now)
		}
		if IsRepeat(attempts) {
			m.retried[upstream][nested]++
		}
		calling := m.rnd.IntN(rankedCalling)
		if upstream == 0 {
			m.learners[calling].StartRun(now, "look", "rank0", call.Repeat || IsRepeat(attempts))
		}
		attempt := Attempt{Outcome: request.Ran}
		switch x := m.rnd.Float64(); {
		case x < m.refuse[upstream]:
			attempt = Attempt{Outcome: request.NotRun, Reason: request.ReasonShed}
		case x < m.refuse[upstream]+m.fail[upstream]:
			attempt = Attempt{Outcome: request.Unknown, Reason: request.ReasonUpstreamError}
		}
		if upstream == 0 && attempt.Outcome != request.NotRun {
			for range m.calls {
				m.send(now, 1, calling, true, repeat)
			}
		}
		if upstream == 0 {
			m.learners[calling].EndRun(now, "look", "rank0", dependency.RunSucceeded)
		}
		if attempt.Outcome == request.Ran {
			return
		}
		attempts = append(attempts, attempt)
	}
}

// excess returns by how much the repeats in any 10 s exceed the share of the requests.
func (m *rankedModel) excess(upstream int, ratio float64) (most float64) {
	requests, repeats := m.requests[upstream], m.repeats[upstream]
	const window = 10 * time.Second
	r0, r1, p1 := 0, 0, 0
	for p0, from := range repeats {
		for p1 < len(repeats) && repeats[p1].Before(from.Add(window)) {
			p1++
		}
		for r0 < len(requests) && requests[r0].Before(from) {
			r0++
		}
		for r1 < len(requests) && requests[r1].Before(from.Add(window)) {
			r1++
		}
		most = max(most, float64(p1-p0)-ratio*float64(r1-r0))
	}
	return most
}

// TestRankedBound guards against retries that exceed the bound of the operators, and
// against a budget that leaves most of it unused while instances refuse requests without
// running them. Loads: look-ups at scoring with ledger reads at billing and invoices of
// callers at billing, where after a calm time all instances of one or both upstreams
// refuse half of their requests, refuse everything, or run and fail half.
func TestRankedBound(t *testing.T) {
	const ratio, slack, percent = 0.2, 200, 17 // percent as in settings.Bounds.RankedRetryRatio
	type day struct {
		name         string
		looks, bills float64 // requests a second
		calls        int
		refuse, fail [2]float64
		unrecognised bool
	}
	for i, d := range []day{
		{"calledRefusesHalf", 1348, 382, 1, [2]float64{0, 0.5}, [2]float64{}, false},
		{"bothRefuseHalf", 1348, 382, 1, [2]float64{0.5, 0.5}, [2]float64{}, false},
		{"bothRefuseHalfUnrecognised", 1348, 382, 1, [2]float64{0.5, 0.5}, [2]float64{}, true},
		{"bothRefuseAll", 1348, 382, 1, [2]float64{1, 1}, [2]float64{}, false},
		{"bothRefuseHalfTwoCalls", 500, 400, 2, [2]float64{0.5, 0.5}, [2]float64{}, false},
		{"callingFails", 1348, 382, 1, [2]float64{0, 0.5}, [2]float64{0.5, 0}, false},
		{"bothFail", 871, 436, 1, [2]float64{}, [2]float64{0.3, 0.3}, false},
		{"littleTraffic", 40, 20, 1, [2]float64{0.5, 0.5}, [2]float64{}, false},
	} {
		t.Run(d.name, func(t *testing.T) {
			m := &rankedModel{rnd: rand.New(rand.NewPCG(11, uint64(i))), percent: percent, slack: slack, calls: d.calls, unrecognised: d.unrecognised}
			for u := range m.upstream {
				m.upstream[u] = make([]Budget, rankedEntries)
				for e := range m.upstream[u] {
					m.upstream[u][e].CallRanks = true
				}
				m.retried[u] = make(map[bool]int)
			}
			m.learners = make([]dependency.Learner, rankedEntries)
			const calm, length = 20 * time.Second, 50 * time.Second
			failing := 0
			for at := time.Duration(0); at < length; at += time.Duration(m.rnd.ExpFloat64() / (d.looks + d.bills) * float64(time.Second)) {
				if at >= calm && failing == 0 {
					m.refuse, m.fail = d.refuse, d.fail
					failing = len(m.requests[1])
				}
				upstream := 0
				if m.rnd.Float64() < d.bills/(d.looks+d.bills) {
					upstream = 1
				}
				m.send(epoch.Add(at), upstream, m.rnd.IntN(rankedEntries), false, false)
			}
			for u, name := range []string{"calling", "called"} {
				got := m.excess(u, ratio)
				t.Logf("%s: %.0f repeats beyond the share in 10 s; %d requests, %d repeats, of which the entries retried %d nested and %d others",
					name, got, len(m.requests[u]), len(m.repeats[u]), m.retried[u][true], m.retried[u][false])
				if got > slack {
					t.Errorf("%s: %.0f repeats beyond the share of the requests in 10 s, want at most %d", name, got, slack)
				}
			}
			if d.name != "calledRefusesHalf" {
				return
			}
			arrived := float64(len(m.requests[1]) - failing)
			if got, want := float64(len(m.repeats[1])), ratio/2*arrived; got < want {
				t.Errorf("%.0f repeats, want at least %.0f, half of the allowed ones", got, want)
			}
		})
	}
}

// TestRankedPrecedence guards against requests of callers that use up the tokens that
// nested calls need, and against a request that is delayed although another instance can
// take it at once. Load: ledger reads and invoices that billing refuses without running.
func TestRankedPrecedence(t *testing.T) {
	refused := []Attempt{{Outcome: request.NotRun, Reason: request.ReasonShed, Instance: "a"}}
	for _, slack := range []float64{80, 200, 2000} {
		b := Budget{CallRanks: true}
		now, served := epoch, map[bool]int{}
		for i := range 4000 {
			now = now.Add(5 * time.Millisecond)
			nested := i%2 == 0
			call := &request.Call{Nested: nested, Attempts: 2, Deadline: now.Add(time.Second)}
			b.RequestRanked(now, 17, slack, rankedEntries, 0)
			if d := Next(call, refused, &b, now, 0.5); d.Retry {
				served[nested]++
				if !d.NotBefore.Equal(now) {
					t.Errorf("got a pause of %v, want none", d.NotBefore.Sub(now))
				}
			}
		}
		if got, want := served[true], int(0.9*0.17*4000); got < want {
			t.Errorf("slack %v: %d nested calls retried, want at least %d", slack, got, want)
		}
		if got, want := served[false], served[true]/10; got > want {
			t.Errorf("slack %v: %d other requests retried, want at most %d", slack, got, want)
		}
	}
}
