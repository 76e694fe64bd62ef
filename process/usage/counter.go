package usage

import (
	"sync"
	"time"
)

const (
	// maxTenants bounds the tenants whose requests are counted.
	maxTenants = 4096
	// keepPeriod is how long the counts of a window are kept after its end.
	keepPeriod = time.Minute
)

// Counter counts the requests that the upstream beside the daemon began to run, by tenant
// and window. It is safe for concurrent use; the zero value is empty.
type Counter struct {
	mu      sync.Mutex
	windows map[int64]map[string]*hostTotal
	// seq numbers the changes.
	seq uint64
}

// hostTotal is a count and the number of its last change.
type hostTotal struct {
	n       int64
	changed uint64
}

// Add adds n to the count of a tenant and reports whether there was room for it.
func (c *Counter) Add(window int64, tenant string, n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, ok := c.windows[window]
	if !ok {
		if n < 0 {
			return false
		}
		if c.windows == nil {
			c.windows = make(map[int64]map[string]*hostTotal)
		}
		counts = make(map[string]*hostTotal)
		c.windows[window] = counts
	}
	t, ok := counts[tenant]
	if !ok {
		if n < 0 || len(counts) >= maxTenants {
			return false
		}
		t = new(hostTotal)
		counts[tenant] = t
	}
	c.seq++
	t.n += n
	t.changed = c.seq
	return true
}

// Since returns the counts that have changed after a change, and the number of the last
// one. The counts are totals, so it does no harm if they arrive more than once.
func (c *Counter) Since(seq uint64) (list []WindowCounts, last uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, counts := range c.windows {
		w := WindowCounts{Window: id, Counts: make(map[string]int64)}
		for tenant, t := range counts {
			if t.changed > seq {
				w.Counts[tenant] = t.n
			}
		}
		if len(w.Counts) > 0 {
			list = append(list, w)
		}
	}
	return list, c.seq
}

// Forget drops the windows before one.
func (c *Counter) Forget(before int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.windows {
		if id < before {
			delete(c.windows, id)
		}
	}
}
