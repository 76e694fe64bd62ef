// Package soak runs daemons as real processes against stand-ins for the users'
// platform, injects random disturbances from outside, and checks continuously
// what callers and servers observe.
//
// The disturbances are signals to daemons, crashes and planned shutdowns of
// servers, a clock that was set back, a store that is down, slow, loses answers or comes
// back from an older copy, and loopback links that are delayed, silent, cut in one direction or reset.
// Several can occur in sequence and overlap. Meanwhile new versions are published,
// moves run and zones are taken out. The seed determines the plan; the timing of
// processes differs from run to run.
//
// # Usage
//
//	res, err := soak.Run(ctx, soak.Plan{Seed: 7, For: time.Minute, Daemon: path, Dir: dir})
//	for _, v := range res.Violations {
//		fmt.Println(v)
//	}
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuppitch/kingcuppitch/platform/standin"
	"github.com/kingcuppitch/kingcuppitch/standin/fleet"
	"github.com/kingcuppitch/kingcuppitch/standin/launcher"
	"github.com/rotisserie/eris"
)

const (
	region      = "hu-central"
	host        = "shop.example"
	serviceLook = "catalogue"
	servicePay  = "fitting"
	// slots and work are the concurrency limit and the processing time of a server.
	slots = 12
	work  = 5 * time.Millisecond
	// lookPerZone and payPerZone are the numbers of servers of each service per zone.
	lookPerZone, payPerZone = 2, 1
	// meanFaultInterval is the mean time between the starts of two disturbances.
	meanFaultInterval = 900 * time.Millisecond
	// warmup is how long the processes run before the first disturbance.
	warmup = 3 * time.Second
)

var zones = []string{"bud-a", "bud-b", "bud-c"}

func zoneRegions() map[string]string {
	regions := make(map[string]string)
	for _, z := range zones {
		regions[z] = region
	}
	return regions
}

// Plan configures a soak.
type Plan struct {
	Seed uint64
	// For is how long disturbances are injected, in addition to the time for
	// startup and recovery.
	For time.Duration
	// Daemon is the path of kingcuppitchd. Dir is the directory for settings files.
	Daemon, Dir string
	// Before is the path of an earlier build of kingcuppitchd, if any. The daemons
	// alternate between the two builds, with half of them on each at any time.
	Before string
	// Scale multiplies the number of servers; zero means one.
	Scale int
	// Keep is the directory in which daemon logs are saved if there are violations.
	Keep string
}

// Result is the result of a soak.
type Result struct {
	Violations []Violation
	// Answered counts answers by status, Injected counts disturbances by kind, and
	// MoveEnds counts moves by their last reported state.
	Answered map[int]int
	Injected map[string]int
	MoveEnds map[string]int
}

// move is a move in progress.
type move struct {
	version string
	bad     bool
	runs    int
	// limitReachedAt is when the version was expected to have given badAnswerLimit
	// bad answers.
	limitReachedAt time.Time
}

// badAnswerLimit is the number of bad answers after which a version must be taken
// back within rollbackWithin.
const badAnswerLimit = 50

// harness holds the state of a running soak.
type harness struct {
	seed       uint64
	ctx        context.Context
	daemon     string
	launcher   launcher.Launcher
	store      *standin.Store
	storeAddr  netip.AddrPort
	checker    *checker
	background sync.WaitGroup
	ids        atomic.Int64

	mu           sync.Mutex
	nodes        []*node
	nodesCreated int
	processes    []launcher.Process
	// published is the version in force since publishedAt.
	published   int
	publishedAt time.Time
	zonesOut    map[string]time.Time
	move        *move
	moves       int
	moveEnds    map[string]int
	payVersion  string
	injected    map[string]int
	// activeUnplanned counts the unplanned disturbances in progress, and
	// lastUnplannedEnd is when the last one ended. storeDisturbed and storeStableAt
	// track the store separately.
	activeUnplanned  int
	lastUnplannedEnd time.Time
	storeDisturbed   bool
	storeStableAt    time.Time
	// peersCut is set while daemons are cut off from each other.
	peersCut atomic.Bool
	// restoring is set from the copy of the store until it has been restored.
	restoring atomic.Bool
}

// Run runs a soak. It returns an error if the soak could not be run to its end.
func Run(parent context.Context, p Plan) (res Result, err error) {
	defer func() { err = eris.Wrapf(err, "soak of seed %d", p.Seed) }()
	ctx, cancel := context.WithCancel(parent)
	h := &harness{
		seed: p.Seed, ctx: ctx, daemon: p.Daemon, launcher: launcher.NewLauncher(p.Dir), store: standin.NewStore(),
		checker: newChecker(time.Now()), zonesOut: make(map[string]time.Time), moveEnds: make(map[string]int),
		injected: make(map[string]int), payVersion: versionName(1),
	}
	defer func() { h.launcher.Stop(time.Now().Add(gracePeriod)) }()
	defer h.background.Wait()
	defer cancel()
	if p.Before != "" {
		if h.daemon, err = fleet.Alternate(p.Dir, p.Before, p.Daemon, true); err != nil {
			return res, err
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return res, err
	}
	h.storeAddr = netip.MustParseAddrPort(ln.Addr().String())
	srv := &http.Server{Handler: h.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }() // ends with Close
	defer func() { _ = srv.Close() }()
	h.publish()
	if err := h.start(max(1, p.Scale)); err != nil {
		return res, err
	}
	h.sleep(warmup)
	h.injectFaults(rand.New(rand.NewPCG(p.Seed, 1)), time.Now().Add(p.For))
	h.checkRecovery(time.Now().Add(recoverWithin))
	if err := parent.Err(); err != nil {
		return res, err // an interrupted soak must not pass as free of violations
	}
	cancel()
	h.background.Wait()
	res.Violations, res.Answered = h.checker.result()
	res.Injected, res.MoveEnds = h.injected, h.moveEnds
	if len(res.Violations) > 0 && p.Keep != "" {
		err = h.saveOutput(p.Keep)
	}
	return res, err
}

func versionName(n int) string { return "v" + strconv.Itoa(n) }

// start starts all nodes at the same time.
func (h *harness) start(scale int) error {
	errs := make(chan error)
	n := 0
	for _, zone := range zones {
		for i := range scale * (lookPerZone + payPerZone) {
			service := serviceLook
			if i%(lookPerZone+payPerZone) < payPerZone {
				service = servicePay
			}
			n++
			go func() {
				_, err := h.addNode(service, versionName(1), zone)
				errs <- err
			}()
		}
	}
	var first error
	for range n {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// sleep waits for d and reports whether it did so before the soak ended.
func (h *harness) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-h.ctx.Done():
		return false
	}
}

// injectFaults starts faults at random until a deadline, then waits for all of them
// to end.
func (h *harness) injectFaults(rng *rand.Rand, until time.Time) {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	var active sync.WaitGroup
	for time.Now().Before(until) && h.sleep(time.Duration(rng.ExpFloat64()*float64(meanFaultInterval))) {
		pick := rng.IntN(total)
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		for _, f := range faults {
			if pick -= f.weight; pick < 0 {
				active.Go(func() { h.inject(f, faultRNG) })
				break
			}
		}
	}
	active.Wait()
}

func (h *harness) inject(f fault, rng *rand.Rand) {
	if !f.planned {
		h.mu.Lock()
		h.activeUnplanned++
		h.mu.Unlock()
		defer func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.activeUnplanned--
			h.lastUnplannedEnd = time.Now()
		}()
	}
	if f.inject(h, rng) {
		h.mu.Lock()
		h.injected[f.name]++
		h.mu.Unlock()
	}
}

// undisturbedSince reports whether there has been no unplanned disturbance since t.
func (h *harness) undisturbedSince(t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.activeUnplanned == 0 && h.lastUnplannedEnd.Before(t)
}

func (h *harness) acquireStore() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.storeDisturbed {
		return false
	}
	h.storeDisturbed = true
	return true
}

func (h *harness) releaseStore() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeDisturbed, h.storeStableAt = false, time.Now().Add(stableWindow)
}

func (h *harness) storeStable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.storeDisturbed && time.Now().After(h.storeStableAt)
}

// publish publishes the next version. Each version adds a route of its own, which
// alternates between the services.
func (h *harness) publish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.published++
	route := func(prefix, service string, idempotent bool, rank int) standin.Route {
		return standin.Route{
			Host: host, Prefix: prefix, Service: service, Idempotent: idempotent, Rank: rank, Attempts: 2,
			Timeout: 1500 * time.Millisecond, Objective: 300 * time.Millisecond,
		}
	}
	h.store.PublishConfig(h.published, []standin.Route{
		route(prefixLook, serviceLook, true, 2), route(prefixPay, servicePay, false, 0),
		route(fmt.Sprintf("%s%d/", prefixVersion, h.published), serviceOf(h.published), true, 1),
	}, []string{serviceLook, servicePay})
	h.publishedAt = time.Now()
}

func (h *harness) publishedVersion() (int, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.published, h.publishedAt
}

// serviceOf returns the service to which the route of a version leads.
func serviceOf(version int) string { return []string{serviceLook, servicePay}[version%2] }

// allowed reports whether any version routes path to service.
func allowed(path, service string) bool {
	if rest, ok := strings.CutPrefix(path, prefixVersion); ok {
		version, err := strconv.Atoi(strings.Trim(rest, "/"))
		return err == nil && service == serviceOf(version)
	}
	return strings.HasPrefix(path, prefixLook) == (service == serviceLook)
}

func (h *harness) nextID() string { return fmt.Sprintf("%x-%x", h.seed, h.ids.Add(1)) }

// checkRun records a run that starts at the server of a node and checks it.
func (h *harness) checkRun(n *node, r standin.Run) {
	h.checker.recordRun(r, func(entry *node) string { return entry.service }, allowed)
	storeStable, nodeStable := h.storeStable(), n.stable()
	n.mu.Lock()
	acked := n.drainAckedAt
	if n.app != r.Server {
		acked = time.Time{}
	}
	if n.linkFaultUntil.After(acked) && !acked.IsZero() {
		acked = n.linkFaultUntil
	}
	linkDisturbed := n.linkFaults > 0
	n.mu.Unlock()
	if !acked.IsZero() && !linkDisturbed && r.At.Sub(acked) > drainWithin {
		h.checker.report(afterDrain, "%s ran %s %v after the drain was acknowledged", r.Server.ID, r.ID, r.At.Sub(acked))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if out, ok := h.zonesOut[n.zone]; ok && nodeStable && storeStable && r.At.Sub(out) > zoneWithin && h.storeStableAt.Before(out) {
		h.checker.report(afterZoneOut, "%s in %s ran %s %v after the zone was taken out", r.Server.ID, n.zone, r.ID, r.At.Sub(out))
	}
	m := h.move
	if m == nil || !m.bad || r.Server.Version != m.version {
		return
	}
	if m.runs++; m.runs == badAnswerLimit*badOneIn {
		m.limitReachedAt = r.At
	}
	if entry := h.checker.entry(r.ID); !m.limitReachedAt.IsZero() && r.At.Sub(m.limitReachedAt) > rollbackWithin && storeStable && entry != nil && entry.stable() {
		h.checker.report(badVersion, "%s ran %s %v after %d bad answers of %s", r.Server.ID, r.ID, r.At.Sub(m.limitReachedAt), badAnswerLimit, m.version)
	}
}

// checkRecovery waits until each daemon serves both routes and each server receives
// requests, and reports those that do not by the deadline.
func (h *harness) checkRecovery(until time.Time) {
	h.mu.Lock()
	nodes := h.nodes
	h.mu.Unlock()
	ran := make([]int, len(nodes))
	for i, n := range nodes {
		ran[i] = n.app.Ran()
	}
	defer func() {
		for i, n := range nodes {
			for n.app.Ran() == ran[i] {
				if time.Now().After(until) {
					h.checker.report(notRecovered, "%s has run no request %v after the last disturbance", n.app.ID, recoverWithin)
					break
				}
				if !h.sleep(50 * time.Millisecond) {
					return
				}
			}
		}
	}()
	for _, n := range nodes {
		for _, call := range [][2]string{{http.MethodGet, prefixLook}, {http.MethodPost, prefixPay}} {
			for {
				c := &client{h: h, n: n}
				_, status := c.do(call[0], call[1]+"recovery")
				c.close()
				if status > 0 && status < 300 {
					break
				}
				if time.Now().After(until) {
					h.checker.report(notRecovered, "%s does not serve %s %v after the last disturbance: status %d", n.name, call[1], recoverWithin, status)
					break
				}
				if !h.sleep(50 * time.Millisecond) {
					return
				}
			}
		}
	}
}
