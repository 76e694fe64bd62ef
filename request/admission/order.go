package admission

import "time"

// Positions within a class. The ranks of a class are positionsPerClass apart.
const (
	returningPosition = 1 << iota
	nestedPosition
	positionsPerClass
)

// position returns the rank of a request: a higher one is served first and refused last.
func (o Order) position(shed []string) int {
	p := Position(o.Class, shed) * positionsPerClass
	if o.Nested {
		p += nestedPosition
	}
	if o.Returning {
		p += returningPosition
	}
	return p
}

// Position returns the position of a class in the shed order: lower ones are refused
// first. Classes that are not in the order are refused last.
func Position(class string, shed []string) int { return rank(class, shed) }

// waitWeight is the weight of a new request in the time that requests of a rank may wait.
const waitWeight = 1.0 / 8

// observeWait counts how long a request may wait. The caller holds mu.
func (g *Gate) observeWait(rank int, wait time.Duration) {
	old, ok := g.waits[rank]
	if !ok {
		if g.waits == nil {
			g.waits = make(map[int]time.Duration)
		}
		old = wait
	}
	g.waits[rank] = old + time.Duration(waitWeight*float64(wait-old))
}

// waitOf returns how long new requests of a class may usually wait; if none was seen,
// the longest time of all classes.
func (g *Gate) waitOf(class int) (wait time.Duration) {
	for p := class * positionsPerClass; p < (class+1)*positionsPerClass; p++ {
		if w, ok := g.waits[p]; ok {
			return w
		}
	}
	for _, w := range g.waits {
		wait = max(wait, w)
	}
	return wait
}

// Admits returns the position in the shed order of the least urgent class of which the
// gate would grant or queue a new request now; zero means all classes. If it would
// refuse all, that is one more than the position of the most urgent class.
func (g *Gate) Admits(now time.Time, shed []string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.canGrant(now) {
		return 0
	}
	full := g.queue.len() >= queuedPerSlot*g.bounds.Slots
	for class := range len(shed) + 1 {
		p := class * positionsPerClass
		if full && (g.queue.len() == 0 || g.queue.lowest().rank >= p) {
			continue
		}
		if min(g.estimateRankWait(now, p, g.queue.ahead(p)), g.estimateShareWait(now, p)) <= g.waitOf(class) {
			return class
		}
	}
	return len(shed) + 1
}
