package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/kingcuppitch/kingcuppitch/internal/status"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/host"
	"github.com/kingcuppitch/kingcuppitch/request/route"
)

// forward sends a call to the daemon of another instance.
func (e *Entry) forward(ctx context.Context, inst route.Instance, call *request.Call) (ans *request.Answer, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	url := "http://" + inst.Peer.String() + host.ForwardPrefix + strings.TrimPrefix(call.Path, "/")
	req, err := request.NewForwardRequest(ctx, url, call)
	if err != nil {
		return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonMalformed, Detail: err.Error(), Status: http.StatusBadRequest}
	}
	// Use the transport directly: a redirect is an answer for the caller, and
	// http.Client would parse it.
	res, err := e.peers.Client(inst.Peer).Transport.RoundTrip(req)
	if err != nil {
		return nil, e.forwardError(ctx, inst, err, connected.Load())
	}
	if got := res.Header.Get(request.HeaderRequest); got != call.ID {
		_ = res.Body.Close()
		e.metrics.Add("entry.mismatchedAnswers", 1)
		return nil, unknownRefusal(request.ReasonMismatch, fmt.Sprintf("daemon %s answered request %q", inst.Name, got))
	}
	// net/http takes any integer for a status; res.Status holds the text.
	if text, _, _ := strings.Cut(res.Status, " "); !status.Is(text) {
		_ = res.Body.Close()
		e.metrics.Add("entry.mismatchedAnswers", 1)
		return nil, unknownRefusal(request.ReasonMismatch, fmt.Sprintf("daemon %s answered with status %q", inst.Name, text))
	}
	body, more, err := e.buffers.ReadAnswer(res.Body, res.ContentLength)
	if err != nil {
		_ = res.Body.Close()
		if ctx.Err() != nil {
			return nil, e.forwardError(ctx, inst, err, true)
		}
		e.metrics.Add("entry.truncatedAnswers", 1)
		return nil, unknownRefusal(request.ReasonTruncated, err.Error())
	}
	e.countCrossZone(inst, call, len(body))
	load := request.DecodeLoad(res.Header)
	if ref, refused := request.DecodeRefusal(res.StatusCode, res.Header, body); refused {
		_ = res.Body.Close()
		return &request.Answer{Load: load}, ref
	}
	ans = &request.Answer{
		Status: res.StatusCode, Header: request.CleanHeader(res.Header), Body: body,
		Outcome: request.Outcome(res.Header.Get(request.HeaderOutcome)), Load: load,
		Trailer: request.TrailerOf(res),
	}
	if length := res.Header.Get("Content-Length"); length != "" {
		ans.Header.Set("Content-Length", length)
	}
	if !more {
		_ = res.Body.Close()
		return ans, nil
	}
	ans.Rest = res.Body
	return ans, nil
}

// countCrossZone counts the bytes of a request and its answer that crossed between
// zones, excluding headers and the streamed part of an answer.
func (e *Entry) countCrossZone(inst route.Instance, call *request.Call, answer int) {
	if inst.Zone != e.view.Snapshot().Self.Zone {
		e.metrics.AddRoute("bytesBetweenZones.requests", call.Route, int64(len(call.Body)))
		e.metrics.AddRoute("bytesBetweenZones.answers", call.Route, int64(answer))
		e.metrics.AddRoute("callsBetweenZones", call.Route, 1)
	}
}

// forwardError returns the refusal for a forwarded call that got no complete answer.
func (e *Entry) forwardError(ctx context.Context, inst route.Instance, err error, connected bool) error {
	if !connected {
		e.metrics.Add("entry.connectFailures", 1)
		return &request.Refusal{
			Outcome: request.NotRun, Reason: request.ReasonConnect, RetryAt: time.Now(),
			Detail: fmt.Sprintf("no connection to daemon %s: %v", inst.Name, err),
		}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return unknownRefusal(request.ReasonCancelled, "the caller gave up")
	}
	// A middlebox on the path to the peer may have lost the state of its connections;
	// the next call opens new ones.
	e.peers.Retire(inst.Peer)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.metrics.Add("entry.silentCalls", 1)
		return unknownRefusal(request.ReasonDeadline, fmt.Sprintf("no answer from daemon %s by the deadline", inst.Name))
	}
	e.metrics.Add("entry.lostCalls", 1)
	return unknownRefusal(request.ReasonConnection, err.Error())
}

func unknownRefusal(reason request.Reason, detail string) error {
	return &request.Refusal{Outcome: request.Unknown, Reason: reason, Detail: detail, Status: http.StatusBadGateway}
}
