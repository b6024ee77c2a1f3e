package lease

import (
	"time"

	"lavenderpond/core/job"
)

// Clock relates a VM's clock to ours. Its zero value knows nothing.
type Clock struct {
	reading job.VMClock
	at      time.Time
}

// Observe notes a reading that was received at now.
func (c *Clock) Observe(reading job.VMClock, now time.Time) {
	if reading >= c.Earliest(now) || c.at.IsZero() {
		c.reading, c.at = reading, now
	}
}

// Known tells whether the clock was ever read.
func (c *Clock) Known() bool { return !c.at.IsZero() }

// Earliest returns the least that the VM's clock can show at now.
func (c *Clock) Earliest(now time.Time) job.VMClock {
	return c.reading + job.VMClock(float64(now.Sub(c.at).Milliseconds())*MinClockRate)
}

// Estimate returns what the VM's clock shows at now if it runs true.
func (c *Clock) Estimate(now time.Time) job.VMClock {
	return c.reading + job.VMClock(now.Sub(c.at).Milliseconds())
}
