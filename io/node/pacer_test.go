package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Answers of hundreds of VMs come one by one, and a turn after each looks at the
// whole fleet. The owner falls behind, jobs pile up and turns take longer still;
// callers see jobs that wait for tens of seconds on an empty fleet.
func TestCyclesTakeABoundedShare(t *testing.T) {
	const cycleTime = 2 * time.Millisecond
	var p cyclePacer
	now, cycles := bootNow(), 0
	end := now.Add(time.Second)
	for now.Before(end) {
		now = now.Add(p.pause(now))
		cycles++
		p.recordCycle(now, now.Add(cycleTime))
		now = now.Add(cycleTime)
	}
	assert.Assert(t, time.Duration(cycles)*cycleTime <= time.Second/4, "%d turns", cycles)
	assert.Assert(t, cycles > 50, "%d turns", cycles)
}

// A process that stood still in a turn goes on soon after it wakes.
func TestPauseAfterStalledCycleIsBounded(t *testing.T) {
	var p cyclePacer
	now := bootNow()
	assert.Equal(t, p.pause(now), time.Duration(0))
	p.recordCycle(now.Add(-4*time.Second), now)
	assert.Equal(t, p.pause(now), maxCyclePause)
}
