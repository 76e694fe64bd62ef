package host

import (
	"sync"
	"time"
)

// meanSampleWeight is the weight of a new answer in the mean of its route. The answer
// times of one route differ by a factor of ten, and a server that becomes slow is
// visible within a second.
const meanSampleWeight = 1.0 / 16

// maxRoutes bounds the routes whose means are kept.
const maxRoutes = 1024

// meanTimes holds the mean answer time by route. The zero value is ready for use.
type meanTimes struct {
	mu      sync.Mutex
	byRoute map[string]time.Duration
	// all is the mean of the answers of all routes; zero before the first.
	all time.Duration
}

// reset discards the means of an earlier incarnation.
func (m *meanTimes) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.byRoute)
	m.all = 0
}

func (m *meanTimes) observe(route string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.all == 0 {
		m.all = took
	}
	m.all += time.Duration(meanSampleWeight * float64(took-m.all))
	old, ok := m.byRoute[route]
	switch {
	case ok:
		m.byRoute[route] = old + time.Duration(meanSampleWeight*float64(took-old))
	case len(m.byRoute) < maxRoutes:
		if m.byRoute == nil {
			m.byRoute = make(map[string]time.Duration)
		}
		m.byRoute[route] = took
	}
}

func (m *meanTimes) of(route string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byRoute[route]
}

func (m *meanTimes) ofAll() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.all
}
