package move

import (
	"cmp"
	"iter"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

// WindowSeconds is the length of a window in seconds.
const WindowSeconds = 5

// KeptWindows is the number of windows kept for each instance and route. They
// cover two minutes on a busy route, and more on a route with little traffic,
// because a window without requests is not stored.
const KeptWindows = 24

// maxExcludedRatio is the largest ratio of excluded samples of the old version at
// which a window is still compared.
const maxExcludedRatio = 0.2

// Window returns the window that contains the given time.
func Window(at time.Time) int64 {
	return at.Unix() / WindowSeconds
}

// WindowOf returns the window of a move that contains the given time. The windows
// of a timed move are numbered from its start, beginning with 1.
func WindowOf(m fold.Move, at time.Time) int64 {
	if m.Within <= 0 {
		return Window(at)
	}
	return 1 + int64(at.Sub(m.StartAt)/timedWindow(m))
}

// windowEnd returns the time at which a window ends.
func windowEnd(m fold.Move, window int64) time.Time {
	if m.Within <= 0 {
		return time.Unix((window+1)*WindowSeconds, 0)
	}
	return m.StartAt.Add(time.Duration(window) * timedWindow(m))
}

// Key identifies the counters of one instance for one move, route and upstream
// version in one window.
type Key struct {
	Move        int64
	Instance    string
	Incarnation uint64
	Route       string
	Version     string
	// Window is the Unix time in seconds divided by WindowSeconds, or for a timed
	// move the result of WindowOf.
	Window int64
}

// Counters are the grow-only counts of one Key.
type Counters struct {
	Requests, Errors uint64
	// Excluded counts samples taken during cold start, overload or a zone
	// disturbance. No other field includes them.
	Excluded uint64
	// Latency is a histogram of the requests that did not fail. The first bucket
	// ends at 1 ms and each further one at twice the end of the previous one; the
	// last is unbounded.
	Latency [16]uint64
}

// AddUntimed counts a request that succeeded but whose latency is not
// representative, as in cold start.
func (c *Counters) AddUntimed() { c.Requests++ }

// Add counts one request.
func (c *Counters) Add(took time.Duration, failed, excluded bool) {
	if excluded {
		c.Excluded++
		return
	}
	c.Requests++
	if failed {
		c.Errors++
		return
	}
	c.Latency[bucket(took)]++
}

// bucket returns the index of the histogram bucket for a latency.
func bucket(took time.Duration) int {
	if took <= time.Millisecond {
		return 0
	}
	n := bits.Len64(uint64((took - 1) / time.Millisecond))
	return min(n, len(Counters{}.Latency)-1)
}

// merge sets each field to the maximum of both values.
func (c *Counters) merge(o *Counters) {
	c.Requests = max(c.Requests, o.Requests)
	c.Errors = max(c.Errors, o.Errors)
	c.Excluded = max(c.Excluded, o.Excluded)
	for i := range c.Latency {
		c.Latency[i] = max(c.Latency[i], o.Latency[i])
	}
}

// add adds the fields of o.
func (c *Counters) add(o *Counters) {
	c.Requests += o.Requests
	c.Errors += o.Errors
	c.Excluded += o.Excluded
	for i := range c.Latency {
		c.Latency[i] += o.Latency[i]
	}
}

// addOrSubtract adds the fields of o if plus is true. Otherwise it subtracts them;
// they must have been added before.
func (c *Counters) addOrSubtract(o *Counters, plus bool) {
	if plus {
		c.add(o)
		return
	}
	c.Requests -= o.Requests
	c.Errors -= o.Errors
	c.Excluded -= o.Excluded
	for i := range c.Latency {
		c.Latency[i] -= o.Latency[i]
	}
}

// series identifies the counters of one move, instance and route over time.
type series struct {
	move            int64
	instance, route string
}

// cell holds the counters of one window of a series.
type cell struct {
	window      int64
	incarnation uint64
	version     string
	counters    Counters
}

func (c *cell) compare(o *cell) int {
	return cmp.Or(
		cmp.Compare(c.window, o.window),
		cmp.Compare(c.incarnation, o.incarnation),
		cmp.Compare(c.version, o.version),
	)
}

// Evidence holds merged counters; the zero value is empty. Each series keeps its
// KeptWindows newest cells. Age is relative to the series, so an instance whose
// clock is ahead does not evict counters of other instances. Evidence is not safe
// for concurrent use.
type Evidence struct {
	// cells are sorted by window, incarnation and version.
	cells map[series][]cell
	// sums holds the effective counters of all cells by move and route. Merge
	// updates them incrementally, so that a decision need not visit every cell.
	sums map[int64]map[string]map[windowVersion]*Counters
}

// windowVersion identifies the summed counters of all instances of a version in
// one window.
type windowVersion struct {
	window  int64
	version string
}

// Merge sets the counters of k to the maximum of the known ones and c. Merging is
// commutative, associative and idempotent. Eviction preserves this, because cells
// have a fixed order: a cell that is among the newest of a union is also among the
// newest of each part that contains it.
func (e *Evidence) Merge(k Key, c Counters) {
	if e.cells == nil {
		e.cells = make(map[series][]cell)
	}
	s := series{move: k.Move, instance: k.Instance, route: k.Route}
	cells := e.cells[s]
	add := cell{window: k.Window, incarnation: k.Incarnation, version: k.Version, counters: c}
	i, found := slices.BinarySearchFunc(cells, &add, func(c cell, t *cell) int { return c.compare(t) })
	if found {
		merged := cells[i].counters
		merged.merge(&c)
		if merged == cells[i].counters {
			return
		}
		// The effective counters of a cell depend on the adjacent windows.
		e.updateSums(s, cells, k.Window-1, k.Window+1, false)
		cells[i].counters = merged
		e.updateSums(s, cells, k.Window-1, k.Window+1, true)
		return
	}
	if len(cells) == KeptWindows && i == 0 {
		return // older than all kept cells
	}
	e.updateSums(s, cells, math.MinInt64, math.MaxInt64, false)
	if len(cells) < KeptWindows {
		cells = slices.Insert(cells, i, add)
	} else {
		copy(cells, cells[1:i])
		cells[i-1] = add
	}
	e.updateSums(s, cells, math.MinInt64, math.MaxInt64, true)
	e.cells[s] = cells
}

// updateSums adds the effective counters of the cells in the windows from first to
// last to the sums, or subtracts them.
func (e *Evidence) updateSums(s series, cells []cell, first, last int64, plus bool) {
	if e.sums == nil {
		e.sums = make(map[int64]map[string]map[windowVersion]*Counters)
	}
	if e.sums[s.move] == nil {
		e.sums[s.move] = make(map[string]map[windowVersion]*Counters)
	}
	windowSums := e.sums[s.move][s.route]
	if windowSums == nil {
		windowSums = make(map[windowVersion]*Counters)
		e.sums[s.move][s.route] = windowSums
	}
	for i := range cells {
		if w := cells[i].window; w < first || w > last {
			continue
		}
		k := windowVersion{cells[i].window, cells[i].version}
		sum := windowSums[k]
		if sum == nil {
			sum = new(Counters)
			windowSums[k] = sum
		}
		c := effective(cells, i)
		if sum.addOrSubtract(&c, plus); *sum == (Counters{}) {
			delete(windowSums, k)
		}
	}
}

// All iterates over all keys and counters in no particular order.
func (e *Evidence) All() iter.Seq2[Key, Counters] {
	return e.since(math.MinInt64)
}

// Newest iterates over the keys and counters of the newest n windows of a move.
// Peers that exchange evidence often need no older ones.
func (e *Evidence) Newest(m fold.Move, n int64, now time.Time) iter.Seq2[Key, Counters] {
	return func(yield func(Key, Counters) bool) {
		for k, c := range e.since(WindowOf(m, now) - n + 1) {
			if k.Move == m.ID && !yield(k, c) {
				return
			}
		}
	}
}

func (e *Evidence) since(window int64) iter.Seq2[Key, Counters] {
	return func(yield func(Key, Counters) bool) {
		for s, cells := range e.cells {
			for i := len(cells) - 1; i >= 0 && cells[i].window >= window; i-- {
				c := &cells[i]
				k := Key{
					Move: s.move, Instance: s.instance, Incarnation: c.incarnation,
					Route: s.route, Version: c.version, Window: c.window,
				}
				if !yield(k, c.counters) {
					return
				}
			}
		}
	}
}

// Retain drops the evidence of all moves for which running returns false, to free
// the memory of ended moves.
func (e *Evidence) Retain(running func(move int64) bool) {
	for s := range e.cells {
		if !running(s.move) {
			delete(e.cells, s)
			delete(e.sums, s.move)
		}
	}
}

// pair holds the counters of both versions over the same period.
type pair struct {
	from, to Counters
}

// view is the evidence of one move, summed over instances.
type view struct {
	routes map[string]map[int64]*pair
	total  map[int64]*pair
}

// omission specifies the evidence that a view leaves out: all samples of a window,
// and those of the new version on some instances.
type omission struct {
	window    int64
	instances []string
}

// view returns the counters of a move since its start. Windows in the future come
// from an instance with a wrong clock and are ignored.
func (e *Evidence) view(m fold.Move, now time.Time, without omission) view {
	v := view{routes: make(map[string]map[int64]*pair), total: make(map[int64]*pair)}
	complete, last := e.firstComplete(m, now), WindowOf(m, now)+1
	visit := func(route string, window int64, version string, c *Counters, plus bool) {
		if window < complete[route] || window > last || window == without.window || version != m.From && version != m.To && m.From != "" {
			return
		}
		if v.routes[route] == nil {
			v.routes[route] = make(map[int64]*pair)
		}
		for _, windows := range []map[int64]*pair{v.routes[route], v.total} {
			p := windows[window]
			if p == nil {
				p = new(pair)
				windows[window] = p
			}
			if version == m.To {
				p.to.addOrSubtract(c, plus)
			} else {
				p.from.addOrSubtract(c, plus)
			}
		}
	}
	for route, windowSums := range e.sums[m.ID] {
		for k, c := range windowSums {
			visit(route, k.window, k.version, c, true)
		}
	}
	if len(without.instances) > 0 {
		for s, cells := range e.cells {
			if s.move != m.ID || !slices.Contains(without.instances, s.instance) {
				continue
			}
			for i := range cells {
				if cells[i].version == m.To {
					c := effective(cells, i)
					visit(s.route, cells[i].window, m.To, &c, false)
				}
			}
		}
	}
	v.dropDisturbed()
	return v
}

// firstComplete returns for each route the first window since the start of the move
// from which no instance has evicted windows. Instances of the version with less
// traffic keep older windows, but samples of one version alone cannot be compared.
func (e *Evidence) firstComplete(m fold.Move, now time.Time) map[string]int64 {
	first := make(map[string]int64)
	for s, cells := range e.cells {
		if s.move != m.ID {
			continue
		}
		w := WindowOf(m, m.StartAt)
		if len(cells) == KeptWindows && cells[KeptWindows-1].window <= WindowOf(m, now)+1 {
			w = max(w, cells[0].window)
		}
		first[s.route] = max(first[s.route], w)
	}
	return first
}

// dropDisturbed drops each window in which more than maxExcludedRatio of the
// samples of the old version were excluded, and both adjacent windows. The new
// version is then not the cause of the disturbance. The remaining samples are
// biased: those of the old version are mainly from before the disturbance.
func (v view) dropDisturbed() {
	disturbed := make(map[int64]bool)
	for w, p := range v.total {
		if n := p.from.Excluded; float64(n) > maxExcludedRatio*float64(n+p.from.Requests) {
			disturbed[w-1], disturbed[w], disturbed[w+1] = true, true, true
		}
	}
	drop := func(windows map[int64]*pair) {
		for w, p := range windows {
			if disturbed[w] {
				p.to, p.from = Counters{Excluded: p.to.Excluded}, Counters{Excluded: p.from.Excluded}
			}
		}
	}
	drop(v.total)
	for _, windows := range v.routes {
		drop(windows)
	}
}

// effective returns the counters of a cell that count as evidence: only the
// excluded samples if the cell is mostlyExcluded, else all.
func effective(cells []cell, i int) Counters {
	c := cells[i].counters
	if mostlyExcluded(cells, i) {
		return Counters{Excluded: c.Excluded}
	}
	return c
}

// mostlyExcluded reports whether most samples of a cell, or of one in an adjacent
// window, were excluded. A host detects a disturbance late or only in part, so the
// few samples next to many excluded ones are not reliable.
func mostlyExcluded(cells []cell, i int) bool {
	for j := range cells {
		if d := cells[j].window - cells[i].window; d < -1 || d > 1 {
			continue
		}
		if n := &cells[j].counters; n.Excluded > n.Requests {
			return true
		}
	}
	return false
}
