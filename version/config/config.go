// Package config holds the configuration that operators publish: routes, the
// upstreams behind them with their versions, presets, availability zones and tenants.
//
// Validate checks a configuration as a whole: every field, and that each reference
// resolves within the configuration. Diff returns the change between two
// configurations and Apply applies it, so that a record on the log contains only
// the resources that changed.
//
// # Usage
//
//	cfg, err := config.Parse(data)
//	if err != nil {
//		return err // names the key and the line
//	}
//	change := config.Diff(current, cfg)
//	next := config.Apply(current, change)
//	err = next.Validate()
package config

import (
	"slices"
	"time"
)

// Limits of a configuration.
const (
	// MaxNameLength bounds the length of a resource name in bytes.
	MaxNameLength = 63
	// MaxSlots bounds the concurrent requests of an instance.
	MaxSlots = 10_000
	// MaxConnections bounds the connections to an instance.
	MaxConnections = 100_000
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 16
	// MaxAnswerWithin bounds the time limit of a route.
	MaxAnswerWithin = 10 * time.Minute
)

// Config is a whole configuration; the zero value is empty and valid.
type Config struct {
	Zones     []Zone     `toml:"zones" json:"zones,omitempty"`
	Upstreams []Upstream `toml:"upstreams" json:"upstreams,omitempty"`
	Routes    []Route    `toml:"routes" json:"routes,omitempty"`
	Presets   []Preset   `toml:"presets" json:"presets,omitempty"`
	// Tenants are the tenants; if there is one, callers need a key on routes that are
	// not public.
	Tenants []Tenant `toml:"tenants" json:"tenants,omitempty"`
	// Limits bound what callers may send.
	Limits Limits `toml:"limits" json:"limits,omitzero"`
}

// Limits bound the requests and connections of a caller. For a zero field the
// daemon uses its default.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request.
	HeaderBytes int   `toml:"headerBytes" json:"headerBytes,omitempty"`
	BodyBytes   int64 `toml:"bodyBytes" json:"bodyBytes,omitempty"`
	// HeaderWithin bounds the time to read a request header.
	HeaderWithin Duration `toml:"headerWithin" json:"headerWithin,omitempty"`
	// IdleWithin bounds the time that a connection without a request stays open.
	IdleWithin Duration `toml:"idleWithin" json:"idleWithin,omitempty"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `toml:"name" json:"name"`
	Region string `toml:"region" json:"region"`
}

// Upstream is a service that receives requests, with its versions and the limits
// of each of its instances.
type Upstream struct {
	Name string `toml:"name" json:"name"`
	// Announced means that the instances themselves announce their versions and
	// slots. Versions, Active, Slots and ColdSlots are then omitted.
	Announced bool `toml:"announced" json:"announced,omitempty"`
	// Versions lists the names of the versions that may run.
	Versions []string `toml:"versions" json:"versions"`
	// Active is the version that receives traffic outside of a move. For an
	// announced upstream, it is empty until a move is done.
	Active string `toml:"active" json:"active"`
	// Slots is the number of concurrent requests that a warm instance can handle.
	Slots int `toml:"slots" json:"slots"`
	// ColdSlots is the number of concurrent requests that an instance can handle in
	// cold start.
	ColdSlots int `toml:"coldSlots" json:"coldSlots"`
	// Connections is the number of connections that an instance accepts.
	Connections int `toml:"connections" json:"connections"`
	// ColdPerSecond is the number of requests that an instance in cold start can
	// handle in any second; zero means that ColdSlots is the only bound.
	ColdPerSecond float64 `toml:"coldPerSecond" json:"coldPerSecond,omitempty"`
	// HealthPath is the path of the health check of an instance; empty means none.
	HealthPath string `toml:"healthPath" json:"healthPath,omitempty"`
}

// Route sends the requests that match it to an upstream.
type Route struct {
	Name string `toml:"name" json:"name"`
	// Host is the host name that a request must have; empty means any.
	Host string `toml:"host" json:"host,omitempty"`
	// Prefix is the path prefix that a request must have.
	Prefix string `toml:"prefix" json:"prefix"`
	// Methods lists the HTTP methods of the route; empty means all.
	Methods []string `toml:"methods" json:"methods,omitempty"`
	// Upstream receives the requests, unless Backends splits them.
	Upstream string    `toml:"upstream" json:"upstream"`
	Backends []Backend `toml:"backends" json:"backends,omitempty"`
	// Idempotent means that a request may safely be repeated.
	Idempotent bool `toml:"idempotent" json:"idempotent"`
	// Class is the priority class, to which presets refer.
	Class string `toml:"class" json:"class"`
	// AnswerWithin is the time limit for the answer to a request.
	AnswerWithin Duration `toml:"answerWithin" json:"answerWithin"`
	// Internal means that only callers within the mesh can use the route.
	Internal bool `toml:"internal" json:"internal,omitempty"`
	// Objective is the latency objective: an answer within it has the most value.
	// Zero means AnswerWithin.
	Objective Duration `toml:"objective" json:"objective,omitempty"`
	// Attempts bounds the number of instances that may receive one request; zero
	// means the default.
	Attempts int `toml:"attempts" json:"attempts,omitempty"`
	// Public means that callers need no key of a tenant.
	Public bool `toml:"public" json:"public,omitempty"`
}

// Backend is one part of a route that is split between upstreams.
type Backend struct {
	Upstream string  `toml:"upstream" json:"upstream"`
	Weight   float64 `toml:"weight" json:"weight"`
}

// Split returns the upstream for a request of the route, chosen by weight; rnd is
// a random number in [0,1).
func (r Route) Split(rnd float64) string {
	if len(r.Backends) == 0 {
		return r.Upstream
	}
	var sum float64
	for _, b := range r.Backends {
		sum += b.Weight
	}
	at := rnd * sum
	last := r.Backends[0].Upstream
	for _, b := range r.Backends {
		if b.Weight <= 0 {
			continue
		}
		if last = b.Upstream; at < b.Weight {
			break
		}
		at -= b.Weight
	}
	return last
}

// Preset is a named set of policies for a kind of day, such as an ordinary or a
// peak day.
type Preset struct {
	Name string `toml:"name" json:"name"`
	// Shed lists the priority classes in the order in which they are refused
	// under overload.
	Shed []string `toml:"shed" json:"shed,omitempty"`
	// RetryPercent is the share of requests that may be retried, in percent.
	RetryPercent int `toml:"retryPercent" json:"retryPercent"`
	// RetrySlack is the number of requests that all daemons together may retry
	// beyond that share in ten seconds; zero means that each daemon has a fixed
	// number.
	RetrySlack float64 `toml:"retrySlack" json:"retrySlack,omitempty"`
	// CanaryPercent bounds the share of traffic of a new version until there is
	// enough evidence for it, in percent.
	CanaryPercent int `toml:"canaryPercent" json:"canaryPercent"`
}

// Duration is a time.Duration that TOML and JSON encode as text, such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Change is a set of resources to insert or replace and of names to delete.
type Change struct {
	Upserts Config `json:"upserts"`
	Deletes Names  `json:"deletes"`
}

// Names lists resources by kind and name.
type Names struct {
	Zones     []string `json:"zones,omitempty"`
	Upstreams []string `json:"upstreams,omitempty"`
	Routes    []string `json:"routes,omitempty"`
	Presets   []string `json:"presets,omitempty"`
	Tenants   []string `json:"tenants,omitempty"`
}

// Kind is the kind of a resource.
type Kind string

// The kinds of resources.
const (
	KindZone     Kind = "zone"
	KindUpstream Kind = "upstream"
	KindRoute    Kind = "route"
	KindPreset   Kind = "preset"
	KindTenant   Kind = "tenant"
	KindLimits   Kind = "limits"
)

// Key identifies one resource.
type Key struct {
	Kind Kind
	Name string
}

// String returns the kind and the name, separated by a slash.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Keys returns the sorted keys of the resources that the change inserts, replaces
// or deletes.
func (c Change) Keys() []Key {
	var keys []Key
	add := func(kind Kind, names []string) {
		for _, n := range names {
			keys = append(keys, Key{kind, n})
		}
	}
	add(KindZone, append(names(c.Upserts.Zones, zoneName), c.Deletes.Zones...))
	add(KindUpstream, append(names(c.Upserts.Upstreams, upstreamName), c.Deletes.Upstreams...))
	add(KindRoute, append(names(c.Upserts.Routes, routeName), c.Deletes.Routes...))
	add(KindPreset, append(names(c.Upserts.Presets, presetName), c.Deletes.Presets...))
	add(KindTenant, append(names(c.Upserts.Tenants, tenantName), c.Deletes.Tenants...))
	if c.Upserts.Limits != (Limits{}) {
		add(KindLimits, []string{"callers"})
	}
	slices.SortFunc(keys, func(a, b Key) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return slices.Compact(keys)
}

// Empty reports whether the change contains no resource.
func (c Change) Empty() bool { return len(c.Keys()) == 0 }

// Upstream returns the upstream with the given name.
func (c *Config) Upstream(name string) (Upstream, bool) {
	return find(c.Upstreams, upstreamName, name)
}

// Zone returns the availability zone with the given name.
func (c *Config) Zone(name string) (Zone, bool) { return find(c.Zones, zoneName, name) }

// Preset returns the preset with the given name.
func (c *Config) Preset(name string) (Preset, bool) { return find(c.Presets, presetName, name) }

// Route returns the route with the given name.
func (c *Config) Route(name string) (Route, bool) { return find(c.Routes, routeName, name) }

func zoneName(z Zone) string         { return z.Name }
func upstreamName(u Upstream) string { return u.Name }
func routeName(r Route) string       { return r.Name }
func presetName(p Preset) string     { return p.Name }

func names[T any](list []T, name func(T) string) []string {
	out := make([]string, 0, len(list))
	for _, v := range list {
		out = append(out, name(v))
	}
	return out
}

func find[T any](list []T, name func(T) string, want string) (T, bool) {
	for _, v := range list {
		if name(v) == want {
			return v, true
		}
	}
	var zero T
	return zero, false
}
