package lease

import (
	"time"

	"lavenderpond/core/job"
)

// Clock estimates a VM's clock from its readings. The zero value has no reading.
type Clock struct {
	reading job.VMClock
	readAt  time.Time
}

// Observe records a reading that was received at now.
func (c *Clock) Observe(reading job.VMClock, now time.Time) {
	if reading >= c.Earliest(now) || c.readAt.IsZero() {
		c.reading, c.readAt = reading, now
	}
}

// Known reports whether there is a reading of the clock.
func (c *Clock) Known() bool { return !c.readAt.IsZero() }

// Earliest returns the minimum that the VM's clock can show at now.
func (c *Clock) Earliest(now time.Time) job.VMClock {
	return c.reading + job.VMClock(float64(now.Sub(c.readAt).Milliseconds())*MinClockRate)
}

// SurelyAt returns the time by which the VM's clock has passed the reading, even if it runs at
// the slowest rate.
func (c *Clock) SurelyAt(reading job.VMClock) time.Time {
	remaining := float64(reading - c.reading)
	return c.readAt.Add(time.Duration(remaining / MinClockRate * float64(time.Millisecond)))
}

// Estimate returns what the VM's clock shows at now if it runs at the nominal rate.
func (c *Clock) Estimate(now time.Time) job.VMClock {
	return c.reading + job.VMClock(now.Sub(c.readAt).Milliseconds())
}
