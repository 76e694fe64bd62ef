package host

import (
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// statementLogInterval is the least interval between two log lines on a changed rate
// limit or on a malformed statement.
const statementLogInterval = time.Second

// statements logs what the upstream says about itself in its answers. The zero value
// is ready for use.
type statements struct {
	mu sync.Mutex
	// id is the incarnation of the upstream that made the last statement.
	id   string
	last request.Statement
	// namedAt is when the upstream first named a rate limit, and confirmedAt when it
	// last did.
	namedAt, confirmedAt time.Time
	// quietUntil is the time until which further changes of a limit are not logged, and
	// malformedQuietUntil the same for malformed statements.
	quietUntil, malformedQuietUntil time.Time
}

// observe handles the statement in an answer. An answer without a limit is no news if
// its request was sent before the last answer that named one.
func (s *statements) observe(h *Host, id string, st request.Statement, malformed error, sentAt time.Time) {
	now := time.Now()
	if st.RateLimit > 0 {
		h.metrics.Add("host.answersWithRateLimit", 1)
	}
	if st.Leaving {
		h.metrics.Add("host.answersOfLeaving", 1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != id {
		s.id, s.last = id, request.Statement{}
	}
	if malformed != nil {
		h.metrics.Add("host.malformedStatements", 1)
		if now.After(s.malformedQuietUntil) {
			s.malformedQuietUntil = now.Add(statementLogInterval)
			h.decisions.Write("ignoring malformed statement of the upstream", "instance", id, "error", malformed.Error())
		}
	}
	if st.Leaving && !s.last.Leaving {
		s.last.Leaving = true
		h.decisions.Write("upstream says that it leaves", "instance", id)
	}
	limit, known := st.RateLimit, s.last.RateLimit
	switch {
	case limit > 0 && known == 0:
		s.namedAt = now
		h.decisions.Write("upstream names a rate limit", "instance", id, "perSecond", limit)
	case limit > 0 && limit != known && now.After(s.quietUntil):
		h.decisions.Write("upstream changes its rate limit", "instance", id, "perSecond", limit, "before", known)
	case limit == 0 && known > 0 && malformed == nil && sentAt.After(s.confirmedAt):
		h.decisions.Write("upstream names no rate limit any more", "instance", id, "before", known, "limitedMs", now.Sub(s.namedAt).Milliseconds())
		s.last.RateLimit = 0
		return
	}
	if limit > 0 {
		if limit != known {
			s.quietUntil = now.Add(statementLogInterval)
		}
		s.last.RateLimit, s.confirmedAt = limit, now
	}
}

// rateLimitGauge is the served form of the last named rate limit.
type rateLimitGauge struct {
	PerSecond float64 `json:"perSecond"`
	// NamedMs is the time since the limit was first named, and ConfirmedMs the time since
	// it was last named.
	NamedMs     int64 `json:"namedMs"`
	ConfirmedMs int64 `json:"confirmedMs"`
}

// rateLimit returns the last named rate limit, or nil if there is none.
func (s *statements) rateLimit() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last.RateLimit == 0 {
		return nil
	}
	return rateLimitGauge{s.last.RateLimit, time.Since(s.namedAt).Milliseconds(), time.Since(s.confirmedAt).Milliseconds()}
}
