package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/claim"
)

func checkKey(h http.Header, key string, now time.Time) error {
	if key == "" || len(h.Values(request.HeaderKey)) > 1 {
		return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonMalformed, Status: http.StatusBadRequest, Detail: fmt.Sprintf("header %s: one key is required", request.HeaderKey)}
	}
	if len(key) > maxKeyBytes {
		return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonMalformed, Status: http.StatusBadRequest, Detail: fmt.Sprintf("header %s exceeds %d bytes", request.HeaderKey, maxKeyBytes)}
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

// serveKeyed runs a request with an idempotency key at most once.
func (e *Entry) serveKeyed(ctx context.Context, call *request.Call, upstream, key string, tr *requestTrace) (*request.Answer, error) {
	if e.claims == nil {
		return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonLogOut, Detail: "keyed requests are not served", RetryAt: time.Now().Add(defaultRetryAfter)}
	}
	id := rand.Text()
	grant, err := e.claims.Claim(ctx, key, id)
	switch {
	case err != nil || grant.Result == claim.Unavailable:
		e.metrics.Add("entry.claimsUnavailable", 1)
		return nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonLogOut, Detail: fmt.Sprintf("the key could not be claimed: %v", err), RetryAt: time.Now().Add(defaultRetryAfter)}
	case grant.Result == claim.Taken:
		e.metrics.Add("entry.claimsTaken", 1)
		return nil, &request.Refusal{Outcome: request.Unknown, Reason: request.ReasonKeyInUse, Status: http.StatusConflict, Detail: "a request with this key is running or may have run", RetryAt: time.Now().Add(defaultRetryAfter)}
	case grant.Result == claim.Done:
		return replay(grant.Stored), nil
	}
	// The host refuses a call that reaches it after RunBy.
	call.RunBy = grant.RunBy
	ans, err := e.runScheduled(ctx, call, upstream, tr)
	var ref *request.Refusal
	switch {
	case err == nil && ans.Outcome == request.Ran:
		e.endClaimAsync(func(ctx context.Context) error { return e.claims.Finish(ctx, key, id, storedAnswer(ans)) })
	case errors.As(err, &ref) && ref.Outcome == request.NotRun:
		e.endClaimAsync(func(ctx context.Context) error { return e.claims.Release(ctx, key, id) })
	}
	return ans, err
}

// endClaimAsync finishes or releases a claim in the background, so that the answer is
// not delayed.
func (e *Entry) endClaimAsync(f func(context.Context) error) {
	e.finishes.Add(1)
	go func() {
		defer e.finishes.Done()
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		if err := f(ctx); err != nil {
			e.metrics.Add("entry.claimEndFailures", 1)
		}
	}()
}

// storedAnswer returns the part of an answer that is stored for replay. A compressed
// body is not stored, because its Content-Encoding is not.
func storedAnswer(ans *request.Answer) claim.Stored {
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
