package daemon

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/kingcuppitch/kingcuppitch/internal/field"
	"github.com/kingcuppitch/kingcuppitch/internal/status"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/request"
)

const (
	// healthProbeTimeout bounds one health probe. The upstream answers in a few
	// milliseconds once it has a free slot.
	healthProbeTimeout = time.Second
	// healthProbeInterval is the pause between two probes, and between two checks
	// whether the configuration defines the upstream.
	healthProbeInterval = 100 * time.Millisecond
	// confirmWindow is how long the upstream is probed. An upstream that still
	// announces itself after that time has not deregistered.
	confirmWindow = 4 * time.Second
	// restoreProbeInterval is the pause between two probes after a restart of the
	// daemon. Probes repeat because an upstream without a free slot answers like
	// one that is leaving.
	restoreProbeInterval = 50 * time.Millisecond
	// maxColdMs is the longest remaining cold start that is accepted from a probe,
	// in milliseconds.
	maxColdMs = 60_000
)

// healthTransport carries health probes, each on a connection of its own.
var healthTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}

// holdUntilConfirmed handles the first announcement since the daemon started. It puts
// the announcement in force with the state starting and probes the upstream. The
// upstream may have deregistered before the daemon restarted, and an announcement
// from before that may arrive late.
func (d *Daemon) holdUntilConfirmed(a Announcement) {
	d.unconfirmedUntil = time.Now().Add(confirmWindow)
	held := a
	held.State = membership.Starting
	d.setUpstream(held)
	go d.confirm(a)
}

// confirm probes the upstream until it has answered or confirmWindow has passed.
func (d *Daemon) confirm(a Announcement) {
	until := time.Now().Add(confirmWindow)
	for time.Now().Before(until) && !d.leaving.Load() {
		ans := d.probeHealth(a)
		if ans.conclusive {
			d.applyConfirmation(a, ans)
			return
		}
		time.Sleep(ans.pause(healthProbeInterval))
	}
}

// applyConfirmation applies the result of a probe, unless a later announcement has
// changed the upstream or its state.
func (d *Daemon) applyConfirmation(a Announcement, ans healthResult) {
	d.announceMu.Lock()
	defer d.announceMu.Unlock()
	known := d.announced.Load()
	if !known.sameStart(a) || known.State != membership.Starting {
		return
	}
	if ans.statement.Leaving {
		d.takeOutOfUse(*known)
		return
	}
	d.setRateLimit(ans)
	if !ans.healthy {
		// A health answer can be wrong. An upstream that still announces itself
		// after the longest delay of an announcement has not deregistered.
		d.unconfirmedUntil = time.Now().Add(confirmWindow)
		d.metrics.Add("announce.unhealthy", 1)
		d.events.Add(time.Now(), timeline.KindUpstream, 0, "upstream "+a.ID+" was announced but its health probe failed; not used unless it continues to announce itself")
		return
	}
	d.unconfirmedUntil = time.Time{}
	now := *known
	now.State = membership.Ready
	d.setUpstream(now)
}

// replaceIfServing puts an announcement in force that appears to be older than the
// last one, if the upstream that serves now answers with its id. Incarnations come
// from the clock at the start of an upstream, and that clock may have been set back.
func (d *Daemon) replaceIfServing(a Announcement) {
	defer d.probing.Store(false)
	ans := d.probeHealth(a)
	if !ans.idConfirmed || !ans.healthy || ans.statement.Leaving {
		return
	}
	d.announceMu.Lock()
	defer d.announceMu.Unlock()
	known := d.announced.Load()
	if known.ID == a.ID {
		return
	}
	d.events.Add(time.Now(), timeline.KindUpstream, 0, "upstream "+a.ID+" replaces upstream "+known.ID+" although its incarnation is older")
	d.setUpstream(a)
	d.setRateLimit(ans)
}

// setRateLimit puts the rate limit that the upstream named in a health answer in force.
// Otherwise the first requests of a daemon that has restarted, as many as the upstream
// has slots, would be sent before an answer names it.
func (d *Daemon) setRateLimit(ans healthResult) {
	if ans.statement.RateLimit > 0 {
		d.logger.Info("upstream names a rate limit in a health answer", "perSecond", ans.statement.RateLimit)
		d.limiter.setRateLimit(time.Now(), ans.statement.RateLimit)
	}
}

// healthResult is the result of a health probe.
type healthResult struct {
	// conclusive is false if the upstream gave no usable answer.
	conclusive, healthy bool
	// idConfirmed reports whether the upstream answered with the announced id.
	idConfirmed bool
	coldUntil   time.Time
	statement   request.Statement
}

// pause returns the pause until the next probe, which is usually the given one. The
// probes of an upstream in need stay within the rate limit that it names.
func (ans healthResult) pause(usual time.Duration) time.Duration {
	if limit := ans.statement.RateLimit; limit > 0 {
		return max(usual, time.Duration(float64(time.Second)/limit))
	}
	return usual
}

// probeHealth sends one health probe to the upstream of an announcement.
func (d *Daemon) probeHealth(a Announcement) (ans healthResult) {
	snap := d.control.Snapshot()
	u, ok := snap.State.Config.Upstream(a.Service)
	if !ok {
		return ans
	}
	if u.HealthPath == "" {
		return healthResult{conclusive: true, healthy: true}
	}
	ctx, cancel := context.WithTimeout(context.Background(), healthProbeTimeout)
	defer cancel()
	ans, err := askHealth(ctx, "http://"+a.Address.String()+u.HealthPath, a.ID, d.platform.Headers())
	if err != nil {
		d.logger.Warn("ignoring the malformed part of a health answer", "instance", a.ID, "error", err)
	}
	return ans
}

// askHealth sends one health probe to the upstream with an id. The error describes what is
// malformed in the answer; without an answer it is nil.
func askHealth(ctx context.Context, url, id string, names request.Headers) (ans healthResult, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return ans, nil
	}
	res, err := healthTransport.RoundTrip(req)
	if err != nil {
		return ans, nil
	}
	_ = res.Body.Close()
	if !status.IsFinal(res.StatusCode) {
		return ans, fmt.Errorf("malformed status %q", res.Status)
	}
	if name, malformed := field.Malformed(res.Header); malformed {
		return ans, fmt.Errorf("malformed name %q of a field", name)
	}
	got := res.Header.Get(names.InstanceID)
	if got != "" && got != id {
		// Another upstream uses the address now.
		return healthResult{conclusive: true}, nil
	}
	ans.idConfirmed = got != ""
	ans.statement, err = names.Statement(res.Header)
	if ms, coldErr := strconv.ParseFloat(res.Header.Get(names.ColdFor), 64); coldErr == nil && ms > 0 && ms < maxColdMs {
		ans.coldUntil = time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
	}
	switch res.StatusCode {
	case http.StatusOK:
		ans.conclusive, ans.healthy = true, true
	case http.StatusServiceUnavailable:
		ans.conclusive = true
	}
	return ans, err
}

// restoreFromPeers puts the upstream that peers remember back in use after a restart of
// the daemon, if it answers with the same id and is healthy. Otherwise the daemon
// waits for the next announcement, which may take seconds.
func (d *Daemon) restoreFromPeers(ctx context.Context) {
	until := time.Now().Add(confirmWindow)
	for time.Now().Before(until) && d.announced.Load() == nil {
		var ans healthResult
		if a, ok := d.announcementFromPeers(); ok {
			ans = d.probeHealth(a)
			switch {
			case ans.idConfirmed && ans.statement.Leaving:
				d.applyLeft(a)
				return
			case ans.idConfirmed && ans.healthy:
				a.ColdUntil = ans.coldUntil
				d.applyRestored(a, ans)
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(ans.pause(restoreProbeInterval)):
		}
	}
}

// announcementFromPeers returns the last announcement of the upstream beside this
// daemon that peers remember, unless the upstream was starting or draining.
func (d *Daemon) announcementFromPeers() (Announcement, bool) {
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

// applyRestored puts an announcement from before the restart in force, unless the
// upstream has announced itself since.
func (d *Daemon) applyRestored(a Announcement, ans healthResult) {
	d.announceMu.Lock()
	defer d.announceMu.Unlock()
	if d.announced.Load() != nil {
		return
	}
	d.metrics.Add("announce.recalled", 1)
	d.events.Add(time.Now(), timeline.KindUpstream, 0, "upstream "+a.ID+" is healthy and known to peers from before the daemon started; in use again")
	d.setRateLimit(ans)
	d.setUpstream(a)
}

// applyLeft keeps an upstream from before the restart out of use, unless it has announced
// itself since.
func (d *Daemon) applyLeft(a Announcement) {
	d.announceMu.Lock()
	defer d.announceMu.Unlock()
	if d.announced.Load() == nil {
		d.takeOutOfUse(a)
	}
}
