package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/kingcuppitch/kingcuppitch/platform/standin"
)

// fault is one kind of disturbance. inject blocks until the disturbance is over; it
// returns false if the disturbance could not be applied at this time.
type fault struct {
	name   string
	weight int
	// planned faults must not fail any request.
	planned bool
	inject  func(h *harness, rng *rand.Rand) bool
}

var faults = []fault{
	{"daemonKilled", 3, false, onDaemon(func(h *harness, n *node, rng *rand.Rand) {
		h.killDaemon(n)
		h.sleep(randomDuration(rng, 100*time.Millisecond, 3*time.Second))
		h.restartDaemon(n)
	})},
	{"daemonPaused", 3, false, onDaemon(func(h *harness, n *node, rng *rand.Rand) {
		n.mu.Lock()
		p := n.process
		n.mu.Unlock()
		if p.Signal(syscall.SIGSTOP) == nil {
			defer n.interrupt()
			h.sleep(randomDuration(rng, 200*time.Millisecond, 5*time.Second))
			_ = p.Signal(syscall.SIGCONT) // fails if the process was killed meanwhile
		}
	})},
	{"daemonStopped", 5, true, onDaemonPlanned(func(h *harness, n *node, rng *rand.Rand) {
		h.stopDaemon(n)
		h.sleep(randomDuration(rng, 0, time.Second))
		h.restartDaemon(n)
	})},
	{"settingsChanged", 3, true, settingsChanged},
	{"herdKilled", 1, false, herdKilled},
	{"serverCrashed", 3, false, serverCrashed},
	{"serverDrained", 4, true, serverDrained},
	{"serverSick", 3, false, serverSick},
	{"serverLimited", 3, true, serverLimited},
	{"serverLeaves", 3, true, serverLeaves},
	{"storeDown", 2, false, storeFault(func(*http.Request) int { return http.StatusServiceUnavailable })},
	{"storeLosesAnswers", 2, false, storeFault(loseEveryThird())},
	{"storeSlow", 2, false, storeFault(func(*http.Request) int {
		time.Sleep(slowStoreDelay)
		return 0
	})},
	{"storeRestored", 2, false, storeRestored},
	{"storeLink", 3, false, onLink((*node).beginDisturbance, func(n *node) *link { return n.store })},
	{"peerLink", 4, false, onLink((*node).beginPeerDisturbance, func(n *node) *link { return n.peer })},
	{"peersCut", 2, false, peersCut},
	{"serverLink", 2, false, serverLink},
	{"configChanged", 5, true, configChanged},
	{"zoneOut", 2, true, zoneOut},
	{"moveOrdered", 2, true, moveOrdered},
}

const (
	// slowStoreDelay is sixty times the usual latency of the store.
	slowStoreDelay = 240 * time.Millisecond
	// moveDuration is the duration of a move, and moveReportMargin is how much longer
	// the final report may take.
	moveDuration, moveReportMargin = 10 * time.Second, 8 * time.Second
	// badOneIn makes one in badOneIn answers of a bad version fail.
	badOneIn = 2
	// leaveDelay is how long a server keeps serving after its drain is acknowledged.
	leaveDelay = drainWithin + 500*time.Millisecond
)

func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// pickNode returns a random node, or nil if its daemon is not running.
func (h *harness) pickNode(rng *rand.Rand) *node {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.nodes[rng.IntN(len(h.nodes))]
	if !n.up() {
		return nil
	}
	return n
}

// lockNode picks a random node and locks its lifecycle, so that no other fault stops
// or starts its processes. It returns nil if the node is down or locked.
func (h *harness) lockNode(rng *rand.Rand) *node {
	n := h.pickNode(rng)
	if n == nil || !n.lifecycle.TryLock() {
		return nil
	}
	if !n.up() {
		n.lifecycle.Unlock()
		return nil
	}
	return n
}

func onDaemon(f func(*harness, *node, *rand.Rand)) func(*harness, *rand.Rand) bool {
	return func(h *harness, rng *rand.Rand) bool {
		n := h.lockNode(rng)
		if n == nil {
			return false
		}
		defer n.lifecycle.Unlock()
		defer n.beginDisturbance()()
		f(h, n, rng)
		return true
	}
}

// onDaemonPlanned wraps a planned stop of a daemon, which callers must not notice.
// Only one such stop runs at a time.
func onDaemonPlanned(f func(*harness, *node, *rand.Rand)) func(*harness, *rand.Rand) bool {
	var active atomic.Bool
	return func(h *harness, rng *rand.Rand) bool {
		if !active.CompareAndSwap(false, true) {
			return false
		}
		defer active.Store(false)
		return onDaemon(f)(h, rng)
	}
}

// restartDaemon starts the daemon of a node again; the server keeps running.
func (h *harness) restartDaemon(n *node) {
	if err := h.startDaemon(n); err != nil {
		h.checker.report(startFailed, "%s: %v", n.name, err)
		return
	}
	h.sendHeartbeat(n)
}

func settingsChanged(h *harness, rng *rand.Rand) bool {
	n := h.lockNode(rng)
	if n == nil {
		return false
	}
	defer n.lifecycle.Unlock()
	n.settings.LogLevel = []string{"info", "debug"}[rng.IntN(2)]
	if _, err := h.launcher.WriteSettings(n.name, n.settings); err != nil {
		h.checker.report(startFailed, "settings of %s: %v", n.name, err)
		return true
	}
	if rng.IntN(2) == 0 {
		_ = n.process.Signal(syscall.SIGHUP) // if the process has ended, the next request shows it
	}
	h.sleep(time.Second)
	return true
}

// herdKilled kills up to 60 % of the daemons at the same time.
func herdKilled(h *harness, rng *rand.Rand) bool {
	h.mu.Lock()
	nodeCount := len(h.nodes)
	h.mu.Unlock()
	var locked []*node
	for range nodeCount {
		if n := h.lockNode(rng); n != nil && len(locked) < nodeCount*6/10 {
			defer n.lifecycle.Unlock()
			defer n.beginDisturbance()()
			locked = append(locked, n)
		} else if n != nil {
			n.lifecycle.Unlock()
		}
	}
	for _, n := range locked {
		h.killDaemon(n)
	}
	h.sleep(randomDuration(rng, 100*time.Millisecond, 2*time.Second))
	for _, n := range locked {
		h.restartDaemon(n)
	}
	return len(locked) > 0
}

// serverCrashed crashes a server and restarts it, sometimes with a clock that was
// set back.
func serverCrashed(h *harness, rng *rand.Rand) bool {
	n := h.lockNode(rng)
	if n == nil {
		return false
	}
	defer n.lifecycle.Unlock()
	defer n.beginDisturbance()()
	version := n.version()
	h.crashServer(n)
	h.sleep(randomDuration(rng, 300*time.Millisecond, 3*time.Second))
	var clockLag time.Duration
	if rng.IntN(4) == 0 {
		clockLag = randomDuration(rng, 2*time.Second, time.Hour)
	}
	h.restartServer(n, version, clockLag)
	return true
}

func (h *harness) restartServer(n *node, version string, clockLag time.Duration) {
	if err := h.startServer(n, version, clockLag); err != nil {
		h.checker.report(startFailed, "server of %s: %v", n.name, err)
	}
}

// serverDrained makes a server announce draining, or deregister at once while it
// still serves, and then replaces it with a new one.
func serverDrained(h *harness, rng *rand.Rand) bool {
	n := h.lockNode(rng)
	if n == nil {
		return false
	}
	defer n.lifecycle.Unlock()
	app := n.app
	if rng.IntN(3) == 0 {
		n.setState(stateGone)
		if app.Deregister(context.Background(), n.settings.AnnounceAddress) == nil {
			n.recordDrainAck(app)
		}
		h.sleep(leaveDelay)
	} else {
		n.setState(stateDraining)
		h.sendHeartbeat(n)
		h.sleep(leaveDelay)
		n.setState(stateGone)
		_ = app.Deregister(context.Background(), n.settings.AnnounceAddress) // the server leaves even if this fails
	}
	app.Crash()
	h.sleep(randomDuration(rng, 200*time.Millisecond, time.Second))
	h.restartServer(n, app.Version, 0)
	return true
}

func (n *node) setState(state string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state = state
}

// serverSick makes a server slow or faulty, or makes its health check fail.
func serverSick(h *harness, rng *rand.Rand) bool {
	n := h.pickNode(rng)
	if n == nil || !n.behaviour.TryLock() {
		return false
	}
	defer n.behaviour.Unlock()
	defer n.beginDisturbance()()
	app := n.currentServer()
	behaviours := []standin.Behaviour{
		{Work: 20 * work}, {Work: work, FailOneIn: 2}, {Work: work, DropOneIn: 3}, {Work: work, Unhealthy: true},
		{Work: work, FailOneIn: 1},
		{Work: work, EndlessOneIn: 3, Endless: standin.EndlessStatus + standin.Endless(rng.IntN(int(standin.EndlessTrailer)))},
	}
	app.Set(behaviours[rng.IntN(len(behaviours))])
	h.sleep(randomDuration(rng, time.Second, 5*time.Second))
	app.Set(standin.Behaviour{Work: work})
	return true
}

func storeFault(answer func(*http.Request) int) func(*harness, *rand.Rand) bool {
	return func(h *harness, rng *rand.Rand) bool {
		if !h.acquireStore() {
			return false
		}
		h.store.SetFault(answer)
		h.sleep(randomDuration(rng, time.Second, 6*time.Second))
		h.store.SetFault(nil)
		h.releaseStore()
		return true
	}
}

// storeRestored has the store go away and come back from a copy that lacks some versions.
// The operators write again what it has lost, before daemons call it or later, and publish
// a version when it is stable.
func storeRestored(h *harness, rng *rand.Rand) bool {
	// A copy from before another restore would hold records that the store has lost.
	if !h.restoring.CompareAndSwap(false, true) {
		return false
	}
	defer h.restoring.Store(false)
	older := h.store.Copy()
	configChanged(h, rng)
	h.sleep(randomDuration(rng, 200*time.Millisecond, 4*time.Second))
	if !h.acquireStore() {
		return false
	}
	h.store.SetFault(func(*http.Request) int { return http.StatusServiceUnavailable })
	h.sleep(randomDuration(rng, 100*time.Millisecond, 2*time.Second))
	lost := h.store.Restore(older)
	writeAgain := func() {
		for _, l := range lost {
			h.store.WriteAgain(l)
		}
	}
	if rng.IntN(2) == 0 {
		writeAgain()
	}
	h.store.SetFault(nil)
	h.sleep(randomDuration(rng, 0, 500*time.Millisecond))
	writeAgain()
	h.releaseStore()
	h.sleep(stableWindow)
	h.publish()
	h.sleep(2 * applyWithin)
	return true
}

// loseEveryThird drops the answer to every third call.
func loseEveryThird() func(*http.Request) int {
	var n atomic.Int64
	return func(*http.Request) int {
		if n.Add(1)%3 == 0 {
			return -1
		}
		return 0
	}
}

// onLink disturbs a link of one node.
func onLink(begin func(*node) func(), selectLink func(*node) *link) func(*harness, *rand.Rand) bool {
	return func(h *harness, rng *rand.Rand) bool {
		n := h.pickNode(rng)
		if n == nil {
			return false
		}
		defer begin(n)()
		l := selectLink(n)
		if rng.IntN(4) == 0 {
			l.reset()
			return true
		}
		modes := []mode{modeDelayed, modeSilent, modeSilentForward, modeSilentReverse, modeRefusing}
		l.set(modes[rng.IntN(len(modes))], randomDuration(rng, 5*time.Millisecond, 200*time.Millisecond))
		h.sleep(randomDuration(rng, 500*time.Millisecond, 5*time.Second))
		l.set(modeOpen, 0)
		return true
	}
}

// peersCut cuts a part of the daemons off from all others, none of them from the store. The
// others cannot call them, and a daemon whose peers are all cut off hears of nobody.
// Only one such cut is in progress, because its end opens the links.
func peersCut(h *harness, rng *rand.Rand) bool {
	if !h.peersCut.CompareAndSwap(false, true) {
		return false
	}
	defer h.peersCut.Store(false)
	h.mu.Lock()
	nodes := slices.Clone(h.nodes)
	h.mu.Unlock()
	if rng.IntN(2) == 0 {
		nodes = nodes[:len(nodes)/2]
	}
	m := []mode{modeSilent, modeSilentForward, modeSilentReverse, modeRefusing}[rng.IntN(4)]
	for _, n := range nodes {
		defer n.beginPeerDisturbance()()
		n.peer.set(m, 0)
		defer n.peer.set(modeOpen, 0)
	}
	h.sleep(randomDuration(rng, 0, time.Second))
	configChanged(h, rng)
	h.sleep(randomDuration(rng, 2*time.Second, 5*time.Second))
	return true
}

// serverLink disturbs the link between a daemon and its server. Delayed bytes reach
// the server late, even if the daemon has learned meanwhile that the server drains.
func serverLink(h *harness, rng *rand.Rand) bool {
	n := h.pickNode(rng)
	if n == nil {
		return false
	}
	defer n.beginDisturbance()()
	n.mu.Lock()
	n.linkFaults++
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.linkFaults--
		n.linkFaultUntil = time.Now()
	}()
	if rng.IntN(2) == 0 {
		n.server.reset()
		return true
	}
	n.server.set(modeDelayed, randomDuration(rng, 5*time.Millisecond, 100*time.Millisecond))
	h.sleep(randomDuration(rng, 500*time.Millisecond, 3*time.Second))
	n.server.set(modeOpen, 0)
	return true
}

// configChanged publishes a version, or several in quick succession.
func configChanged(h *harness, rng *rand.Rand) bool {
	count := 1
	if rng.IntN(4) == 0 {
		count = 6
	}
	for range count {
		h.publish()
		h.sleep(randomDuration(rng, 100*time.Millisecond, 600*time.Millisecond))
	}
	return true
}

func zoneOut(h *harness, rng *rand.Rand) bool {
	zone := zones[rng.IntN(len(zones))]
	h.mu.Lock()
	if len(h.zonesOut) > 0 {
		h.mu.Unlock()
		return false
	}
	h.zonesOut[zone] = time.Now()
	h.mu.Unlock()
	h.store.SetZone(zone, true)
	h.sleep(randomDuration(rng, 6*time.Second, 10*time.Second))
	h.mu.Lock()
	delete(h.zonesOut, zone)
	h.mu.Unlock()
	h.store.SetZone(zone, false)
	return true
}

// moveOrdered starts servers of a new version beside new daemons and orders a move
// to that version. When the move ends, it removes the nodes of the version that is
// no longer in use.
func moveOrdered(h *harness, rng *rand.Rand) bool {
	h.mu.Lock()
	if h.move != nil {
		h.mu.Unlock()
		return false
	}
	h.moves++
	m := &move{version: versionName(h.moves + 1), bad: rng.IntN(2) == 0}
	h.move = m
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.move = nil
	}()
	var added []*node
	for _, zone := range zones {
		n, err := h.addNode(servicePay, m.version, zone)
		if err != nil {
			h.checker.report(startFailed, "node of %s: %v", m.version, err)
			continue
		}
		if m.bad {
			n.app.Set(standin.Behaviour{Work: work, FailOneIn: badOneIn})
		}
		added = append(added, n)
	}
	h.sleep(2 * heartbeatEvery)
	ordered := time.Now()
	h.store.OrderMove(servicePay, m.version, moveDuration)
	state := ""
	for end := ordered.Add(moveDuration + moveReportMargin); time.Now().Before(end); {
		if state = h.store.MoveState(servicePay, m.version); state == standin.MoveDone || state == standin.MoveTakenBack {
			break
		}
		if !h.sleep(50 * time.Millisecond) {
			break
		}
	}
	h.mu.Lock()
	h.moveEnds[state]++
	h.mu.Unlock()
	if m.bad && state == standin.MoveDone && h.undisturbedSince(ordered) {
		h.checker.report(badVersion, "%s fails %d in %d requests, yet its move is done", m.version, 1, badOneIn)
	}
	leaving := added
	if state == standin.MoveDone {
		h.mu.Lock()
		h.payVersion = m.version
		leaving = nil
		for _, n := range h.nodes {
			if n.service == servicePay && n.version() != m.version {
				leaving = append(leaving, n)
			}
		}
		h.mu.Unlock()
	} else {
		h.sleep(2 * time.Second)
	}
	for _, n := range leaving {
		n.lifecycle.Lock()
		h.removeNode(n)
		n.lifecycle.Unlock()
	}
	h.dropNodes(leaving)
	return true
}

// dropNodes removes nodes that have left from the list of nodes.
func (h *harness) dropNodes(left []*node) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.nodes[:0:0]
	for _, n := range h.nodes {
		keep := true
		for _, l := range left {
			keep = keep && l != n
		}
		if keep {
			kept = append(kept, n)
		}
	}
	h.nodes = kept
}
