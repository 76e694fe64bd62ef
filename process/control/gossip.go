package control

import (
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

// indirectProbes is the number of peers that probe an unresponsive member before it
// is suspected.
const indirectProbes = 2

// onGossip starts a periodic exchange with the next partner.
func (c *core) onGossip(now time.Time, rnd float64) {
	c.metrics.Add("control.exchanges", 1)
	if m, ok := c.partner(rnd); ok {
		c.act(sendExchange{to: m, req: c.exchangeRequest(now)})
	}
	// A member that lost all its peers, in a partition or by a restart while the
	// log is unreachable, is found again by members that remember it.
	if m, ok := c.table.RejoinCandidate(now, rnd); ok {
		c.act(sendExchange{to: m, req: c.exchangeRequest(now), update: true})
	}
}

// partner returns the partner of the next exchange. Half of the partners in other
// zones are skipped, because they have partners in their own zone.
func (c *core) partner(rnd float64) (membership.Member, bool) {
	m, ok := c.table.Next(rnd)
	if ok && m.Zone != c.table.Self().Zone && rnd < 0.5 {
		return c.table.Next(rnd)
	}
	return m, ok
}

func (c *core) exchangeRequest(now time.Time) *wirev1.ExchangeRequest {
	req := c.offsetNotice(now)
	req.Digests = digestsToWire(c.table.Digests())
	c.decisions.fillExchange(c.state, now, req)
	return req
}

// onExchange responds to a peer's exchange with the entries that the peer may lack.
func (c *core) onExchange(now time.Time, rnd float64, req *wirev1.ExchangeRequest) *wirev1.ExchangeResponse {
	from := fromWire(req.GetFrom())
	c.noteContact(now, from.Name)
	c.hearLogEnd(now, req.GetLogEnd())
	c.hearLogUnreachable(from, rnd)
	c.merge(now, rnd, append(membersFromWire(req.GetMembers()), from))
	c.mergeDecisions(now, rnd, req)
	c.fetch(now, from, reportedPosition(req))
	if r := req.GetRelay(); r != nil {
		c.relayLogEnd(now, r)
	}
	res := &wirev1.ExchangeResponse{
		From: toWire(c.table.Self()), Offset: c.state.Offset, Carried: c.state.Carried, Serving: c.serving, LogEnd: c.wireLogEnd(now),
	}
	if before, ok := c.table.BeforeRestart(from.Name); ok && from.Service == "" {
		// The peer has restarted, but its upstream may still be running.
		res.Members = append(res.Members, toWire(before))
	}
	if req.GetJudge() {
		res.Moves, res.Verdicts = c.judgement(now), c.decisions.wireVerdicts()
	}
	if len(req.GetDigests()) > 0 {
		res.Digests = digestsToWire(c.table.Digests())
		res.Members = append(res.Members, membersToWire(c.table.Delta(digestsFromWire(req.GetDigests())))...)
		c.decisions.fillResponse(c.state, now, res)
	}
	return res
}

// onExchangeDone merges the response of a partner and sends back what the partner
// lacks.
func (c *core) onExchangeDone(now time.Time, rnd float64, ev exchangeDone) {
	from := fromWire(ev.res.GetFrom())
	c.noteContact(now, from.Name)
	c.hearLogEnd(ev.asked, ev.res.GetLogEnd())
	c.hearLogUnreachable(from, rnd)
	c.merge(now, rnd, append(membersFromWire(ev.res.GetMembers()), from))
	c.mergeDecisions(now, rnd, ev.res)
	c.onOffsetReported(now, offsetReported{zone: from.Zone, at: reportedPosition(ev.res), serving: ev.res.GetServing(), asked: ev.asked})
	c.fetch(now, from, reportedPosition(ev.res))
	if len(ev.res.GetDigests()) == 0 {
		return
	}
	// By now the response has been merged, so the entries that the partner lacks
	// are exactly those of scopes whose digests still differ.
	if lacks := c.table.Delta(digestsFromWire(ev.res.GetDigests())); len(lacks) > 1 {
		req := c.newExchange()
		req.Members = membersToWire(lacks)
		c.act(sendExchange{to: from, req: req, update: true})
	}
}

// onExchangeFailed asks other members to probe the unresponsive one.
func (c *core) onExchangeFailed(rnd float64, to membership.Member) {
	c.metrics.Add("control.exchangeFailures", 1)
	via := c.table.Random(rnd, indirectProbes, func(m membership.Member) bool {
		return m.Name != to.Name && m.State != membership.Suspect
	})
	c.act(sendProbe{target: to, via: via})
}

func (c *core) onProbe(now time.Time, ev probeDone) {
	if ev.alive {
		return
	}
	m, ok := c.table.Suspect(now, ev.to.Name)
	if !ok {
		return
	}
	c.metrics.Add("control.suspects", 1)
	c.event(now, timeline.KindMember, 0, "member %s (%s) does not answer", m.Name, m.Zone)
	c.dirty = true
	// The suspect is notified too, so that it can refute.
	c.queueUpdates(m)
	req := c.newExchange()
	req.Members = membersToWire([]membership.Member{m})
	c.act(sendExchange{to: m, update: true, req: req})
}

// merge merges the members received from a peer and forwards the new ones.
func (c *core) merge(now time.Time, rnd float64, members []membership.Member) {
	changed := c.table.Merge(now, members)
	if len(changed) == 0 {
		return
	}
	for _, m := range changed {
		c.hearLogUnreachable(m, rnd)
		c.event(now, timeline.KindMember, 0, "member %s (%s) is %s", m.Name, describeLocation(m), m.State)
	}
	c.metrics.Add("control.memberChanges", int64(len(changed)))
	c.stale = true
	c.queueUpdates(changed...)
}

// describeLocation returns the zone of a member and, once it is known, its
// upstream.
func describeLocation(m membership.Member) string {
	if m.Service == "" {
		return m.Zone
	}
	return m.Zone + ", " + m.Service + " " + m.Version
}

// onAnnounced handles an announcement of the upstream beside the daemon.
func (c *core) onAnnounced(now time.Time, ev announced) {
	c.upstreamExpires = now.Add(c.announceTimeout)
	if ev == c.upstream {
		return
	}
	prev := c.upstream
	c.upstream = ev
	self := c.table.Update(func(m *membership.Member) {
		m.Service, m.Version = ev.Service, ev.Version
		m.UpstreamID, m.UpstreamIncarnation, m.Slots = ev.ID, ev.Incarnation, ev.Slots
		switch {
		case m.State != membership.Leaving:
			m.State = membership.State(ev.State)
		case ev.State != string(membership.Ready):
			m.UpstreamID = ""
		}
	})
	c.event(now, timeline.KindUpstream, 0, "upstream %s %s is %s (incarnation %d, was %q)", ev.Service, ev.Version, ev.State, ev.Incarnation, prev.State)
	c.dirty = true
	c.queueUpdates(self)
}
