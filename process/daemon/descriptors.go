package daemon

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// The descriptors of the process are divided so that callers cannot take those that the
// daemon's own work needs. The rest, about an eighth, is for connections to the upstream,
// to peers and to the log, for checks and for files.
const (
	// callerPercent is the part for the connections of callers, before those that are
	// accepted only to be refused, a sixteenth of it.
	callerPercent = 70
	// peerPercent is the part for the connections that peers open.
	peerPercent = 12
	// maxShortConns bounds the connections to each server for short requests:
	// announcements, metrics and readiness.
	maxShortConns = 32
	// callerConnBytes is the memory that a connection of a caller takes, and
	// callerMemoryDivisor divides the memory to give the part for all of them.
	callerConnBytes     = 16 << 10
	callerMemoryDivisor = 4
)

// maxDescriptors returns the limit of descriptors in force, which may change while the
// process runs; zero means that it is not known.
func maxDescriptors() int {
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil {
		return 0
	}
	return int(min(lim.Cur, math.MaxInt32)) //nolint:gosec // bounded above
}

// openDescriptors returns the number of descriptors in use, or -1 if it cannot be read.
func openDescriptors() int {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return -1
	}
	return len(list)
}

// maxCallerConns returns a function for the number of connections of callers above which
// some are closed: a part of the descriptors, and of the memory in bytes. A memory of
// zero is not known.
func maxCallerConns(memory int64) func() int {
	byMemory := math.MaxInt32
	if memory > 0 {
		byMemory = int(min(memory/callerMemoryDivisor/callerConnBytes, math.MaxInt32))
	}
	return func() int { return min(maxDescriptors()*callerPercent/100, byMemory) }
}

func maxPeerConns() int { return maxDescriptors() * peerPercent / 100 }

func fixed(n int) func() int { return func() int { return n } }

// connBound bounds the connections of an http.Server. For a connection too many it closes
// the one that has been without a request for the longest time, or the new one if all
// have a request.
type connBound struct {
	max    func() int
	closed func()

	mu    sync.Mutex
	conns map[net.Conn]idleState
}

// idleState says whether a connection is without a request, and since when.
type idleState struct {
	idle  bool
	since time.Time
}

// observe is the ConnState hook of the server.
func (b *connBound) observe(nc net.Conn, st http.ConnState) {
	if surplus := b.update(nc, st); surplus != nil {
		b.closed()
		_ = surplus.Close()
	}
}

// update notes the state of a connection. It returns a connection to close, or nil.
func (b *connBound) update(nc net.Conn, st http.ConnState) (surplus net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conns == nil {
		b.conns = make(map[net.Conn]idleState)
	}
	switch st {
	case http.StateClosed, http.StateHijacked:
		delete(b.conns, nc)
		return nil
	case http.StateActive:
		b.conns[nc] = idleState{}
		return nil
	case http.StateIdle:
		b.conns[nc] = idleState{idle: true, since: time.Now()}
		return nil
	case http.StateNew:
	}
	n := b.max()
	if n > 0 && len(b.conns) >= n {
		surplus = b.longestIdle()
		if surplus == nil {
			return nc
		}
		delete(b.conns, surplus)
	}
	b.conns[nc] = idleState{idle: true, since: time.Now()}
	return surplus
}

func (b *connBound) longestIdle() (longest net.Conn) {
	for nc, st := range b.conns {
		if st.idle && (longest == nil || st.since.Before(b.conns[longest].since)) {
			longest = nc
		}
	}
	return longest
}

// addDescriptorMetrics adds gauges of descriptors and of the connections of callers, and
// of their bounds.
func (d *Daemon) addDescriptorMetrics() {
	d.metrics.Gauge("process.descriptors", func() any { return openDescriptors() })
	d.metrics.Gauge("process.maxDescriptors", func() any { return maxDescriptors() })
	d.metrics.Gauge("callers.connections", func() any {
		n, _ := d.callers.Connections()
		return n
	})
	d.metrics.Gauge("callers.maxConnections", func() any {
		_, bound := d.callers.Connections()
		return bound
	})
}

// nearPercent is the part of a bound from which on the status of the daemon names it.
const nearPercent = 90

// warning describes what restricts the daemon; it is empty if there is nothing.
func (d *Daemon) warning() string {
	text := d.host.Warning()
	if d.callers == nil {
		return text
	}
	if n, bound := d.callers.Connections(); bound > 0 && n >= bound*nearPercent/100 {
		if text != "" {
			text += "; "
		}
		text += fmt.Sprintf("callers have %d of %d connections, above which some are closed", n, bound)
	}
	return text
}
