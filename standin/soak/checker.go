package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/platform/standin"
)

// Invariants that a soak checks. A violation reports the invariant by this name.
const (
	ranTwice      = "ranTwice"
	refusedAndRan = "refusedAndRan"
	mixedAnswer   = "mixedAnswer"
	unasked       = "unasked"
	wrongUpstream = "wrongUpstream"
	afterDrain    = "afterDrain"
	afterZoneOut  = "afterZoneOut"
	olderVersion  = "olderVersion"
	lateVersion   = "lateVersion"
	cutByStop     = "cutByStop"
	cutInCalm     = "cutInCalm"
	killedAtGrace = "killedAtGrace"
	notRecovered  = "notRecovered"
	badVersion    = "badVersion"
	startFailed   = "startFailed"
	overRateLimit = "overRateLimit"
	afterLeaving  = "afterLeaving"
)

// Violation is one violation of an invariant.
type Violation struct {
	Invariant string
	At        time.Duration // since the start
	Detail    string
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.1f s: %s", v.Invariant, v.At.Seconds(), v.Detail)
}

// attempt is the recorded history of one request.
type attempt struct {
	standin.Attempt
	entry  *node
	sentAt time.Time
	// status is the status that the client received; zero means no answer so far.
	status int
	runs   []run
}

type run struct {
	server string
	at     time.Time
}

func (a *attempt) unsafe() bool { return a.Method != http.MethodGet }

// checker compares the requests and answers of clients with the runs of servers.
type checker struct {
	startedAt time.Time

	mu         sync.Mutex
	attempts   map[string]*attempt
	violations []Violation
	answered   map[int]int
	// cuts counts connections that ended without an answer at a stable daemon.
	cuts map[string]int
	// statements holds what servers said in their answers, by the server's ID.
	statements map[string]*statement
}

func newChecker(began time.Time) *checker {
	return &checker{startedAt: began, attempts: make(map[string]*attempt), answered: make(map[int]int), cuts: make(map[string]int), statements: make(map[string]*statement)}
}

func (c *checker) report(invariant, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addLocked(invariant, format, args...)
}

func (c *checker) addLocked(invariant, format string, args ...any) {
	c.violations = append(c.violations, Violation{invariant, time.Since(c.startedAt), fmt.Sprintf(format, args...)})
}

func (c *checker) recordSent(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[a.ID] = a
}

// recordRun records that a server started a run, and checks it against the request
// and its answer.
func (c *checker) recordRun(r standin.Run, entryService func(*node) string, allowed func(path, service string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.attempts[r.ID]
	if !ok {
		c.addLocked(unasked, "%s ran %q, which no client sent", r.Server.ID, r.ID)
		return
	}
	a.runs = append(a.runs, run{r.Server.ID, r.At})
	c.checkStatement(a, r)
	switch {
	case a.Method != r.Method || a.Path != r.Path || string(a.Body) != string(r.Body):
		c.addLocked(unasked, "%s ran %s %s %q for %s, sent as %s %s %q", r.Server.ID, r.Method, r.Path, r.Body, r.ID, a.Method, a.Path, a.Body)
	case r.Caller != entryService(a.entry):
		c.addLocked(unasked, "%s ran %s with caller %q, sent at %s", r.Server.ID, r.ID, r.Caller, a.entry.name)
	case !allowed(r.Path, r.Server.Service):
		c.addLocked(wrongUpstream, "%s of %s ran %s", r.Server.ID, r.Server.Service, r.Path)
	}
	if a.unsafe() && len(a.runs) > 1 {
		c.addLocked(ranTwice, "%s ran at %v", r.ID, a.runs)
	}
	if a.unsafe() && statusMeansNotRun(a.status) {
		c.addLocked(refusedAndRan, "%s was answered %d and ran later at %s", r.ID, a.status, r.Server.ID)
	}
}

// statusMeansNotRun reports whether a status guarantees that the request has not run.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// recordAnswer records an answer that a client has read, and checks it.
func (c *checker) recordAnswer(a *attempt, res *http.Response, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.status = res.StatusCode
	c.answered[a.status]++
	if err := a.Check(res, body); err != nil {
		c.addLocked(mixedAnswer, "%s: %v", a.ID, err)
	}
	c.recordStatement(a.entry, res.Header, time.Now())
	if a.unsafe() && statusMeansNotRun(a.status) && len(a.runs) > 0 {
		c.addLocked(refusedAndRan, "%s was answered %d and had run at %v", a.ID, a.status, a.runs)
	}
}

// entry returns the node to which a request was sent, or nil if the ID is unknown.
func (c *checker) entry(id string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, ok := c.attempts[id]; ok {
		return a.entry
	}
	return nil
}

// hasRun reports whether a server has started a run of an attempt.
func (c *checker) hasRun(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(a.runs) > 0
}

// maxCuts is the bound of the users' platform on the connections with a pending
// request that a stable daemon may close without an answer.
const maxCuts = 3

func (c *checker) countCut(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cuts[a.entry.name]++; c.cuts[a.entry.name] == maxCuts+1 {
		c.addLocked(cutInCalm, "%s closed %d connections without an answer, the last one at %s", a.entry.name, maxCuts+1, a.ID)
	}
}

func (c *checker) result() ([]Violation, map[int]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations, c.answered
}
