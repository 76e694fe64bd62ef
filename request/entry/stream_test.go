package entry

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// TestStreamFailures guards against an instance that gets the next request although its
// answers begin well and never end.
func TestStreamFailures(t *testing.T) {
	now := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
	answer := func(l *loads, end error) {
		l.start("d1")
		l.finish("d1", "r", &request.Answer{Status: 200, Rest: io.NopCloser(strings.NewReader("x"))}, nil, now)
		rest := &streamedRest{ReadCloser: io.NopCloser(iotest.ErrReader(end)), done: func(broken bool) { l.finishStream("d1", broken, now) }}
		_, _ = io.Copy(io.Discard, rest)
		_ = rest.Close()
	}
	var l loads
	for range 6 {
		answer(&l, context.DeadlineExceeded)
	}
	ratio, failing := l.Ratio("d1", now.Add(maxFailingTime/2))
	if !failing || ratio == 0 || l.Slowness("d1", now) <= 2 {
		t.Errorf("answers that do not end: got ratio %v, failing %t, slowness %v; want it avoided", ratio, failing, l.Slowness("d1", now))
	}
	later := now.Add(2 * maxFailingTime)
	now = later
	answer(&l, io.EOF)
	answer(&l, context.DeadlineExceeded)
	if _, failing := l.Ratio("d1", now.Add(minFailingTime)); failing {
		t.Error("an answer that ended: got the instance avoided as long as before")
	}
}
