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

// TestFrozenHolderSession: the holder freezes past its lease with requests behind
// it. Its successor announces, takes over in sync, answers retries of what was
// started as unknown and runs new ids. The holder wakes, has no right any more,
// and sends callers on to the new holder.
func TestFrozenHolderSession(t *testing.T) {
	w := newWorld(1, faults{delay: 1}, safeguardsOff{})
	var log strings.Builder
	w.trace = func(format string, args ...any) {
		fmt.Fprintf(&log, "%6.2f  ", (time.Duration(w.t) * step).Seconds())
		fmt.Fprintf(&log, format+"\n", args...)
	}
	request := func(id string) worldRequest {
		now := worldStart.Add(time.Duration(w.t) * step)
		return worldRequest{key: core.RequestKey{Team: "t", ID: core.RequestID(id)}, deadline: now.Add(7 * time.Second)}
	}
	run := func(steps int) {
		for range steps {
			w.t++
			w.advance()
		}
	}
	run(80)
	holder := w.byName[w.entries[0].k.shards[0].row.Holder]
	successor := w.byName[w.entries[0].k.shards[0].row.Successor]
	started := request("started-before")
	w.askAt(holder, started)
	w.askAt(successor, request("sent-to-successor"))
	run(10)
	w.trace("%s freezes", holder.name)
	holder.paused = 1
	w.askAt(successor, started)
	run(118)
	w.askAt(successor, started)
	w.askAt(successor, request("first-after"))
	run(10)
	w.trace("%s wakes", holder.name)
	holder.paused = 0
	w.askAt(holder, request("asked-on-waking"))
	run(20)
	w.askAt(holder, request("asked-after-waking"))
	w.askAt(successor, started)
	run(20)
	assert.Equal(t, w.runs[started.key], 1)
	golden.Assert(t, log.String(), "frozen_holder.golden")
}
