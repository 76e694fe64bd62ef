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

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/retry"
	"github.com/kingcuppitch/kingcuppitch/request/route"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

// attempts tries instances until one answers or the policy ends it.
func (e *Entry) attempts(ctx context.Context, call *request.Call, upstream string, p *passage) (*request.Answer, error) {
	budget := e.budget(upstream)
	preset, _ := e.view.Snapshot().State.InForce(time.Now())
	budget.Request(time.Now(), preset.RetryPercent, retry.Share(preset.RetrySlack, len(e.view.Snapshot().Members)))
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

// zoneWait is the wait in the own zone, as a part of the time of an answer, that is
// preferred to another zone. Objectives allow for two or three times the mean.
const zoneWait = 0.3

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
		Upstream: upstream, Version: c.UpstreamVersion, Exclude: tried, Now: now, AvailableOnly: call.Attempts > 0 && len(made) > 0,
	}
	if !call.Objective.IsZero() {
		query.WaitRatio = zoneWait
	}
	if m, ok := snap.State.Move(upstream); ok && m.To == c.UpstreamVersion {
		query.TrialShare = snap.Shares[m.ID]
	}
	for i := range query.Rnd {
		query.Rnd[i] = mathrand.Float64()
	}
	inst, ok := route.Instance{}, false
	if p.reserved != nil {
		// The attempt before was given up for this instance.
		inst, ok, p.reserved = *p.reserved, true, nil
		c.UpstreamVersion = inst.Version
	} else {
		inst, ok = snap.Table.Pick(query, &e.loads)
	}
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
			if e.loads.answeredSince(inst.Name, now) {
				// It is at work; the call merely takes long.
				return false
			}
			query.Exclude, query.Now, query.AvailableOnly = append(query.Exclude, inst.Name), time.Now(), true
			other, ok := snap.Table.Pick(query, &e.loads)
			if !ok || !giveUp() {
				return false
			}
			p.reserved = &other
			return true
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
	e.loads.finish(inst.Name, call.Route, ans, err, time.Now())
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
