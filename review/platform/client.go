package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// route is a route of the configuration, as clients see it.
type route struct {
	host, prefix, method string
	idempotent           bool
	deadline             time.Duration
}

// attempt is one client attempt with its own id.
type attempt struct {
	machine *machine
	id      string
	route   *route
	size    int
	// kept says that the connection had carried a request before.
	kept bool
	// sent is when the last byte was written, answered when the answer was complete.
	sent, answered time.Time
	// status is zero if the connection ended without a complete answer.
	status int
	// servedBy is the server that the body names.
	servedBy string
	err      error
}

// log collects the attempts of all clients.
type attemptLog struct {
	mu   sync.Mutex
	list []*attempt
	rec  *record
}

func (l *attemptLog) add(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, a)
	end := a.answered
	if end.IsZero() {
		end = time.Now()
	}
	l.rec.request(end, "client at %s: request %s, %d bytes, sent at %.3f, kept connection: %v, status %d, server %s, error %v",
		a.machine.name, a.id, a.size, a.sent.Sub(l.rec.start).Seconds(), a.kept, a.status, a.servedBy, a.err)
}

func (l *attemptLog) all() []*attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*attempt(nil), l.list...)
}

// client sends requests one after the other on a connection that it keeps.
type client struct {
	machine *machine
	log     *attemptLog
	conn    net.Conn
	br      *bufio.Reader
	used    bool
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

func newID() string { return strings.ToLower(rand.Text()[:16]) }

// send sends one request and reads its answer.
func (c *client) send(r *route, body []byte) *attempt {
	a := &attempt{machine: c.machine, id: newID(), route: r, size: len(body)}
	defer c.log.add(a)
	until := time.Now().Add(r.deadline)
	if c.conn == nil {
		if c.conn, a.err = net.DialTimeout("tcp", c.machine.outbound, time.Second); a.err != nil {
			c.conn = nil
			return a
		}
		c.br, c.used = bufio.NewReader(c.conn), false
	}
	a.kept, c.used = c.used, true
	_ = c.conn.SetDeadline(until)
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s%s HTTP/1.1\r\nHost: %s\r\nKingcuppitch-Attempt-Id: %s\r\nKingcuppitch-Deadline-Ms: %d\r\n",
		r.method, r.prefix, a.id[:4], r.host, a.id, r.deadline.Milliseconds())
	if len(body) > 0 || r.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	_, a.err = c.conn.Write(append(head.Bytes(), body...))
	a.sent = time.Now()
	if a.err != nil {
		c.close()
		return a
	}
	res, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	var data []byte
	if err == nil {
		data, err = io.ReadAll(res.Body)
	}
	if a.err = err; err != nil {
		c.close()
		return a
	}
	a.status, a.answered = res.StatusCode, time.Now()
	if f := strings.Fields(string(data)); res.Header.Get("Kingcuppitch-Server-Seal") != "" && len(f) > 1 {
		a.servedBy = f[0]
		if f[1] != a.id {
			a.err = errors.New("the answer belongs to request " + f[1])
		}
	}
	if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		time.Sleep(min(time.Duration(s*float64(time.Second)), time.Until(until)/3))
	}
	if res.Close {
		c.close()
	}
	return a
}

// run sends requests until stop is closed, with a pause after each answer.
func (c *client) run(r *route, size int, pause time.Duration, stop <-chan struct{}) {
	defer c.close()
	body := bytes.Repeat([]byte("x"), size)
	for {
		if c.machine.takesClients() {
			c.send(r, body)
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}
