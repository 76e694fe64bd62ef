package retry

import (
	"cmp"
	"math"
	"sync"
	"time"
)

const (
	// maxCapacity bounds the capacity of the bucket, and is the capacity if
	// operators set no slack for all entries. The requests that fail when an
	// instance crashes are spread over many entries, and the bursts of the
	// entries along a chain of calls add up.
	maxCapacity = 10
	// minCapacity is the least capacity; below it nothing could be retried.
	minCapacity = 1
	// slackPeriod is the time in which an entry without requests earns its share
	// of the retry slack. Operators allow the slack in about ten seconds; the
	// remainder is for bursts, and for the calls that repeated requests make in
	// turn.
	slackPeriod = 40 * time.Second
	// minRate is the number of tokens that a budget earns per second without
	// requests, so that an entry with little traffic can retry.
	minRate = 0.2
	// minTokens bounds the tokens earned without requests, and is the initial
	// content of the bucket.
	minTokens = 3
	// maxStaleTokens bounds the retries after stale choices in a burst; see
	// takeStale.
	maxStaleTokens = 100
	// fullEarningShare is the share of requests without a retry from which the
	// budget earns in full, so the loss of one of three availability zones does
	// not reduce the earnings. Below it the earnings fall with the square.
	fullEarningShare = 0.6
	// The share of requests that need a retry covers about the last decayRequests
	// requests, but no more than about decayTime. A time alone would react too
	// slowly at an entry with much traffic: the entries of a chain would multiply
	// their retries until they detect an outage.
	decayRequests = 32
	decayTime     = 5 * time.Second
	// priorRequests is the number of requests that are assumed to have succeeded,
	// so that a few failures after an idle time do not look like an outage.
	priorRequests = 4
)

// Budget is a token bucket for retries. It earns a share of the requests and a
// small minimum rate. The zero value is ready to use. It is safe for concurrent
// use.
type Budget struct {
	// CallRanks selects the rules of ranked.go. It must not change after the first use.
	CallRanks bool

	mu          sync.Mutex
	started     bool
	at          time.Time
	tokens      float64
	staleTokens float64
	// requests and demands are decaying counts of requests and of attempts to
	// take a token.
	requests, demands float64
	// burst is the bound of the tokens from the last call of Request; zero means
	// maxCapacity.
	burst float64
	// nestedRefusedAt is when a nested call last found too few tokens.
	nestedRefusedAt time.Time
}

// Share returns the part of the retry slack that one of n entries may use. The
// slack is the number of retries that operators allow all entries beyond a share
// of the requests; zero means that they set none.
func Share(slack float64, n int) float64 {
	if slack <= 0 {
		return 0
	}
	return max(minCapacity, slack/float64(max(1, n)))
}

// Request counts a new request, which earns up to percent hundredths of a token.
// burst bounds the tokens, and the retries that are earned without requests in
// slackPeriod; see Share.
func (b *Budget) Request(now time.Time, percent int, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	earned := b.count(now, percent, burst)
	b.tokens = max(b.tokens, min(b.capacity(), b.tokens+earned))
}

// count counts a new request and returns the part of a token that it earns. The caller
// holds mu.
func (b *Budget) count(now time.Time, percent int, burst float64) (earned float64) {
	b.burst = burst
	b.advance(now)
	b.requests += 1 - b.requests/decayRequests
	b.demands -= b.demands / decayRequests
	b.staleTokens = min(maxStaleTokens, b.staleTokens+1)
	return float64(min(max(percent, 0), 100)) / 100 * min(1, math.Pow((1-b.retryShare())/fullEarningShare, 2))
}

// Take takes the tokens for a retry and reports whether there were enough.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.demands++
	// The cost is the inverse of the probability that the retry succeeds.
	cost := 1 / (1 - b.retryShare())
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

// retryShare returns the share of requests that need a retry, less than 1.
func (b *Budget) retryShare() float64 {
	return min(b.demands, b.requests) / (b.requests + priorRequests)
}

// takeStale takes from the separate allowance for retries after a stale choice of
// an instance; see isStale. Such refusals cause no work at an upstream, and a
// planned stop must not fail a request because the budget is exhausted. The
// allowance is one retry per request on average.
func (b *Budget) takeStale(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.staleTokens < 1 {
		return false
	}
	b.staleTokens--
	return true
}

// capacity returns the maximum number of tokens.
func (b *Budget) capacity() float64 { return min(cmp.Or(b.burst, maxCapacity), maxCapacity) }

func (b *Budget) advance(now time.Time) {
	most := b.capacity()
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
	decay := math.Exp(-dt / decayTime.Seconds())
	b.requests *= decay
	b.demands *= decay
}
