package main

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// attempt is one request of a client and what became of it.
type attempt struct {
	id, method, host, path, daemon string
	sent                           time.Time
	// written is set once the whole request was written.
	written bool
	ended   time.Time
	// status is that of the complete answer; zero if there was none.
	status int
	body   string
	seal   string
	err    string
	fresh  bool
}

// client sends requests one after the other and keeps its connection as long as the
// daemon allows it.
type client struct {
	daemon *daemon
	nc     net.Conn
	br     *bufio.Reader
}

func newID() string { return rand.Text()[:16] }

// log holds the attempts of all clients.
type log struct {
	mu   sync.Mutex
	list []*attempt
}

func (l *log) add(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, a)
}

func (l *log) all() []*attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*attempt(nil), l.list...)
}

func (c *client) close() {
	if c.nc != nil {
		_ = c.nc.Close()
		c.nc = nil
	}
}

// do sends one request and reads its answer.
func (c *client) do(l *log, method, host, path string, body []byte, deadline time.Duration) *attempt {
	a := &attempt{id: newID(), method: method, host: host, path: path, daemon: c.daemon.name}
	defer func() {
		a.ended = time.Now()
		l.add(a)
	}()
	if c.nc == nil {
		nc, err := net.DialTimeout("tcp", c.daemon.caller, time.Second)
		if err != nil {
			a.err, a.sent = "no connection: "+err.Error(), time.Now()
			return a
		}
		c.nc, c.br, a.fresh = nc, bufio.NewReader(nc), true
	}
	_ = c.nc.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	req := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nKingcuppitch-Attempt-Id: %s\r\nKingcuppitch-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, a.id, deadline.Milliseconds(), len(body), body)
	_, err := c.nc.Write(req)
	a.sent = time.Now()
	if err != nil {
		a.err = "write: " + err.Error()
		c.close()
		return a
	}
	a.written = true
	res, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		a.err = "read: " + err.Error()
		c.close()
		return a
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		a.err = "body: " + err.Error()
		c.close()
		return a
	}
	a.status, a.body, a.seal = res.StatusCode, string(data), res.Header.Get("Kingcuppitch-Server-Seal")
	if res.Close {
		c.close()
	}
	return a
}

func (a *attempt) outcome() string {
	if a.status != 0 {
		return strconv.Itoa(a.status)
	}
	return a.err
}
