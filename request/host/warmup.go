package host

import (
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
)

const (
	// startExclusion is how long after the start of an upstream its latency in
	// cold start is not compared with that of other versions.
	startExclusion = time.Minute
	// fallbackExclusion is the same after a fallback into cold start. It is
	// short, since a version that slows down looks like a fallback at first.
	fallbackExclusion = 10 * time.Second
	// stateCold is the state of a load report in cold start.
	stateCold = "cold"
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
	cold := load.State == stateCold
	if cold && !w.cold {
		w.untimedUntil = now.Add(fallbackExclusion)
	}
	w.cold = cold
	// A warm upstream sheds in overload; one that sheds within the limit of cold
	// start has a fault.
	return r.Shed && !cold, cold && now.Before(w.untimedUntil)
}
