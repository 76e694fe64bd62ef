package control

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/timeline"
)

// maxListedFingerprints bounds the fingerprints of one event. An upstream may crash with
// many requests in flight.
const maxListedFingerprints = 8

// listFingerprints returns fingerprints as the end of a sentence for the timeline.
func listFingerprints(list []uint64) string {
	if len(list) == 0 {
		return ""
	}
	var text []string
	for _, fp := range list[:min(len(list), maxListedFingerprints)] {
		text = append(text, fmt.Sprintf("%016x", fp))
	}
	if n := len(list) - maxListedFingerprints; n > 0 {
		text = append(text, fmt.Sprintf("%d more", n))
	}
	return ": " + strings.Join(text, ", ")
}

// noteQuarantine adds to the timeline which requests are quarantined since the last call,
// and which no longer are.
func (c *core) noteQuarantine(now time.Time) {
	d := &c.decisions
	blocked := d.crashes.Blocked()
	if begun := keysWithout(blocked, d.quarantined); len(begun) > 0 {
		c.metrics.Add("quarantine.begun", int64(len(begun)))
		c.event(now, timeline.KindQuarantine, 0, "quarantine begins%s", listFingerprints(begun))
	}
	if ended := keysWithout(d.quarantined, blocked); len(ended) > 0 {
		c.event(now, timeline.KindQuarantine, 0, "quarantine ends%s", listFingerprints(ended))
	}
	d.quarantined = blocked
}

// keysWithout returns the keys of a that b lacks, sorted.
func keysWithout(a, b map[uint64]time.Time) (list []uint64) {
	for fp := range a {
		if _, ok := b[fp]; !ok {
			list = append(list, fp)
		}
	}
	slices.Sort(list)
	return list
}
