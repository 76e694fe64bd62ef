package host

import (
	"fmt"
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

const (
	// capacityLogInterval is the least interval between two log lines on the learned
	// limit.
	capacityLogInterval = 5 * time.Second
	// capacityLogShare is the change of the learned limit, as a share of it, from which
	// it is logged.
	capacityLogShare = 0.25
)

// CapacityLearner is a Limiter that learns how many concurrent requests the upstream
// sustains.
type CapacityLearner interface {
	// Capacity returns the learned limit, and the answers per second at it; zero means
	// that they are not learned or not known yet.
	Capacity() (limit int, perSecond float64)
	// StartCapacity sets what peers know of both.
	StartCapacity(now time.Time, limit int, perSecond float64)
	// AnnouncedSlots returns the slots that the upstream announces.
	AnnouncedSlots() int
}

// noCapacity learns nothing.
type noCapacity struct{}

func (noCapacity) Capacity() (limit int, perSecond float64) { return 0, 0 }
func (noCapacity) StartCapacity(time.Time, int, float64)    {}
func (noCapacity) AnnouncedSlots() int                      { return 0 }

// capacityLog logs changes of the learned limit. The zero value is ready for use.
type capacityLog struct {
	mu sync.Mutex
	// logged is the limit in the last line, or the first one known.
	logged     int
	quietUntil time.Time
}

// changed reports whether a limit is to be logged, and the last one logged.
func (l *capacityLog) changed(now time.Time, limit int) (before int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before = l.logged
	if before == 0 {
		l.logged = limit
		return before, false
	}
	difference := max(limit-before, before-limit)
	if float64(difference) < capacityLogShare*float64(before) || now.Before(l.quietUntil) {
		return before, false
	}
	l.logged, l.quietUntil = limit, now.Add(capacityLogInterval)
	return before, true
}

// logCapacity logs the learned limit if it has changed.
func (h *Host) logCapacity(now time.Time) {
	limit, perSecond := h.capacity.Capacity()
	if limit == 0 {
		return
	}
	before, ok := h.capacityLog.changed(now, limit)
	if !ok {
		return
	}
	id := ""
	if t := h.target.Load(); t != nil {
		id = t.ID
	}
	h.decisions.Write("learned limit of the upstream changes", "instance", id, "limit", limit, "before", before, "perSecond", perSecond)
}

// capacityWarning describes a learned limit below the announced slots; it is empty if
// there is none.
func (h *Host) capacityWarning() string {
	limit, perSecond := h.capacity.Capacity()
	slots := h.capacity.AnnouncedSlots()
	if limit == 0 || limit >= slots {
		return ""
	}
	return fmt.Sprintf("the upstream becomes slower under load: %d of its %d slots are used, for %.1f answers per second", limit, slots, perSecond)
}

// startCapacity takes what the entry of a forwarded call knows of the capacity of the
// upstream.
func (h *Host) startCapacity(call *request.Call) {
	if call.KnownCapacity > 0 {
		h.capacity.StartCapacity(time.Now(), call.KnownLimit, call.KnownCapacity)
	}
}

// addCapacityGauges serves the learned limit and capacity; both are null if they are
// not learned.
func (h *Host) addCapacityGauges() {
	h.metrics.Gauge("host.learnedLimit", func() any {
		if limit, _ := h.capacity.Capacity(); limit > 0 {
			return limit
		}
		return nil
	})
	h.metrics.Gauge("host.capacity", func() any {
		if _, perSecond := h.capacity.Capacity(); perSecond > 0 {
			return perSecond
		}
		return nil
	})
}
