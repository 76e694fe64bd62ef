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

	"github.com/kingcuppitch/kingcuppitch/internal/tomlsource"
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

// Parse reads the settings from TOML; unknown keys are refused. The error joins
// one error for each fault, with its key and line.
func Parse(data []byte) (s Settings, err error) {
	lines, err := tomlsource.Decode(data, &s)
	if err != nil && !tomlsource.OnlyUnknown(err) {
		return Settings{}, err
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if err = errors.Join(err, s.check(lines)); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// check reports all problems together, each with its key and line.
func (s *Settings) check(lines tomlsource.Lines) error {
	var errs []error
	report := func(key, format string, args ...any) {
		errs = append(errs, lines.Problem(key, format, args...))
	}
	for _, v := range []struct{ key, value string }{{"name", s.Name}, {"region", s.Region}, {"zone", s.Zone}} {
		if v.value == "" {
			report(v.key, "is required")
		}
	}
	addresses := []struct {
		key  string
		addr netip.AddrPort
	}{
		{"callerAddress", s.CallerAddress},
		{"peerAddress", s.PeerAddress},
		{"announceAddress", s.AnnounceAddress},
		{"metricsAddress", s.MetricsAddress},
		{"logAddress", s.LogAddress},
	}
	seen := make(map[netip.AddrPort]string)
	for _, a := range addresses {
		if !a.addr.IsValid() || a.addr.Port() == 0 {
			report(a.key, "an IP number and a port are required")
			continue
		}
		// 127.0.0.1 and ::ffff:127.0.0.1 are the same address.
		addr := netip.AddrPortFrom(a.addr.Addr().Unmap(), a.addr.Port())
		if other, ok := seen[addr]; ok {
			report(a.key, "has the same address as %q", other)
		} else {
			seen[addr] = a.key
		}
		switch a.key {
		case "callerAddress", "peerAddress", "logAddress":
			// Members send the first two to each other, and 0.0.0.0 reaches
			// nobody.
			if addr.Addr().IsUnspecified() {
				report(a.key, "%v is not the number of one interface", addr.Addr())
			}
		case "announceAddress":
			// An announcement from elsewhere could replace the upstream.
			if !addr.Addr().IsLoopback() {
				report(a.key, "%v is not a loopback address", addr.Addr())
			}
		}
	}
	for i, a := range s.Seeds {
		if !a.IsValid() || a.Port() == 0 || a.Addr().IsUnspecified() {
			report(fmt.Sprintf("seeds[%d]", i), "an IP number and a port are required")
		}
	}
	for i, p := range s.InternalCallers {
		if !p.IsValid() {
			report(fmt.Sprintf("internalCallers[%d]", i), "a network such as 10.0.0.0/8 is required")
		}
	}
	switch s.LogLevel {
	case "trace", "debug", "info", "warn", "error":
	default:
		report("logLevel", "%q is not trace, debug, info, warn or error", s.LogLevel)
	}
	return errors.Join(errs...)
}
