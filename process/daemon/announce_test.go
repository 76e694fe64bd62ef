package daemon

import (
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

// TestZoneReturns guards against full load on an upstream that became cold while its
// zone was out of service and has not announced itself since.
func TestZoneReturns(t *testing.T) {
	var d Daemon
	view := func(out bool) *control.Snapshot {
		return &control.Snapshot{
			State: &fold.State{Zones: map[string]fold.Zone{"a": {Out: out}}}, Self: membership.Member{Zone: "a"},
		}
	}
	now := time.Now()
	before := &Announcement{ID: "i"}
	if got := d.effectiveAnnouncement(view(false), before, now); !got.ColdUntil.IsZero() {
		t.Errorf("in service: cold until %v", got.ColdUntil)
	}
	d.effectiveAnnouncement(view(true), before, now)
	if got := d.effectiveAnnouncement(view(false), before, now); !got.ColdUntil.After(now) {
		t.Error("the upstream does not count as cold when its zone returns")
	}
	after := &Announcement{ID: "i"}
	if got := d.effectiveAnnouncement(view(false), after, now); !got.ColdUntil.IsZero() {
		t.Errorf("after an announcement: cold until %v", got.ColdUntil)
	}
}

// TestOlder guards against a late announcement that replaces a newer one.
func TestOlder(t *testing.T) {
	known := Announcement{ID: "i", Incarnation: 100, Seq: 5}
	for _, c := range []struct {
		name string
		a    Announcement
		want bool
	}{
		{"next", Announcement{ID: "i", Incarnation: 100, Seq: 6}, false},
		{"repeated", Announcement{ID: "i", Incarnation: 100, Seq: 5}, true},
		{"crossed", Announcement{ID: "i", Incarnation: 100, Seq: 4}, true},
		{"restarted", Announcement{ID: "i", Incarnation: 101, Seq: 1}, false},
		{"earlierStart", Announcement{ID: "h", Incarnation: 99, Seq: 50}, true},
		{"noIncarnation", Announcement{ID: "i", Seq: 50}, true},
		{"noSeq", Announcement{ID: "i", Incarnation: 100}, false},
	} {
		if got := c.a.older(&known); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestProbePause guards against health probes of an upstream in need that are more
// frequent than the rate limit that it names.
func TestProbePause(t *testing.T) {
	for _, c := range []struct {
		limit float64
		want  time.Duration
	}{{0, 50 * time.Millisecond}, {100, 50 * time.Millisecond}, {2, 500 * time.Millisecond}} {
		ans := healthResult{statement: request.Statement{RateLimit: c.limit}}
		if got := ans.pause(50 * time.Millisecond); got != c.want {
			t.Errorf("limit %v: got %v, want %v", c.limit, got, c.want)
		}
	}
}
