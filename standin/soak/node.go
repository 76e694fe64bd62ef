package soak

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/kingcuppitch/kingcuppitch/internal/loopback"
	"github.com/kingcuppitch/kingcuppitch/platform/standin"
	"github.com/kingcuppitch/kingcuppitch/process/settings"
	"github.com/kingcuppitch/kingcuppitch/standin/launcher"
)

// Time bounds that the users' platform requires.
const (
	// stableWindow is how long a process, its links and the store must have been
	// undisturbed before a time bound applies.
	stableWindow   = 3 * time.Second
	drainWithin    = 2 * time.Second
	applyWithin    = 2 * time.Second
	zoneWithin     = 5 * time.Second
	rollbackWithin = 5 * time.Second
	// regressSlack is how long a daemon may still serve an older version after it has
	// served a newer one; regressSlackSlow applies if the daemon was disturbed.
	regressSlack, regressSlackSlow = 250 * time.Millisecond, 2 * time.Second
	gracePeriod                    = 5 * time.Second
	recoverWithin                  = 15 * time.Second
	// unreadSlack is how recent a request may be that a closing process leaves unread.
	unreadSlack = 200 * time.Millisecond
)

const (
	heartbeatEvery = 1500 * time.Millisecond
	startWithin    = 20 * time.Second
	stateReady     = "ready"
	stateDraining  = "draining"
	stateGone      = ""
)

// node is a daemon and the server that runs beside it.
type node struct {
	name, service, zone string
	settings            settings.Settings
	store, peer, server *link
	// listenAddress is the address of the server itself, behind the link server.
	listenAddress netip.AddrPort

	// lifecycle is held by the fault that stops or starts the daemon or the server.
	lifecycle sync.Mutex
	// behaviour is held by the fault that changes what the server answers.
	behaviour sync.Mutex

	mu      sync.Mutex
	process launcher.Process
	app     *standin.Server
	state   string
	starts  int
	// drainAckedAt is when the daemon acknowledged the drain of the server.
	drainAckedAt time.Time
	// disturbances counts the disturbances in progress, and stableFrom is when time
	// bounds apply again.
	disturbances int
	stableFrom   time.Time
	// peerDisturbances counts those among them that only keep other daemons from the
	// node, and reachesStoreFrom is when the last other one ended, by a stableWindow.
	peerDisturbances int
	reachesStoreFrom time.Time
	// interruptedAt is when the daemon last started or continued after a pause.
	interruptedAt time.Time
	// stoppedAt is when SIGTERM was sent.
	stoppedAt time.Time
	// newestVersion is the newest version that the daemon has served since its start,
	// and newestVersionAt is when it was first served.
	newestVersion   int
	newestVersionAt time.Time
	// linkFaults counts the disturbances in progress that hold back bytes on the link
	// to the server, and linkFaultUntil is when the last one ended.
	linkFaults     int
	linkFaultUntil time.Time
	removed        bool
}

// beginDisturbance marks the node as disturbed until the returned function is called.
func (n *node) beginDisturbance() (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbances++
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.disturbances--
		n.stableFrom = time.Now().Add(stableWindow)
		n.reachesStoreFrom = n.stableFrom
	}
}

// beginPeerDisturbance is like beginDisturbance for a node that the store still reaches.
func (n *node) beginPeerDisturbance() (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbances++
	n.peerDisturbances++
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.disturbances--
		n.peerDisturbances--
		n.stableFrom = time.Now().Add(stableWindow)
	}
}

// reachesStore reports whether the daemon runs and reaches the store undisturbed, so that
// it must have each version in time, whether or not it reaches other daemons.
func (n *node) reachesStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disturbances == n.peerDisturbances && time.Now().After(n.reachesStoreFrom)
}

// stable reports whether time bounds apply to the node.
func (n *node) stable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disturbances == 0 && time.Now().After(n.stableFrom)
}

// interrupt records that the daemon has started or continued after a pause.
func (n *node) interrupt() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.interruptedAt = time.Now()
}

// interruptedSince reports whether the daemon has started or been paused since t.
func (n *node) interruptedSince(t time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.interruptedAt.After(t)
}

// currentServer returns the server that runs at the node, or that ran last.
func (n *node) currentServer() *standin.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.app
}

// version returns the version of the node's server.
func (n *node) version() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.app.Version
}

func (n *node) up() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process != nil && !n.removed
}

// addNode starts a new node: its links, daemon, server, heartbeats and clients.
func (h *harness) addNode(service, version, zone string) (n *node, err error) {
	addrs, err := loopback.FreeAddresses(9)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	h.nodesCreated++
	name := fmt.Sprintf("%s-%s-%d", service, zone, h.nodesCreated)
	h.mu.Unlock()
	n = &node{name: name, service: service, zone: zone, listenAddress: addrs[8]}
	n.settings = settings.Settings{
		Name: name, Region: region, Zone: zone, Platform: true, Service: service, GraceSeconds: gracePeriod.Seconds(),
		CallerAddress: addrs[0], PeerAddress: addrs[1], AnnounceAddress: addrs[2], MetricsAddress: addrs[3], ReadyAddress: addrs[4],
		AdvertiseAddress: addrs[5], LogAddress: addrs[6], LogLevel: "info",
		Zones:  zoneRegions(),
		Bounds: settings.Bounds{RetryRatio: 0.2, RetrySlack: 60, CanaryShare: 0.1},
	}
	if n.peer, err = newLink(addrs[5], addrs[1]); err != nil {
		return nil, err
	}
	if n.store, err = newLink(addrs[6], h.storeAddr); err != nil {
		return nil, err
	}
	if n.server, err = newLink(addrs[7], addrs[8]); err != nil {
		return nil, err
	}
	if err := h.startDaemon(n); err != nil {
		return nil, err
	}
	if err := h.startServer(n, version, 0); err != nil {
		return nil, err
	}
	h.mu.Lock()
	h.nodes = append(h.nodes, n)
	h.mu.Unlock()
	h.background.Go(func() { h.heartbeatLoop(n) })
	h.startClients(n)
	return n, nil
}

// startDaemon starts the daemon of a node.
func (h *harness) startDaemon(n *node) error {
	path, err := h.launcher.WriteSettings(n.name, n.settings)
	if err != nil {
		return err
	}
	p, err := h.launcher.Start(launcher.Command{
		Name: n.name, Path: h.daemon, Args: []string{"--settings", path},
		Serves: []netip.AddrPort{n.settings.CallerAddress}, ReadyBy: time.Now().Add(startWithin),
	})
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.processes = append(h.processes, p)
	h.mu.Unlock()
	n.mu.Lock()
	n.process, n.newestVersion, n.stoppedAt, n.interruptedAt = p, 0, time.Time{}, time.Now()
	n.mu.Unlock()
	return nil
}

// startServer starts a server beside the daemon of a node. clockLag is how far the
// clock of the server is behind.
func (h *harness) startServer(n *node, version string, clockLag time.Duration) error {
	n.mu.Lock()
	n.starts++
	app := &standin.Server{
		ID: fmt.Sprintf("%s.%d", n.name, n.starts), Service: n.service, Version: version, Zone: n.zone, Slots: slots,
		Address: n.serverAddress(), Born: time.Now().Add(-clockLag),
	}
	n.mu.Unlock()
	app.OnRun = func(r standin.Run) { h.checkRun(n, r) }
	app.Set(standin.Behaviour{Work: work})
	if err := app.Start(n.listenAddress.String()); err != nil {
		return err
	}
	n.mu.Lock()
	n.app, n.state, n.drainAckedAt = app, stateReady, time.Time{}
	n.mu.Unlock()
	h.sendHeartbeat(n)
	return nil
}

func (n *node) serverAddress() netip.AddrPort {
	return netip.MustParseAddrPort(n.server.ln.Addr().String())
}

// crashServer ends the server without notice to the daemon.
func (h *harness) crashServer(n *node) {
	n.mu.Lock()
	app := n.app
	n.state = stateGone
	n.mu.Unlock()
	app.Crash()
}

// sendHeartbeat announces the state of the server to its daemon. A drain starts when
// the daemon acknowledges it.
func (h *harness) sendHeartbeat(n *node) {
	n.mu.Lock()
	app, state := n.app, n.state
	n.mu.Unlock()
	if state == stateGone {
		return
	}
	if err := app.Announce(context.Background(), n.settings.AnnounceAddress, state); err != nil {
		return // the daemon is unreachable; the next heartbeat retries
	}
	if state == stateDraining {
		n.recordDrainAck(app)
	}
}

// recordDrainAck records that the daemon has acknowledged the drain of the server.
func (n *node) recordDrainAck(app *standin.Server) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.app == app && n.drainAckedAt.IsZero() {
		n.drainAckedAt = time.Now()
	}
}

func (h *harness) heartbeatLoop(n *node) {
	for h.sleep(heartbeatEvery) {
		if !n.up() {
			continue
		}
		h.sendHeartbeat(n)
	}
}

// stopDaemon stops a daemon as the platform does: with SIGTERM, then with SIGKILL
// after the grace period.
func (h *harness) stopDaemon(n *node) {
	n.mu.Lock()
	p := n.process
	n.stoppedAt = time.Now()
	n.mu.Unlock()
	if p.Signal(syscall.SIGTERM) != nil {
		return
	}
	if _, err := p.Wait(time.Now().Add(gracePeriod)); err != nil {
		h.checker.report(killedAtGrace, "%s is still running %v after SIGTERM", n.name, gracePeriod)
		h.killDaemon(n)
	}
	n.mu.Lock()
	n.process = nil
	n.mu.Unlock()
}

func (h *harness) killDaemon(n *node) {
	n.mu.Lock()
	p := n.process
	n.process = nil
	n.mu.Unlock()
	if p == nil || p.Signal(syscall.SIGKILL) != nil {
		return
	}
	<-p.Done()
}

// removeNode stops the daemon and the server of a node permanently.
func (h *harness) removeNode(n *node) {
	n.mu.Lock()
	n.removed = true
	n.mu.Unlock()
	h.crashServer(n)
	if n.process != nil {
		h.stopDaemon(n)
	}
	for _, l := range []*link{n.store, n.peer, n.server} {
		l.close()
	}
}

// saveOutput writes the logs of the daemons to dir.
func (h *harness) saveOutput(dir string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	for i, p := range h.processes {
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("%s.%d.log", p.Name(), i)), []byte(p.Output()), 0o600); err != nil {
			return err
		}
	}
	return nil
}
