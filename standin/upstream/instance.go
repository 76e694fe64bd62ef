package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/kingcuppitch/kingcuppitch/standin/logservice"
	"github.com/rotisserie/eris"
)

type instance struct {
	name, service, version         string
	address, announce              netip.AddrPort
	slots, coldSlots, connections  int
	startFor, coldFor, work, quiet time.Duration
	exit                           func(code int)
	seed                           uint64
	log                            hclog.Logger
	busySlots                      chan struct{} // holds one value per busy slot
	announceSignal                 chan struct{} // triggers an immediate announcement
	crashed                        chan time.Duration
	swaps                          chan swapOffer

	mu              sync.Mutex
	rand            *rand.Rand
	faults          Faults
	faultsAt        time.Time // when errors and latency take effect
	startUntil      time.Time
	coldUntil       time.Time
	overloadedUntil time.Time
	runs            Runs
	stats           Stats
	conns           map[*conn]struct{}
}

// NewInstance returns an instance that is not yet running.
func NewInstance(opts ...Option) Instance {
	in := &instance{
		name: "upstream", service: "upstream", version: "v1",
		slots: 20, coldSlots: 2, connections: 120,
		work: 2 * time.Millisecond, quiet: 2 * time.Second,
		seed: 1, log: hclog.NewNullLogger(),
		announceSignal: make(chan struct{}, 1),
		crashed:        make(chan time.Duration, 1),
		swaps:          make(chan swapOffer),
		runs:           Runs{Keys: make(map[string]Run), Bodies: make(map[string]Run)},
		conns:          make(map[*conn]struct{}),
	}
	for _, opt := range opts {
		opt(in)
	}
	in.rand = rand.New(rand.NewPCG(in.seed, in.seed))
	in.busySlots = make(chan struct{}, in.slots)
	return in
}

// Run implements Instance.
func (in *instance) Run(ctx context.Context) (err error) {
	defer func() { err = eris.Wrapf(err, "instance %s", in.name) }()
	announceCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var announcer sync.WaitGroup
	defer announcer.Wait()
	defer cancel()
	announcer.Go(func() { in.announcePeriodically(announceCtx) })
	for {
		again, err := in.serve(ctx)
		if err != nil || !again {
			return err
		}
	}
}

// serve runs one incarnation and reports whether another one follows.
func (in *instance) serve(ctx context.Context) (again bool, err error) {
	ln, err := in.listen(ctx)
	if err != nil {
		return false, err
	}
	in.startIncarnation()
	srv := &http.Server{Handler: http.HandlerFunc(in.handle)}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	select {
	case err = <-served:
		return false, err
	case refuseFor := <-in.crashed:
		in.abort()
		_ = srv.Close()
		in.log.Info("crashed", "refuseFor", refuseFor)
		select {
		case <-time.After(refuseFor):
			return true, nil
		case <-ctx.Done():
			return false, nil
		}
	case <-ctx.Done():
	}
	in.drain()
	for !in.idle() {
		select {
		case <-in.crashed:
			_ = srv.Close()
			return false, errors.New("crashed while draining")
		case <-time.After(20 * time.Millisecond):
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
	defer cancel()
	return false, srv.Shutdown(ctx)
}

// startIncarnation starts a new incarnation, which is in cold start.
func (in *instance) startIncarnation() {
	in.mu.Lock()
	now := time.Now()
	in.startUntil = now.Add(in.startFor)
	in.coldUntil = in.startUntil.Add(in.coldFor)
	in.overloadedUntil = time.Time{}
	in.stats.Incarnation = max(in.stats.Incarnation+1, uint64(now.UnixMilli()))
	in.stats.State = Starting
	incarnation := in.stats.Incarnation
	in.mu.Unlock()
	in.log.Info("serving", "address", in.address, "incarnation", incarnation)
	time.AfterFunc(in.startFor, func() {
		in.mu.Lock()
		if in.stats.Incarnation == incarnation && in.stats.State == Starting {
			in.stats.State = Ready
		}
		in.mu.Unlock()
		in.announceNow()
	})
}

func (in *instance) drain() {
	in.mu.Lock()
	if in.stats.State == Starting || in.stats.State == Ready { // neither draining nor crashed
		in.stats.State = Draining
		in.stats.DrainingSince = time.Now()
	}
	in.mu.Unlock()
	in.log.Info("draining")
	in.announceNow()
}

// idle reports whether a drain is complete: no request is in flight and none has
// arrived for the quiet time.
func (in *instance) idle() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	last := in.stats.DrainingSince
	if in.stats.LastRequestAt.After(last) {
		last = in.stats.LastRequestAt
	}
	return in.stats.InFlight == 0 && time.Since(last) >= in.quiet
}

// crash ends the given incarnation. Further calls for the same incarnation have no
// effect.
func (in *instance) crash(incarnation uint64) {
	in.mu.Lock()
	if in.stats.Incarnation != incarnation || in.stats.State == "" {
		in.mu.Unlock()
		return
	}
	in.stats.State = "" // stops announcements
	in.stats.Crashes++
	refuseFor := time.Duration(in.faults.CrashForMs) * time.Millisecond
	in.mu.Unlock()
	if in.exit != nil {
		in.exit(3)
	}
	in.crashed <- refuseFor
}

func (in *instance) announceNow() {
	select {
	case in.announceSignal <- struct{}{}:
	default:
	}
}

func (in *instance) announcePeriodically(ctx context.Context) {
	if !in.announce.IsValid() {
		return
	}
	client := &http.Client{Timeout: AnnounceEvery, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(AnnounceEvery)
	defer tick.Stop()
	failed := false
	for {
		err := in.postAnnouncement(ctx, client)
		if (err != nil) != failed {
			failed = err != nil
			in.log.Info("announcements changed", "failing", failed, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-in.announceSignal:
		}
	}
}

func (in *instance) postAnnouncement(ctx context.Context, client *http.Client) error {
	in.mu.Lock()
	a := Announcement{
		Service: in.service, Version: in.version, Address: in.address,
		Incarnation: in.stats.Incarnation, State: in.stats.State,
	}
	in.mu.Unlock()
	if a.State == "" {
		return nil
	}
	data, err := json.Marshal(a)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.announce.String()+"/announce", bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	if res.StatusCode != http.StatusNoContent {
		return fmt.Errorf("announcement: got status %d, want 204", res.StatusCode)
	}
	return nil
}

// SetFaults implements Instance.
func (in *instance) SetFaults(f Faults) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.faults = f
	in.faultsAt = time.Now().Add(time.Duration(f.AfterMs) * time.Millisecond)
}

// Runs implements Instance.
func (in *instance) Runs() Runs {
	in.mu.Lock()
	defer in.mu.Unlock()
	return Runs{Keys: maps.Clone(in.runs.Keys), Bodies: maps.Clone(in.runs.Bodies)}
}

// Stats implements Instance.
func (in *instance) Stats() Stats {
	in.mu.Lock()
	defer in.mu.Unlock()
	s := in.stats
	s.Cold = time.Now().Before(in.coldUntil)
	s.Open = len(in.conns)
	return s
}

// Admin implements Instance.
func (in *instance) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		in.mu.Lock()
		f := in.faults
		in.mu.Unlock()
		writeJSON(w, f)
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		dec := json.NewDecoder(io.LimitReader(r.Body, 1<<16))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		in.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, in.Runs()) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, in.Stats()) })
	action := func(path string, f func()) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, _ *http.Request) {
			f()
			w.WriteHeader(http.StatusNoContent)
		})
	}
	action("/drain", in.drain)
	action("/crash", func() { in.crash(in.Stats().Incarnation) })
	action("/silence", in.silence)
	action("/cold", func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.coldUntil = time.Now().Add(in.coldFor)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// drawFault decides at random whether a fault with the given share applies. The
// caller must hold mu.
func (in *instance) drawFault(share logservice.Share) bool {
	return share > 0 && in.rand.Float64() < float64(share)
}

// openConns returns the connections that count toward the limit.
func (in *instance) openConns() []*conn {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.Collect(maps.Keys(in.conns))
}
