package limit

import (
	"time"

	"lavenderpond/core"
)

// usage keeps the greatest number of running slots of the last idleFor to twice
// idleFor. The zero value has seen nothing.
type usage struct {
	until         time.Time
	current, past core.Slots
	last          time.Time
}

func (u *usage) observe(now time.Time, n core.Slots) {
	u.turn(now)
	u.current = max(u.current, n)
	u.last = now
}

func (u *usage) peak(now time.Time) core.Slots {
	u.turn(now)
	return max(u.current, u.past)
}

// turn starts a new period once the current one is over.
func (u *usage) turn(now time.Time) {
	if now.Before(u.until) {
		return
	}
	u.past = u.current
	if !now.Before(u.until.Add(idleFor)) {
		u.past = 0
	}
	u.current = 0
	u.until = now.Add(idleFor)
}
