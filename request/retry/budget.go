package retry

import (
	"cmp"
	"math"
	"sync"
	"time"
)

const (
	// maxTokens bounds the retries in a burst, where operators name no number for all
	// entries. The requests that a crash of an instance fails are spread over many
	// entries, and the bursts of the entries along a chain of calls add up.
	maxTokens = 10
	// leastTokens is the least bound on a burst; below it nothing could be retried.
	leastTokens = 1
	// slackPeriod is the time in which an entry without requests earns its share of
	// what operators allow beyond the share of requests. They allow it in some ten
	// seconds; the rest is for bursts, and for the calls of requests that ran again.
	slackPeriod = 40 * time.Second
	// minRate is what a budget earns per second without requests, so that
	// calls of an entry with little traffic can be retried.
	minRate = 0.2
	// minTokens bounds what is earned without requests, and is the initial
	// content.
	minTokens = 3
	// maxStale bounds the refusals by leaving instances that are repeated in
	// a burst.
	maxStale = 100
	// fullShare of the requests must need no retry for the full earnings, so
	// the loss of one of three availability zones does not reduce them. Below
	// it the earnings fall with the square.
	fullShare = 0.6
	// The share of requests that need a retry is measured over about the last
	// memoryRequests requests, of no more than about memory. A time alone
	// would be too long for an entry with much traffic: the entries of a chain
	// would multiply their retries until they notice an outage.
	memoryRequests = 32
	memory         = 5 * time.Second
	// priorRequests are assumed to have succeeded, so that a few failures
	// after a quiet time do not look like an outage.
	priorRequests = 4
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
	// burst is what the last request named as the bound of the tokens; zero means none.
	burst float64
}

// Share returns the share of one of n entries in the retries that operators allow all
// of them beyond a share of the requests; zero means that they named no number.
func Share(slack float64, n int) float64 {
	if slack <= 0 {
		return 0
	}
	return max(leastTokens, slack/float64(max(1, n)))
}

// Request counts a new request, of which percent is earned. burst bounds the retries
// that are not earned by requests, in a burst and in slackPeriod; see Share.
func (b *Budget) Request(now time.Time, percent int, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.advance(now)
	b.requests += 1 - b.requests/memoryRequests
	b.wanted -= b.wanted / memoryRequests
	share := float64(min(max(percent, 0), 100)) / 100 * min(1, math.Pow((1-b.failing())/fullShare, 2))
	b.tokens = max(b.tokens, min(b.most(), b.tokens+share))
	b.stale = min(maxStale, b.stale+1)
}

// Take pays for a retry, and reports whether there were enough tokens.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.wanted++
	// The price is one over the chance that the retry succeeds.
	price := 1 / (1 - b.failing())
	if b.tokens < price {
		return false
	}
	b.tokens -= price
	return true
}

// failing returns the share of requests that need a retry, less than 1.
func (b *Budget) failing() float64 {
	return min(b.wanted, b.requests) / (b.requests + priorRequests)
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

// most returns the bound of the tokens.
func (b *Budget) most() float64 { return min(cmp.Or(b.burst, maxTokens), maxTokens) }

func (b *Budget) advance(now time.Time) {
	most := b.most()
	least, rate := min(minTokens, most), min(minRate, most/slackPeriod.Seconds())
	if !b.started {
		b.started, b.at, b.tokens = true, now, least
		return
	}
	dt := now.Sub(b.at).Seconds()
	if dt <= 0 {
		return
	}
	b.at = now
	if b.tokens < least {
		b.tokens = min(least, b.tokens+dt*rate)
	}
	decay := math.Exp(-dt / memory.Seconds())
	b.requests *= decay
	b.wanted *= decay
}
