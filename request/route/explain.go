package route

import (
	"math"
	"slices"
)

// Rule is the rule by which Pick chose an instance.
type Rule string

// The rules of Pick.
const (
	// RuleLeastCost chooses the least cost among a few random instances that are open.
	RuleLeastCost Rule = "leastCost"
	// RuleAdmitting chooses the least cost among those that admit the class of the
	// request, because all are saturated or do not admit it.
	RuleAdmitting Rule = "leastCostOfAdmitting"
	// RuleLeastLoad chooses the least loaded one, because all are saturated or fail.
	RuleLeastLoad Rule = "leastLoad"
)

// Obstacle says why an instance is not among those from which Pick chooses.
type Obstacle string

// The obstacles. Those from ObstacleTried to ObstacleRamp exclude an instance; others
// are overridden if no instance is open.
const (
	ObstacleTried     Obstacle = "tried"
	ObstacleLeaving   Obstacle = "leaving"
	ObstacleRamp      Obstacle = "zoneReturning"
	ObstacleFailing   Obstacle = "failing"
	ObstacleSuspect   Obstacle = "suspect"
	ObstacleNotAdmits Obstacle = "doesNotAdmitClass"
	ObstacleSaturated Obstacle = "saturated"
	// ObstacleDistance means that a nearer instance is open.
	ObstacleDistance Obstacle = "distance"
	// ObstacleTrial means that the instance takes no part in the trial of its version.
	ObstacleTrial Obstacle = "notOnTrial"
	// ObstacleReport means that others have a newer load report, or a free slot.
	ObstacleReport Obstacle = "noNewerReport"
)

// Explanation describes one decision of Pick.
type Explanation struct {
	// Rule is the rule that chose the instance; empty if none was chosen.
	Rule Rule `json:"rule,omitempty"`
	// Chosen is the name of the chosen instance. It is one of those without an obstacle,
	// by random numbers.
	Chosen     string      `json:"chosen,omitempty"`
	Candidates []Candidate `json:"candidates"`
}

// Candidate is an instance that Pick considered.
type Candidate struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// Ratio is the ratio of load to limit, and Cost the expected answer time as a multiple
	// of the usual one; zero for an instance that fails or is excluded.
	Ratio float64 `json:"ratio"`
	Cost  float64 `json:"cost"`
	// Obstacle is empty if the instance is a choice.
	Obstacle Obstacle `json:"obstacle,omitempty"`

	in *locatedInstance
	// load is the ratio with the penalty of an instance that fails.
	load float64
}

// exclusion returns why an instance is no candidate; empty if it is one. ramp says whether
// a returning zone is included with the probability of its weight.
func (t *Table) exclusion(in *locatedInstance, q *Query, ramp bool) Obstacle {
	switch {
	case slices.Contains(q.Exclude, in.Name):
		return ObstacleTried
	case q.Leaving != nil && q.Leaving(&in.Instance):
		return ObstacleLeaving
	case ramp && q.Rnd[0] >= t.weight(in.Zone, q.Now):
		return ObstacleRamp
	}
	return ""
}

// obstacle returns why a candidate is not open; empty if it is.
func (q *Query) obstacle(c *candidate) Obstacle {
	switch {
	case c.refuses:
		return ObstacleNotAdmits
	case c.ratio < q.saturationRatio(c.distance):
		return ""
	case c.ratio < failingPenalty:
		return ObstacleSaturated
	case c.Suspect:
		return ObstacleSuspect
	}
	return ObstacleFailing
}

// reset lists the instances of the version with the obstacles that are known before the
// choice.
func (x *Explanation) reset(t *Table, q *Query, all []candidate) {
	*x = Explanation{Candidates: make([]Candidate, 0, len(all))}
	for i := range all {
		c := &all[i]
		ratio, cost := c.ratio, c.cost
		if ratio >= failingPenalty {
			ratio, cost = ratio-failingPenalty, 0
		}
		x.Candidates = append(x.Candidates, Candidate{
			Instance: c.Name, Zone: c.Zone, Ratio: ratio, Cost: cost, Obstacle: q.obstacle(c),
			in: c.locatedInstance, load: c.ratio,
		})
	}
	list := t.instances[versionKey{q.Upstream, q.Version}]
	for i := range list {
		in := &list[i]
		if slices.ContainsFunc(all, func(c candidate) bool { return c.Name == in.Name }) {
			continue
		}
		x.Candidates = append(x.Candidates, Candidate{Instance: in.Name, Zone: in.Zone, Obstacle: t.exclusion(in, q, true), in: in, load: math.Inf(1)})
	}
}

// choose records the choice of an instance. list holds the candidates from which it was
// chosen, in reach of distance and at the given share of a trial.
func (x *Explanation) choose(in *Instance, list []candidate, rule Rule, distance int, share float64) {
	if x == nil {
		return
	}
	x.Rule, x.Chosen = rule, in.Name
	for i := range x.Candidates {
		c := &x.Candidates[i]
		if rule != RuleLeastCost || c.Obstacle != "" {
			continue
		}
		switch {
		case c.in.distance > distance:
			c.Obstacle = ObstacleDistance
		case !c.in.onTrial(share):
			c.Obstacle = ObstacleTrial
		case !slices.ContainsFunc(list, func(o candidate) bool { return o.Name == c.Instance }):
			c.Obstacle = ObstacleReport
		}
	}
}

// Possible returns the number of instances that may be chosen with other random numbers.
func (x *Explanation) Possible() int {
	n, load := 0, 0.0
	for _, c := range x.Candidates {
		if c.Instance == x.Chosen {
			load = c.load
		}
	}
	for _, c := range x.Candidates {
		open := c.Obstacle == ""
		switch x.Rule {
		case RuleAdmitting:
			open = open || c.Obstacle == ObstacleSaturated
		case RuleLeastLoad:
			open = c.load == load
		}
		if open {
			n++
		}
	}
	return n
}
