package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/standin/upstream"
)

// Call is a request of a caller.
type Call struct {
	Method, Path string
	Body         []byte
	// Key is the Idempotency-Key, if any.
	Key string
	// Timeout is sent in Request-Timeout-Ms if above zero.
	Timeout time.Duration
}

// Result is the response to a call.
type Result struct {
	Status     int
	Outcome    request.Outcome
	RetryAfter string
	Body       []byte
	// Answer is the decoded answer of the upstream; it is empty unless Status is 200.
	Answer upstream.Answer
	// Idle is how long the connection was idle before the call; it is zero for a
	// new connection.
	Idle time.Duration
}

// Caller sends calls to entries.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller with its own connection pool.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second},
		Timeout:   15 * time.Second,
	}}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends a call once. It returns an error if the complete answer to this call did
// not arrive; a refusal is not an error.
func (c *Caller) Do(ctx context.Context, entry netip.AddrPort, call Call) (r Result, err error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { r.Idle = info.IdleTime }})
	// net/http does not send a request a second time if its body has no GetBody.
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+entry.String()+call.Path, struct{ io.Reader }{bytes.NewReader(call.Body)})
	if err != nil {
		return r, err
	}
	req.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		req.Body = http.NoBody
	}
	if call.Key != "" {
		req.Header.Set(request.HeaderKey, call.Key)
	}
	if call.Timeout > 0 {
		req.Header.Set(request.HeaderTimeout, fmt.Sprint(call.Timeout.Milliseconds()))
	}
	res, err := c.client.Do(req)
	if err != nil {
		return r, err
	}
	defer func() { _ = res.Body.Close() }()
	r.Status, r.Outcome, r.RetryAfter = res.StatusCode, request.Outcome(res.Header.Get(request.HeaderOutcome)), res.Header.Get("Retry-After")
	if r.Body, err = io.ReadAll(res.Body); err != nil || r.Status != http.StatusOK {
		return r, err
	}
	if err = upstream.Check(r.Body, call.Method, call.Path, call.Body); err != nil {
		return r, &MismatchError{err}
	}
	return r, json.Unmarshal(r.Body, &r.Answer)
}

// MismatchError means that a caller received the answer to another call.
type MismatchError struct{ err error }

// Error implements error.
func (e *MismatchError) Error() string { return e.err.Error() }

// Unwrap returns the error that describes the difference.
func (e *MismatchError) Unwrap() error { return e.err }
