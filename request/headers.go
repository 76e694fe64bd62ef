package request

import "net/http"

// Headers names the HTTP headers that carry request metadata from callers and to
// and from upstreams. An empty name means that there is no such header. The zero
// value is not useful; DefaultHeaders holds the names of the product's own
// interface.
type Headers struct {
	// ID carries the id of a request to the upstream, which echoes it.
	ID string
	// Timeout carries the remaining time in milliseconds, both from the caller
	// and to the upstream.
	Timeout string
	// CallerService tells the upstream the service whose daemon received the
	// request.
	CallerService string
	// Tenant tells the upstream the name of the tenant whose key the caller presented.
	// What the caller sent in it is removed.
	Tenant string
	// Instance tells the upstream the id of the intended instance; any other
	// instance answers 421 and does not run the request.
	Instance string
	// InstanceID carries the id of the instance in its health check answers.
	InstanceID string
	// ColdFor carries the remaining cold start in milliseconds in health check
	// answers.
	ColdFor string
	// NotRun marks an answer of the upstream that did not run the request.
	NotRun string
	// RateLimit carries the requests per second that the upstream takes from all
	// daemons together. A limit is in force for as long as the answers carry it.
	RateLimit string
	// Leaving marks the answers of an upstream that is about to stop.
	Leaving string
	// CallerNamesID means that the caller's own id is passed on; otherwise each
	// attempt gets a new id.
	CallerNamesID bool
	// FractionalRetryTime allows fractions of a second in Retry-After.
	FractionalRetryTime bool
}

// DefaultHeaders holds the header names of the product's own interface.
var DefaultHeaders = Headers{ID: HeaderUpstreamRequest, Timeout: HeaderTimeout, Tenant: HeaderTenant}

// SetTenant names the tenant in the header of a request to an upstream, or removes the name
// if there is none.
func (n Headers) SetTenant(h http.Header, tenant string) {
	switch {
	case n.Tenant == "":
	case tenant == "":
		h.Del(n.Tenant)
	default:
		h.Set(n.Tenant, encodeName(tenant))
	}
}

// TraceOf returns the id that identifies a request in the log lines.
func (n Headers) TraceOf(c *Call) string {
	if n.CallerNamesID {
		return c.Header.Get(n.ID)
	}
	return c.Trace
}

// meshHeaders are passed between daemons. They are removed from the headers of
// callers and upstreams.
var meshHeaders = map[string]bool{
	HeaderOutcome: true, HeaderRequest: true, HeaderRoute: true, HeaderUpstreamVersion: true, HeaderVersion: true,
	HeaderReason: true, HeaderLoad: true, HeaderLimit: true, HeaderRateLimit: true, HeaderMean: true, HeaderState: true, headerClass: true, headerRunBy: true,
	headerIdempotent: true, headerRetryAt: true, headerRetryIn: true, headerRefused: true, headerHost: true, headerTrace: true, headerUpstream: true, headerObjective: true,
	HeaderCapacity: true, HeaderAdmits: true, headerNested: true, headerReturning: true, headerTenant: true,
	headerRepeat: true, headerFinishes: true,
}
