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
// errors, so errors always count; its latency is not expected to be normal.
type warmup struct {
	mu    sync.Mutex
	cold  bool
	until time.Time
}

// restarted notes a new incarnation of the upstream.
func (w *warmup) restarted(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cold, w.until = true, now.Add(startExclusion)
}

// excludes reports whether a sample that began under the given load says
// nothing about the version.
func (w *warmup) excludes(now time.Time, load request.Load, r admission.Result) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	cold := load.State == stateCold
	if cold && !w.cold {
		w.until = now.Add(fallbackExclusion)
	}
	w.cold = cold
	if r.Shed {
		// A warm upstream sheds in overload; one that sheds within the limit of
		// cold start has a fault.
		return !cold
	}
	return cold && !r.Failed && !r.Expired && now.Before(w.until)
}
