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

// TestUpdatesOfManyStarts guards against membership updates that take more CPU time
// than the traffic when all daemons start. If each change of a member were
// forwarded on its own, it would cost three messages to each daemon of the zone.
// All daemons must know all changes within the two seconds in which an instance
// that leaves may still be chosen.
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
	// Forwarding misses some entries; periodic exchanges deliver the rest.
	if limit := daemons * daemons / 100; unknown > limit {
		t.Errorf("%d of %d entries are outdated %v after the last change, want at most %d", unknown, daemons*daemons, within, limit)
	}
	// Each daemon holds all members, so it would forward each change to three
	// peers.
	alone := daemons * changes * updateFanout * daemons
	t.Logf("%d messages for %d changes; forwarded one by one they would be up to %d; %d of %d entries are outdated", n.sent, daemons*changes, alone, unknown, daemons*daemons)
	if n.sent > alone/8 {
		t.Errorf("got %d messages for %d changes, want at most an eighth of %d", n.sent, daemons*changes, alone)
	}
}

// TestUpdatesSentAtOnce guards against delaying an update when there are few of
// them, and against delaying a daemon's own departure when there are many.
func TestUpdatesSentAtOnce(t *testing.T) {
	c := testCore("d1", "a")
	c.table.Merge(epoch, []membership.Member{testMember("d2", "a"), testMember("d3", "a")})
	mergeChange := func(seq uint64, now time.Time) int {
		m := testMember("d3", "a")
		m.Seq = seq
		c.actions = nil
		c.merge(now, 0, []membership.Member{m})
		c.sendQueuedUpdates(now, 0.9)
		return len(find[sendExchange](c.actions))
	}
	if got := mergeChange(2, epoch); got == 0 {
		t.Error("the first change after a quiet period is not sent at once")
	}
	if got := mergeChange(3, epoch.Add(time.Millisecond)); got != 0 {
		t.Errorf("got %d messages a millisecond later, want the change queued", got)
	}
	_, actions := c.handle(leaving{}, epoch.Add(2*time.Millisecond), 0.9)
	sent := find[sendExchange](actions)
	if len(sent) == 0 || len(sent[0].req.GetMembers()) != 2 {
		t.Errorf("got %v, want the own departure sent at once, with the queued change", sent)
	}
	if _, ok := c.updatesDue(); ok {
		t.Error("updates are still queued after all have been sent")
	}
}

// TestFetchInZone guards against transferring a configuration between zones for
// each daemon, when a daemon of the same zone is about to have it.
func TestFetchInZone(t *testing.T) {
	c := testCore("d1", "a")
	near, far := testMember("d2", "a"), testMember("d3", "b")
	c.table.Merge(epoch, []membership.Member{near, far})
	c.serving, c.lastTick, c.logEnds.relyUntil = true, epoch, epoch.Add(time.Hour)
	notify := func(m membership.Member, offset int64, now time.Time) []sendFetch {
		_, actions := c.handle(exchangeReceived{&wirev1.ExchangeRequest{From: toWire(m), Offset: offset}}, now, 0.9)
		return find[sendFetch](actions)
	}
	if got := notify(far, 7, epoch); len(got) != 0 {
		t.Errorf("got fetches %v as soon as another zone reports a higher offset, want none", got)
	}
	if got := notify(near, 7, epoch.Add(50*time.Millisecond)); len(got) != 1 || got[0].to.Name != near.Name {
		t.Errorf("got fetches %v, want one from the same zone", got)
	}
	// No daemon of the same zone has the next record.
	c.fetchUntil = time.Time{}
	if got := notify(far, 8, epoch.Add(time.Second)); len(got) != 0 {
		t.Errorf("got fetches %v from another zone at once, want none", got)
	}
	_, actions := c.handle(tick{}, epoch.Add(time.Second+crossZoneDelay+time.Millisecond), 0.9)
	if got := find[sendFetch](actions); len(got) != 1 || got[0].to.Name != far.Name || got[0].upTo.offset < 8 {
		t.Errorf("got fetches %v, want one from the other zone", got)
	}
}

// TestFetchRepeated guards against a daemon that stays behind until its next exchange
// because the peer that it asked did not answer or does not have the version either.
func TestFetchRepeated(t *testing.T) {
	c := testCore("d1", "a")
	asked := testMember("d2", "a")
	c.table.Merge(epoch, []membership.Member{asked, testMember("d3", "a")})
	c.serving, c.lastTick, c.logEnds.relyUntil = true, epoch, epoch.Add(time.Hour)
	c.handle(exchangeReceived{&wirev1.ExchangeRequest{From: toWire(asked), Offset: 7}}, epoch, 0.9)
	c.handle(offsetReported{zone: "a", at: position{offset: 6}, serving: true, asked: epoch}, epoch.Add(time.Millisecond), 0.9)
	_, actions := c.handle(tick{}, epoch.Add(fetchTimeout/2), 0.9)
	if got := find[sendFetch](actions); len(got) != 0 {
		t.Errorf("got fetches %v while the first one may still be answered, want none", got)
	}
	_, actions = c.handle(tick{}, epoch.Add(fetchTimeout+time.Millisecond), 0.9)
	if got := find[sendFetch](actions); len(got) != 1 || got[0].to.Name != "d3" || got[0].upTo.offset != 7 {
		t.Errorf("got fetches %v after the time of the first one, want one from the other peer", got)
	}
}

// TestCrossZoneFetchDue guards against a zone without a reader that stays behind during
// a series of versions, because each report of a newer one from another zone postpones
// the fetch.
func TestCrossZoneFetchDue(t *testing.T) {
	c := testCore("d1", "a")
	far := testMember("d2", "b")
	c.table.Merge(epoch, []membership.Member{far})
	c.serving, c.lastTick, c.logEnds.relyUntil = true, epoch, epoch.Add(time.Hour)
	const pause = crossZoneDelay / 2
	for i := range 4 {
		now := epoch.Add(time.Duration(i) * pause)
		c.handle(exchangeReceived{&wirev1.ExchangeRequest{From: toWire(far), Offset: int64(i + 1)}}, now, 0.9)
	}
	_, actions := c.handle(tick{}, epoch.Add(3*pause+time.Millisecond), 0.9)
	if got := find[sendFetch](actions); len(got) != 1 || got[0].upTo.offset != 4 {
		t.Errorf("got fetches %v, want one of the newest version, %v after the first report", got, 3*pause)
	}
}

// TestVanishedPosition guards against a daemon that asks its peers for ever for what a peer
// kept from an earlier era of the log, when that peer is gone and nobody else has it.
func TestVanishedPosition(t *testing.T) {
	c := servingCore(t, 4)
	now := epoch
	hear := func() {
		c.handle(exchangeReceived{&wirev1.ExchangeRequest{From: toWire(testMember("d9", "a")), Offset: c.state.Offset, Carried: 1}}, now, 0.5)
	}
	asked := func(d time.Duration) (fetches int) {
		for end := now.Add(d); now.Before(end); now = now.Add(tickPeriod) {
			_, actions := c.handle(tick{sinceBoot: now.Sub(epoch)}, now, 0.5)
			fetches += len(find[sendFetch](actions))
		}
		return fetches
	}
	hear()
	if got := asked(time.Minute); got < 2 || got > maxFetchTries {
		t.Errorf("got %d fetches in a minute, want 2 to %d", got, maxFetchTries)
	}
	hear()
	if got := asked(time.Minute); got < 2 {
		t.Errorf("got %d fetches after the position was told again, want at least 2", got)
	}
}
