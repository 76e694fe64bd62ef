package host

import "github.com/kingcuppitch/kingcuppitch/request"

// ProbeReport returns the load of the upstream for the answer to a probe. The mean answer time
// is that of all routes. The limit is zero if the host takes no calls now, so that no
// entry believes it idle.
func (h *Host) ProbeReport() request.Load {
	snap, tgt := h.view.Snapshot(), h.target.Load()
	if h.draining.Load() || !snap.Serving || snap.ZoneOut() || snap.Self.State != "ready" || tgt == nil || tgt.leaving.Load() {
		return request.Load{}
	}
	l := h.Report(nil)
	l.Mean = h.meanTimes.ofAll()
	return l
}
