// Package route selects the target of a request: the route, the upstream version,
// the availability zone and the instance.
//
// A Table is an immutable view of one configuration version and the members known
// at that time. Its methods are pure: random numbers and load reports are
// arguments.
//
// # Usage
//
//	tbl := route.NewTable(state, members, "nl-west-a", "nl-west")
//	rt, ok := tbl.Match("", http.MethodGet, "/slots/today")
//	version := tbl.Version(rt.Upstream, share, rnd)
//	inst, ok := tbl.Pick(route.Query{Upstream: rt.Upstream, Version: version, Now: now, Rnd: rnds}, loads)
package route

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

// SaturatedRatio is the ratio of load to limit from which an instance counts
// as saturated and another availability zone is considered.
const SaturatedRatio = 0.9

// Loads reports the ratio of load to limit of an instance, whether calls to it
// currently fail, and its slowness: its answer time as a multiple of that of all
// instances, or zero if unknown.
type Loads interface {
	Ratio(instance string, now time.Time) (ratio float64, failing bool)
	Slowness(instance string, now time.Time) float64
}

// Capacities reports what instances have learned about themselves. Loads may implement
// it.
type Capacities interface {
	// Capacity returns the requests at the instance, its limit, and the answers per
	// second that it gives at that limit; zero answers mean that they are not known.
	Capacity(instance string, now time.Time) (inFlight, limit int, perSecond float64)
}

// Instance is an upstream instance and the daemon beside it.
type Instance struct {
	Name, Zone, Region string
	Upstream, Version  string
	Peer               netip.AddrPort
	// UpstreamID and UpstreamIncarnation name the incarnation of the upstream instance.
	UpstreamID          string
	UpstreamIncarnation uint64
	// Incarnation is that of the daemon.
	Incarnation uint64
	// Suspect marks an instance whose daemon did not answer its peers.
	Suspect bool
}

// Table is an immutable routing table.
type Table struct {
	zone, region string
	state        *fold.State
	// routes holds the routes by host; those of any host have an empty one.
	routes    map[string][]config.Route
	instances map[versionKey][]locatedInstance
	// probed holds the indexes in instances of those that may be probed.
	probed map[versionKey]indexesByDistance
	// initialVersions holds the versions of upstreams before their first move is done,
	// for those whose configuration names none.
	initialVersions map[string]string
}

// versionKey identifies the instances of one version of an upstream.
type versionKey struct{ upstream, version string }

// locatedInstance is an instance with its distance from the daemon.
type locatedInstance struct {
	Instance
	distance int
	// trialIndex is the index of the instance among those of its version and
	// zone, ordered by a hash so that all daemons agree; trialCount is their
	// number.
	trialIndex, trialCount int
}

// Query asks for an instance.
type Query struct {
	Upstream, Version string
	// Exclude lists instances that were already tried.
	Exclude []string
	// Leaving reports whether the upstream instance is about to stop and must not be
	// chosen; nil means that none is.
	Leaving func(*Instance) bool
	// AvailableOnly asks for an instance that is neither saturated nor failing.
	AvailableOnly bool
	// Admits reports whether an instance may admit the request; nil means that any may.
	// If none does, none is chosen.
	Admits func(instance string) bool
	// AnyAdmitting relaxes AvailableOnly: an instance that is saturated may be chosen if
	// it admits the request.
	AnyAdmitting bool
	// WaitRatio is how long the request may wait in the daemon's own zone, as a
	// fraction of the answer time, before its body and answer are sent between
	// zones.
	WaitRatio float64
	// TrialShare is the share of all requests that the version receives while it
	// is on trial; zero means that it is not on trial. See trialLoadShare.
	TrialShare float64
	// ReportAge returns the age of the valid load report about an instance, or false if
	// there is none. If it is set, Pick prefers instances with a report; see
	// preferReported.
	ReportAge func(in *Instance, now time.Time) (time.Duration, bool)
	// UsualTime is the mean answer time of the route over all instances; zero if
	// unknown.
	UsualTime time.Duration
	Now       time.Time
	// Explanation, if it is set, receives how Pick decides.
	Explanation *Explanation
	// Rnd holds random numbers in [0,1): the first for the ramp of a returning
	// zone, the others for the candidates.
	Rnd [1 + pickChoices]float64
}

// pickChoices is the number of random instances from which Pick takes the one
// with the least expected time. With two, one request in nine draws only slow
// ones if a third of the instances are slow; with many, entries with outdated
// reports all choose the same instance.
const pickChoices = 3

// NewTable builds the table of a daemon in the given zone and region.
func NewTable(st *fold.State, members []membership.Member, zone, region string) *Table {
	return (&Table{zone: zone, region: region}).Next(st, members)
}

// Next builds the table of a later state. It shares the sorted routes with t if
// they have not changed, because members change far more often.
func (t *Table) Next(st *fold.State, members []membership.Member) *Table {
	next := &Table{zone: t.zone, region: t.region, state: st, routes: t.routes}
	if t.state == nil || !sameRoutes(t.state.Config.Routes, st.Config.Routes) {
		next.routes = routesByHost(st.Config.Routes)
	}
	next.initialVersions = initialVersions(st, members)
	next.instances = make(map[versionKey][]locatedInstance)
	for i := range members {
		m := &members[i]
		if m.State != membership.Ready && m.State != membership.Suspect || m.Service == "" {
			continue
		}
		if next.weight(m.Zone, time.Time{}) == 0 {
			continue
		}
		k := versionKey{m.Service, m.Version}
		next.instances[k] = append(next.instances[k], locatedInstance{distance: next.distance(m), Instance: Instance{
			Name: m.Name, Zone: m.Zone, Region: m.Region, Upstream: m.Service, Version: m.Version,
			Peer: m.Peer, UpstreamID: m.UpstreamID, UpstreamIncarnation: m.UpstreamIncarnation, Incarnation: m.Incarnation,
			Suspect: m.State == membership.Suspect,
		}})
	}
	next.numberTrialInstances()
	next.listProbed()
	return next
}

// sameRoutes reports whether two lists share their storage. That suffices because
// folding a record replaces the list and does not modify the old one.
func sameRoutes(a, b []config.Route) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// routesByHost groups the routes by host. The longest prefix comes first; among
// equal prefixes, a route with methods precedes one without.
func routesByHost(routes []config.Route) map[string][]config.Route {
	out := make(map[string][]config.Route)
	for _, r := range routes {
		out[r.Host] = append(out[r.Host], r)
	}
	for _, list := range out {
		slices.SortStableFunc(list, func(a, b config.Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(len(b.Methods), len(a.Methods)))
		})
	}
	return out
}

// numberTrialInstances numbers the instances of versions on trial within each zone.
func (t *Table) numberTrialInstances() {
	for k, list := range t.instances {
		if m, ok := t.state.Move(k.upstream); !ok || m.To != k.version {
			continue
		}
		hash := make(map[string]uint64, len(list))
		for i := range list {
			hash[list[i].Name] = xxhash.Sum64String(list[i].Version + "/" + list[i].Name)
		}
		byHash := func(a, b locatedInstance) int {
			return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(hash[a.Name], hash[b.Name]), cmp.Compare(a.Name, b.Name))
		}
		slices.SortFunc(list, byHash)
		for first := 0; first < len(list); {
			end := first
			for end < len(list) && list[end].Zone == list[first].Zone {
				end++
			}
			for i := first; i < end; i++ {
				list[i].trialIndex, list[i].trialCount = i-first, end-first
			}
			first = end
		}
	}
}

func (t *Table) distance(m *membership.Member) int {
	switch {
	case m.Zone == t.zone:
		return sameZone
	case m.Region == t.region:
		return sameRegion
	}
	return otherRegion
}

// Match returns the route of a request. Routes of the host precede those of any
// host.
func (t *Table) Match(host, method, path string) (config.Route, bool) {
	for _, list := range [][]config.Route{t.routes[host], t.routes[""]} {
		for _, r := range list {
			if strings.HasPrefix(path, r.Prefix) && (len(r.Methods) == 0 || slices.Contains(r.Methods, method)) {
				return r, true
			}
		}
	}
	return config.Route{}, false
}

// Version chooses the version of an upstream by the share of its running move;
// rnd is in [0,1).
func (t *Table) Version(upstream string, share func(fold.Move) float64, rnd float64) string {
	if m, ok := t.state.Move(upstream); ok && rnd < share(m) && t.hasVersion(upstream, m.To) {
		return m.To
	}
	return t.InForce(upstream)
}

// InForce returns the version that receives the traffic of an upstream outside of a
// move, or an empty string if there is none.
func (t *Table) InForce(upstream string) string {
	return cmp.Or(t.state.ActiveVersion(upstream), t.initialVersions[upstream])
}

// InitialVersions returns the versions in force of the upstreams of which no move was
// done yet and whose configuration names none.
func (t *Table) InitialVersions() map[string]string { return t.initialVersions }

// versionUse describes the instances of one version that are in use.
type versionUse struct {
	// oldest is the earliest start among the instances; zero if none is known.
	oldest uint64
	count  int
}

// startsBefore reports whether a version was in use before another one: the instance
// that has run longest decides, since a new version starts beside the old one and may
// have more instances. If the starts are equal or unknown, the number decides.
func (u versionUse) startsBefore(other versionUse) bool {
	const unknown = math.MaxUint64
	return cmp.Or(
		cmp.Compare(cmp.Or(u.oldest, unknown), cmp.Or(other.oldest, unknown)),
		cmp.Compare(other.count, u.count),
	) < 0
}

// initialVersions returns the version that was first in use, by upstream. Instances that
// drain or have left do not count, nor do versions that moves were ordered to: the
// target of a running move receives the share of the move, and a withdrawn one nothing.
func initialVersions(st *fold.State, members []membership.Member) map[string]string {
	use := make(map[versionKey]versionUse)
	targets := make(map[string]string)
	decided := make(map[string]bool)
	for i := range members {
		m := &members[i]
		if m.State != membership.Ready && m.State != membership.Suspect || m.Service == "" {
			continue
		}
		if _, ok := decided[m.Service]; !ok {
			decided[m.Service] = st.ActiveVersion(m.Service) != ""
			if mv, ok := st.Move(m.Service); ok {
				targets[m.Service] = mv.To
			}
		}
		if target, ok := targets[m.Service]; decided[m.Service] || ok && target == m.Version || st.IsWithdrawn(m.Service, m.Version) {
			continue
		}
		k := versionKey{m.Service, m.Version}
		u := use[k]
		u.count++
		if u.oldest == 0 || m.UpstreamIncarnation != 0 && m.UpstreamIncarnation < u.oldest {
			u.oldest = m.UpstreamIncarnation
		}
		use[k] = u
	}
	initial := make(map[string]string)
	for k, u := range use {
		best, ok := initial[k.upstream]
		other := use[versionKey{k.upstream, best}]
		if !ok || u.startsBefore(other) || !other.startsBefore(u) && k.version < best {
			initial[k.upstream] = k.version
		}
	}
	return initial
}

func (t *Table) hasVersion(upstream, version string) bool {
	return slices.ContainsFunc(t.instances[versionKey{upstream, version}], func(in locatedInstance) bool { return !in.Suspect })
}

// weight returns the share of its normal traffic that a zone receives: 0 for a
// zone that is out, and rising from 0 to 1 while a zone returns. At the zero
// time, a returning zone has its full weight.
func (t *Table) weight(zone string, now time.Time) float64 {
	z, ok := t.state.Zones[zone]
	switch {
	case !ok:
		return 1
	case z.Out:
		return 0
	case now.IsZero() || !now.Before(z.RampUntil):
		return 1
	case !now.After(z.RampFrom):
		return 0
	}
	return float64(now.Sub(z.RampFrom)) / float64(z.RampUntil.Sub(z.RampFrom))
}

// Distances of an instance from the daemon; smaller is preferred.
const (
	sameZone = iota
	sameRegion
	otherRegion
	distances
)

// candidate is an instance with its score for one request.
type candidate struct {
	*locatedInstance
	ratio float64
	// cost is the expected answer time as a multiple of the usual one.
	cost float64
	// refuses means that the instance is known not to admit the request.
	refuses bool
	// reportAge is the age of the valid load report, or noReport.
	reportAge time.Duration
}

// loadCostFactor is the relative increase of the cost of an instance from idle to
// fully loaded. A fast instance is filled to about two thirds before one of half
// its speed is used, because some instances slow down when they are nearly full,
// and load reports lag behind.
const loadCostFactor = 4

// trialLoadShare is the fraction of its usual load that an instance of a version
// on trial receives. Without it, a fault that shows only under load would not
// show until most requests have moved: 4 percent of the requests, spread over all
// instances of the new version, leave each of them nearly idle. It is below 1
// because the load is spread less evenly over few instances than over many.
const trialLoadShare = 0.9

// onTrial reports whether an instance takes part in the trial of its version. In
// each zone, as many instances do as the share can load.
func (in *locatedInstance) onTrial(share float64) bool {
	return share <= 0 || share >= 1 || in.trialIndex < max(1, int(math.Ceil(share/trialLoadShare*float64(in.trialCount))))
}

// Pick chooses an instance. While the version is on trial, it prefers the
// instances that take part in the trial and uses the others only when these are
// saturated. Among a few random instances of the daemon's own zone, Pick takes
// the one with the least expected time. It widens the choice to the region and
// then to all zones when the instances so far are saturated or failing. If all
// are, it takes the least loaded one, or none if q.AvailableOnly is set.
func (t *Table) Pick(q Query, loads Loads) (Instance, bool) {
	var buf [64]candidate
	all := t.candidates(q, loads, buf[:0])
	if q.Explanation != nil {
		q.Explanation.reset(t, &q, all)
	}
	if len(all) == 0 {
		return Instance{}, false
	}
	var open [64]candidate
	scratch := open[:0]
	if len(all) > cap(scratch) {
		scratch = make([]candidate, 0, len(all))
	}
	for _, share := range []float64{q.TrialShare, 0} {
		for distance := range distances {
			list := scratch
			for _, c := range all {
				if c.distance <= distance && c.onTrial(share) && q.obstacle(&c) == "" {
					list = append(list, c)
				}
			}
			if len(list) > 0 {
				list = q.preferReported(list, all)
				best := leastCost(list, q).Instance
				q.Explanation.choose(&best, list, RuleLeastCost, distance, share)
				return best, true
			}
		}
	}
	if q.Admits != nil {
		if c, healthy := pickAdmitting(all, q, open[:0]); c != nil || healthy {
			if c == nil || q.AvailableOnly && !q.AnyAdmitting {
				return Instance{}, false
			}
			q.Explanation.choose(&c.Instance, nil, RuleAdmitting, otherRegion, 0)
			return c.Instance, true
		}
	}
	if q.AvailableOnly {
		return Instance{}, false
	}
	best := all[int(q.Rnd[1]*float64(len(all)))]
	for _, c := range all {
		if c.ratio < best.ratio {
			best = c
		}
	}
	q.Explanation.choose(&best.Instance, nil, RuleLeastLoad, otherRegion, 0)
	return best.Instance, true
}

// saturationRatio returns the ratio of load to limit from which an instance at
// the given distance counts as saturated.
func (q *Query) saturationRatio(distance int) float64 {
	if distance == sameZone && q.WaitRatio > 0 {
		return 1 + q.WaitRatio
	}
	return SaturatedRatio
}

// candidates returns the instances that may receive the request. A returning zone
// is included with the probability of its weight. If that leaves no instance, it
// is included regardless, because a refusal would be worse than a fast ramp.
func (t *Table) candidates(q Query, loads Loads, buf []candidate) []candidate {
	list := t.instances[versionKey{q.Upstream, q.Version}]
	if len(list) > cap(buf) {
		buf = make([]candidate, 0, len(list))
	}
	capacities, _ := loads.(Capacities)
	add := func(ramp bool) {
		for i := range list {
			in := &list[i]
			if t.exclusion(in, &q, ramp) != "" {
				continue
			}
			ratio, failing := loads.Ratio(in.Name, q.Now)
			if failing || in.Suspect {
				ratio += failingPenalty
			}
			slowness := loads.Slowness(in.Name, q.Now)
			if slowness == 0 {
				slowness = 1
			}
			c := candidate{locatedInstance: in, ratio: ratio, cost: slowness * (1 + loadCostFactor*ratio*ratio), reportAge: q.reportAge(&in.Instance)}
			c.refuses = q.Admits != nil && !q.Admits(in.Name)
			if capacities != nil {
				if n, limit, perSecond := capacities.Capacity(in.Name, q.Now); perSecond > 0 {
					c.cost = q.expectedCost(slowness, n, limit, perSecond)
				}
			}
			buf = append(buf, c)
		}
	}
	if add(true); len(buf) == 0 {
		add(false)
	}
	return buf
}

// pickAdmitting returns the instance with the least cost among those that admit the
// request and are neither failing nor suspect, or nil, and whether any instance is
// neither. Other instances are no alternative as long as one is: they often have no
// load report, and do not answer.
func pickAdmitting(all []candidate, q Query, list []candidate) (best *locatedInstance, healthy bool) {
	for _, c := range all {
		if c.ratio >= failingPenalty {
			continue
		}
		healthy = true
		if !c.refuses {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		return nil, healthy
	}
	return leastCost(list, q).locatedInstance, true
}

// expectedCost returns the expected response time at an instance that reports its
// capacity, as a multiple of the usual answer time.
func (q *Query) expectedCost(slowness float64, inFlight, limit int, perSecond float64) float64 {
	cost := slowness
	if excess := inFlight + 1 - limit; excess > 0 {
		usual := q.UsualTime.Seconds()
		if usual <= 0 {
			// The mean time of all its answers, at the usual speed.
			usual = float64(limit) / perSecond / slowness
		}
		cost += float64(excess) / perSecond / usual
	}
	return cost
}

// failingPenalty ranks failing and suspect instances behind all others.
const failingPenalty = 1e6

// leastCost returns the instance with the least cost among pickChoices random
// draws.
func leastCost(list []candidate, q Query) candidate {
	best := list[int(q.Rnd[1]*float64(len(list)))]
	for _, rnd := range q.Rnd[2:] {
		if c := list[int(rnd*float64(len(list)))]; c.cost < best.cost {
			best = c
		}
	}
	return best
}
