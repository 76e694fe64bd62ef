package host

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/instance"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
)

// upstreamCall is one call that is sent to the upstream, with its result.
type upstreamCall struct {
	host   *Host
	call   *request.Call
	ticket admission.Ticket
	target *target
	start  time.Time
	// load is the load at the start.
	load request.Load

	// connected is set once the call has a connection; from then on bytes of the call
	// may have reached the upstream.
	connected atomic.Bool
	result    admission.Result
	// lost means that the connection broke; cancelled means that the caller gave up.
	lost, cancelled, answered bool
	// completed means that the upstream ran the call and did not fail it.
	completed bool
	// usageWindow is the window in which the call was counted.
	usageWindow int64
}

// exchange sends the call to the upstream and reads the answer.
func (h *Host) exchange(ctx context.Context, call *request.Call, ticket admission.Ticket) (*request.Answer, error) {
	uc := &upstreamCall{
		host: h, call: call, ticket: ticket, target: h.target.Load(), start: time.Now(), load: h.load(),
		result: admission.Result{Route: call.Route},
	}
	h.metrics.Add("host.sent", 1)
	h.observer.Started(call)
	h.startRun(call)
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	uc.countUsage()
	ans, err := uc.run(ctx, cancel)
	uc.takeBackUsage(err)
	if err != nil || ans.Rest == nil {
		uc.finish()
		cancel()
		return ans, err
	}
	rest := &streamedBody{ReadCloser: ans.Rest}
	rest.done = func() {
		uc.endStream(ctx, rest)
		uc.finish()
		cancel()
		h.calls.end()
	}
	// A caller that does not read must not hold the slot beyond the deadline.
	context.AfterFunc(ctx, func() { rest.once.Do(rest.done) })
	ans.Rest = rest
	return ans, nil
}

// endStream takes the end of a streamed answer into the result of the call. An answer that
// breaks off, or goes on until the deadline, has failed.
func (uc *upstreamCall) endStream(ctx context.Context, rest *streamedBody) {
	switch {
	case rest.ended.Load():
		return
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		uc.result.Expired = true
		uc.host.metrics.Add("host.endlessAnswers", 1)
	case errors.Is(ctx.Err(), context.Canceled):
		uc.cancelled = true
	case rest.broken.Load():
		uc.result.Failed, uc.lost = true, true
		uc.host.metrics.Add("host.truncatedAnswers", 1)
	}
	uc.completed = false
}

// finish reports the call to the limiter and to the observer.
func (uc *upstreamCall) finish() {
	now := time.Now()
	uc.result.Took = now.Sub(uc.start)
	if uc.cancelled {
		// A caller that gave up says nothing about the upstream.
		uc.host.limiter.Cancel(now, uc.ticket)
	} else {
		uc.host.limiter.Done(now, uc.ticket, uc.result)
		uc.host.logCapacity(now)
	}
	if r := uc.result; !uc.cancelled && !r.Failed && !r.Expired && !r.Shed && uc.answered {
		uc.host.meanTimes.observe(uc.call.Route, r.Took)
	}
	uc.endRun(now)
	excluded, untimed := uc.host.warmup.classify(now, uc.load, uc.result)
	uc.host.observer.Finished(uc.call, request.Sample{
		Took: uc.result.Took, Failed: uc.result.Failed || uc.result.Expired, Lost: uc.lost, Completed: uc.completed,
		Excluded: uc.cancelled || excluded, Untimed: untimed,
	})
}

func (uc *upstreamCall) run(ctx context.Context, cancel context.CancelFunc) (*request.Answer, error) {
	req, id, err := uc.host.upstreamRequest(ctx, uc.target, uc.call)
	if err != nil {
		return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonMalformed, Detail: err.Error(), Status: http.StatusBadRequest}
	}
	if !uc.call.RunBy.IsZero() {
		// The wait for a connection must not outlast the claim.
		startCtx, stop := context.WithDeadline(ctx, uc.call.StartBy())
		defer stop()
		context.AfterFunc(startCtx, func() {
			if !uc.connected.Load() {
				cancel()
			}
		})
	}
	reuse := nonIdempotentReuseIdle
	if uc.call.Idempotent {
		reuse = idleTimeout
	}
	x := instance.Exchange{IDHeader: uc.host.headers.ID, ID: id, UsedSince: time.Now().Add(-reuse)}
	res, err := uc.target.pool.Do(ctx, req, x)
	uc.connected.Store(res.Sent)
	if errors.Is(err, instance.ErrMismatch) {
		uc.result.Failed = true
		uc.host.metrics.Add("host.mismatchedAnswers", 1)
		return nil, unknownRefusal(request.ReasonMismatch, err.Error())
	}
	if errors.Is(err, instance.ErrTooLong) {
		// The upstream is running; the call was not lost in a crash.
		uc.result.Failed = true
		uc.host.metrics.Add("host.endlessAnswers", 1)
		return nil, unknownRefusal(request.ReasonMismatch, err.Error())
	}
	if err != nil {
		return nil, uc.classifyError(ctx, err)
	}
	return uc.readAnswer(ctx, res.Response)
}

// readAnswer reads the answer; of a long answer it reads the first bytes.
func (uc *upstreamCall) readAnswer(ctx context.Context, res *http.Response) (*request.Answer, error) {
	if !uc.host.headers.CallerNamesID {
		// The id belongs to the attempt; the caller may have sent one of its own.
		res.Header.Del(uc.host.headers.ID)
	}
	ans := &request.Answer{Status: res.StatusCode, Header: res.Header, Outcome: request.Ran, Trailer: request.TrailerOf(res)}
	if !uc.isWrongInstance(res.StatusCode) {
		uc.observeStatement(uc.host.headers.Statement(res.Header))
	}
	body, more, err := uc.host.buffers.ReadAnswer(res.Body, res.ContentLength)
	ans.Body = body
	if err != nil {
		_ = res.Body.Close()
		uc.result.Failed, uc.lost = true, ctx.Err() == nil
		uc.host.metrics.Add("host.truncatedAnswers", 1)
		return nil, unknownRefusal(request.ReasonTruncated, err.Error())
	}
	uc.answered = true
	uc.result.Failed = res.StatusCode >= http.StatusInternalServerError
	uc.result.Shed = res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests
	if ref := uc.notRunRefusal(ans); ref != nil {
		_ = res.Body.Close()
		return nil, ref
	}
	if uc.result.Shed {
		ans.Outcome = request.Unknown
	}
	uc.completed = !uc.result.Failed && !uc.result.Shed
	ans.Load = uc.host.Report(uc.call)
	ans.Load.Mean = uc.host.meanTimes.of(uc.call.Route)
	if !more {
		_ = res.Body.Close()
		return ans, nil
	}
	ans.Rest = res.Body
	return ans, nil
}

// isWrongInstance reports whether a status means that another instance answered.
func (uc *upstreamCall) isWrongInstance(status int) bool {
	return uc.host.headers.Instance != "" && status == http.StatusMisdirectedRequest
}

// notRunRefusal returns a refusal if the upstream states that it did not run the
// request, or that it is not the instance that was addressed. Otherwise it returns nil.
func (uc *upstreamCall) notRunRefusal(ans *request.Answer) *request.Refusal {
	n := uc.host.headers
	switch {
	case uc.isWrongInstance(ans.Status):
		uc.host.metrics.Add("host.wrongInstance", 1)
		uc.host.unreachable()
		return &request.Refusal{
			Outcome: request.NotRun, Reason: request.ReasonWrongInstance, Detail: "another instance has the address of " + uc.target.ID,
			RetryAt: time.Now(),
		}
	case n.NotRun != "" && ans.Header.Get(n.NotRun) != "":
		uc.host.metrics.Add("host.shedByUpstream", 1)
		return &request.Refusal{
			Outcome: request.NotRun, Reason: request.ReasonShed, RetryAt: time.Now().Add(shedRetryAfter),
			Detail: fmt.Sprintf("the upstream answered %d without running the request", ans.Status),
		}
	}
	return nil
}

// classifyError returns the refusal for a call that got no answer. Only a failure
// before a connection was established proves that nothing was sent.
func (uc *upstreamCall) classifyError(ctx context.Context, err error) error {
	h := uc.host
	// The entry's own deadline often ends a call just before the host's does.
	uc.result.Expired = errors.Is(ctx.Err(), context.DeadlineExceeded) ||
		errors.Is(ctx.Err(), context.Canceled) && time.Until(uc.call.Deadline) < deadlineTolerance
	uc.cancelled = !uc.result.Expired && errors.Is(ctx.Err(), context.Canceled)
	uc.result.Failed = !uc.result.Expired && !uc.cancelled
	uc.lost = uc.result.Failed && uc.connected.Load()
	switch {
	case !uc.connected.Load():
		h.metrics.Add("host.connectFailures", 1)
		if errors.Is(err, syscall.ECONNREFUSED) || isTimeout(err) && ctx.Err() == nil {
			h.unreachable()
		}
		return h.countRefusal(&request.Refusal{Outcome: request.NotRun, Reason: request.ReasonConnect, Detail: err.Error(), RetryAt: time.Now()})
	case uc.result.Expired:
		// The connection may be dead without an error, and others on the same network
		// path with it.
		h.metrics.Add("host.silentCalls", 1)
		uc.target.pool.CloseIdle()
		return unknownRefusal(request.ReasonDeadline, "no answer from the upstream by the deadline")
	case uc.cancelled:
		return unknownRefusal(request.ReasonCancelled, "the caller gave up")
	}
	h.metrics.Add("host.lostCalls", 1)
	return unknownRefusal(request.ReasonConnection, err.Error())
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
