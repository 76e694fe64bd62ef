package host

import (
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
)

const (
	// startExclusion is how long after the start of an upstream its latency in
	// cold start is not compared with that of other versions. It applies from the
	// first answer with a rate limit too.
	startExclusion = time.Minute
	// fallbackExclusion is the same after a fallback into cold start. It is
	// short, since a version that slows down looks like a fallback at first.
	fallbackExclusion = 10 * time.Second
)

// States of a load report.
const (
	stateWarm = "warm"
	// StateCold is the state in cold start.
	StateCold = "cold"
	// stateLimited is the state while the upstream names a rate limit.
	stateLimited = "limited"
)

// warmup decides which samples say nothing about the version of an upstream.
// Within the limit of cold start an upstream is expected to answer without
// errors, so its answers count, but not their latency. If they did not count at
// all, a version whose errors keep it cold could not be judged, and a good one
// with a small share would not collect evidence.
type warmup struct {
	mu           sync.Mutex
	cold         bool
	untimedUntil time.Time
	// limited is set while the upstream names a rate limit. Until limitedUntimedUntil,
	// its latency says that it is in need, not that its version is slow.
	limited             bool
	limitedUntimedUntil time.Time
}

// restarted starts the exclusion of latencies for a new incarnation of the upstream.
func (w *warmup) restarted(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cold, w.untimedUntil = true, now.Add(startExclusion)
}

// classify reports whether a sample that began under the given load says nothing about
// the version, and whether its latency says nothing about it.
func (w *warmup) classify(now time.Time, load request.Load, r admission.Result) (excluded, untimed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cold := load.State == StateCold
	if cold && !w.cold {
		w.untimedUntil = now.Add(fallbackExclusion)
	}
	w.cold = cold
	limited := load.RateLimit > 0
	if limited && !w.limited {
		w.limitedUntimedUntil = now.Add(startExclusion)
	}
	w.limited = limited
	untimed = cold && now.Before(w.untimedUntil) || limited && now.Before(w.limitedUntimedUntil)
	// A warm upstream sheds in overload; one that sheds within the limit of cold
	// start has a fault.
	return r.Shed && !cold, untimed
}
