package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kingcuppitch/kingcuppitch/platform/standin"
)

// Bounds of the users' platform on the requests to a server that names a rate limit.
const (
	rateLimitWindow = 4 * time.Second
	rateLimitFactor = 1.5
	rateLimitSlack  = 5
	// toldWithin is how long a daemon that has passed on a limit may still ignore it.
	toldWithin = 500 * time.Millisecond
)

// statement is what a server said about itself in its answers.
type statement struct {
	// perSecond is the rate limit, zero if there is none, and namedAt is when an answer
	// first named it.
	perSecond float64
	namedAt   time.Time
	// limitOver says that the server names no limit any more. Answers from before may
	// still arrive.
	limitOver bool
	// limitTold and leavingTold hold when each entry first passed on an answer with the
	// limit, or one that says that the server leaves.
	limitTold, leavingTold map[*node]time.Time
	// runs holds the runs within rateLimitWindow of requests whose entries were told.
	runs []time.Time
}

// recordStatement records what an answer says that an entry has passed on.
func (c *checker) recordStatement(entry *node, header http.Header, now time.Time) {
	server, sealed := strings.CutPrefix(header.Get(standin.HeaderSeal), "seal-")
	limit, leaving := header.Get(standin.HeaderLimit), header.Get(standin.HeaderLeaving) != ""
	if !sealed || limit == "" && !leaving {
		return
	}
	st := c.statementLocked(server)
	if perSecond, err := strconv.ParseFloat(limit, 64); err == nil && !st.limitOver {
		if perSecond != st.perSecond {
			st.perSecond, st.namedAt, st.runs = perSecond, now, nil
			clear(st.limitTold)
		}
		tell(st.limitTold, entry, now)
	}
	if leaving {
		tell(st.leavingTold, entry, now)
	}
}

// tell records when an entry first passed on an answer since its daemon started.
func tell(told map[*node]time.Time, entry *node, now time.Time) {
	if at, ok := told[entry]; !ok || entry.interruptedSince(at) {
		told[entry] = now
	}
}

// statementLocked returns the statement of a server. The caller must hold mu.
func (c *checker) statementLocked(server string) *statement {
	st, ok := c.statements[server]
	if !ok {
		st = &statement{limitTold: make(map[*node]time.Time), leavingTold: make(map[*node]time.Time)}
		c.statements[server] = st
	}
	return st
}

// limitBegins records that a server is about to name a limit.
func (c *checker) limitBegins(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statementLocked(server).limitOver = false
}

// limitEnded records that a server names no limit any more.
func (c *checker) limitEnded(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.statementLocked(server)
	st.perSecond, st.runs, st.limitOver = 0, nil, true
	clear(st.limitTold)
}

// checkStatement checks a run against what its server said before.
func (c *checker) checkStatement(a *attempt, r standin.Run) {
	st, ok := c.statements[r.Server.ID]
	if !ok {
		return
	}
	if told, ok := st.leavingTold[a.entry]; ok && a.sentAt.Sub(told) > drainWithin && !a.entry.interruptedSince(told) {
		c.addLocked(afterLeaving, "%s ran %s, sent at %s %v after it had passed on that the server leaves", r.Server.ID, a.ID, a.entry.name, a.sentAt.Sub(told))
	}
	if told, ok := st.limitTold[a.entry]; !ok || st.perSecond == 0 || r.At.Sub(told) < toldWithin || a.entry.interruptedSince(told) {
		return
	}
	st.runs = append(st.runs, r.At)
	for r.At.Sub(st.runs[0]) >= rateLimitWindow {
		st.runs = st.runs[1:]
	}
	allowed := rateLimitFactor*rateLimitWindow.Seconds()*st.perSecond + rateLimitSlack
	if got := len(st.runs); float64(got) > allowed && r.At.Sub(st.namedAt) > stableWindow {
		c.addLocked(overRateLimit, "%s ran %d requests in %v, allowed %.0f (%v per second)", r.Server.ID, got, rateLimitWindow, allowed, st.perSecond)
		st.runs = nil
	}
}

// serverLimited makes a server name a rate limit in all answers.
func serverLimited(h *harness, rng *rand.Rand) bool {
	n := h.pickNode(rng)
	if n == nil || !n.behaviour.TryLock() {
		return false
	}
	defer n.behaviour.Unlock()
	limits := []string{"0", "0.5", "3", "12.5", "40"}
	app := n.currentServer()
	h.checker.limitBegins(app.ID)
	app.Set(standin.Behaviour{Work: work, RateLimit: limits[rng.IntN(len(limits))]})
	h.sleep(randomDuration(rng, 2*time.Second, 9*time.Second))
	app.Set(standin.Behaviour{Work: work})
	h.checker.limitEnded(app.ID)
	return true
}

// serverLeaves makes a server say in all answers that it leaves, while its heartbeats go
// on as before, and then replaces it.
func serverLeaves(h *harness, rng *rand.Rand) bool {
	n := h.pickNode(rng)
	if n == nil || !n.behaviour.TryLock() {
		return false
	}
	defer n.behaviour.Unlock()
	app := n.currentServer()
	app.Set(standin.Behaviour{Work: work, Leaving: true})
	h.sleep(leaveDelay + randomDuration(rng, 0, 3*time.Second))
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	if !n.up() || n.currentServer() != app {
		return true
	}
	h.crashServer(n)
	h.sleep(randomDuration(rng, 200*time.Millisecond, time.Second))
	h.restartServer(n, app.Version, 0)
	return true
}
