package admission

import "time"

// tenantGrantInterval is the interval, in grants to waiting requests of tenants, at which
// one goes to the tenant with the fewest running requests. The grants between go by the
// order of arrival, so that a tenant with most of the load still gets a part of the slots
// in proportion to it: with nothing but equal parts, a tenant with half of the load at
// twice the capacity would be served less than a quarter as often as the others.
const tenantGrantInterval = 2

// tenantShares counts the requests of tenants. Requests without a tenant are calls of
// upstreams or on public routes; they are not counted and wait by the order of arrival.
type tenantShares struct {
	running map[string]int
	// grants counts the grants to waiting requests of tenants.
	grants int
}

func (s *tenantShares) start(tenant string) {
	if tenant == "" {
		return
	}
	if s.running == nil {
		s.running = make(map[string]int)
	}
	s.running[tenant]++
}

func (s *tenantShares) end(tenant string) {
	if tenant == "" {
		return
	}
	if s.running[tenant]--; s.running[tenant] <= 0 {
		delete(s.running, tenant)
	}
}

// sameOrder reports whether only the order of arrival decides which of two requests is
// served first.
func sameOrder(a, b *slotRequest) bool { return a.rank == b.rank }

// byTenant returns the request that is granted instead of first, which is the next one by
// the order of the queue: at some grants, one of the same order whose tenant has fewer
// running requests.
func (q *queue) byTenant(first *slotRequest) *slotRequest {
	if first.tenant == "" {
		return first
	}
	q.tenants.grants++
	if q.tenants.grants%tenantGrantInterval != 0 {
		return first
	}
	best := first
	for _, req := range q.requests {
		if req.tenant != "" && sameOrder(req, first) && q.tenants.running[req.tenant] < q.tenants.running[best.tenant] {
			best = req
		}
	}
	return best
}

// crowding returns the request that makes room for a new one: the newest of another tenant
// that has more than half of the waiting requests of the order, and two more than the
// tenant of the new one at least. It returns nil if there is none. others is the number of
// waiting requests that are not behind the new one and are not of that tenant.
func (q *queue) crowding(req *slotRequest) (newest *slotRequest, others int) {
	if req.tenant == "" {
		return nil, 0
	}
	// If a tenant has more than half, it is the candidate that remains when each request
	// is set against one of another tenant.
	candidate, votes := "", 0
	for _, r := range q.requests {
		switch {
		case !sameOrder(r, req):
		case votes == 0:
			candidate, votes = r.tenant, 1
		case r.tenant == candidate:
			votes++
		default:
			votes--
		}
	}
	if candidate == "" || candidate == req.tenant {
		return nil, 0
	}
	total, held, own := 0, 0, 0
	for _, r := range q.requests {
		if !sameOrder(r, req) {
			if r.rank > req.rank {
				others++
			}
			continue
		}
		total++
		switch r.tenant {
		case candidate:
			held++
			newest = r
		case req.tenant:
			own++
		}
	}
	if 2*held <= total || held < own+2 {
		return nil, 0
	}
	return newest, others + total - held
}

// displace refuses a waiting request of a tenant that crowds out others, in favour of req.
// It returns false if there is none, or if req could not be served in time nevertheless.
func (g *Gate) displace(now time.Time, req *slotRequest) bool {
	victim, others := g.queue.crowding(req)
	if victim == nil || g.estimateRankWait(now, req.rank, tenantGrantInterval*others) > req.deadline.Sub(now) {
		return false
	}
	g.refuse(victim, g.overloadRefusal(now))
	return true
}
