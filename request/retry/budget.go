package retry

import (
	"math"
	"sync"
	"time"
)

const (
	// maxTokens bounds the retries in a burst. An instance has about 20 slots,
	// so the crash of one instance loses about as many requests at once.
	maxTokens = 20
	// minRate is what a budget earns per second without requests, so that
	// calls of an entry with little traffic can be retried.
	minRate = 0.2
	// minTokens bounds what is earned without requests, and is the initial
	// content.
	minTokens = 3
	// maxStale bounds the refusals by leaving instances that are repeated in
	// a burst.
	maxStale = 100
	// memory is the time constant of the measured share of requests that need
	// a retry.
	memory = 5 * time.Second
)

// Budget is a token bucket of retries. It earns a share of the requests and a
// small minimum rate. The zero value works. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	started bool
	at      time.Time
	tokens  float64
	stale   float64
	// requests and wanted are decaying counts of requests and of attempts to
	// take a token.
	requests, wanted float64
}

// Request counts a new request, of which percent is earned.
func (b *Budget) Request(now time.Time, percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests++
	// The full share is earned while at most half of the requests need a
	// retry, and nothing when all do.
	failing := min(1, b.wanted/b.requests)
	share := float64(min(max(percent, 0), 100)) / 100 * min(1, 2*(1-failing))
	b.tokens = max(b.tokens, min(maxTokens, b.tokens+share))
	b.stale = min(maxStale, b.stale+1)
}

// Take takes a token, and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.wanted++
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// takeStale takes from the separate allowance for refusals by instances that
// leave. These refusals cost no upstream any work, and a planned stop must not
// fail a request because the budget is spent; one repetition per request on
// average bounds them.
func (b *Budget) takeStale(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.stale < 1 {
		return false
	}
	b.stale--
	return true
}

func (b *Budget) advance(now time.Time) {
	if !b.started {
		b.started, b.at, b.tokens = true, now, minTokens
		return
	}
	dt := now.Sub(b.at).Seconds()
	if dt <= 0 {
		return
	}
	b.at = now
	if b.tokens < minTokens {
		b.tokens = min(minTokens, b.tokens+dt*minRate)
	}
	decay := math.Exp(-dt / memory.Seconds())
	b.requests *= decay
	b.wanted *= decay
}
