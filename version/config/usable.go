package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// MaxTimeout bounds any time limit, so that sums of times cannot overflow.
	MaxTimeout = 24 * time.Hour
	// DefaultConnections is the number of connections to an instance whose upstream
	// names none.
	DefaultConnections = 128
	// maxLimitBytes bounds the limits of callers, so that sums of sizes cannot overflow.
	maxLimitBytes = 1 << 30
	// maxWeight bounds the weight of a backend and the slack of retries.
	maxWeight = 1e9
)

// Usable returns the configuration that a daemon puts in force for c, which another
// system has accepted by rules of its own. Names may have any form. A value that cannot
// be used is replaced by the nearest one that can, and a resource that cannot be used is
// left out; each is reported as a problem. Usable of the result returns it unchanged.
func (c Config) Usable() (usable Config, problems []*Problem) {
	r := repair{}
	usable = Config{Zones: r.zones(c.Zones), Upstreams: r.upstreams(c.Upstreams), Limits: r.limits(c.Limits)}
	for _, rt := range c.Routes {
		r.define(&usable, rt)
	}
	usable.Routes = r.routes(c.Routes)
	usable.Tenants = r.tenants(c.Tenants)
	usable.Presets = r.presets(c.Presets, usable.Routes, usable.Tenants)
	return usable, r.problems
}

// repair collects the problems of a configuration that is made usable.
type repair struct{ problems []*Problem }

func (r *repair) note(kind Kind, name, key, format string, args ...any) {
	r.problems = append(r.problems, &Problem{Kind: kind, Name: name, Key: key, Message: fmt.Sprintf(format, args...)})
}

// clamp returns v, or the nearest bound if v is outside of them. A value that is not a
// number becomes the lower bound.
func clamp[T cmp.Ordered](r *repair, kind Kind, name, key string, v, low, high T) T {
	var bounded T
	switch {
	case cmp.Less(v, low):
		bounded = low
	case v > high:
		bounded = high
	default:
		return v
	}
	r.note(kind, name, key, "%v is not between %v and %v; %v is used", v, low, high, bounded)
	return bounded
}

// first returns the resources whose names are neither empty nor those of earlier ones.
func first[T any](r *repair, kind Kind, list []T, name func(T) string) []T {
	seen := make(map[string]bool, len(list))
	var out []T
	for _, v := range list {
		switch n := name(v); {
		case n == "":
			r.note(kind, n, "", "the name is empty; left out")
		case seen[n]:
			r.note(kind, n, "", "is defined twice; the first definition is used")
		default:
			seen[n] = true
			out = append(out, v)
		}
	}
	return out
}

func (r *repair) zones(list []Zone) []Zone { return first(r, KindZone, list, zoneName) }

func (r *repair) upstreams(list []Upstream) []Upstream {
	var out []Upstream
	for _, u := range first(r, KindUpstream, list, upstreamName) {
		if !u.Announced && (!slices.Contains(u.Versions, u.Active) || u.Slots < 1 || u.ColdSlots < 1 || u.ColdSlots > u.Slots) {
			r.note(KindUpstream, u.Name, "", "its versions or slots cannot be used; left out")
			continue
		}
		u.Slots = clamp(r, KindUpstream, u.Name, "slots", u.Slots, 0, MaxSlots)
		u.ColdSlots = clamp(r, KindUpstream, u.Name, "coldSlots", u.ColdSlots, 0, u.Slots)
		if u.Connections <= 0 {
			u.Connections = max(DefaultConnections, u.Slots)
		}
		u.Connections = clamp(r, KindUpstream, u.Name, "connections", u.Connections, u.Slots, MaxConnections)
		u.ColdPerSecond = clamp(r, KindUpstream, u.Name, "coldPerSecond", u.ColdPerSecond, 0, MaxConnections)
		if u.HealthPath != "" && !strings.HasPrefix(u.HealthPath, "/") {
			r.note(KindUpstream, u.Name, "healthPath", "%q does not start with /; it is added", u.HealthPath)
			u.HealthPath = "/" + u.HealthPath
		}
		out = append(out, u)
	}
	return out
}

// define adds the upstreams of a route that are not defined. Their instances announce
// themselves.
func (r *repair) define(c *Config, rt Route) {
	add := func(name string) {
		if _, ok := c.Upstream(name); ok || name == "" {
			return
		}
		r.note(KindUpstream, name, "", "is not defined, but route %q uses it; the instances that announce it receive its requests", rt.Name)
		c.Upstreams = append(c.Upstreams, Upstream{Name: name, Announced: true, Connections: DefaultConnections})
	}
	if len(rt.Backends) == 0 {
		add(rt.Upstream)
	}
	for _, b := range rt.Backends {
		add(b.Upstream)
	}
}

// routes returns the routes that can be used. Of several that match the same requests,
// the first is used.
func (r *repair) routes(list []Route) []Route {
	matches := make(map[string]string)
	var out []Route
	for _, rt := range list {
		rt, ok := r.route(rt)
		if !ok {
			continue
		}
		keys := rt.matchKeys()
		if i := slices.IndexFunc(keys, func(k string) bool { _, taken := matches[k]; return taken }); i >= 0 {
			r.note(KindRoute, rt.Name, "prefix", "matches the same requests as route %q, which is used", matches[keys[i]])
			continue
		}
		for _, k := range keys {
			matches[k] = rt.Name
		}
		out = append(out, rt)
	}
	return out
}

// route returns a route that can be used, or false if there is none.
func (r *repair) route(rt Route) (Route, bool) {
	note := func(key, format string, args ...any) { r.note(KindRoute, rt.Name, key, format, args...) }
	if !strings.HasPrefix(rt.Prefix, "/") {
		note("prefix", "%q does not start with /; it is added", rt.Prefix)
		rt.Prefix = "/" + rt.Prefix
	}
	for _, m := range rt.Methods {
		if !isMethod(m) {
			note("methods", "%q is not an upper-case HTTP method; the route is left out", m)
			return rt, false
		}
	}
	rt.Backends = r.backends(rt)
	if rt.Upstream == "" && len(rt.Backends) == 0 {
		// Without the route, its requests could match one with a shorter prefix.
		note("upstream", "no upstream is named; its requests are refused")
	}
	rt.Attempts = clamp(r, KindRoute, rt.Name, "attempts", rt.Attempts, 0, MaxAttempts)
	rt.Objective = Duration(clamp(r, KindRoute, rt.Name, "objective", time.Duration(rt.Objective), 0, MaxTimeout))
	rt.AnswerWithin = Duration(clamp(r, KindRoute, rt.Name, "answerWithin", time.Duration(rt.AnswerWithin), time.Millisecond, MaxTimeout))
	return rt, true
}

// backends returns the backends of a route with weights that are not negative, or none if
// the weights add up to nothing.
func (r *repair) backends(rt Route) []Backend {
	var out []Backend
	var sum float64
	for _, b := range rt.Backends {
		if b.Upstream == "" {
			r.note(KindRoute, rt.Name, "backends", "one without an upstream is left out")
			continue
		}
		b.Weight = clamp(r, KindRoute, rt.Name, "backends", b.Weight, 0, maxWeight)
		sum += b.Weight
		out = append(out, b)
	}
	if len(out) > 0 && sum == 0 {
		r.note(KindRoute, rt.Name, "backends", "the weights add up to nothing; they are left out")
		return nil
	}
	return out
}

// presets returns presets that can be used, at least one if there are routes.
func (r *repair) presets(list []Preset, routes []Route, tenants []Tenant) []Preset {
	classes := make(map[string]bool)
	for _, rt := range routes {
		classes[rt.Class] = true
	}
	for _, t := range tenants {
		classes[t.Class] = true
	}
	out := first(r, KindPreset, list, presetName)
	for i := range out {
		p := &out[i]
		var shed []string
		for _, class := range p.Shed {
			if classes[class] && !slices.Contains(shed, class) {
				shed = append(shed, class)
			}
		}
		p.Shed = shed
		p.RetrySlack = clamp(r, KindPreset, p.Name, "retrySlack", p.RetrySlack, 0, maxWeight)
		p.RetryPercent = clamp(r, KindPreset, p.Name, "retryPercent", p.RetryPercent, 0, 100)
		p.CanaryPercent = clamp(r, KindPreset, p.Name, "canaryPercent", p.CanaryPercent, 0, 100)
	}
	if len(out) == 0 && len(routes) > 0 {
		r.note(KindPreset, "default", "", "no preset is defined; one without retries is used")
		out = []Preset{{Name: "default"}}
	}
	return out
}

func (r *repair) limits(l Limits) Limits {
	l.HeaderBytes = clamp(r, KindLimits, "callers", "headerBytes", l.HeaderBytes, 0, maxLimitBytes)
	l.BodyBytes = clamp(r, KindLimits, "callers", "bodyBytes", l.BodyBytes, 0, maxLimitBytes)
	l.HeaderWithin = Duration(clamp(r, KindLimits, "callers", "headerWithin", time.Duration(l.HeaderWithin), 0, MaxTimeout))
	l.IdleWithin = Duration(clamp(r, KindLimits, "callers", "idleWithin", time.Duration(l.IdleWithin), 0, MaxTimeout))
	return l
}
