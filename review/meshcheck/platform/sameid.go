package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainBound is drainMs of the small deployments.
	drainBound = 2 * time.Second
	// clockStep is by how much the time of day jumps.
	clockStep       = 2400 * time.Millisecond
	machinesPerZone = 3
	// machinePause is the time between two machines.
	machinePause = 8 * time.Second
)

func init() { cases["sameid"] = caseSameID }

// caseSameID lets a server crash and start again under its id while the time of day jumps,
// and drain some seconds later.
func caseSameID(m *mesh) (v verdict, err error) {
	work := func() time.Duration { return time.Duration(40+rand.IntN(80)) * time.Millisecond }
	for _, zone := range zones {
		for n := range machinesPerZone {
			m.addMachine(fmt.Sprintf("sidecar-%s-%d", zone, n+1), zone, "catalogue", 12, work)
		}
	}
	m.publish(7, []string{"catalogue"}, 47, route{"r-reserve", "hire.example", "/reserve/", "catalogue", "non_idempotent", 1000, 250, 1})
	if err := m.startAll(); err != nil {
		return v, err
	}
	l := &log{}
	var wg sync.WaitGroup
	var end atomic.Bool
	for _, d := range m.daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{daemon: d}
			defer c.close()
			for !end.Load() {
				c.do(l, "POST", "hire.example", "/reserve/"+newID(), []byte("robe=12"), 1500*time.Millisecond)
				time.Sleep(time.Duration(3500+rand.IntN(3000)) * time.Millisecond)
			}
		}()
	}
	type drain struct {
		id, machine string
		at          time.Time
	}
	var drains []drain
	var mu sync.Mutex
	var all sync.WaitGroup
	errs := make([]error, len(m.servers))
	for i, s := range m.servers {
		// One machine after the other has its clock set and its server crash.
		all.Go(func() {
			time.Sleep(time.Duration(i) * machinePause)
			d := m.daemons[i]
			at, ok, err := m.crashAndDrain(s, d)
			if errs[i] = err; ok {
				mu.Lock()
				drains = append(drains, drain{s.drained, d.name, at})
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return v, err
	}
	end.Store(true)
	wg.Wait()
	m.noteAll(l)
	late, sent := 0, make(map[string]*attempt)
	for _, a := range l.all() {
		sent[a.id] = a
	}
	for _, dr := range drains {
		for id, runs := range m.runsByID() {
			for _, r := range runs {
				if a := sent[id]; a != nil && r.server == dr.id && a.sent.After(dr.at.Add(drainBound)) {
					late++
					m.note("DRAIN: %s reaches server %s %.3f s after its drain was acknowledged by %s", id, r.server, r.start.Sub(dr.at).Seconds(), dr.machine)
				}
			}
		}
	}
	return verdict{late > 0, fmt.Sprintf("DRAIN: %d requests reached a server later than %v after its drain was acknowledged; %d drains", late, drainBound, len(drains))}, nil
}

// crashAndDrain lets a server crash, start again under its id with an earlier time of birth,
// and drain some seconds later. It returns when the drain was acknowledged.
func (m *mesh) crashAndDrain(s *server, d *daemon) (at time.Time, acknowledged bool, err error) {
	var ahead time.Duration
	if m.trouble {
		ahead = clockStep
		m.note("%s: the time of day jumps ahead by %v", d.name, clockStep)
	}
	s.crash()
	time.Sleep(300 * time.Millisecond)
	if err := s.restartAs(d.upstream, "i-"+newID()[:8], time.Now().Add(ahead)); err != nil {
		return at, false, err
	}
	m.note("%s: server %s starts, born %d", d.name, s.name(), s.born.UnixMilli())
	time.Sleep(time.Second)
	if m.trouble {
		m.note("%s: the time of day jumps back", d.name)
	}
	s.crash()
	time.Sleep(300 * time.Millisecond)
	if err := s.restartAs(d.upstream, s.name(), time.Now()); err != nil {
		return at, false, err
	}
	m.note("%s: server %s has crashed and starts again under its id, born %d", d.name, s.name(), s.born.UnixMilli())
	time.Sleep(4500 * time.Millisecond)
	s.setState("draining")
	at, err = s.beat()
	m.note("%s: server %s reports that it drains: %v", d.name, s.name(), err)
	acknowledged, s.drained = err == nil, s.name()
	time.Sleep(8 * time.Second)
	_, err = s.deregister()
	m.note("%s: server %s deregisters: %v", d.name, s.name(), err)
	time.Sleep(500 * time.Millisecond)
	s.crash()
	m.note("%s: server %s ends", d.name, s.name())
	return at, acknowledged, s.restart(d.upstream)
}
