package retry

import "time"

const (
	// rankedSlackShare is the part of the retry slack that the bursts of all entries may
	// use. While two upstreams fail at once of which one calls the other, the calls of
	// runs repeated in a burst arrive as repeats on top of the burst of the called one,
	// and each of the two earns a quarter of its burst without requests in ten seconds.
	rankedSlackShare = 0.4
	// nestedPrecedence is how long requests of callers are not retried after a nested
	// call found too few tokens. A bucket of one or two tokens is empty most of the
	// time, so being half full does not keep enough for nested calls.
	nestedPrecedence = time.Second
)

// RequestRanked counts a new request like Request, by the rules that apply if CallRanks
// is set. repeatShare is the share of the runs of the upstream beside the daemon that are
// repeats. Calls of these runs are repeats already: they earn nothing and use up what the
// others earn, so the tokens may become negative.
func (b *Budget) RequestRanked(now time.Time, percent int, slack float64, entries int, repeatShare float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	earned := b.count(now, percent, Share(rankedSlackShare*slack, entries))
	repeatShare = min(max(repeatShare, 0), 1)
	most := b.capacity()
	b.tokens = max(min(b.tokens, -most), min(most, b.tokens+earned*(1-repeatShare)-repeatShare))
}

// takeRanked takes the tokens for a retry and reports whether there were enough. A
// request that the instance refused without running it costs one token and is no sign
// of an outage, because no work is repeated. Requests that are not nested are retried
// only while the budget is more than half full and serves all nested calls.
func (b *Budget) takeRanked(now time.Time, nested, notRun bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	cost := 1.0
	if !notRun {
		b.demands++
		cost = 1 / (1 - b.retryShare())
	}
	if !nested && (b.tokens <= b.capacity()/2 || now.Before(b.nestedRefusedAt.Add(nestedPrecedence))) {
		return false
	}
	// A cost above the capacity leaves a debt. Otherwise a small bucket would allow no
	// retry once a third of the requests fail.
	if b.tokens < min(cost, b.capacity()) {
		if nested {
			b.nestedRefusedAt = now
		}
		return false
	}
	b.tokens -= cost
	return true
}
