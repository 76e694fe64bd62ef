// Package metrics counts what a daemon does and serves the counts as expvar.
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
	"syscall"
)

// Set is a set of counters and gauges; the zero value is empty and ready.
type Set struct {
	vars expvar.Map
}

// Add adds n to a counter.
func (s *Set) Add(name string, n int64) { s.vars.Add(name, n) }

// Gauge serves the value of f under the given name.
func (s *Set) Gauge(name string, f func() any) { s.vars.Set(name, expvar.Func(f)) }

// Get returns the value of a counter.
func (s *Set) Get(name string) int64 {
	if v, ok := s.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Process adds gauges of this process: heap in bytes, goroutines and processor
// time in seconds.
func (s *Set) Process() {
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
