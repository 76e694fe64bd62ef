package daemon

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
)

const (
	// confirmTimeout bounds one question to the upstream; it answers in a few
	// milliseconds once it has a free slot.
	confirmTimeout = time.Second
	// confirmPause is the pause between two questions, or two looks for the path
	// to ask.
	confirmPause = 100 * time.Millisecond
	// confirmWithin is how long the upstream is asked. An upstream that goes on
	// announcing itself for so long has not left.
	confirmWithin = 4 * time.Second
	// recallPause is the pause between two questions after a restart. An upstream
	// whose slots are taken answers like one that is leaving.
	recallPause = 50 * time.Millisecond
	// maxColdMs bounds the rest of a cold start that is believed, in milliseconds.
	maxColdMs = 60_000
)

// healthClient asks upstreams for their health, on a connection for each question.
var healthClient = &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeader}

// hold puts an announcement that is the first one since the daemon started in
// force as one of an upstream that starts, and asks the upstream itself. An
// upstream that has taken its leave of the daemon before its restart announces
// itself no more, and an announcement from before may arrive late.
func (d *Daemon) hold(a Announcement) {
	d.unconfirmedUntil = time.Now().Add(confirmWithin)
	held := a
	held.State = membership.Starting
	d.setUpstream(held)
	go d.confirm(a)
}

// confirm asks the upstream whether it takes requests.
func (d *Daemon) confirm(a Announcement) {
	until := time.Now().Add(confirmWithin)
	for time.Now().Before(until) && !d.leaving.Load() {
		if ans := d.askHealth(a); ans.known {
			d.confirmed(a, ans.healthy)
			return
		}
		time.Sleep(confirmPause)
	}
}

// confirmed puts what the upstream said in force, unless it has announced itself
// otherwise meanwhile.
func (d *Daemon) confirmed(a Announcement, healthy bool) {
	d.announcing.Lock()
	defer d.announcing.Unlock()
	known := d.announced.Load()
	if !known.sameStart(a) || known.State != membership.Starting {
		return
	}
	if !healthy {
		// Answers on health can be false. One that goes on announcing itself for
		// longer than an announcement may be late has not left.
		d.unconfirmedUntil = time.Now().Add(confirmWithin)
		d.metrics.Add("announce.unhealthy", 1)
		d.events.Add(time.Now(), timeline.KindUpstream, 0, "upstream "+a.ID+" was announced but takes no requests; not in use unless it goes on announcing itself")
		return
	}
	d.unconfirmedUntil = time.Time{}
	now := *known
	now.State = membership.Ready
	d.setUpstream(now)
}

// replaceIfServing puts an announcement in force that seems to come from before the
// known one, if the upstream that serves now names itself so: the clock by which
// upstreams give their start may have been set back.
func (d *Daemon) replaceIfServing(a Announcement) {
	defer d.asking.Store(false)
	if ans := d.askHealth(a); !ans.named || !ans.healthy {
		return
	}
	d.announcing.Lock()
	defer d.announcing.Unlock()
	known := d.announced.Load()
	if known.ID == a.ID {
		return
	}
	d.events.Add(time.Now(), timeline.KindUpstream, 0, "upstream "+a.ID+" serves in place of "+known.ID+", though its clock says that it is older")
	d.setUpstream(a)
}

// healthAnswer is what an upstream says of itself.
type healthAnswer struct {
	// known is false where there was no answer of it.
	known, healthy bool
	// named says that the upstream gave the id that was asked for.
	named     bool
	coldUntil time.Time
}

// askHealth asks the upstream of an announcement once.
func (d *Daemon) askHealth(a Announcement) (ans healthAnswer) {
	snap := d.control.Snapshot()
	u, ok := snap.State.Config.Upstream(a.Service)
	if !ok {
		return ans
	}
	if u.HealthPath == "" {
		return healthAnswer{known: true, healthy: true}
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Address.String()+u.HealthPath, nil)
	if err != nil {
		return ans
	}
	res, err := healthClient.RoundTrip(req)
	if err != nil {
		return ans
	}
	_ = res.Body.Close()
	names := d.platform.Headers()
	id := res.Header.Get(names.InstanceID)
	if id != "" && id != a.ID {
		// Another upstream has the address.
		return healthAnswer{known: true}
	}
	ans.named = id != ""
	if ms, err := strconv.ParseFloat(res.Header.Get(names.ColdFor), 64); err == nil && ms > 0 && ms < maxColdMs {
		ans.coldUntil = time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
	}
	switch res.StatusCode {
	case http.StatusOK:
		ans.known, ans.healthy = true, true
	case http.StatusServiceUnavailable:
		ans.known = true
	}
	return ans
}

// recall takes the upstream that peers remember into use again after a restart of
// the daemon, if it names itself as the same one and takes requests. Otherwise the
// next announcement decides, which may be seconds away.
func (d *Daemon) recall(ctx context.Context) {
	until := time.Now().Add(confirmWithin)
	for time.Now().Before(until) && d.announced.Load() == nil {
		if a, ok := d.remembered(); ok {
			ans := d.askHealth(a)
			if ans.named && ans.healthy {
				a.ColdUntil = ans.coldUntil
				d.recalled(a)
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(recallPause):
		}
	}
}

// remembered returns the announcement that peers remember of the upstream beside
// this daemon. One that was leaving is not used.
func (d *Daemon) remembered() (Announcement, bool) {
	snap := d.control.Snapshot()
	m := snap.Earlier
	if !snap.Serving || m == nil || m.Slots < 1 {
		return Announcement{}, false
	}
	switch m.State {
	case membership.Starting, membership.Draining:
		return Announcement{}, false
	}
	return Announcement{
		ID: m.UpstreamID, Service: m.Service, Version: m.Version, Address: d.settings.UpstreamAddress,
		Incarnation: m.UpstreamIncarnation, State: membership.Ready, Slots: m.Slots,
	}, true
}

// recalled puts an announcement from before the restart in force, unless the
// upstream has announced itself meanwhile.
func (d *Daemon) recalled(a Announcement) {
	d.announcing.Lock()
	defer d.announcing.Unlock()
	if d.announced.Load() != nil {
		return
	}
	d.metrics.Add("announce.recalled", 1)
	d.events.Add(time.Now(), timeline.KindUpstream, 0, "upstream "+a.ID+" is known to peers from before the start and takes requests")
	d.setUpstream(a)
}
