package limit

import (
	"time"

	"lavenderpond/core"
)

// peakUsage tracks the peak number of running slots over a period between usageWindow
// and twice usageWindow. The zero value has no observations.
type peakUsage struct {
	windowEnd         time.Time
	current, previous core.Slots
	lastUsed          time.Time
}

func (u *peakUsage) observe(now time.Time, n core.Slots) {
	u.rotate(now)
	u.current = max(u.current, n)
	u.lastUsed = now
}

func (u *peakUsage) peak(now time.Time) core.Slots {
	u.rotate(now)
	return max(u.current, u.previous)
}

// rotate starts a new window if the current one has ended.
func (u *peakUsage) rotate(now time.Time) {
	if now.Before(u.windowEnd) {
		return
	}
	u.previous = u.current
	if !now.Before(u.windowEnd.Add(usageWindow)) {
		u.previous = 0
	}
	u.current = 0
	u.windowEnd = now.Add(usageWindow)
}
