package usage

import "maps"

// maxTotals bounds the counts that are kept of all hosts, at about 60 bytes each.
const maxTotals = 1 << 17

// Host names one process of a daemon. A daemon that is started again counts from zero, and
// both counts are valid.
type Host struct {
	Name        string
	Incarnation uint64
}

// total is the newest total of a tenant at a host. seq is the number of the message that
// carried it: a total may fall when an upstream states that it did not run a request.
type total struct {
	n   int64
	seq uint64
}

// Collection holds the totals of all hosts for windows that are not reported yet. It is
// not safe for concurrent use; the zero value is empty.
type Collection struct {
	windows map[int64]map[Host]map[string]total
	// tenants holds each name once.
	tenants map[string]string
	totals  int
}

// Merge takes the totals of a message, the seq-th of a host, and returns the number of
// counts for which there is no room. Messages may be repeated and arrive in any order.
func (c *Collection) Merge(host Host, seq uint64, list []WindowCounts) (dropped int) {
	if c.windows == nil {
		c.windows, c.tenants = make(map[int64]map[Host]map[string]total), make(map[string]string)
	}
	for _, w := range list {
		hosts, ok := c.windows[w.Window]
		if !ok {
			hosts = make(map[Host]map[string]total)
			c.windows[w.Window] = hosts
		}
		counts, ok := hosts[host]
		if !ok {
			counts = make(map[string]total, len(w.Counts))
			hosts[host] = counts
		}
		for name, n := range w.Counts {
			old, known := counts[name]
			if known && seq <= old.seq || n < 0 {
				continue
			}
			if !known {
				tenant, ok := c.tenants[name]
				if !ok && len(c.tenants) >= maxTenants || c.totals >= maxTotals {
					dropped++
					continue
				}
				if !ok {
					tenant = name
					c.tenants[name] = name
				}
				name = tenant
				c.totals++
			}
			counts[name] = total{n, seq}
		}
	}
	return dropped
}

// Sum returns the requests of each tenant in a window.
func (c *Collection) Sum(window int64) map[string]int64 {
	sum := make(map[string]int64)
	for _, counts := range c.windows[window] {
		for tenant, t := range counts {
			if t.n > 0 {
				sum[tenant] += t.n
			}
		}
	}
	return sum
}

// HostTotals holds the totals of one host as of its seq-th change.
type HostTotals struct {
	From        string         `json:"from"`
	Incarnation uint64         `json:"incarnation"`
	Seq         uint64         `json:"seq"`
	Windows     []WindowCounts `json:"windows"`
}

// All returns the totals of all hosts. The number of the last change of a host that is
// known holds for all its totals, since each message carries all changes since the last
// one that has arrived.
func (c *Collection) All() []HostTotals {
	byHost := make(map[Host]*HostTotals)
	for window, hosts := range c.windows {
		for host, counts := range hosts {
			h, ok := byHost[host]
			if !ok {
				h = &HostTotals{From: host.Name, Incarnation: host.Incarnation}
				byHost[host] = h
			}
			w := WindowCounts{Window: window, Counts: make(map[string]int64, len(counts))}
			for tenant, t := range counts {
				w.Counts[tenant] = t.n
				h.Seq = max(h.Seq, t.seq)
			}
			h.Windows = append(h.Windows, w)
		}
	}
	list := make([]HostTotals, 0, len(byHost))
	for _, h := range byHost {
		list = append(list, *h)
	}
	return list
}

// First returns the first window with counts.
func (c *Collection) First() (window int64, ok bool) {
	for id := range c.windows {
		if !ok || id < window {
			window, ok = id, true
		}
	}
	return window, ok
}

// Forget drops the windows before one, and the names of tenants that no window needs.
func (c *Collection) Forget(before int64) {
	changed := false
	for id, hosts := range c.windows {
		if id >= before {
			continue
		}
		for _, counts := range hosts {
			c.totals -= len(counts)
		}
		delete(c.windows, id)
		changed = true
	}
	if changed && len(c.tenants) > maxTenants/2 {
		c.tenants = make(map[string]string)
		for _, hosts := range c.windows {
			for _, counts := range hosts {
				for name := range maps.Keys(counts) {
					c.tenants[name] = name
				}
			}
		}
	}
}
