package admission

import (
	"math"
	"time"
)

const (
	// fewAnswers do not make a baseline.
	fewAnswers = 8
	// manyAnswers end the first learning, after which a baseline rises only
	// slowly.
	manyAnswers = 64
	// minStep is the least relative change of an estimate by one answer. A
	// single extreme value moves it no further than any other value.
	minStep = 0.02
	// doubling is the least time in which a learnt baseline doubles. A slow
	// period of a few seconds cannot spoil it, and a lasting change is
	// followed within minutes.
	doubling = 30 * time.Second
	// highQuantile is the upper quantile that an estimate follows.
	highQuantile = 0.9
)

// estimate follows the median and a high quantile of a latency, in logarithmic
// seconds.
type estimate struct {
	n            int
	median, high quantile
	at           time.Time
}

// quantile is one quantile, followed by steps of fixed size.
type quantile struct {
	value float64
	// rise is how far the value may still rise. It grows with time and when
	// the value sinks.
	rise float64
}

// settled reports whether there were enough answers to judge others.
func (e *estimate) settled() bool { return e.n >= fewAnswers }

// isSlow reports whether a latency is far above the estimate. It must also lie
// above the high quantile, because on a route with two usual latencies the
// larger one is no sign of a cold start.
func (e *estimate) isSlow(x float64) bool {
	return e.settled() && x > e.median.value+math.Log(slowRatio) && x > e.high.value
}

// shift moves the estimate by a logarithmic factor.
func (e *estimate) shift(by float64) {
	e.median.value += by
	e.high.value += by
}

// add learns one latency. A free estimate rises without a bound in time.
func (e *estimate) add(now time.Time, x float64, free bool) {
	e.n++
	if e.n == 1 {
		e.median.value, e.high.value, e.at = x, x, now
		return
	}
	earned := math.Ln2 * max(now.Sub(e.at), 0).Seconds() / doubling.Seconds()
	e.at = now
	size := max(minStep, 1/float64(e.n))
	free = free || e.n <= manyAnswers
	e.median.add(x, 0.5, size, earned, free)
	e.high.add(x, highQuantile, size, earned, free)
	e.high.value = max(e.high.value, e.median.value)
}

func (q *quantile) add(x, p, size, earned float64, free bool) {
	q.rise = min(q.rise+earned, math.Ln2)
	if x < q.value {
		q.value -= size * (1 - p)
		q.rise += size * (1 - p)
		return
	}
	up := size * p
	if !free {
		up = min(up, q.rise)
		q.rise -= up
	}
	q.value += up
}
