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
//
// On the users' platform there are also:
//
//	platform = true
//	readyAddress = "10.1.0.38:8141"
//	service = "booking"
//	graceSeconds = 6.0
//	[zones]
//	nl-west-a = "nl-west"
//	[bounds]
//	retryRatio = 0.2
//	canaryShare = 0.1
//	coldFactor = 1.5
//
// What is read of the upstream beside the daemon is bounded; these are the defaults,
// in bytes:
//
//	[answers]
//	headBytes = 65536
//	skippedBytes = 1048576
//	bodyBytes = 134217728
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/kingcuppitch/kingcuppitch/connection/instance"
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
	// AdvertiseAddress is where other daemons reach PeerAddress, if that differs,
	// as behind a proxy.
	AdvertiseAddress netip.AddrPort `toml:"advertiseAddress"`
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
	// Platform says that the daemon runs on the users' platform, whose store is
	// at LogAddress.
	Platform bool `toml:"platform"`
	// ReadyAddress tells the platform whether the daemon takes new callers.
	ReadyAddress netip.AddrPort `toml:"readyAddress"`
	// Service is the service of the upstream beside the daemon.
	Service string `toml:"service"`
	// UpstreamAddress is where the upstream beside the daemon serves. A daemon that
	// starts again asks there for the upstream that its peers remember; without
	// the address it waits for the next announcement.
	UpstreamAddress netip.AddrPort `toml:"upstreamAddress"`
	// GraceSeconds is the time between SIGTERM and SIGKILL; zero means that
	// nobody kills the daemon.
	GraceSeconds float64 `toml:"graceSeconds"`
	// Zones gives the region of each availability zone.
	Zones map[string]string `toml:"zones"`
	// Bounds hold for all daemons together.
	Bounds Bounds `toml:"bounds"`
	// Answers bounds the answers of the upstream.
	Answers Answers `toml:"answers"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `toml:"logLevel"`
}

// Fixed holds the settings that take effect at the start only.
type Fixed struct {
	Name, Region, Zone                          string
	Caller, Peer, Announce, Metrics, Ready, Log netip.AddrPort
	// Advertise is where other daemons reach Peer.
	Advertise netip.AddrPort
	Platform  bool
	Answers   Answers
}

// Fixed returns the settings that take effect at the start only.
func (s Settings) Fixed() Fixed {
	return Fixed{
		Name: s.Name, Region: s.Region, Zone: s.Zone, Caller: s.CallerAddress, Peer: s.PeerAddress,
		Announce: s.AnnounceAddress, Metrics: s.MetricsAddress, Ready: s.ReadyAddress, Log: s.LogAddress, Advertise: s.Advertised(), Platform: s.Platform,
		Answers: s.Answers,
	}
}

// Advertised returns the address at which other daemons reach this one.
func (s Settings) Advertised() netip.AddrPort {
	if s.AdvertiseAddress.IsValid() {
		return s.AdvertiseAddress
	}
	return s.PeerAddress
}

// Bounds are promised to the owners of the upstreams for all daemons together.
type Bounds struct {
	// RetryRatio is the largest share of repeated requests among those that an
	// upstream receives, beside RetrySlack of them.
	RetryRatio float64 `toml:"retryRatio"`
	RetrySlack float64 `toml:"retrySlack"`
	// CanaryShare is the largest share of all requests that may reach a version
	// that is rolled back, between the order of its move and the end.
	CanaryShare float64 `toml:"canaryShare"`
	// ColdFactor is the factor by which the requests of a second may exceed the
	// announced rate of an instance in cold start; zero means 1.
	ColdFactor float64 `toml:"coldFactor"`
}

// Answers bounds what is read of the upstream, in bytes; zero means the default.
type Answers struct {
	// HeadBytes bounds the status line and the headers of an answer.
	HeadBytes int `toml:"headBytes"`
	// SkippedBytes bounds the body of an answer to a request that was given up.
	SkippedBytes int `toml:"skippedBytes"`
	// BodyBytes bounds the body of an answer.
	BodyBytes int64 `toml:"bodyBytes"`
}

// Limits returns the bounds for connections to the upstream.
func (a Answers) Limits() instance.Limits {
	return instance.Limits{Head: a.HeadBytes, Skipped: a.SkippedBytes, Body: a.BodyBytes}
}

const (
	// minAnswerHead is the least bound on a head: servers send a dozen headers.
	minAnswerHead = 4 << 10
	// maxAnswerHead is the largest one. A daemon has hundreds of connections and little
	// memory.
	maxAnswerHead = 1 << 20
)

func (a Answers) check(report func(key, format string, args ...any)) {
	if n := a.HeadBytes; n != 0 && (n < minAnswerHead || n > maxAnswerHead) {
		report("answers.headBytes", "%d is not between %d and %d bytes", n, minAnswerHead, maxAnswerHead)
	}
	if a.SkippedBytes < 0 {
		report("answers.skippedBytes", "%d is negative", a.SkippedBytes)
	}
	if a.BodyBytes < 0 {
		report("answers.bodyBytes", "%d is negative", a.BodyBytes)
	}
}

const (
	// ownRetries is the part of the allowed ratio of repeated requests that the
	// daemons use themselves. The calls that a repeated request makes count as
	// repeated too at the service that it calls.
	ownRetries = 0.45
	// coldUse is the part of the excess allowed in cold start that is used. The rest
	// is for requests that are delayed on their way and arrive together.
	coldUse = 0.8
)

// OwnRetryRatio returns the largest share of requests that the daemons repeat.
func (b Bounds) OwnRetryRatio() float64 { return ownRetries * b.RetryRatio }

// ColdRate returns the requests a second that an instance in cold start is given
// which announced the given rate.
func (b Bounds) ColdRate(announced float64) float64 {
	return announced * (1 + coldUse*(max(1, b.ColdFactor)-1))
}

func (b Bounds) check(report func(key, format string, args ...any)) {
	for _, v := range []struct {
		key   string
		value float64
	}{{"bounds.retryRatio", b.RetryRatio}, {"bounds.canaryShare", b.CanaryShare}} {
		if v.value < 0 || v.value > 1 {
			report(v.key, "%v is not between 0 and 1", v.value)
		}
	}
	if b.ColdFactor < 0 || b.ColdFactor > 10 {
		report("bounds.coldFactor", "%v is not between 0 and 10", b.ColdFactor)
	}
	if b.RetrySlack < 0 {
		report("bounds.retrySlack", "%v is negative", b.RetrySlack)
	}
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
			// An announcement from elsewhere could replace the upstream. On the
			// platform, only the server beside the daemon reaches the address.
			if !s.Platform && !addr.Addr().IsLoopback() {
				report(a.key, "%v is not a loopback address", addr.Addr())
			}
		}
	}
	if a := s.UpstreamAddress; a.IsValid() && (a.Port() == 0 || a.Addr() != s.CallerAddress.Addr()) {
		report("upstreamAddress", "%v is not on the instance of the daemon", a)
	}
	if a := s.AdvertiseAddress; a.IsValid() && (a.Port() == 0 || a.Addr().IsUnspecified()) {
		report("advertiseAddress", "%v cannot be reached by other daemons", a)
	}
	if s.Platform && (!s.ReadyAddress.IsValid() || s.ReadyAddress.Port() == 0) {
		report("readyAddress", "an IP number and a port are required on the platform")
	}
	if s.Platform && s.Service == "" {
		report("service", "is required on the platform")
	}
	if _, ok := s.Zones[s.Zone]; s.Platform && !ok {
		report("zones", "the own availability zone %q is missing", s.Zone)
	}
	if s.GraceSeconds < 0 {
		report("graceSeconds", "%v is negative", s.GraceSeconds)
	}
	s.Bounds.check(report)
	s.Answers.check(report)
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
	for i, name := range s.Services {
		if name == "" {
			report(fmt.Sprintf("services[%d]", i), "the name of an upstream is required")
		}
	}
	switch s.LogLevel {
	case "trace", "debug", "info", "warn", "error":
	default:
		report("logLevel", "%q is not trace, debug, info, warn or error", s.LogLevel)
	}
	return errors.Join(errs...)
}
