package soak

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/platform/standin"
	"github.com/kingcuppitch/kingcuppitch/standin/fleet"
	"github.com/kingcuppitch/kingcuppitch/standin/launcher"
)

// seeds are the seeds that run with the tests: a regular one, one with servers that leave
// while daemons stop, one with servers that name rate limits and leave while daemons stop
// and are killed and the store is restored during a move, and each one that has ever
// failed, with its cause: with 54009, answers from before the end of a rate limit arrived
// late.
var seeds = []uint64{1, 61, 1157, 54009}

// soakDuration is how long disturbances are injected for each seed in the tests.
const soakDuration = 10 * time.Second

// TestSoak guards against violations of invariants under overlapping disturbances.
func TestSoak(t *testing.T) {
	bin, err := fleet.Build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range seeds {
		res, err := Run(t.Context(), Plan{Seed: seed, For: soakDuration, Daemon: bin.Daemon, Dir: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: answers %v, disturbances %v, moves %v", seed, res.Answered, res.Injected, res.MoveEnds)
		for _, v := range res.Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
		if res.Answered[http.StatusOK] < 1000 {
			t.Errorf("seed %d: got %d answers with status 200, want at least 1000", seed, res.Answered[http.StatusOK])
		}
	}
}

// TestInterrupted guards against a soak that is interrupted and reported as free of
// violations.
func TestInterrupted(t *testing.T) {
	bin, err := fleet.Build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if _, err := Run(ctx, Plan{Seed: 1, For: time.Minute, Daemon: bin.Daemon, Dir: t.TempDir()}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want context.DeadlineExceeded", err)
	}
}

// TestChecker guards against violations that the checker does not detect.
func TestChecker(t *testing.T) {
	entry := &node{name: "d-1", service: serviceLook}
	server := &standin.Server{ID: "i-1", Service: servicePay, Version: "v1"}
	entryService := func(n *node) string { return n.service }
	answer := func(status int, seal string) *http.Response {
		return &http.Response{StatusCode: status, Header: http.Header{standin.HeaderSeal: {seal}}}
	}
	for _, tc := range []struct {
		invariant string
		record    func(c *checker, a *attempt, r standin.Run)
	}{
		{"", func(c *checker, a *attempt, r standin.Run) {
			c.recordRun(r, entryService, allowed)
			c.recordAnswer(a, answer(200, "seal-i-1"), []byte(standin.Body("v1", "i-1", a.ID, a.Method, a.Path)))
		}},
		{ranTwice, func(c *checker, _ *attempt, r standin.Run) {
			c.recordRun(r, entryService, allowed)
			c.recordRun(r, entryService, allowed)
		}},
		{refusedAndRan, func(c *checker, a *attempt, r standin.Run) {
			c.recordAnswer(a, answer(503, ""), nil)
			c.recordRun(r, entryService, allowed)
		}},
		{refusedAndRan, func(c *checker, a *attempt, r standin.Run) {
			c.recordRun(r, entryService, allowed)
			c.recordAnswer(a, answer(429, ""), nil)
		}},
		{mixedAnswer, func(c *checker, a *attempt, _ standin.Run) {
			c.recordAnswer(a, answer(200, "seal-i-1"), []byte(standin.Body("v1", "i-1", "other", a.Method, a.Path)))
		}},
		{mixedAnswer, func(c *checker, a *attempt, _ standin.Run) { c.recordAnswer(a, answer(200, ""), nil) }},
		{mixedAnswer, func(c *checker, a *attempt, _ standin.Run) { c.recordAnswer(a, answer(503, "seal-i-1"), nil) }},
		{unasked, func(c *checker, _ *attempt, r standin.Run) {
			r.ID = "nobody"
			c.recordRun(r, entryService, allowed)
		}},
		{unasked, func(c *checker, _ *attempt, r standin.Run) {
			r.Body = nil
			c.recordRun(r, entryService, allowed)
		}},
		{unasked, func(c *checker, _ *attempt, r standin.Run) {
			r.Caller = "forged"
			c.recordRun(r, entryService, allowed)
		}},
		{wrongUpstream, func(c *checker, _ *attempt, r standin.Run) {
			r.Server = &standin.Server{ID: "i-2", Service: serviceLook}
			c.recordRun(r, entryService, allowed)
		}},
	} {
		c := newChecker(time.Now())
		a := &attempt{entry: entry, sentAt: time.Now(), Attempt: standin.Attempt{ID: "7", Method: http.MethodPost, Path: "/pay/1", Body: []byte("x")}}
		c.recordSent(a)
		tc.record(c, a, standin.Run{Server: server, ID: "7", Method: a.Method, Path: a.Path, Caller: serviceLook, Body: a.Body, At: time.Now()})
		var got []string
		for _, v := range c.violations {
			got = append(got, v.Invariant)
		}
		if want := strings.Fields(tc.invariant); !slices.Equal(got, want) {
			t.Errorf("got violations %v, want %v", c.violations, want)
		}
	}
}

// TestStatements guards against requests beyond a named rate limit, or after a server has
// said that it leaves, that the checker does not detect, and against reports of requests
// that are allowed.
func TestStatements(t *testing.T) {
	longAgo := time.Now().Add(-time.Minute)
	limited := http.Header{standin.HeaderSeal: {"seal-i-1"}, standin.HeaderLimit: {"2"}}
	leaving := http.Header{standin.HeaderSeal: {"seal-i-1"}, standin.HeaderLeaving: {"1"}}
	for _, c := range []struct {
		name, invariant string
		header          http.Header
		toldAt          time.Time
		// interrupted means that the daemon of the entry has restarted since.
		interrupted bool
		runs        int
	}{
		{"over the limit", overRateLimit, limited, longAgo, false, 18},
		{"within the limit", "", limited, longAgo, false, 17},
		{"limit just named", "", limited, time.Now().Add(-2 * time.Second), false, 18},
		{"limit of which the entry does not know", "", limited, longAgo, true, 18},
		{"leaves since long ago", afterLeaving, leaving, longAgo, false, 1},
		{"leaves since just now", "", leaving, time.Now(), false, 1},
		{"leaves, restarted since", "", leaving, longAgo, true, 1},
	} {
		entry := &node{name: "d-1", service: serviceLook}
		if c.interrupted {
			entry.interruptedAt = time.Now()
		}
		ch := newChecker(time.Now())
		ch.recordStatement(entry, c.header, c.toldAt)
		for range c.runs {
			ch.checkStatement(&attempt{entry: entry, sentAt: time.Now()}, standin.Run{Server: &standin.Server{ID: "i-1"}, At: time.Now()})
		}
		var got []string
		for _, v := range ch.violations {
			got = append(got, v.Invariant)
		}
		if want := strings.Fields(c.invariant); !slices.Equal(got, want) {
			t.Errorf("%s: got violations %v, want %v", c.name, ch.violations, want)
		}
	}
	ch := newChecker(time.Now())
	entry := &node{name: "d-1"}
	ch.recordStatement(entry, limited, longAgo)
	ch.limitEnded("i-1")
	runs := func() {
		for range 18 {
			ch.checkStatement(&attempt{entry: entry}, standin.Run{Server: &standin.Server{ID: "i-1"}, At: time.Now()})
		}
	}
	runs()
	// An answer from before the end arrives late.
	ch.recordStatement(entry, limited, longAgo)
	runs()
	if len(ch.violations) > 0 {
		t.Errorf("limit ended: got violations %v, want none", ch.violations)
	}
	ch.limitBegins("i-1")
	ch.recordStatement(entry, limited, longAgo)
	runs()
	if len(ch.violations) != 1 {
		t.Errorf("limit named again: got violations %v, want one", ch.violations)
	}
}

// fakeProcess is a placeholder for a running daemon.
type fakeProcess struct{ launcher.Process }

// fakeDaemon starts a server that answers each request with *status, or closes the
// connection if *status is zero.
func fakeDaemon(t *testing.T, status *int) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if *status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(*status)
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// TestTimes guards against violations of time bounds that are not detected, and
// against violations that are reported while the bound does not apply.
func TestTimes(t *testing.T) {
	status := http.StatusNotFound
	daemon := fakeDaemon(t, &status)
	longAgo := time.Now().Add(-time.Minute)
	run := func(h *harness, n *node, entry *node) {
		a := &attempt{entry: entry, Attempt: standin.Attempt{ID: h.nextID(), Method: http.MethodGet, Path: prefixPay}}
		h.checker.recordSent(a)
		h.checkRun(n, standin.Run{Server: n.app, ID: a.ID, Method: a.Method, Path: a.Path, Caller: entry.service, At: time.Now()})
	}
	probe := func(n *node, asked int) func(*harness) {
		return func(h *harness) {
			c := &client{h: h, n: n}
			defer c.close()
			version, since := h.publishedVersion()
			c.probeVersion(asked, version, since)
		}
	}
	for _, c := range []struct {
		name, invariant string
		// setup prepares a stable harness with a node and returns the action to check.
		setup func(h *harness, n *node) func(*harness)
	}{
		{"drained long ago", afterDrain, func(_ *harness, n *node) func(*harness) {
			n.drainAckedAt = longAgo
			return func(h *harness) { run(h, n, n) }
		}},
		{"drained just now", "", func(_ *harness, n *node) func(*harness) {
			n.drainAckedAt = time.Now()
			return func(h *harness) { run(h, n, n) }
		}},
		{"drained, bytes held back until now", "", func(_ *harness, n *node) func(*harness) {
			n.drainAckedAt, n.linkFaultUntil = longAgo, time.Now()
			return func(h *harness) { run(h, n, n) }
		}},
		{"zone out long ago", afterZoneOut, func(h *harness, n *node) func(*harness) {
			h.zonesOut[n.zone] = longAgo
			return func(h *harness) { run(h, n, n) }
		}},
		{"zone out, store just recovered", "", func(h *harness, n *node) func(*harness) {
			h.zonesOut[n.zone], h.storeStableAt = longAgo, time.Now()
			return func(h *harness) { run(h, n, n) }
		}},
		{"bad version over the limit long ago", badVersion, func(h *harness, n *node) func(*harness) {
			h.move = &move{version: n.app.Version, bad: true, limitReachedAt: longAgo}
			return func(h *harness) { run(h, n, n) }
		}},
		{"bad version just over the limit", "", func(h *harness, n *node) func(*harness) {
			h.move = &move{version: n.app.Version, bad: true, runs: badAnswerLimit*badOneIn - 1}
			return func(h *harness) { run(h, n, n) }
		}},
		{"bad version, entry disturbed", "", func(h *harness, n *node) func(*harness) {
			h.move = &move{version: n.app.Version, bad: true, limitReachedAt: longAgo}
			n.beginDisturbance()
			return func(h *harness) { run(h, n, n) }
		}},
		{"new version unknown", lateVersion, func(_ *harness, n *node) func(*harness) { return probe(n, 2) }},
		{"new version unknown, cut off from peers", lateVersion, func(_ *harness, n *node) func(*harness) {
			n.beginPeerDisturbance()
			return probe(n, 2)
		}},
		{"new version unknown, disturbed otherwise too", "", func(_ *harness, n *node) func(*harness) {
			n.beginPeerDisturbance()
			n.beginDisturbance()
			return probe(n, 2)
		}},
		{"old version served", lateVersion, func(_ *harness, n *node) func(*harness) {
			status = http.StatusNoContent
			return probe(n, 1)
		}},
		{"new version just published", "", func(h *harness, n *node) func(*harness) {
			h.publishedAt = time.Now()
			return probe(n, 2)
		}},
		{"older after newer", olderVersion, func(h *harness, n *node) func(*harness) {
			n.newestVersion, n.newestVersionAt, h.publishedAt, status = 2, time.Now().Add(-time.Second), time.Now(), http.StatusNoContent
			return probe(n, 1)
		}},
		{"older after newer, disturbed", "", func(_ *harness, n *node) func(*harness) {
			n.newestVersion, n.newestVersionAt, status = 2, time.Now().Add(-time.Second), http.StatusNoContent
			n.beginDisturbance()
			return probe(n, 1)
		}},
		{"cut by a stop", cutByStop, func(h *harness, n *node) func(*harness) {
			n.stoppedAt = time.Now()
			return func(h *harness) {
				c := &client{h: h, n: n}
				c.checkCut(&attempt{entry: n, sentAt: time.Now().Add(-time.Second), Attempt: standin.Attempt{Deadline: time.Now().Add(time.Second)}}, io.EOF)
			}
		}},
		{"cut by a stop during a disturbance", "", func(h *harness, n *node) func(*harness) {
			n.stoppedAt, h.activeUnplanned = time.Now(), 1
			return func(h *harness) {
				c := &client{h: h, n: n}
				c.checkCut(&attempt{entry: n, sentAt: time.Now().Add(-time.Second), Attempt: standin.Attempt{Deadline: time.Now().Add(time.Second)}}, io.EOF)
			}
		}},
		{"cut while stable", cutInCalm, func(_ *harness, n *node) func(*harness) {
			return func(h *harness) {
				for range maxCuts + 1 {
					c := &client{h: h, n: n}
					c.checkCut(&attempt{entry: n, sentAt: time.Now().Add(-time.Second), Attempt: standin.Attempt{Deadline: time.Now().Add(time.Second)}}, io.EOF)
				}
			}
		}},
		{"does not recover", notRecovered + " " + notRecovered + " " + notRecovered, func(h *harness, n *node) func(*harness) {
			h.nodes, status = []*node{n}, http.StatusServiceUnavailable
			return func(h *harness) { h.checkRecovery(time.Now()) }
		}},
	} {
		status = http.StatusNotFound
		h := &harness{
			ctx: t.Context(), checker: newChecker(time.Now()), zonesOut: make(map[string]time.Time),
			published: 2, publishedAt: longAgo,
		}
		n := &node{
			name: "d-1", service: servicePay, zone: zones[0], process: fakeProcess{},
			app: &standin.Server{ID: "i-1", Service: servicePay, Version: "v2"},
		}
		n.settings.CallerAddress = daemon
		c.setup(h, n)(h)
		var got []string
		for _, v := range h.checker.violations {
			if v.Invariant != mixedAnswer { // the answers of fakeDaemon have no seal
				got = append(got, v.Invariant)
			}
		}
		if want := strings.Fields(c.invariant); !slices.Equal(got, want) {
			t.Errorf("%s: got violations %v, want %v", c.name, h.checker.violations, want)
		}
	}
}
