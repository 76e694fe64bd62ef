package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/kingcuppitch/kingcuppitch/platform/standin"
)

// fault is one kind of disturbance. inject blocks until it is over; false means
// that it did not fit the moment.
type fault struct {
	name   string
	weight int
	// planned faults must not cost a request.
	planned bool
	inject  func(w *world, rng *rand.Rand) bool
}

var faults = []fault{
	{"daemonKilled", 3, false, onDaemon(func(w *world, n *node, rng *rand.Rand) {
		w.killDaemon(n)
		w.pause(between(rng, 100*time.Millisecond, 3*time.Second))
		w.restart(n)
	})},
	{"daemonPaused", 3, false, onDaemon(func(w *world, n *node, rng *rand.Rand) {
		n.mu.Lock()
		p := n.process
		n.mu.Unlock()
		if p.Signal(syscall.SIGSTOP) == nil {
			w.pause(between(rng, 200*time.Millisecond, 5*time.Second))
			_ = p.Signal(syscall.SIGCONT) // it may have been killed meanwhile
		}
	})},
	{"daemonStopped", 5, true, onDaemonPlanned(func(w *world, n *node, rng *rand.Rand) {
		w.stopDaemon(n)
		w.pause(between(rng, 0, time.Second))
		w.restart(n)
	})},
	{"settingsChanged", 3, true, settingsChanged},
	{"herdKilled", 1, false, herdKilled},
	{"serverCrashed", 3, false, serverCrashed},
	{"serverDrained", 4, true, serverDrained},
	{"serverSick", 3, false, serverSick},
	{"storeDown", 2, false, storeFault(func(*http.Request) int { return http.StatusServiceUnavailable })},
	{"storeLosesAnswers", 2, false, storeFault(loseSome())},
	{"storeSlow", 2, false, storeFault(func(*http.Request) int {
		time.Sleep(slowStore)
		return 0
	})},
	{"storeLink", 3, false, onLink(func(n *node) *link { return n.store })},
	{"peerLink", 4, false, onLink(func(n *node) *link { return n.peer })},
	{"serverLink", 2, false, serverLink},
	{"configChanged", 5, true, configChanged},
	{"zoneOut", 2, true, zoneOut},
	{"moveOrdered", 2, true, moveOrdered},
}

const (
	// slowStore is sixty times the usual answer of the store.
	slowStore = 240 * time.Millisecond
	// moveWithin is the time of a move, and moveMargin how long after it the
	// report is awaited.
	moveWithin, moveMargin = 10 * time.Second, 8 * time.Second
	// badOneIn is the share of bad answers of a bad version.
	badOneIn = 2
	// leaveAfter is how long a server serves after its drain is acknowledged.
	leaveAfter = drainWithin + 500*time.Millisecond
)

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// pick returns a running node.
func (w *world) pick(rng *rand.Rand) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.nodes[rng.IntN(len(w.nodes))]
	if !n.up() {
		return nil
	}
	return n
}

// hold picks a node and keeps other faults from stopping or starting it.
func (w *world) hold(rng *rand.Rand) *node {
	n := w.pick(rng)
	if n == nil || !n.life.TryLock() {
		return nil
	}
	if !n.up() {
		n.life.Unlock()
		return nil
	}
	return n
}

func onDaemon(f func(*world, *node, *rand.Rand)) func(*world, *rand.Rand) bool {
	return func(w *world, rng *rand.Rand) bool {
		n := w.hold(rng)
		if n == nil {
			return false
		}
		defer n.life.Unlock()
		defer n.disturb()()
		f(w, n, rng)
		return true
	}
}

// onDaemonPlanned is for stops of a daemon that callers may not notice: one at a
// time.
func onDaemonPlanned(f func(*world, *node, *rand.Rand)) func(*world, *rand.Rand) bool {
	var one atomic.Bool
	return func(w *world, rng *rand.Rand) bool {
		if !one.CompareAndSwap(false, true) {
			return false
		}
		defer one.Store(false)
		return onDaemon(f)(w, rng)
	}
}

// restart starts the daemon of a node again; the server lives on.
func (w *world) restart(n *node) {
	if err := w.startDaemon(n); err != nil {
		w.ledger.report(startFailed, "%s: %v", n.name, err)
		return
	}
	w.beat(n)
}

func settingsChanged(w *world, rng *rand.Rand) bool {
	n := w.hold(rng)
	if n == nil {
		return false
	}
	defer n.life.Unlock()
	n.settings.LogLevel = []string{"info", "debug"}[rng.IntN(2)]
	if _, err := w.launcher.WriteSettings(n.name, n.settings); err != nil {
		w.ledger.report(startFailed, "settings of %s: %v", n.name, err)
		return true
	}
	if rng.IntN(2) == 0 {
		_ = n.process.Signal(syscall.SIGHUP) // its end is found by the next request
	}
	w.pause(time.Second)
	return true
}

// herdKilled kills six of ten daemons in the same moment.
func herdKilled(w *world, rng *rand.Rand) bool {
	w.mu.Lock()
	all := len(w.nodes)
	w.mu.Unlock()
	var held []*node
	for range all {
		if n := w.hold(rng); n != nil && len(held) < all*6/10 {
			defer n.life.Unlock()
			defer n.disturb()()
			held = append(held, n)
		} else if n != nil {
			n.life.Unlock()
		}
	}
	for _, n := range held {
		w.killDaemon(n)
	}
	w.pause(between(rng, 100*time.Millisecond, 2*time.Second))
	for _, n := range held {
		w.restart(n)
	}
	return len(held) > 0
}

// serverCrashed crashes a server; its next start may have a clock that was set
// back.
func serverCrashed(w *world, rng *rand.Rand) bool {
	n := w.hold(rng)
	if n == nil {
		return false
	}
	defer n.life.Unlock()
	defer n.disturb()()
	version := n.version()
	w.crashServer(n)
	w.pause(between(rng, 300*time.Millisecond, 3*time.Second))
	var back time.Duration
	if rng.IntN(4) == 0 {
		back = between(rng, 2*time.Second, time.Hour)
	}
	w.startAgain(n, version, back)
	return true
}

func (w *world) startAgain(n *node, version string, back time.Duration) {
	if err := w.startServer(n, version, back); err != nil {
		w.ledger.report(startFailed, "server of %s: %v", n.name, err)
	}
}

// serverDrained has a server announce that it leaves, or leave at once and serve
// on; a new one follows.
func serverDrained(w *world, rng *rand.Rand) bool {
	n := w.hold(rng)
	if n == nil {
		return false
	}
	defer n.life.Unlock()
	app := n.app
	if rng.IntN(3) == 0 {
		n.setState(stateGone)
		if app.Deregister(context.Background(), n.settings.AnnounceAddress) == nil {
			n.acknowledged(app)
		}
		w.pause(leaveAfter)
	} else {
		n.setState(stateDraining)
		w.beat(n)
		w.pause(leaveAfter)
		n.setState(stateGone)
		_ = app.Deregister(context.Background(), n.settings.AnnounceAddress) // it leaves all the same
	}
	app.Crash()
	w.pause(between(rng, 200*time.Millisecond, time.Second))
	w.startAgain(n, app.Version, 0)
	return true
}

func (n *node) setState(state string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state = state
}

// serverSick makes a server slow or faulty, or its health answer false.
func serverSick(w *world, rng *rand.Rand) bool {
	n := w.pick(rng)
	if n == nil {
		return false
	}
	defer n.disturb()()
	n.mu.Lock()
	app := n.app
	n.mu.Unlock()
	sick := []standin.Behaviour{
		{Work: 20 * work}, {Work: work, FailOneIn: 2}, {Work: work, DropOneIn: 3}, {Work: work, Unhealthy: true},
		{Work: work, FailOneIn: 1},
		{Work: work, EndlessOneIn: 3, Endless: standin.EndlessStatus + standin.Endless(rng.IntN(int(standin.EndlessTrailer)))},
	}
	app.Set(sick[rng.IntN(len(sick))])
	w.pause(between(rng, time.Second, 5*time.Second))
	app.Set(standin.Behaviour{Work: work})
	return true
}

func storeFault(answer func(*http.Request) int) func(*world, *rand.Rand) bool {
	return func(w *world, rng *rand.Rand) bool {
		if !w.disturbStore() {
			return false
		}
		w.store.SetFault(answer)
		w.pause(between(rng, time.Second, 6*time.Second))
		w.store.SetFault(nil)
		w.storeHealed()
		return true
	}
}

// loseSome loses the answer of each third call.
func loseSome() func(*http.Request) int {
	var n atomic.Int64
	return func(*http.Request) int {
		if n.Add(1)%3 == 0 {
			return -1
		}
		return 0
	}
}

// onLink disturbs a link of one node.
func onLink(of func(*node) *link) func(*world, *rand.Rand) bool {
	return func(w *world, rng *rand.Rand) bool {
		n := w.pick(rng)
		if n == nil {
			return false
		}
		defer n.disturb()()
		l := of(n)
		if rng.IntN(4) == 0 {
			l.reset()
			return true
		}
		modes := []mode{modeDelayed, modeSilent, modeToward, modeBack, modeRefusing}
		l.set(modes[rng.IntN(len(modes))], between(rng, 5*time.Millisecond, 200*time.Millisecond))
		w.pause(between(rng, 500*time.Millisecond, 5*time.Second))
		l.set(modeOpen, 0)
		return true
	}
}

// serverLink disturbs the link between a daemon and its server. What it holds back
// reaches the server late, whatever the daemon knows by then.
func serverLink(w *world, rng *rand.Rand) bool {
	n := w.pick(rng)
	if n == nil {
		return false
	}
	defer n.disturb()()
	n.mu.Lock()
	n.held++
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.held--
		n.heldUntil = time.Now()
	}()
	if rng.IntN(2) == 0 {
		n.server.reset()
		return true
	}
	n.server.set(modeDelayed, between(rng, 5*time.Millisecond, 100*time.Millisecond))
	w.pause(between(rng, 500*time.Millisecond, 3*time.Second))
	n.server.set(modeOpen, 0)
	return true
}

// configChanged publishes a version, or several in quick succession.
func configChanged(w *world, rng *rand.Rand) bool {
	times := 1
	if rng.IntN(4) == 0 {
		times = 6
	}
	for range times {
		w.publish()
		w.pause(between(rng, 100*time.Millisecond, 600*time.Millisecond))
	}
	return true
}

func zoneOut(w *world, rng *rand.Rand) bool {
	zone := zones[rng.IntN(len(zones))]
	w.mu.Lock()
	if len(w.zonesOut) > 0 {
		w.mu.Unlock()
		return false
	}
	w.zonesOut[zone] = time.Now()
	w.mu.Unlock()
	w.store.SetZone(zone, true)
	w.pause(between(rng, 6*time.Second, 10*time.Second))
	w.mu.Lock()
	delete(w.zonesOut, zone)
	w.mu.Unlock()
	w.store.SetZone(zone, false)
	return true
}

// moveOrdered starts servers of a new version beside new daemons and orders a move
// to it; the losing servers leave.
func moveOrdered(w *world, rng *rand.Rand) bool {
	w.mu.Lock()
	if w.move != nil {
		w.mu.Unlock()
		return false
	}
	w.moves++
	m := &move{version: versionName(w.moves + 1), bad: rng.IntN(2) == 0}
	w.move = m
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.move = nil
	}()
	var added []*node
	for _, zone := range zones {
		n, err := w.addNode(servicePay, m.version, zone)
		if err != nil {
			w.ledger.report(startFailed, "node of %s: %v", m.version, err)
			continue
		}
		if m.bad {
			n.app.Set(standin.Behaviour{Work: work, FailOneIn: badOneIn})
		}
		added = append(added, n)
	}
	w.pause(2 * heartbeatEvery)
	ordered := time.Now()
	w.store.OrderMove(servicePay, m.version, moveWithin)
	state := ""
	for end := ordered.Add(moveWithin + moveMargin); time.Now().Before(end); {
		if state = w.store.MoveState(servicePay, m.version); state == standin.MoveDone || state == standin.MoveTakenBack {
			break
		}
		if !w.pause(50 * time.Millisecond) {
			break
		}
	}
	w.mu.Lock()
	w.moveEnds[state]++
	w.mu.Unlock()
	if m.bad && state == standin.MoveDone && w.calmSince(ordered) {
		w.ledger.report(badVersion, "%s answers %d in %d with a failure and is done", m.version, 1, badOneIn)
	}
	leave := added
	if state == standin.MoveDone {
		w.mu.Lock()
		w.payVersion = m.version
		leave = nil
		for _, n := range w.nodes {
			if n.service == servicePay && n.version() != m.version {
				leave = append(leave, n)
			}
		}
		w.mu.Unlock()
	} else {
		w.pause(2 * time.Second)
	}
	for _, n := range leave {
		n.life.Lock()
		w.removeNode(n)
		n.life.Unlock()
	}
	w.forget(leave)
	return true
}

// forget drops nodes that have left.
func (w *world) forget(left []*node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := w.nodes[:0:0]
	for _, n := range w.nodes {
		keep := true
		for _, l := range left {
			keep = keep && l != n
		}
		if keep {
			kept = append(kept, n)
		}
	}
	w.nodes = kept
}
