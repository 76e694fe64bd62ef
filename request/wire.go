package request

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/kingcuppitch/kingcuppitch/internal/field"
	"github.com/kingcuppitch/kingcuppitch/version/config"
)

// Headers of a forwarded call that only daemons use.
const (
	headerClass      = "Kingcuppitch-Class"
	headerRunBy      = "Kingcuppitch-Run-By-Ms"
	headerIdempotent = "Kingcuppitch-Idempotent"
	headerRetryAt    = "Kingcuppitch-Retry-At"
	headerRetryIn    = "Kingcuppitch-Retry-In-Ms"
	headerRefused    = "Kingcuppitch-Refused"
	headerTrace      = "Kingcuppitch-Trace"
	headerUpstream   = "Kingcuppitch-Upstream"
	headerHost       = "Kingcuppitch-Host"
	headerObjective  = "Kingcuppitch-Objective-Ms"
	headerNested     = "Kingcuppitch-Nested"
	headerReturning  = "Kingcuppitch-Returning"
	headerRepeat     = "Kingcuppitch-Repeat"
	headerFinishes   = "Kingcuppitch-Finishes"
	headerTenant     = "Kingcuppitch-Call-Tenant"
)

const (
	// maxReturnMargin bounds the time subtracted from the deadline of a forwarded
	// call for the return of the answer: only the host knows whether the call
	// ran, and its refusal must arrive before the entry gives up. It exceeds the
	// round-trip time between two availability zones.
	maxReturnMargin = 5 * time.Millisecond
	// returnMarginDivisor divides the remaining time to give the upper bound of
	// the margin.
	returnMarginDivisor = 20
)

// headerAltKey is another name of the idempotency key that net/http recognises.
const headerAltKey = "X-Idempotency-Key"

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length", "Expect",
}

// CleanHeader returns a copy without hop-by-hop headers and meshHeaders.
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
		if meshHeaders[name] {
			delete(out, name)
		}
	}
	return out
}

// EncodeCall writes the call's metadata into the header of a forwarded call.
func EncodeCall(c *Call, h http.Header) {
	h.Set(HeaderRequest, c.ID)
	h.Set(HeaderRoute, encodeName(c.Route))
	h.Set(headerClass, encodeName(c.Class))
	if c.Host != "" {
		h.Set(headerHost, c.Host)
	}
	h.Set(headerUpstream, encodeName(c.Upstream))
	if c.Trace != "" {
		h.Set(headerTrace, c.Trace)
	}
	h.Set(headerIdempotent, strconv.FormatBool(c.Idempotent))
	h.Set(HeaderUpstreamVersion, encodeName(c.UpstreamVersion))
	h.Set(HeaderVersion, strconv.FormatInt(c.Version, 10))
	left := time.Until(c.Deadline)
	left -= min(left/returnMarginDivisor, maxReturnMargin)
	h.Set(HeaderTimeout, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if !c.Objective.IsZero() {
		h.Set(headerObjective, strconv.FormatInt(time.Until(c.Objective).Milliseconds(), 10))
	}
	if c.Nested {
		h.Set(headerNested, "true")
	}
	if c.Returning {
		h.Set(headerReturning, "true")
	}
	if c.Repeat {
		h.Set(headerRepeat, "true")
	}
	if c.Tenant != "" {
		h.Set(headerTenant, encodeName(c.Tenant))
	}
	if c.KnownCapacity > 0 {
		h.Set(HeaderCapacity, encodeCapacity(c.KnownCapacity))
		h.Set(HeaderLimit, strconv.Itoa(c.KnownLimit))
	}
	if !c.RunBy.IsZero() {
		h.Set(headerRunBy, strconv.FormatInt(time.Until(c.RunBy).Milliseconds(), 10))
	}
}

// escapedName marks a name that is escaped because a header cannot carry it.
const escapedName = "%!"

// encodeName returns the form of a name in a header. Only names that a header does not
// carry unchanged are escaped, so that daemons of earlier releases understand all others.
func encodeName(name string) string {
	control := func(r rune) bool { return r < ' ' || r == 0x7f }
	if !strings.ContainsFunc(name, control) && strings.TrimSpace(name) == name && !strings.HasPrefix(name, escapedName) {
		return name
	}
	return escapedName + url.QueryEscape(name)
}

// decodeName reverses encodeName.
func decodeName(text string) string {
	escaped, ok := strings.CutPrefix(text, escapedName)
	if !ok {
		return text
	}
	name, err := url.QueryUnescape(escaped)
	if err != nil {
		return text
	}
	return name
}

// DecodeCall reads a forwarded call, whose path starts with the given prefix and
// whose body has at most limit bytes.
func DecodeCall(r *http.Request, prefix string, now time.Time, limit int64, buffers *Buffers) (c *Call, err error) {
	c = &Call{
		ID: r.Header.Get(HeaderRequest), Route: decodeName(r.Header.Get(HeaderRoute)), Class: decodeName(r.Header.Get(headerClass)),
		UpstreamVersion: decodeName(r.Header.Get(HeaderUpstreamVersion)), Method: r.Method, Host: r.Header.Get(headerHost),
		Upstream: decodeName(r.Header.Get(headerUpstream)), Trace: r.Header.Get(headerTrace),
		Path: "/" + strings.TrimPrefix(r.URL.RequestURI(), prefix), Header: CleanHeader(r.Header),
		Nested: r.Header.Get(headerNested) == "true", Returning: r.Header.Get(headerReturning) == "true",
		Repeat: r.Header.Get(headerRepeat) == "true", Tenant: decodeName(r.Header.Get(headerTenant)),
	}
	if limit, err := strconv.Atoi(r.Header.Get(HeaderLimit)); err == nil && limit > 0 {
		c.KnownLimit, c.KnownCapacity = limit, decodeCapacity(r.Header)
	}
	ms, err := strconv.ParseInt(r.Header.Get(HeaderTimeout), 10, 64)
	if err != nil || ms <= 0 || c.ID == "" {
		return nil, errors.New("forwarded call without request id or timeout")
	}
	c.Deadline = addMillis(now, ms)
	if text := r.Header.Get(headerRunBy); text != "" {
		if ms, err = strconv.ParseInt(text, 10, 64); err != nil {
			return nil, fmt.Errorf("header %s: %w", headerRunBy, err)
		}
		c.RunBy = addMillis(now, ms)
	}
	if text := r.Header.Get(headerObjective); text != "" {
		if ms, err = strconv.ParseInt(text, 10, 64); err != nil {
			return nil, fmt.Errorf("header %s: %w", headerObjective, err)
		}
		c.Objective = addMillis(now, ms)
	}
	if c.Idempotent, err = strconv.ParseBool(r.Header.Get(headerIdempotent)); err != nil {
		return nil, fmt.Errorf("header %s: %w", headerIdempotent, err)
	}
	if c.Version, err = strconv.ParseInt(r.Header.Get(HeaderVersion), 10, 64); err != nil {
		return nil, fmt.Errorf("header %s: %w", HeaderVersion, err)
	}
	c.Body, err = ReadBody(r, limit, buffers)
	return c, err
}

// addMillis adds ms to t, clamped to the longest time limit in either direction, since the number comes from another process and could overflow.
func addMillis(t time.Time, ms int64) time.Time {
	limit := config.MaxTimeout.Milliseconds()
	return t.Add(time.Duration(max(-limit, min(ms, limit))) * time.Millisecond)
}

// roomRetryAfter is when a request for whose body there was no room is worth repeating.
// The bodies in the way belong to calls that mostly end within a second.
const roomRetryAfter = time.Second

// ReadBody reads the body of a request, at most limit bytes. If there is no room for it,
// the request is refused at once.
func ReadBody(r *http.Request, limit int64, buffers *Buffers) ([]byte, error) {
	body, _, err := buffers.read(r.Body, min(r.ContentLength, limit), limit+1)
	if errors.Is(err, ErrNoRoom) {
		return nil, &Refusal{Outcome: NotRun, Reason: ReasonNoRoom, Detail: err.Error(), RetryAt: time.Now().Add(roomRetryAfter)}
	}
	if err != nil {
		return nil, &Refusal{Outcome: NotRun, Reason: ReasonMalformed, Detail: err.Error(), Status: http.StatusBadRequest}
	}
	if int64(len(body)) > limit {
		return nil, &Refusal{
			Outcome: NotRun, Reason: ReasonTooLarge, Status: http.StatusRequestEntityTooLarge,
			Detail: fmt.Sprintf("the body exceeds %d bytes", limit),
		}
	}
	return body, nil
}

// NewHTTPRequest returns the request of one attempt over HTTP/1.1. When a reused
// connection breaks, net/http automatically resends a request if it has no body,
// or one with GetBody, and either a safe method or an idempotency key in
// canonical spelling. Therefore a call that must not be repeated has a body
// without GetBody, or its keys are spelt in lower case, which is equivalent for
// the receiver.
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
		if name == HeaderKey || name == headerAltKey {
			name = strings.ToLower(name)
		}
		req.Header[name] = values
	}
	if c.Host != "" {
		req.Host = c.Host
	}
	if req.Header.Get("User-Agent") == "" {
		// net/http would add its own.
		req.Header.Set("User-Agent", "")
	}
	return req, nil
}

// NewForwardRequest returns the request of one attempt over HTTP/2. There,
// net/http resends a request without a body after a protocol stream error,
// whatever its method and without a limit, so the request always has a body
// without GetBody. The entry decides on further attempts.
func NewForwardRequest(ctx context.Context, url string, c *Call) (*http.Request, error) {
	req, err := NewHTTPRequest(ctx, url, c)
	if err != nil {
		return nil, err
	}
	if req.Body == nil {
		req.Body = io.NopCloser(struct{ io.Reader }{strings.NewReader("")})
	}
	EncodeCall(c, req.Header)
	return req, nil
}

func isBodiless(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// TrailerOf returns a function that returns the trailer of a response, which is
// available once the body has been read. Malformed names are left out: the HTTP/2 server
// of net/http does not end an answer whose trailer has no valid name.
func TrailerOf(res *http.Response) func() http.Header {
	return func() http.Header {
		maps.DeleteFunc(res.Trailer, func(name string, _ []string) bool { return !field.IsName(name) })
		return res.Trailer
	}
}

// EncodeLoad writes a load report into a header.
func EncodeLoad(l Load, h http.Header) {
	h.Set(HeaderLoad, strconv.Itoa(l.InFlight))
	h.Set(HeaderLimit, strconv.Itoa(l.Limit))
	h.Set(HeaderState, l.State)
	if l.RateLimit > 0 {
		h.Set(HeaderRateLimit, strconv.FormatFloat(l.RateLimit, 'g', -1, 64))
	}
	if l.Mean > 0 {
		h.Set(HeaderMean, strconv.FormatInt(l.Mean.Milliseconds(), 10))
	}
	if l.Capacity > 0 {
		h.Set(HeaderCapacity, encodeCapacity(l.Capacity))
	}
	if l.Admits > 0 {
		h.Set(HeaderAdmits, strconv.Itoa(l.Admits))
	}
	if l.UpstreamsOnly {
		h.Set(headerNested, "true")
	}
	if l.Finishes > 0 && l.Finishes < 1 {
		h.Set(headerFinishes, strconv.FormatFloat(l.Finishes, 'f', 2, 64))
	}
}

// DecodeLoad reads a load report from a header. It returns the zero Load if there
// is none.
func DecodeLoad(h http.Header) Load {
	inFlight, err1 := strconv.Atoi(h.Get(HeaderLoad))
	limit, err2 := strconv.Atoi(h.Get(HeaderLimit))
	if err1 != nil || err2 != nil {
		return Load{}
	}
	mean, err := strconv.Atoi(h.Get(HeaderMean))
	if err != nil || mean < 0 {
		mean = 0 // an instance that has answered nothing sends none
	}
	rateLimit, err := parseRateLimit(h.Get(HeaderRateLimit))
	if err != nil {
		rateLimit = 0 // an instance without a limit sends none
	}
	admits, err := strconv.Atoi(h.Get(HeaderAdmits))
	if err != nil || admits < 0 {
		admits = 0 // a host that admits all classes sends none
	}
	finishes, err := strconv.ParseFloat(h.Get(headerFinishes), 64)
	if err != nil || !(finishes > 0 && finishes < 1) {
		finishes = 0 // a host whose runs can all finish sends none
	}
	return Load{
		InFlight: inFlight, Limit: limit, State: h.Get(HeaderState), RateLimit: rateLimit, Mean: time.Duration(mean) * time.Millisecond,
		Capacity: decodeCapacity(h), Admits: admits, UpstreamsOnly: h.Get(headerNested) == "true", Finishes: finishes,
	}
}

func encodeCapacity(perSecond float64) string { return strconv.FormatFloat(perSecond, 'f', 1, 64) }

// decodeCapacity returns the capacity in a header; zero if there is none, as from a host
// that does not learn it.
func decodeCapacity(h http.Header) float64 {
	perSecond, err := strconv.ParseFloat(h.Get(HeaderCapacity), 64)
	if err != nil || !(perSecond > 0) || math.IsInf(perSecond, 0) {
		return 0
	}
	return perSecond
}

// EncodeRefusal writes a refusal from host to entry.
func EncodeRefusal(ref *Refusal, h http.Header) {
	h.Set(headerRefused, "true")
	h.Set(HeaderOutcome, string(ref.Outcome))
	h.Set(HeaderReason, string(ref.Reason))
	if !ref.RetryAt.IsZero() {
		h.Set(headerRetryAt, strconv.FormatInt(ref.RetryAt.UnixMilli(), 10))
		// A caller that returns too early is refused again, so the wait is rounded up.
		left := time.Until(ref.RetryAt) + time.Millisecond - 1
		h.Set(headerRetryIn, strconv.FormatInt(max(0, left.Milliseconds()), 10))
	}
}

// DecodeRefusal reads a refusal from a host. The result is false if the answer is
// not a refusal.
func DecodeRefusal(status int, h http.Header, body []byte) (*Refusal, bool) {
	if h.Get(headerRefused) != "true" {
		return nil, false
	}
	ref := &Refusal{Outcome: Outcome(h.Get(HeaderOutcome)), Reason: Reason(h.Get(HeaderReason)), Detail: string(body), Status: status}
	// The clocks of daemons differ; only daemons of earlier releases send no wait.
	if ms, err := strconv.ParseInt(h.Get(headerRetryIn), 10, 64); err == nil && ms >= 0 {
		ref.RetryAt = addMillis(time.Now(), ms)
	} else if ms, err := strconv.ParseInt(h.Get(headerRetryAt), 10, 64); err == nil {
		ref.RetryAt = time.UnixMilli(ms)
	}
	return ref, true
}

// StatusOf returns the HTTP status of a refusal. A 503 guarantees that the
// request has not run.
func StatusOf(ref *Refusal) int {
	switch {
	case ref.Status != 0:
		return ref.Status
	case ref.Outcome != NotRun:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
