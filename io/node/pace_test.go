package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Answers of hundreds of VMs come one by one, and a turn after each looks at the
// whole fleet. The owner falls behind, jobs pile up and turns take longer still;
// callers see jobs that wait for tens of seconds on an empty fleet.
func TestTurnsTakeABoundedShare(t *testing.T) {
	const turnTakes = 2 * time.Millisecond
	var p turnPacer
	now, turns := bootNow(), 0
	end := now.Add(time.Second)
	for now.Before(end) {
		now = now.Add(p.pause(now))
		turns++
		p.took(now, now.Add(turnTakes))
		now = now.Add(turnTakes)
	}
	assert.Assert(t, time.Duration(turns)*turnTakes <= time.Second/4, "%d turns", turns)
	assert.Assert(t, turns > 50, "%d turns", turns)
}

// A process that stood still in a turn goes on soon after it wakes.
func TestTurnThatStoodStill(t *testing.T) {
	var p turnPacer
	now := bootNow()
	assert.Equal(t, p.pause(now), time.Duration(0))
	p.took(now.Add(-4*time.Second), now)
	assert.Equal(t, p.pause(now), turnPauseMost)
}
