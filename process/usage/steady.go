package usage

import (
	"time"

	"golang.org/x/sys/unix"
)

// steadyClock tells times that follow each other as the time since the machine was
// started, and thus count its suspensions. They start at the time of day, never jump, and
// can be compared with each other only.
type steadyClock struct {
	origin    time.Time
	sinceBoot time.Duration
}

func newSteadyClock() *steadyClock {
	return &steadyClock{origin: time.Now(), sinceBoot: sinceBoot()}
}

// now returns the time without a monotonic reading.
func (s *steadyClock) now() time.Time {
	if b := sinceBoot(); b > 0 && s.sinceBoot > 0 {
		return s.origin.Round(0).Add(b - s.sinceBoot)
	}
	return s.origin.Round(0).Add(time.Since(s.origin))
}

// sinceBoot returns the time since the machine was started, or zero if the system has no
// such clock.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
