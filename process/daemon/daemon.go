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
	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/process/decision"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/metrics"
	"github.com/kingcuppitch/kingcuppitch/process/settings"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
	"github.com/kingcuppitch/kingcuppitch/request/entry"
	"github.com/kingcuppitch/kingcuppitch/request/host"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/rotisserie/eris"
)

const (
	// leaveNotice is the time between telling the peers that the daemon leaves
	// and closing its listeners. Entries learn of it within a few hundred
	// milliseconds; idle connections of callers are closed with an answer.
	leaveNotice = 2 * time.Second
	// shutdownWithin bounds a graceful shutdown.
	shutdownWithin = 30 * time.Second
	// hostNotice is the time between telling the peers that the upstream is not to
	// be used and closing the listeners. News reach all daemons in a few hundred
	// milliseconds, and a call that comes late is refused as not run.
	hostNotice = 800 * time.Millisecond
	// stopWithin bounds the end of the control side, when all calls are answered.
	stopWithin = 150 * time.Millisecond
	// graceNotice and graceWithin are the same two as percent of the time until
	// the daemon is killed. Callers are led away after two looks at its
	// readiness, a second apart.
	graceNotice = 45
	graceWithin = 90
	// readHeaderWithin bounds the time to read a request header.
	readHeaderWithin = 10 * time.Second
	// idleWithin bounds idle connections of callers.
	idleWithin = 2 * time.Minute
	// readWithin bounds the whole of a call of the upstream, of a question for
	// readiness or for metrics.
	readWithin = 10 * time.Second
	// maxHeader bounds request headers, in bytes.
	maxHeader = 64 << 10
	// maxForwardedHeader bounds the headers of a forwarded call, in bytes. HTTP/2
	// counts 32 bytes more for each field, so a header that a caller may send
	// can count more than seven times its length.
	maxForwardedHeader = 8 * maxHeader
)

// Platform is what a daemon needs of the users' platform in place of its own
// interfaces to the log and the upstream.
type Platform interface {
	Log() log.Log
	Outcomes() control.Outcomes
	Directory() control.Directory
	// Headers names the headers of callers and upstreams.
	Headers() request.Headers
	// Announcements serves the calls of the upstream beside the daemon.
	Announcements(a Announcer) http.Handler
	// Readiness tells whether the daemon takes new callers.
	Readiness(ready func() bool) http.Handler
	// Reload takes changed settings.
	Reload(s settings.Settings)
	// SetMetrics makes the platform count in the given set.
	SetMetrics(set *metrics.Set)
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithPlatform puts the daemon on the users' platform.
func WithPlatform(p Platform) Option { return func(d *Daemon) { d.platform = p } }

// limiter bounds the requests to the upstream beside the daemon.
type limiter interface {
	host.Limiter
	// setBounds takes what the configuration and the upstream say.
	setBounds(u config.Upstream, a *Announcement)
	restarted(now time.Time)
}

// configured bounds by the limits of the configuration.
type configured struct{ admission.Limiter }

func (c *configured) setBounds(u config.Upstream, _ *Announcement) {
	c.SetLimits(admission.Limits{Slots: u.Slots, ColdSlots: u.ColdSlots})
}

func (c *configured) restarted(now time.Time) { c.Restarted(now) }

// announcedBounds bounds by what the upstream announces of itself.
type announcedBounds struct{ admission.Gate }

func (b *announcedBounds) setBounds(u config.Upstream, a *Announcement) {
	b.SetBounds(admission.Bounds{Slots: a.Slots, ColdUntil: a.ColdUntil, ColdPerSecond: u.ColdPerSecond})
}

func (b *announcedBounds) restarted(time.Time) { b.Restarted() }

// Daemon is one kingcuppitchd process.
type Daemon struct {
	// settings are those at the start, live the newest.
	settings settings.Settings
	live     atomic.Pointer[settings.Settings]
	logger   hclog.Logger
	metrics  *metrics.Set
	events   *timeline.Timeline
	// decisions are the lines on requests.
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
	announced atomic.Pointer[Announcement]
	zone      zoneReturn
	// announcing orders the calls of the upstream.
	announcing sync.Mutex
	// asking is set while an upstream is asked whether it has replaced the known one.
	asking atomic.Bool
	// unconfirmedUntil is how long the first upstream that announced itself is
	// not used before it has answered; announcing guards it.
	unconfirmedUntil time.Time
	callers          *caller.Server
	servers          []*server
}

// server serves one address.
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
		events: &timeline.Timeline{Name: s.Name, Zone: s.Zone}, limiter: new(configured),
	}
	d.live.Store(&s)
	for _, opt := range opts {
		opt(d)
	}
	d.decisions = decision.New(logger)
	d.events.Notify = d.logEvent
	d.metrics.Process()
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
		control.WithMetrics(d.metrics),
		control.WithTimeline(d.events),
		control.WithViewObserver(d.applyLimits),
		control.WithLogger(newSlog(logger.Named("actor"))),
	}
	headers := request.DefaultHeaders
	if p := d.platform; p != nil {
		headers = p.Headers()
		p.SetMetrics(d.metrics)
		d.limiter = new(announcedBounds)
		controlOpts = append(controlOpts, control.WithLog(p.Log()), control.WithOutcomes(p.Outcomes()),
			control.WithDirectory(p.Directory()), control.WithCompactedLog())
	} else {
		controlOpts = append(controlOpts, control.WithLog(log.NewHTTPLog(s.LogAddress)))
	}
	d.control = control.New(controlOpts...)
	d.host = host.New(d.control, d.limiter, host.WithMetrics(d.metrics), host.WithObserver(d.control.Recorder()),
		host.WithHeaders(headers), host.WithDecisions(d.decisions), host.WithUnreachable(d.upstreamGone),
		host.WithAnswerLimits(s.Answers.Limits()))
	entryOpts := []entry.Option{
		entry.WithName(s.Name), entry.WithMetrics(d.metrics), entry.WithInternalCallers(internal...),
		entry.WithHeaders(headers), entry.WithService(s.Service), entry.WithDecisions(d.decisions),
	}
	if d.platform == nil {
		entryOpts = append(entryOpts, entry.WithClaims(d.control.Claims()))
	}
	d.entry = entry.New(d.control, d.host, entryOpts...)
	return d
}

// logEvent writes a line for each change of state.
func (d *Daemon) logEvent(e timeline.Event) {
	d.logger.Info(e.Detail, "kind", e.Kind, "version", e.Version)
}

// Run serves until ctx is cancelled, then shuts down without cutting a call.
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
	d.control.Start()
	if d.platform != nil && d.settings.UpstreamAddress.IsValid() {
		go d.recall(ctx)
	}
	d.events.Add(time.Now(), timeline.KindStart, 0, "daemon started")
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	return errors.Join(err, d.shutdown())
}

// Reload takes changed settings. Names, places and addresses are those at the
// start.
func (d *Daemon) Reload(s settings.Settings) {
	old := d.live.Swap(&s)
	d.logger.SetLevel(hclog.LevelFromString(s.LogLevel))
	d.entry.SetService(s.Service)
	if d.platform != nil {
		d.platform.Reload(s)
	}
	if s.Fixed() != old.Fixed() {
		d.logger.Warn("changed names, places and addresses take effect at the next start")
	}
}

// listen opens all listeners, so that a taken address is found at the start.
func (d *Daemon) listen() (err error) {
	path, ctl := d.control.Handler()
	peers := http.NewServeMux()
	peers.Handle(path, ctl)
	var announce http.Handler = http.HandlerFunc(d.serveAnnouncement)
	if d.platform != nil {
		announce = d.platform.Announcements(d)
	}
	vars := http.NewServeMux()
	vars.Handle("GET /debug/vars", d.metrics)
	d.callers = &caller.Server{Handler: d.entry, Limits: d.callerLimits, Logger: d.logger}
	list := []server{
		{name: "callers", httpServer: d.callers},
		{name: "announcements", httpServer: d.newShortServer(announce)},
		{name: "metrics", httpServer: d.newShortServer(vars)},
		{name: "peers", httpServer: d.newPeerServer(d.forwardFirst(peers))},
	}
	addrs := map[string]netip.AddrPort{
		"callers": d.settings.CallerAddress, "announcements": d.settings.AnnounceAddress,
		"metrics": d.settings.MetricsAddress, "peers": d.settings.PeerAddress, "readiness": d.settings.ReadyAddress,
	}
	if d.platform != nil {
		list = append(list, server{name: "readiness", httpServer: d.newShortServer(d.platform.Readiness(d.Ready))})
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
	return nil
}

func (d *Daemon) newServer(h http.Handler, header int) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderWithin, IdleTimeout: idleWithin, MaxHeaderBytes: header,
		ErrorLog: d.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// newShortServer returns a server of short requests.
func (d *Daemon) newShortServer(h http.Handler) *http.Server {
	s := d.newServer(h, maxHeader)
	s.ReadTimeout = readWithin
	return s
}

func (d *Daemon) newPeerServer(h http.Handler) *http.Server {
	s := d.newServer(h, maxForwardedHeader)
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// callerLimits returns the limits on callers that the configuration sets.
func (d *Daemon) callerLimits() caller.Limits {
	l := d.control.Snapshot().State.Config.Limits
	return caller.Limits{
		HeaderBytes:  cmp.Or(l.HeaderBytes, maxHeader),
		HeaderWithin: cmp.Or(time.Duration(l.HeaderWithin), readHeaderWithin),
		IdleWithin:   cmp.Or(time.Duration(l.IdleWithin), idleWithin),
	}
}

// Ready reports whether the daemon takes new callers.
func (d *Daemon) Ready() bool { return !d.leaving.Load() && d.control.Snapshot().Serving }

// forwardFirst serves forwarded calls without http.ServeMux, which answers a
// path such as /a//b with a redirect of its own.
func (d *Daemon) forwardFirst(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, host.ForwardPrefix) {
			d.host.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// removeFromDirectory takes the daemon out of the list of those that know
// nobody else. Failing that, its entry stays and costs others a vain call.
func (d *Daemon) removeFromDirectory(ctx context.Context) {
	if err := d.platform.Directory().Remove(ctx, d.settings.Name); err != nil {
		d.logger.Warn("the directory still lists this daemon", "error", err)
	}
}

// shutdown leaves the mesh, answers the calls in flight and stops.
func (d *Daemon) shutdown() error {
	d.events.Add(time.Now(), timeline.KindStop, 0, "daemon is leaving")
	notice, within := leaveNotice, shutdownWithin
	if grace := time.Duration(d.live.Load().GraceSeconds * float64(time.Second)); grace > 0 {
		notice, within = grace*graceNotice/100, grace*graceWithin/100
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	d.leaving.Store(true)
	d.callers.Leave()
	if d.platform != nil {
		// New callers are led away first. Meanwhile the upstream, which may live on,
		// goes on working for other daemons.
		go d.removeFromDirectory(ctx)
		host := min(hostNotice, notice)
		time.Sleep(notice - host)
		notice = host
	}
	d.control.Leave()
	time.Sleep(notice)
	// Callers first: their calls may still need other daemons and the claims.
	var errs []error
	for _, s := range d.servers {
		if s.name == "peers" {
			d.entry.Close()
			errs = append(errs, d.host.Drain(ctx), d.control.Claims().Close(ctx))
		}
		errs = append(errs, s.Shutdown(ctx))
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.control.Stop()
		d.decisions.Close()
	}()
	select {
	case <-stopped:
	case <-time.After(stopWithin):
		errs = append(errs, errors.New("the control side did not stop in time"))
	}
	d.logger.Info("daemon stopped", "error", errors.Join(errs...))
	return errors.Join(errs...)
}
