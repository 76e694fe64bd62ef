// Package entry takes calls from callers and answers each of them with the
// whole answer of an upstream or a true refusal.
//
// It matches the route, chooses version, availability zone and instance, and
// tries further instances where the policy allows it. Every answer carries the
// header Kingcuppitch-Outcome. A refusal is sent at once with Retry-After in
// seconds.
//
// # Usage
//
//	e := entry.New(view, local, entry.WithName(name), entry.WithMetrics(set), entry.WithClaims(router))
//	srv := &http.Server{Handler: e}
package entry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/caller"
	"github.com/kingcuppitch/kingcuppitch/connection/peer"
	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/process/decision"
	"github.com/kingcuppitch/kingcuppitch/process/metrics"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/claim"
	"github.com/kingcuppitch/kingcuppitch/request/host"
	"github.com/kingcuppitch/kingcuppitch/request/retry"
	"github.com/kingcuppitch/kingcuppitch/request/route"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

const (
	// refusalPause is when a caller may sensibly come back after a refusal
	// that names no time of its own.
	refusalPause = time.Second
	// finishWithin bounds the time to store the answer of a keyed request.
	finishWithin = 30 * time.Second
	// maxKey bounds an idempotency key, in bytes.
	maxKey = 255
	// keyLifetime is how long a key is remembered.
	keyLifetime = claim.DefaultLifetime
)

// View gives the current control state.
type View interface {
	Snapshot() *control.Snapshot
}

// Local hands calls to the instance beside this daemon.
type Local interface {
	Do(ctx context.Context, call *request.Call) (*request.Answer, error)
}

// Claims runs keyed requests at most once.
type Claims interface {
	Claim(ctx context.Context, key, claimID string) (claim.Grant, error)
	Release(ctx context.Context, key, claimID string) error
	Finish(ctx context.Context, key, claimID string, s claim.Stored) error
}

// Option configures an Entry.
type Option func(*Entry)

// WithName sets the name of the daemon's own instance.
func WithName(name string) Option { return func(e *Entry) { e.name = name } }

// WithMetrics sets the counters.
func WithMetrics(s *metrics.Set) Option { return func(e *Entry) { e.metrics = s } }

// WithClaims sets the claims of keyed requests.
func WithClaims(c Claims) Option { return func(e *Entry) { e.claims = c } }

// WithInternalCallers sets the networks that may use internal routes.
func WithInternalCallers(p ...netip.Prefix) Option { return func(e *Entry) { e.internal = p } }

// WithHeaders sets the headers of callers.
func WithHeaders(n request.Headers) Option { return func(e *Entry) { e.headers = n } }

// WithService sets the service beside which the requests of this entry begin.
func WithService(name string) Option { return func(e *Entry) { e.SetService(name) } }

// WithDecisions sets the log of decisions.
func WithDecisions(l *decision.Log) Option { return func(e *Entry) { e.decisions = l } }

// Entry is the HTTP handler for callers.
type Entry struct {
	view     View
	local    Local
	name     string
	claims   Claims
	internal []netip.Prefix
	metrics  *metrics.Set
	headers  request.Headers
	// decisions may be nil.
	decisions *decision.Log
	service   atomic.Pointer[string]

	loads    loads
	peers    peer.Pool
	budgets  sync.Map // upstream name to *retry.Budget
	finishes sync.WaitGroup
}

// New returns an entry.
func New(view View, local Local, opts ...Option) *Entry {
	e := &Entry{view: view, local: local, metrics: new(metrics.Set), headers: request.DefaultHeaders}
	e.SetService("")
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// SetService sets the service beside which the requests of this entry begin.
func (e *Entry) SetService(name string) { e.service.Store(&name) }

// Close waits until the answers of keyed requests are stored.
func (e *Entry) Close() {
	e.finishes.Wait()
	e.peers.Close()
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.metrics.Add("entry.requests", 1)
	// The attempts and a streamed answer end with the context.
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	p := passage{start: time.Now()}
	ans, err := e.serve(ctx, w, r, &p)
	e.record(&p, r, ans, err)
	if err != nil {
		e.refuse(w, err)
		return
	}
	e.metrics.Add("entry.answers."+string(ans.Outcome), 1)
	if err := host.WriteAnswer(w, ans, ""); err != nil {
		e.metrics.Add("entry.abortedAnswers", 1)
		// The caller must not take a part of the answer for the whole.
		panic(http.ErrAbortHandler)
	}
}

// serve answers one request; an error is a *request.Refusal.
func (e *Entry) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, p *passage) (*request.Answer, error) {
	now := p.start
	snap := e.view.Snapshot()
	if !snap.Serving {
		return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonNotReady, Detail: "this daemon has no current configuration", RetryAt: now.Add(refusalPause)}
	}
	p.version = snap.State.Version
	rt, ok := snap.Table.Match(hostName(r.Host), r.Method, r.URL.Path)
	if !ok {
		return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonNoRoute, Status: http.StatusNotFound, Detail: fmt.Sprintf("no route for %s %s", r.Method, r.URL.Path)}
	}
	if rt.Internal && !e.isInternal(r.RemoteAddr) {
		return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonInternalRoute, Status: http.StatusForbidden, Detail: fmt.Sprintf("route %s is internal", rt.Name)}
	}
	if !rt.Idempotent {
		// Until the answers before it are written, the connection may end and the
		// caller send the request again.
		if err := caller.AwaitTurn(ctx); err != nil {
			return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonCancelled, Detail: "the caller gave up"}
		}
	}
	call, err := e.newCall(w, r, rt, snap, now)
	if err != nil {
		return nil, err
	}
	p.call = call
	// A streamed answer is still read after the return, so the deadline ends
	// with the context of the whole call.
	whole := ctx
	ctx, cancel := context.WithDeadline(whole, call.Deadline)
	context.AfterFunc(whole, cancel)
	if rt.Idempotent || len(r.Header.Values(request.HeaderKey)) == 0 {
		return e.attempts(ctx, call, rt.Split(mathrand.Float64()), p)
	}
	key := r.Header.Get(request.HeaderKey)
	if err := checkKey(r.Header, key, now); err != nil {
		return nil, err
	}
	// A key belongs to a path. It does not belong to the route, which operators
	// may rename or split between two tries of one request.
	return e.keyed(ctx, call, rt.Split(mathrand.Float64()), r.Method+" "+r.URL.Path+"\n"+key, p)
}

// hostName returns a host without its port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

func (e *Entry) newCall(w http.ResponseWriter, r *http.Request, rt config.Route, snap *control.Snapshot, now time.Time) (*request.Call, error) {
	deadline := now.Add(time.Duration(rt.AnswerWithin))
	if text := r.Header.Get(e.headers.Timeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonMalformed, Status: http.StatusBadRequest, Detail: fmt.Sprintf("header %s: %q is not a positive number of milliseconds", e.headers.Timeout, text)}
		}
		if d := now.Add(time.Duration(min(ms, config.MaxAnswerWithin.Milliseconds())) * time.Millisecond); d.Before(deadline) {
			deadline = d
		}
	}
	if r.Method == http.MethodConnect {
		return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonMalformed, Status: http.StatusMethodNotAllowed, Detail: "CONNECT is not passed on"}
	}
	limit := snap.BodyLimit()
	if r.ContentLength > limit {
		return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonTooLarge, Status: http.StatusRequestEntityTooLarge, Detail: fmt.Sprintf("the body of %d bytes exceeds %d bytes", r.ContentLength, limit)}
	}
	// A caller that stops in the middle of its body would hold the call, and a
	// graceful shutdown, for ever.
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(deadline)
	body, err := request.ReadBody(r.Body, limit)
	if err != nil {
		if !time.Now().Before(deadline) {
			return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonDeadline, Status: http.StatusRequestTimeout, Detail: "the body did not arrive by the deadline"}
		}
		return nil, err
	}
	_ = rc.SetReadDeadline(time.Time{})
	call := &request.Call{
		Trace: traceID(e.headers), Route: rt.Name, Method: r.Method, Path: r.URL.RequestURI(), Header: request.CleanHeader(r.Header), Body: body,
		Deadline: deadline, Idempotent: rt.Idempotent, Class: rt.Class, Version: snap.State.Version, Attempts: rt.Attempts,
	}
	if rt.Objective > 0 {
		call.Objective = now.Add(time.Duration(rt.Objective))
	}
	if n := e.headers; n.CallerNamesID {
		call.Host = r.Host
		if call.Header.Get(n.ID) == "" {
			call.Header.Set(n.ID, rand.Text())
		}
		call.Header.Set(n.CallerService, *e.service.Load())
	}
	return call, nil
}

func (e *Entry) isInternal(remote string) bool {
	addr, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(e.internal, func(p netip.Prefix) bool { return p.Contains(addr.Addr().Unmap()) })
}

func checkKey(h http.Header, key string, now time.Time) error {
	if key == "" || len(h.Values(request.HeaderKey)) > 1 {
		return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonMalformed, Status: http.StatusBadRequest, Detail: fmt.Sprintf("header %s: one key is required", request.HeaderKey)}
	}
	if len(key) > maxKey {
		return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonMalformed, Status: http.StatusBadRequest, Detail: fmt.Sprintf("header %s exceeds %d bytes", request.HeaderKey, maxKey)}
	}
	text := h.Get(request.HeaderKeyDate)
	if text == "" {
		return nil
	}
	first, err := http.ParseTime(text)
	if err != nil {
		return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonMalformed, Status: http.StatusBadRequest, Detail: fmt.Sprintf("header %s: %v", request.HeaderKeyDate, err)}
	}
	if now.After(first.Add(keyLifetime)) {
		return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonKeyExpired, Status: http.StatusConflict, Detail: fmt.Sprintf("the key was first used on %s and is no longer remembered", text)}
	}
	return nil
}

// keyed runs a request with an idempotency key at most once.
func (e *Entry) keyed(ctx context.Context, call *request.Call, upstream, key string, p *passage) (*request.Answer, error) {
	if e.claims == nil {
		return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonLogOut, Detail: "keyed requests are not served", RetryAt: time.Now().Add(refusalPause)}
	}
	id := rand.Text()
	grant, err := e.claims.Claim(ctx, key, id)
	switch {
	case err != nil || grant.Result == claim.Unavailable:
		e.metrics.Add("entry.claimsUnavailable", 1)
		return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonLogOut, Detail: fmt.Sprintf("the key could not be claimed: %v", err), RetryAt: time.Now().Add(refusalPause)}
	case grant.Result == claim.Taken:
		e.metrics.Add("entry.claimsTaken", 1)
		return nil, &request.Refusal{Outcome: request.Unknown, Reason: request.ReasonKeyInUse, Status: http.StatusConflict, Detail: "a request with this key is running or may have run", RetryAt: time.Now().Add(refusalPause)}
	case grant.Result == claim.Done:
		return replay(grant.Stored), nil
	}
	// The host refuses a call that reaches it after RunBy.
	call.RunBy = grant.RunBy
	ans, err := e.attempts(ctx, call, upstream, p)
	var ref *request.Refusal
	switch {
	case err == nil && ans.Outcome == request.Ran:
		e.after(func(ctx context.Context) error { return e.claims.Finish(ctx, key, id, stored(ans)) })
	case errors.As(err, &ref) && ref.Outcome == request.NotRun:
		e.after(func(ctx context.Context) error { return e.claims.Release(ctx, key, id) })
	}
	return ans, err
}

// after stores the end of a keyed request without delaying its answer.
func (e *Entry) after(f func(context.Context) error) {
	e.finishes.Add(1)
	go func() {
		defer e.finishes.Done()
		ctx, cancel := context.WithTimeout(context.Background(), finishWithin)
		defer cancel()
		if err := f(ctx); err != nil {
			e.metrics.Add("entry.claimEndFailures", 1)
		}
	}()
}

// stored returns what is kept of an answer. A compressed body is not kept,
// because its encoding is not.
func stored(ans *request.Answer) claim.Stored {
	s := claim.Stored{Status: ans.Status, ContentType: ans.Header.Get("Content-Type"), Body: ans.Body}
	if len(s.Body) > claim.MaxBody || ans.Header.Get("Content-Encoding") != "" {
		s.Body, s.Truncated = nil, true
	}
	return s
}

func replay(s claim.Stored) *request.Answer {
	h := make(http.Header)
	if s.ContentType != "" {
		h.Set("Content-Type", s.ContentType)
	}
	ans := &request.Answer{Status: s.Status, Header: h, Body: s.Body, Outcome: request.Replayed}
	if s.Truncated {
		ans.Reason = request.ReasonBodyNotKept
	}
	return ans
}

// attempts tries instances until one answers or the policy ends it.
func (e *Entry) attempts(ctx context.Context, call *request.Call, upstream string, p *passage) (*request.Answer, error) {
	budget := e.budget(upstream)
	preset, _ := e.view.Snapshot().State.InForce(time.Now())
	budget.Request(time.Now(), preset.RetryPercent)
	var (
		made []retry.Attempt
		last error
		// failed is the last whole answer that was a server error.
		failed *request.Answer
	)
	var next *retry.Decision
	for {
		d := retry.Decision{}
		if next != nil {
			d, next = *next, nil
		} else {
			d = retry.Next(call, made, budget, time.Now(), mathrand.Float64())
		}
		if !d.Retry || !sleepUntil(ctx, d.NotBefore) {
			break
		}
		if len(made) > 0 {
			e.metrics.Add("entry.retries", 1)
		}
		ans, inst, err := e.attempt(ctx, call, upstream, made, p, func() bool {
			d := retry.Next(call, append(slices.Clone(made), silentAttempt), budget, time.Now(), mathrand.Float64())
			if d.Retry {
				next = &d
			}
			return d.Retry
		})
		if err == nil && !mayImprove(call, ans) {
			return ans, nil
		}
		if err == nil {
			// Another instance may do better; this answer stands if none does.
			failed = ans
			err = &request.Refusal{Outcome: request.Unknown, Reason: request.ReasonUpstreamError}
		}
		var ref *request.Refusal
		if !errors.As(err, &ref) {
			ref = &request.Refusal{Outcome: request.Unknown, Reason: request.ReasonConnection, Detail: err.Error(), Status: http.StatusBadGateway}
		}
		if inst == "" && len(made) > 0 {
			// No further instance: the refusal of the last attempt says more.
			break
		}
		last = worse(last, ref)
		made = append(made, retry.Attempt{Outcome: ref.Outcome, Reason: ref.Reason, Instance: inst})
	}
	if failed != nil {
		return failed, nil
	}
	if last == nil {
		last = &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonDeadline, Detail: "the deadline passed before an attempt"}
	}
	return nil, last
}

// mayImprove reports whether the answer of another instance may be better: the
// upstream failed a call that may be repeated and whose route names its attempts.
func mayImprove(call *request.Call, ans *request.Answer) bool {
	return call.Idempotent && call.Attempts > 0 && ans.Rest == nil && ans.Status >= http.StatusInternalServerError
}

// silentAttempt is one whose instance has not answered yet.
var silentAttempt = retry.Attempt{Outcome: request.Unknown, Reason: request.ReasonNoAnswer}

// worse keeps the outcome unknown once one attempt may have run.
func worse(last error, ref *request.Refusal) error {
	var prev *request.Refusal
	if errors.As(last, &prev) && prev.Outcome == request.Unknown && ref.Outcome == request.NotRun {
		return prev
	}
	return ref
}

// attempt sends the call to one instance. Where the call has an objective, an
// instance that does not answer is given up only if giveUp allows another attempt;
// otherwise it has all the time of the call.
func (e *Entry) attempt(ctx context.Context, call *request.Call, upstream string, made []retry.Attempt, p *passage, giveUp func() bool) (*request.Answer, string, error) {
	now := time.Now()
	snap := e.view.Snapshot()
	tried := make([]string, 0, len(made))
	for _, a := range made {
		tried = append(tried, a.Instance)
	}
	c := *call
	c.ID = rand.Text()
	c.Version = snap.State.Version
	c.Upstream = upstream
	share := func(m fold.Move) float64 { return snap.Share(m, call.Route) }
	c.UpstreamVersion = snap.Table.Version(upstream, share, mathrand.Float64())
	query := route.Query{
		Upstream: upstream, Version: c.UpstreamVersion, Exclude: tried, Now: now, Open: call.Attempts > 0 && len(made) > 0,
		Rnd: [3]float64{mathrand.Float64(), mathrand.Float64(), mathrand.Float64()},
	}
	inst, ok := snap.Table.Pick(query, &e.loads)
	if !ok {
		return nil, "", &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonNoInstance, Detail: fmt.Sprintf("upstream %s has no instance of version %s in service", upstream, c.UpstreamVersion), RetryAt: now.Add(refusalPause)}
	}
	patience := retry.AttemptDeadline(call, len(made), now)
	soft := !call.Objective.IsZero() && patience.Before(call.Deadline)
	if !soft {
		c.Deadline = patience
	}
	attemptCtx, cancel := context.WithDeadline(ctx, c.Deadline)
	var silentFor atomic.Bool
	if soft {
		watch := &patienceWatch{over: func() {
			silentFor.Store(true)
			cancel()
		}, giveUp: func() bool {
			query.Exclude, query.Now, query.Open = append(query.Exclude, inst.Name), time.Now(), true
			_, other := snap.Table.Pick(query, &e.loads)
			return other && giveUp()
		}}
		defer watch.start(patience).stop()
	}
	p.try(inst, &e.loads, now)
	e.loads.start(inst.Name)
	var ans *request.Answer
	var err error
	if inst.Name == e.name {
		ans, err = e.local.Do(attemptCtx, &c)
	} else {
		ans, err = e.forward(attemptCtx, inst, &c)
	}
	var ref *request.Refusal
	if errors.As(err, &ref) && (ref.Reason == request.ReasonDeadline && time.Now().Before(call.Deadline) || silentFor.Load()) {
		silent := *ref
		silent.Reason = request.ReasonNoAnswer
		err = &silent
	}
	e.loads.finish(inst.Name, ans, err, time.Now())
	p.tried(err, now)
	if ans != nil && ans.Rest != nil {
		ans.Rest = &closer{ReadCloser: ans.Rest, cancel: cancel}
	} else {
		cancel()
	}
	return ans, inst.Name, err
}

// patienceWatch ends an attempt once its instance has been silent for too long and
// another attempt is allowed. After stop it ends nothing.
type patienceWatch struct {
	giveUp func() bool
	over   func()

	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

func (w *patienceWatch) start(at time.Time) *patienceWatch {
	w.timer = time.AfterFunc(time.Until(at), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.stopped && w.giveUp() {
			w.over()
		}
	})
	return w
}

func (w *patienceWatch) stop() {
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
}

func (e *Entry) budget(upstream string) *retry.Budget {
	if b, ok := e.budgets.Load(upstream); ok {
		return b.(*retry.Budget)
	}
	b, _ := e.budgets.LoadOrStore(upstream, new(retry.Budget))
	return b.(*retry.Budget)
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// refusalBody is the JSON of a refusal.
type refusalBody struct {
	Error   string          `json:"error"`
	Outcome request.Outcome `json:"outcome"`
	Reason  request.Reason  `json:"reason"`
	RetryAt *time.Time      `json:"retryAt,omitempty"`
}

func (e *Entry) refuse(w http.ResponseWriter, err error) {
	var ref *request.Refusal
	if !errors.As(err, &ref) {
		ref = &request.Refusal{Outcome: request.Unknown, Reason: request.ReasonConnection, Detail: err.Error()}
	}
	e.metrics.Add("entry.refused."+string(ref.Reason), 1)
	h := w.Header()
	h.Set("Content-Type", "application/json; charset=utf-8")
	h.Set(request.HeaderOutcome, string(ref.Outcome))
	h.Set(request.HeaderReason, string(ref.Reason))
	body := refusalBody{Error: ref.Detail, Outcome: ref.Outcome, Reason: ref.Reason}
	status := request.StatusOf(ref)
	// Refusals for a fault of the request itself name no time to repeat it.
	if !ref.RetryAt.IsZero() || status >= http.StatusInternalServerError {
		at := ref.RetryAt
		if earliest := time.Now().Add(refusalPause); at.Before(earliest) && !e.headers.FractionalRetryTime {
			at = earliest
		}
		body.RetryAt = &at
		h.Set("Retry-After", e.retryAfter(at))
	}
	w.WriteHeader(status)
	data, _ := json.Marshal(body)
	_, _ = w.Write(append(data, '\n'))
}

// retryAfter returns the time until a retry is sensible, in seconds.
func (e *Entry) retryAfter(at time.Time) string {
	left := max(0, time.Until(at).Seconds())
	if e.headers.FractionalRetryTime {
		return strconv.FormatFloat(left, 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(left)))
}

// closer ends the context of an attempt with its streamed answer.
type closer struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *closer) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}
