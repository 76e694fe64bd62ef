package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

// TestUpdatesOfManyStarts guards against a start of all daemons whose news take more
// processor time than the traffic: each change of a member, told on by itself, costs
// three messages to each daemon of the zone. All must know all changes within the two
// seconds in which an instance that leaves may still be chosen.
func TestUpdatesOfManyStarts(t *testing.T) {
	const (
		daemons, changes = 120, 3
		spread           = 2 * time.Second
		step             = 10 * time.Millisecond
		within           = 2 * time.Second
	)
	zones := []string{"a", "b", "c", "d", "e"}
	n := &network{cores: make(map[string]*core), rnd: rand.New(rand.NewPCG(1, 2))}
	var names []string
	for i := range daemons {
		name := fmt.Sprint("d", i)
		names = append(names, name)
		n.cores[name] = testCore(name, zones[i%len(zones)])
		n.cores[name].table.Follow("booking")
	}
	for _, name := range names {
		for _, other := range names {
			n.cores[name].table.Merge(epoch, []membership.Member{n.cores[other].table.Self()})
		}
	}
	due := make([][]time.Duration, daemons)
	for i := range due {
		for range changes {
			due[i] = append(due[i], time.Duration(n.rnd.Int64N(int64(spread))))
		}
		slices.Sort(due[i])
	}
	for at := time.Duration(0); at <= spread+within; at += step {
		now := epoch.Add(at)
		for i, name := range names {
			c := n.cores[name]
			if len(due[i]) > 0 && due[i][0] <= at {
				due[i] = due[i][1:]
				n.deliver(name, announced{Service: "booking", Version: "v1", State: string(membership.Ready), Slots: len(due[i]) + 1}, now)
			}
			if at%gossipPeriod == time.Duration(i)*gossipPeriod/daemons/step*step {
				n.deliver(name, gossipDue{}, now)
			}
			if after, ok := c.updatesDue(); ok && !now.Before(after) {
				n.deliver(name, flush{}, now)
			}
		}
	}
	unknown := 0
	for _, name := range names {
		for _, other := range names {
			if m, ok := n.cores[name].table.Get(other); !ok || m != n.cores[other].table.Self() {
				unknown++
			}
		}
	}
	// Pushes miss some; exchanges bring the rest.
	if limit := daemons * daemons / 100; unknown > limit {
		t.Errorf("%d of %d entries are old %v after the last change, want at most %d", unknown, daemons*daemons, within, limit)
	}
	// Each daemon holds all of them, so it would tell each one on to three peers.
	alone := daemons * changes * updateFanout * daemons
	t.Logf("%d messages for %d changes; told on one by one they are up to %d; %d of %d entries are old", n.sent, daemons*changes, alone, unknown, daemons*daemons)
	if n.sent > alone/8 {
		t.Errorf("got %d messages for %d changes, want at most an eighth of %d", n.sent, daemons*changes, alone)
	}
}

// TestUpdatesSentAtOnce guards against news that wait on a calm day, and against the own
// news of a daemon that leaves in a storm.
func TestUpdatesSentAtOnce(t *testing.T) {
	c := testCore("d1", "a")
	c.table.Merge(epoch, []membership.Member{testMember("d2", "a"), testMember("d3", "a")})
	tell := func(seq uint64, now time.Time) int {
		m := testMember("d3", "a")
		m.Seq = seq
		c.actions = nil
		c.merge(now, []membership.Member{m})
		c.sendQueuedUpdates(now, 0.9)
		return len(find[sendExchange](c.actions))
	}
	if got := tell(2, epoch); got == 0 {
		t.Error("the first change after a calm time is not told at once")
	}
	if got := tell(3, epoch.Add(time.Millisecond)); got != 0 {
		t.Errorf("got %d messages a millisecond later, want the change gathered", got)
	}
	_, actions := c.handle(leaving{}, epoch.Add(2*time.Millisecond), 0.9)
	sent := find[sendExchange](actions)
	if len(sent) == 0 || len(sent[0].req.GetMembers()) != 2 {
		t.Errorf("got %v, want the own leaving told at once, with what was gathered", sent)
	}
	if _, ok := c.updatesDue(); ok {
		t.Error("news are left after all have been told")
	}
}

// TestFetchInZone guards against a configuration that is carried between zones to
// each daemon, where one of its own zone is about to have it.
func TestFetchInZone(t *testing.T) {
	c := testCore("d1", "a")
	near, far := testMember("d2", "a"), testMember("d3", "b")
	c.table.Merge(epoch, []membership.Member{near, far})
	c.serving, c.lastTick, c.contactUntil = true, epoch, epoch.Add(time.Hour)
	told := func(m membership.Member, offset int64, now time.Time) []sendFetch {
		_, actions := c.handle(exchangeReceived{&wirev1.ExchangeRequest{From: toWire(m), Offset: offset}}, now, 0.9)
		return find[sendFetch](actions)
	}
	if got := told(far, 7, epoch); len(got) != 0 {
		t.Errorf("got %v as soon as another zone tells of it", got)
	}
	if got := told(near, 7, epoch.Add(50*time.Millisecond)); len(got) != 1 || got[0].to.Name != near.Name {
		t.Errorf("got %v, want a fetch from the own zone", got)
	}
	// Nobody of the own zone has the next one.
	c.fetchUntil = time.Time{}
	if got := told(far, 8, epoch.Add(time.Second)); len(got) != 0 {
		t.Errorf("got %v at once", got)
	}
	_, actions := c.handle(tick{}, epoch.Add(time.Second+crossZoneDelay+time.Millisecond), 0.9)
	if got := find[sendFetch](actions); len(got) != 1 || got[0].to.Name != far.Name || got[0].upTo < 8 {
		t.Errorf("got %v, want a fetch from the other zone", got)
	}
}
