package host

import (
	"fmt"
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
)

// statementLogInterval is the least interval between two log lines on a changed rate
// limit or on a malformed statement.
const statementLogInterval = time.Second

// RateLimiter is a Limiter that bounds the requests per second to the limit that the
// upstream names in its answers.
type RateLimiter interface {
	Limiter
	// ObserveRateLimit handles the limit in the answer to the request of a ticket and
	// returns the limit in force before and after. Zero means no limit.
	ObserveRateLimit(now time.Time, t admission.Ticket, perSecond float64) (before, after float64)
	// RateLimit returns the limit in force.
	RateLimit() admission.RateLimit
}

// noRateLimiter ignores the limits that an upstream names.
type noRateLimiter struct{ Limiter }

func (noRateLimiter) ObserveRateLimit(time.Time, admission.Ticket, float64) (before, after float64) {
	return 0, 0
}
func (noRateLimiter) RateLimit() admission.RateLimit { return admission.RateLimit{} }

// statements logs and counts what the upstream says about itself in its answers. The
// zero value is ready for use.
type statements struct {
	mu sync.Mutex
	// changesQuietUntil is the time until which changes of a limit are not logged, and
	// malformedQuietUntil the same for malformed statements.
	changesQuietUntil, malformedQuietUntil time.Time
}

// malformed handles a statement that could not be read.
func (s *statements) malformed(h *Host, id string, err error) {
	h.metrics.Add("host.malformedStatements", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.After(s.malformedQuietUntil) {
		s.malformedQuietUntil = now.Add(statementLogInterval)
		h.decisions.Write("ignoring malformed statement of the upstream", "instance", id, "error", err.Error())
	}
}

// rateLimit handles the limit in force before and after an answer; zero means none.
func (s *statements) rateLimit(h *Host, id string, before, after float64) {
	if before == after {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case before == 0:
		h.decisions.Write("upstream names a rate limit", "instance", id, "perSecond", after)
	case after == 0:
		h.decisions.Write("upstream names no rate limit any more", "instance", id, "before", before)
	case now.After(s.changesQuietUntil):
		s.changesQuietUntil = now.Add(statementLogInterval)
		h.decisions.Write("upstream changes its rate limit", "instance", id, "perSecond", after, "before", before)
	}
}

// rateLimitGauge is the served form of the rate limit in force.
type rateLimitGauge struct {
	PerSecond float64 `json:"perSecond"`
	// LimitedMs is the time since the upstream first named a limit, and ConfirmedMs the
	// time since it last did.
	LimitedMs   int64 `json:"limitedMs"`
	ConfirmedMs int64 `json:"confirmedMs"`
}

// rateLimitGauge returns the rate limit in force, or nil if there is none.
func (h *Host) rateLimitGauge() any {
	l := h.limiter.RateLimit()
	if l.PerSecond == 0 {
		return nil
	}
	return rateLimitGauge{l.PerSecond, time.Since(l.Since).Milliseconds(), time.Since(l.ConfirmedAt).Milliseconds()}
}

// Check takes the locks that a call to the upstream takes. It does not return while one
// of them is held.
func (h *Host) Check() {
	h.load()
	h.calls.check()
	if t := h.target.Load(); t != nil {
		t.pool.Check()
	}
}

// Warning describes what the upstream says about itself that restricts its use; it is
// empty if there is nothing.
func (h *Host) Warning() string {
	t := h.target.Load()
	if t != nil && t.leaving.Load() {
		return fmt.Sprintf("upstream %s says that it leaves and is not used", t.ID)
	}
	if l := h.limiter.RateLimit(); l.PerSecond > 0 {
		return fmt.Sprintf("the upstream has named a limit for %v, now %.4g requests per second, last %v ago; %d calls refused for it since the start of the daemon",
			time.Since(l.Since).Round(time.Second), l.PerSecond, time.Since(l.ConfirmedAt).Round(time.Millisecond), h.metrics.Get("host.refused."+string(request.ReasonRateLimit)))
	}
	return h.capacityWarning()
}

// observeStatement handles what the upstream says about itself in an answer.
func (uc *upstreamCall) observeStatement(st request.Statement, err error) {
	h := uc.host
	if err != nil {
		h.statements.malformed(h, uc.target.ID, err)
	}
	if st.RateLimit > 0 {
		h.metrics.Add("host.answersWithRateLimit", 1)
	}
	if st.Leaving {
		h.metrics.Add("host.answersOfLeaving", 1)
		if uc.target.leaving.CompareAndSwap(false, true) {
			h.decisions.Write("upstream says that it leaves", "instance", uc.target.ID)
			go h.leaving(uc.target.Upstream)
		}
	}
	if st.RateLimit == 0 && err != nil {
		// The limit in force may be the one that could not be read.
		return
	}
	before, after := h.limiter.ObserveRateLimit(time.Now(), uc.ticket, st.RateLimit)
	h.statements.rateLimit(h, uc.target.ID, before, after)
}
