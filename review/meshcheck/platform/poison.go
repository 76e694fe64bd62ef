package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// stableWindow is stableWindowMs of the small deployments.
const stableWindow = 3 * time.Second

func init() { cases["poison"] = casePoison }

// casePoison sends a request that crashes each server that runs it. Other callers send
// requests with the same path, which do no harm.
func casePoison(m *mesh) (v verdict, err error) {
	work := func() time.Duration { return time.Duration(40+rand.IntN(40)) * time.Millisecond }
	const path, crasher = "/lookup/robes/17/", "fitting"
	for _, zone := range zones {
		m.addMachine("sidecar-"+zone+"-1", zone, "catalogue", 12, work)
	}
	for _, zone := range zones {
		m.addMachine("sidecar-"+zone+"-2", zone, crasher, 12, work)
	}
	var mu sync.Mutex
	var crashes []time.Time
	for i, s := range m.servers[:len(zones)] {
		s.fatal = func(r *run) bool { return m.trouble && r.path == path && r.caller == crasher }
		s.onCrash = func() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			m.note("server %s crashes, the crash is number %d", s.name(), len(crashes))
			mu.Unlock()
			time.Sleep(2 * time.Second)
			if err := s.restart(m.daemons[i].upstream); err != nil {
				m.note("server of %s could not start: %v", m.daemons[i].name, err)
				return
			}
			m.note("server %s is back beside %s", s.name(), m.daemons[i].name)
		}
	}
	m.publish(7, []string{"catalogue", crasher}, 47,
		route{"r-lookup", "hire.example", "/lookup/", "catalogue", "idempotent", 1000, 200, 2},
		route{"r-reserve", "hire.example", "/reserve/", "catalogue", "non_idempotent", 1000, 250, 1})
	if err := m.startAll(); err != nil {
		return v, err
	}
	l, poison := &log{}, &log{}
	var wg sync.WaitGroup
	var end atomic.Bool
	load := func(d *daemon, method, p string, every time.Duration, l *log) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{daemon: d}
			defer c.close()
			for !end.Load() {
				next := p
				if p == "/reserve/" {
					next += newID()
				}
				c.do(l, method, "hire.example", next, nil, 1200*time.Millisecond)
				time.Sleep(every)
			}
		}()
	}
	for _, d := range m.daemons[:len(zones)] {
		load(d, "GET", path, 200*time.Millisecond, l)
		for range 3 {
			load(d, "POST", "/reserve/", 100*time.Millisecond, l)
		}
	}
	time.Sleep(3 * time.Second)
	// The same request comes again, at any machine of its caller.
	for n := range 40 {
		c := &client{daemon: m.daemons[len(zones)+n%len(zones)]}
		c.do(poison, "GET", "hire.example", path, nil, 1200*time.Millisecond)
		c.close()
		time.Sleep(time.Second)
	}
	end.Store(true)
	wg.Wait()
	m.noteAll(l)
	m.note("requests of %s:", crasher)
	m.noteAttempts(poison)
	mu.Lock()
	defer mu.Unlock()
	lostWork := 0
	runs := m.runsByID()
	for _, a := range l.all() {
		if a.method == "POST" && a.status != 200 && len(runs[a.id]) > 0 {
			lostWork++
		}
	}
	m.note("%d requests that must not be repeated were running in a server that crashed", lostWork)
	if len(crashes) < 3 {
		return verdict{false, fmt.Sprintf("BUDGET: %d crashes", len(crashes))}, nil
	}
	from, late := crashes[2].Add(stableWindow), 0
	for _, a := range poison.all() {
		if a.sent.After(from) && len(runs[a.id]) > 0 {
			late++
		}
	}
	return verdict{late > 3, fmt.Sprintf("BUDGET: the request reached servers in %d retries that were sent later than %v after its third crash; 3 are allowed; %d crashes", late, stableWindow, len(crashes))}, nil
}
