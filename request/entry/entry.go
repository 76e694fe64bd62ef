// Package entry accepts requests from callers and answers each of them with the
// complete answer of an upstream or with a refusal that states the outcome.
//
// It matches the route, chooses version, availability zone and instance, and
// retries on other instances where the retry policy allows it. Every answer
// carries the header Kingcuppitch-Outcome. A refusal is sent immediately, with
// Retry-After in seconds.
//
// # Usage
//
//	e := entry.New(view, local, entry.WithName(name), entry.WithMetrics(set), entry.WithClaims(router))
//	srv := &http.Server{Handler: e}
package entry

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
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
	"github.com/kingcuppitch/kingcuppitch/request/returns"
	"github.com/kingcuppitch/kingcuppitch/version/config"
)

const (
	// defaultRetryAfter is the time after which a caller may retry a refused request if
	// the refusal names no later time.
	defaultRetryAfter = time.Second
	// peerIdleTimeout is how long an idle connection to another daemon is kept. Each
	// connection is pinged twice a second to detect silent failures, and a new one
	// costs less than three pings. With a longer timeout, an entry of a large service
	// would keep, and ping, connections to hundreds of instances that it uses every few
	// seconds.
	peerIdleTimeout = 1500 * time.Millisecond
	// finishTimeout bounds the time to store the answer of a keyed request.
	finishTimeout = 30 * time.Second
	// maxKeyBytes bounds the length of an idempotency key.
	maxKeyBytes = 255
	// keyLifetime is how long a key is remembered.
	keyLifetime = claim.DefaultLifetime
)

// View provides the current control state.
type View interface {
	Snapshot() *control.Snapshot
}

// Local sends calls to the upstream instance of this daemon.
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

// WithMetrics sets the metrics that the entry updates.
func WithMetrics(s *metrics.Set) Option { return func(e *Entry) { e.metrics = s } }

// WithClaims sets the claims for requests with an idempotency key.
func WithClaims(c Claims) Option { return func(e *Entry) { e.claims = c } }

// WithInternalCallers sets the networks that may use internal routes.
func WithInternalCallers(p ...netip.Prefix) Option { return func(e *Entry) { e.internal = p } }

// WithBuffers bounds the memory for bodies; host and entry of a daemon share it.
func WithBuffers(b *request.Buffers) Option { return func(e *Entry) { e.buffers = b } }

// WithHeaders sets the names of the headers that callers use.
func WithHeaders(n request.Headers) Option { return func(e *Entry) { e.headers = n } }

// WithService sets the service of this daemon, at which the requests of the entry
// originate.
func WithService(name string) Option { return func(e *Entry) { e.SetService(name) } }

// WithDecisions sets the decision log.
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
	buffers  *request.Buffers
	// decisions may be nil.
	decisions *decision.Log
	service   atomic.Pointer[string]

	// ranks is nil without WithCallRanks.
	ranks   *ranks
	loads   loads
	probes  *probes // nil unless EnableProbes was called
	leavers leavers
	peers   peer.Pool
	budgets sync.Map // upstream name to *retry.Budget
	// returns is nil unless refused callers are told scheduled times.
	returns  *returns.Schedule
	finishes sync.WaitGroup
	// answerBy is set when the daemon is about to stop: all requests have their answers
	// by then. ended is cancelled by end at that time.
	answerBy atomic.Pointer[time.Time]
	ended    context.Context
	end      context.CancelFunc
}

// New returns an entry.
func New(view View, local Local, opts ...Option) *Entry {
	e := &Entry{view: view, local: local, metrics: new(metrics.Set), headers: request.DefaultHeaders}
	e.ended, e.end = context.WithCancel(context.Background())
	e.SetService("")
	e.peers.IdleTimeout = peerIdleTimeout
	for _, opt := range opts {
		opt(e)
	}
	if e.ranks != nil {
		e.metrics.Gauge("entry.admittedShare", func() any { return e.ranks.shares.Limited(time.Now()) })
	}
	e.metrics.Gauge("entry.tenants", func() any { return e.view.Snapshot().Tenants.Len() })
	return e
}

// SetService sets the service of this daemon, at which the requests of the entry
// originate.
func (e *Entry) SetService(name string) { e.service.Store(&name) }

// Close waits until the claims of keyed requests have ended, and closes the connections
// to other daemons.
func (e *Entry) Close() {
	e.finishes.Wait()
	e.peers.Close()
	e.end()
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.metrics.Add("entry.requests", 1)
	// Cancelling the context ends the attempts and a streamed answer.
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(e.ended, cancel)()
	tr := requestTrace{start: time.Now()}
	ans, err := e.serve(ctx, w, r, &tr)
	err = e.endedByDeparture(r.Context(), err)
	e.endRanked(&tr, ans, err)
	e.record(&tr, r, ans, err)
	if err != nil {
		e.refuse(w, err)
		return
	}
	e.metrics.Add("entry.answers."+string(ans.Outcome), 1)
	if err := host.WriteAnswer(w, ans, ""); err != nil {
		e.metrics.Add("entry.abortedAnswers", 1)
		// Abort the connection so that the caller does not take a partial answer for a
		// complete one.
		panic(http.ErrAbortHandler)
	}
}

// serve answers one request; an error is a *request.Refusal.
func (e *Entry) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, tr *requestTrace) (*request.Answer, error) {
	now := tr.start
	snap := e.view.Snapshot()
	if snap.Serving {
		tr.version = snap.State.Version
	}
	rt, err := match(snap, r, now)
	if err != nil {
		return nil, err
	}
	if rt.Internal && !e.isInternal(r.RemoteAddr) {
		return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonInternalRoute, Status: http.StatusForbidden, Detail: fmt.Sprintf("route %s is internal", rt.Name)}
	}
	tnt, err := snap.Tenants.Check(r.Header, rt.Public)
	if err != nil {
		return nil, err
	}
	if !rt.Idempotent {
		// Until the answers to earlier requests on the connection are written, the
		// connection may break and the caller may send this request again.
		if err := caller.AwaitTurn(ctx); err != nil {
			return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonCancelled, Detail: "the caller gave up"}
		}
	}
	tr.tenant = tnt.Name
	call, err := e.newCall(w, r, rt, snap, now)
	if err != nil {
		return nil, err
	}
	e.setTenant(call, tnt, snap)
	tr.call = call
	if err := e.limitByDeparture(call, time.Now()); err != nil {
		return nil, err
	}
	if err := e.rankCall(call, snap, tr); err != nil {
		return nil, err
	}
	// A streamed answer is read after this function returns, so the deadline context is
	// cancelled together with the context of the request.
	requestCtx := ctx
	ctx, cancel := context.WithDeadline(requestCtx, call.Deadline)
	context.AfterFunc(requestCtx, cancel)
	if rt.Idempotent || len(r.Header.Values(request.HeaderKey)) == 0 {
		return e.runScheduled(ctx, call, rt.Split(mathrand.Float64()), tr)
	}
	key := r.Header.Get(request.HeaderKey)
	if err := checkKey(r.Header, key, now); err != nil {
		return nil, err
	}
	// A key is scoped to the path. It is not scoped to the route, which operators may
	// rename or split before the caller sends the same request again.
	return e.serveKeyed(ctx, call, rt.Split(mathrand.Float64()), scopeKey(call, r.Method+" "+r.URL.Path+"\n"+key), tr)
}

// match returns the route of a request; an error is a *request.Refusal.
func match(snap *control.Snapshot, r *http.Request, now time.Time) (config.Route, error) {
	if !snap.Serving {
		return config.Route{}, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonNotReady, Detail: "this daemon has no current configuration", RetryAt: now.Add(defaultRetryAfter)}
	}
	rt, ok := snap.Table.Match(request.HostName(r.Host), r.Method, r.URL.Path)
	if !ok {
		return rt, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonNoRoute, Status: http.StatusNotFound, Detail: fmt.Sprintf("no route for %s %s", r.Method, r.URL.Path)}
	}
	return rt, nil
}

func (e *Entry) newCall(w http.ResponseWriter, r *http.Request, rt config.Route, snap *control.Snapshot, now time.Time) (*request.Call, error) {
	deadline := now.Add(time.Duration(rt.AnswerWithin))
	if text := r.Header.Get(e.headers.Timeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonMalformed, Status: http.StatusBadRequest, Detail: fmt.Sprintf("header %s: %q is not a positive number of milliseconds", e.headers.Timeout, text)}
		}
		if d := now.Add(time.Duration(min(ms, config.MaxTimeout.Milliseconds())) * time.Millisecond); d.Before(deadline) {
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
	// Without a read deadline, a caller that stops in the middle of its body would
	// block the call, and a graceful shutdown, forever.
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(deadline)
	body, err := request.ReadBody(r, limit, e.buffers)
	if err != nil {
		if caller.Evicted(r.Context()) {
			return nil, noConnection(time.Now())
		}
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
		call.Caller = *e.service.Load()
		call.Header.Set(n.CallerService, call.Caller)
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
