package config

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Parse reads a configuration in TOML and validates it. Unknown keys are
// refused with their name and line.
func Parse(data []byte) (cfg Config, err error) {
	defer func() { err = eris.Wrap(err, "parse configuration") }()
	dec := toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields()
	if err = dec.Decode(&cfg); err != nil {
		return Config{}, decodeError(err)
	}
	cfg = Apply(Config{}, Change{Upserts: cfg.checkedCopy(&err)})
	if err != nil {
		return Config{}, err
	}
	return cfg, cfg.Validate()
}

// checkedCopy reports duplicate names, which Apply would silently merge.
func (c Config) checkedCopy(err *error) Config {
	*err = errors.Join(
		duplicates(KindZone, names(c.Zones, zoneName)),
		duplicates(KindUpstream, names(c.Upstreams, upstreamName)),
		duplicates(KindRoute, names(c.Routes, routeName)),
		duplicates(KindPreset, names(c.Presets, presetName)),
	)
	return c
}

func duplicates(kind Kind, list []string) error {
	seen := make(map[string]bool, len(list))
	for _, n := range list {
		if seen[n] {
			return fmt.Errorf("%s %q is defined twice", kind, n)
		}
		seen[n] = true
	}
	return nil
}

func decodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var msgs []error
		for _, e := range strict.Errors {
			row, _ := e.Position()
			msgs = append(msgs, fmt.Errorf("line %d: unknown key %q", row, strings.Join(e.Key(), ".")))
		}
		return errors.Join(msgs...)
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, _ := dec.Position()
		return fmt.Errorf("line %d: key %q: %w", row, strings.Join(dec.Key(), "."), dec)
	}
	return err
}

// Validate checks every field and that all references resolve within c.
func (c Config) Validate() error {
	var errs []error
	report := func(kind Kind, name, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s %q: %s", kind, name, fmt.Sprintf(format, args...)))
	}
	for _, z := range c.Zones {
		if msg := checkName(z.Name); msg != "" {
			report(KindZone, z.Name, "%s", msg)
		}
		if msg := checkName(z.Region); msg != "" {
			report(KindZone, z.Name, "region: %s", msg)
		}
	}
	for _, u := range c.Upstreams {
		for _, msg := range u.problems() {
			report(KindUpstream, u.Name, "%s", msg)
		}
	}
	classes := make(map[string]bool)
	matches := make(map[string]string)
	for _, r := range c.Routes {
		classes[r.Class] = true
		for _, msg := range r.problems(&c) {
			report(KindRoute, r.Name, "%s", msg)
		}
		for _, m := range r.matchKeys() {
			if other, ok := matches[m]; ok {
				report(KindRoute, r.Name, "matches the same requests as route %q", other)
			}
			matches[m] = r.Name
		}
	}
	for _, p := range c.Presets {
		for _, msg := range p.problems(classes) {
			report(KindPreset, p.Name, "%s", msg)
		}
	}
	if len(c.Routes) > 0 && len(c.Presets) == 0 {
		errs = append(errs, errors.New("no preset is defined"))
	}
	return errors.Join(errs...)
}

func (u Upstream) problems() (msgs []string) {
	if msg := checkName(u.Name); msg != "" {
		msgs = append(msgs, msg)
	}
	if len(u.Versions) == 0 {
		msgs = append(msgs, "versions: at least one is required")
	}
	for _, v := range u.Versions {
		if msg := checkName(v); msg != "" {
			msgs = append(msgs, "versions: "+msg)
		}
	}
	if !slices.Contains(u.Versions, u.Active) {
		msgs = append(msgs, fmt.Sprintf("active: version %q is not listed in versions", u.Active))
	}
	if u.Slots < 1 || u.Slots > MaxSlots {
		msgs = append(msgs, fmt.Sprintf("slots: %d is not between 1 and %d", u.Slots, MaxSlots))
	}
	if u.ColdSlots < 1 || u.ColdSlots > u.Slots {
		msgs = append(msgs, fmt.Sprintf("coldSlots: %d is not between 1 and slots (%d)", u.ColdSlots, u.Slots))
	}
	if u.Connections < u.Slots || u.Connections > MaxConnections {
		msgs = append(msgs, fmt.Sprintf("connections: %d is not between slots (%d) and %d", u.Connections, u.Slots, MaxConnections))
	}
	return msgs
}

func (r Route) problems(c *Config) (msgs []string) {
	if msg := checkName(r.Name); msg != "" {
		msgs = append(msgs, msg)
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		msgs = append(msgs, fmt.Sprintf("prefix: %q does not start with /", r.Prefix))
	}
	for _, m := range r.Methods {
		if m == "" || strings.ToUpper(m) != m || m == http.MethodConnect {
			msgs = append(msgs, fmt.Sprintf("methods: %q is not an upper-case HTTP method", m))
		}
	}
	if _, ok := c.Upstream(r.Upstream); !ok {
		msgs = append(msgs, fmt.Sprintf("upstream: %q is not defined", r.Upstream))
	}
	if msg := checkName(r.Class); msg != "" {
		msgs = append(msgs, "class: "+msg)
	}
	if d := time.Duration(r.AnswerWithin); d < time.Millisecond || d > MaxAnswerWithin {
		msgs = append(msgs, fmt.Sprintf("answerWithin: %v is not between 1ms and %v", d, MaxAnswerWithin))
	}
	return msgs
}

func (r Route) matchKeys() []string {
	if len(r.Methods) == 0 {
		return []string{"* " + r.Prefix}
	}
	keys := make([]string, 0, len(r.Methods))
	for _, m := range r.Methods {
		keys = append(keys, m+" "+r.Prefix)
	}
	return keys
}

func (p Preset) problems(classes map[string]bool) (msgs []string) {
	if msg := checkName(p.Name); msg != "" {
		msgs = append(msgs, msg)
	}
	for _, class := range p.Shed {
		if !classes[class] {
			msgs = append(msgs, fmt.Sprintf("shed: no route has class %q", class))
		}
	}
	if p.RetryPercent < 0 || p.RetryPercent > 100 {
		msgs = append(msgs, fmt.Sprintf("retryPercent: %d is not between 0 and 100", p.RetryPercent))
	}
	if p.CanaryPercent < 0 || p.CanaryPercent > 100 {
		msgs = append(msgs, fmt.Sprintf("canaryPercent: %d is not between 0 and 100", p.CanaryPercent))
	}
	return msgs
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
