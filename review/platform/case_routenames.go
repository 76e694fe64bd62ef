package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["routeNames"] = routeNames }

// routeNames: the operator moves a route to another service and adds a route, in one
// configuration that the store accepts. The name of the new route has an underscore.
func routeNames(m *mesh, trouble bool) (broken string, err error) {
	const before, after = "huvo11a", "wuno96b"
	for i, zone := range m.zones {
		for _, service := range []string{before, after} {
			mc, err := m.addMachine(service, zone)
			if err != nil {
				return "", err
			}
			if _, err := m.addServer(mc, fmt.Sprintf("i-%s-%d", service, i), "v1", time.Now(), 60*time.Millisecond, 0); err != nil {
				return "", err
			}
		}
	}
	services := []string{before, after}
	m.publish(7, services, standardRoutes(before))
	if err := m.awaitReady(time.Now().Add(20 * time.Second)); err != nil {
		return "", err
	}
	log, stop := m.startClients(4)
	time.Sleep(4 * time.Second)
	name := "book-fitting"
	if trouble {
		name = "book_fitting"
	}
	routes := standardRoutes(after)
	routes = append(routes, configRoute{
		Name: name, Host: "ficu95.example", PathPrefix: "/ruhe410/", Kind: "idempotent", TimeoutMs: 1200, SloMs: 200, Priority: 2, Service: after, Attempts: 2,
	})
	acked := m.publish(9, services, routes)
	time.Sleep(8 * time.Second)
	added := &route{"ficu95.example", "/ruhe410/", http.MethodGet, true, 1200 * time.Millisecond}
	missing := 0
	for _, mc := range m.machines {
		c := &client{machine: mc, log: log}
		if a := c.send(added, nil); a.status == http.StatusNotFound {
			missing++
		}
		c.close()
	}
	close(stop)
	time.Sleep(2 * time.Second)
	old := make(map[string]bool)
	for _, s := range m.servers {
		old[s.id] = s.service == before
	}
	byOld, byNew := 0, 0
	for _, a := range log.all() {
		if a.servedBy == "" || a.sent.Before(acked.Add(configApply)) || a.route == added {
			continue
		}
		if old[a.servedBy] {
			byOld++
		} else {
			byNew++
		}
	}
	m.rec.note("of the requests sent later than %v after the acknowledgement %d were run by the old service and %d by the new one; %d of %d machines answer 404 on the added route",
		configApply, byOld, byNew, missing, len(m.machines))
	if byOld > 0 {
		return fmt.Sprintf("%d requests were handled as only an older version allows", byOld), nil
	}
	return "", nil
}
