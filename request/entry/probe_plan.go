package entry

import (
	"slices"
	"time"
)

const (
	// probesPerRequest and probesPerSecond bound the probes of an entry, whatever the
	// size of the fleet.
	probesPerRequest = 3
	probesPerSecond  = 200
	// maxSavedProbes bounds the probes that earlier requests did not use and later ones
	// may send.
	maxSavedProbes = 12
	// maxProbeBurst bounds the probes that are sent at once after a pause. It is part of
	// probesPerSecond, which holds in any second.
	maxProbeBurst = 20
	// enoughReports is the number of valid reports from which a request sends no more
	// than its own probes: the choice is made among a few random ones.
	enoughReports = 2
	// groupProbeInterval is the age of the last probes from which the requests of other
	// groups probe a group, so that a rare request finds valid reports too.
	groupProbeInterval = 300 * time.Millisecond
	// groupProbes is the number of such probes.
	groupProbes = 2
	// groupLifetime is how long a group without requests is probed.
	groupLifetime = 10 * time.Second
	// maxGroups bounds the groups; the request that adds another one removes the least
	// recently used group.
	maxGroups = 16
	// otherZoneInterval is the least time between probes of one group to other zones,
	// whose bytes are expensive.
	otherZoneInterval = 50 * time.Millisecond
	// otherZonePeriod is how long other zones are probed after a request was sent there.
	otherZonePeriod = 500 * time.Millisecond
)

// probeGroup is the set of instances that serve the same requests.
type probeGroup struct{ upstream, version string }

// probeOrder says how many instances of a group to probe.
type probeOrder struct {
	probeGroup
	ownZone, otherZones int
}

// probePlan decides how many instances an entry probes when it routes a request. It uses
// no clock and no socket. The zero value is ready for use; the caller serializes calls.
type probePlan struct {
	groups []groupState
	// saved is the number of probes that requests have earned and not used.
	saved int
	// burst is the number of probes that the bound per second allows at burstAt.
	burst   float64
	burstAt time.Time
}

type groupState struct {
	probeGroup
	usedAt, probedAt time.Time
	// reports is the number of valid reports at the last choice.
	reports int
	// otherZonesUntil is until when other zones are probed, and otherZoneAt is when one
	// was probed last.
	otherZonesUntil, otherZoneAt time.Time
}

// chosen notes that a request was routed to an instance of a group. reports is the number
// of valid reports among the instances of the group, and ownZone says whether the chosen
// instance is in the daemon's own zone.
func (p *probePlan) chosen(now time.Time, g probeGroup, reports int, ownZone bool) {
	s := p.use(now, g)
	s.reports = reports
	if !ownZone {
		s.otherZonesUntil = now.Add(otherZonePeriod)
	}
}

// route returns what to probe when a request is routed to a group: the group itself, and
// perhaps another one. repeated marks a further attempt of a request, which earns no
// probes.
func (p *probePlan) route(now time.Time, g probeGroup, repeated bool) (orders [2]probeOrder) {
	if !repeated {
		p.saved = min(p.saved+probesPerRequest, maxSavedProbes)
	}
	if p.burstAt.IsZero() {
		p.burst = maxProbeBurst
	} else {
		p.burst = min(maxProbeBurst, p.burst+(probesPerSecond-maxProbeBurst)*now.Sub(p.burstAt).Seconds())
	}
	p.burstAt = now
	own := p.use(now, g)
	orders[0].probeGroup = g
	if other := p.due(now, g); other != nil {
		if n := p.take(groupProbes); n > 0 {
			other.probedAt = now
			orders[1] = probeOrder{probeGroup: other.probeGroup, ownZone: n}
		}
	}
	if now.Before(own.otherZonesUntil) && !now.Before(own.otherZoneAt.Add(otherZoneInterval)) {
		own.otherZoneAt = now
		orders[0].otherZones = p.take(1)
	}
	n := probesPerRequest
	if own.reports < enoughReports {
		n = maxSavedProbes
	}
	if orders[0].ownZone = p.take(n); orders[0].ownZone > 0 {
		own.probedAt = now
	}
	return orders
}

// unused returns probes that were ordered and not sent, because all instances had been
// probed.
func (p *probePlan) unused(n int) {
	p.saved, p.burst = min(p.saved+n, maxSavedProbes), min(p.burst+float64(n), maxProbeBurst)
}

// take returns how many of n probes may be sent.
func (p *probePlan) take(n int) int {
	n = min(n, p.saved, int(p.burst))
	p.saved, p.burst = p.saved-n, p.burst-float64(n)
	return n
}

// use returns the state of the group of a request.
func (p *probePlan) use(now time.Time, g probeGroup) *groupState {
	i := slices.IndexFunc(p.groups, func(s groupState) bool { return s.probeGroup == g })
	if i < 0 {
		if len(p.groups) < maxGroups {
			// The list keeps its place in memory, so that pointers into it stay valid.
			p.groups = append(slices.Grow(p.groups, maxGroups-len(p.groups)), groupState{})
			i = len(p.groups) - 1
		} else {
			i = 0
			for j := range p.groups {
				if p.groups[j].usedAt.Before(p.groups[i].usedAt) {
					i = j
				}
			}
		}
		p.groups[i] = groupState{probeGroup: g}
	}
	p.groups[i].usedAt = now
	return &p.groups[i]
}

// due returns the group other than g that is in use and was probed least recently; nil
// if none needs probes.
func (p *probePlan) due(now time.Time, g probeGroup) (due *groupState) {
	for i := range p.groups {
		s := &p.groups[i]
		if s.probeGroup == g || now.Sub(s.usedAt) > groupLifetime || now.Sub(s.probedAt) < groupProbeInterval {
			continue
		}
		if due == nil || s.probedAt.Before(due.probedAt) {
			due = s
		}
	}
	return due
}
