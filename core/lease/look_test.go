package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/lease"
)

// Guards against entry VMs whose looks alone use up the table's reads: the owner's calls
// are refused with theirs, and nothing is served.
func TestLooksLeaveTheTableItsReads(t *testing.T) {
	const least = 150 * time.Millisecond
	for _, c := range []struct {
		entries int
		reads   float64
		want    time.Duration
	}{
		{7, 2000, least}, {36, 6000, least}, {147, 16_000, least}, {300, 2000, 750 * time.Millisecond},
		{0, 2000, least}, {300, 0, least},
	} {
		every := lease.LookEvery(least, c.entries, c.reads)
		assert.Equal(t, every, c.want, "%+v", c)
		if c.reads > 0 {
			assert.Assert(t, float64(c.entries)/every.Seconds() <= c.reads/2, "%+v", c)
		}
	}
}
