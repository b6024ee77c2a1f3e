package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against cycles that use all of the owner's CPU time. Answers of hundreds of VMs
// arrive one by one, and a cycle after each examines the whole fleet. The owner would fall
// behind, jobs would accumulate and cycles would take longer still, so that jobs wait tens
// of seconds on an empty fleet.
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
	assert.Assert(t, time.Duration(cycles)*cycleTime <= time.Second/4, "%d cycles", cycles)
	assert.Assert(t, cycles > 50, "%d cycles", cycles)
}

// Checks that a process that was suspended during a cycle continues soon after it resumes.
func TestPauseAfterStalledCycleIsBounded(t *testing.T) {
	var p cyclePacer
	now := bootNow()
	assert.Equal(t, p.pause(now), time.Duration(0))
	p.recordCycle(now.Add(-4*time.Second), now)
	assert.Equal(t, p.pause(now), maxCyclePause)
}
