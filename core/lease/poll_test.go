package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/lease"
)

// Guards against entry VMs whose polling alone exhausts the table's read throughput. The
// table would then refuse the owner's calls as well, and no work would be done.
func TestPollIntervalBoundsReadLoad(t *testing.T) {
	const minInterval = 150 * time.Millisecond
	for _, c := range []struct {
		entries int
		reads   float64
		want    time.Duration
	}{
		{7, 2000, minInterval}, {36, 6000, minInterval}, {147, 16_000, minInterval}, {300, 2000, 750 * time.Millisecond},
		{0, 2000, minInterval}, {300, 0, minInterval},
	} {
		interval := lease.PollInterval(minInterval, c.entries, c.reads)
		assert.Equal(t, interval, c.want, "%+v", c)
		if c.reads > 0 {
			assert.Assert(t, float64(c.entries)/interval.Seconds() <= c.reads/2, "%+v", c)
		}
	}
}
