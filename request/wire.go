package request

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of a forwarded call that only daemons use.
const (
	headerClass      = "Kingcuppitch-Class"
	headerRunBy      = "Kingcuppitch-Run-By-Ms"
	headerIdempotent = "Kingcuppitch-Idempotent"
	headerRetryAt    = "Kingcuppitch-Retry-At"
	headerRefused    = "Kingcuppitch-Refused"
)

// headerPrefix marks headers of the mesh, which callers cannot set.
const headerPrefix = "Kingcuppitch-"

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length", "Expect",
}

// CleanHeader returns a copy without headers of the connection and of the mesh.
func CleanHeader(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, headerPrefix) {
			delete(out, name)
		}
	}
	return out
}

// EncodeCall writes the call's metadata into the header of a forwarded call.
func EncodeCall(c *Call, h http.Header) {
	h.Set(HeaderRequest, c.ID)
	h.Set(HeaderRoute, c.Route)
	h.Set(headerClass, c.Class)
	h.Set(headerIdempotent, strconv.FormatBool(c.Idempotent))
	h.Set(HeaderUpstreamVersion, c.UpstreamVersion)
	h.Set(HeaderVersion, strconv.FormatInt(c.Version, 10))
	h.Set(HeaderTimeout, strconv.FormatInt(max(1, time.Until(c.Deadline).Milliseconds()), 10))
	if !c.RunBy.IsZero() {
		h.Set(headerRunBy, strconv.FormatInt(time.Until(c.RunBy).Milliseconds(), 10))
	}
}

// DecodeCall reads a forwarded call, whose path starts with the given prefix.
func DecodeCall(r *http.Request, prefix string, now time.Time) (c *Call, err error) {
	c = &Call{
		ID: r.Header.Get(HeaderRequest), Route: r.Header.Get(HeaderRoute), Class: r.Header.Get(headerClass),
		UpstreamVersion: r.Header.Get(HeaderUpstreamVersion), Method: r.Method,
		Path: "/" + strings.TrimPrefix(r.URL.RequestURI(), prefix), Header: CleanHeader(r.Header),
	}
	ms, err := strconv.ParseInt(r.Header.Get(HeaderTimeout), 10, 64)
	if err != nil || ms <= 0 || c.ID == "" {
		return nil, errors.New("forwarded call without request id or timeout")
	}
	c.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	if text := r.Header.Get(headerRunBy); text != "" {
		if ms, err = strconv.ParseInt(text, 10, 64); err != nil {
			return nil, fmt.Errorf("header %s: %w", headerRunBy, err)
		}
		c.RunBy = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if c.Idempotent, err = strconv.ParseBool(r.Header.Get(headerIdempotent)); err != nil {
		return nil, fmt.Errorf("header %s: %w", headerIdempotent, err)
	}
	if c.Version, err = strconv.ParseInt(r.Header.Get(HeaderVersion), 10, 64); err != nil {
		return nil, fmt.Errorf("header %s: %w", HeaderVersion, err)
	}
	c.Body, err = ReadBody(r.Body)
	return c, err
}

// ReadBody reads a request body of at most MaxBody bytes.
func ReadBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxBody+1))
	if err != nil {
		return nil, &Refusal{Outcome: NotRun, Reason: ReasonMalformed, Detail: err.Error(), Status: http.StatusBadRequest}
	}
	if len(body) > MaxBody {
		return nil, &Refusal{
			Outcome: NotRun, Reason: ReasonTooLarge, Status: http.StatusRequestEntityTooLarge,
			Detail: fmt.Sprintf("the body exceeds %d bytes", MaxBody),
		}
	}
	return body, nil
}

// NewHTTPRequest returns the request of one attempt. net/http sends it a second
// time on its own, when a reused connection breaks, only if it is idempotent:
// the body then has no GetBody, and the idempotency key keeps net/http from
// recognising it by a name that is not in canonical form, which makes no
// difference to the receiver.
func NewHTTPRequest(ctx context.Context, url string, c *Call) (*http.Request, error) {
	var body io.Reader
	if len(c.Body) > 0 || !c.Idempotent && isBodiless(c.Method) {
		body = struct{ io.Reader }{bytes.NewReader(c.Body)}
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, url, body)
	if err != nil {
		return nil, err
	}
	if len(c.Body) > 0 {
		req.ContentLength = int64(len(c.Body))
	}
	for name, values := range c.Header {
		if name == HeaderKey {
			name = strings.ToLower(name)
		}
		req.Header[name] = values
	}
	return req, nil
}

func isBodiless(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// EncodeLoad writes a load report into a header.
func EncodeLoad(l Load, h http.Header) {
	h.Set(HeaderLoad, strconv.Itoa(l.InFlight))
	h.Set(HeaderLimit, strconv.Itoa(l.Limit))
	h.Set(HeaderState, l.State)
}

// DecodeLoad reads a load report; it is zero where there is none.
func DecodeLoad(h http.Header) Load {
	inFlight, err1 := strconv.Atoi(h.Get(HeaderLoad))
	limit, err2 := strconv.Atoi(h.Get(HeaderLimit))
	if err1 != nil || err2 != nil {
		return Load{}
	}
	return Load{InFlight: inFlight, Limit: limit, State: h.Get(HeaderState)}
}

// EncodeRefusal writes a refusal from host to entry.
func EncodeRefusal(ref *Refusal, h http.Header) {
	h.Set(headerRefused, "true")
	h.Set(HeaderOutcome, string(ref.Outcome))
	h.Set(HeaderReason, string(ref.Reason))
	if !ref.RetryAt.IsZero() {
		h.Set(headerRetryAt, strconv.FormatInt(ref.RetryAt.UnixMilli(), 10))
	}
}

// DecodeRefusal reads a refusal of a host, if the answer is one.
func DecodeRefusal(status int, h http.Header, body []byte) (*Refusal, bool) {
	if h.Get(headerRefused) != "true" {
		return nil, false
	}
	ref := &Refusal{Outcome: Outcome(h.Get(HeaderOutcome)), Reason: Reason(h.Get(HeaderReason)), Detail: string(body), Status: status}
	if ms, err := strconv.ParseInt(h.Get(headerRetryAt), 10, 64); err == nil {
		ref.RetryAt = time.UnixMilli(ms)
	}
	return ref, true
}

// StatusOf returns the HTTP status of a refusal.
func StatusOf(ref *Refusal) int {
	if ref.Status != 0 {
		return ref.Status
	}
	return http.StatusServiceUnavailable
}
