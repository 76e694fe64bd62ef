package host

import "sync"

const (
	// maxOriginCalls is the number of calls after which all counts are halved, so that
	// the counts of routes and services that are gone decay.
	maxOriginCalls = 4096
	// minExpectedCalls is the number of calls that must have been expected from the
	// daemons of a service, without one being seen, before a route counts as called by
	// servers only: by chance that happens once in three million cases.
	minExpectedCalls = 15
	// minMarkedCalls is the number for the mark that entries get: by chance it is wrong
	// in one of 3,000 cases, and entries need it from two instances. After a restart of
	// all daemons, when upstreams are cold and calls fail for lack of capacity, a host
	// has it in half of the time.
	minMarkedCalls = 8
	// maxOriginRoutes bounds the routes that are counted.
	maxOriginRoutes = 256
)

// origins finds the routes that are called by servers only. Requests of callers arrive
// at the daemons of all services; calls that a server makes while it works on a request
// arrive at the daemons of its own service. The platform does not distinguish the two.
// The zero value is ready for use; it is safe for concurrent use.
type origins struct {
	mu sync.Mutex
	// calls counts the calls by route and by the service at which they originated.
	calls map[string]map[string]int
	// services holds the sums by service, and total their sum.
	services map[string]int
	total    int
}

// observe counts a call.
func (o *origins) observe(route, service string) {
	if service == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls, o.services = make(map[string]map[string]int), make(map[string]int)
	}
	byService, ok := o.calls[route]
	if !ok {
		if len(o.calls) >= maxOriginRoutes {
			return
		}
		byService = make(map[string]int)
		o.calls[route] = byService
	}
	byService[service]++
	o.services[service]++
	if o.total++; o.total >= maxOriginCalls {
		o.halve()
	}
}

func (o *origins) halve() {
	clear(o.services)
	o.total = 0
	for route, byService := range o.calls {
		for service, n := range byService {
			if n /= 2; n == 0 {
				delete(byService, service)
				continue
			}
			byService[service] = n
			o.services[service] += n
			o.total += n
		}
		if len(byService) == 0 {
			delete(o.calls, route)
		}
	}
}

// fromServersOnly reports whether the calls of a route come from servers only: none
// originated at a service at which many would have, if the route were called like the
// others.
func (o *origins) fromServersOnly(route string) bool {
	return o.expectedElsewhere(route, minExpectedCalls)
}

// mayMark reports whether the host tells entries that the calls of a route come from
// servers only.
func (o *origins) mayMark(route string) bool { return o.expectedElsewhere(route, minMarkedCalls) }

// expectedElsewhere reports whether no call of the route originated at a service at which
// at least n would have, if the route were called like the others.
func (o *origins) expectedElsewhere(route string, least int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	byService := o.calls[route]
	routeCalls := 0
	for _, n := range byService {
		routeCalls += n
	}
	otherCalls := o.total - routeCalls
	for service, n := range o.services {
		if byService[service] == 0 && n*routeCalls >= least*max(1, otherCalls) {
			return true
		}
	}
	return false
}
