package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// call is one request in work.
type call struct {
	r           *http.Request
	body        []byte
	incarnation uint64
	key         string
	hash        string
}

// reply is an answer before it is written.
type reply struct {
	status int
	id     string // Request-Id
	retry  bool   // sends Retry-After
	body   []byte
}

// crossing is an answer that waits for another to swap with.
type crossing struct {
	reply reply
	other chan reply
}

// plan holds the faults that hit one request.
type plan struct {
	latency, late            time.Duration
	fail, crossed, truncated bool
	crash                    bool
}

// The ways in which a request is received.
type admission int

const (
	admitted   admission = iota
	slowed               // admitted above coldSlots in cold start
	shed                 // refused because all slots and the queue are taken
	overturned           // refused because the instance fell over
	notReady             // refused because the instance is starting
)

func (in *instance) handle(w http.ResponseWriter, r *http.Request) {
	ctx := r.Context()
	if ms, err := strconv.ParseInt(r.Header.Get(request.HeaderTimeout), 10, 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		in.health(ctx, w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		}
		return
	}
	c := &call{r: r, body: body, key: r.Header.Get(request.HeaderKey)}
	if len(body) > 0 {
		c.hash = Hash(body)
	}
	rep, p := in.run(ctx, c)
	if p.late > 0 {
		sleep(r.Context(), p.late)
	}
	if p.crossed {
		rep = in.swap(rep)
	}
	rep.write(w, p.truncated)
}

// run admits a request, does its work and leaves; the answer is written after
// that, so that a client that has its answer no longer counts as in flight.
func (in *instance) run(ctx context.Context, c *call) (reply, plan) {
	how := in.enter(c)
	defer in.leave()
	switch how {
	case shed:
		return c.refuse("all slots are taken"), plan{}
	case notReady:
		return c.refuse("starting"), plan{}
	case overturned:
		sleep(ctx, fallenDelay)
		return c.refuse("fell over in cold start"), plan{}
	}
	select {
	case in.free <- struct{}{}:
		defer func() { <-in.free }()
	case <-ctx.Done():
		return in.cancelled(c), plan{}
	}
	p := in.start(c)
	if p.crash {
		in.crash(c.incarnation)
	}
	work := in.work
	if ms, err := strconv.Atoi(c.r.URL.Query().Get("workMs")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	if how == slowed {
		work *= coldFactor
	}
	if !sleep(ctx, work+p.latency) {
		return in.cancelled(c), p
	}
	if !in.complete(c) {
		return in.cancelled(c), p
	}
	if p.fail {
		return c.reply(http.StatusInternalServerError, map[string]string{"error": "fault"}), p
	}
	size, _ := strconv.Atoi(c.r.URL.Query().Get("size"))
	return c.reply(http.StatusOK, Answer{
		Method: c.r.Method, Path: c.r.URL.RequestURI(), BodyHash: Hash(c.body),
		Instance: in.name, Version: in.version, Incarnation: c.incarnation,
		RequestID: c.r.Header.Get(request.HeaderUpstreamRequest),
		Padding:   strings.Repeat("x", min(max(size, 0), maxSize)),
	}), p
}

// enter counts a request and decides how it is received.
func (in *instance) enter(c *call) admission {
	in.mu.Lock()
	defer in.mu.Unlock()
	now := time.Now()
	s := &in.stats
	c.incarnation = s.Incarnation
	s.Requests++
	s.LastRequestAt = now
	s.InFlight++
	s.MaxInFlight = max(s.MaxInFlight, s.InFlight)
	cold := now.Before(in.coldUntil)
	if cold {
		s.MaxCold = max(s.MaxCold, s.InFlight)
	}
	switch {
	case now.Before(in.startUntil):
		return notReady
	case now.Before(in.fallenUntil), cold && s.InFlight > 2*in.coldSlots:
		if !now.Before(in.fallenUntil) {
			s.FellOver++
			in.fallenUntil = now.Add(fallFor)
		}
		in.coldUntil = now.Add(in.coldFor)
		return overturned
	case cold && s.InFlight > in.coldSlots:
		return slowed
	case s.InFlight > 2*in.slots: // a queue as long as the slots
		s.Shed++
		return shed
	}
	return admitted
}

func (in *instance) leave() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.stats.InFlight--
}

// start counts a run and draws its faults.
func (in *instance) start(c *call) (p plan) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.stats.Started++
	in.count(c, func(r *Run) { r.Started++ })
	f := &in.faults
	matches := strings.HasPrefix(c.r.URL.Path, f.PathPrefix) && in.stats.InFlight > f.AboveInFlight && !time.Now().Before(in.faultsAt)
	if matches && (f.LatencyRatio == 0 || in.chance(f.LatencyRatio)) {
		p.latency = time.Duration(f.LatencyMs) * time.Millisecond
	}
	p.fail = matches && in.chance(f.ErrorRatio)
	p.crossed = in.chance(f.Crossed)
	p.truncated = in.chance(f.Truncated)
	if in.chance(f.Late) {
		p.late = time.Duration(f.LateMs) * time.Millisecond
	}
	p.crash = f.CrashBody != "" && bytes.Contains(c.body, []byte(f.CrashBody))
	return p
}

// complete counts the end of a run unless its incarnation has crashed.
func (in *instance) complete(c *call) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stats.Incarnation != c.incarnation || in.stats.State == "" {
		return false
	}
	in.stats.Completed++
	in.count(c, func(r *Run) { r.Completed++ })
	return true
}

func (in *instance) count(c *call, change func(*Run)) {
	if c.key != "" {
		r := in.runs.Keys[c.key]
		change(&r)
		in.runs.Keys[c.key] = r
	}
	if c.hash != "" {
		r := in.runs.Bodies[c.hash]
		change(&r)
		in.runs.Bodies[c.hash] = r
	}
}

func (in *instance) cancelled(c *call) reply {
	in.mu.Lock()
	in.stats.Cancelled++
	in.mu.Unlock()
	return c.reply(http.StatusGatewayTimeout, map[string]string{"error": "cancelled or past the deadline"})
}

// health answers a probe. A slot is occupied for it, as by a request.
func (in *instance) health(ctx context.Context, w http.ResponseWriter) {
	in.mu.Lock()
	in.stats.Probes++
	in.mu.Unlock()
	select {
	case in.free <- struct{}{}:
		sleep(ctx, ProbeCost)
		<-in.free
	case <-ctx.Done():
	}
	in.mu.Lock()
	now := time.Now()
	status := http.StatusOK
	if now.Before(in.startUntil) || now.Before(in.fallenUntil) {
		status = http.StatusServiceUnavailable
	}
	if in.faults.HealthStatus != 0 {
		status = in.faults.HealthStatus
	}
	state, load := in.stats.State, in.stats.InFlight
	in.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"state": state, "load": load})
}

// swap exchanges an answer with that of another request, if one comes.
func (in *instance) swap(rep reply) reply {
	mine := crossing{rep, make(chan reply, 1)}
	select {
	case in.cross <- mine:
		return <-mine.other
	case other := <-in.cross:
		other.other <- rep
		return other.reply
	case <-time.After(crossWait):
		return rep
	}
}

func (c *call) refuse(reason string) reply {
	rep := c.reply(http.StatusServiceUnavailable, map[string]string{"error": reason})
	rep.retry = true
	return rep
}

func (c *call) reply(status int, v any) reply {
	body, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
	}
	return reply{status: status, id: c.r.Header.Get(request.HeaderUpstreamRequest), body: body}
}

func (rep reply) write(w http.ResponseWriter, truncated bool) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(rep.body)))
	if rep.id != "" {
		h.Set(request.HeaderUpstreamRequest, rep.id)
	}
	if rep.retry {
		h.Set("Retry-After", "1")
	}
	w.WriteHeader(rep.status)
	if !truncated {
		_, _ = w.Write(rep.body)
		return
	}
	_, _ = w.Write(rep.body[:len(rep.body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler) // closes the connection before the rest
}

// sleep reports whether the whole time passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
