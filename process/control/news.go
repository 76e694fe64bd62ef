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
	// updatePausePerMember is the pause between two messages of news that a daemon passes on,
	// for each member that it knows. Where many change together, a message then carries
	// many of them; it costs each end a fifth of a millisecond, whatever it carries.
	updatePausePerMember = time.Millisecond
	// updatePauseMin and updatePauseMax bound that pause. News takes five steps to all of a zone, and
	// a change must be known within two seconds.
	updatePauseMin = 20 * time.Millisecond
	updatePauseMax = 300 * time.Millisecond
)

// news gathers changed members until they are told to peers. The first change after
// a calm time is told at once, as are those of the daemon's own entry.
type updateQueue struct {
	members map[string]membership.Member
	// after is when the next may be told.
	after time.Time
}

// spread has changed members told to a few random peers, which tell what is new to
// them in turn.
func (c *core) queueUpdates(changed ...membership.Member) {
	if c.updates.members == nil {
		c.updates.members = make(map[string]membership.Member)
	}
	for _, m := range changed {
		c.updates.members[m.Name] = m
	}
}

// updatesDue returns when gathered news are to be told; false means that there are none.
func (c *core) updatesDue() (time.Time, bool) { return c.updates.after, len(c.updates.members) > 0 }

// sendQueuedUpdates sends what was gathered once it is due.
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
	c.gossip(rnd, &wirev1.ExchangeRequest{Members: membersToWire(list)}, about)
}

// gossip sends news to random peers of the own zone. Bytes between zones are
// dear: a daemon tells one peer of each other zone of its own changes, and of
// what it hears so seldom that a zone sends crossZoneCopies of a piece of news to
// others. A peer is not told of itself alone.
func (c *core) gossip(rnd float64, req *wirev1.ExchangeRequest, about map[string]membership.Member) {
	self := c.table.Self()
	req.From, req.Offset = toWire(self), c.state.Offset
	told := func(m membership.Member) bool {
		_, ok := about[m.Name]
		return ok && len(about) == 1
	}
	to := c.table.Random(rnd, updateFanout, func(m membership.Member) bool { return m.Zone == self.Zone && !told(m) })
	_, own := about[self.Name]
	switch {
	case own || len(to) == 0:
		to = append(to, c.onePeerPerZone(rnd)...)
	case rnd < crossZoneCopies/float64(c.table.ZoneSize(self.Zone)):
		to = append(to, c.table.Random(rnd, 1, func(m membership.Member) bool { return m.Zone != self.Zone && !told(m) })...)
	}
	for _, m := range to {
		c.act(sendExchange{to: m, req: req, update: true})
	}
}

// gossipOwn sends what was found or decided here to random peers and to each other
// zone.
func (c *core) gossipOwn(rnd float64, req *wirev1.ExchangeRequest) {
	self := c.table.Self()
	c.gossip(rnd, req, map[string]membership.Member{self.Name: self})
}
