// Package quarantine detects requests that crash the upstreams that run them.
//
// Each host reports the fingerprints of the requests that were in flight when its
// upstream crashed, and the completions of requests. A Set merges the reports of
// all hosts. The merge is commutative and idempotent, so reports may arrive late,
// out of order or repeatedly.
//
// A fingerprint is quarantined if it was in flight at two crashes and has not
// completed anywhere since the first of them. A completion clears it of the
// earlier crashes, because a request that completes was merely in flight at the
// same time as the one that crashes the upstream.
//
// A fingerprint contains the caller, because a request may crash upstreams for one caller
// and complete for another. A completion therefore clears only the caller's own request.
// The same request is quarantined for all callers if it was in flight at two crashes
// that no single caller explains, and has not completed for any caller since.
//
// A frequent request may be in flight at two crashes by chance, and the report of
// its next completion may still be in transit. Therefore a request that completed
// within the minute before its first crash is quarantined only 3 seconds after
// the second. Any other request is quarantined immediately.
//
// The quarantine ends at a deadline: 5 minutes after the second crash, an hour
// after the third, 12 hours after the fourth and a day after any further one.
// Another request that was in flight at both crashes by chance, and that could
// not complete because it is quarantined, is thus refused for the first term
// only.
//
// # Usage
//
//	var set quarantine.Set
//	set.Merge(crash)                        // own and received reports
//	set.Completed(call.Fingerprint(), now)  // after each answer
//	for _, c := range received.Completions {
//		set.Completed(c.Fingerprint, c.At)
//	}
//	if set.Quarantined(call.Fingerprint()) {
//		// refuse as notRun
//	}
//	set.Expire(now)                         // once a second
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/version/config"
)

const (
	// KeepCrashes is how long a crash is retained. It is longer than the longest
	// quarantine, so that a crash after the quarantine adds to the earlier ones.
	KeepCrashes = 25 * time.Hour
	// MaxCrashes is the maximum number of crashes that a Set retains. On an
	// ordinary day fewer than 30 instances of the whole fleet fail, but a bad
	// version may crash many.
	MaxCrashes = 1024
	// MaxFingerprints bounds the fingerprints of one crash, by the requests
	// that an instance may have in flight.
	MaxFingerprints = config.MaxSlots
	// maxTotal bounds the fingerprints of all retained crashes.
	maxTotal = 10 * MaxFingerprints
	// MaxAhead bounds how far the time of a report may be ahead of the local
	// clock. The report of a host with a wrong clock might otherwise never
	// expire.
	MaxAhead = time.Minute
	// maxRecent bounds each of two generations of completions that are retained
	// in case a later crash report contains their fingerprint, two for each
	// request. At 260 calls per second and daemon they cover more than half a
	// minute, which is how late a report may arrive without a completed request
	// being quarantined.
	maxRecent = 16384
)

const (
	// knownGoodPeriod is the time before the first crash in which a completion
	// shows that a request is in use and does not generally crash its upstream.
	knownGoodPeriod = time.Minute
	// knownGoodDelay delays the quarantine of a request that is known good, so
	// that reports of completions on other hosts can arrive first. It covers the
	// exchange of reports, which takes about two seconds.
	knownGoodDelay = 3 * time.Second
)

// quarantineTerms are the lengths of the quarantine after the second and further crashes.
var quarantineTerms = []time.Duration{5 * time.Minute, time.Hour, 12 * time.Hour, 24 * time.Hour}

// Crash is the report of one crash.
type Crash struct {
	// ID is unique to the crash. All reports of one crash carry the same ID.
	ID       string
	Instance string
	At       time.Time
	// Fingerprints lists the requests in flight at the crash.
	Fingerprints []uint64
}

// Completion is the last known completion of a fingerprint that was in flight
// at a crash.
type Completion struct {
	Fingerprint uint64
	At          time.Time
}

// Set holds merged crash reports. The zero value is ready to use. It is safe for
// concurrent use, and Quarantined takes no lock.
type Set struct {
	mu      sync.Mutex
	crashes map[string]Crash
	// suspects holds the fingerprints of the crashes and their requestKeys.
	suspects map[uint64]*suspect
	// recent and older hold completions of fingerprints that are not suspects.
	recent, older map[uint64]time.Time
	// now is the latest time given to Expire.
	now time.Time
	// pending holds suspects whose quarantine begins after now.
	pending map[uint64]bool
	blocked atomic.Pointer[map[uint64]time.Time]
}

// requestKey returns the key of the same request of any caller.
func requestKey(fingerprint uint64) uint64 { return fingerprint &^ request.CallerBits }

// keys returns the fingerprints of a crash and their requestKeys. Those of a requestKey are
// its fingerprints: one for each caller whose request was in flight.
func (c Crash) keys() map[uint64][]uint64 {
	m := make(map[uint64][]uint64)
	for _, fp := range c.Fingerprints {
		key := requestKey(fp)
		m[key] = append(m[key], fp)
		if fp != key {
			m[fp] = nil
		}
	}
	return m
}

// suspect is the state of a fingerprint, or of a requestKey, that was in flight at a
// retained crash.
type suspect struct {
	crashes   []incident
	completed time.Time
}

// incident is one crash at which a suspect was in flight.
type incident struct {
	id string
	at time.Time
	// fingerprints lists the fingerprints of a requestKey that were in flight, one for
	// each caller; it is empty for a fingerprint.
	fingerprints []uint64
}

// add adds a crash, or replaces what is known of it.
func (p *suspect) add(in incident) {
	p.crashes = slices.DeleteFunc(p.crashes, func(old incident) bool { return old.id == in.id })
	p.crashes = append(p.crashes, in)
}

// uncleared returns the crashes after the last completion, the earliest first.
func (p *suspect) uncleared() (list []incident) {
	for _, in := range p.crashes {
		if in.at.After(p.completed) {
			list = append(list, in)
		}
	}
	slices.SortFunc(list, func(a, b incident) int { return a.at.Compare(b.at) })
	return list
}

// explainedByCaller reports whether the request of one known caller was in flight at all of
// the crashes.
func explainedByCaller(list []incident) bool {
	return slices.ContainsFunc(list[0].fingerprints, func(fp uint64) bool {
		return fp != requestKey(fp) && !slices.ContainsFunc(list, func(in incident) bool { return !slices.Contains(in.fingerprints, fp) })
	})
}

// term returns when the quarantine of the suspect with the given key begins and ends. It
// begins immediately if from is zero, and there is none if until is zero.
func (p *suspect) term(key uint64) (from, until time.Time) {
	list := p.uncleared()
	if len(list) < 2 || key == requestKey(key) && explainedByCaller(list) {
		return from, until
	}
	if list[0].at.Sub(p.completed) < knownGoodPeriod {
		from = list[1].at.Add(knownGoodDelay)
	}
	return from, list[len(list)-1].at.Add(quarantineTerms[min(len(list)-2, len(quarantineTerms)-1)])
}

// Merge adds a crash report. A report of a known crash is joined with the earlier
// ones.
func (s *Set) Merge(c Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.now.IsZero() && (c.At.After(s.now.Add(MaxAhead)) || c.At.Before(s.now.Add(-KeepCrashes))) {
		return
	}
	old, known := s.crashes[c.ID]
	if !known {
		old = c
	}
	c = joinReports(old, c)
	if known && c.At.Equal(old.At) && c.Instance == old.Instance && len(c.Fingerprints) == len(old.Fingerprints) {
		return
	}
	if s.crashes == nil {
		s.crashes = make(map[string]Crash)
		s.suspects = make(map[uint64]*suspect)
		s.pending = make(map[uint64]bool)
	}
	s.crashes[c.ID] = c
	keys := c.keys()
	for key, fingerprints := range keys {
		p := s.suspects[key]
		if p == nil {
			p = &suspect{completed: s.lastCompletion(key)}
			s.suspects[key] = p
		}
		p.add(incident{c.ID, c.At, fingerprints})
	}
	s.enforceLimits()
	s.publish(slices.Collect(maps.Keys(keys))...)
}

// joinReports returns the join of two reports of one crash: the earlier time and
// the union of the fingerprints, up to MaxFingerprints.
func joinReports(a, b Crash) Crash {
	if b.At.Before(a.At) {
		a.At = b.At
	}
	a.Instance = min(a.Instance, b.Instance)
	a.Fingerprints = slices.Concat(a.Fingerprints, b.Fingerprints)
	slices.Sort(a.Fingerprints)
	a.Fingerprints = slices.Compact(a.Fingerprints)
	if len(a.Fingerprints) > MaxFingerprints {
		a.Fingerprints = a.Fingerprints[:MaxFingerprints]
	}
	return a
}

// Completed records a completion, which clears the fingerprint of the crashes up
// to the given time. It returns the number of crashes of which it is cleared now.
func (s *Set) Completed(fingerprint uint64, at time.Time) (cleared int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cleared = s.complete(fingerprint, at)
	if key := requestKey(fingerprint); key != fingerprint {
		s.complete(key, at)
	}
	return cleared
}

// complete records the completion of a fingerprint or a requestKey.
func (s *Set) complete(key uint64, at time.Time) (cleared int) {
	p := s.suspects[key]
	if p == nil {
		s.rememberCompletion(key, at)
		return 0
	}
	if !at.After(p.completed) {
		return 0
	}
	for _, in := range p.crashes {
		if in.at.After(p.completed) && !in.at.After(at) {
			cleared++
		}
	}
	p.completed = at
	if _, blocked := (*s.blocked.Load())[key]; blocked || s.pending[key] {
		s.publish(key)
	}
	return cleared
}

// Quarantined reports whether the fingerprint must not run.
func (s *Set) Quarantined(fingerprint uint64) bool {
	_, ok := s.Until(fingerprint)
	return ok
}

// Until returns the deadline of the quarantine of a fingerprint.
func (s *Set) Until(fingerprint uint64) (until time.Time, ok bool) {
	m := s.blocked.Load()
	if m == nil {
		return time.Time{}, false
	}
	until, ok = (*m)[fingerprint]
	if shared, blocked := (*m)[requestKey(fingerprint)]; blocked && shared.After(until) {
		return shared, true
	}
	return until, ok
}

// Blocked returns the quarantined fingerprints and the deadlines of their quarantines. One
// without request.CallerBits is quarantined for all callers. The map must not be modified.
func (s *Set) Blocked() map[uint64]time.Time {
	if m := s.blocked.Load(); m != nil {
		return *m
	}
	return nil
}

// Crashes returns the retained crashes, the oldest first. The caller must not
// modify their fingerprints.
func (s *Set) Crashes() []Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.SortedFunc(maps.Values(s.crashes), compareCrashes)
}

// Completions returns the completions of fingerprints that were in flight at
// retained crashes, for exchange with other hosts. That of a request by a caller that was
// not in flight has no request.CallerBits.
func (s *Set) Completions() []Completion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Completion
	newest := make(map[uint64]time.Time)
	for fp, p := range s.suspects {
		if key := requestKey(fp); fp != key && !p.completed.IsZero() {
			out = append(out, Completion{fp, p.completed})
			newest[key] = later(newest[key], p.completed)
		}
	}
	for key, p := range s.suspects {
		if key == requestKey(key) && p.completed.After(newest[key]) {
			out = append(out, Completion{key, p.completed})
		}
	}
	slices.SortFunc(out, func(a, b Completion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Expire ends the quarantines whose deadline has passed, starts those whose delay
// has passed, and removes old crashes.
func (s *Set) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.now) {
		s.now = now
	}
	for _, c := range s.crashes {
		if c.At.Before(s.now.Add(-KeepCrashes)) || c.At.After(s.now.Add(MaxAhead)) {
			s.forget(c)
		}
	}
	s.publish(slices.Collect(maps.Keys(s.pending))...)
}

// enforceLimits removes the oldest crashes beyond the limits.
func (s *Set) enforceLimits() {
	total := 0
	for _, c := range s.crashes {
		total += len(c.Fingerprints)
	}
	for len(s.crashes) > MaxCrashes || total > maxTotal {
		oldest := slices.MinFunc(slices.Collect(maps.Values(s.crashes)), compareCrashes)
		total -= len(oldest.Fingerprints)
		s.forget(oldest)
	}
}

// forget removes a crash and updates its suspects and their quarantine.
func (s *Set) forget(c Crash) {
	delete(s.crashes, c.ID)
	keys := c.keys()
	for key := range keys {
		p := s.suspects[key]
		p.crashes = slices.DeleteFunc(p.crashes, func(in incident) bool { return in.id == c.ID })
		if len(p.crashes) == 0 {
			delete(s.suspects, key)
			if !p.completed.IsZero() {
				s.rememberCompletion(key, p.completed)
			}
		}
	}
	s.publish(slices.Collect(maps.Keys(keys))...)
}

func compareCrashes(a, b Crash) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
}

// publish recomputes the quarantine of the given keys, and removes all whose deadline has
// passed.
func (s *Set) publish(keys ...uint64) {
	next := make(map[uint64]time.Time)
	if m := s.blocked.Load(); m != nil {
		maps.Copy(next, *m)
	}
	for _, key := range keys {
		delete(next, key)
		delete(s.pending, key)
		p := s.suspects[key]
		if p == nil {
			continue
		}
		switch from, until := p.term(key); {
		case until.IsZero():
		case s.now.Before(from):
			s.pending[key] = true
		default:
			next[key] = until
		}
	}
	maps.DeleteFunc(next, func(_ uint64, until time.Time) bool { return !s.now.Before(until) })
	s.blocked.Store(&next)
}

// rememberCompletion retains a completion in case a late crash report contains
// its fingerprint.
func (s *Set) rememberCompletion(key uint64, at time.Time) {
	if !at.After(s.lastCompletion(key)) {
		return
	}
	if len(s.recent) >= maxRecent || s.recent == nil {
		s.older, s.recent = s.recent, make(map[uint64]time.Time)
	}
	s.recent[key] = at
}

func (s *Set) lastCompletion(key uint64) time.Time { return later(s.recent[key], s.older[key]) }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
