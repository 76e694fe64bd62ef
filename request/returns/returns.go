// Package returns decides when a caller that was refused for lack of capacity may
// return, so that a Retry-After is a time at which the caller is served.
//
// An entry keeps one Schedule. For each upstream and class it measures the rate at
// which the entry's requests are served, and promises return times at an even spacing
// that uses most of this rate. It remembers the fingerprint of each request that was
// given a time and recognises the request when it arrives again.
//
// While an upstream refuses requests of a class, new requests of the class are limited
// to the part of the rate that is not promised. The room of a caller that does not
// return goes to new requests promiseHold after its time. The limit ends as soon as
// new requests are served one after another, since capacity is free then.
//
// All decisions are pure: the time and random values are arguments. Only the differences
// of times count, so the monotonic clock decides and steps of the wall clock have no
// effect.
//
// # Usage
//
//	var s returns.Schedule
//	arrival := s.Arrive(now, key, caller)
//	if arrival.Limited {
//		at, promised := s.Refuse(now, key, caller, returns.Refusal{Arrival: arrival, Deadline: deadline, Rnd: rand.Float64()})
//		return refusal(at)
//	}
//	call.Returning = arrival.Returning
//	// send the call to the upstream, then one of:
//	s.Served(now, key, caller, arrival)
//	at, promised := s.Refuse(now, key, caller, returns.Refusal{Arrival: arrival, Deadline: deadline, Rnd: rand.Float64()})
package returns

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxPromises bounds the callers that a schedule remembers.
	MaxPromises = 4096
	// maxStreams bounds the keys, which configurations add and remove over time. Idle
	// ones are removed first.
	maxStreams = 1024
	// promisedShare is the share of the rate that is promised. The rest absorbs the
	// variation of the work times, and goes to new requests, which let the rate of an
	// entry grow again: with 0.8, one of 80 entries was served half of its share.
	promisedShare = 0.7
	// New and returning requests together are admitted up to limitFactor times the rate
	// served and limitExcess requests per second. Without the excess the rate could only
	// fall, because no more is served than is admitted.
	limitFactor = 1.1
	limitExcess = 1.0
	// unknownRate is the rate per second that is assumed for a class without recent
	// answers, so that an entry can give a caller a time.
	unknownRate = 1.0
	// minRate is the least rate per second that is assumed, also while more urgent
	// classes take all the room. It is low because many entries may be in the same
	// position.
	minRate = 0.1
	// trustWeight is the weight of one returning caller in the share of those that are
	// refused again. The rate promised falls with the square of the share kept, since
	// the rate served follows a loss of capacity only after seconds.
	// The share decays within trustDecay, so that times are promised again.
	trustWeight = 0.125
	trustDecay  = 5 * time.Second
	// minWait is the least wait of a promise: the instances were full a moment ago.
	minWait = 50 * time.Millisecond
	// idlePeriod is the time after the last promise after which the next one is the
	// first of another overload.
	idlePeriod = 10 * time.Second
	// waitDivisor is the part of their remaining time that callers wait at most.
	waitDivisor = 3
	// maxLead is how far ahead times are promised. The rate is that of the last seconds
	// and says little about later ones.
	maxLead = 10 * time.Second
	// waitMargin is subtracted from that part: the caller computes it from the time
	// that is left when the refusal arrives.
	waitMargin = 10 * time.Millisecond
	// earlyTolerance and lateTolerance bound the time around a promise in which its
	// caller is recognised. Timers and rounding account for a few milliseconds before
	// it; a connection that must be opened again, and a busy machine, for the rest.
	// earlyTolerance is less than minWait, so that no caller is recognised at once.
	earlyTolerance = 20 * time.Millisecond
	lateTolerance  = time.Second
	// promiseHold is how long the room of a promise is kept free after its time.
	promiseHold = 100 * time.Millisecond
	// shedPeriod is how long after a refusal by the upstream new requests are limited.
	shedPeriod = time.Second
	// refusedPeriod is how long after a refusal the requests of a class take all the
	// room of the less urgent ones, and lowestShare is the share of the grants that
	// hosts give the lowest request in the queue all the same.
	refusedPeriod = 2 * time.Second
	lowestShare   = 0.04
	// freeAfter is the number of new requests of the class, and requests of less urgent
	// ones, served since the last refusal by the upstream that shows that capacity is
	// free.
	freeAfter = 5
	// minBurst is the least number of new requests that may arrive together, and
	// burstPeriod is the time whose requests may.
	minBurst    = 3
	burstPeriod = 250 * time.Millisecond
)

// Key identifies requests that share capacity at an entry.
type Key struct {
	Upstream, Class string
	// Rank is the position of the class in the order of refusal; a greater one is more
	// urgent.
	Rank int
	// Nested is set for the calls of upstreams. They precede all others of their
	// class and are not limited.
	Nested bool
}

// Caller identifies a caller by its request. Callers with equal requests are not told
// apart.
type Caller struct {
	Fingerprint uint64
	Tenant      string
}

// Arrival is the decision on a request that arrives.
type Arrival struct {
	// Returning means that the caller came at the time that it was promised.
	Returning bool
	// Early means that the caller came before that time; its promise is still valid.
	Early bool
	// Limited means that the request must be refused at once, because the capacity is
	// promised to others.
	Limited bool
}

// Refusal describes a request that was refused and has not run.
type Refusal struct {
	// Arrival is the decision of Arrive. Unless it limited the request, the upstream
	// had no capacity for it.
	Arrival Arrival
	// Deadline is the time until which the caller waits for an answer.
	Deadline time.Time
	// WholeSeconds means that the caller is told a whole number of seconds.
	WholeSeconds bool
	// Rnd is a random number in [0, 1).
	Rnd float64
}

// Schedule holds the promises of one entry. The zero value is ready to use. It is safe
// for concurrent use.
type Schedule struct {
	mu      sync.Mutex
	streams map[Key]*stream
	// upstreams holds the same streams by upstream.
	upstreams map[string][]*stream
	promises  map[Caller]promise
	count     atomic.Int64
}

// promise is a time that a caller was told.
type promise struct {
	at     time.Time
	stream *stream
	// seq is the number of its slot in the stream.
	seq int
}

// slot is a promised time in the schedule.
type slot struct {
	caller Caller
	at     time.Time
	// done is set once the caller came or was served before.
	done bool
}

// stream is the schedule of one upstream and class.
type stream struct {
	key    Key
	served rate
	// last is the last promised time, and the next one is phase times the gap between
	// two promises after it. While nothing is promised, last is when the first caller
	// was refused, and phase is random, so that the first callers of many entries do
	// not all return at the same moment.
	last  time.Time
	phase float64
	// slots holds the promises that may still be kept, in the order in which they were
	// made. This is the order of their times but for whole seconds, which are up to a
	// second late, so that a slot may be counted as due, and forgotten, up to a second
	// late. The number of the first is base. Those before held are promiseHold past their
	// time, those before due have reached it.
	slots           []slot
	base, held, due int
	// waiting counts the open slots from held to due, and pending those from held on.
	waiting, pending int
	// brokenShare is the smoothed share of the callers that came at their time and were
	// refused again, as of brokenAt.
	brokenShare float64
	brokenAt    time.Time
	// tokens is the number of new requests that may be admitted, as of tokensAt.
	tokens   float64
	tokensAt time.Time
	// shedAt is the time of the last refusal by the upstream, and servedSince the number
	// of new requests, and requests of less urgent classes, served since. refusedAt is the time of the last refusal,
	// also by the entry.
	shedAt, refusedAt time.Time
	servedSince       int
}

// Promises returns the number of callers that the schedule remembers. While it is zero,
// Arrive needs no fingerprint.
func (s *Schedule) Promises() int { return int(s.count.Load()) }

// Due reports whether a caller that arrives now was promised this time. Arrive decides
// whether the promise is for the upstream and class of the request.
func (s *Schedule) Due(now time.Time, c Caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.promises[c]
	return ok && p.due(now)
}

// due reports whether the caller is recognised if it arrives now.
func (p *promise) due(now time.Time) bool {
	return !now.Before(p.at.Add(-earlyTolerance)) && !now.After(p.at.Add(lateTolerance))
}

// Arrive decides on a request. Unless it is limited, it is followed by Served, by Refuse
// or, if it ended in another way, by nothing.
func (s *Schedule) Arrive(now time.Time, k Key, c Caller) Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(now, k)
	a := Arrival{}
	if p, ok := s.promises[c]; ok && p.stream == st {
		if p.due(now) {
			s.release(c, p)
			st.tokens = max(st.tokens-1, -st.burst(now))
			a.Returning = true
			return a
		}
		a.Early = now.Before(p.at)
	}
	if !k.Nested && st.limits(now) {
		need := st.need()
		if a.Early {
			// Its room is reserved, so that coming often gives no advantage over
			// callers that wait.
			need = st.burst(now)
		}
		if st.tokens < need {
			a.Limited = true
			return a
		}
	}
	st.tokens = max(st.tokens-1, min(st.tokens, 0))
	return a
}

// Served records that the upstream ran a request.
func (s *Schedule) Served(now time.Time, k Key, c Caller, a Arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(now, k)
	st.served.add(now)
	if a.Returning {
		st.observeReturn(now, 0)
	} else {
		st.servedSince++
	}
	// Capacity that a less urgent request gets is free for the more urgent ones.
	for _, o := range s.upstreams[k.Upstream] {
		if o.key.Rank > k.Rank {
			o.servedSince++
		}
	}
	if p, ok := s.promises[c]; ok && a.Early && p.stream == st {
		s.release(c, p)
	}
}

// Refuse returns the time at which the caller of a refused request should return, and
// whether this entry newly promises it. A caller that has a promise is told its time
// again. If no free time is within the time that the caller waits, the result is the
// first free time after it.
func (s *Schedule) Refuse(now time.Time, k Key, c Caller, r Refusal) (at time.Time, promised bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(now, k)
	st.refusedAt = now
	if !r.Arrival.Limited {
		st.shedAt, st.servedSince = now, 0
	}
	if r.Arrival.Returning {
		st.observeReturn(now, 1)
	}
	old, known := s.promises[c]
	if known && old.stream == st && now.Before(old.at) {
		return old.at, false
	}
	trust := 1 - st.broken(now)
	gap := 1 / (promisedShare * max(minRate, trust*trust*s.room(st, now)))
	if st.last.IsZero() || now.Sub(st.last) > idlePeriod {
		st.last, st.phase = now.Add(minWait), r.Rnd
	}
	free := st.last.Add(seconds(st.phase * gap))
	if earliest := now.Add(minWait); free.Before(earliest) {
		free = earliest
	}
	at = free
	if r.WholeSeconds {
		at = now.Add(seconds(math.Ceil(free.Sub(now).Seconds())))
	}
	if at.Sub(now) > min(maxLead, r.Deadline.Sub(now)/waitDivisor-waitMargin) {
		return at, false
	}
	if known {
		s.release(c, old)
	}
	if len(s.promises) >= MaxPromises {
		s.expire(now)
		if len(s.promises) >= MaxPromises {
			return at, false
		}
	}
	st.last, st.phase = free, 1
	st.slots = append(st.slots, slot{caller: c, at: at})
	st.pending++
	if s.promises == nil {
		s.promises = make(map[Caller]promise)
	}
	s.promises[c] = promise{at: at, stream: st, seq: st.base + len(st.slots) - 1}
	s.count.Store(int64(len(s.promises)))
	return at, true
}

// stream returns the stream of a key as of now.
func (s *Schedule) stream(now time.Time, k Key) *stream {
	st, ok := s.streams[k]
	if !ok {
		if len(s.streams) >= maxStreams {
			s.removeIdle(now)
		}
		if s.streams == nil || len(s.streams) >= maxStreams {
			s.streams, s.upstreams, s.promises = make(map[Key]*stream), make(map[string][]*stream), nil
			s.count.Store(0)
		}
		st = &stream{key: k, tokensAt: now}
		s.streams[k] = st
		s.upstreams[k.Upstream] = append(s.upstreams[k.Upstream], st)
	}
	s.advance(st, now)
	return st
}

// removeIdle removes the streams without a promise or a recent refusal whose rate is
// unknown: they decide like new ones.
func (s *Schedule) removeIdle(now time.Time) {
	for k, st := range s.streams {
		s.advance(st, now)
		if len(st.slots) > 0 || st.served.perSecond(now) > 0 || now.Sub(st.last) <= idlePeriod || now.Sub(st.refusedAt) <= idlePeriod {
			continue
		}
		delete(s.streams, k)
		rest := slices.DeleteFunc(s.upstreams[k.Upstream], func(o *stream) bool { return o == st })
		if len(rest) == 0 {
			delete(s.upstreams, k.Upstream)
			continue
		}
		s.upstreams[k.Upstream] = rest
	}
}

// broken returns the share of the returning callers that are refused again.
func (st *stream) broken(now time.Time) float64 {
	if st.brokenShare == 0 {
		return 0
	}
	return st.brokenShare * math.Exp(-now.Sub(st.brokenAt).Seconds()/trustDecay.Seconds())
}

// observeReturn counts a returning caller; broken is 1 if it was refused again.
func (st *stream) observeReturn(now time.Time, broken float64) {
	b := st.broken(now)
	st.brokenShare, st.brokenAt = b+trustWeight*(broken-b), now
}

// room returns the requests per second that are expected to be served. While more urgent
// requests are refused, a class gets at most what hosts reserve for the lowest request,
// whatever it got before.
func (s *Schedule) room(st *stream, now time.Time) float64 {
	all, short := 0.0, false
	for _, o := range s.upstreams[st.key.Upstream] {
		all += o.served.perSecond(now)
		short = short || o.key.Rank > st.key.Rank && !o.refusedAt.IsZero() && now.Sub(o.refusedAt) < refusedPeriod
	}
	own := st.served.perSecond(now)
	switch {
	case short:
		return min(own, lowestShare*all)
	case own == 0:
		return unknownRate
	}
	return own
}

// advance adds the tokens of the time passed and forgets the promises that can no longer
// be kept.
func (s *Schedule) advance(st *stream, now time.Time) {
	st.earn(now)
	for ; st.due-st.base < len(st.slots) && !st.slots[st.due-st.base].at.After(now); st.due++ {
		if !st.slots[st.due-st.base].done {
			st.waiting++
		}
	}
	for ; st.held < st.due && !st.slots[st.held-st.base].at.Add(promiseHold).After(now); st.held++ {
		if !st.slots[st.held-st.base].done {
			st.waiting--
			st.pending--
		}
	}
	n := 0
	for ; st.base < st.held && st.slots[n].at.Add(lateTolerance).Before(now); st.base++ {
		if sl := &st.slots[n]; !sl.done {
			delete(s.promises, sl.caller)
			s.count.Store(int64(len(s.promises)))
		}
		n++
	}
	if st.slots = st.slots[n:]; len(st.slots) == 0 {
		st.slots = nil
	}
}

// earn adds the tokens of the time passed.
func (st *stream) earn(now time.Time) {
	if dt := now.Sub(st.tokensAt).Seconds(); dt > 0 {
		st.tokens = min(st.tokens+dt*st.admitted(now), st.burst(now))
		st.tokensAt = now
	}
}

// Limited reports whether Arrive would refuse a new caller now. It changes nothing, so it
// counts promises as of the last request.
func (s *Schedule) Limited(now time.Time, k Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[k]
	if !ok || k.Nested {
		return false
	}
	current := *st
	current.earn(now)
	return current.limits(now) && current.tokens < current.need()
}

// need returns the number of tokens that a new caller needs.
func (st *stream) need() float64 { return 1 + float64(st.waiting) }

// release ends a promise that was kept, or whose caller was served otherwise.
func (s *Schedule) release(c Caller, p promise) {
	st := p.stream
	delete(s.promises, c)
	s.count.Store(int64(len(s.promises)))
	st.slots[p.seq-st.base].done = true
	if p.seq >= st.held {
		st.pending--
		if p.seq < st.due {
			st.waiting--
		}
	}
}

// expire forgets the promises of all streams that can no longer be kept.
func (s *Schedule) expire(now time.Time) {
	for _, st := range s.streams {
		s.advance(st, now)
	}
}

// limits reports whether new requests are limited.
func (st *stream) limits(now time.Time) bool {
	return st.pending > 0 && !st.shedAt.IsZero() && now.Sub(st.shedAt) < shedPeriod && st.servedSince < freeAfter
}

// admitted returns the requests per second that are admitted while new ones are limited.
func (st *stream) admitted(now time.Time) float64 {
	return limitExcess + limitFactor*st.served.perSecond(now)
}

// burst returns the maximum number of tokens.
func (st *stream) burst(now time.Time) float64 {
	return max(minBurst, st.admitted(now)*burstPeriod.Seconds())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
