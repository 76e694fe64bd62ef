// Package daemon assembles the parts of kingcuppitchd and runs them from start
// to graceful shutdown.
//
// # Usage
//
//	d := daemon.New(s, logger)
//	err := d.Run(ctx) // ends after ctx is cancelled and all calls are answered
package daemon

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/kingcuppitch/kingcuppitch/connection/caller"
	"github.com/kingcuppitch/kingcuppitch/connection/listener"
	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"github.com/kingcuppitch/kingcuppitch/connection/probe"
	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/process/decision"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/metrics"
	"github.com/kingcuppitch/kingcuppitch/process/settings"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/process/usage"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
	"github.com/kingcuppitch/kingcuppitch/request/dependency"
	"github.com/kingcuppitch/kingcuppitch/request/entry"
	"github.com/kingcuppitch/kingcuppitch/request/host"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/rotisserie/eris"
)

const (
	// leaveDelay is the time between announcing to peers that the daemon leaves and
	// closing its listeners. Entries learn of it within a few hundred milliseconds.
	// Idle connections of callers are closed with an answer.
	leaveDelay = 2 * time.Second
	// shutdownTimeout bounds a graceful shutdown, and answerTimeout the time until all
	// requests of callers are answered.
	shutdownTimeout = 30 * time.Second
	answerTimeout   = 28 * time.Second
	// hostLeaveDelay is the time between announcing to peers that the upstream must
	// not be used and closing the listeners. The change reaches all daemons within a
	// few hundred milliseconds. A call that still arrives later is refused as not run.
	hostLeaveDelay = 800 * time.Millisecond
	// controlStopTimeout bounds the stop of the control plane after all calls are
	// answered.
	controlStopTimeout = 150 * time.Millisecond
	// graceDelayPercent, graceAnswerPercent and graceTimeoutPercent replace leaveDelay,
	// answerTimeout and shutdownTimeout if a grace period is set, as percentages of that
	// period. The platform sends callers elsewhere after two readiness checks that are
	// one second apart.
	graceDelayPercent   = 45
	graceAnswerPercent  = 85
	graceTimeoutPercent = 90
	// readHeaderTimeout bounds the time to read a request header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long a connection may stay idle.
	idleTimeout = 2 * time.Minute
	// readTimeout bounds reading a whole request for an announcement, for readiness
	// or for metrics.
	readTimeout = 10 * time.Second
	// maxHeaderBytes bounds request headers.
	maxHeaderBytes = 64 << 10
	// maxForwardedHeaderBytes bounds the headers of a forwarded call. HTTP/2 counts
	// 32 bytes more for each field, so a header that a caller may send can count for
	// more than seven times its length.
	maxForwardedHeaderBytes = 8 * maxHeaderBytes
)

// Platform connects a daemon to the users' platform. It replaces the daemon's own
// interfaces to the log and the upstream.
type Platform interface {
	Log() log.Log
	Outcomes() control.Outcomes
	Directory() control.Directory
	// Headers returns the header names that callers and upstreams use.
	Headers() request.Headers
	// Announcements serves the announcements of the upstream beside the daemon.
	Announcements(a Announcer) http.Handler
	// Readiness serves whether the daemon accepts new callers.
	Readiness(ready func() bool) http.Handler
	// Reload applies changed settings.
	Reload(s settings.Settings)
	// SetMetrics makes the platform count in the given set.
	SetMetrics(set *metrics.Set)
	// UsageTopic keeps the lease of the usage reports.
	UsageTopic() usage.Topic
	// UsageService returns the client of the usage service at an address.
	UsageService(addr netip.AddrPort) usage.Service
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithPlatform connects the daemon to the users' platform.
func WithPlatform(p Platform) Option { return func(d *Daemon) { d.platform = p } }

// limiter limits the requests to the upstream beside the daemon.
type limiter interface {
	host.Limiter
	// setBounds sets the limits from the configuration and the announcement.
	setBounds(u config.Upstream, a *Announcement)
	// restarted tells the limiter that the upstream has restarted.
	restarted(now time.Time)
	// setRateLimit sets the limit of requests per second that the upstream named before
	// it answered a request.
	setRateLimit(now time.Time, perSecond float64)
}

// configuredLimiter uses the limits of the configuration.
type configuredLimiter struct{ admission.Limiter }

func (c *configuredLimiter) setBounds(u config.Upstream, _ *Announcement) {
	c.SetLimits(admission.Limits{Slots: u.Slots, ColdSlots: u.ColdSlots})
}

func (c *configuredLimiter) restarted(now time.Time) { c.Restarted(now) }

func (c *configuredLimiter) setRateLimit(time.Time, float64) {}

// announcedLimiter uses the slots and the cold start that the upstream announces.
type announcedLimiter struct{ admission.Gate }

func (b *announcedLimiter) setBounds(u config.Upstream, a *Announcement) {
	b.SetBounds(admission.Bounds{Slots: a.Slots, ColdUntil: a.ColdUntil, ColdPerSecond: u.ColdPerSecond})
}

func (b *announcedLimiter) restarted(time.Time) { b.Restarted() }

func (b *announcedLimiter) setRateLimit(now time.Time, perSecond float64) {
	b.SetRateLimit(now, perSecond)
}

// Daemon is one kingcuppitchd process.
type Daemon struct {
	// settings are the settings at the start, currentSettings the last loaded ones.
	settings        settings.Settings
	currentSettings atomic.Pointer[settings.Settings]
	logger          hclog.Logger
	metrics         *metrics.Set
	events          *timeline.Timeline
	// decisions logs the decisions on requests.
	decisions *decision.Log
	control   control.Control
	platform  Platform
	limiter   limiter
	host      *host.Host
	entry     *entry.Entry
	leaving   atomic.Bool
	// incarnation is the last announced incarnation of the upstream.
	incarnation atomic.Uint64
	// announced is the last announcement of the upstream.
	announced  atomic.Pointer[Announcement]
	zoneReturn zoneReturn
	// announceMu serializes announcements and the results of health probes.
	announceMu sync.Mutex
	// probing is set while replaceIfServing probes an upstream.
	probing atomic.Bool
	// unconfirmedUntil is until when the first announced upstream stays unused
	// unless it confirms its health; announceMu guards it.
	unconfirmedUntil time.Time
	callers          *caller.Server
	servers          []*server
	watch            *watch
	// probes is nil unless the settings ask for load probes and the socket is bound.
	probes *probe.Socket
	// usage reports the requests of tenants; it may be nil.
	usage *usage.Agent
}

// server is a server on one address.
type server struct {
	httpServer
	name     string
	listener net.Listener
}

type httpServer interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
}

// New returns a daemon that is not started.
func New(s settings.Settings, logger hclog.Logger, opts ...Option) *Daemon {
	d := &Daemon{
		settings: s, logger: logger, metrics: new(metrics.Set),
		events: &timeline.Timeline{Name: s.Name, Zone: s.Zone}, limiter: new(configuredLimiter),
	}
	d.currentSettings.Store(&s)
	for _, opt := range opts {
		opt(d)
	}
	d.decisions = decision.New(logger)
	d.watch = d.newWatch()
	d.events.Notify = d.logEvent
	d.metrics.AddProcessMetrics()
	internal := s.InternalCallers
	if len(internal) == 0 {
		internal = []netip.Prefix{netip.PrefixFrom(s.CallerAddress.Addr(), s.CallerAddress.Addr().BitLen())}
	}
	controlOpts := []control.Option{
		control.WithSelf(membership.Member{
			Name: s.Name, Region: s.Region, Zone: s.Zone, Peer: s.Advertised(), Caller: s.CallerAddress,
			State: membership.Starting, Incarnation: uint64(time.Now().UnixNano()), //nolint:gosec // after 1970
		}),
		control.WithSeeds(s.Seeds...),
		control.WithServices(s.Services...),
		control.WithApplyWithin(s.Bounds.ApplyWithin()),
		control.WithMetrics(d.metrics),
		control.WithTimeline(d.events),
		control.WithViewObserver(d.applyLimits),
		control.WithWarning(d.warning),
		control.WithLogger(newSlog(logger.Named("actor"))),
	}
	headers := request.DefaultHeaders
	if p := d.platform; p != nil {
		headers = p.Headers()
		p.SetMetrics(d.metrics)
		announced := new(announcedLimiter)
		if s.Balancing.LearnCapacity {
			announced.LearnCapacity()
		}
		d.limiter = announced
		controlOpts = append(controlOpts, control.WithLog(p.Log()), control.WithOutcomes(p.Outcomes()),
			control.WithDirectory(p.Directory()), control.WithCompactedLog())
	} else {
		controlOpts = append(controlOpts, control.WithLog(log.NewHTTPLog(s.LogAddress)))
	}
	d.control = control.New(controlOpts...)
	buffers := request.NewBuffers(s.BodyMemory())
	d.metrics.Gauge("bodies.bytes", func() any { return buffers.Used() })
	d.metrics.Gauge("bodies.refused", func() any { return buffers.Refused() })
	d.usage = d.newUsage()
	hostOpts := append(d.usageOptions(), host.WithMetrics(d.metrics), host.WithObserver(d.control.Recorder()),
		host.WithHeaders(headers), host.WithDecisions(d.decisions), host.WithUnreachable(d.upstreamUnreachable),
		host.WithLeaving(d.upstreamLeaving), host.WithBuffers(buffers),
		host.WithAnswerLimits(s.Answers.Limits()))
	entryOpts := []entry.Option{
		entry.WithName(s.Name), entry.WithMetrics(d.metrics), entry.WithInternalCallers(internal...),
		entry.WithHeaders(headers), entry.WithService(s.Service), entry.WithDecisions(d.decisions),
		entry.WithBuffers(buffers),
	}
	if d.platform == nil {
		entryOpts = append(entryOpts, entry.WithClaims(d.control.Claims()))
	}
	if s.Balancing.CallRanks {
		learner := new(dependency.Learner)
		hostOpts = append(hostOpts, host.WithCallRanks(learner))
		entryOpts = append(entryOpts, entry.WithCallRanks(learner))
	}
	d.host = host.New(d.control, d.limiter, hostOpts...)
	if s.Balancing.ReturnTimes {
		entryOpts = append(entryOpts, entry.WithReturnTimes())
	}
	d.entry = entry.New(d.control, d.host, entryOpts...)
	return d
}

// logEvent logs an event of the timeline.
func (d *Daemon) logEvent(e timeline.Event) {
	d.logger.Info(e.Detail, "kind", e.Kind, "version", e.Version)
}

// Run serves until ctx is cancelled, then shuts down without interrupting a call.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = eris.Wrapf(err, "daemon %s", d.settings.Name) }()
	if err = d.listen(); err != nil {
		return err
	}
	failed := make(chan error, len(d.servers))
	for _, s := range d.servers {
		go func() {
			if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- eris.Wrapf(err, "serve %s", s.name)
			}
		}()
	}
	if d.probes != nil {
		go d.probes.Serve()
	}
	d.control.Start()
	if d.usage != nil {
		d.usage.Start()
	}
	if d.platform != nil && d.settings.UpstreamAddress.IsValid() {
		go d.restoreFromPeers(ctx)
	}
	d.events.Add(time.Now(), timeline.KindStart, 0, "daemon started")
	stalled := make(chan error, 1)
	go func() {
		if err := d.watch.run(ctx); err != nil {
			stalled <- err
		}
	}()
	select {
	case <-ctx.Done():
	case err = <-failed:
	case err = <-stalled:
		// A graceful shutdown would wait for the part that stands still.
		return err
	}
	return errors.Join(err, d.shutdown())
}

// Reload applies changed settings. Changes of the settings in settings.Fixed take
// effect at the next start.
func (d *Daemon) Reload(s settings.Settings) {
	old := d.currentSettings.Swap(&s)
	d.logger.SetLevel(hclog.LevelFromString(s.LogLevel))
	d.entry.SetService(s.Service)
	if d.platform != nil {
		d.platform.Reload(s)
	}
	if s.Fixed() != old.Fixed() {
		d.logger.Warn("settings that are read only at startup have changed; restart the daemon to apply them")
	}
}

// listen opens all listeners, so that an address in use is reported at startup.
func (d *Daemon) listen() (err error) {
	path, ctl := d.control.Handler()
	peers := http.NewServeMux()
	peers.Handle(path, ctl)
	d.handleUsage(peers)
	peers.HandleFunc("GET "+entry.ExplainPath, d.entry.ServeExplanation)
	var announce http.Handler = http.HandlerFunc(d.serveAnnouncement)
	if d.platform != nil {
		announce = d.platform.Announcements(d)
	}
	vars := http.NewServeMux()
	vars.Handle("GET /debug/vars", d.metrics)
	d.callers = &caller.Server{
		Handler: d.entry, Limits: d.callerLimits, Logger: d.logger, MaxConns: maxCallerConns(d.settings.Memory()),
		Refuse: http.HandlerFunc(d.entry.RefuseConnection), Count: d.metrics.Add,
	}
	d.addDescriptorMetrics()
	list := []server{
		{name: "callers", httpServer: d.callers},
		{name: "announcements", httpServer: d.newShortServer("announcements", announce)},
		{name: "metrics", httpServer: d.newShortServer("metrics", vars)},
		{name: "peers", httpServer: d.newPeerServer(d.withForwarding(peers))},
	}
	addrs := map[string]netip.AddrPort{
		"callers": d.settings.CallerAddress, "announcements": d.settings.AnnounceAddress,
		"metrics": d.settings.MetricsAddress, "peers": d.settings.PeerAddress, "readiness": d.settings.ReadyAddress,
	}
	if d.platform != nil {
		list = append(list, server{name: "readiness", httpServer: d.newShortServer("readiness", d.platform.Readiness(d.Ready))})
	}
	for _, s := range list {
		if s.listener, err = listen(context.Background(), addrs[s.name].String()); err != nil {
			for _, open := range d.servers {
				_ = open.listener.Close()
			}
			return eris.Wrapf(err, "listen for %s", s.name)
		}
		d.servers = append(d.servers, &s)
	}
	d.listenForProbes()
	return nil
}

// patientServer is a server of net/http that goes on after accepts that fail for a while.
type patientServer struct {
	*http.Server
	accepts listener.Listener
}

// Serve implements httpServer.
func (s *patientServer) Serve(l net.Listener) error {
	s.accepts.Listener = l
	return s.Server.Serve(&s.accepts)
}

// newServer returns a server of net/http with a bound on its connections.
func (d *Daemon) newServer(name string, h http.Handler, headerBytes int, maxConns func() int) *patientServer {
	bound := &connBound{max: maxConns, closed: func() { d.metrics.Add(name+".connectionsClosed", 1) }}
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: d.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}), ConnState: bound.observe,
	}
	return &patientServer{Server: srv, accepts: listener.Listener{Name: name, Logger: d.logger, Count: d.metrics.Add}}
}

// newShortServer returns a server for short requests, with a read timeout.
func (d *Daemon) newShortServer(name string, h http.Handler) *patientServer {
	s := d.newServer(name, h, maxHeaderBytes, fixed(maxShortConns))
	s.ReadTimeout = readTimeout
	return s
}

func (d *Daemon) newPeerServer(h http.Handler) *patientServer {
	s := d.newServer("peers", h, maxForwardedHeaderBytes, maxPeerConns)
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// callerLimits returns the limits on caller connections from the configuration, with
// defaults for limits that are not set.
func (d *Daemon) callerLimits() caller.Limits {
	l := d.control.Snapshot().State.Config.Limits
	return caller.Limits{
		HeaderBytes:  cmp.Or(l.HeaderBytes, maxHeaderBytes),
		HeaderWithin: cmp.Or(time.Duration(l.HeaderWithin), readHeaderTimeout),
		IdleWithin:   cmp.Or(time.Duration(l.IdleWithin), idleTimeout),
	}
}

// Ready reports whether the daemon accepts new callers.
func (d *Daemon) Ready() bool {
	return !d.leaving.Load() && d.control.Snapshot().Serving && d.watch.healthy()
}

// withForwarding serves forwarded calls and passes all other requests to next.
// Forwarded calls bypass http.ServeMux, which redirects a path such as /a//b.
func (d *Daemon) withForwarding(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, host.ForwardPrefix) {
			d.host.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// removeFromDirectory removes the daemon from the directory, where daemons that know
// no peer look one up. If that fails, the stale entry costs other daemons a failed call.
func (d *Daemon) removeFromDirectory(ctx context.Context) {
	if err := d.platform.Directory().Remove(ctx, d.settings.Name); err != nil {
		d.logger.Warn("failed to remove the daemon from the directory", "error", err)
	}
}

// shutdown leaves the mesh, waits for the calls in flight and stops.
func (d *Daemon) shutdown() error {
	d.events.Add(time.Now(), timeline.KindStop, 0, "daemon is leaving")
	began := time.Now()
	delay, answer, timeout := leaveDelay, answerTimeout, shutdownTimeout
	if grace := time.Duration(d.currentSettings.Load().GraceSeconds * float64(time.Second)); grace > 0 {
		delay, answer, timeout = grace*graceDelayPercent/100, grace*graceAnswerPercent/100, grace*graceTimeoutPercent/100
	}
	d.entry.Leave(began.Add(answer))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	d.leaving.Store(true)
	go d.leaveUsage()
	d.callers.DisableKeepAlives()
	if d.platform != nil {
		// The platform first sends new callers elsewhere. Meanwhile the upstream,
		// which may keep running, continues to serve other daemons.
		go d.removeFromDirectory(ctx)
		hostDelay := min(hostLeaveDelay, delay)
		time.Sleep(delay - hostDelay)
		delay = hostDelay
	}
	d.control.Leave()
	time.Sleep(delay)
	// The server for callers stops first, because its calls may still need other
	// daemons and the claims.
	var errs []error
	for _, s := range d.servers {
		if s.name == "peers" {
			d.entry.Close()
			errs = append(errs, d.host.Drain(ctx), d.control.Claims().Close(ctx))
			if d.probes != nil {
				errs = append(errs, d.probes.Close())
			}
		}
		errs = append(errs, s.Shutdown(ctx))
	}
	d.closeUsage()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.control.Stop()
		d.decisions.Close()
	}()
	select {
	case <-stopped:
	case <-time.After(controlStopTimeout):
		errs = append(errs, errors.New("the control plane did not stop in time"))
	}
	d.logger.Info("daemon stopped", "error", errors.Join(errs...))
	return errors.Join(errs...)
}
