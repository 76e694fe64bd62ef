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
// On the users' platform, these settings are added:
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
//	applyMs = 2000
//
// Limits on what the daemon reads from the upstream beside it, in bytes, with their
// defaults:
//
//	[answers]
//	headBytes = 65536
//	skippedBytes = 1048576
//	bodyBytes = 134217728
//
// Decisions of load balancing and admission that are off by default, and the reports
// of usage by tenant; see docs/loadAndTenants.md:
//
//	[balancing]
//	loadProbes = true
//	learnCapacity = true
//	callRanks = true
//	returnTimes = true
//	[usage]
//	address = "10.200.0.103:8745"
//	windowSeconds = 5
//	leaseMs = 3000
//	dueSeconds = 10
//	reportsPerSecond = 50
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/instance"
	"github.com/kingcuppitch/kingcuppitch/internal/tomlsource"
	"github.com/rotisserie/eris"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Name identifies the daemon in the mesh.
	Name string `toml:"name"`
	// Region and Zone are the region and the availability zone of the daemon.
	Region string `toml:"region"`
	Zone   string `toml:"zone"`
	// CallerAddress is the HTTP address for callers.
	CallerAddress netip.AddrPort `toml:"callerAddress"`
	// PeerAddress is the address for other daemons and the operators' client.
	PeerAddress netip.AddrPort `toml:"peerAddress"`
	// AdvertiseAddress is the address under which other daemons reach PeerAddress,
	// if it differs, as behind a proxy.
	AdvertiseAddress netip.AddrPort `toml:"advertiseAddress"`
	// AnnounceAddress is the address for announcements of the upstream beside the
	// daemon.
	AnnounceAddress netip.AddrPort `toml:"announceAddress"`
	// MetricsAddress is the address that serves expvar.
	MetricsAddress netip.AddrPort `toml:"metricsAddress"`
	// LogAddress is the address of the platform's log.
	LogAddress netip.AddrPort `toml:"logAddress"`
	// Seeds are the peer addresses of daemons to contact first when joining the mesh.
	Seeds []netip.AddrPort `toml:"seeds"`
	// InternalCallers are the networks from which callers may use internal routes.
	InternalCallers []netip.Prefix `toml:"internalCallers"`
	// Services are the upstreams that callers of this daemon use; empty means all.
	// In a large mesh, the daemon tracks only the members of these upstreams.
	Services []string `toml:"services"`
	// Platform reports whether the daemon runs on the users' platform. LogAddress is
	// then the address of the platform's store.
	Platform bool `toml:"platform"`
	// ReadyAddress is the address where the platform asks whether the daemon accepts
	// new callers.
	ReadyAddress netip.AddrPort `toml:"readyAddress"`
	// Service is the service of the upstream beside the daemon.
	Service string `toml:"service"`
	// UpstreamAddress is the address of the upstream beside the daemon. After a
	// restart, the daemon probes there for the upstream that its peers remember;
	// without the address it waits for the next announcement.
	UpstreamAddress netip.AddrPort `toml:"upstreamAddress"`
	// GraceSeconds is the time between SIGTERM and SIGKILL; zero means that no
	// SIGKILL follows.
	GraceSeconds float64 `toml:"graceSeconds"`
	// Zones maps each availability zone to its region.
	Zones map[string]string `toml:"zones"`
	// Bounds are the limits that all daemons together keep.
	Bounds Bounds `toml:"bounds"`
	// Balancing switches decisions of load balancing and admission on.
	Balancing Balancing `toml:"balancing"`
	// Usage configures the reports of usage by tenant; without an address none is
	// sent.
	Usage Usage `toml:"usage"`
	// Answers limits the size of the upstream's answers.
	Answers Answers `toml:"answers"`
	// MemoryBytes is the memory that the daemon may use; zero means that of the machine.
	MemoryBytes int64 `toml:"memoryBytes"`
	// BodyBytes bounds the memory for the bodies of all requests and answers together;
	// zero means half of MemoryBytes and at most DefaultBodyBytes.
	BodyBytes int64 `toml:"bodyBytes"`
	// LogLevel is trace, debug, info, warn or error; empty means info.
	LogLevel string `toml:"logLevel"`
}

// Fixed holds the settings that take effect only at startup.
type Fixed struct {
	Name, Region, Zone                          string
	Caller, Peer, Announce, Metrics, Ready, Log netip.AddrPort
	// Advertise is the address under which other daemons reach Peer.
	Advertise              netip.AddrPort
	Platform               bool
	Answers                Answers
	ApplyMs                int64
	MemoryBytes, BodyBytes int64
	Balancing              Balancing
	Usage                  Usage
}

// Fixed returns the settings that take effect only at startup.
func (s Settings) Fixed() Fixed {
	return Fixed{
		Name: s.Name, Region: s.Region, Zone: s.Zone, Caller: s.CallerAddress, Peer: s.PeerAddress,
		Announce: s.AnnounceAddress, Metrics: s.MetricsAddress, Ready: s.ReadyAddress, Log: s.LogAddress, Advertise: s.Advertised(), Platform: s.Platform,
		Answers: s.Answers, ApplyMs: s.Bounds.ApplyMs, MemoryBytes: s.MemoryBytes, BodyBytes: s.BodyBytes,
		Balancing: s.Balancing, Usage: s.Usage,
	}
}

// Advertised returns the address under which other daemons reach this one.
func (s Settings) Advertised() netip.AddrPort {
	if s.AdvertiseAddress.IsValid() {
		return s.AdvertiseAddress
	}
	return s.PeerAddress
}

// Bounds are limits guaranteed to the owners of the upstreams. They hold for all
// daemons together.
type Bounds struct {
	// RetryRatio is the largest share of repeated requests among all requests that an
	// upstream receives. RetrySlack is the number of repeated requests allowed in
	// addition.
	RetryRatio float64 `toml:"retryRatio"`
	RetrySlack float64 `toml:"retrySlack"`
	// CanaryShare is the largest share of all requests that may reach a version that
	// is rolled back later, from the order of its move to the end of the move.
	CanaryShare float64 `toml:"canaryShare"`
	// ColdFactor is the allowed ratio of the requests in one second to the announced
	// rate of an instance in cold start; zero means 1.
	ColdFactor float64 `toml:"coldFactor"`
	// ApplyMs is the time in milliseconds in which a confirmed change must be in
	// force on all daemons; zero means the default of control.WithApplyWithin. It
	// takes effect at startup.
	ApplyMs int64 `toml:"applyMs,omitempty"`
}

// Balancing switches decisions of load balancing and admission on. It takes effect at
// startup.
type Balancing struct {
	// LoadProbes makes the entry ask instances for their load.
	LoadProbes bool `toml:"loadProbes"`
	// LearnCapacity makes the host learn how many concurrent requests its upstream
	// handles well.
	LearnCapacity bool `toml:"learnCapacity"`
	// CallRanks gives calls that upstreams make precedence over new work, and makes
	// entries refuse what no instance would admit.
	CallRanks bool `toml:"callRanks"`
	// ReturnTimes makes the entry schedule when refused callers may return.
	ReturnTimes bool `toml:"returnTimes"`
}

// Usage configures the reports of usage by tenant. It takes effect at startup.
type Usage struct {
	// Address is the address of the service that receives the reports.
	Address netip.AddrPort `toml:"address"`
	// WindowSeconds is the length of the time windows that are reported.
	WindowSeconds int64 `toml:"windowSeconds"`
	// LeaseMs is the time in milliseconds for which one daemon holds the duty to
	// report.
	LeaseMs int64 `toml:"leaseMs"`
	// DueSeconds is the time after the end of a window by which its report is due.
	DueSeconds float64 `toml:"dueSeconds"`
	// ReportsPerSecond is the number of calls per second that the service takes from
	// all daemons; zero means no limit.
	ReportsPerSecond float64 `toml:"reportsPerSecond"`
}

// Window returns WindowSeconds as a duration.
func (u Usage) Window() time.Duration { return time.Duration(u.WindowSeconds) * time.Second }

// Lease returns LeaseMs as a duration.
func (u Usage) Lease() time.Duration { return time.Duration(u.LeaseMs) * time.Millisecond }

// Due returns DueSeconds as a duration.
func (u Usage) Due() time.Duration { return time.Duration(u.DueSeconds * float64(time.Second)) }

const (
	// maxWindowSeconds bounds WindowSeconds; the counts of a window are lost when all
	// daemons restart.
	maxWindowSeconds = 3600
	// minLeaseMs and maxLeaseMs bound LeaseMs, in milliseconds. The holder renews the
	// lease several times within it, and each renewal is a write to the store.
	minLeaseMs, maxLeaseMs = 1000, 60_000
)

func (u Usage) check(report func(key, format string, args ...any)) {
	if u == (Usage{}) {
		return
	}
	if !u.Address.IsValid() || u.Address.Port() == 0 || u.Address.Addr().IsUnspecified() {
		report("usage.address", "an IP number and a port are required")
	}
	if n := u.WindowSeconds; n < 1 || n > maxWindowSeconds {
		report("usage.windowSeconds", "%d is not between 1 and %d seconds", n, maxWindowSeconds)
	}
	if n := u.LeaseMs; n < minLeaseMs || n > maxLeaseMs {
		report("usage.leaseMs", "%d is not between %d and %d milliseconds", n, minLeaseMs, maxLeaseMs)
	}
	if u.DueSeconds <= 0 {
		report("usage.dueSeconds", "%v is not positive", u.DueSeconds)
	}
	if u.ReportsPerSecond < 0 {
		report("usage.reportsPerSecond", "%v is negative", u.ReportsPerSecond)
	}
}

// Answers limits what the daemon reads from the upstream, in bytes; zero means the
// default.
type Answers struct {
	// HeadBytes bounds the status line and the headers of an answer.
	HeadBytes int `toml:"headBytes"`
	// SkippedBytes bounds the body of an answer to a request that was given up, which
	// is read only to reach the next answer.
	SkippedBytes int `toml:"skippedBytes"`
	// BodyBytes bounds the body of an answer.
	BodyBytes int64 `toml:"bodyBytes"`
}

// Limits returns the limits for connections to the upstream.
func (a Answers) Limits() instance.Limits {
	return instance.Limits{Head: a.HeadBytes, Skipped: a.SkippedBytes, Body: a.BodyBytes}
}

const (
	// minHeadBytes is the smallest allowed HeadBytes. Servers send about a dozen
	// headers.
	minHeadBytes = 4 << 10
	// maxHeadBytes is the largest allowed HeadBytes. A daemon has hundreds of
	// connections and little memory.
	maxHeadBytes = 1 << 20
)

func (a Answers) check(report func(key, format string, args ...any)) {
	if n := a.HeadBytes; n != 0 && (n < minHeadBytes || n > maxHeadBytes) {
		report("answers.headBytes", "%d is not between %d and %d bytes", n, minHeadBytes, maxHeadBytes)
	}
	if a.SkippedBytes < 0 {
		report("answers.skippedBytes", "%d is negative", a.SkippedBytes)
	}
	if a.BodyBytes < 0 {
		report("answers.bodyBytes", "%d is negative", a.BodyBytes)
	}
}

const (
	// daemonRetryShare is the part of RetryRatio that the daemons use for their own
	// retries. The rest is left for the calls that a repeated request makes, which
	// count as repeated at the service that receives them.
	daemonRetryShare = 0.45
	// coldExcessShare is the part of the excess allowed by ColdFactor that is used.
	// The rest is left for requests that are delayed on the network and arrive
	// together.
	coldExcessShare = 0.8
)

// OwnRetryRatio returns the largest share of requests that the daemons themselves may
// repeat.
func (b Bounds) OwnRetryRatio() float64 { return daemonRetryShare * b.RetryRatio }

// rankedRetryShare replaces daemonRetryShare where the daemons count which runs are
// repeats and subtract the calls of these runs from what they retry themselves; see
// retry.Budget. The rest is left for the time until a daemon knows of repeated runs.
const rankedRetryShare = 0.85

// RankedRetryRatio returns the largest share of requests that the daemons themselves may
// repeat if Balancing.CallRanks is set.
func (b Bounds) RankedRetryRatio() float64 { return rankedRetryShare * b.RetryRatio }

// ColdRate returns the number of requests per second to send to an instance in cold
// start that announced the given rate.
func (b Bounds) ColdRate(announced float64) float64 {
	return announced * (1 + coldExcessShare*(max(1, b.ColdFactor)-1))
}

// ApplyWithin returns ApplyMs as a duration.
func (b Bounds) ApplyWithin() time.Duration { return time.Duration(b.ApplyMs) * time.Millisecond }

// minApplyMs and maxApplyMs bound ApplyMs, in milliseconds. Readers call the log several
// times in this time, and news take some hops to reach all daemons.
const minApplyMs, maxApplyMs = 500, 60_000

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
	if n := b.ApplyMs; n != 0 && (n < minApplyMs || n > maxApplyMs) {
		report("bounds.applyMs", "%d is not between %d and %d milliseconds", n, minApplyMs, maxApplyMs)
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

// Parse reads the settings from TOML and refuses unknown keys. The error joins one
// error for each problem, with its key and line.
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
			// Members gossip the first two addresses to peers, which cannot connect
			// to 0.0.0.0.
			if addr.Addr().IsUnspecified() {
				report(a.key, "%v is not the number of one interface", addr.Addr())
			}
		case "announceAddress":
			// An announcement from elsewhere could replace the upstream. On the
			// platform, only the server beside the daemon can reach the address.
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
		report("zones", "the availability zone of the daemon, %q, is missing", s.Zone)
	}
	if n := s.MemoryBytes; n != 0 && n < minMemoryBytes {
		report("memoryBytes", "%d is less than %d bytes", n, minMemoryBytes)
	}
	if n := s.BodyBytes; n != 0 && n < minBodyBytes {
		report("bodyBytes", "%d is less than %d bytes", n, minBodyBytes)
	}
	if s.GraceSeconds < 0 {
		report("graceSeconds", "%v is negative", s.GraceSeconds)
	}
	s.Bounds.check(report)
	s.Answers.check(report)
	s.Usage.check(report)
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
