package session

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot reads the clock that never goes back and goes on while the machine
// is suspended. Go's monotonic clock stops then, and a lease measured with it
// would look valid after the machine wakes.
func sinceBoot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
