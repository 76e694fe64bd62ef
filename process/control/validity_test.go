package control

import (
	"testing"
	"time"
)

// TestSuspended guards against a daemon that goes on with its old state after its
// machine was suspended, which the monotonic clock does not count.
func TestSuspended(t *testing.T) {
	c := testCore("d1", "a")
	c.handle(recordsArrived{entries: testRecords(t, 2), first: 1, next: 3}, epoch, 0)
	const boot = time.Hour
	c.handle(tick{sinceBoot: boot}, epoch, 0)
	c.handle(tick{sinceBoot: boot + tickPeriod}, epoch.Add(tickPeriod), 0)
	if !c.serving {
		t.Fatal("without a suspension: got not serving, want serving")
	}
	now := epoch.Add(2 * tickPeriod)
	_, actions := c.handle(tick{sinceBoot: boot + 2*tickPeriod + 5*time.Second}, now, 0)
	if c.serving || len(find[readLog](actions)) == 0 {
		t.Errorf("after a suspension of 5 s: got serving %t, %d reads of the log; want false and one", c.serving, len(find[readLog](actions)))
	}
}

// TestValidity guards against a view that traffic uses after a pause or a suspension,
// and against one that is given up because the time of day was set.
func TestValidity(t *testing.T) {
	const boot = time.Hour
	now := time.Now()
	v := &validity{until: now.Add(validPeriod), sinceBoot: boot + validPeriod}
	for _, tc := range []struct {
		name                       string
		monotonic, wall, sinceBoot time.Duration
		want                       bool
	}{
		{"in time", time.Second, time.Second, time.Second, false},
		{"paused", 3 * time.Second, 3 * time.Second, 3 * time.Second, true},
		{"paused, time of day set back", 3 * time.Second, -time.Hour, 3 * time.Second, true},
		{"suspended", time.Second, 6 * time.Second, 6 * time.Second, true},
		{"time of day set ahead", time.Second, time.Hour, time.Second, false},
		{"time of day set back", time.Second, -time.Hour, time.Second, false},
	} {
		got := v.expired(now.Add(tc.monotonic), now.Add(tc.wall).Round(0), func() time.Duration { return boot + tc.sinceBoot })
		if got != tc.want {
			t.Errorf("%s: got expired %t, want %t", tc.name, got, tc.want)
		}
	}
	if !(*validity)(nil).expired(now, now, sinceBoot) {
		t.Error("before the first tick: got a valid view")
	}
	if first, second := sinceBoot(), sinceBoot(); first <= 0 || second < first {
		t.Errorf("got times since boot %v and %v, want them positive and in order", first, second)
	}
}
