package usage

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// readingTTL is how long the reading of a peer's clock counts. Peers exchange every
	// few seconds.
	readingTTL = 30 * time.Second
	// maxReadings bounds the peers whose readings are kept.
	maxReadings = 512
	// estimatePeriod is how long the estimate of the true time is kept.
	estimatePeriod = 500 * time.Millisecond
	// latestPeriod is the period of which the latest reading of a peer's clock counts. A
	// message that has waited, at a sender or receiver that was paused, makes the clock
	// seem late; a pause is mostly shorter.
	latestPeriod = 8 * time.Second
)

// reading is the difference of a clock to the steady clock of this daemon.
type reading struct {
	offset time.Duration
	// clocks is the number of clocks on which an estimate rests.
	clocks int
	until  time.Time
	// newest is the largest offset since began, and before that of the period before.
	newest, before time.Duration
	began          time.Time
}

// Clock estimates the true time as the median of the clocks of many daemons, since each
// may jump by seconds. Between readings it follows the steady clock. The zero value uses
// the daemon's own clock alone.
type Clock struct {
	mu sync.Mutex
	// peers holds the readings of the clocks of peers, and estimates what peers have made
	// of the clocks that they know.
	peers, estimates map[string]reading
	offset           time.Duration
	validUntil       time.Time
}

// Observe takes a reading of a peer's clock at a time of the steady clock, which may be
// later than that of the reading.
func (c *Clock) Observe(peer string, at, wall time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(&c.peers, peer, c.peers[peer].next(at, wall.Sub(at)), at)
}

// next returns the reading after one more, whose offset is too small if it has waited.
func (r reading) next(at time.Time, offset time.Duration) reading {
	age := at.Sub(r.began)
	switch {
	case r.began.IsZero() || age >= 2*latestPeriod:
		r.newest, r.before, r.began = offset, math.MinInt64, at
	case age >= latestPeriod:
		r.newest, r.before, r.began = offset, r.newest, at
	default:
		r.newest = max(r.newest, offset)
	}
	r.offset, r.until = max(r.newest, r.before), at.Add(readingTTL)
	return r
}

// ObserveEstimate takes the estimate of a peer, which rests on a number of clocks.
func (c *Clock) ObserveEstimate(peer string, at, estimate time.Time, clocks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(&c.estimates, peer, reading{offset: estimate.Sub(at), clocks: clocks, until: at.Add(readingTTL)}, at)
}

func (c *Clock) put(m *map[string]reading, peer string, r reading, now time.Time) {
	if *m == nil {
		*m = make(map[string]reading)
	}
	if _, ok := (*m)[peer]; !ok {
		// A daemon that has just started knows no other clock.
		c.validUntil = time.Time{}
		if len(*m) >= maxReadings {
			expire(*m, now)
		}
		if len(*m) >= maxReadings {
			return
		}
	}
	(*m)[peer] = r
}

func expire(m map[string]reading, now time.Time) {
	for peer, r := range m {
		if !now.Before(r.until) {
			delete(m, peer)
		}
	}
}

// Measured returns the median of the clocks that this daemon has read, with its own, and
// their number. Only this estimate is told to peers: estimates of estimates would follow
// each other.
func (c *Clock) Measured(now, wall time.Time) (estimate time.Time, clocks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	offset, clocks := c.measured(now, wall)
	return now.Add(offset), clocks
}

func (c *Clock) measured(now, wall time.Time) (offset time.Duration, clocks int) {
	expire(c.peers, now)
	list := make([]time.Duration, 1, 1+len(c.peers))
	list[0] = wall.Sub(now)
	for _, r := range c.peers {
		list = append(list, r.offset)
	}
	return median(list), len(list)
}

// Time returns the true time for a time of the steady clock; wall is the time of the
// daemon's own clock.
func (c *Clock) Time(now time.Time, wall func() time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.Before(c.validUntil) {
		c.estimate(now, wall())
		c.validUntil = now.Add(estimatePeriod)
	}
	return now.Add(c.offset)
}

// estimate uses the estimates of peers that know more clocks than this daemon.
func (c *Clock) estimate(now, wall time.Time) {
	offset, clocks := c.measured(now, wall)
	expire(c.estimates, now)
	most := 0
	for _, r := range c.estimates {
		most = max(most, r.clocks)
	}
	if most > clocks {
		var list []time.Duration
		for _, r := range c.estimates {
			// A peer that has just started knows few clocks.
			if r.clocks > clocks && 2*r.clocks >= most {
				list = append(list, r.offset)
			}
		}
		offset = median(list)
	}
	c.offset = offset
}

func median(list []time.Duration) time.Duration {
	slices.Sort(list)
	n := len(list)
	if n%2 == 1 {
		return list[n/2]
	}
	return list[n/2-1] + (list[n/2]-list[n/2-1])/2
}

// windows divides the true time.
type windows struct{ length time.Duration }

// at returns the window of a time.
func (w windows) at(t time.Time) int64 {
	n := t.UnixNano() / int64(w.length)
	if t.UnixNano() < 0 {
		return 0
	}
	return n
}

// end returns the end of a window.
func (w windows) end(id int64) time.Time { return time.Unix(0, (id+1)*int64(w.length)) }
