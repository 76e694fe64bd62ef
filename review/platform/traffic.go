package main

import (
	"net/http"
	"time"
)

// standardRoutes are two routes to a service, one of each kind.
func standardRoutes(service string) []configRoute {
	return []configRoute{
		{Name: "r-hh2b9wu", Host: "ficu95.example", PathPrefix: "/pufi791/", Kind: "non_idempotent", TimeoutMs: 800, SloMs: 250, Priority: 1, Service: service, Attempts: 2},
		{Name: "r-zji9n73", Host: "ficu95.example", PathPrefix: "/lohu930/", Kind: "idempotent", TimeoutMs: 1200, SloMs: 200, Priority: 2, Service: service, Attempts: 2},
	}
}

var (
	lookup  = &route{"ficu95.example", "/lohu930/", http.MethodGet, true, 1200 * time.Millisecond}
	reserve = &route{"ficu95.example", "/pufi791/", http.MethodPost, false, 1500 * time.Millisecond}
)

// startClients starts clients at each machine, half of them for each route. Closing stop
// ends them.
func (m *mesh) startClients(perMachine int) (log *attemptLog, stop chan struct{}) {
	log, stop = &attemptLog{rec: m.rec}, make(chan struct{})
	for _, mc := range m.machines {
		for i := range perMachine {
			c := &client{machine: mc, log: log}
			if i%2 == 0 {
				go c.run(lookup, 0, 60*time.Millisecond, stop)
			} else {
				go c.run(reserve, 300, 60*time.Millisecond, stop)
			}
		}
	}
	return log, stop
}
