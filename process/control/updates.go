package control

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

const (
	// updatePausePerMember is the pause between two updates that a daemon sends,
	// for each member that it knows. If many members change together, one message
	// then carries many changes. A message costs each side a fifth of a
	// millisecond, whatever it carries.
	updatePausePerMember = time.Millisecond
	// updatePauseMin and updatePauseMax bound that pause. An update takes five hops
	// to reach a whole zone, and a change must be known within two seconds.
	updatePauseMin = 20 * time.Millisecond
	updatePauseMax = 300 * time.Millisecond
)

// updateQueue collects changed members until they are sent to peers. The first
// change after a period without updates is sent at once, as are changes of the
// daemon's own entry.
type updateQueue struct {
	members map[string]membership.Member
	// after is the earliest time for the next update.
	after time.Time
}

// queueUpdates queues changed members to be sent to a few random peers, which
// forward what is new to them.
func (c *core) queueUpdates(changed ...membership.Member) {
	if c.updates.members == nil {
		c.updates.members = make(map[string]membership.Member)
	}
	for _, m := range changed {
		c.updates.members[m.Name] = m
	}
}

// updatesDue returns when the queued updates are due; false means that there are
// none.
func (c *core) updatesDue() (time.Time, bool) { return c.updates.after, len(c.updates.members) > 0 }

// sendQueuedUpdates sends the queued updates once they are due.
func (c *core) sendQueuedUpdates(now time.Time, rnd float64) {
	about := c.updates.members
	if _, own := about[c.table.Self().Name]; len(about) == 0 || !own && now.Before(c.updates.after) {
		return
	}
	pause := min(max(time.Duration(c.table.Len())*updatePausePerMember, updatePauseMin), updatePauseMax)
	c.updates = updateQueue{after: now.Add(pause)}
	list := slices.SortedFunc(maps.Values(about), func(a, b membership.Member) int {
		return strings.Compare(a.Name, b.Name)
	})
	c.gossip(rnd, &wirev1.ExchangeRequest{Members: membersToWire(list), LogEnd: c.wireLogEnd(now)}, about)
}

// gossip sends an update to random peers in the daemon's zone. Traffic between
// zones is expensive: a daemon sends its own changes to one peer in each other
// zone, but forwards updates of others so rarely that a whole zone sends about
// crossZoneCopies of each to other zones. An update about a single member is not
// sent to that member.
func (c *core) gossip(rnd float64, req *wirev1.ExchangeRequest, about map[string]membership.Member) {
	self := c.table.Self()
	req.From, req.Offset, req.Carried = toWire(self), c.state.Offset, c.state.Carried
	onlySubject := func(m membership.Member) bool {
		_, ok := about[m.Name]
		return ok && len(about) == 1
	}
	to := c.table.Random(rnd, updateFanout, func(m membership.Member) bool { return m.Zone == self.Zone && !onlySubject(m) })
	_, own := about[self.Name]
	switch {
	case own || len(to) == 0:
		to = append(to, c.onePeerPerZone(rnd, c.isOtherZone)...)
	case rnd < crossZoneCopies/float64(c.table.ZoneSize(self.Zone)):
		to = append(to, c.table.Random(rnd, 1, func(m membership.Member) bool { return m.Zone != self.Zone && !onlySubject(m) })...)
	}
	for _, m := range to {
		c.act(sendExchange{to: m, req: req, update: true})
	}
}

// gossipOwn sends what originates at this daemon to random peers in its zone and to
// one peer in each other zone.
func (c *core) gossipOwn(rnd float64, req *wirev1.ExchangeRequest) {
	self := c.table.Self()
	c.gossip(rnd, req, map[string]membership.Member{self.Name: self})
}
