package returns

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// model is an upstream with entries and callers, driven by events. Instances have slots
// and a queue in which urgent classes, and within a class returning callers, go first.
type model struct {
	rnd       *rand.Rand
	now       time.Time
	begin     time.Time
	end       time.Time
	events    eventHeap
	instances []*modelInstance
	entries   []*Schedule
	// scheduled is false for the comparison without a schedule, where a refusal names
	// the estimated wait at the instance that refused.
	scheduled bool
	seq       int
	// slots is the number of slots of each instance.
	slots   int
	classes []modelClass
	// ordinary is the time at the beginning in which only ordinaryShare of the callers
	// come.
	ordinary      time.Duration
	ordinaryShare float64
	// disturb is called once, disturbAfter after the beginning.
	disturb      func(*model)
	disturbAfter time.Duration
	// absent is the share of the callers that never return.
	absent float64
	result modelResult
}

type modelClass struct {
	name string
	rank int
	// perSecond is the rate of new callers.
	perSecond float64
}

type modelResult struct {
	// offered and served count callers by class. promised counts the returns at a
	// promised time, kept those of them that were served, by class and by the second
	// of the return.
	offered, served map[string]int
	promised, kept  map[modelReturn]int
	// byEntry counts the callers served by entry.
	byEntry []int
	// limited counts new requests refused by an entry, limitedFree those of them that
	// were refused while a tenth of the slots were free.
	limited, limitedFree int
	// busy is the time for which slots were busy while callers arrived.
	busy time.Duration
}

type modelReturn struct {
	class  string
	second int
}

const (
	modelWork     = 100 * time.Millisecond
	modelSigma    = 0.8
	modelMaxWait  = 250 * time.Millisecond
	modelNetwork  = time.Millisecond
	modelAttempts = 3
	// fairEvery is the interval, in grants, at which the lowest request is granted.
	fairEvery = 25
)

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type modelInstance struct {
	inFlight, grants int
	queue            []*modelRequest
}

type modelCaller struct {
	id       Caller
	key      Key
	rank     int
	entry    int
	deadline time.Time
	returns  int
	// impatient callers return at once and often.
	impatient, absent bool
	// promisedAt is the promised time at which the caller returns; zero if none.
	promisedAt time.Time
}

type modelRequest struct {
	c        *modelCaller
	arrival  Arrival
	seq      int
	attempts int
	// wait is the estimate of the last instance that refused.
	wait time.Duration
}

// before reports whether a request is granted before another one.
func (r *modelRequest) before(o *modelRequest) bool {
	switch {
	case r.c.rank != o.c.rank:
		return r.c.rank > o.c.rank
	case r.arrival.Returning != o.arrival.Returning:
		return r.arrival.Returning
	}
	return r.seq < o.seq
}

func (m *model) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, event{m.now.Add(d), m.seq, run})
}

// run simulates the given time and returns the counts of callers that began in it.
func (m *model) run(d time.Duration) modelResult {
	m.now = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)
	m.begin, m.end = m.now, m.now.Add(d)
	m.result = modelResult{
		offered: map[string]int{}, served: map[string]int{}, promised: map[modelReturn]int{}, kept: map[modelReturn]int{},
		byEntry: make([]int, len(m.entries)),
	}
	for _, c := range m.classes {
		m.arriveNext(c)
	}
	if m.disturb != nil {
		m.after(m.disturbAfter, func() { m.disturb(m) })
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	return m.result
}

// promisedReturn returns the key under which a caller's return is counted.
func (m *model) promisedReturn(c *modelCaller) modelReturn {
	return modelReturn{c.key.Class, int(c.promisedAt.Sub(m.begin) / time.Second)}
}

func (m *model) arriveNext(cl modelClass) {
	m.after(time.Duration(m.rnd.ExpFloat64()/cl.perSecond*float64(time.Second)), func() {
		if m.now.After(m.end) {
			return
		}
		m.arriveNext(cl)
		if m.now.Before(m.begin.Add(m.ordinary)) && m.rnd.Float64() > m.ordinaryShare {
			return
		}
		c := &modelCaller{
			id: Caller{Fingerprint: m.rnd.Uint64()}, key: Key{Upstream: "u", Class: cl.name, Rank: cl.rank}, rank: cl.rank,
			entry: m.rnd.IntN(len(m.entries)), deadline: m.now.Add(time.Duration(1200+m.rnd.IntN(2801)) * time.Millisecond),
			returns: 1 + m.rnd.IntN(2), impatient: m.rnd.Float64() < 0.3, absent: m.rnd.Float64() < m.absent,
		}
		if c.impatient {
			c.returns = 10
		}
		m.result.offered[cl.name]++
		m.send(c)
	})
}

// send lets a caller send its request to its entry.
func (m *model) send(c *modelCaller) {
	r := &modelRequest{c: c}
	if !c.promisedAt.IsZero() {
		m.result.promised[m.promisedReturn(c)]++
	}
	if m.scheduled {
		r.arrival = m.entries[c.entry].Arrive(m.now, c.key, c.id)
	}
	if r.arrival.Limited {
		m.result.limited++
		free := 0
		for _, in := range m.instances {
			free += m.slots - in.inFlight
		}
		if free*10 >= m.slots*len(m.instances) && m.now.Before(m.end) {
			m.result.limitedFree++
		}
		m.refuse(r)
		return
	}
	m.attempt(r)
}

// attempt sends a request to the least loaded of three random instances.
func (m *model) attempt(r *modelRequest) {
	r.attempts++
	m.seq++
	r.seq = m.seq
	var best *modelInstance
	for range 3 {
		in := m.instances[m.rnd.IntN(len(m.instances))]
		if best == nil || in.inFlight+len(in.queue) < best.inFlight+len(best.queue) {
			best = in
		}
	}
	m.after(modelNetwork, func() { m.admit(best, r) })
}

func (m *model) admit(in *modelInstance, r *modelRequest) {
	if in.inFlight < m.slots {
		m.grant(in, r)
		return
	}
	ahead := 0
	for _, q := range in.queue {
		if q.before(r) {
			ahead++
		}
	}
	r.wait = time.Duration(float64(ahead+1) / float64(m.slots) * float64(modelWork))
	if r.wait > modelMaxWait && in.lowest() >= 0 && in.queue[in.lowest()].c.rank <= r.c.rank {
		m.reject(r)
		return
	}
	in.queue = append(in.queue, r)
	if len(in.queue) > 2*m.slots {
		// The first request of the lowest rank keeps its place for the grant that it
		// gets.
		last, kept := -1, in.lowest()
		for i, q := range in.queue {
			if i != kept && (last < 0 || in.queue[last].before(q)) {
				last = i
			}
		}
		m.reject(in.remove(last))
	}
}

// lowest returns the index of the request that a fair grant goes to: the first one of
// the lowest rank. It returns -1 if the queue is empty.
func (in *modelInstance) lowest() int {
	low := -1
	for i, q := range in.queue {
		if low < 0 || q.c.rank < in.queue[low].c.rank || q.c.rank == in.queue[low].c.rank && q.before(in.queue[low]) {
			low = i
		}
	}
	return low
}

func (in *modelInstance) remove(i int) *modelRequest {
	r := in.queue[i]
	in.queue = append(in.queue[:i:i], in.queue[i+1:]...)
	return r
}

// reject handles a refusal by an instance.
func (m *model) reject(r *modelRequest) {
	m.after(modelNetwork, func() {
		if r.attempts < modelAttempts {
			m.attempt(r)
			return
		}
		m.refuse(r)
	})
}

func (m *model) grant(in *modelInstance, r *modelRequest) {
	in.inFlight++
	work := time.Duration(math.Exp(modelSigma*m.rnd.NormFloat64()-modelSigma*modelSigma/2) * float64(modelWork))
	m.result.busy += max(0, min(work, m.end.Sub(m.now)))
	m.after(work, func() {
		in.inFlight--
		m.dispatch(in)
		c := r.c
		if m.scheduled {
			m.entries[c.entry].Served(m.now, c.key, c.id, r.arrival)
		}
		m.result.served[c.key.Class]++
		m.result.byEntry[c.entry]++
		if !c.promisedAt.IsZero() {
			m.result.kept[m.promisedReturn(c)]++
		}
	})
}

func (m *model) dispatch(in *modelInstance) {
	for in.inFlight < m.slots && len(in.queue) > 0 {
		best := 0
		in.grants++
		for i, q := range in.queue {
			if q.before(in.queue[best]) {
				best = i
			}
		}
		if in.grants%fairEvery == 0 {
			best = in.lowest()
		}
		m.grant(in, in.remove(best))
	}
}

// refuse answers a caller with a refusal, after which it may return.
func (m *model) refuse(r *modelRequest) {
	c := r.c
	at, promised := m.now.Add(max(50*time.Millisecond, time.Duration(float64(r.wait)*(1+m.rnd.Float64())))), false
	if m.scheduled {
		at, promised = m.entries[c.entry].Refuse(m.now, c.key, c.id, Refusal{Arrival: r.arrival, Deadline: c.deadline, Rnd: m.rnd.Float64()})
	}
	left := c.deadline.Sub(m.now)
	if c.returns--; c.returns < 0 || left <= 0 || c.absent {
		return
	}
	wait := at.Sub(m.now)
	c.promisedAt = time.Time{}
	switch {
	case c.impatient:
		wait = time.Duration(20+m.rnd.IntN(60)) * time.Millisecond
	case wait > left/3:
		wait = left / 3
	case promised:
		c.promisedAt = at
	}
	m.after(wait+modelNetwork, func() { m.send(c) })
}
