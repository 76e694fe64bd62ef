package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatEvery = 1500 * time.Millisecond
	// ackWithin is the time in which an acknowledgement must arrive.
	ackWithin = time.Second
	// serverQueue is the number of requests that wait for a slot.
	serverQueue = 48
	idPath      = "/health"
	// healthWork is the time of a health check.
	healthWork = 6 * time.Millisecond
	// idleFor is how long a server keeps an idle connection, as its answers say.
	idleFor = 10 * time.Second
)

// server plays an application server beside a daemon.
type server struct {
	id, service, version string
	machine              *machine
	born                 time.Time
	slots                int
	work                 time.Duration
	// failShare is the share of the requests that fail after they have run.
	failShare float64
	rec       *record

	http    http.Server
	cancel  context.CancelFunc
	ctx     context.Context
	waiting chan struct{}
	running chan struct{}

	mu       sync.Mutex
	state    string
	seq      int
	arrivals []arrival
	// counted is the number of arrivals that tally has returned.
	counted int
}

// tally returns the requests that were run and refused since the last call.
func (s *server) tally() (ran, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals[s.counted:] {
		if a.ran {
			ran++
		} else {
			refused++
		}
	}
	s.counted = len(s.arrivals)
	return ran, refused
}

// arrival is a request that reached the server.
type arrival struct {
	at     time.Time
	id     string
	status int
	ran    bool
}

// start listens at the address of the machine's server and sends heartbeats.
func (s *server) start() error {
	ln, err := net.Listen("tcp", s.machine.appAddr)
	if err != nil {
		return err
	}
	s.state = "ready"
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.waiting, s.running = make(chan struct{}, s.slots+serverQueue), make(chan struct{}, s.slots)
	s.http.Handler, s.http.IdleTimeout = s, idleFor
	go func() { _ = s.http.Serve(ln) }()
	go s.heartbeats()
	s.rec.note("server %s (%s %s) starts beside %s, born %d", s.id, s.service, s.version, s.machine.name, s.born.UnixMilli())
	return nil
}

// crash ends the server without a word.
func (s *server) crash() {
	s.cancel()
	_ = s.http.Close()
	s.rec.note("server %s beside %s ends", s.id, s.machine.name)
}

func (s *server) heartbeats() {
	for {
		_ = s.beat()
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(heartbeatEvery):
		}
	}
}

// beat sends one heartbeat with the present state.
func (s *server) beat() error {
	s.mu.Lock()
	s.seq++
	seq, state := s.seq, s.state
	s.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"address": s.machine.appAddr, "born": s.born.UnixMilli(),
		"info":   map[string]any{"service": s.service, "zone": s.machine.zone, "version": s.version, "maxConcurrency": s.slots},
		"status": map[string]any{"state": state, "seq": seq, "coldLeftMs": 0},
	})
	return s.call("heartbeat", body)
}

func (s *server) call(name string, body []byte) error {
	ctx, cancel := context.WithTimeout(s.ctx, ackWithin)
	defer cancel()
	url := fmt.Sprintf("http://%s/kingcuppitch/instances/%s/%s", s.machine.control, s.id, name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("%s: status %d", name, res.StatusCode)
	}
	return nil
}

// drain reports that the server leaves until that is acknowledged, and returns the time of
// the acknowledgement.
func (s *server) drain() (acked time.Time, err error) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	for range 5 {
		if err = s.beat(); err == nil {
			s.rec.note("server %s says that it is draining, acknowledged by %s", s.id, s.machine.name)
			return time.Now(), nil
		}
	}
	return time.Time{}, err
}

// leave deregisters the server and ends it.
func (s *server) leave() {
	body, _ := json.Marshal(map[string]any{"born": s.born.UnixMilli()})
	_ = s.call("deregister", body)
	s.crash()
}

func (s *server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == "draining"
}

// arrived returns the requests that reached the server so far.
func (s *server) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	if r.URL.Path == idPath {
		s.serveHealth(w, r)
		return
	}
	id := r.Header.Get("Kingcuppitch-Attempt-Id")
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		s.rec.request(at, "server %s got request %s without its whole body", s.id, id)
		return
	}
	status, ran := s.handle(r, id)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{at, id, status, ran})
	s.mu.Unlock()
	s.rec.request(at, "server %s got request %s of %d bytes, ran it: %v, answers %d", s.id, id, n, ran, status)
	if status == 0 {
		panic(http.ErrAbortHandler) // the connection was closed
	}
	h := w.Header()
	s.setState(h)
	h.Set("Kingcuppitch-Attempt-Id", id)
	switch {
	case status == http.StatusMisdirectedRequest:
		h.Set("Kingcuppitch-Instance-Id", s.id)
	case !ran:
		h.Set("Kingcuppitch-Not-Executed", "1")
	default:
		h.Set("Kingcuppitch-Server-Seal", s.id+"."+id)
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s %s %s\n", s.id, id, s.version)
}

// setState sets the headers with which a server tells how long it keeps a connection, or
// that it leaves.
func (s *server) setState(h http.Header) {
	if s.isDraining() {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
		return
	}
	h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleFor.Seconds())))
}

// serveHealth answers a health check, which waits for a slot like any other request.
func (s *server) serveHealth(w http.ResponseWriter, r *http.Request) {
	s.setState(w.Header())
	w.Header().Set("Kingcuppitch-Instance-Id", s.id)
	select {
	case s.running <- struct{}{}:
		defer func() { <-s.running }()
	case <-r.Context().Done():
		return
	}
	time.Sleep(healthWork)
	if s.isDraining() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// handle runs a request like a server with slots and a queue. A status of 0 means that the
// caller closed the connection.
func (s *server) handle(r *http.Request, id string) (status int, ran bool) {
	if id == "" {
		return http.StatusBadRequest, false
	}
	if want := r.Header.Get("Kingcuppitch-Expect-Instance"); want != "" && want != s.id {
		return http.StatusMisdirectedRequest, false
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Kingcuppitch-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	select {
	case s.waiting <- struct{}{}:
		defer func() { <-s.waiting }()
	default:
		return http.StatusServiceUnavailable, false
	}
	select {
	case s.running <- struct{}{}:
		defer func() { <-s.running }()
	case <-ctx.Done():
		return http.StatusServiceUnavailable, false
	}
	select {
	case <-time.After(time.Duration((0.7 + 0.6*rand.Float64()) * float64(s.work))):
	case <-r.Context().Done():
		return 0, true
	case <-ctx.Done():
		return http.StatusGatewayTimeout, true
	}
	if rand.Float64() < s.failShare {
		return http.StatusInternalServerError, true
	}
	return http.StatusOK, true
}
