package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

// TestStartOfAllDaemons guards against daemons that send requests to few instances for
// long after all have been restarted at once, because they learn of the others late. All
// daemons know nobody but the entries of the directory, of which some are not up yet.
func TestStartOfAllDaemons(t *testing.T) {
	const (
		daemons      = 83
		startsWithin = 400 * time.Millisecond
		// An upstream announces itself every second, and its health is probed.
		announcedWithin, probed = time.Second, 50 * time.Millisecond
	)
	f := newFleet(t, 0, 3)
	begin := f.now
	var directory []membership.Member
	startAt, readyAt := make(map[string]time.Time), make(map[string]time.Time)
	for i := range daemons {
		name := fmt.Sprint("d", i)
		c := platformCore(name, []string{"a", "b", "c"}[i%3])
		// The store of reports is not simulated.
		c.hasOutcomes = false
		directory = append(directory, c.table.Self())
		c.table.Update(func(m *membership.Member) { m.Service, m.Version, m.State = "", "", membership.Starting })
		f.names, f.cores[name] = append(f.names, name), c
		startAt[name] = begin.Add(time.Duration(f.rnd.Int64N(int64(startsWithin))))
		readyAt[name] = startAt[name].Add(time.Duration(f.rnd.Int64N(int64(announcedWithin))) + probed)
	}
	f.cut = func(from, to string) bool { return f.now.Before(startAt[from]) || f.now.Before(startAt[to]) }
	for _, name := range f.names {
		c := f.cores[name]
		var contact func()
		contact = func() {
			if c.table.Len() > 1 {
				return
			}
			for _, i := range f.rnd.Perm(daemons)[:maxSeeds] {
				req := &wirev1.ExchangeRequest{From: toWire(c.table.Self()), Digests: digestsToWire(c.table.Digests())}
				if to := directory[i]; to.Name != name {
					f.exchange(name, sendExchange{to: to, req: req, update: true}, func(ev any, cost time.Duration) { f.deliver(name, ev, cost, nil) })
				}
			}
			f.after(f.jitter(directoryRetryMin), contact)
		}
		f.after(startAt[name].Sub(begin), func() {
			f.read(name, func() {})
			f.start(name)
			f.after(2*storeTime, contact)
		})
		f.after(readyAt[name].Sub(begin), func() {
			up := Upstream{Service: "booking", Version: "v1", State: string(membership.Ready), Incarnation: 9, ID: name, Slots: 9}
			f.deliver(name, announced(up), messageTime, nil)
		})
	}
	for f.now.Sub(begin) < startsWithin+announcedWithin+probed+appliedWithinSmall {
		f.runUntil(f.now.Add(200 * time.Millisecond))
		ready, serving, known, least := 0, 0, 0, daemons
		for _, name := range f.names {
			if !f.now.Before(readyAt[name]) {
				ready++
			}
			if !f.cores[name].serving {
				continue
			}
			serving++
			n := 0
			for _, m := range f.cores[name].table.All() {
				if m.State == membership.Ready {
					n++
				}
			}
			known, least = known+n, min(least, n)
		}
		t.Logf("after %v: %d serve, %d instances are ready; a daemon that serves knows %.0f, at least %d",
			f.now.Sub(begin), serving, ready, float64(known)/float64(max(1, serving)), least)
		// A change must be known within two seconds.
		late := 0
		for _, at := range readyAt {
			if f.now.Sub(at) >= appliedWithinSmall {
				late++
			}
		}
		if least < late && serving > 0 || late > 0 && serving < daemons {
			t.Errorf("after %v: %d daemons serve, one of them knows %d instances, want at least %d", f.now.Sub(begin), serving, least, late)
		}
	}
}
