package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/usage"
	"github.com/kingcuppitch/kingcuppitch/request/host"
)

const (
	// usageLeaveTimeout bounds giving back the lease of the usage reports, and
	// usageCloseTimeout sending the last counts.
	usageLeaveTimeout = 500 * time.Millisecond
	usageCloseTimeout = 250 * time.Millisecond
)

// fleet lists the members of the control state.
type fleet struct{ control control.Control }

// Members implements usage.Fleet.
func (f fleet) Members() []membership.Member { return f.control.Snapshot().Members }

// newUsage returns the agent of usage reports, or nil if there are none.
func (d *Daemon) newUsage() *usage.Agent {
	u := d.settings.Usage
	if d.platform == nil || !u.Address.IsValid() {
		return nil
	}
	return usage.New(usage.Config{
		Name: d.settings.Name, Incarnation: uint64(time.Now().UnixNano()), //nolint:gosec // after 1970
		Window: u.Window(), Lease: u.Lease(), Due: u.Due(), PerSecond: u.ReportsPerSecond,
	}, d.platform.UsageTopic(), d.platform.UsageService(u.Address), fleet{d.control},
		usage.WithMetrics(d.metrics), usage.WithTimeline(d.events))
}

// usageOptions returns the options of the host.
func (d *Daemon) usageOptions() []host.Option {
	if d.usage == nil {
		return nil
	}
	return []host.Option{host.WithUsage(d.usage)}
}

// handleUsage serves the counts of other daemons.
func (d *Daemon) handleUsage(mux *http.ServeMux) {
	if d.usage != nil {
		mux.Handle("POST "+usage.Path, d.usage)
	}
}

// leaveUsage gives the lease of the usage reports back.
func (d *Daemon) leaveUsage() {
	if d.usage == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), usageLeaveTimeout)
	defer cancel()
	d.usage.Leave(ctx)
}

// closeUsage sends the last counts.
func (d *Daemon) closeUsage() {
	if d.usage == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), usageCloseTimeout)
	defer cancel()
	d.usage.Close(ctx)
}
