package timeline

import (
	"slices"
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestCausalOrder guards against an effect that sorts before its cause because
// the clock of the second daemon is behind.
func TestCausalOrder(t *testing.T) {
	ahead, behind := &Timeline{Name: "ahead", Zone: "a"}, &Timeline{Name: "behind", Zone: "b"}
	skew := 5 * time.Second
	ahead.Add(epoch.Add(skew), KindVersion, 1, "cause")
	behind.Add(epoch, KindStart, 0, "before")
	behind.Observe(epoch, ahead.Now(epoch.Add(skew)))
	behind.Add(epoch.Add(time.Millisecond), KindVersion, 1, "effect")
	behind.Add(epoch.Add(time.Millisecond), KindVersion, 1, "second effect")
	var got []string
	for _, e := range Merge(behind.Events(time.Time{}, 10), ahead.Events(time.Time{}, 10)) {
		got = append(got, e.Detail)
	}
	if want := []string{"before", "cause", "effect", "second effect"}; !slices.Equal(got, want) {
		t.Errorf("merged events: got %q, want %q", got, want)
	}
}

// TestWrongClock guards against one wrong clock that advances the clocks of all peers.
func TestWrongClock(t *testing.T) {
	tl := &Timeline{}
	tl.Observe(epoch, epoch.Add(MaxAhead+time.Second))
	if got := tl.Now(epoch); !got.Equal(epoch) {
		t.Errorf("clock after a remote one that is far ahead: got %v, want %v", got, epoch)
	}
}

// TestBounded guards against a timeline that grows without bound, and against a watcher
// that misses or repeats events.
func TestBounded(t *testing.T) {
	tl := &Timeline{}
	for i := range Capacity + 10 {
		tl.Add(epoch.Add(time.Duration(i)), KindLog, int64(i), "")
	}
	events := tl.Events(time.Time{}, 2*Capacity)
	if len(events) != Capacity || events[0].Version != 10 {
		t.Fatalf("events: got %d from %d, want %d from 10", len(events), events[0].Version, Capacity)
	}
	last := events[len(events)-1]
	later, changed := tl.Since(last.Time)
	if len(later) != 0 {
		t.Errorf("events since the last: got %d, want 0", len(later))
	}
	tl.Add(epoch, KindLog, -1, "late clock")
	select {
	case <-changed:
	default:
		t.Error("a new event: the channel is not closed")
	}
	if later, _ = tl.Since(last.Time); len(later) != 1 || later[0].Version != -1 {
		t.Errorf("events since the last: got %v, want the new one", later)
	}
}
