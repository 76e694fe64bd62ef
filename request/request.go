// Package request defines the types of one call: the call itself, its answer and
// the outcome that is reported to the caller.
//
// The subpackages decide how a call is handled: route chooses the instance,
// admission bounds the load of an instance, retry bounds further attempts, claim
// runs keyed requests at most once and quarantine stops requests that crash
// upstreams. The handlers are in entry and host.
//
// # Usage
//
//	call := request.Call{ID: id, Route: route.Name, Method: http.MethodGet, Path: "/slots", Deadline: deadline}
//	ans, err := forwarder.Forward(ctx, instance, &call)
//	var ref *request.Refusal
//	if errors.As(err, &ref) && ref.Outcome == request.NotRun {
//		// another instance may be tried
//	}
package request

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxBody bounds the body of a request if operators set no limit, and the part of
// an answer that is buffered before it is sent to the caller, in bytes.
const MaxBody = 1 << 20

// Headers between caller, entry, host and upstream.
const (
	// HeaderOutcome carries the outcome of the request to the caller.
	HeaderOutcome = "Kingcuppitch-Outcome"
	// HeaderRequest carries the id of an attempt, which the host echoes.
	HeaderRequest = "Kingcuppitch-Request"
	// HeaderRoute carries the name of the route from entry to host.
	HeaderRoute = "Kingcuppitch-Route"
	// HeaderUpstreamVersion carries the upstream version that the entry chose.
	HeaderUpstreamVersion = "Kingcuppitch-Upstream-Version"
	// HeaderVersion carries the configuration version of the entry.
	HeaderVersion = "Kingcuppitch-Version"
	// HeaderReason carries the reason of a refusal.
	HeaderReason = "Kingcuppitch-Reason"
	// HeaderLoad, HeaderLimit, HeaderRateLimit, HeaderState, HeaderMean, HeaderCapacity
	// and HeaderAdmits report the instance's load.
	HeaderLoad      = "Kingcuppitch-Load"
	HeaderLimit     = "Kingcuppitch-Limit"
	HeaderRateLimit = "Kingcuppitch-Rate-Limit"
	HeaderMean      = "Kingcuppitch-Mean"
	HeaderState     = "Kingcuppitch-State"
	// HeaderCapacity carries the capacity of an instance. On a forwarded call it is the
	// last one that the entry knows.
	HeaderCapacity = "Kingcuppitch-Capacity"
	// HeaderAdmits carries the position in the shed order from which a host admits
	// requests.
	HeaderAdmits = "Kingcuppitch-Admits"
	// HeaderTimeout carries the remaining time in milliseconds.
	HeaderTimeout = "Request-Timeout-Ms"
	// HeaderUpstreamRequest carries the id of a request, which the upstream
	// echoes.
	HeaderUpstreamRequest = "Request-Id"
	// HeaderTenant carries the name of the tenant to the upstream.
	HeaderTenant = "Request-Tenant"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderKeyDate carries the time when the caller first used its key.
	HeaderKeyDate = "Idempotency-Key-Date"
)

// Outcome says whether a request ran.
type Outcome string

// The outcomes of a request.
const (
	// Ran means that the upstream answered.
	Ran Outcome = "ran"
	// NotRun means that no byte of the request reached an upstream.
	NotRun Outcome = "notRun"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Replayed means that the answer of an earlier run is repeated.
	Replayed Outcome = "replayed"
)

// Reason is a machine-readable cause of a refusal.
type Reason string

// The reasons of refusals.
const (
	ReasonNoRoute    Reason = "noRoute"
	ReasonNoInstance Reason = "noInstance"
	ReasonOverload   Reason = "overload"
	// ReasonRateLimit means that the instance gets as many requests per second as it
	// says that it takes.
	ReasonRateLimit Reason = "rateLimit"
	// ReasonNoRoom means that the bodies of other calls take up the daemon's memory for
	// bodies, or that there are too many connections.
	ReasonNoRoom        Reason = "noRoom"
	ReasonLeaving       Reason = "leaving"
	ReasonZoneOut       Reason = "zoneOut"
	ReasonDeadline      Reason = "deadline"
	ReasonNoAnswer      Reason = "noAnswer"
	ReasonQuarantined   Reason = "quarantined"
	ReasonNotReady      Reason = "notReady"
	ReasonTooLarge      Reason = "tooLarge"
	ReasonMalformed     Reason = "malformed"
	ReasonConnect       Reason = "connect"
	ReasonConnection    Reason = "connectionLost"
	ReasonMismatch      Reason = "answerMismatch"
	ReasonTruncated     Reason = "answerTruncated"
	ReasonWrongVersion  Reason = "wrongVersion"
	ReasonKeyInUse      Reason = "keyInUse"
	ReasonLogOut        Reason = "logUnavailable"
	ReasonKeyExpired    Reason = "keyExpired"
	ReasonInternalRoute Reason = "internalRoute"
	// ReasonUnknownKey means that the caller presented no key of a tenant.
	ReasonUnknownKey Reason = "unknownKey"
	// ReasonCancelled means that the caller gave up; it is no evidence about the
	// instance.
	ReasonCancelled Reason = "cancelled"
	// ReasonUpstreamError means that the upstream answered with a server error.
	ReasonUpstreamError Reason = "upstreamError"
	// ReasonShed means that the upstream itself refused to run the request.
	ReasonShed Reason = "upstreamShed"
	// ReasonWrongInstance means that another instance now uses the address.
	ReasonWrongInstance Reason = "wrongInstance"
	// ReasonBodyNotKept marks a replayed answer whose body was not stored.
	ReasonBodyNotKept Reason = "bodyNotKept"
)

// IsSaturation reports whether the reason means that the instance, or the daemon beside
// it, has no room.
func (r Reason) IsSaturation() bool {
	return r == ReasonOverload || r == ReasonRateLimit || r == ReasonNoRoom
}

// Refusal is an error that carries the outcome that is reported to the caller.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	Detail  string
	// RetryAt is the earliest useful time of a retry; zero means immediately.
	RetryAt time.Time
	// Status is the HTTP status; zero means 503.
	Status int
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Reason) + " (" + string(r.Outcome) + "): " + r.Detail
}

// Call is one request to an upstream.
type Call struct {
	// ID is unique to one attempt.
	ID string
	// Trace is the id of the request that all its attempts share. It is empty if
	// a header of the caller carries the id of the request.
	Trace  string
	Route  string
	Method string
	Path   string // including the query
	// Host is the host that the caller requested; empty means that of the
	// upstream.
	Host     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// RunBy is the time before which a keyed call must reach its upstream; zero
	// means that only the deadline counts.
	RunBy      time.Time
	Idempotent bool
	Class      string
	// Objective is the time by which an answer should arrive; zero means the
	// deadline.
	Objective time.Time
	// Attempts is the maximum number of instances that the call may reach; zero
	// means the default.
	Attempts int
	// Upstream is the upstream that the entry chose; empty means the one that
	// the route names.
	Upstream string
	// UpstreamVersion is the upstream version that the entry chose.
	UpstreamVersion string
	// Version is the configuration version of the entry.
	Version int64
	// Nested means that an upstream made the call while it worked on a request.
	Nested bool
	// Returning means that the caller was refused and came back at the time that it
	// was told.
	Returning bool
	// Repeat means that an instance may have received the request before, or that the
	// run that made it was a repeat itself.
	Repeat bool
	// Tenant is the name of the tenant whose key the caller presented; it may be
	// empty.
	Tenant string
	// Caller is the service beside the daemon at which the call arrived. It is empty
	// unless upstreams are told of it.
	Caller string
	// KnownLimit and KnownCapacity are the learned limit and the capacity of the
	// instance that the entry tells a daemon that has restarted; zero means nothing.
	KnownLimit    int
	KnownCapacity float64

	fingerprint    uint64
	hasFingerprint bool
}

// StartBy returns the time before which the call must reach its upstream.
func (c *Call) StartBy() time.Time {
	if !c.RunBy.IsZero() && c.RunBy.Before(c.Deadline) {
		return c.RunBy
	}
	return c.Deadline
}

// CallerBits masks the bits of a fingerprint that identify the caller; they are zero if it
// is not known. The others are equal for the same request of all callers.
const CallerBits uint64 = (1<<24 - 1) << callerShift

const callerShift = 40

// Fingerprint identifies a call that may come again: by the method, host, path and body,
// and by the caller, because an upstream may treat the same request of another service or
// tenant differently. It is computed on first use and cached, since one call needs it
// several times and a body may be large; none of these may change afterwards.
func (c *Call) Fingerprint() uint64 {
	if c.hasFingerprint {
		return c.fingerprint
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(c.Method)
	_, _ = d.WriteString("\n" + HostName(c.Host) + c.Path + "\n")
	_, _ = d.Write(c.Body)
	c.fingerprint, c.hasFingerprint = d.Sum64()&^CallerBits, true
	if c.Caller != "" || c.Tenant != "" {
		d.Reset()
		_, _ = d.WriteString(c.Caller + "\n" + c.Tenant)
		c.fingerprint |= d.Sum64()&CallerBits | 1<<callerShift
	}
	return c.fingerprint
}

// HostName returns a host without its port, in lower case.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Load is the load of an instance, which its host reports with each answer.
type Load struct {
	InFlight int
	Limit    int
	State    string
	// RateLimit is the number of requests per second that the instance takes; zero
	// means that it names no limit.
	RateLimit float64
	// Mean is the recent mean answer time of the call's route; zero means
	// unknown.
	Mean time.Duration
	// Capacity is the number of answers per second that the instance gives at its
	// limit; zero means unknown.
	Capacity float64
	// Admits is the position in the shed order of the least urgent class that the host
	// admits now; zero means that it admits all.
	Admits int
	// UpstreamsOnly means that only upstreams call the route of the answered call.
	UpstreamsOnly bool
	// Finishes is the share of the runs of the answered call's route that can finish,
	// because the upstreams that they call have the capacity; zero means all.
	Finishes float64
}

// Sample is the evidence that one call sent to an upstream gives about it.
type Sample struct {
	Took time.Duration
	// Failed means a server error, no answer, or a broken connection.
	Failed bool
	// Lost means that the connection broke before the answer was complete.
	Lost bool
	// Completed means that the upstream ran the call and did not fail it.
	Completed bool
	// Excluded means that the sample is no evidence about the upstream's version.
	Excluded bool
	// Untimed means that Took is no evidence about the version, as in cold start.
	Untimed bool
}

// Answer is the answer of an upstream.
type Answer struct {
	Status int
	Header http.Header
	// Body holds the whole body, or its first bytes.
	Body []byte
	// Rest streams what follows Body; nil if Body is the whole body.
	Rest io.ReadCloser
	// Trailer returns the trailer once the body has been read; it may be nil.
	Trailer func() http.Header
	Outcome Outcome
	// Reason is reported to the caller with the outcome; it is usually empty.
	Reason Reason
	Load   Load
}
