package control

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/quarantine"
	"github.com/kingcuppitch/kingcuppitch/version/move"
)

const (
	// crashGatherPeriod is how long lost calls are collected after the first one
	// before a crash is reported, so that the report includes them all.
	crashGatherPeriod = 100 * time.Millisecond
	// crashProbeTimeout bounds the attempt to connect to an upstream that dropped a
	// connection. A crashed process refuses at once.
	crashProbeTimeout = 200 * time.Millisecond
)

// Recorder counts the calls that this daemon handles as host, for moves, and
// detects crashes of the upstream. It is safe for concurrent use by traffic.
type Recorder struct {
	control *control

	mu       sync.Mutex
	counters map[move.Key]move.Counters
	changed  map[move.Key]bool
	inFlight map[uint64]int
	lost     []lostCall
	// gathering is set while a possible crash is being checked.
	gathering bool
	// reported is the incarnation whose crash was reported.
	reported    uint64
	incarnation uint64
	address     string
}

// lostCall is a call whose connection broke after it was sent to the upstream.
type lostCall struct {
	fingerprint uint64
	route       string
}

func newRecorder(c *control) *Recorder {
	return &Recorder{
		control: c, counters: make(map[move.Key]move.Counters), changed: make(map[move.Key]bool),
		inFlight: make(map[uint64]int),
	}
}

// SetUpstream sets the address and the incarnation of the upstream.
func (r *Recorder) SetUpstream(address string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.incarnation != 0 && r.incarnation != incarnation && len(r.lost) > 0 {
		r.reportCrash()
	}
	r.address, r.incarnation = address, incarnation
}

// Started implements host.Observer.
func (r *Recorder) Started(call *request.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[call.Fingerprint()]++
}

// Finished implements host.Observer.
func (r *Recorder) Finished(call *request.Call, s request.Sample) {
	fp, now := call.Fingerprint(), time.Now()
	snap := r.control.view.Load()
	r.mu.Lock()
	if r.inFlight[fp]--; r.inFlight[fp] <= 0 {
		delete(r.inFlight, fp)
	}
	checkCrash := s.Lost && !r.gathering
	if s.Lost {
		r.lost = append(r.lost, lostCall{fingerprint: fp, route: call.Route})
		r.gathering = true
	} else {
		r.count(snap, call.Route, now, s)
	}
	r.mu.Unlock()
	if s.Completed {
		if cleared := snap.crashes.Completed(fp, now); cleared > 0 {
			r.control.metrics.Add("quarantine.cleared", int64(cleared))
			r.control.events.Add(now, timeline.KindQuarantine, 0, fmt.Sprintf("request %016x of route %s completed here and is cleared of %d crashes", fp, call.Route, cleared))
		}
	}
	if checkCrash {
		time.AfterFunc(crashGatherPeriod, r.checkCrash)
	}
}

// count adds a sample to the counters of a running move.
func (r *Recorder) count(snap *Snapshot, route string, now time.Time, s request.Sample) {
	m, ok := snap.State.Move(snap.Self.Service)
	if !ok {
		return
	}
	if z := snap.State.Zones[snap.Self.Zone]; z.Out || now.Before(z.RampUntil) {
		s.Excluded = true
	}
	k := move.Key{
		Move: m.ID, Instance: snap.Self.Name, Incarnation: snap.Self.Incarnation,
		Route: route, Version: snap.Self.Version, Window: move.WindowOf(m, now),
	}
	n := r.counters[k]
	if s.Untimed && !s.Failed && !s.Excluded {
		n.AddUntimed()
	} else {
		n.Add(s.Took, s.Failed, s.Excluded)
	}
	r.counters[k] = n
	r.changed[k] = true
}

// checkCrash determines whether the lost calls were lost in a crash: a process that
// is gone refuses new connections.
func (r *Recorder) checkCrash() {
	r.mu.Lock()
	address := r.address
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.control.ctx, crashProbeTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gathering = false
	if err != nil {
		r.reportCrash()
		return
	}
	snap, now := r.control.view.Load(), time.Now()
	for _, l := range r.lost {
		r.count(snap, l.route, now, request.Sample{Failed: true})
	}
	r.lost = nil
}

// reportCrash reports the lost calls and those in flight, once per incarnation.
func (r *Recorder) reportCrash() {
	snap, now := r.control.view.Load(), time.Now()
	name := snap.Self.Name
	var fps []uint64
	counted := make(map[string]bool)
	for _, l := range r.lost {
		fps = append(fps, l.fingerprint)
		// The calls lost in a crash fail together, so they count as one failure per
		// route.
		if !counted[l.route] {
			counted[l.route] = true
			r.count(snap, l.route, now, request.Sample{Failed: true, Excluded: snap.crashes.Quarantined(l.fingerprint)})
		}
	}
	r.lost = nil
	if r.reported == r.incarnation {
		return
	}
	r.reported = r.incarnation
	for fp := range r.inFlight {
		fps = append(fps, fp)
	}
	slices.Sort(fps)
	fps = slices.Compact(fps)
	r.control.send(crashReported{quarantine.Crash{
		ID: name + "@" + now.UTC().Format(time.RFC3339Nano), Instance: name, At: now, Fingerprints: fps,
	}})
}

// flush sends the counters that changed since the last flush to the core.
func (r *Recorder) flush(now time.Time) {
	r.mu.Lock()
	out := make(map[move.Key]move.Counters, len(r.changed))
	for k := range r.changed {
		out[k] = r.counters[k]
	}
	clear(r.changed)
	st := r.control.view.Load().State
	for k := range r.counters {
		m, running := st.RunningMove(k.Move)
		if !running || k.Window < move.WindowOf(m, now)-1 {
			delete(r.counters, k)
		}
	}
	r.mu.Unlock()
	if len(out) > 0 || slices.ContainsFunc(st.Moves, isTimed) {
		r.control.send(countersMeasured{out})
	}
}
