package returns

import (
	"math"
	"time"
)

const (
	// rateDecay is the time constant of the rate at which requests are served. At an
	// entry with four answers a second, a constant of one second makes the rate vary
	// by more than a third.
	rateDecay = 2 * time.Second
	// minRateAge bounds the divisor of a rate that has just begun to be measured.
	minRateAge = 500 * time.Millisecond
	// relearnAfter is the time without an answer after which the rate is unknown and
	// is measured anew: the requests paused, which says nothing about the capacity.
	relearnAfter = 5 * time.Second
)

// rate is the smoothed rate of events. The zero value has seen none.
type rate struct {
	// count is the decaying number of events as of at, the time of the last one.
	count float64
	at    time.Time
	// since is when the measurement began.
	since time.Time
}

func (r *rate) add(now time.Time) {
	idle := now.Sub(r.at)
	if r.at.IsZero() || idle > relearnAfter {
		*r = rate{count: 1, at: now, since: now}
		return
	}
	r.count = r.count*decayed(idle) + 1
	r.at = now
}

// perSecond returns the events per second, or zero if the rate is unknown.
func (r *rate) perSecond(now time.Time) float64 {
	idle := now.Sub(r.at)
	if r.at.IsZero() || idle > relearnAfter {
		return 0
	}
	// A measurement that is younger than the time constant covers only its own age.
	covered := 1 - decayed(max(now.Sub(r.since), minRateAge))
	return r.count * decayed(idle) / (covered * rateDecay.Seconds())
}

func decayed(d time.Duration) float64 { return math.Exp(-max(0, d.Seconds()) / rateDecay.Seconds()) }
