// Package upstream is a stand-in for an upstream instance: an HTTP/1.1 server
// with bounded slots and connections, cold start, load shedding, drain and
// faults that are switched over HTTP while it runs.
//
// An instance announces itself to the daemon beside it each second with
// POST http://<announce address>/announce and the JSON of Announcement; the
// daemon answers 204.
//
// It answers each request with the JSON of Answer and echoes the header
// Request-Id. GET /health is a probe. The query parameter workMs sets the work
// of one request in milliseconds, and size adds that many bytes to its answer.
//
// The admin address serves:
//
//	GET /faults, PUT /faults   see Faults; a PUT replaces all faults
//	GET /runs                  see Runs
//	GET /stats                 see Stats
//	POST /drain                announces draining; requests are still served
//	POST /crash                see Faults.CrashBody
//	POST /silence              open connections never answer again; new ones do
//	POST /cold                 falls back into cold start
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

// Costs of an instance and times of its behaviour.
const (
	// ConnectionCost is the time that a new connection takes; connections are
	// accepted one after the other.
	ConnectionCost = time.Millisecond
	// ProbeCost is the time that GET /health occupies a slot.
	ProbeCost = 6 * time.Millisecond
	// AnnounceEvery is the period of announcements.
	AnnounceEvery = time.Second
)

const (
	// fallFor is how long an instance that fell over answers nothing but 503.
	fallFor = 300 * time.Millisecond
	// fallenDelay is the time that a fallen instance takes for its 503.
	fallenDelay = 30 * time.Millisecond
	// coldFactor multiplies the work of a request above coldSlots.
	coldFactor = 5
	// crossWait is how long a crossed answer waits for another to swap with.
	crossWait = 250 * time.Millisecond
	// maxBody bounds the body of a request; it is above request.MaxBody, so
	// that a request that the mesh should have refused shows.
	maxBody = 4 << 20
	// maxSize bounds the query parameter size.
	maxSize = 64 << 20
)

// State is what an instance announces.
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

// Answer is the body of an answer.
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
// LatencyMs apply to requests that match all of PathPrefix, AboveInFlight and
// AfterMs.
type Faults struct {
	// ErrorRatio is the share of requests that run and then answer 500.
	ErrorRatio logservice.Share `json:"errorRatio"`
	// LatencyMs is added to the work of LatencyRatio of the requests, or of
	// all if LatencyRatio is zero.
	LatencyMs    int              `json:"latencyMs"`
	LatencyRatio logservice.Share `json:"latencyRatio"`
	// PathPrefix limits errors and latency to paths with this prefix.
	PathPrefix string `json:"pathPrefix"`
	// AboveInFlight limits them to times with more requests in flight.
	AboveInFlight int `json:"aboveInFlight"`
	// AfterMs limits them to the time from this many milliseconds after the
	// faults were set.
	AfterMs int64 `json:"afterMs"`
	// HealthStatus is the status that GET /health answers, whatever is true.
	HealthStatus int `json:"healthStatus"`
	// Crossed is the share of requests whose whole answers, with the header
	// Request-Id, are swapped in pairs.
	Crossed logservice.Share `json:"crossed"`
	// Truncated is the share of answers that end after half of their length.
	Truncated logservice.Share `json:"truncated"`
	// Late is the share of answers that are held for LateMs after the work,
	// whatever the deadline of the request.
	Late   logservice.Share `json:"late"`
	LateMs int              `json:"lateMs"`
	// CrashBody crashes the instance when it runs a request whose body
	// contains the text. A crash resets all connections and refuses new ones
	// for CrashForMs, then the instance returns with a new incarnation and
	// cold; with WithExit the process ends instead.
	CrashBody  string `json:"crashBody"`
	CrashForMs int    `json:"crashForMs"`
}

// Run counts the runs of requests with one key or body.
type Run struct {
	Started   int `json:"started"`
	Completed int `json:"completed"`
}

// Runs holds the runs since the start of the process, across crashes within it.
type Runs struct {
	// Keys is by Idempotency-Key, Bodies by Hash of bodies that are not empty.
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
	// MaxCold is the highest number of requests in flight in cold start.
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
	// Open and RefusedConnections are for the bound on connections.
	Open               int       `json:"open"`
	RefusedConnections int64     `json:"refusedConnections"`
	LastRequestAt      time.Time `json:"lastRequestAt"`
	DrainingSince      time.Time `json:"drainingSince"`
}

// Instance is one upstream instance.
type Instance interface {
	// Run serves and announces until ctx ends, then drains: it returns when no
	// request has arrived for the quiet time and none is in flight.
	Run(ctx context.Context) error
	// Admin returns the handler of the admin address.
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

// WithCapacity sets the concurrent requests that the instance bears when warm
// and when cold, and the number of connections.
func WithCapacity(slots, coldSlots, connections int) Option {
	return func(in *instance) { in.slots, in.coldSlots, in.connections = slots, coldSlots, connections }
}

// WithStart sets how long the instance announces starting, and how long it is
// cold from then on.
func WithStart(startFor, coldFor time.Duration) Option {
	return func(in *instance) { in.startFor, in.coldFor = startFor, coldFor }
}

// WithWork sets the work of a request.
func WithWork(d time.Duration) Option { return func(in *instance) { in.work = d } }

// WithQuiet sets the time without a new request after which a drain ends.
func WithQuiet(d time.Duration) Option { return func(in *instance) { in.quiet = d } }

// WithExit makes a crash call exit, which must not return.
func WithExit(exit func(code int)) Option { return func(in *instance) { in.exit = exit } }

// WithSeed sets the seed of the choice of faulty requests.
func WithSeed(seed uint64) Option { return func(in *instance) { in.seed = seed } }

// WithLogger sets the logger.
func WithLogger(l hclog.Logger) Option { return func(in *instance) { in.log = l } }
