package entry

import (
	"sync"
	"time"
)

const (
	// nestedReports is the number of answers by which an entry decides whether only
	// upstreams call a route, and nestedReportTime is how long each counts.
	nestedReports    = 16
	nestedReportTime = 30 * time.Second
	// minMarked is the number of instances that must say so, and minMarkedShare the
	// share of the answers: a single host may be wrong.
	minMarked      = 2
	minMarkedShare = 0.75
	// callerSeenTime is how long a route is not taken for one that only upstreams call
	// after a request that the upstream beside the daemon cannot have made.
	callerSeenTime = 30 * time.Second
	// maxNestedRoutes bounds the routes that are known. Those that only upstreams call
	// are kept.
	maxNestedRoutes = 256
)

// nestedRoutes finds the routes that only upstreams call, from what the hosts of these
// routes say in their answers: they see the calls of all daemons. The zero value is
// ready for use; it is safe for concurrent use.
type nestedRoutes struct {
	mu     sync.Mutex
	routes map[string]*nestedRoute
}

type nestedRoute struct {
	reports [nestedReports]nestedReport
	next    int
	// callerUntil is until when a request of a caller counts against the reports.
	callerUntil time.Time
}

type nestedReport struct {
	instance string
	marked   bool
	until    time.Time
}

// observe takes from an answer of an instance whether only upstreams call the route.
func (n *nestedRoutes) observe(now time.Time, route, instance string, marked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, ok := n.routes[route]
	if !ok {
		if n.routes == nil {
			n.routes = make(map[string]*nestedRoute)
		}
		if len(n.routes) >= maxNestedRoutes && !n.removeUnmarked(now) {
			return
		}
		r = &nestedRoute{}
		n.routes[route] = r
	}
	if marked {
		r.forgetUnmarked(instance)
	}
	r.reports[r.next] = nestedReport{instance, marked, now.Add(nestedReportTime)}
	r.next = (r.next + 1) % nestedReports
}

// removeUnmarked removes a route whose last answer is not a valid mark, and reports whether
// there was one. Without the route, its requests are not nested either.
func (n *nestedRoutes) removeUnmarked(now time.Time) bool {
	for route, r := range n.routes {
		if last := r.reports[(r.next-1+nestedReports)%nestedReports]; !last.marked || !now.Before(last.until) {
			delete(n.routes, route)
			return true
		}
	}
	return false
}

// isNested reports whether a new request on a route is a call of the upstream beside the
// daemon; running says whether that may be making calls at all.
func (n *nestedRoutes) isNested(now time.Time, route string, running bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, ok := n.routes[route]
	if !ok {
		return false
	}
	if !running {
		r.callerUntil = now.Add(callerSeenTime)
	}
	if now.Before(r.callerUntil) {
		return false
	}
	valid, marked, instances := 0, 0, 0
	for i, p := range r.reports {
		if !now.Before(p.until) {
			continue
		}
		valid++
		if !p.marked {
			continue
		}
		marked++
		if !r.markedBefore(i, now) {
			instances++
		}
	}
	return instances >= minMarked && float64(marked) >= minMarkedShare*float64(valid)
}

// forgetUnmarked removes the reports of an instance from before it knew who calls the
// route. After a restart of all daemons they would outweigh the marks for seconds.
func (r *nestedRoute) forgetUnmarked(instance string) {
	for i := range r.reports {
		if p := &r.reports[i]; p.instance == instance && !p.marked {
			*p = nestedReport{}
		}
	}
}

// markedBefore reports whether an earlier element of the reports is a mark by the
// instance of the i-th.
func (r *nestedRoute) markedBefore(i int, now time.Time) bool {
	for _, p := range r.reports[:i] {
		if p.marked && now.Before(p.until) && p.instance == r.reports[i].instance {
			return true
		}
	}
	return false
}
