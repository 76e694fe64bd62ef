package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["denied"] = caseDenied }

// caseDenied sends requests that crash the servers that run them, while other requests,
// which do no harm, are at the same servers.
func caseDenied(m *mesh) (v verdict, err error) {
	work := func() time.Duration { return time.Duration(60+rand.IntN(120)) * time.Millisecond }
	for _, zone := range zones {
		m.addMachine("sidecar-"+zone+"-1", zone, "catalogue", 12, work)
	}
	var mu sync.Mutex
	crashes := 0
	for i, s := range m.servers {
		s.fatal = func(r *run) bool { return m.trouble && strings.HasPrefix(r.path, "/lookup/fatal/") }
		s.onCrash = func() {
			mu.Lock()
			crashes++
			m.note("server %s crashes, the crash is number %d", s.name(), crashes)
			mu.Unlock()
			time.Sleep(2 * time.Second)
			if err := s.restart(m.daemons[i].upstream); err != nil {
				m.note("server of %s could not start: %v", m.daemons[i].name, err)
				return
			}
			m.note("server %s is back beside %s", s.name(), m.daemons[i].name)
		}
	}
	m.publish(7, []string{"catalogue"}, 47, route{"r-lookup", "hire.example", "/lookup/", "catalogue", "idempotent", 1200, 400, 2})
	if err := m.startAll(); err != nil {
		return v, err
	}
	l, fatal := &log{}, &log{}
	var wg sync.WaitGroup
	var end atomic.Bool
	for _, d := range m.daemons {
		for range 8 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &client{daemon: d}
				defer c.close()
				for !end.Load() {
					path := "/lookup/robes/" + newID() + "/"
					for range 3 {
						a := c.do(l, "GET", "hire.example", path, nil, 1200*time.Millisecond)
						if a.status == 200 {
							break
						}
						// A client sends an idempotent request again, on a new connection.
						c.close()
						time.Sleep(200 * time.Millisecond)
					}
				}
			}()
		}
	}
	time.Sleep(3 * time.Second)
	for n := range 10 {
		path := "/lookup/fatal/" + newID() + "/"
		for i := range 3 {
			c := &client{daemon: m.daemons[(n+i)%len(m.daemons)]}
			c.do(fatal, "GET", "hire.example", path, nil, 1200*time.Millisecond)
			c.close()
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
	}
	end.Store(true)
	wg.Wait()
	m.noteAll(l)
	m.note("requests that crash servers:")
	m.noteAttempts(fatal)
	denied, all := 0, 0
	for _, a := range l.all() {
		all++
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 && a.seal == "" {
			denied++
		}
	}
	bound := 5 + all/500
	return verdict{denied > bound, fmt.Sprintf("DENIED: %d of %d proper requests were refused with a status of the system's own; %d are allowed; %d crashes", denied, all, bound, crashes)}, nil
}
