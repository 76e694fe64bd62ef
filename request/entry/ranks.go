package entry

import (
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/dependency"
	"github.com/kingcuppitch/kingcuppitch/request/retry"
)

// ranks is what an entry knows with WithCallRanks.
type ranks struct {
	learner *dependency.Learner
}

// WithCallRanks makes the entry recognise the calls of the upstream beside the daemon,
// obey the ranks that instances admit, and limit requests whose runs cannot finish. The
// host of the daemon observes the runs.
func WithCallRanks(l *dependency.Learner) Option {
	return func(e *Entry) { e.ranks = &ranks{learner: l} }
}

// countRequest counts a new request in the retry budget.
func (k *ranks) countRequest(b *retry.Budget, call *request.Call, percent int, slack float64, entries int) {
	now, repeats := time.Now(), 0.0
	if call.Nested {
		repeats = k.learner.RepeatShare(now)
	}
	b.RequestRanked(now, percent, slack, entries, repeats)
}
