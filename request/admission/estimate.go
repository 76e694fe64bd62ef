package admission

import (
	"math"
	"time"
)

const (
	// minAnswers is the number of answers from which a baseline is used.
	minAnswers = 8
	// learningAnswers is the number of answers during which a new baseline may
	// rise without limit. Afterwards it rises slowly only.
	learningAnswers = 64
	// minStep is the least relative change of an estimate by one answer. The step
	// does not depend on the value, so an outlier moves the estimate no further
	// than any other answer.
	minStep = 0.02
	// minDoublingTime is the least time in which a learnt baseline can double. A
	// slow period of a few seconds does not corrupt it, and it follows a lasting
	// change within minutes.
	minDoublingTime = 30 * time.Second
	// highQuantile is the upper quantile that an estimate tracks.
	highQuantile = 0.9
)

// estimate tracks the median and a high quantile of a latency, as logarithms of
// seconds.
type estimate struct {
	n            int
	median, high quantile
	at           time.Time
}

// quantile is one streaming quantile estimate, updated in steps that do not
// depend on the size of the error.
type quantile struct {
	value float64
	// riseBudget is how far the value may still rise. It grows with time and
	// whenever the value falls.
	riseBudget float64
}

// usable reports whether the estimate has enough answers to compare others with
// it.
func (e *estimate) usable() bool { return e.n >= minAnswers }

// isSlow reports whether a latency is far above the estimate. It must also be
// above the high quantile, because on a route with a bimodal latency the higher
// mode is no sign of a cold start.
func (e *estimate) isSlow(x float64) bool {
	return e.usable() && x > e.median.value+math.Log(slowRatio) && x > e.high.value
}

// shift scales the estimate by a factor, given as its logarithm.
func (e *estimate) shift(by float64) {
	e.median.value += by
	e.high.value += by
}

// add updates the estimate with one latency. If unbounded, the rise over time is
// not limited.
func (e *estimate) add(now time.Time, x float64, unbounded bool) {
	e.n++
	if e.n == 1 {
		e.median.value, e.high.value, e.at = x, x, now
		return
	}
	earned := math.Ln2 * max(now.Sub(e.at), 0).Seconds() / minDoublingTime.Seconds()
	e.at = now
	size := max(minStep, 1/float64(e.n))
	unbounded = unbounded || e.n <= learningAnswers
	e.median.add(x, 0.5, size, earned, unbounded)
	e.high.add(x, highQuantile, size, earned, unbounded)
	e.high.value = max(e.high.value, e.median.value)
}

func (q *quantile) add(x, p, size, earned float64, unbounded bool) {
	q.riseBudget = min(q.riseBudget+earned, math.Ln2)
	if x < q.value {
		q.value -= size * (1 - p)
		q.riseBudget += size * (1 - p)
		return
	}
	up := size * p
	if !unbounded {
		up = min(up, q.riseBudget)
		q.riseBudget -= up
	}
	q.value += up
}
