// Package timeline keeps the events of a daemon and merges those of several
// daemons into one order.
//
// Each event carries the value of a hybrid logical clock: wall time that never goes
// backwards and advances past every clock value received from a peer, with a counter
// for events of the same nanosecond. An event that was caused by another therefore
// sorts after it, whatever the clock skew between the daemons.
//
// # Usage
//
//	var tl timeline.Timeline
//	tl.Name, tl.Zone = "daemon-1", "nl-west-a"
//	tl.Add(time.Now(), timeline.KindVersion, 42, "version 42 is in force")
//	merged := timeline.Merge(tl.Events(time.Time{}, 100), other)
package timeline

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode"
)

// Capacity is the number of events that a daemon keeps.
const Capacity = 4096

// MaxAhead bounds how far the clock of a peer may be ahead of the local clock.
const MaxAhead = time.Minute

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	KindStart      Kind = "start"
	KindStop       Kind = "stop"
	KindVersion    Kind = "version"
	KindRefused    Kind = "refused"
	KindPreset     Kind = "preset"
	KindZone       Kind = "zone"
	KindMove       Kind = "move"
	KindMember     Kind = "member"
	KindUpstream   Kind = "upstream"
	KindQuarantine Kind = "quarantine"
	KindLog        Kind = "log"
	KindPause      Kind = "pause"
	KindUsage      Kind = "usage"
)

// Time is a hybrid logical clock value.
type Time struct {
	Wall    time.Time `json:"wall"`
	Logical uint32    `json:"logical"`
}

// Compare orders two clock values.
func (t Time) Compare(u Time) int {
	return cmp.Or(t.Wall.Compare(u.Wall), cmp.Compare(t.Logical, u.Logical))
}

// Event is one entry of the timeline.
type Event struct {
	Time    Time   `json:"time"`
	Daemon  string `json:"daemon"`
	Zone    string `json:"zone"`
	Kind    Kind   `json:"kind"`
	Version int64  `json:"version,omitempty"`
	Detail  string `json:"detail"`
}

// Timeline holds the latest events of one daemon; the zero value is empty and
// ready for use.
type Timeline struct {
	// Name and Zone identify the daemon in its events.
	Name, Zone string
	// Notify is called with each new event; it may be nil and must not block.
	Notify func(Event)

	mu      sync.Mutex
	last    Time
	events  []Event
	changed chan struct{}
}

// Observe advances the clock past a value received from a peer. It ignores a value that
// is more than MaxAhead after the local wall time, since one wrong clock would otherwise
// advance the clocks of all daemons.
func (t *Timeline) Observe(now, remote time.Time) {
	if remote.Sub(now) > MaxAhead {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if remote.After(t.last.Wall) {
		t.last = Time{Wall: remote}
	}
}

// Now advances the clock and returns its wall time, to be sent to peers.
func (t *Timeline) Now(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	return t.last.Wall
}

func (t *Timeline) advance(now time.Time) {
	now = now.Round(0)
	if now.After(t.last.Wall) {
		t.last = Time{Wall: now}
		return
	}
	t.last.Logical++
}

// Add appends an event that happened at the given time. It escapes control characters,
// which names from elsewhere may contain, so that an event stays one line.
func (t *Timeline) Add(now time.Time, kind Kind, version int64, detail string) {
	if strings.ContainsFunc(detail, unicode.IsControl) {
		quoted := strconv.Quote(detail)
		detail = quoted[1 : len(quoted)-1]
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	t.events = append(t.events, Event{
		Time: t.last, Daemon: t.Name, Zone: t.Zone, Kind: kind, Version: version, Detail: detail,
	})
	if n := len(t.events) - Capacity; n > 0 {
		t.events = slices.Delete(t.events, 0, n)
	}
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	if t.Notify != nil {
		t.Notify(t.events[len(t.events)-1])
	}
}

// Events returns at most limit events after the given time, oldest first.
func (t *Timeline) Events(after time.Time, limit int) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Event
	for _, e := range t.events {
		if e.Time.Wall.After(after) && len(out) < limit {
			out = append(out, e)
		}
	}
	return out
}

// Since returns the events after the given clock value and a channel that is
// closed at the next event.
func (t *Timeline) Since(after Time) ([]Event, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	i, _ := slices.BinarySearchFunc(t.events, after, func(e Event, u Time) int {
		if e.Time.Compare(u) <= 0 {
			return -1
		}
		return 1
	})
	return slices.Clone(t.events[i:]), t.changed
}

// Merge returns the events of several daemons in one order.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Daemon, b.Daemon))
	})
	return all
}
