package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/retry"
	"github.com/kingcuppitch/kingcuppitch/request/route"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

// runAttempts sends the call to one instance after another until one answers or the
// retry policy allows no further attempt.
func (e *Entry) runAttempts(ctx context.Context, call *request.Call, upstream string, tr *requestTrace) (*request.Answer, error) {
	budget := e.budget(upstream)
	preset, _ := e.view.Snapshot().State.InForce(time.Now())
	if e.ranks != nil {
		e.ranks.countRequest(budget, preset.RetryPercent, preset.RetrySlack, len(e.view.Snapshot().Members))
	} else {
		budget.Request(time.Now(), preset.RetryPercent, retry.Share(preset.RetrySlack, len(e.view.Snapshot().Members)))
	}
	var (
		previous []retry.Attempt
		last     error
		// serverError is the last complete answer that reports a server error.
		serverError *request.Answer
	)
	var next *retry.Decision
	for {
		d := retry.Decision{}
		if next != nil {
			d, next = *next, nil
		} else {
			d = retry.Next(call, previous, budget, time.Now(), mathrand.Float64())
		}
		if !d.Retry || !sleepUntil(ctx, d.NotBefore) {
			break
		}
		if len(previous) > 0 {
			e.metrics.Add("entry.retries", 1)
		}
		ans, inst, err := e.attempt(ctx, call, upstream, previous, tr, func() bool {
			d := retry.Next(call, append(slices.Clone(previous), silentAttempt), budget, time.Now(), mathrand.Float64())
			if d.Retry {
				next = &d
			}
			return d.Retry
		})
		if err == nil && !isRetryableAnswer(call, ans) {
			return ans, nil
		}
		if err == nil {
			// Another instance may answer without an error; if none does, this answer
			// is returned.
			serverError = ans
			err = &request.Refusal{Outcome: request.Unknown, Reason: request.ReasonUpstreamError}
		}
		var ref *request.Refusal
		if !errors.As(err, &ref) {
			ref = &request.Refusal{Outcome: request.Unknown, Reason: request.ReasonConnection, Detail: err.Error(), Status: http.StatusBadGateway}
		}
		if inst == "" && len(previous) > 0 {
			// No further instance is available; the refusal of the last attempt is more
			// specific.
			break
		}
		last = worseRefusal(last, ref)
		previous = append(previous, retry.Attempt{Outcome: ref.Outcome, Reason: ref.Reason, Instance: inst})
	}
	if serverError != nil {
		return serverError, nil
	}
	if last == nil {
		last = &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonDeadline, Detail: "the deadline passed before an attempt"}
	}
	return nil, last
}

// isRetryableAnswer reports whether another instance may give a better answer: the
// upstream failed an idempotent call whose route sets a number of attempts.
func isRetryableAnswer(call *request.Call, ans *request.Answer) bool {
	return call.Idempotent && call.Attempts > 0 && ans.Rest == nil && ans.Status >= http.StatusInternalServerError
}

// silentAttempt stands for an attempt whose instance has not answered yet.
var silentAttempt = retry.Attempt{Outcome: request.Unknown, Reason: request.ReasonNoAnswer}

// worseRefusal returns the refusal to report after a further attempt ended with ref.
// The outcome stays unknown once an attempt may have run.
func worseRefusal(last error, ref *request.Refusal) error {
	var prev *request.Refusal
	if errors.As(last, &prev) && prev.Outcome == request.Unknown && ref.Outcome == request.NotRun {
		return prev
	}
	return ref
}

// localZoneWaitRatio is the longest wait in the local zone that is preferred to another
// zone, as a fraction of the time of an answer. Objectives allow for two or three times
// the mean.
const localZoneWaitRatio = 0.3

// attempt sends the call to one instance. If the call has an objective, a silent
// instance is abandoned only if reserveRetry allows another attempt; if it does not,
// the instance has all the time of the call. Without an objective the attempt ends at
// its own deadline.
func (e *Entry) attempt(ctx context.Context, call *request.Call, upstream string, previous []retry.Attempt, tr *requestTrace, reserveRetry func() bool) (*request.Answer, string, error) {
	now := time.Now()
	snap := e.view.Snapshot()
	tried := make([]string, 0, len(previous))
	for _, a := range previous {
		tried = append(tried, a.Instance)
	}
	c := *call
	c.ID = rand.Text()
	c.Version = snap.State.Version
	c.Upstream = upstream
	c.Repeat = e.ranks != nil && (call.Repeat || retry.IsRepeat(previous))
	query := e.newQuery(call, upstream, tried, snap, now)
	c.UpstreamVersion = query.Version
	reports := 0
	if e.probes != nil {
		query.ReportAge = e.loads.countReports(&reports)
		if tr.reserved == nil {
			now = e.awaitReports(ctx, snap, query, len(previous) > 0)
			query.Now = now
		}
	}
	var inst route.Instance
	reserved := tr.reserved != nil
	if reserved {
		// The previous attempt was abandoned in favour of this instance.
		inst, tr.reserved = *tr.reserved, nil
		c.UpstreamVersion = inst.Version
	} else {
		var ref *request.Refusal
		if inst, ref = e.pick(query, call, previous, snap, &reports); ref != nil {
			if ref.Reason == request.ReasonOverload {
				e.metrics.Add("entry.refusedNotAdmitted", 1)
				tr.refusedBy = refusedNotAdmitted
			}
			return nil, "", ref
		}
	}
	if e.probes != nil {
		e.countChoice(&inst, query.Now)
		if !reserved {
			e.chosen(snap, query, &inst, reports)
		}
	}
	attemptDeadline := retry.AttemptDeadline(call, len(previous), now)
	softDeadline := !call.Objective.IsZero() && attemptDeadline.Before(call.Deadline)
	if !softDeadline {
		c.Deadline = attemptDeadline
	}
	attemptCtx, cancel := context.WithDeadline(ctx, c.Deadline)
	var abandoned atomic.Bool
	if softDeadline {
		timer := &silenceTimer{abandon: func() {
			abandoned.Store(true)
			cancel()
		}, mayAbandon: func() bool {
			if e.loads.answeredSince(inst.Name, now) || e.answerBy.Load() != nil {
				// The instance is working; only this call takes long. While the entry
				// stops, a call that is cut has less time for another attempt, and a
				// planned stop must not fail a request that would have been answered.
				return false
			}
			query.Exclude, query.Now, query.AvailableOnly = append(query.Exclude, inst.Name), time.Now(), true
			if e.ranks != nil {
				query.Admits = e.admits(call, snap, query.Now)
			}
			other, ok := snap.Table.Pick(query, &e.loads)
			if !ok || !reserveRetry() {
				return false
			}
			tr.reserved = &other
			return true
		}}
		defer timer.start(attemptDeadline).stop()
	}
	e.loads.addKnownCapacity(&c, &inst, now)
	tr.startAttempt(inst, &e.loads, now)
	e.loads.start(inst.Name)
	var ans *request.Answer
	var err error
	if inst.Name == e.name {
		ans, err = e.local.Do(attemptCtx, &c)
	} else {
		ans, err = e.forward(attemptCtx, inst, &c)
	}
	var ref *request.Refusal
	if errors.As(err, &ref) && (ref.Reason == request.ReasonDeadline && time.Now().Before(call.Deadline) || abandoned.Load()) {
		silent := *ref
		silent.Reason = request.ReasonNoAnswer
		err = &silent
	}
	ans = e.observeRanked(&c, inst.Name, ans)
	e.loads.finish(inst.Name, call.Route, ans, err, time.Now())
	e.loads.observeCapacity(&inst, ans, time.Now())
	if ans != nil {
		// A malformed statement was logged by the host.
		if st, _ := e.headers.Statement(ans.Header); st.Leaving {
			e.leavers.add(&inst, time.Now())
		}
	}
	tr.endAttempt(err, now)
	if ans != nil && ans.Rest != nil {
		ans.Rest = &streamedRest{ReadCloser: ans.Rest, done: func(broken bool) {
			if !errors.Is(attemptCtx.Err(), context.Canceled) {
				// If the caller has left, that says nothing about the instance.
				e.loads.finishStream(inst.Name, broken, time.Now())
			}
			cancel()
		}}
	} else {
		cancel()
	}
	return ans, inst.Name, err
}

// newQuery returns the query for the instance of one attempt of a call, with the version
// and the random numbers of the choice. tried lists the instances of earlier attempts.
func (e *Entry) newQuery(call *request.Call, upstream string, tried []string, snap *control.Snapshot, now time.Time) route.Query {
	share := func(m fold.Move) float64 { return snap.Share(m, call.Route) }
	q := route.Query{
		Upstream: upstream, Version: snap.Table.Version(upstream, share, mathrand.Float64()), Exclude: tried, Leaving: e.leavers.contains, Now: now,
		AvailableOnly: call.Attempts > 0 && len(tried) > 0, UsualTime: e.loads.mean(call.Route),
	}
	if !call.Objective.IsZero() {
		q.WaitRatio = localZoneWaitRatio
	}
	q.TrialShare = trialShare(snap, upstream, q.Version)
	for i := range q.Rnd {
		q.Rnd[i] = mathrand.Float64()
	}
	return q
}

// pick chooses the instance for an attempt, or refuses the call. reports is the counter of
// q.ReportAge.
func (e *Entry) pick(q route.Query, call *request.Call, previous []retry.Attempt, snap *control.Snapshot, reports *int) (inst route.Instance, ref *request.Refusal) {
	ok := false
	if e.ranks == nil {
		inst, ok = snap.Table.Pick(q, &e.loads)
	} else if inst, ok, ref = e.pickRanked(q, call, previous, snap, reports); ref != nil {
		return inst, ref
	}
	if !ok {
		ref = &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonNoInstance, Detail: fmt.Sprintf("upstream %s has no instance of version %s in service", q.Upstream, q.Version), RetryAt: q.Now.Add(defaultRetryAfter)}
	}
	return inst, ref
}

// silenceTimer abandons an attempt whose instance has been silent for too long,
// provided that another attempt is allowed. It has no effect after stop.
type silenceTimer struct {
	mayAbandon func() bool
	abandon    func()

	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

func (w *silenceTimer) start(at time.Time) *silenceTimer {
	w.timer = time.AfterFunc(time.Until(at), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.stopped && w.mayAbandon() {
			w.abandon()
		}
	})
	return w
}

func (w *silenceTimer) stop() {
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
}

func (e *Entry) budget(upstream string) *retry.Budget {
	if b, ok := e.budgets.Load(upstream); ok {
		return b.(*retry.Budget)
	}
	b, _ := e.budgets.LoadOrStore(upstream, &retry.Budget{CallRanks: e.ranks != nil})
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

// streamedRest is the rest of a streamed answer. Close calls done, with true if the rest
// has broken off or did not end by the deadline.
type streamedRest struct {
	io.ReadCloser
	broken bool
	done   func(broken bool)
}

// Read implements io.Reader.
func (s *streamedRest) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	s.broken = s.broken || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

// Close implements io.Closer.
func (s *streamedRest) Close() error {
	defer s.done(s.broken)
	return s.ReadCloser.Close()
}
