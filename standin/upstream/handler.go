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

// call is one request in progress.
type call struct {
	r           *http.Request
	body        []byte
	incarnation uint64
	key         string
	hash        string
}

// reply is an answer that has not been written yet.
type reply struct {
	status int
	id     string // Request-Id
	retry  bool   // sends Retry-After
	body   []byte
}

// swapOffer is an answer that waits for the answer to another request, with which it
// is swapped.
type swapOffer struct {
	reply reply
	other chan reply
}

// requestFaults holds the faults that apply to one request.
type requestFaults struct {
	latency, late            time.Duration
	fail, crossed, truncated bool
	crash                    bool
}

// admission is the decision whether and how a request is served.
type admission int

const (
	admitted   admission = iota
	slowed               // admitted above coldSlots in cold start
	shed                 // refused because all slots and the queue are taken
	overloaded           // refused because of overload in cold start
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
	rep, rf := in.run(ctx, c)
	if rf.late > 0 {
		sleep(r.Context(), rf.late)
	}
	if in.crashedSince(c) {
		// The connections are not closed yet, but a process that is gone answers nothing.
		panic(http.ErrAbortHandler)
	}
	if rf.crossed {
		rep = in.swap(rep)
	}
	rep.write(w, rf.truncated)
}

// run admits a request, does its work and releases it. The answer is written only
// afterwards, so that a request whose answer has arrived no longer counts as in
// flight.
func (in *instance) run(ctx context.Context, c *call) (reply, requestFaults) {
	adm := in.admit(c)
	defer in.release()
	switch adm {
	case shed:
		return c.refuse("all slots are taken"), requestFaults{}
	case notReady:
		return c.refuse("starting"), requestFaults{}
	case overloaded:
		sleep(ctx, overloadDelay)
		return c.refuse("fell over in cold start"), requestFaults{}
	}
	select {
	case in.busySlots <- struct{}{}:
		defer func() { <-in.busySlots }()
	case <-ctx.Done():
		return in.cancelled(c), requestFaults{}
	}
	rf := in.startRun(c)
	if rf.crash {
		in.crash(c.incarnation)
	}
	work := in.work
	if ms, err := strconv.Atoi(c.r.URL.Query().Get("workMs")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	if adm == slowed {
		work *= coldFactor
	}
	if !sleep(ctx, work+rf.latency) {
		return in.cancelled(c), rf
	}
	if !in.completeRun(c) {
		return in.cancelled(c), rf
	}
	if rf.fail {
		return c.reply(http.StatusInternalServerError, map[string]string{"error": "fault"}), rf
	}
	size, _ := strconv.Atoi(c.r.URL.Query().Get("size"))
	return c.reply(http.StatusOK, Answer{
		Method: c.r.Method, Path: c.r.URL.RequestURI(), BodyHash: Hash(c.body),
		Instance: in.name, Version: in.version, Incarnation: c.incarnation,
		RequestID: c.r.Header.Get(request.HeaderUpstreamRequest),
		Padding:   strings.Repeat("x", min(max(size, 0), maxSize)),
	}), rf
}

// admit counts a request and decides whether and how it is served.
func (in *instance) admit(c *call) admission {
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
	case now.Before(in.overloadedUntil), cold && s.InFlight > 2*in.coldSlots:
		if !now.Before(in.overloadedUntil) {
			s.FellOver++
			in.overloadedUntil = now.Add(overloadDuration)
		}
		in.coldUntil = now.Add(in.coldFor)
		return overloaded
	case cold && s.InFlight > in.coldSlots:
		return slowed
	case s.InFlight > 2*in.slots: // the queue is as long as the number of slots
		s.Shed++
		return shed
	}
	return admitted
}

func (in *instance) release() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.stats.InFlight--
}

// startRun counts the start of a run and chooses its faults.
func (in *instance) startRun(c *call) (rf requestFaults) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.stats.Started++
	in.updateRuns(c, func(r *Run) { r.Started++ })
	f := &in.faults
	matches := strings.HasPrefix(c.r.URL.Path, f.PathPrefix) && in.stats.InFlight > f.AboveInFlight && !time.Now().Before(in.faultsAt)
	if matches && (f.LatencyRatio == 0 || in.drawFault(f.LatencyRatio)) {
		rf.latency = time.Duration(f.LatencyMs) * time.Millisecond
	}
	rf.fail = matches && in.drawFault(f.ErrorRatio)
	rf.crossed = in.drawFault(f.Crossed)
	rf.truncated = in.drawFault(f.Truncated)
	if in.drawFault(f.Late) {
		rf.late = time.Duration(f.LateMs) * time.Millisecond
	}
	rf.crash = f.CrashBody != "" && bytes.Contains(c.body, []byte(f.CrashBody))
	return rf
}

// crashedSince reports whether the incarnation that admitted a request has crashed.
func (in *instance) crashedSince(c *call) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.crashedSinceLocked(c)
}

func (in *instance) crashedSinceLocked(c *call) bool {
	return in.stats.Incarnation != c.incarnation || in.stats.State == ""
}

// completeRun counts the end of a run unless its incarnation has crashed.
func (in *instance) completeRun(c *call) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.crashedSinceLocked(c) {
		return false
	}
	in.stats.Completed++
	in.updateRuns(c, func(r *Run) { r.Completed++ })
	return true
}

func (in *instance) updateRuns(c *call, change func(*Run)) {
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

// health answers a probe. Like a request, a probe occupies a slot.
func (in *instance) health(ctx context.Context, w http.ResponseWriter) {
	in.mu.Lock()
	in.stats.Probes++
	in.mu.Unlock()
	select {
	case in.busySlots <- struct{}{}:
		sleep(ctx, ProbeCost)
		<-in.busySlots
	case <-ctx.Done():
	}
	in.mu.Lock()
	now := time.Now()
	status := http.StatusOK
	if now.Before(in.startUntil) || now.Before(in.overloadedUntil) {
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

// swap swaps an answer with that of another request if one arrives within
// swapTimeout.
func (in *instance) swap(rep reply) reply {
	mine := swapOffer{rep, make(chan reply, 1)}
	select {
	case in.swaps <- mine:
		return <-mine.other
	case other := <-in.swaps:
		other.other <- rep
		return other.reply
	case <-time.After(swapTimeout):
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
	panic(http.ErrAbortHandler) // closes the connection before the rest is sent
}

// sleep waits for d and reports whether it did so before ctx ended.
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
