package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one request that a server began to run.
type run struct {
	id, method, path, caller, server string
	start, end                       time.Time
	// completed is set if the server wrote its whole answer.
	completed bool
}

// server is a stand-in for an application server.
type server struct {
	id, service, version, zone string
	slots                      int
	// born is the start of the server by its own clock.
	born time.Time
	// drained is the id of the incarnation that drained last.
	drained string
	// work returns how long a request takes.
	work     func() time.Duration
	announce string
	// fatal reports whether a run crashes the server; it may be nil. onCrash is called
	// after such a crash.
	fatal   func(r *run) bool
	onCrash func()

	ln   net.Listener
	http *http.Server

	mu       sync.Mutex
	seq      int
	starts   int
	state    string
	busy     int
	runs     []*run
	arrivals []time.Time
	stopped  bool
}

// start listens on the address and serves.
func (s *server) start(address string) (err error) {
	if s.ln, err = net.Listen("tcp", address); err != nil {
		return err
	}
	if s.born.IsZero() {
		s.born = time.Now()
	}
	s.state = "ready"
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(s.ln) }()
	return nil
}

func (s *server) addr() string { return s.ln.Addr().String() }

// crash ends the server and all of its connections.
func (s *server) crash() {
	s.mu.Lock()
	s.stopped = true
	srv := s.http
	s.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

// name returns the id of the present incarnation.
func (s *server) name() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// restart starts the server again, as a new incarnation with a new id.
func (s *server) restart(address string) error {
	return s.restartAs(address, "i-"+newID()[:8], time.Now())
}

// restartAs starts the server again, as a new incarnation with an id and a time of birth.
func (s *server) restartAs(address, id string, born time.Time) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.id, s.born, s.seq, s.busy, s.stopped, s.state = id, born, 0, 0, false, "ready"
	s.starts++
	start := s.starts
	s.ln, s.http = ln, &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	srv := s.http
	s.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	go s.beatsOf(start, 1500*time.Millisecond)
	return nil
}

func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// beat sends one heartbeat and returns when it was acknowledged.
func (s *server) beat() (acknowledged time.Time, err error) {
	s.mu.Lock()
	s.seq++
	body, err := json.Marshal(map[string]any{
		"address": s.addr(), "born": s.born.UnixMilli(),
		"info":   map[string]any{"service": s.service, "version": s.version, "zone": s.zone, "maxConcurrency": s.slots},
		"status": map[string]any{"state": s.state, "seq": s.seq, "coldLeftMs": 0},
	})
	s.mu.Unlock()
	if err != nil {
		return acknowledged, err
	}
	return s.post("heartbeat", body)
}

// deregister says that the server has left.
func (s *server) deregister() (acknowledged time.Time, err error) {
	s.setState("gone")
	return s.post("deregister", fmt.Appendf(nil, `{"born":%d}`, s.born.UnixMilli()))
}

func (s *server) post(call string, body []byte) (acknowledged time.Time, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + s.announce + "/kingcuppitch/instances/" + s.id + "/" + call
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return acknowledged, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := heartbeats.RoundTrip(req)
	if err != nil {
		return acknowledged, err
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	if res.StatusCode/100 != 2 {
		return acknowledged, fmt.Errorf("%s: status %d", call, res.StatusCode)
	}
	return time.Now(), nil
}

var heartbeats = &http.Transport{DisableKeepAlives: true}

// beats sends the heartbeats of the first start.
func (s *server) beats(every time.Duration) { s.beatsOf(0, every) }

// beatsOf sends the heartbeats of one start until the server stops.
func (s *server) beatsOf(start int, every time.Duration) {
	for {
		s.mu.Lock()
		stopped := s.stopped || s.state == "gone" || s.starts != start
		s.mu.Unlock()
		if stopped {
			return
		}
		_, _ = s.beat()
		time.Sleep(every)
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	s.mu.Lock()
	leaving := s.state != "ready"
	s.mu.Unlock()
	if leaving {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		h.Set("Kingcuppitch-Instance-Id", s.name())
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	self := s.name()
	id := r.Header.Get("Kingcuppitch-Attempt-Id")
	h.Set("Kingcuppitch-Attempt-Id", id)
	if expect := r.Header.Get("Kingcuppitch-Expect-Instance"); expect != "" && expect != self {
		h.Set("Kingcuppitch-Instance-Id", self)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	if s.busy >= s.slots {
		s.mu.Unlock()
		h.Set("Kingcuppitch-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.busy++
	rn := &run{id: id, method: r.Method, path: r.URL.RequestURI(), caller: r.Header.Get("Kingcuppitch-Caller-Service"), server: self, start: time.Now()}
	s.runs = append(s.runs, rn)
	fatal := s.fatal != nil && s.fatal(rn) && !s.stopped
	s.mu.Unlock()
	if fatal {
		s.crash()
		go s.onCrash()
		return
	}
	timer := time.NewTimer(s.work())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
	s.mu.Lock()
	if s.id == self {
		s.busy--
	}
	rn.end = time.Now()
	rn.completed = r.Context().Err() == nil
	s.mu.Unlock()
	if !rn.completed {
		return
	}
	h.Set("Kingcuppitch-Server-Seal", "seal-"+self)
	_, _ = io.WriteString(w, answerBody(self, id, r.Method, rn.path))
}

// answerBody returns the whole body of the answer of a server.
func answerBody(server, id, method, path string) string {
	return strings.Join([]string{server, id, method, path, strings.Repeat(".", 200), "end"}, " ")
}
