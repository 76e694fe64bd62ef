package admission

import (
	"container/heap"
	"flag"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/internal/trace"
)

var update = flag.Bool("update", false, "rewrite the traces in testdata")

const (
	seed      = 20261204
	slots     = 20
	coldSlots = 4
	warmUp    = 5 * time.Second
	tick      = 10 * time.Millisecond
)

// workload describes the routes of the traces. The class of a route has its
// name.
var workload = map[string]struct {
	latency, within time.Duration
}{
	"stock":   {20 * time.Millisecond, 200 * time.Millisecond},
	"archive": {100 * time.Millisecond, time.Second},
	"deposit": {40 * time.Millisecond, 500 * time.Millisecond},
}

var shedOrder = []string{"archive", "stock"}

// traceLine holds what happens within one tick: an event, and arrivals by route.
// An arrival is given by the noise factor of its latency in percent.
type traceLine struct {
	At       int64            `json:"at"` // ms
	Event    string           `json:"event,omitempty"`
	Arrivals map[string][]int `json:"arrivals,omitempty"`
}

// generate draws Poisson arrivals over the given time, at a mean rate per second
// by route.
func generate(rnd *rand.Rand, length time.Duration, rate map[string]float64, events map[int64]string) (lines []traceLine) {
	for at := time.Duration(0); at < length; at += tick {
		l := traceLine{At: at.Milliseconds(), Event: events[at.Milliseconds()]}
		for _, name := range []string{"stock", "archive", "deposit"} {
			for range poisson(rnd, rate[name]*tick.Seconds()) {
				noise := int(100 * math.Exp(rnd.NormFloat64()*0.25))
				if rnd.IntN(100) == 0 {
					noise *= 30 // a single slow answer
				}
				if l.Arrivals == nil {
					l.Arrivals = make(map[string][]int)
				}
				l.Arrivals[name] = append(l.Arrivals[name], noise)
			}
		}
		if l.Event != "" || l.Arrivals != nil {
			lines = append(lines, l)
		}
	}
	return lines
}

func poisson(rnd *rand.Rand, mean float64) (n int) {
	for p := rnd.Float64(); p > math.Exp(-mean); p *= rnd.Float64() {
		n++
	}
	return n
}

func readTrace(t *testing.T, name string, gen func(*rand.Rand) []traceLine) []traceLine {
	t.Helper()
	path := "testdata/" + name
	if *update {
		trace.Write(t, path, gen(rand.New(rand.NewPCG(seed, 1))))
	}
	return trace.Read[traceLine](t, path)
}

// upstream models an instance. Up to its capacity the latency does not depend on
// the load; beyond it, the latency grows in proportion. Above 1.5 times the
// capacity requests fail, and the instance does not warm up.
type upstream struct {
	warmth   float64 // 0 is cold, 1 is warm
	at       time.Time
	inFlight int
	slower   map[string]float64
}

func (u *upstream) capacity() float64 { return coldSlots + u.warmth*(slots-coldSlots) }

// advance warms the instance up for the time since the last call, unless it is
// overloaded.
func (u *upstream) advance(now time.Time) {
	if float64(u.inFlight) <= 1.5*u.capacity() {
		u.warmth = min(1, u.warmth+now.Sub(u.at).Seconds()/warmUp.Seconds())
	}
	u.at = now
}

// start runs a request and returns when it ends and whether it fails.
func (u *upstream) start(route string, noise int) (took time.Duration, failed bool) {
	u.inFlight++
	load := max(1, float64(u.inFlight)/u.capacity())
	cold := 3 - 2*u.warmth
	slower := max(1, u.slower[route])
	took = time.Duration(float64(workload[route].latency) * float64(noise) / 100 * load * cold * slower)
	return took, load > 1.5
}

// limiter is the part of Limiter that the replay uses.
type limiter interface {
	Admit(now time.Time, class string, shed []string, deadline time.Time) Decision
	Done(now time.Time, t Ticket, r Result)
	Restarted(now time.Time)
	Load() (inFlight, queued, limit int, cold bool)
}

// fixedLimiter is the naive limiter, whose limit is always Slots.
type fixedLimiter struct{ Limiter }

func newFixed() *fixedLimiter {
	f := &fixedLimiter{}
	f.SetLimits(Limits{slots, slots})
	return f
}

func (f *fixedLimiter) Done(now time.Time, t Ticket, _ Result) { f.Cancel(now, t) }
func (f *fixedLimiter) Restarted(time.Time)                    {}

func newLimiter() *Limiter {
	l := &Limiter{}
	l.SetLimits(Limits{slots, coldSlots})
	return l
}

type running struct {
	at     time.Time
	seq    int
	ticket Ticket
	epoch  int
	result Result
}

type completions []running

func (c completions) Len() int { return len(c) }
func (c completions) Less(i, j int) bool {
	return c[i].at.Before(c[j].at) || c[i].at.Equal(c[j].at) && c[i].seq < c[j].seq
}
func (c completions) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)   { *c = append(*c, x.(running)) }
func (c *completions) Pop() any {
	x := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return x
}

// phase holds the statistics between two events.
type phase struct {
	event                    string
	from                     time.Time
	arrived, served, refused map[string]int
	sent                     int
	aboveCapacity            int           // sent above the capacity
	failed                   int           // sent above 1.5 times the capacity
	fullAfter                time.Duration // from the event until the limit reached Slots and stayed there; 0 if never
	minLimit                 int
	grantedLate              int // granted after the deadline
}

type waiting struct {
	d     Decision
	route string
	noise int
	until time.Time
}

// replay runs the trace against a limiter and the model of the upstream.
func replay(lines []traceLine, l limiter, u *upstream, event func(string, *upstream)) (phases []*phase) {
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	u.at = start
	var done completions
	var queue []waiting
	var p *phase
	seq, epoch := 0, 0
	run := func(now time.Time, t Ticket, route string, noise int) {
		u.advance(now)
		took, failed := u.start(route, noise)
		p.sent++
		if float64(u.inFlight) > u.capacity() {
			p.aboveCapacity++
		}
		if failed {
			p.failed++
		} else {
			p.served[route]++
		}
		seq++
		heap.Push(&done, running{now.Add(took), seq, t, epoch, Result{Took: took, Failed: failed, Route: route}})
	}
	poll := func(now time.Time) {
		left := queue[:0]
		for _, w := range queue {
			select {
			case g := <-w.d.Ready:
				if g.Granted {
					if !now.Before(w.until) {
						p.grantedLate++
					}
					run(now, w.d.Ticket, w.route, w.noise)
				} else {
					p.refused[w.route]++
				}
			default:
				left = append(left, w)
			}
		}
		queue = left
		_, _, limit, _ := l.Load()
		p.minLimit = min(p.minLimit, limit)
		if limit < slots {
			p.fullAfter = 0
		} else if p.fullAfter == 0 {
			p.fullAfter = now.Sub(p.from)
		}
	}
	for _, line := range lines {
		now := start.Add(time.Duration(line.At) * time.Millisecond)
		for len(done) > 0 && !done[0].at.After(now) {
			r := heap.Pop(&done).(running)
			u.advance(r.at)
			if r.epoch == epoch {
				u.inFlight--
			}
			l.Done(r.at, r.ticket, r.result)
			poll(r.at)
		}
		if line.Event != "" || p == nil {
			p = &phase{event: line.Event, from: now, arrived: map[string]int{}, served: map[string]int{}, refused: map[string]int{}, minLimit: slots}
			phases = append(phases, p)
			u.advance(now)
			event(line.Event, u)
			if line.Event == "restart" {
				epoch++
				u.inFlight = 0
				l.Restarted(now)
			}
		}
		for _, route := range []string{"stock", "archive", "deposit"} {
			for _, noise := range line.Arrivals[route] {
				p.arrived[route]++
				until := now.Add(workload[route].within)
				switch d := l.Admit(now, route, shedOrder, until); d.Verdict {
				case Granted:
					run(now, d.Ticket, route, noise)
				case Queued:
					queue = append(queue, waiting{d, route, noise, until})
				default:
					p.refused[route]++
				}
				poll(now)
			}
		}
	}
	return phases
}

func (p *phase) ratio(route string) float64 {
	return float64(p.served[route]) / float64(p.arrived[route])
}

func (p *phase) report(t *testing.T, name string) {
	t.Logf("%s: %-9s sent=%d aboveCapacity=%d failed=%d fullAfter=%v minLimit=%d served stock=%.3f archive=%.3f deposit=%.3f",
		name, p.event, p.sent, p.aboveCapacity, p.failed, p.fullAfter, p.minLimit, p.ratio("stock"), p.ratio("archive"), p.ratio("deposit"))
}

func coldEvents(event string, u *upstream) {
	if event == "restart" || event == "coldAgain" || event == "start" {
		u.warmth = 0
	}
}

// TestColdStart guards against overloading a cold upstream after a start, an
// announced restart and an unannounced cold start.
func TestColdStart(t *testing.T) {
	lines := readTrace(t, "coldStart.jsonl", func(rnd *rand.Rand) []traceLine {
		return generate(rnd, 24*time.Second, map[string]float64{"stock": 650, "archive": 60, "deposit": 40},
			map[int64]string{0: "start", 8000: "restart", 16000: "coldAgain"})
	})
	own := replay(lines, newLimiter(), &upstream{}, coldEvents)
	naive := replay(lines, newFixed(), &upstream{}, coldEvents)
	for i, p := range own {
		n := naive[i]
		p.report(t, "limiter")
		n.report(t, "naive")
		// After an unannounced cold start, the requests in flight, up to a full
		// limit, cannot be recalled, and as many again are sent before the
		// answers show it.
		want := 0
		if p.event == "coldAgain" {
			want = 2 * slots
		}
		if p.failed > want {
			t.Errorf("%s: %d requests overloaded the upstream, want at most %d", p.event, p.failed, want)
		}
		if n.failed <= want {
			t.Errorf("%s: the fixed limit overloaded the upstream with only %d requests, so the trace does not exercise the limiter", p.event, n.failed)
		}
		if p.fullAfter == 0 || p.fullAfter > warmUp+3*time.Second {
			t.Errorf("%s: the limit reached Slots after %v, want within 3 s of the warm-up of %v", p.event, p.fullAfter, warmUp)
		}
		if p.grantedLate > 0 {
			t.Errorf("%s: %d requests were granted after their deadline", p.event, p.grantedLate)
		}
		for _, route := range []string{"stock", "archive", "deposit"} {
			if p.served[route] == 0 || p.served[route] <= n.served[route] {
				t.Errorf("%s: served %d of %s, the fixed limit %d", p.event, p.served[route], route, n.served[route])
			}
		}
		if p.ratio("deposit") < p.ratio("stock") || p.ratio("stock") < p.ratio("archive") {
			t.Errorf("%s: a lower class was served better than a higher one", p.event)
		}
	}
}

// TestSlowIsNotCold guards against a reset of the limit because of one slow route
// or of single slow answers, and against a baseline that does not follow a
// lasting change of the workload.
func TestSlowIsNotCold(t *testing.T) {
	lines := readTrace(t, "slowRoute.jsonl", func(rnd *rand.Rand) []traceLine {
		return generate(rnd, 34*time.Second, map[string]float64{"stock": 60, "archive": 5, "deposit": 5},
			map[int64]string{0: "warm", 10000: "slowRoute", 14000: "warmAgain", 18000: "changed"})
	})
	event := func(event string, u *upstream) {
		u.warmth = 1
		switch event {
		case "slowRoute":
			u.slower = map[string]float64{"stock": 8}
		case "changed":
			u.slower = map[string]float64{"stock": 6, "archive": 6, "deposit": 6}
		default:
			u.slower = nil
		}
	}
	for _, p := range replay(lines, newLimiter(), &upstream{}, event) {
		p.report(t, "limiter")
		switch p.event {
		case "slowRoute", "warmAgain":
			if p.minLimit < slots {
				t.Errorf("%s: the limit fell to %d", p.event, p.minLimit)
			}
		case "changed":
			if p.minLimit > coldSlots {
				t.Errorf("%s: the limit only fell to %d, want %d: the latency is above 4 times the baseline", p.event, p.minLimit, coldSlots)
			}
			if p.fullAfter == 0 {
				t.Errorf("%s: the limit never reached Slots again", p.event)
			}
		}
	}
}
