// Package upstream is a stand-in for an upstream instance: an HTTP/1.1 server
// with bounded slots and connections, cold start, load shedding, drain and
// faults that are set over HTTP while it runs.
//
// An instance announces itself to the daemon beside it once per second with
// POST http://<announce address>/announce and the JSON of Announcement; the
// daemon answers 204.
//
// It answers each request with the JSON of Answer and echoes the header
// Request-Id. GET /health is a probe. The query parameter workMs sets the
// processing time of a request in milliseconds, and size adds that many bytes to
// its answer.
//
// The admin address serves:
//
//	GET /faults, PUT /faults   see Faults; a PUT replaces all faults
//	GET /runs                  see Runs
//	GET /stats                 see Stats
//	POST /drain                announces draining; requests are still served
//	POST /crash                see Faults.CrashBody
//	POST /silence              open connections stop answering; new ones work
//	POST /cold                 returns to cold start
//
// # Usage
//
//	in := upstream.NewInstance(
//		upstream.WithIdentity("booking-1", "booking", "v1"),
//		upstream.WithAddress(netip.MustParseAddrPort("127.0.0.1:8080")),
//		upstream.WithAnnounce(netip.MustParseAddrPort("127.0.0.1:7403")),
//	)
//	go http.Serve(adminListener, in.Admin())
//	err := in.Run(ctx) // drains and returns when ctx ends
package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/kingcuppitch/kingcuppitch/standin/logservice"
)

// Costs and intervals of an instance.
const (
	// ConnectionCost is the time to accept a connection. Connections are accepted
	// one at a time.
	ConnectionCost = time.Millisecond
	// ProbeCost is how long GET /health occupies a slot.
	ProbeCost = 6 * time.Millisecond
	// AnnounceEvery is the interval between announcements.
	AnnounceEvery = time.Second
)

const (
	// overloadDuration is how long an instance overloaded in cold start answers
	// every request with 503.
	overloadDuration = 300 * time.Millisecond
	// overloadDelay is how long an overloaded instance takes to answer 503.
	overloadDelay = 30 * time.Millisecond
	// coldFactor multiplies the processing time of requests above coldSlots in
	// cold start.
	coldFactor = 5
	// swapTimeout is how long a crossed answer waits for another one.
	swapTimeout = 250 * time.Millisecond
	// maxBody is the maximum size of a request body in bytes. It is above
	// request.MaxBody, so that a request that the mesh should have refused is
	// detected.
	maxBody = 4 << 20
	// maxSize is the maximum of the query parameter size in bytes.
	maxSize = 64 << 20
)

// State is the state that an instance announces.
type State string

// The states of an instance.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Draining State = "draining"
)

// Announcement is the body of POST /announce.
type Announcement struct {
	Service     string         `json:"service"`
	Version     string         `json:"version"`
	Address     netip.AddrPort `json:"address"`
	Incarnation uint64         `json:"incarnation"`
	State       State          `json:"state"`
}

// Answer is the body of the answer to a request.
type Answer struct {
	Method      string `json:"method"`
	Path        string `json:"path"` // with the query
	BodyHash    string `json:"bodyHash"`
	Instance    string `json:"instance"`
	Version     string `json:"version"`
	RequestID   string `json:"requestId"`
	Incarnation uint64 `json:"incarnation"`
	Padding     string `json:"padding,omitempty"`
}

// Hash returns the hash that an Answer carries for a request body.
func Hash(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// Check returns an error unless data is the complete answer to the request
// with the given method, path and body.
func Check(data []byte, method, path string, body []byte) error {
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return fmt.Errorf("answer to %s %s: %w", method, path, err)
	}
	if a.Method != method || a.Path != path || a.BodyHash != Hash(body) {
		return fmt.Errorf("answer to %s %s with body hash %s is for %s %s with body hash %s",
			method, path, Hash(body), a.Method, a.Path, a.BodyHash)
	}
	return nil
}

// Faults are the faults in force; the zero value means none. ErrorRatio and
// LatencyMs apply only to requests that meet the conditions PathPrefix,
// AboveInFlight and AfterMs.
type Faults struct {
	// ErrorRatio is the share of requests that run and are then answered with 500.
	ErrorRatio logservice.Share `json:"errorRatio"`
	// LatencyMs is added to the processing time of a share LatencyRatio of the
	// requests, or of all requests if LatencyRatio is zero.
	LatencyMs    int              `json:"latencyMs"`
	LatencyRatio logservice.Share `json:"latencyRatio"`
	// PathPrefix restricts errors and latency to paths with this prefix.
	PathPrefix string `json:"pathPrefix"`
	// AboveInFlight restricts errors and latency to times with more than this
	// many requests in flight.
	AboveInFlight int `json:"aboveInFlight"`
	// AfterMs delays errors and latency by this many milliseconds from when the
	// faults are set.
	AfterMs int64 `json:"afterMs"`
	// HealthStatus, if not zero, is the status of GET /health regardless of the
	// state of the instance.
	HealthStatus int `json:"healthStatus"`
	// Crossed is the share of requests whose answers, including the header
	// Request-Id, are swapped in pairs.
	Crossed logservice.Share `json:"crossed"`
	// Truncated is the share of answers that are cut off after half of their length.
	Truncated logservice.Share `json:"truncated"`
	// Late is the share of answers that are delayed by LateMs after the work,
	// regardless of the deadline of the request.
	Late   logservice.Share `json:"late"`
	LateMs int              `json:"lateMs"`
	// CrashBody crashes the instance when it runs a request whose body
	// contains this text. A crash resets all connections and refuses new ones
	// for CrashForMs. Then the instance restarts with a new incarnation in cold
	// start. With WithExit the process exits instead.
	CrashBody  string `json:"crashBody"`
	CrashForMs int    `json:"crashForMs"`
}

// Run counts the runs of requests with the same key or body.
type Run struct {
	Started   int `json:"started"`
	Completed int `json:"completed"`
}

// Runs holds the runs since the start of the process, including those before a
// simulated crash.
type Runs struct {
	// Keys is indexed by Idempotency-Key, and Bodies by the Hash of non-empty bodies.
	Keys   map[string]Run `json:"keys"`
	Bodies map[string]Run `json:"bodies"`
}

// Stats counts requests and connections since the start of the process.
type Stats struct {
	State       State  `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Cold        bool   `json:"cold"`
	InFlight    int    `json:"inFlight"`
	MaxInFlight int    `json:"maxInFlight"`
	// MaxCold is the maximum number of requests in flight during cold start.
	MaxCold     int   `json:"maxCold"`
	Requests    int64 `json:"requests"`
	Started     int64 `json:"started"`
	Completed   int64 `json:"completed"`
	Shed        int64 `json:"shed"`
	FellOver    int64 `json:"fellOver"`
	Cancelled   int64 `json:"cancelled"`
	Probes      int64 `json:"probes"`
	Crashes     int64 `json:"crashes"`
	Connections int64 `json:"connections"`
	// Open counts the open connections, and RefusedConnections those refused
	// because of the limit on connections.
	Open               int       `json:"open"`
	RefusedConnections int64     `json:"refusedConnections"`
	LastRequestAt      time.Time `json:"lastRequestAt"`
	DrainingSince      time.Time `json:"drainingSince"`
}

// Instance is one upstream instance.
type Instance interface {
	// Run serves requests and announces the instance until ctx ends, then drains
	// it. It returns when no request has arrived for the quiet time and none is in
	// flight.
	Run(ctx context.Context) error
	// Admin returns the handler for the admin address.
	Admin() http.Handler
	SetFaults(f Faults)
	Runs() Runs
	Stats() Stats
}

// Option sets an option of an instance.
type Option func(*instance)

// WithIdentity sets the name of the instance, its service and version.
func WithIdentity(name, service, version string) Option {
	return func(in *instance) { in.name, in.service, in.version = name, service, version }
}

// WithAddress sets the address to serve on.
func WithAddress(addr netip.AddrPort) Option { return func(in *instance) { in.address = addr } }

// WithAnnounce sets the announce address of the daemon; without it the
// instance does not announce itself.
func WithAnnounce(addr netip.AddrPort) Option { return func(in *instance) { in.announce = addr } }

// WithCapacity sets the number of requests that the instance serves concurrently
// when warm and in cold start, and the maximum number of connections.
func WithCapacity(slots, coldSlots, connections int) Option {
	return func(in *instance) { in.slots, in.coldSlots, in.connections = slots, coldSlots, connections }
}

// WithStart sets how long the instance announces Starting, and how long it is in
// cold start after that.
func WithStart(startFor, coldFor time.Duration) Option {
	return func(in *instance) { in.startFor, in.coldFor = startFor, coldFor }
}

// WithWork sets the default processing time of a request.
func WithWork(d time.Duration) Option { return func(in *instance) { in.work = d } }

// WithQuiet sets the time without a new request after which a drain ends.
func WithQuiet(d time.Duration) Option { return func(in *instance) { in.quiet = d } }

// WithExit makes a crash call exit with the exit code of the process. exit must not
// return.
func WithExit(exit func(code int)) Option { return func(in *instance) { in.exit = exit } }

// WithSeed sets the seed for the random choice of the requests that faults apply to.
func WithSeed(seed uint64) Option { return func(in *instance) { in.seed = seed } }

// WithLogger sets the logger.
func WithLogger(l hclog.Logger) Option { return func(in *instance) { in.log = l } }
