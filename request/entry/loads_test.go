package entry

import (
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// TestLimitedInstanceNotFailing guards against an instance that entries avoid as if it
// failed because its host holds the rate limit that it names.
func TestLimitedInstanceNotFailing(t *testing.T) {
	var l loads
	now := time.Now()
	report := &request.Answer{Load: request.Load{InFlight: 1, Limit: 2, RateLimit: 20}}
	refusal := &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonRateLimit}
	for range 20 {
		l.start("i")
		l.finish("i", "r", report, refusal, now)
	}
	ratio, failing := l.Ratio("i", now.Add(saturatedPeriod))
	if failing || ratio >= 1 {
		t.Errorf("got a load ratio of %v and failing %v, want room and no failure once a slot may be free", ratio, failing)
	}
	if got := l.Slowness("i", now); got != 1 {
		t.Errorf("got a slowness of %v, want 1", got)
	}
	if ratio, _ := l.Ratio("i", now); ratio < saturatedRatio {
		t.Errorf("got a load ratio of %v right after a refusal, want a saturated instance", ratio)
	}
}
