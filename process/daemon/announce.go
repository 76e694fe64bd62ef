package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/request/host"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 4 << 10

// Announcement describes the upstream beside the daemon, as the upstream reports it.
type Announcement struct {
	// ID identifies this start of the upstream; it may be empty.
	ID      string         `json:"-"`
	Service string         `json:"service"`
	Version string         `json:"version"`
	Address netip.AddrPort `json:"address"`
	// Zone is the availability zone; empty means the zone of the daemon.
	Zone string `json:"-"`
	// Incarnation increases with each start, Seq with each announcement of one
	// start. A Seq of zero means that announcements arrive in order.
	Incarnation uint64           `json:"incarnation"`
	Seq         int64            `json:"-"`
	State       membership.State `json:"state"`
	// Slots is the number of requests that the upstream runs concurrently, and
	// ColdUntil is the end of its cold start. Both are zero if not announced.
	Slots     int       `json:"-"`
	ColdUntil time.Time `json:"-"`
}

func (a *Announcement) check() error {
	switch a.State {
	case membership.Starting, membership.Ready, membership.Draining:
	default:
		return fmt.Errorf("state %q is not starting, ready or draining", a.State)
	}
	switch {
	case a.Service == "" || a.Version == "":
		return fmt.Errorf("service and version are required")
	case !a.Address.IsValid() || a.Address.Port() == 0:
		return fmt.Errorf("address: an IP number and a port are required")
	}
	return nil
}

// older reports whether the announcement comes from an earlier start than known,
// or precedes known within the same start.
func (a *Announcement) older(known *Announcement) bool {
	if a.Incarnation != known.Incarnation {
		return a.Incarnation < known.Incarnation
	}
	return a.Seq != 0 && a.ID == known.ID && a.Seq <= known.Seq
}

// Announcer receives the announcements of the upstream beside the daemon. An
// error means that the announcement was refused.
type Announcer interface {
	Announce(a Announcement) error
	// Deregister takes the upstream with the given id out of service permanently.
	// An incarnation of zero means the last announced one.
	Deregister(id string, incarnation uint64) error
}

// serveAnnouncement handles announcements over kingcuppitchd's own HTTP interface,
// which is used without a Platform.
func (d *Daemon) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/announce" {
		http.NotFound(w, r)
		return
	}
	var a Announcement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a)
	if err == nil {
		err = d.Announce(a)
	}
	if err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Announce implements Announcer. It ignores an announcement that is older than the
// last one.
func (d *Daemon) Announce(a Announcement) (err error) {
	defer func() {
		if err != nil {
			d.metrics.Add("announce.malformed", 1)
		}
	}()
	if err = a.check(); err != nil {
		return err
	}
	if d.platform != nil {
		if err = d.checkOrigin(a); err != nil {
			return err
		}
	}
	d.announceMu.Lock()
	defer d.announceMu.Unlock()
	if known := d.announced.Load(); known != nil && (a.older(known) || known.State == deregistered && known.sameStart(a)) {
		d.metrics.Add("announce.late", 1)
		if d.platform != nil && a.ID != "" && a.ID != known.ID && a.State == membership.Ready && d.probing.CompareAndSwap(false, true) {
			go d.replaceIfServing(a)
		}
		return nil
	}
	if d.platform != nil && a.State == membership.Ready {
		known := d.announced.Load()
		switch {
		case known == nil:
			d.holdUntilConfirmed(a)
			return nil
		case known.sameStart(a) && time.Now().Before(d.unconfirmedUntil):
			// The upstream has not confirmed its health yet.
			a.State = membership.Starting
		}
	}
	d.setUpstream(a)
	return nil
}

// deregistered is the state of an upstream that has deregistered itself, or has said in
// an answer that it leaves.
const deregistered = membership.Leaving

func (a *Announcement) sameStart(b Announcement) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation
}

// checkOrigin returns an error if the announcement is not from the upstream beside
// this daemon.
func (d *Daemon) checkOrigin(a Announcement) error {
	if a.Zone != "" && a.Zone != d.settings.Zone {
		return fmt.Errorf("availability zone %q differs from the zone of the daemon, %q", a.Zone, d.settings.Zone)
	}
	if a.Address.Addr() != d.settings.CallerAddress.Addr() {
		return fmt.Errorf("address %v is not on this instance", a.Address)
	}
	cfg := &d.control.Snapshot().State.Config
	if _, ok := cfg.Upstream(a.Service); !ok && len(cfg.Upstreams) > 0 && a.Service != d.currentSettings.Load().Service {
		return fmt.Errorf("upstream %q is not defined", a.Service)
	}
	return nil
}

// Deregister implements Announcer.
func (d *Daemon) Deregister(id string, incarnation uint64) error {
	d.announceMu.Lock()
	defer d.announceMu.Unlock()
	known := d.announced.Load()
	if known == nil || known.ID != id || incarnation != 0 && incarnation < known.Incarnation {
		// The upstream in use, if any, is a different one.
		d.metrics.Add("announce.late", 1)
		if id == "" {
			return errors.New("the id is empty")
		}
		return nil
	}
	updated := *known
	updated.State = deregistered
	updated.Incarnation = max(updated.Incarnation, incarnation)
	d.setUpstream(updated)
	return nil
}

// setUpstream puts a validated announcement in force. announceMu must be held.
func (d *Daemon) setUpstream(a Announcement) {
	d.announced.Store(&a)
	d.applyLimits(d.control.Snapshot())
	if old := d.incarnation.Swap(a.Incarnation); old != a.Incarnation {
		now := time.Now()
		d.host.Restarted(now)
		if old != 0 {
			d.limiter.restarted(now)
		}
	}
	d.control.Recorder().SetUpstream(a.Address.String(), a.Incarnation)
	state := a.State
	if state == deregistered {
		// Peers see a draining upstream: in the mesh, the state leaving belongs to
		// the daemon itself.
		state = membership.Draining
	}
	d.control.Announce(a.upstream(state))
}

// upstream converts the announcement to the form for the mesh, with the given state.
func (a *Announcement) upstream(state membership.State) control.Upstream {
	return control.Upstream{
		Service: a.Service, Version: a.Version, State: string(state), Incarnation: a.Incarnation, ID: a.ID, Slots: a.Slots,
	}
}

// upstreamUnreachable takes the upstream out of use until its next announcement. The
// host calls it when the upstream refused a connection, or when another upstream
// answers at its address.
func (d *Daemon) upstreamUnreachable() {
	d.announceMu.Lock()
	defer d.announceMu.Unlock()
	a := d.announced.Load()
	if a == nil || d.platform == nil || a.State != membership.Ready {
		return
	}
	d.events.Add(time.Now(), timeline.KindUpstream, 0, "upstream "+a.ID+" is unreachable; not used until its next announcement")
	d.control.Announce(a.upstream(membership.Starting))
}

// upstreamLeaving takes the upstream out of use permanently. The host calls it when an
// answer of the upstream said that it leaves.
func (d *Daemon) upstreamLeaving(u host.Upstream) {
	d.announceMu.Lock()
	defer d.announceMu.Unlock()
	known := d.announced.Load()
	if known == nil || known.ID != u.ID || known.Incarnation != u.Incarnation {
		return
	}
	d.takeOutOfUse(*known)
}

// takeOutOfUse takes the upstream of an announcement out of use permanently, because an
// answer said that it leaves. announceMu must be held.
func (d *Daemon) takeOutOfUse(a Announcement) {
	if a.State == deregistered {
		return
	}
	a.State = deregistered
	d.events.Add(time.Now(), timeline.KindUpstream, 0, "upstream "+a.ID+" says in an answer that it leaves; not used any more")
	d.setUpstream(a)
}

// applyLimits applies the limits of the configuration to the upstream. It runs for
// each announcement and each new snapshot. Without a configuration there are no
// limits to apply, and the limiter refuses all calls.
func (d *Daemon) applyLimits(snap *control.Snapshot) {
	a := d.announced.Load()
	if a == nil {
		return
	}
	if u, ok := snap.State.Config.Upstream(a.Service); ok {
		u.ColdPerSecond = d.currentSettings.Load().Bounds.ColdRate(u.ColdPerSecond)
		d.limiter.setBounds(u, d.effectiveAnnouncement(snap, a, time.Now()))
		d.host.SetUpstream(host.Upstream{Address: a.Address, Connections: u.Connections, ID: a.ID, Incarnation: a.Incarnation})
	}
}

// zoneReturnColdPeriod is how long an upstream counts as cold after its availability
// zone has returned to service, unless it announces itself. Heartbeats arrive every
// one to two seconds.
const zoneReturnColdPeriod = 4 * time.Second

// zoneReturn tracks the return of the daemon's availability zone to service.
type zoneReturn struct {
	mu sync.Mutex
	// out reports whether the zone was out of service in the last snapshot.
	out bool
	// returnedAt is when the zone returned, and before is the last announcement
	// from before the return.
	returnedAt time.Time
	before     *Announcement
}

// effectiveAnnouncement returns the announcement that sets the limits of the upstream.
// An announcement from before the zone returned does not show whether the upstream
// became cold while its zone was out, so until the next one it counts as cold for
// zoneReturnColdPeriod.
func (d *Daemon) effectiveAnnouncement(snap *control.Snapshot, a *Announcement, now time.Time) *Announcement {
	z := &d.zoneReturn
	z.mu.Lock()
	defer z.mu.Unlock()
	out := snap.ZoneOut()
	if z.out && !out {
		z.returnedAt, z.before = now, a
	}
	z.out = out
	if z.before != a {
		return a
	}
	cold := *a
	if until := z.returnedAt.Add(zoneReturnColdPeriod); cold.ColdUntil.Before(until) {
		cold.ColdUntil = until
	}
	return &cold
}
