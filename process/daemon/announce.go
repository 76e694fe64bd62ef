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
)

// maxAnnouncement bounds an announcement, in bytes.
const maxAnnouncement = 4 << 10

// Announcement is what the upstream beside the daemon says of itself.
type Announcement struct {
	// ID names this start of the upstream; it may be empty.
	ID      string         `json:"-"`
	Service string         `json:"service"`
	Version string         `json:"version"`
	Address netip.AddrPort `json:"address"`
	// Zone is the availability zone; empty means that of the daemon.
	Zone string `json:"-"`
	// Incarnation grows with each start, Seq with each announcement of one start;
	// a Seq of zero means that announcements arrive in order.
	Incarnation uint64           `json:"incarnation"`
	Seq         int64            `json:"-"`
	State       membership.State `json:"state"`
	// Slots is the number of requests that the upstream runs at once, and
	// ColdUntil the end of its cold start, where it announces them.
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

// older reports whether an announcement comes from an earlier start, or from
// before what is known of the same one.
func (a *Announcement) older(known *Announcement) bool {
	if a.Incarnation != known.Incarnation {
		return a.Incarnation < known.Incarnation
	}
	return a.Seq != 0 && a.ID == known.ID && a.Seq <= known.Seq
}

// Announcer takes what the upstream beside the daemon says of itself. An error
// refuses it.
type Announcer interface {
	Announce(a Announcement) error
	// Deregister takes the upstream with the given id out of service for good. An
	// incarnation of zero means the one that is known.
	Deregister(id string, incarnation uint64) error
}

// serveAnnouncement takes an announcement of the product's own interface.
func (d *Daemon) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/announce" {
		http.NotFound(w, r)
		return
	}
	var a Announcement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&a)
	if err == nil {
		err = d.Announce(a)
	}
	if err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Announce implements Announcer. A late announcement changes nothing.
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
		if err = d.checkPlace(a); err != nil {
			return err
		}
	}
	d.announcing.Lock()
	defer d.announcing.Unlock()
	if known := d.announced.Load(); known != nil && (a.older(known) || known.State == departed && known.sameStart(a)) {
		d.metrics.Add("announce.late", 1)
		if d.platform != nil && a.ID != "" && a.ID != known.ID && a.State == membership.Ready && d.asking.CompareAndSwap(false, true) {
			go d.replaceIfServing(a)
		}
		return nil
	}
	if d.platform != nil && a.State == membership.Ready {
		known := d.announced.Load()
		switch {
		case known == nil:
			d.hold(a)
			return nil
		case known.sameStart(a) && time.Now().Before(d.unconfirmedUntil):
			// The upstream is being asked.
			a.State = membership.Starting
		}
	}
	d.setUpstream(a)
	return nil
}

// departed is the state of an upstream that has taken itself out of service.
const departed = membership.Leaving

func (a *Announcement) sameStart(b Announcement) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation
}

// checkPlace refuses an announcement of an upstream that is not the one beside
// this daemon.
func (d *Daemon) checkPlace(a Announcement) error {
	if a.Zone != "" && a.Zone != d.settings.Zone {
		return fmt.Errorf("availability zone %q is not that of the daemon, %q", a.Zone, d.settings.Zone)
	}
	if a.Address.Addr() != d.settings.CallerAddress.Addr() {
		return fmt.Errorf("address %v is not on this instance", a.Address)
	}
	cfg := &d.control.Snapshot().State.Config
	if _, ok := cfg.Upstream(a.Service); !ok && len(cfg.Upstreams) > 0 && a.Service != d.live.Load().Service {
		return fmt.Errorf("upstream %q is not defined", a.Service)
	}
	return nil
}

// Deregister implements Announcer.
func (d *Daemon) Deregister(id string, incarnation uint64) error {
	d.announcing.Lock()
	defer d.announcing.Unlock()
	known := d.announced.Load()
	if known == nil || known.ID != id || incarnation != 0 && incarnation < known.Incarnation {
		// It is another one that is in use, if any.
		d.metrics.Add("announce.late", 1)
		if id == "" {
			return errors.New("the id is empty")
		}
		return nil
	}
	gone := *known
	gone.State = departed
	gone.Incarnation = max(gone.Incarnation, incarnation)
	d.setUpstream(gone)
	return nil
}

// setUpstream takes an announcement that was checked.
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
	if state == departed {
		// For the mesh the upstream drains; leaving is the daemon itself.
		state = membership.Draining
	}
	d.control.Announce(a.upstream(state))
}

// upstream returns the announcement for the mesh, with the given state.
func (a *Announcement) upstream(state membership.State) control.Upstream {
	return control.Upstream{
		Service: a.Service, Version: a.Version, State: string(state), Incarnation: a.Incarnation, ID: a.ID, Slots: a.Slots,
	}
}

// upstreamGone takes the upstream out of use until it announces itself again. It
// refused a connection, or another one has its address.
func (d *Daemon) upstreamGone() {
	d.announcing.Lock()
	defer d.announcing.Unlock()
	a := d.announced.Load()
	if a == nil || d.platform == nil || a.State != membership.Ready {
		return
	}
	d.events.Add(time.Now(), timeline.KindUpstream, 0, "upstream "+a.ID+" does not take connections; out of use until its next announcement")
	d.control.Announce(a.upstream(membership.Starting))
}

// applyLimits applies the limits of the configuration to the upstream, with
// each announcement and each new view. Without a configuration there are none,
// and the limiter refuses all calls.
func (d *Daemon) applyLimits(snap *control.Snapshot) {
	a := d.announced.Load()
	if a == nil {
		return
	}
	if u, ok := snap.State.Config.Upstream(a.Service); ok {
		u.ColdPerSecond = d.live.Load().Bounds.ColdRate(u.ColdPerSecond)
		d.limiter.setBounds(u, d.returning(snap, a, time.Now()))
		d.host.SetUpstream(a.Address, u.Connections, a.ID)
	}
}

// returnPeriod is how long an upstream whose availability zone has just come back
// counts as cold if it does not announce itself. Heartbeats come every second or
// two.
const returnPeriod = 4 * time.Second

// zoneReturn is what a daemon remembers of its availability zone.
type zoneReturn struct {
	mu sync.Mutex
	// out says that the zone was out in the last view.
	out bool
	// at is when the zone came back, and known the announcement of that time.
	at    time.Time
	known *Announcement
}

// returning returns the announcement by which the upstream is bounded. The one from
// before its zone came back says nothing about a cold start at the return.
func (d *Daemon) returning(snap *control.Snapshot, a *Announcement, now time.Time) *Announcement {
	z := &d.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	out := snap.ZoneOut()
	if z.out && !out {
		z.at, z.known = now, a
	}
	z.out = out
	if z.known != a {
		return a
	}
	cold := *a
	if until := z.at.Add(returnPeriod); cold.ColdUntil.Before(until) {
		cold.ColdUntil = until
	}
	return &cold
}
