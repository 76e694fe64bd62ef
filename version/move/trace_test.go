package move

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/record"
)

var update = flag.Bool("update", false, "write the traces in testdata")

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// header is the first line of a trace.
type header struct {
	Name          string   `json:"name"`
	Routes        []string `json:"routes"`
	MoveSeconds   int      `json:"moveSeconds"`
	CanaryPercent int      `json:"canaryPercent"`
	OldInstances  int      `json:"oldInstances"`
	NewInstances  int      `json:"newInstances"`
	// LoadedFrom is the share from which the new version has the outcomes in
	// newLoaded.
	LoadedFrom float64 `json:"loadedFrom,omitempty"`
	Want       want    `json:"want"`
}

// want is the required outcome.
type want struct {
	Done bool `json:"done"`
	// WithinSeconds bounds the time from the first request affected by the fault
	// to the rollback, and MaxShare bounds the share in that time.
	WithinSeconds int     `json:"withinSeconds,omitempty"`
	MaxShare      float64 `json:"maxShare,omitempty"`
}

// line holds the outcomes of one second and route, for each version as if it had
// received all requests. Instance i uses outcome i modulo the number of outcomes.
type line struct {
	Second    int       `json:"second"`
	Route     int       `json:"route"`
	Requests  int       `json:"requests"`
	Old       []outcome `json:"old"`
	New       []outcome `json:"new"`
	NewLoaded []outcome `json:"newLoaded,omitempty"`
	// Fault is set while the new version has its fault.
	Fault bool `json:"fault,omitempty"`
}

// outcome counts the outcomes of all requests of a line for one kind of instance.
type outcome struct {
	Failed   int   `json:"failed,omitempty"`
	Excluded int   `json:"excluded,omitempty"`
	Latency  []int `json:"latency,omitempty"`
}

type trace struct {
	header
	lines []line
}

// profile is the statistical model of a version from which outcomes are generated.
type profile struct {
	errors, excluded   float64
	median, sigma      float64 // of the latency, in ms and of its logarithm
	tail, tailFactor   float64 // fraction of requests that take longer, and the factor
	slowdown, overhead float64 // latency factor, and ms added, for all requests
}

// scenario generates a trace.
type scenario struct {
	header
	rate    []float64 // requests per second by route
	groups  int       // kinds of instances of each version; 0 means 1
	faultAt int       // second at which the fault begins; -1 for never
	// faultRoute is the only route with the fault; -1 for all.
	faultRoute int
	base, bad  profile
	// disturb changes the profile for reasons other than the version.
	disturb func(second, route, group int, isNew bool, m *profile)
}

func (s *scenario) generate(rng *rand.Rand) *trace {
	tr := &trace{header: s.header}
	for second := range s.MoveSeconds + 60 {
		for route, rate := range s.rate {
			l := line{Second: second, Route: route, Requests: poisson(rng, rate)}
			l.Fault = s.faultAt >= 0 && second >= s.faultAt && (s.faultRoute < 0 || s.faultRoute == route)
			if l.Requests == 0 {
				continue
			}
			draw := func(isNew, bad bool) (out []outcome) {
				for g := range max(s.groups, 1) {
					m := s.base
					if bad {
						m = s.bad
					}
					if s.disturb != nil {
						s.disturb(second, route, g, isNew, &m)
					}
					out = append(out, m.draw(rng, l.Requests))
				}
				return out
			}
			l.Old = draw(false, false)
			l.New = draw(true, l.Fault && s.LoadedFrom == 0)
			if l.Fault && s.LoadedFrom > 0 {
				l.NewLoaded = draw(true, true)
			}
			tr.lines = append(tr.lines, l)
		}
	}
	return tr
}

func (m *profile) draw(rng *rand.Rand, n int) (o outcome) {
	for range n {
		switch u := rng.Float64(); {
		case u < m.excluded:
			o.Excluded++
		case u < m.excluded+(1-m.excluded)*m.errors:
			o.Failed++
		default:
			ms := m.median*math.Exp(rng.NormFloat64()*m.sigma)*max(m.slowdown, 1) + m.overhead
			if rng.Float64() < m.tail {
				ms *= m.tailFactor
			}
			b := bucket(time.Duration(ms * float64(time.Millisecond)))
			for len(o.Latency) <= b {
				o.Latency = append(o.Latency, 0)
			}
			o.Latency[b]++
		}
	}
	return o
}

func poisson(rng *rand.Rand, mean float64) (n int) {
	for at := rng.ExpFloat64(); at < mean; at += rng.ExpFloat64() {
		n++
	}
	return n
}

// scenarios returns the scenarios of the recorded traces with their required
// outcome. Bounds: a share of at most canaryPercent before there is evidence, and
// 10 s from the first affected request to the rollback. A fault in the tail affects
// one request in twenty, and a route with little traffic has one request every few
// seconds. At the share in use, ten requests are affected only after the longer
// times that are given for these scenarios.
func scenarios() []*scenario {
	base := profile{errors: 0.004, median: 20, sigma: 0.5, tail: 0.005, tailFactor: 5}
	bad := func(change func(m *profile)) profile { m := base; change(&m); return m }
	failing := bad(func(m *profile) { m.errors = 0.6 })
	newScenario := func(name string, w want, change func(s *scenario)) *scenario {
		s := &scenario{base: base, bad: failing, faultAt: -1, faultRoute: -1, rate: []float64{400, 200}}
		s.header = header{Name: name, Routes: []string{"stock", "price"}, MoveSeconds: 300, CanaryPercent: 10, OldInstances: 8, NewInstances: 4, Want: w}
		change(s)
		return s
	}
	done := want{Done: true}
	rolledBack := func(within int, maxShare float64) want { return want{WithinSeconds: within, MaxShare: maxShare} }
	return []*scenario{
		newScenario("good", done, func(*scenario) {}),
		newScenario("badAtOnce", rolledBack(10, 0.1), func(s *scenario) { s.faultAt = 0 }),
		newScenario("badLate", rolledBack(10, 1), func(s *scenario) { s.faultAt = 270 }),
		newScenario("badUnderLoad", rolledBack(10, 0.5), func(s *scenario) { s.faultAt, s.LoadedFrom = 0, 0.3 }),
		newScenario("badOnOneRoute", rolledBack(10, 0.1), func(s *scenario) { s.faultAt, s.faultRoute = 30, 1 }),
		newScenario("slow", rolledBack(10, 0.1), func(s *scenario) { s.faultAt, s.bad = 30, bad(func(m *profile) { m.slowdown = 6 }) }),
		newScenario("slowTail", rolledBack(60, 0.1), func(s *scenario) {
			s.faultAt, s.bad = 0, bad(func(m *profile) { m.tail, m.tailFactor = 0.05, 20 })
		}),
		// Cold start at the beginning, and again on a quarter of the instances; the
		// first second of the second one is not detected.
		newScenario("coldStart", done, func(s *scenario) {
			s.groups = 4
			s.disturb = func(second, _, group int, isNew bool, m *profile) {
				if relapse := group == 0 && second >= 150 && second < 170; isNew && (second < 60 || relapse) {
					m.slowdown, m.errors, m.excluded = 8, 0.3, 1
					if second == 150 {
						m.excluded = 0
					}
				}
			}
		}),
		newScenario("overloadOfBoth", done, func(s *scenario) {
			s.disturb = func(second, _, _ int, _ bool, m *profile) {
				if second >= 100 && second < 160 {
					m.slowdown, m.errors, m.excluded = 6, 0.25, 0.3
				}
			}
		}),
		// A zone contains 1 of 4 old instances and 1 of 4 new ones, and its
		// disturbance is detected after 2 s.
		newScenario("zoneTrouble", done, func(s *scenario) {
			s.groups = 4
			s.disturb = func(second, _, group int, _ bool, m *profile) {
				if group == 1 && second >= 130 && second < 160 {
					m.errors, m.slowdown = 0.7, 5
					if second >= 132 {
						m.excluded = 0.95
					}
				}
			}
		}),
		newScenario("lowTraffic", done, func(s *scenario) {
			s.MoveSeconds, s.rate = 600, []float64{0.6, 0.4}
			s.disturb = func(_, route, _ int, _ bool, m *profile) {
				if route == 1 {
					m.errors = 0.15
				}
			}
		}),
		newScenario("badWithLowTraffic", rolledBack(300, 0.1), func(s *scenario) {
			s.MoveSeconds, s.rate, s.faultAt = 600, []float64{2, 2}, 0
		}),
	}
}

func (s *scenario) path() string { return filepath.Join("testdata", s.Name+".jsonl") }

// TestMain writes the traces first if -update is set. It fixes the seed of rapid, so
// that every run checks the properties on the same values.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("2026"); err != nil {
			panic(err)
		}
	}
	if *update {
		for i, s := range scenarios() {
			if err := writeTrace(s.path(), s.generate(rand.New(rand.NewPCG(35, uint64(i))))); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
		}
	}
	os.Exit(m.Run())
}

func writeTrace(path string, tr *trace) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	enc := json.NewEncoder(w)
	if err = enc.Encode(tr.header); err != nil {
		return err
	}
	for _, l := range tr.lines {
		if err = enc.Encode(l); err != nil {
			return err
		}
	}
	if err = w.Flush(); err != nil {
		return err
	}
	return f.Close()
}

func readTrace(t *testing.T, path string) *trace {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	dec := json.NewDecoder(bufio.NewReader(f))
	var tr trace
	if err := dec.Decode(&tr.header); err != nil {
		t.Fatal(err)
	}
	for dec.More() {
		var l line
		if err := dec.Decode(&l); err != nil {
			t.Fatal(err)
		}
		tr.lines = append(tr.lines, l)
	}
	return &tr
}

// decider makes the decisions about a move.
type decider interface {
	Merge(Key, Counters)
	step(m fold.Move, canaryPercent int, now time.Time) (share float64, takenBack, done bool)
}

// daemonDecider uses the package as a daemon does.
type daemonDecider struct {
	Evidence
	verdict *Verdict
}

func (o *daemonDecider) step(m fold.Move, canaryPercent int, now time.Time) (float64, bool, bool) {
	if v, ok := o.Judge(m, now); ok && o.verdict == nil {
		o.verdict = &v
	}
	back := o.verdict != nil
	return o.Share(m, canaryPercent, back, now), back, !back && o.Done(m, now)
}

// naiveDecider raises the share by time alone and rolls back above an error ratio of
// 5% over at least 20 requests.
type naiveDecider struct {
	Evidence
	rolledBack bool
}

func (n *naiveDecider) step(m fold.Move, _ int, now time.Time) (float64, bool, bool) {
	var c Counters
	for k, x := range n.All() {
		if k.Version == m.To {
			c.add(&x)
		}
	}
	n.rolledBack = n.rolledBack || c.Requests >= 20 && float64(c.Errors) > 0.05*float64(c.Requests)
	if n.rolledBack {
		return 0, true, false
	}
	return min(progress(m, now)/0.8, 1), false, progress(m, now) >= soakEnd
}

// result is the result of a replay.
type result struct {
	doneAt, rolledBackAt int // seconds; -1 for never
	faultAt              int // second of the first request affected by the fault; -1 for none
	maxShare             float64
	affected, total      int // requests affected by the fault, and all requests from faultAt on
	verdict              *Verdict
}

// replay runs a decider over a trace. The counters of each instance arrive with a
// delay of one to three seconds and out of order.
func (tr *trace) replay(d decider, seed uint64) result {
	type delivery struct {
		key Key
		c   Counters
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	m := testMove(time.Duration(tr.MoveSeconds) * time.Second)
	r := result{doneAt: -1, rolledBackAt: -1, faultAt: -1}
	counts := make(map[Key]*Counters)
	due := make(map[int][]delivery)
	i := 0
	for second := range tr.MoveSeconds + 60 {
		now := epoch.Add(time.Duration(second) * time.Second)
		for _, x := range due[second] {
			d.Merge(x.key, x.c)
		}
		delete(due, second)
		share, back, done := d.step(m, tr.CanaryPercent, now)
		if back && r.rolledBackAt < 0 {
			r.rolledBackAt = second
		}
		if done && r.rolledBackAt < 0 && r.doneAt < 0 {
			r.doneAt = second
			break
		}
		updated := make(map[Key]bool)
		for ; i < len(tr.lines) && tr.lines[i].Second == second; i++ {
			l := &tr.lines[i]
			loaded := tr.LoadedFrom > 0 && share >= tr.LoadedFrom && l.Fault
			newer := newOutcomePools(rng, l.New, l.Requests)
			if loaded {
				newer = newOutcomePools(rng, l.NewLoaded, l.Requests)
			}
			older := newOutcomePools(rng, l.Old, l.Requests)
			for range l.Requests {
				version, n, pool := "v1", tr.OldInstances, older
				if rng.Float64() < share {
					version, n, pool = "v2", tr.NewInstances, newer
					if l.Fault && (loaded || tr.LoadedFrom == 0) {
						if r.faultAt < 0 {
							r.faultAt = second
						}
						r.affected++
						r.maxShare = max(r.maxShare, share)
					}
				}
				if r.faultAt >= 0 {
					r.total++
				}
				id := rng.IntN(n)
				k := Key{Move: m.ID, Instance: version + "-" + strconv.Itoa(id), Incarnation: 1, Route: tr.Routes[l.Route], Version: version, Window: Window(now)}
				if counts[k] == nil {
					counts[k] = new(Counters)
				}
				counts[k].Add(pool[id%len(pool)].next())
				updated[k] = true
			}
		}
		for k := range updated {
			at := second + 1 + int(hash(k, second)%3)
			due[at] = append(due[at], delivery{k, *counts[k]})
		}
	}
	if o, ok := d.(*daemonDecider); ok {
		r.verdict = o.verdict
	}
	return r
}

func testMove(length time.Duration) fold.Move {
	return fold.Move{ID: 7, State: fold.MoveRunning, Move: record.Move{
		Upstream: "catalogue", From: "v1", To: "v2", StartAt: epoch, DoneBy: epoch.Add(length)}}
}

// hash returns a value that varies by key and second. Unlike a random number, it
// does not depend on the iteration order of a map.
func hash(k Key, second int) uint64 {
	h := uint64(second) + 7
	for _, b := range []byte(k.Instance + k.Route) {
		h = h*1099511628211 + uint64(b)
	}
	return h >> 8
}

// outcomePool holds shuffled outcomes: -2 failed, -1 excluded, else a latency bucket.
type outcomePool struct{ left []int8 }

func newOutcomePools(rng *rand.Rand, outs []outcome, n int) []*outcomePool {
	all := make([]*outcomePool, len(outs))
	for i, o := range outs {
		p := &outcomePool{left: make([]int8, 0, n)}
		put := func(code int8, n int) {
			for range n {
				p.left = append(p.left, code)
			}
		}
		put(-2, o.Failed)
		put(-1, o.Excluded)
		for b, n := range o.Latency {
			put(int8(b), n)
		}
		rng.Shuffle(len(p.left), func(i, j int) { p.left[i], p.left[j] = p.left[j], p.left[i] })
		all[i] = p
	}
	return all
}

func (p *outcomePool) next() (took time.Duration, failed, excluded bool) {
	code := p.left[0]
	p.left = p.left[1:]
	return time.Millisecond << max(code, 0), code == -2, code == -1
}

// check compares a result with the wanted outcome. It returns a description of the
// difference, or an empty string.
func (tr *trace) check(r result) string {
	switch {
	case tr.Want.Done && r.rolledBackAt >= 0:
		return "good version rolled back"
	case tr.Want.Done && (r.doneAt < 0 || r.doneAt > tr.MoveSeconds):
		return "good version not done by doneBy"
	case tr.Want.Done:
		return ""
	case r.faultAt < 0:
		return "no request was affected by the fault"
	case r.rolledBackAt < 0:
		return "bad version not rolled back"
	case r.rolledBackAt-r.faultAt > tr.Want.WithinSeconds:
		return "bad version rolled back late"
	case r.maxShare > tr.Want.MaxShare:
		return "bad version received too large a share"
	}
	return ""
}

// String describes the result.
func (r result) String() string {
	s := fmt.Sprintf("done at %d s", r.doneAt)
	if r.rolledBackAt >= 0 {
		s = fmt.Sprintf("rolled back at %d s", r.rolledBackAt)
	}
	if r.faultAt >= 0 {
		s += fmt.Sprintf(", fault first seen at %d s, %d of %d requests affected at a share of at most %.2f", r.faultAt, r.affected, r.total, r.maxShare)
	}
	if r.verdict != nil {
		s += ", " + r.verdict.Reason + ": " + r.verdict.Evidence
	}
	return s
}
