package entry

import (
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/route"
)

const (
	// probedLifetime is how long a load report is valid if instances are probed. The
	// number of requests at a busy instance changes every 20 ms.
	probedLifetime = 500 * time.Millisecond
	// refreshInterval is the time after a report, or after a probe without an answer,
	// in which the instance is not probed. It bounds the probes to the instances of a
	// small zone.
	refreshInterval = 50 * time.Millisecond
)

// probedInstance is what loads keeps of an instance because of probes.
type probedInstance struct {
	// startedSince counts the calls of this entry that were started since the report.
	startedSince int
	// incarnation is that of the daemon that sent the report in the answer to a probe;
	// zero for reports that arrived otherwise.
	incarnation uint64
	probedAt    time.Time
}

// reportedByAnswer notes that a report has arrived with the answer to a call.
func (p *probedInstance) reportedByAnswer() { p.startedSince, p.incarnation = 0, 0 }

// lifetime returns how long a report is valid.
func (l *loads) lifetime() time.Duration {
	if l.probing {
		return probedLifetime
	}
	return reportLifetime
}

// observeReport takes a load report that did not arrive with the answer to a call.
// incarnation is that of the instance's daemon. It returns false, and drops the report,
// if a daemon of a later incarnation has sent a report that is still valid.
func (l *loads) observeReport(name string, load request.Load, incarnation uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	in := l.get(name)
	if incarnation < in.incarnation && now.Before(in.reportUntil) {
		return false
	}
	if load.Limit <= 0 {
		return true
	}
	in.report, in.reportUntil = load, now.Add(l.lifetime())
	in.startedSince, in.incarnation = 0, incarnation
	return true
}

// reportAge returns the age of the valid report about an instance. ok is false if there
// is none, or if the daemon that sent it has restarted since.
func (l *loads) reportAge(inst *route.Instance, now time.Time) (age time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	in, found := l.instances[inst.Name]
	if !found || !now.Before(in.reportUntil) || in.incarnation != 0 && in.incarnation < inst.Incarnation {
		return 0, false
	}
	return now.Sub(in.reportUntil.Add(-l.lifetime())), true
}

// claimProbe reports whether an instance should be probed now, and if so notes that it
// is. An instance that fails is not probed: it is chosen only if all others fail too.
func (l *loads) claimProbe(inst *route.Instance, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	in := l.get(inst.Name)
	if now.Before(in.failingUntil) || now.Before(in.probedAt.Add(refreshInterval)) ||
		now.Before(in.reportUntil.Add(refreshInterval-l.lifetime())) && in.startedSince == 0 {
		return false
	}
	in.probedAt = now
	return true
}

// countReports returns a function for route.Query that adds the valid reports that it
// finds to n.
func (l *loads) countReports(n *int) func(*route.Instance, time.Time) (time.Duration, bool) {
	return func(inst *route.Instance, now time.Time) (time.Duration, bool) {
		age, ok := l.reportAge(inst, now)
		if ok {
			*n++
		}
		return age, ok
	}
}
