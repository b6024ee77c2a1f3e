package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootNow reads the clock that also counts the time for which the machine stood
// still. Rights must be measured on it: on the usual steady clock a frozen
// owner would think, when it wakes, that its right is still fresh.
func bootNow() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Sec, t.Nsec)
}
