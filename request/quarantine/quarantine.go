// Package quarantine finds requests that crash the upstreams that run them.
//
// Each host reports the fingerprints of the requests that were in flight when
// its upstream crashed, and the completions of requests. A Set merges the
// reports of all hosts. The merge is commutative and idempotent, so reports
// may arrive late, crossed or repeatedly.
//
// A fingerprint is quarantined that was in flight at two crashes and has not
// completed anywhere since the first of them. A completion clears it, because
// a request that completes was only in flight beside the one that crashes.
// The quarantine ends at a deadline that moves further away with each crash.
//
// # Usage
//
//	var set quarantine.Set
//	set.Merge(crash)                        // own and received reports
//	set.Completed(call.Fingerprint(), now)  // after each answer
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
)

const (
	// MaxCrashes is the number of crashes that a Set remembers.
	MaxCrashes = 256
	// MaxFingerprints is the number of fingerprints kept of one crash.
	MaxFingerprints = 4096
	// KeepCrashes is how long a crash is remembered.
	KeepCrashes = 24 * time.Hour
	// MaxAhead bounds how far the time of a report may lie ahead of the own
	// clock; a report from a host with a wrong clock would never expire.
	MaxAhead = time.Minute
)

// Crash is the report of one crash.
type Crash struct {
	// ID is unique to the crash.
	ID       string
	Instance string
	At       time.Time
	// Fingerprints lists the requests in flight at the crash.
	Fingerprints []uint64
}

// Completion says when a fingerprint that was in flight at a crash completed.
type Completion struct {
	Fingerprint uint64
	At          time.Time
}

// Set holds merged crash reports. The zero value works. It is safe for
// concurrent use, and Quarantined takes no lock.
type Set struct {
	mu        sync.Mutex
	crashes   map[string]Crash
	suspects  map[uint64][]string // ids of the crashes by fingerprint
	completed map[uint64]time.Time
	blocked   atomic.Pointer[map[uint64]time.Time]
}

// Merge adds a crash report.
func (s *Set) Merge(c Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashes == nil {
		s.crashes = make(map[string]Crash)
	}
	if old, ok := s.crashes[c.ID]; ok {
		c = join(old, c)
	} else {
		c = join(c, c)
	}
	s.crashes[c.ID] = c
	s.rebuild()
}

// join is the least upper bound of two reports of the same crash.
func join(a, b Crash) Crash {
	if b.At.Before(a.At) {
		a.At = b.At
	}
	a.Instance = min(a.Instance, b.Instance)
	fps := slices.Concat(a.Fingerprints, b.Fingerprints)
	slices.Sort(fps)
	a.Fingerprints = slices.Compact(fps)
	if len(a.Fingerprints) > MaxFingerprints {
		a.Fingerprints = a.Fingerprints[:MaxFingerprints]
	}
	return a
}

// Completed clears the fingerprint of the crashes up to the given time.
func (s *Set) Completed(fingerprint uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.completed == nil {
		s.completed = make(map[uint64]time.Time)
	}
	if at.After(s.completed[fingerprint]) {
		s.completed[fingerprint] = at
	}
	if _, ok := s.suspects[fingerprint]; ok {
		s.rebuild()
	}
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
	return until, ok
}

// Crashes returns the remembered crashes, the oldest first.
func (s *Set) Crashes() []Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.SortedFunc(maps.Values(s.crashes), compare)
}

// Completions returns the completions of fingerprints of remembered crashes,
// for exchange with other hosts.
func (s *Set) Completions() []Completion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Completion
	for fp := range s.suspects {
		if at, ok := s.completed[fp]; ok {
			out = append(out, Completion{fp, at})
		}
	}
	slices.SortFunc(out, func(a, b Completion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Expire ends quarantines whose deadline has passed and forgets old crashes.
func (s *Set) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.crashes, func(_ string, c Crash) bool {
		return c.At.Before(now.Add(-KeepCrashes)) || c.At.After(now.Add(MaxAhead))
	})
	s.rebuild()
	if m := s.blocked.Load(); m != nil {
		left := maps.Clone(*m)
		maps.DeleteFunc(left, func(_ uint64, until time.Time) bool { return !now.Before(until) })
		s.blocked.Store(&left)
	}
}

func compare(a, b Crash) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
}

// rebuild derives the quarantined fingerprints.
func (s *Set) rebuild() {
	s.suspects = make(map[uint64][]string)
	blocked := make(map[uint64]time.Time)
	list := slices.SortedFunc(maps.Values(s.crashes), compare)
	for len(list) > MaxCrashes {
		delete(s.crashes, list[0].ID)
		list = list[1:]
	}
	for _, c := range list {
		for _, fp := range c.Fingerprints {
			if c.At.After(s.completed[fp]) {
				s.suspects[fp] = append(s.suspects[fp], c.ID)
				if n := len(s.suspects[fp]); n >= 2 {
					blocked[fp] = c.At.Add(term(n))
				}
			} else if s.suspects[fp] == nil {
				s.suspects[fp] = nil
			}
		}
	}
	s.blocked.Store(&blocked)
}

// term returns how long a fingerprint is quarantined after its n-th crash.
func term(n int) time.Duration {
	d := 10 * time.Minute
	for ; n > 2 && d < KeepCrashes; n-- {
		d *= 6
	}
	return min(d, KeepCrashes)
}
