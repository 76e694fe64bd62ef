package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// reuseWithin is the idle time up to which clients reuse a connection: four fifths of
	// idleTimeoutMs.
	reuseWithin = 12 * time.Second
	// clientRetries is how often clients repeat a request.
	clientRetries = 2
	closedEvery   = 250 * time.Millisecond
)

// crowd is the clients of one machine together. They start requests at a rate, reuse idle
// connections, and repeat what was refused on a new connection. They leave connections open
// until the daemon closes them.
type crowd struct {
	machine *machine
	// perSecond is the rate of requests; burst multiplies it.
	perSecond float64

	mu     sync.Mutex
	burst  float64
	idle   []*crowdConn
	counts map[string]int
	open   int
	// cut holds the ids of attempts on kept connections that the daemon closed without an
	// answer before the client's deadline.
	cut []string
	wg  sync.WaitGroup
}

type crowdConn struct {
	net.Conn
	br    *bufio.Reader
	since time.Time
	// kept says that the connection had carried a request before.
	kept bool
}

func (c *crowd) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[what]++
}

func (c *crowd) setBurst(x float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.burst = x
}

// run starts requests until stop is closed.
func (c *crowd) run(stop <-chan struct{}) {
	c.counts = make(map[string]int)
	c.setBurst(1)
	go c.dropClosed(stop)
	next := time.Now()
	for n := 0; ; n++ {
		c.mu.Lock()
		rate := c.perSecond * c.burst
		c.mu.Unlock()
		next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-stop:
			c.wg.Wait()
			return
		case <-time.After(time.Until(next)):
		}
		if !c.machine.takesClients() {
			next = time.Now()
			continue
		}
		r := lookup
		if n%3 == 2 {
			r = reserve
		}
		c.wg.Go(func() { c.request(r) })
	}
}

// request sends one request and repeats it as a client does.
func (c *crowd) request(r *route) {
	until := time.Now().Add(r.deadline)
	c.count("requests")
	for try := range 1 + clientRetries {
		conn, err := c.connect(try > 0)
		if err != nil {
			c.count("no connection")
			return
		}
		status, wait, err := c.exchange(conn, r, until)
		switch {
		case err != nil:
			c.count("no answer")
			return
		case status == http.StatusOK:
			c.count("served")
			return
		}
		c.count("status " + strconv.Itoa(status))
		left := time.Until(until)
		promised := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if !promised && (!r.idempotent || status < http.StatusInternalServerError) || left <= 0 {
			return
		}
		time.Sleep(min(wait, left/3))
	}
}

// connect returns an idle connection, or a new one.
func (c *crowd) connect(fresh bool) (*crowdConn, error) {
	c.mu.Lock()
	if n := len(c.idle); !fresh && n > 0 && time.Since(c.idle[n-1].since) < reuseWithin {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	nc, err := net.DialTimeout("tcp", c.machine.outbound, time.Second)
	if err != nil {
		return nil, err
	}
	c.count("new connections")
	c.mu.Lock()
	c.open++
	c.mu.Unlock()
	return &crowdConn{Conn: nc, br: bufio.NewReaderSize(nc, 1024)}, nil
}

func (c *crowd) close(conn *crowdConn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// exchange sends one attempt and reads its answer.
func (c *crowd) exchange(conn *crowdConn, r *route, until time.Time) (status int, wait time.Duration, err error) {
	id, kept := newID(), conn.kept
	defer func() {
		if err == nil {
			return
		}
		c.close(conn)
		if kept && time.Now().Before(until) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.cut = append(c.cut, id)
		}
	}()
	c.count("attempts")
	conn.kept = true
	_ = conn.SetDeadline(until)
	if _, err = fmt.Fprintf(conn, "%s %s%s HTTP/1.1\r\nHost: %s\r\nKingcuppitch-Attempt-Id: %s\r\nKingcuppitch-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		r.method, r.prefix, id[:4], r.host, id, max(1, time.Until(until).Milliseconds())); err != nil {
		return 0, 0, err
	}
	res, err := http.ReadResponse(conn.br, &http.Request{Method: r.method})
	if err != nil {
		return 0, 0, err
	}
	if _, err = io.Copy(io.Discard, res.Body); err != nil {
		return 0, 0, err
	}
	if s, perr := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); perr == nil {
		wait = time.Duration(s * float64(time.Second))
	}
	if res.Close {
		c.close(conn)
		return res.StatusCode, wait, nil
	}
	_ = conn.SetDeadline(time.Time{})
	conn.since = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
	return res.StatusCode, wait, nil
}

// dropClosed closes the idle connections that the daemon has closed.
func (c *crowd) dropClosed(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			c.mu.Lock()
			for _, conn := range c.idle {
				_ = conn.Close()
			}
			c.idle = nil
			c.mu.Unlock()
			return
		case <-time.After(closedEvery):
		}
		c.mu.Lock()
		kept := make([]*crowdConn, 0, len(c.idle))
		for _, conn := range c.idle {
			if conn.isClosed() {
				_ = conn.Close()
				c.open--
				continue
			}
			kept = append(kept, conn)
		}
		c.idle = kept
		c.mu.Unlock()
	}
}

// isClosed reports whether the other end has closed an idle connection.
func (conn *crowdConn) isClosed() bool {
	raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err != nil || !open
}

// report writes the counts of the last second and returns the open connections.
func (c *crowd) report(rec *record) {
	c.mu.Lock()
	counts, open := c.counts, c.open
	c.counts = make(map[string]int)
	c.mu.Unlock()
	rec.line(time.Now(), "clients at %s: %d connections open; in the last second %v", c.machine.name, open, counts)
}
