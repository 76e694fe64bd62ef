package host

import "sync"

const (
	// originsKept is the number of calls after which all counts are halved, so that
	// routes and services that are gone fade.
	originsKept = 4096
	// originsExpected is the number of calls that must have been expected of the
	// machines of a service, and not have come, before a route counts as one of
	// servers: by chance that happens once in three million cases.
	originsExpected = 15
	// maxOriginRoutes bounds the routes that are counted.
	maxOriginRoutes = 256
)

// origins learns which routes are called by servers alone. Requests of callers begin
// on machines of all services, as they come; calls that a server makes while it works
// on a request begin beside servers of its service. The platform does not tell them
// apart. The zero value is ready for use; it is safe for concurrent use.
type origins struct {
	mu sync.Mutex
	// calls counts them by route and by the service beside which they began.
	calls map[string]map[string]int
	// services holds the sums by service, and total their sum.
	services map[string]int
	total    int
}

// learn counts a call.
func (o *origins) learn(route, service string) {
	if service == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls, o.services = make(map[string]map[string]int), make(map[string]int)
	}
	by, ok := o.calls[route]
	if !ok {
		if len(o.calls) >= maxOriginRoutes {
			return
		}
		by = make(map[string]int)
		o.calls[route] = by
	}
	by[service]++
	o.services[service]++
	if o.total++; o.total >= originsKept {
		o.halve()
	}
}

func (o *origins) halve() {
	clear(o.services)
	o.total = 0
	for route, by := range o.calls {
		for service, n := range by {
			if n /= 2; n == 0 {
				delete(by, service)
				continue
			}
			by[service] = n
			o.services[service] += n
			o.total += n
		}
		if len(by) == 0 {
			delete(o.calls, route)
		}
	}
}

// ofServers reports whether the calls of a route come from servers alone: none has
// begun beside a service beside which many would have, were they like the others.
func (o *origins) ofServers(route string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	by := o.calls[route]
	own := 0
	for _, n := range by {
		own += n
	}
	others := o.total - own
	for service, n := range o.services {
		if by[service] == 0 && n*own >= originsExpected*max(1, others) {
			return true
		}
	}
	return false
}
