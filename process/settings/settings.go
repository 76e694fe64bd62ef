// Package settings reads and checks the TOML settings of a daemon.
//
// # Usage
//
//	s, err := settings.Load("kingcuppitchd.toml")
//	if err != nil {
//		return err // names the key and the line
//	}
//
// A settings file:
//
//	name = "booking-1"
//	region = "nl-west"
//	zone = "nl-west-a"
//	callerAddress = "127.0.0.1:7401"
//	peerAddress = "127.0.0.1:7402"
//	announceAddress = "127.0.0.1:7403"
//	metricsAddress = "127.0.0.1:7404"
//	logAddress = "127.0.0.1:7400"
//	seeds = ["127.0.0.1:7412"]
//	internalCallers = ["127.0.0.0/8"]
//	logLevel = "info"
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Name identifies the daemon in the mesh.
	Name string `toml:"name"`
	// Region and Zone say where the daemon runs.
	Region string `toml:"region"`
	Zone   string `toml:"zone"`
	// CallerAddress serves callers over HTTP.
	CallerAddress netip.AddrPort `toml:"callerAddress"`
	// PeerAddress serves other daemons and the operators' client.
	PeerAddress netip.AddrPort `toml:"peerAddress"`
	// AnnounceAddress takes the announcements of the upstream beside the daemon.
	AnnounceAddress netip.AddrPort `toml:"announceAddress"`
	// MetricsAddress serves expvar.
	MetricsAddress netip.AddrPort `toml:"metricsAddress"`
	// LogAddress is the address of the platform's log.
	LogAddress netip.AddrPort `toml:"logAddress"`
	// Seeds are peer addresses of daemons to start from.
	Seeds []netip.AddrPort `toml:"seeds"`
	// InternalCallers are the networks that may use internal routes.
	InternalCallers []netip.Prefix `toml:"internalCallers"`
	// Services are the upstreams that callers of this daemon call; empty means
	// all. A daemon of a large mesh follows only the members of these.
	Services []string `toml:"services"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `toml:"logLevel"`
}

// Load reads the settings from a file.
func Load(path string) (s Settings, err error) {
	defer func() { err = eris.Wrapf(err, "settings %s", path) }()
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return Settings{}, err
	}
	return Parse(data)
}

// Parse reads the settings from TOML; unknown keys are refused.
func Parse(data []byte) (s Settings, err error) {
	dec := toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields()
	if err = dec.Decode(&s); err != nil {
		return Settings{}, describe(err)
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	return s, s.check(string(data))
}

func describe(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var errs []error
		for _, e := range strict.Errors {
			row, _ := e.Position()
			errs = append(errs, fmt.Errorf("line %d: unknown key %q", row, strings.Join(e.Key(), ".")))
		}
		return errors.Join(errs...)
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, _ := dec.Position()
		return fmt.Errorf("line %d: key %q: %w", row, strings.Join(dec.Key(), "."), dec)
	}
	return err
}

// check reports all problems together, each with its key and line.
func (s *Settings) check(text string) error {
	var errs []error
	report := func(key, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%skey %q: %s", lineOf(text, key), key, fmt.Sprintf(format, args...)))
	}
	for key, v := range map[string]string{"name": s.Name, "region": s.Region, "zone": s.Zone} {
		if v == "" {
			report(key, "is required")
		}
	}
	own := []struct {
		key  string
		addr netip.AddrPort
	}{
		{"callerAddress", s.CallerAddress},
		{"peerAddress", s.PeerAddress},
		{"announceAddress", s.AnnounceAddress},
		{"metricsAddress", s.MetricsAddress},
	}
	seen := make(map[netip.AddrPort]string)
	for _, a := range own {
		switch other, dup := seen[a.addr]; {
		case !a.addr.IsValid() || a.addr.Port() == 0:
			report(a.key, "an IP number and a port are required")
		case dup:
			report(a.key, "has the same address as %q", other)
		}
		seen[a.addr] = a.key
	}
	if !s.LogAddress.IsValid() || s.LogAddress.Port() == 0 {
		report("logAddress", "an IP number and a port are required")
	} else if other, dup := seen[s.LogAddress]; dup {
		report("logAddress", "has the same address as %q", other)
	}
	for _, a := range s.Seeds {
		if !a.IsValid() || a.Port() == 0 {
			report("seeds", "%v is not an IP number and a port", a)
		}
	}
	switch s.LogLevel {
	case "trace", "debug", "info", "warn", "error":
	default:
		report("logLevel", "%q is not trace, debug, info, warn or error", s.LogLevel)
	}
	return errors.Join(errs...)
}

func lineOf(text, key string) string {
	for i, line := range strings.Split(text, "\n") {
		name, _, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(name) == key {
			return fmt.Sprintf("line %d: ", i+1)
		}
	}
	return ""
}
