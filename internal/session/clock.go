package session

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClockNow returns the time of the boot clock, which is monotonic and keeps
// running while the machine is suspended. Go's monotonic clock stops during
// suspension, so a lease measured with it would look valid after the machine
// resumes.
func bootClockNow() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
