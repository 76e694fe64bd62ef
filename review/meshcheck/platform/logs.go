package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["logs"] = caseLogs }

// caseLogs adds a route while nothing reads the standard output of the daemons.
func caseLogs(m *mesh) (v verdict, err error) {
	work := func() time.Duration { return time.Duration(50+rand.IntN(100)) * time.Millisecond }
	for _, zone := range zones {
		m.addMachine("sidecar-"+zone+"-1", zone, "catalogue", 40, work)
	}
	first := route{"r-reserve", "hire.example", "/reserve/", "catalogue", "non_idempotent", 2500, 800, 1}
	added := route{"r-deposit", "hire.example", "/deposit/", "catalogue", "non_idempotent", 2500, 800, 1}
	m.publish(7, []string{"catalogue"}, 47, first)
	if err := m.startAll(); err != nil {
		return v, err
	}
	l := &log{}
	var wg sync.WaitGroup
	var both, end atomic.Bool
	for _, d := range m.daemons {
		for range 16 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &client{daemon: d}
				defer c.close()
				for n := 0; !end.Load(); n++ {
					prefix := first.prefix
					if both.Load() && n%2 == 0 {
						prefix = added.prefix
					}
					if a := c.do(l, "POST", "hire.example", prefix+newID(), []byte("robe=12"), 2*time.Second); a.status != 200 {
						// Clients come back when they are told, after 1 s here.
						time.Sleep(time.Second)
					}
				}
			}()
		}
	}
	if m.trouble {
		for _, d := range m.daemons {
			d.output.setPaused(true)
		}
		m.note("nothing reads the standard output of the daemons from now on")
	}
	m.awaitFull()
	m.publish(8, []string{"catalogue"}, 47, first, added)
	time.Sleep(configApply)
	both.Store(true)
	from := time.Now()
	for range 4 {
		time.Sleep(5 * time.Second)
		for _, d := range m.daemons {
			m.note("%s: ended: %t, ready: %t", d.name, d.ended(), d.isReady())
		}
	}
	end.Store(true)
	wg.Wait()
	m.noteAll(l)
	var asked, served [2]int
	var lateAsked, lateServed int
	for _, a := range l.all() {
		i := 0
		if strings.HasPrefix(a.path, added.prefix) {
			i = 1
		}
		asked[i]++
		if a.status == 200 {
			served[i]++
		}
		if a.sent.After(from) {
			lateAsked++
			if a.status == 200 {
				lateServed++
			}
		}
	}
	m.note("of all %d requests that were sent later than %v after the configuration, %d were served", lateAsked, configApply, lateServed)
	broken := asked[1] >= 20 && float64(served[1])/float64(asked[1]) < 0.25*float64(served[0])/float64(asked[0])
	return verdict{broken, fmt.Sprintf("CONFIG: first route: %d of %d requests served; route that was added later: %d of %d", served[0], asked[0], served[1], asked[1])}, nil
}

// configApply is configApplyMs of the small deployments.
const configApply = 2 * time.Second

// awaitFull waits until the pipes with the standard output of the daemons are full, or the
// log would have filled them.
func (m *mesh) awaitFull() {
	last, since := -1, time.Now()
	for until := time.Now().Add(70 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		n := 0
		for _, d := range m.daemons {
			n += d.output.unread()
		}
		if n != last {
			last, since = n, time.Now()
		}
		if m.trouble && n > len(m.daemons)*48<<10 && time.Since(since) > 3*time.Second {
			break
		}
		if !m.trouble && time.Since(m.began) > 40*time.Second {
			break
		}
	}
	m.note("%d bytes wait in the pipes of %d daemons", last, len(m.daemons))
}
