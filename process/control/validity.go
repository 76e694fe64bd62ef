package control

import (
	"time"

	"golang.org/x/sys/unix"
)

// validity is until when traffic may use a view without a further control tick.
type validity struct {
	until time.Time
	// sinceBoot is the same time by the clock that counts suspensions of the machine.
	sinceBoot time.Duration
}

// expired reports whether the time has passed by the monotonic clock or, if the
// machine was suspended, by the time since boot. The wall clock alone does not
// decide, because it may be set; it spares the reading of the time since boot.
func (v *validity) expired(monotonic, wall time.Time, sinceBoot func() time.Duration) bool {
	if v == nil || monotonic.After(v.until) {
		return true
	}
	return wall.After(v.until.Round(0)) && sinceBoot() > v.sinceBoot
}

// sinceBoot returns the time since the machine was started. Unlike the monotonic clock
// of time.Now, it counts the time for which the machine was suspended. It is zero if
// the system has no such clock.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
