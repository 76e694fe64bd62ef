package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["latestart"] = caseLateStart }

// outage is how long the store is down, and storm how long changes follow each other after
// its return.
const (
	outage     = 8 * time.Second
	startAfter = 2750 * time.Millisecond
	storm      = 5 * time.Second
	stormPause = 250 * time.Millisecond
	// rounds is the number of outages. In each a quarter of the machines is added.
	rounds, addedDivisor = 6, 4
)

// caseLateStart adds machines while the store is down, and changes the configuration after
// it has returned.
func caseLateStart(m *mesh) (v verdict, err error) {
	work := func() time.Duration { return time.Duration(20+rand.IntN(20)) * time.Millisecond }
	const first = 12
	for n := range first {
		zone := zones[n%len(zones)]
		m.addMachine(fmt.Sprintf("sidecar-%s-%d", zone, 1+n/len(zones)), zone, "catalogue", 12, work)
	}
	routes := []route{{"r-0", "hire.example", "/r0/", "catalogue", "idempotent", 1000, 250, 1}}
	m.publish(1, []string{"catalogue"}, 47, routes...)
	if err := m.startAll(); err != nil {
		return v, err
	}
	l := &log{}
	for range rounds {
		if routes, err = m.outageRound(routes, work, l); err != nil {
			return v, err
		}
	}
	m.noteAll(l)
	late, machines := 0, make(map[string]bool)
	for _, a := range l.all() {
		if a.status == 404 {
			late++
			machines[a.daemon] = true
		}
	}
	return verdict{late > 0, fmt.Sprintf("CONFIG: %d of %d requests sent later than %v after a version was acknowledged got 404 as an older version says, from %d of %d machines", late, len(l.all()), configApply, len(machines), len(m.daemons)-first)}, nil
}

// outageRound is one outage of the store with what follows. It returns the routes of the
// newest configuration.
func (m *mesh) outageRound(routes []route, work func() time.Duration, l *log) ([]route, error) {
	if m.trouble {
		m.store.setDown(true)
		m.note("the store answers 503")
	}
	time.Sleep(startAfter)
	old := len(m.daemons)
	for range old / addedDivisor {
		n := len(m.daemons)
		zone := zones[n%len(zones)]
		d, s := m.addMachine(fmt.Sprintf("sidecar-%s-%d", zone, 1+n/len(zones)), zone, "catalogue", 12, work)
		if err := s.start(d.upstream); err != nil {
			return nil, err
		}
		if err := d.writeSettings(m.store.addr()); err != nil {
			return nil, err
		}
		if err := d.start(); err != nil {
			return nil, err
		}
		m.note("%s starts", d.name)
		go s.beats(1500 * time.Millisecond)
	}
	time.Sleep(outage - startAfter)
	m.store.setDown(false)
	returned := time.Now()
	m.note("the store serves again")
	// acked holds when the version that added a route was acknowledged.
	type change struct {
		prefix string
		at     time.Time
	}
	var mu sync.Mutex
	var acked []change
	var wg sync.WaitGroup
	end := returned.Add(storm + configApply)
	for _, d := range m.daemons[old:] {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{daemon: d}
			defer c.close()
			ready := false
			for ; time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				if !ready {
					if ready = d.isReady(); ready {
						m.note("%s is ready", d.name)
					}
					continue
				}
				prefix := ""
				mu.Lock()
				for _, ch := range acked {
					if time.Since(ch.at) > configApply {
						prefix = ch.prefix
					}
				}
				mu.Unlock()
				if prefix != "" && time.Since(returned) > stableWindow {
					c.do(l, "GET", "hire.example", prefix+newID(), nil, time.Second)
				}
			}
		}()
	}
	for time.Since(returned) < storm {
		time.Sleep(stormPause)
		n := len(routes)
		r := route{fmt.Sprintf("r-%d", n), "hire.example", fmt.Sprintf("/r%d/", n), "catalogue", "idempotent", 1000, 250, 1}
		routes = append(routes, r)
		m.publish(n+1, []string{"catalogue"}, 47, routes...)
		mu.Lock()
		acked = append(acked, change{r.prefix, time.Now()})
		mu.Unlock()
	}
	wg.Wait()
	return routes, nil
}
