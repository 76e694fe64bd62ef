package host

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/instance"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
)

// handover is one call on its way to the upstream and what it says of it.
type handover struct {
	host   *Host
	call   *request.Call
	ticket admission.Ticket
	target *target
	start  time.Time
	// load is the load at the start.
	load request.Load

	// connected is set when a connection is there; from then on bytes of the
	// call may have reached the upstream.
	connected atomic.Bool
	result    admission.Result
	// lost means that the connection broke, cancelled that the caller went away.
	lost, cancelled, answered bool
}

// hand sends the call to the upstream and reads the answer.
func (h *Host) hand(ctx context.Context, call *request.Call, ticket admission.Ticket) (*request.Answer, error) {
	o := &handover{
		host: h, call: call, ticket: ticket, target: h.target.Load(), start: time.Now(), load: h.load(),
		result: admission.Result{Route: call.Route},
	}
	h.observer.Started(call)
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	ans, err := o.run(ctx, cancel)
	if err != nil || ans.Rest == nil {
		o.finish()
		cancel()
		return ans, err
	}
	rest := &restBody{ReadCloser: ans.Rest, done: func() {
		o.finish()
		cancel()
		h.calls.end()
	}}
	// A caller that does not read must not hold the slot beyond the deadline.
	context.AfterFunc(ctx, func() { rest.once.Do(rest.done) })
	ans.Rest = rest
	return ans, nil
}

// finish reports the call to the limiter and to the observer.
func (o *handover) finish() {
	now := time.Now()
	o.result.Took = now.Sub(o.start)
	if o.cancelled {
		// A caller that went away says nothing about the upstream.
		o.host.limiter.Cancel(now, o.ticket)
	} else {
		o.host.limiter.Done(now, o.ticket, o.result)
	}
	if r := o.result; !o.cancelled && !r.Failed && !r.Expired && !r.Shed && o.answered {
		o.host.means.learn(o.call.Route, r.Took)
	}
	excluded, untimed := o.host.warmup.judge(now, o.load, o.result)
	o.host.observer.Finished(o.call, request.Sample{
		Took: o.result.Took, Failed: o.result.Failed || o.result.Expired, Lost: o.lost, Answered: o.answered,
		Excluded: o.cancelled || excluded, Untimed: untimed,
	})
}

func (o *handover) run(ctx context.Context, cancel context.CancelFunc) (*request.Answer, error) {
	req, id, err := o.host.upstreamRequest(ctx, o.target, o.call)
	if err != nil {
		return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonMalformed, Detail: err.Error(), Status: http.StatusBadRequest}
	}
	if !o.call.RunBy.IsZero() {
		// The wait for a connection must not outlast the claim.
		late, stop := context.WithDeadline(ctx, o.call.StartBy())
		defer stop()
		context.AfterFunc(late, func() {
			if !o.connected.Load() {
				cancel()
			}
		})
	}
	reuse := reusePeriod
	if o.call.Idempotent {
		reuse = idlePeriod
	}
	x := instance.Exchange{IDHeader: o.host.headers.ID, ID: id, UsedSince: time.Now().Add(-reuse)}
	res, err := o.target.pool.Do(ctx, req, x)
	o.connected.Store(res.Sent)
	if errors.Is(err, instance.ErrMismatch) {
		o.result.Failed = true
		o.host.metrics.Add("host.mismatchedAnswers", 1)
		return nil, handedOver(request.ReasonMismatch, err.Error())
	}
	if errors.Is(err, instance.ErrTooLong) {
		// The upstream is alive; nothing was lost in a crash.
		o.result.Failed = true
		o.host.metrics.Add("host.endlessAnswers", 1)
		return nil, handedOver(request.ReasonMismatch, err.Error())
	}
	if err != nil {
		return nil, o.noAnswer(ctx, err)
	}
	return o.read(ctx, res.Response)
}

// read reads the answer, or its start where it is long.
func (o *handover) read(ctx context.Context, res *http.Response) (*request.Answer, error) {
	if !o.host.headers.CallerNamesID {
		// The id belongs to the attempt; the caller may have sent one of its own.
		res.Header.Del(o.host.headers.ID)
	}
	ans := &request.Answer{Status: res.StatusCode, Header: res.Header, Outcome: request.Ran, Trailer: request.TrailerOf(res)}
	var err error
	if ans.Body, err = io.ReadAll(io.LimitReader(res.Body, request.MaxBody)); err != nil {
		_ = res.Body.Close()
		o.result.Failed, o.lost = true, ctx.Err() == nil
		o.host.metrics.Add("host.truncatedAnswers", 1)
		return nil, handedOver(request.ReasonTruncated, err.Error())
	}
	o.answered = true
	o.result.Failed = res.StatusCode >= http.StatusInternalServerError
	o.result.Shed = res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests
	if ref := o.notRun(ans); ref != nil {
		_ = res.Body.Close()
		return nil, ref
	}
	if o.result.Shed {
		ans.Outcome = request.Unknown
	}
	ans.Load = o.host.load()
	ans.Load.Mean = o.host.means.of(o.call.Route)
	if len(ans.Body) < request.MaxBody {
		_ = res.Body.Close()
		return ans, nil
	}
	ans.Rest = res.Body
	return ans, nil
}

// notRun returns a refusal where the upstream says that it did not run the
// request, or that it is not the one that was meant.
func (o *handover) notRun(ans *request.Answer) *request.Refusal {
	n := o.host.headers
	switch {
	case n.Instance != "" && ans.Status == http.StatusMisdirectedRequest:
		o.host.metrics.Add("host.wrongInstance", 1)
		o.host.unreachable()
		return &request.Refusal{
			Outcome: request.NotRun, Reason: request.ReasonWrongInstance, Detail: "another instance has the address of " + o.target.id,
			RetryAt: time.Now(),
		}
	case n.NotRun != "" && ans.Header.Get(n.NotRun) != "":
		o.host.metrics.Add("host.shedByUpstream", 1)
		return &request.Refusal{
			Outcome: request.NotRun, Reason: request.ReasonShed, RetryAt: time.Now().Add(shedPause),
			Detail: fmt.Sprintf("the upstream answered %d without running the request", ans.Status),
		}
	}
	return nil
}

// noAnswer classifies an exchange that gave no answer. Only a failure before a
// connection was there is certain to have handed nothing over.
func (o *handover) noAnswer(ctx context.Context, err error) error {
	h := o.host
	// The entry's own deadline often ends a call just before the host's does.
	o.result.Expired = errors.Is(ctx.Err(), context.DeadlineExceeded) ||
		errors.Is(ctx.Err(), context.Canceled) && time.Until(o.call.Deadline) < deadlineSlack
	o.cancelled = !o.result.Expired && errors.Is(ctx.Err(), context.Canceled)
	o.result.Failed = !o.result.Expired && !o.cancelled
	o.lost = o.result.Failed && o.connected.Load()
	switch {
	case !o.connected.Load():
		h.metrics.Add("host.connectFailures", 1)
		if errors.Is(err, syscall.ECONNREFUSED) || isTimeout(err) && ctx.Err() == nil {
			h.unreachable()
		}
		return h.refused(&request.Refusal{Outcome: request.NotRun, Reason: request.ReasonConnect, Detail: err.Error(), RetryAt: time.Now()})
	case o.result.Expired:
		// The connection may have gone silent for good, and those opened through
		// the same path with it.
		h.metrics.Add("host.silentCalls", 1)
		o.target.pool.CloseIdle()
		return handedOver(request.ReasonDeadline, "no answer from the upstream by the deadline")
	case o.cancelled:
		return handedOver(request.ReasonCancelled, "the caller gave up")
	}
	h.metrics.Add("host.lostCalls", 1)
	return handedOver(request.ReasonConnection, err.Error())
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
