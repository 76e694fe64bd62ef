package control

import (
	"cmp"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/claim"
	"github.com/kingcuppitch/kingcuppitch/request/quarantine"
	"github.com/kingcuppitch/kingcuppitch/request/route"
	"github.com/kingcuppitch/kingcuppitch/request/tenant"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

// Snapshot is an immutable view of the control state for traffic.
type Snapshot struct {
	State *fold.State
	Table *route.Table
	// Tenants finds the tenant of a request; nil if there are no tenants.
	Tenants *tenant.Index
	Self    membership.Member
	// Earlier is what peers remember of the daemon and its upstream from before the
	// daemon restarted; nil if they remember nothing.
	Earlier *membership.Member
	// Members holds all members that are not dead, including the daemon itself.
	Members []membership.Member
	// Serving is false until the daemon holds a current state, and after a pause of
	// the process until it has caught up.
	Serving bool
	// LogReachable says whether the last read of the log succeeded.
	LogReachable bool
	// Shares holds the new version's share of traffic for each running move.
	Shares map[int64]float64
	// RouteShares holds the larger shares of routes with little traffic.
	RouteShares map[int64]map[string]float64
	// TakenBack holds the moves that have a verdict against them.
	TakenBack map[int64]bool
	// crashes is the merged set of crash reports; it is safe for concurrent use.
	crashes *quarantine.Set
	// owners returns the owner of each claim shard, computed at first use.
	owners func() [claim.Shards]owner
}

// Share returns the new version's share of traffic on a route in a move.
func (s *Snapshot) Share(m fold.Move, route string) float64 {
	if share, ok := s.RouteShares[m.ID][route]; ok {
		return share
	}
	return s.Shares[m.ID]
}

// Quarantined reports whether requests with the fingerprint are refused.
func (s *Snapshot) Quarantined(fingerprint uint64) bool {
	return s.crashes != nil && s.crashes.Quarantined(fingerprint)
}

// ZoneOut reports whether operators took the daemon's zone out.
func (s *Snapshot) ZoneOut() bool { return s.State.Zones[s.Self.Zone].Out }

// BodyLimit returns the largest allowed request body, in bytes.
func (s *Snapshot) BodyLimit() int64 { return cmp.Or(s.State.Config.Limits.BodyBytes, request.MaxBody) }

// ShedOrder returns the shed order of the preset in force.
func (s *Snapshot) ShedOrder(now time.Time) []string {
	p, _ := s.State.InForce(now)
	return p.Shed
}
