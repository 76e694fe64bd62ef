package config

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/kingcuppitch/kingcuppitch/internal/tomlsource"
	"github.com/rotisserie/eris"
)

// Problem is one error in a configuration.
type Problem struct {
	// Line is the line in the file, counted from 1; zero means unknown.
	Line int `json:"line,omitempty"`
	// Kind and Name identify the resource; both may be empty.
	Kind Kind   `json:"kind,omitempty"`
	Name string `json:"name,omitempty"`
	// Key is the key within the resource, or the path of the key in the file if
	// the resource is unknown.
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// Error implements error.
func (p *Problem) Error() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	switch {
	case p.Kind != "":
		fmt.Fprintf(&b, "%s %q: ", p.Kind, p.Name)
		if p.Key != "" {
			b.WriteString(p.Key + ": ")
		}
	case p.Key != "":
		fmt.Fprintf(&b, "key %q: ", p.Key)
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems returns the problems that err joins or wraps. Those of Parse are in the
// order of the file.
func Problems(err error) []*Problem {
	if p, ok := err.(*Problem); ok { //nolint:errorlint // the cases below unwrap
		return []*Problem{p}
	}
	switch u := err.(type) { //nolint:errorlint // the cases below unwrap
	case interface{ Unwrap() error }:
		return Problems(u.Unwrap())
	case interface{ Unwrap() []error }:
		var list []*Problem
		for _, e := range u.Unwrap() {
			list = append(list, Problems(e)...)
		}
		return list
	}
	return nil
}

// Parse reads a configuration in TOML and validates it. The resources keep the
// order of the file. The error joins all problems, each a *Problem with its key
// and, if known, its line.
func Parse(data []byte) (cfg Config, err error) {
	defer func() { err = eris.Wrap(err, "parse configuration") }()
	lines, err := tomlsource.Decode(data, &cfg)
	var found []*Problem
	for _, p := range tomlsource.Problems(err) {
		found = append(found, &Problem{Line: p.Line, Key: p.Key, Message: p.Message})
	}
	if err != nil && len(found) == 0 {
		return Config{}, err
	}
	if err == nil || tomlsource.OnlyUnknown(err) {
		for _, f := range cfg.problems() {
			f.problem.Line = lines.Line(f.path())
			found = append(found, &f.problem)
		}
	}
	if len(found) > 0 {
		slices.SortStableFunc(found, func(a, b *Problem) int { return cmp.Compare(a.Line, b.Line) })
		return Config{}, joinProblems(found)
	}
	return cfg, nil
}

// Validate checks every field and that all references resolve within c. The
// error joins all problems, each a *Problem.
func (c Config) Validate() error {
	var found []*Problem
	for _, f := range c.problems() {
		found = append(found, &f.problem)
	}
	return joinProblems(found)
}

func joinProblems(list []*Problem) error {
	errs := make([]error, 0, len(list))
	for _, p := range list {
		errs = append(errs, p)
	}
	return errors.Join(errs...)
}

// indexedProblem is a problem with the index of its resource among those of its
// kind.
type indexedProblem struct {
	problem Problem
	index   int
}

// path returns the path of the problem's key in a file.
func (p *indexedProblem) path() string {
	if p.problem.Kind == "" {
		return p.problem.Key
	}
	return fmt.Sprintf("%ss[%d].%s", p.problem.Kind, p.index, cmp.Or(p.problem.Key, "name"))
}

// report adds a problem of one resource; an empty key stands for its name.
type report func(key, format string, args ...any)

func (c Config) problems() (list []*indexedProblem) {
	reporter := func(kind Kind, name string, index int) report {
		return func(key, format string, args ...any) {
			list = append(list, &indexedProblem{Problem{Kind: kind, Name: name, Key: key, Message: fmt.Sprintf(format, args...)}, index})
		}
	}
	reportDuplicates(KindZone, names(c.Zones, zoneName), reporter)
	reportDuplicates(KindUpstream, names(c.Upstreams, upstreamName), reporter)
	reportDuplicates(KindRoute, names(c.Routes, routeName), reporter)
	reportDuplicates(KindPreset, names(c.Presets, presetName), reporter)
	reportDuplicates(KindTenant, names(c.Tenants, tenantName), reporter)
	for i, z := range c.Zones {
		z.check(reporter(KindZone, z.Name, i))
	}
	upstreams := make(map[string]bool, len(c.Upstreams))
	for i, u := range c.Upstreams {
		upstreams[u.Name] = true
		u.check(reporter(KindUpstream, u.Name, i))
	}
	classes := make(map[string]bool)
	matches := make(map[string]string)
	for i, r := range c.Routes {
		classes[r.Class] = true
		report := reporter(KindRoute, r.Name, i)
		r.check(upstreams, report)
		for _, m := range r.matchKeys() {
			if other, ok := matches[m]; ok {
				report("prefix", "matches the same requests as route %q", other)
			}
			matches[m] = r.Name
		}
	}
	holders := make(map[string]string)
	for i, t := range c.Tenants {
		classes[t.Class] = true
		t.check(holders, reporter(KindTenant, t.Name, i))
	}
	for i, p := range c.Presets {
		p.check(classes, reporter(KindPreset, p.Name, i))
	}
	if len(c.Routes) > 0 && len(c.Presets) == 0 {
		list = append(list, &indexedProblem{problem: Problem{Key: "presets", Message: "no preset is defined"}})
	}
	return list
}

func reportDuplicates(kind Kind, list []string, reporter func(Kind, string, int) report) {
	seen := make(map[string]bool, len(list))
	for i, n := range list {
		if seen[n] {
			reporter(kind, n, i)("", "is defined twice")
		}
		seen[n] = true
	}
}

// firstDuplicate returns the first element that equals an earlier one.
func firstDuplicate(list []string) (string, bool) {
	for i, s := range list {
		if slices.Contains(list[:i], s) {
			return s, true
		}
	}
	return "", false
}

func (z Zone) check(report report) {
	if msg := checkName(z.Name); msg != "" {
		report("", "%s", msg)
	}
	if msg := checkName(z.Region); msg != "" {
		report("region", "%s", msg)
	}
}

func (u Upstream) check(report report) {
	if msg := checkName(u.Name); msg != "" {
		report("", "%s", msg)
	}
	if len(u.Versions) == 0 && !u.Announced {
		report("versions", "at least one is required")
	}
	for _, v := range u.Versions {
		if msg := checkName(v); msg != "" {
			report("versions", "%s", msg)
		}
	}
	if v, ok := firstDuplicate(u.Versions); ok {
		report("versions", "%q is listed twice", v)
	}
	if !u.Announced && !slices.Contains(u.Versions, u.Active) {
		report("active", "version %q is not listed in versions", u.Active)
	}
	if u.Slots < 1 && !u.Announced || u.Slots > MaxSlots {
		report("slots", "%d is not between 1 and %d", u.Slots, MaxSlots)
	}
	if u.ColdPerSecond < 0 {
		report("coldPerSecond", "%v is negative", u.ColdPerSecond)
	}
	if u.HealthPath != "" && !strings.HasPrefix(u.HealthPath, "/") {
		report("healthPath", "%q does not start with /", u.HealthPath)
	}
	if u.ColdSlots < 1 && !u.Announced || u.ColdSlots > u.Slots {
		report("coldSlots", "%d is not between 1 and slots (%d)", u.ColdSlots, u.Slots)
	}
	if u.Connections < u.Slots || u.Connections > MaxConnections {
		report("connections", "%d is not between slots (%d) and %d", u.Connections, u.Slots, MaxConnections)
	}
}

func (r Route) check(upstreams map[string]bool, report report) {
	if msg := checkName(r.Name); msg != "" {
		report("", "%s", msg)
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		report("prefix", "%q does not start with /", r.Prefix)
	case strings.ContainsAny(r.Prefix, "?# \t"):
		// A path never contains these characters, so the route would match no
		// request.
		report("prefix", "%q has a character that is not part of a path", r.Prefix)
	}
	for _, m := range r.Methods {
		if !isMethod(m) {
			report("methods", "%q is not an upper-case HTTP method", m)
		}
	}
	if m, ok := firstDuplicate(r.Methods); ok {
		report("methods", "%q is listed twice", m)
	}
	if len(r.Backends) == 0 && !upstreams[r.Upstream] {
		report("upstream", "%q is not defined", r.Upstream)
	}
	r.checkBackends(upstreams, report)
	if r.Attempts < 0 || r.Attempts > MaxAttempts {
		report("attempts", "%d is not between 0 and %d", r.Attempts, MaxAttempts)
	}
	if r.Objective < 0 {
		report("objective", "%v is negative", time.Duration(r.Objective))
	}
	if msg := checkName(r.Class); msg != "" {
		report("class", "%s", msg)
	}
	if d := time.Duration(r.AnswerWithin); d < time.Millisecond || d > MaxAnswerWithin {
		report("answerWithin", "%v is not between 1ms and %v", d, MaxAnswerWithin)
	}
}

func (r Route) checkBackends(upstreams map[string]bool, report report) {
	var sum float64
	for _, b := range r.Backends {
		if !upstreams[b.Upstream] {
			report("backends", "upstream %q is not defined", b.Upstream)
		}
		if b.Weight < 0 {
			report("backends", "weight %v of upstream %q is negative", b.Weight, b.Upstream)
		}
		sum += b.Weight
	}
	if len(r.Backends) > 0 && !(sum > 0) {
		report("backends", "the weights add up to nothing")
	}
}

func isMethod(m string) bool {
	for _, r := range m {
		if r < 'A' || r > 'Z' {
			return false
		}
	}
	return m != "" && m != http.MethodConnect
}

func (r Route) matchKeys() []string {
	if len(r.Methods) == 0 {
		return []string{"* " + r.Host + r.Prefix}
	}
	keys := make([]string, 0, len(r.Methods))
	for _, m := range r.Methods {
		keys = append(keys, m+" "+r.Host+r.Prefix)
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

func (p Preset) check(classes map[string]bool, report report) {
	if msg := checkName(p.Name); msg != "" {
		report("", "%s", msg)
	}
	for _, class := range p.Shed {
		if !classes[class] {
			report("shed", "no route has class %q", class)
		}
	}
	if class, ok := firstDuplicate(p.Shed); ok {
		report("shed", "%q is listed twice", class)
	}
	if p.RetrySlack < 0 {
		report("retrySlack", "%v is negative", p.RetrySlack)
	}
	if p.RetryPercent < 0 || p.RetryPercent > 100 {
		report("retryPercent", "%d is not between 0 and 100", p.RetryPercent)
	}
	if p.CanaryPercent < 0 || p.CanaryPercent > 100 {
		report("canaryPercent", "%d is not between 0 and 100", p.CanaryPercent)
	}
}

func checkName(s string) string {
	if s == "" {
		return "name is empty"
	}
	if len(s) > MaxNameLength {
		return fmt.Sprintf("name %q is longer than %d bytes", s, MaxNameLength)
	}
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '.' {
			return fmt.Sprintf("name %q has characters other than letters, digits, '-' and '.'", s)
		}
	}
	return ""
}
