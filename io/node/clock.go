package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootNow reads CLOCK_BOOTTIME, which also counts time during which the machine was
// suspended. Ownership must be measured with it: on the monotonic clock, an owner that was
// suspended would still consider its ownership fresh when it resumes.
func bootNow() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Sec, t.Nsec)
}
