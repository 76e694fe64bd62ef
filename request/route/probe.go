package route

import (
	"math"
	"slices"
	"time"
)

const (
	// minReports is the number of valid reports in reach from which Pick chooses among
	// the instances with a report.
	minReports = 2
	// newestReports is the number of instances with the newest reports among which Pick
	// then chooses. What an instance reports changes every 20 ms.
	newestReports = 3
	// maxProbeSteps bounds the instances that are considered for one probe, so that the
	// work does not grow with the number of instances.
	maxProbeSteps = 8
)

// indexesByDistance holds the indexes of instances by distance from the daemon.
type indexesByDistance [distances][]int32

// listProbed lists the instances that may be probed, by distance.
func (t *Table) listProbed() {
	t.probed = make(map[versionKey]indexesByDistance, len(t.instances))
	for k, list := range t.instances {
		var byDistance indexesByDistance
		for i := range list {
			if in := &list[i]; !in.Suspect && in.Peer.IsValid() {
				byDistance[in.distance] = append(byDistance[in.distance], int32(i)) //nolint:gosec // an index of a member
			}
		}
		t.probed[k] = byDistance
	}
}

// ProbeTargets appends up to n random instances that may serve q to buf: those of the
// daemon's own zone, or of the nearest other zones. Instances that are excluded, suspect
// or leave, and those of a zone that is out, are never among them. claim is asked last and
// rejects instances that need no probe. intn returns a random number below its argument.
func (t *Table) ProbeTargets(q Query, ownZone bool, n int, intn func(int) int, claim func(*Instance) bool, buf []*Instance) []*Instance {
	k := versionKey{q.Upstream, q.Version}
	all, byDistance := t.instances[k], t.probed[k]
	list := byDistance[sameZone]
	if ownZone {
		list = list[:trialPrefix(all, list, q.TrialShare)]
	} else if list = byDistance[sameRegion]; len(list) == 0 {
		list = byDistance[otherRegion]
	}
	if len(list) == 0 {
		return buf
	}
	for range n {
		start := intn(len(list))
		for step := range min(maxProbeSteps, len(list)) {
			in := &all[list[(start+step)%len(list)]]
			if in.onTrial(q.TrialShare) && !slices.Contains(q.Exclude, in.Name) && (q.Leaving == nil || !q.Leaving(&in.Instance)) && claim(&in.Instance) {
				buf = append(buf, &in.Instance)
				break
			}
		}
	}
	return buf
}

// trialPrefix returns the number of instances of one zone that take part in the trial of
// their version. They come first, because numberTrialInstances has ordered them; the
// instances that are not probed leave gaps in the numbers.
func trialPrefix(all []locatedInstance, list []int32, share float64) int {
	if len(list) == 0 || share <= 0 || share >= 1 || all[list[0]].trialCount == 0 {
		return len(list)
	}
	n := int(math.Ceil(share / trialLoadShare * float64(all[list[0]].trialCount)))
	return max(1, min(n, len(list)))
}

// noReport is the age of the report about an instance without a valid one.
const noReport = time.Duration(-1)

// reportAge returns the age of the valid load report about an instance, or noReport.
func (q *Query) reportAge(in *Instance) time.Duration {
	if q.ReportAge != nil {
		if age, ok := q.ReportAge(in, q.Now); ok {
			return max(0, age)
		}
	}
	return noReport
}

// preferReported returns those of list from which an instance is chosen. If all holds
// at least minReports instances with a valid load report, they are the newestReports of
// list with the newest reports, those with a free slot before others. Otherwise, or if
// list has none with a report, they are all of list. An instance of which nothing is known
// looks idle, and at high load it is usually not.
func (q *Query) preferReported(list, all []candidate) []candidate {
	if q.ReportAge == nil {
		return list
	}
	reports := 0
	for i := range all {
		if all[i].reportAge != noReport {
			reports++
		}
	}
	if reports < minReports {
		return list
	}
	open := 0
	for i := range list {
		if list[i].reportAge != noReport {
			list[open], list[i] = list[i], list[open]
			open++
		}
	}
	if open == 0 {
		return list
	}
	list = list[:open]
	free := 0
	for i := range list {
		if list[i].ratio < SaturatedRatio {
			list[free], list[i] = list[i], list[free]
			free++
		}
	}
	if free > 0 {
		list = list[:free]
	}
	return newest(list)
}

// newest returns the newestReports candidates with the newest reports.
func newest(list []candidate) []candidate {
	if len(list) <= newestReports {
		return list
	}
	for n := range newestReports {
		for i := n + 1; i < len(list); i++ {
			if list[i].reportAge < list[n].reportAge {
				list[n], list[i] = list[i], list[n]
			}
		}
	}
	return list[:newestReports]
}
