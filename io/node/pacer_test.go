package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against rounds that use all of the owner's CPU time. Answers of hundreds of VMs
// arrive one by one, and a round after each examines the whole fleet. The owner would fall
// behind, jobs would accumulate and rounds would take longer still, so that jobs wait tens
// of seconds on an empty fleet.
func TestRoundsUseBoundedShareOfTime(t *testing.T) {
	const roundTime = 2 * time.Millisecond
	var p roundPacer
	now, rounds := bootNow(), 0
	end := now.Add(time.Second)
	for now.Before(end) {
		now = now.Add(p.pause(now))
		rounds++
		p.recordRound(now, now.Add(roundTime))
		now = now.Add(roundTime)
	}
	assert.Assert(t, time.Duration(rounds)*roundTime <= time.Second/4, "%d rounds", rounds)
	assert.Assert(t, rounds > 50, "%d rounds", rounds)
}

// Checks that a process that was suspended during a round continues soon after it resumes.
func TestPauseAfterStalledRoundIsBounded(t *testing.T) {
	var p roundPacer
	now := bootNow()
	assert.Equal(t, p.pause(now), time.Duration(0))
	p.recordRound(now.Add(-4*time.Second), now)
	assert.Equal(t, p.pause(now), maxRoundPause)
}
