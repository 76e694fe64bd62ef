// Package soak runs daemons as real processes beside stand-ins of the users'
// platform, disturbs them from outside at random, and checks while it runs what
// callers and servers see.
//
// The disturbances: signals to daemons, crashes and planned ends of servers, a
// clock that was set back, a store that is down, slow or loses answers, and links
// on loopback that are delayed, silent, cut in one direction or reset. They come
// in series and overlap. Versions, moves and zones that are taken out go on
// meanwhile. A seed gives the plan; the timing of processes differs from run to
// run.
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
	// slots and work are those of a server.
	slots = 12
	work  = 5 * time.Millisecond
	// lookPerZone and payPerZone are the servers of each service in a zone.
	lookPerZone, payPerZone = 2, 1
	// faultEvery is the mean pause between the begins of two disturbances.
	faultEvery = 900 * time.Millisecond
	// settle is how long the processes run undisturbed at the begin.
	settle = 3 * time.Second
)

var zones = []string{"bud-a", "bud-b", "bud-c"}

func zoneRegions() map[string]string {
	regions := make(map[string]string)
	for _, z := range zones {
		regions[z] = region
	}
	return regions
}

// Plan says what to run.
type Plan struct {
	Seed uint64
	// For is the time with disturbances; start and recovery come on top.
	For time.Duration
	// Daemon is the path of kingcuppitchd, Dir holds settings.
	Daemon, Dir string
	// Before is the path of an earlier build of kingcuppitchd, if any. The daemons
	// alternate between both, half of them at any time.
	Before string
	// Scale multiplies the number of servers; zero means one.
	Scale int
	// Keep is a directory for the logs of the daemons of a run with violations.
	Keep string
}

// Result is what a soak found.
type Result struct {
	Violations []Violation
	// Answered counts answers by status, Injected disturbances by kind, MoveEnds
	// the reports of moves.
	Answered map[int]int
	Injected map[string]int
	MoveEnds map[string]int
}

// move is a move that runs.
type move struct {
	version string
	bad     bool
	runs    int
	// knownAt is when the version had given enough bad answers.
	knownAt time.Time
}

// badAnswers is how many bad answers a version may give before it must be taken
// back within the time rollback.
const badAnswers = 50

type world struct {
	seed      uint64
	ctx       context.Context
	daemon    string
	launcher  launcher.Launcher
	store     *standin.Store
	storeAddr netip.AddrPort
	ledger    *ledger
	running   sync.WaitGroup
	ids       atomic.Int64

	mu        sync.Mutex
	nodes     []*node
	named     int
	processes []launcher.Process
	// published is the version in force since publishedAt.
	published   int
	publishedAt time.Time
	zonesOut    map[string]time.Time
	move        *move
	moves       int
	moveEnds    map[string]int
	payVersion  string
	injected    map[string]int
	// unplanned counts unplanned disturbances, and unplannedEnd is when the last
	// one ended. The store has its own.
	unplanned    int
	unplannedEnd time.Time
	storeBusy    bool
	storeCalmAt  time.Time
}

// Run runs a soak; err is for a soak that could not be run.
func Run(parent context.Context, p Plan) (res Result, err error) {
	defer func() { err = eris.Wrapf(err, "soak of seed %d", p.Seed) }()
	ctx, cancel := context.WithCancel(parent)
	w := &world{
		seed: p.Seed, ctx: ctx, daemon: p.Daemon, launcher: launcher.NewLauncher(p.Dir), store: standin.NewStore(),
		ledger: newLedger(time.Now()), zonesOut: make(map[string]time.Time), moveEnds: make(map[string]int),
		injected: make(map[string]int), payVersion: versionName(1),
	}
	defer func() { w.launcher.Stop(time.Now().Add(grace)) }()
	defer w.running.Wait()
	defer cancel()
	if p.Before != "" {
		if w.daemon, err = fleet.Alternate(p.Dir, p.Before, p.Daemon, true); err != nil {
			return res, err
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return res, err
	}
	w.storeAddr = netip.MustParseAddrPort(ln.Addr().String())
	srv := &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }() // ends with Close
	defer func() { _ = srv.Close() }()
	w.publish()
	if err := w.start(max(1, p.Scale)); err != nil {
		return res, err
	}
	w.pause(settle)
	w.disturb(rand.New(rand.NewPCG(p.Seed, 1)), time.Now().Add(p.For))
	w.checkRecovery(time.Now().Add(recoverWithin))
	if err := parent.Err(); err != nil {
		return res, err // what was not played has not kept its promises
	}
	cancel()
	w.running.Wait()
	res.Violations, res.Answered = w.ledger.result()
	res.Injected, res.MoveEnds = w.injected, w.moveEnds
	if len(res.Violations) > 0 && p.Keep != "" {
		err = w.saveOutput(p.Keep)
	}
	return res, err
}

func versionName(n int) string { return "v" + strconv.Itoa(n) }

// start starts all nodes at the same time.
func (w *world) start(scale int) error {
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
				_, err := w.addNode(service, versionName(1), zone)
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

// pause waits, and reports whether the soak goes on.
func (w *world) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.ctx.Done():
		return false
	}
}

// disturb injects faults until a time and waits until all are over.
func (w *world) disturb(rng *rand.Rand, until time.Time) {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	var open sync.WaitGroup
	for time.Now().Before(until) && w.pause(time.Duration(rng.ExpFloat64()*float64(faultEvery))) {
		pick := rng.IntN(total)
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		for _, f := range faults {
			if pick -= f.weight; pick < 0 {
				open.Go(func() { w.inject(f, own) })
				break
			}
		}
	}
	open.Wait()
}

func (w *world) inject(f fault, rng *rand.Rand) {
	if !f.planned {
		w.mu.Lock()
		w.unplanned++
		w.mu.Unlock()
		defer func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.unplanned--
			w.unplannedEnd = time.Now()
		}()
	}
	if f.inject(w, rng) {
		w.mu.Lock()
		w.injected[f.name]++
		w.mu.Unlock()
	}
}

// calmSince reports whether there was no unplanned disturbance since a time.
func (w *world) calmSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unplanned == 0 && w.unplannedEnd.Before(t)
}

func (w *world) disturbStore() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeBusy {
		return false
	}
	w.storeBusy = true
	return true
}

func (w *world) storeHealed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeBusy, w.storeCalmAt = false, time.Now().Add(stableWindow)
}

func (w *world) storeCalm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.storeBusy && time.Now().After(w.storeCalmAt)
}

// publish publishes the next version. Each has a route of its own, to the services
// in turn.
func (w *world) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.published++
	route := func(prefix, service string, idempotent bool, rank int) standin.Route {
		return standin.Route{
			Host: host, Prefix: prefix, Service: service, Idempotent: idempotent, Rank: rank, Attempts: 2,
			Timeout: 1500 * time.Millisecond, Objective: 300 * time.Millisecond,
		}
	}
	w.store.PublishConfig(w.published, []standin.Route{
		route(prefixLook, serviceLook, true, 2), route(prefixPay, servicePay, false, 0),
		route(fmt.Sprintf("%s%d/", prefixVersion, w.published), serviceOf(w.published), true, 1),
	}, []string{serviceLook, servicePay})
	w.publishedAt = time.Now()
}

func (w *world) version() (int, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.published, w.publishedAt
}

// serviceOf returns the service of the route of a version.
func serviceOf(version int) string { return []string{serviceLook, servicePay}[version%2] }

// allowed reports whether some version sends a path to a service.
func allowed(path, service string) bool {
	if rest, ok := strings.CutPrefix(path, prefixVersion); ok {
		version, err := strconv.Atoi(strings.Trim(rest, "/"))
		return err == nil && service == serviceOf(version)
	}
	return strings.HasPrefix(path, prefixLook) == (service == serviceLook)
}

func (w *world) nextID() string { return fmt.Sprintf("%x-%x", w.seed, w.ids.Add(1)) }

// ran checks the begin of a run at the server of a node.
func (w *world) ran(n *node, r standin.Run) {
	w.ledger.ran(r, func(entry *node) string { return entry.service }, allowed)
	storeCalm, calm := w.storeCalm(), n.calm()
	n.mu.Lock()
	acked := n.ackedAt
	if n.app != r.Server {
		acked = time.Time{}
	}
	if n.heldUntil.After(acked) && !acked.IsZero() {
		acked = n.heldUntil
	}
	held := n.held > 0
	n.mu.Unlock()
	if !acked.IsZero() && !held && r.At.Sub(acked) > drainWithin {
		w.ledger.report(afterDrain, "%s ran %s %v after the drain was acknowledged", r.Server.ID, r.ID, r.At.Sub(acked))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if out, ok := w.zonesOut[n.zone]; ok && calm && storeCalm && r.At.Sub(out) > zoneWithin && w.storeCalmAt.Before(out) {
		w.ledger.report(afterZoneOut, "%s in %s ran %s %v after the zone was taken out", r.Server.ID, n.zone, r.ID, r.At.Sub(out))
	}
	m := w.move
	if m == nil || !m.bad || r.Server.Version != m.version {
		return
	}
	if m.runs++; m.runs == badAnswers*badOneIn {
		m.knownAt = r.At
	}
	if entry := w.ledger.entry(r.ID); !m.knownAt.IsZero() && r.At.Sub(m.knownAt) > rollback && storeCalm && entry != nil && entry.calm() {
		w.ledger.report(badVersion, "%s ran %s %v after %d bad answers of %s", r.Server.ID, r.ID, r.At.Sub(m.knownAt), badAnswers, m.version)
	}
}

// checkRecovery waits until each daemon serves both routes and each server is in use.
func (w *world) checkRecovery(until time.Time) {
	w.mu.Lock()
	nodes := w.nodes
	w.mu.Unlock()
	ran := make([]int, len(nodes))
	for i, n := range nodes {
		ran[i] = n.app.Ran()
	}
	defer func() {
		for i, n := range nodes {
			for n.app.Ran() == ran[i] {
				if time.Now().After(until) {
					w.ledger.report(notRecovered, "%s is not in use %v after the last disturbance", n.app.ID, recoverWithin)
					break
				}
				if !w.pause(50 * time.Millisecond) {
					return
				}
			}
		}
	}()
	for _, n := range nodes {
		for _, call := range [][2]string{{http.MethodGet, prefixLook}, {http.MethodPost, prefixPay}} {
			for {
				c := &client{w: w, n: n}
				_, status := c.do(call[0], call[1]+"recovery")
				c.close()
				if status > 0 && status < 300 {
					break
				}
				if time.Now().After(until) {
					w.ledger.report(notRecovered, "%s does not serve %s %v after the last disturbance: status %d", n.name, call[1], recoverWithin, status)
					break
				}
				if !w.pause(50 * time.Millisecond) {
					return
				}
			}
		}
	}
}
