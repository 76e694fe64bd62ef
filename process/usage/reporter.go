package usage

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxSends bounds the reports in flight.
	maxSends = 4
	// sendTimeout bounds the wait for an answer of the usage service, which may be slow.
	sendTimeout = 4 * time.Second
	// retryMin and retryMax bound the pause before a report is repeated.
	retryMin = 200 * time.Millisecond
	retryMax = 2 * time.Second
	// paceReserve spaces the calls to the usage service more than its limit asks, since
	// they do not arrive as evenly as they are sent.
	paceReserve = 1.25
)

// reporter decides when which report is sent. It is pure code; the zero value has no limit.
type reporter struct {
	perSecond float64
	tries     map[int64]*try
	inFlight  int
	// next is the time before which no report is sent.
	next time.Time
}

// try is what is known of the report of a window.
type try struct {
	inFlight bool
	pause    time.Duration
	next     time.Time
}

// start returns the next report that is to be sent now. Otherwise it returns the time at
// which one is, if that is known.
func (r *reporter) start(now time.Time, pending []WindowCounts) (w WindowCounts, at time.Time, ok bool) {
	r.forget(pending)
	if r.inFlight >= maxSends {
		return w, at, false
	}
	for _, w := range pending {
		t := r.tries[w.Window]
		if t != nil && t.inFlight {
			continue
		}
		due := r.next
		if t != nil && t.next.After(due) {
			due = t.next
		}
		if now.Before(due) {
			if at.IsZero() || due.Before(at) {
				at = due
			}
			continue
		}
		if t == nil {
			t = new(try)
			if r.tries == nil {
				r.tries = make(map[int64]*try)
			}
			r.tries[w.Window] = t
		}
		t.inFlight = true
		r.inFlight++
		if r.perSecond > 0 {
			r.next = now.Add(time.Duration(paceReserve * float64(time.Second) / r.perSecond))
		}
		return w, at, true
	}
	return w, at, false
}

// done takes the end of a report that was sent. rnd is between 0 and 1.
func (r *reporter) done(now time.Time, window int64, accepted bool, rnd float64) {
	t := r.tries[window]
	if t == nil || !t.inFlight {
		return
	}
	t.inFlight = false
	r.inFlight--
	if accepted {
		delete(r.tries, window)
		return
	}
	t.pause = min(max(2*t.pause, retryMin), retryMax)
	t.next = now.Add(t.pause + time.Duration(rnd*float64(t.pause)/2))
}

// forget drops the windows that are no longer pending: reports given up, or settled by
// another daemon. One that is in flight is dropped after its end.
func (r *reporter) forget(pending []WindowCounts) {
	maps.DeleteFunc(r.tries, func(window int64, t *try) bool {
		return !t.inFlight && !slices.ContainsFunc(pending, func(w WindowCounts) bool { return w.Window == window })
	})
}
