package shard

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"lavenderpond/core"
)

// TestFrozenHolderSession freezes the holder past its lease while requests are in
// progress. The successor announces a takeover, takes over in sync, answers
// retries of started requests with "unknown", and runs new ids. When the holder
// resumes, it has no lease and refers callers to the new holder.
func TestFrozenHolderSession(t *testing.T) {
	sim := newSimulation(1, faults{delay: 1}, disabledSafeguards{})
	var log strings.Builder
	sim.trace = func(format string, args ...any) {
		fmt.Fprintf(&log, "%6.2f  ", (time.Duration(sim.step) * stepLength).Seconds())
		fmt.Fprintf(&log, format+"\n", args...)
	}
	request := func(id string) simRequest {
		now := simStart.Add(time.Duration(sim.step) * stepLength)
		return simRequest{key: core.RequestKey{Team: "t", ID: core.RequestID(id)}, deadline: now.Add(7 * time.Second)}
	}
	run := func(steps int) {
		for range steps {
			sim.step++
			sim.advance()
		}
	}
	run(80)
	holder := sim.byName[sim.entries[0].leases.shards[0].row.Holder]
	successor := sim.byName[sim.entries[0].leases.shards[0].row.Successor]
	started := request("started-before")
	sim.askAt(holder, started)
	sim.askAt(successor, request("sent-to-successor"))
	run(10)
	sim.trace("%s freezes", holder.name)
	holder.paused = 1
	sim.askAt(successor, started)
	run(118)
	sim.askAt(successor, started)
	sim.askAt(successor, request("first-after"))
	run(10)
	sim.trace("%s wakes", holder.name)
	holder.paused = 0
	sim.askAt(holder, request("asked-on-waking"))
	run(20)
	sim.askAt(holder, request("asked-after-waking"))
	sim.askAt(successor, started)
	run(20)
	assert.Equal(t, sim.runs[started.key], 1)
	golden.Assert(t, log.String(), "frozen_holder.golden")
}
