// Package metrics counts what a daemon does, keeps histograms of latencies by route
// and outcome, and serves both as expvar.
//
// # Usage
//
//	var set metrics.Set
//	set.Add("entry.requests", 1)
//	http.Handle("/debug/vars", &set)
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Set is a set of counters and gauges; the zero value is empty and ready.
type Set struct {
	vars expvar.Map

	mu        sync.Mutex
	latencies map[series]*hdrhistogram.Histogram
	// routes holds the routes that have counters of their own.
	routes map[string]bool
}

// series identifies a histogram by its name, the route and the outcome.
type series struct{ name, route, outcome string }

const (
	// histogramMaxMicros is the longest latency that a histogram records, in
	// microseconds; longer ones count as this one.
	histogramMaxMicros = int64(time.Minute / time.Microsecond)
	// histogramDigits is the number of significant decimal digits of a histogram.
	histogramDigits = 2
	// maxSeries bounds the number of histograms, and of routes with counters of their
	// own; further routes share the name other.
	maxSeries = 60
)

// quantiles are the quantiles that are served, in percent.
var quantiles = []float64{50, 90, 99, 99.9}

// Observe adds a latency to the histogram of a name, a route and an outcome.
func (s *Set) Observe(name string, elapsed time.Duration, route, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := series{name, route, outcome}
	h, ok := s.latencies[k]
	if !ok && len(s.latencies) >= maxSeries {
		k.route = "other"
		h, ok = s.latencies[k]
	}
	if !ok {
		if s.latencies == nil {
			s.latencies = make(map[series]*hdrhistogram.Histogram)
		}
		h = hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
		s.latencies[k] = h
	}
	_ = h.RecordValue(max(1, min(elapsed.Microseconds(), histogramMaxMicros)))
}

// histogram is the served JSON form of a histogram.
type histogram struct {
	Count int64 `json:"count"`
	// QuantilesMs maps quantiles in percent to milliseconds.
	QuantilesMs map[string]float64 `json:"quantilesMs"`
}

// histograms returns the histograms, keyed by name/route/outcome.
func (s *Set) histograms() map[string]histogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]histogram, len(s.latencies))
	for k, h := range s.latencies {
		v := histogram{Count: h.TotalCount(), QuantilesMs: make(map[string]float64, len(quantiles))}
		for _, q := range quantiles {
			v.QuantilesMs[strconv.FormatFloat(q, 'f', -1, 64)] = float64(h.ValueAtQuantile(q)) / 1000
		}
		out[k.name+"/"+k.route+"/"+k.outcome] = v
	}
	return out
}

// Add adds n to a counter.
func (s *Set) Add(name string, n int64) { s.vars.Add(name, n) }

// AddRoute adds n to the counter of a route. At most maxSeries routes have a counter of
// their own; further routes share one.
func (s *Set) AddRoute(name, route string, n int64) {
	s.mu.Lock()
	if !s.routes[route] && len(s.routes) >= maxSeries {
		route = "other"
	} else {
		if s.routes == nil {
			s.routes = make(map[string]bool)
		}
		s.routes[route] = true
	}
	s.mu.Unlock()
	s.vars.Add(name+"."+route, n)
}

// Gauge serves the result of f under the given name.
func (s *Set) Gauge(name string, f func() any) { s.vars.Set(name, expvar.Func(f)) }

// Get returns the value of a counter.
func (s *Set) Get(name string) int64 {
	if v, ok := s.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// AddProcessMetrics adds the latency histograms and gauges of this process: heap and total memory
// from the operating system in bytes, goroutines, and CPU time in seconds.
func (s *Set) AddProcessMetrics() {
	s.Gauge("latencies", func() any { return s.histograms() })
	s.Gauge("process.heapBytes", func() any {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	})
	s.Gauge("process.sysBytes", func() any {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.Sys
	})
	s.Gauge("process.goroutines", func() any { return runtime.NumGoroutine() })
	s.Gauge("process.cpuSeconds", func() any {
		var ru syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
			return 0
		}
		const micro = 1e-6
		return float64(ru.Utime.Sec+ru.Stime.Sec) + micro*float64(ru.Utime.Usec+ru.Stime.Usec)
	})
}

// ServeHTTP implements http.Handler.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintln(w, s.vars.String())
}
