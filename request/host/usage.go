package host

import (
	"errors"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// UsageCounter counts the requests of tenants that the upstream begins to run.
type UsageCounter interface {
	// Count counts a request that is about to be sent and returns its window of time.
	Count(tenant string) (window int64)
	// TakeBack takes back a request, in the window in which it was counted, that the
	// upstream did not run.
	TakeBack(tenant string, window int64)
}

// WithUsage sets the counter of the requests of tenants.
func WithUsage(u UsageCounter) Option { return func(h *Host) { h.usage = u } }

type noUsage struct{}

func (noUsage) Count(string) int64     { return 0 }
func (noUsage) TakeBack(string, int64) {}

// countUsage counts a call of a tenant.
func (uc *upstreamCall) countUsage() {
	if uc.call.Tenant != "" {
		uc.usageWindow = uc.host.usage.Count(uc.call.Tenant)
	}
}

// takeBackUsage takes the call back if it has certainly not run: it was not sent, or the
// upstream refused it.
func (uc *upstreamCall) takeBackUsage(err error) {
	var ref *request.Refusal
	if uc.call.Tenant != "" && errors.As(err, &ref) && ref.Outcome == request.NotRun {
		uc.host.usage.TakeBack(uc.call.Tenant, uc.usageWindow)
	}
}
