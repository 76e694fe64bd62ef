package daemon

import (
	"context"
	"net/http"
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
)

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
		healthy, known := d.askHealth(a)
		if known {
			d.confirmed(a, healthy)
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

// askHealth asks the upstream once. known is false where there was no answer of it.
func (d *Daemon) askHealth(a Announcement) (healthy, known bool) {
	snap := d.control.Snapshot()
	u, ok := snap.State.Config.Upstream(a.Service)
	if !ok {
		return false, false
	}
	if u.HealthPath == "" {
		return true, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Address.String()+u.HealthPath, nil)
	if err != nil {
		return false, false
	}
	req.Close = true
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return false, false
	}
	_ = res.Body.Close()
	if id := res.Header.Get(d.platform.Headers().InstanceID); id != "" && id != a.ID {
		// Another upstream has the address.
		return false, true
	}
	switch res.StatusCode {
	case http.StatusOK:
		return true, true
	case http.StatusServiceUnavailable:
		return false, true
	}
	return false, false
}
