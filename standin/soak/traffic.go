package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kingcuppitch/kingcuppitch/platform/standin"
)

const (
	// clientsPerNode is the number of clients per node. Each keeps one connection open
	// and has one request in flight at a time.
	clientsPerNode = 2
	thinkTime      = 12 * time.Millisecond
	probeEvery     = 150 * time.Millisecond
	deadline       = 2 * time.Second
	// answerTimeout is how long a client waits for an answer past the deadline.
	answerTimeout = time.Second
)

// Path prefixes of the routes.
const (
	prefixLook    = "/look/"
	prefixPay     = "/pay/"
	prefixVersion = "/version/"
)

// client sends requests to a daemon over one connection.
type client struct {
	h      *harness
	n      *node
	conn   net.Conn
	reader *bufio.Reader
}

// startClients starts the clients of a node, which run until the soak ends.
func (h *harness) startClients(n *node) {
	for i := range clientsPerNode {
		h.background.Go(func() {
			c := &client{h: h, n: n}
			rng := rand.New(rand.NewPCG(h.seed, uint64(i)))
			for h.sleep(time.Duration(rng.ExpFloat64() * float64(thinkTime))) {
				method, path := http.MethodGet, prefixLook
				if rng.IntN(2) == 0 {
					method, path = http.MethodPost, prefixPay
				}
				c.do(method, path+strconv.Itoa(rng.IntN(1000)))
			}
			c.close()
		})
	}
	h.background.Go(func() {
		c := &client{h: h, n: n}
		for h.sleep(probeEvery) {
			version, since := h.publishedVersion()
			c.probeVersion(version, version, since)
			c.probeVersion(version-1, version, since)
		}
		c.close()
	})
}

// probeVersion requests the route of a version and checks which version the daemon
// serves.
func (c *client) probeVersion(requested, current int, since time.Time) {
	sent := time.Now()
	a, status := c.do(http.MethodGet, fmt.Sprintf("%s%d/", prefixVersion, requested))
	if status == 0 {
		return
	}
	n, h := c.n, c.h
	now, _ := h.publishedVersion()
	stable := n.stable() && h.storeStable()
	late := n.reachesStore() && h.storeStable() && sent.After(since.Add(applyWithin)) && now == current
	switch {
	case status < 300:
		if late && requested < current {
			h.checker.report(lateVersion, "%s serves version %d (%s) %v after version %d", n.name, requested, a.ID, time.Since(since), current)
		}
		n.recordVersion(h, requested, sent, stable)
	case status == http.StatusNotFound && requested == current && late:
		h.checker.report(lateVersion, "%s does not know version %d (%s) %v after its publication", n.name, current, a.ID, time.Since(since))
	}
}

// recordVersion records that a daemon served a version, and reports a version that is
// older than one served before.
func (n *node) recordVersion(h *harness, version int, sent time.Time, stable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	slack := regressSlackSlow
	if stable {
		slack = regressSlack
	}
	switch {
	case version > n.newestVersion:
		n.newestVersion, n.newestVersionAt = version, time.Now()
	case version < n.newestVersion && sent.After(n.newestVersionAt.Add(slack)):
		h.checker.report(olderVersion, "%s serves version %d after version %d", n.name, version, n.newestVersion)
	}
}

// do sends a request and returns the status of its answer, or zero if there is no
// complete answer.
func (c *client) do(method, path string) (*attempt, int) {
	h, n := c.h, c.n
	if !n.up() {
		c.close()
		return nil, 0
	}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", n.settings.CallerAddress.String(), dialTimeout)
		if err != nil {
			return nil, 0
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	now := time.Now()
	a := &attempt{entry: n, sentAt: now, Attempt: standin.Attempt{
		ID: h.nextID(), Method: method, Host: host, Path: path, Deadline: now.Add(deadline),
	}}
	if a.unsafe() {
		a.Body = []byte("body of " + a.ID)
	}
	h.checker.recordSent(a)
	_ = c.conn.SetDeadline(a.Deadline.Add(answerTimeout))
	if _, err := c.conn.Write(a.Bytes()); err != nil {
		c.close()
		return a, 0
	}
	res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	if err != nil {
		c.checkCut(a, err)
		c.close()
		return a, 0
	}
	h.checker.recordAnswer(a, res, body)
	if res.Close || strings.EqualFold(res.Header.Get("Connection"), "close") {
		c.close()
	}
	return a, res.StatusCode
}

// checkCut checks whether a connection may have ended without a complete answer.
func (c *client) checkCut(a *attempt, err error) {
	h, n := c.h, c.n
	now := time.Now()
	n.mu.Lock()
	stopped := !n.stoppedAt.IsZero()
	n.mu.Unlock()
	handled := h.checker.hasRun(a) || now.Sub(a.sentAt) > unreadSlack
	switch {
	case !handled || now.After(a.Deadline):
	case stopped && h.undisturbedSince(a.sentAt.Add(-stableWindow)):
		h.checker.report(cutByStop, "%s %s at %s after %v: %v", a.Method, a.ID, n.name, now.Sub(a.sentAt), err)
	case !stopped && n.stable():
		h.checker.countCut(a)
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
