package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
)

// maxAnnouncement bounds an announcement, in bytes.
const maxAnnouncement = 4 << 10

// announcement is what the upstream posts each second.
type announcement struct {
	Service     string         `json:"service"`
	Version     string         `json:"version"`
	Address     netip.AddrPort `json:"address"`
	Incarnation uint64         `json:"incarnation"`
	State       string         `json:"state"`
}

func (a *announcement) check() error {
	switch membership.State(a.State) {
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

// announce takes an announcement of the upstream beside the daemon.
func (d *Daemon) announce(w http.ResponseWriter, r *http.Request) {
	var a announcement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&a)
	if err == nil {
		err = a.check()
	}
	if err != nil {
		d.metrics.Add("announce.malformed", 1)
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	d.setUpstream(a)
	d.control.Announce(a.Service, a.Version, a.State, a.Incarnation)
	w.WriteHeader(http.StatusNoContent)
}

// setUpstream takes an announcement that was checked.
func (d *Daemon) setUpstream(a announcement) {
	d.announced.Store(&a)
	d.applyLimits(d.control.Snapshot())
	if old := d.incarnation.Swap(a.Incarnation); old != a.Incarnation {
		now := time.Now()
		d.host.Restarted(now)
		if old != 0 {
			d.limiter.Restarted(now)
		}
	}
	d.control.Recorder().SetUpstream(a.Address.String(), a.Incarnation)
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
		d.limiter.SetLimits(admission.Limits{Slots: u.Slots, ColdSlots: u.ColdSlots})
		d.host.SetUpstream(a.Address, u.Connections)
	}
}
