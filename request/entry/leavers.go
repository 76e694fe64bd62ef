package entry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request/route"
)

// leaverMemory is how long an upstream instance that leaves is remembered, which is far
// longer than one takes to stop.
const leaverMemory = time.Hour

// leavers holds the upstream instances whose answers said that they leave. Peers tell of
// them too, but an entry that has passed on such an answer must not use the instance
// again, even if it is out of touch or the host has restarted. The zero value is empty.
type leavers struct {
	// mu serializes changes of byName, which replace the map.
	mu sync.Mutex
	// byName holds the incarnation that leaves, by the name of the instance.
	byName atomic.Pointer[map[string]leaver]
}

// leaver is an incarnation of an upstream instance that leaves.
type leaver struct {
	id          string
	incarnation uint64
	until       time.Time
}

// add remembers the upstream of an instance.
func (l *leavers) add(inst *route.Instance, now time.Time) {
	if l.contains(inst) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[string]leaver)
	if old := l.byName.Load(); old != nil {
		maps.Copy(next, *old)
		maps.DeleteFunc(next, func(_ string, known leaver) bool { return now.After(known.until) })
	}
	next[inst.Name] = leaver{inst.UpstreamID, inst.UpstreamIncarnation, now.Add(leaverMemory)}
	l.byName.Store(&next)
}

// contains reports whether the upstream of an instance leaves.
func (l *leavers) contains(inst *route.Instance) bool {
	byName := l.byName.Load()
	if byName == nil {
		return false
	}
	known, ok := (*byName)[inst.Name]
	return ok && known.id == inst.UpstreamID && known.incarnation == inst.UpstreamIncarnation
}
