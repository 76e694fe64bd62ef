package admission

import (
	"context"
	"math"
	"slices"
	"time"
)

// fairGrantInterval is the interval, in grants from the queue, at which the
// longest waiting request is served whatever its class. It costs higher classes
// about 6 percent under saturation and prevents the starvation of low classes.
const fairGrantInterval = 16

// minFairLimit is the least limit at which one place in the queue is reserved for
// lower classes. A shorter queue, as in cold start, is served strictly by class.
const minFairLimit = 4

// queue holds waiting requests in the order of arrival. Its length is bounded
// by the limit of one instance, about 20, so linear scans are cheap.
type queue struct {
	requests []*slotRequest
	// earliest is a lower bound of the deadlines of the requests.
	earliest time.Time
	grants   int
	refusals int
	tenants  tenantShares
}

// rank returns the position of a class in the order of refusal: lower ranks are
// refused first.
func rank(class string, shed []string) int {
	if i := slices.Index(shed, class); i >= 0 {
		return i
	}
	return len(shed)
}

func (q *queue) len() int { return len(q.requests) }

func (q *queue) push(req *slotRequest) {
	if len(q.requests) == 0 || req.deadline.Before(q.earliest) {
		q.earliest = req.deadline
	}
	q.requests = append(q.requests, req)
}

func (q *queue) remove(req *slotRequest) {
	if i := slices.Index(q.requests, req); i >= 0 {
		q.requests = slices.Delete(q.requests, i, i+1)
	}
}

// cancel removes a request that is still queued and reports whether it was.
func (q *queue) cancel(req *slotRequest) bool {
	if req.state != stateQueued {
		return false
	}
	req.state = stateEnded
	q.remove(req)
	return true
}

// await waits until a queued request is granted or refused. It reports a grant as
// true and returns a refusal as the error. When ctx ends or until is reached
// first, it returns false without an error, and the request remains queued.
func (req *slotRequest) await(ctx context.Context, until time.Time) (granted bool, err error) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case g := <-req.ready:
		if !g.Granted {
			return false, g.Refusal
		}
		return true, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	return false, nil
}

// pop removes the request that is served next.
func (q *queue) pop() *slotRequest {
	q.grants++
	best := q.requests[0]
	if q.grants%fairGrantInterval != 0 {
		for _, req := range q.requests[1:] {
			if req.rank > best.rank {
				best = req
			}
		}
	}
	best = q.byTenant(best)
	q.remove(best)
	return best
}

// ahead counts the requests that are served before a new one of the given rank.
func (q *queue) ahead(rank int) (n int) {
	for _, req := range q.requests {
		if req.rank >= rank {
			n++
		}
	}
	return n
}

// lowest returns the request that is refused first: the newest of the lowest
// rank.
func (q *queue) lowest() *slotRequest {
	low := q.requests[0]
	for _, req := range q.requests[1:] {
		if req.rank <= low.rank {
			low = req
		}
	}
	return low
}

// full reports whether the queue has no place for a request of the given rank.
// Requests of one rank leave the last place to other ranks.
func (q *queue) full(rank, limit int) bool {
	if len(q.requests) >= limit {
		return true
	}
	same := 0
	for _, req := range q.requests {
		if req.rank == rank {
			same++
		}
	}
	return limit >= minFairLimit && same >= limit-1
}

// victim returns the request to evict in favour of a new one of the given rank,
// or nil.
func (q *queue) victim(rank, limit int) *slotRequest {
	protected := q.protected(limit)
	var low *slotRequest
	same := 0
	for _, req := range q.requests {
		if req.rank == rank {
			same++
		}
		if req.rank < rank && req != protected && (low == nil || req.rank <= low.rank) {
			low = req
		}
	}
	if limit >= minFairLimit && same >= limit-1 {
		return nil
	}
	return low
}

// protected returns the longest waiting request below the highest rank in the
// queue. It is not evicted, so that a fair grant can serve it.
func (q *queue) protected(limit int) *slotRequest {
	if limit < minFairLimit {
		return nil
	}
	top := q.requests[0].rank
	for _, req := range q.requests {
		top = max(top, req.rank)
	}
	for _, req := range q.requests {
		if req.rank < top {
			return req
		}
	}
	return nil
}

// expired returns the requests whose deadline has passed.
func (q *queue) expired(now time.Time) (out []*slotRequest) {
	if len(q.requests) == 0 || now.Before(q.earliest) {
		return nil
	}
	q.earliest = time.Time{}
	for _, req := range q.requests {
		switch {
		case !now.Before(req.deadline):
			out = append(out, req)
		case q.earliest.IsZero() || req.deadline.Before(q.earliest):
			q.earliest = req.deadline
		}
	}
	return out
}

// jitter returns the next number of a sequence that covers [0, 1) evenly.
func (q *queue) jitter() float64 {
	q.refusals++
	_, frac := math.Modf(float64(q.refusals) * (math.Phi - 1))
	return frac
}
