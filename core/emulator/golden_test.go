package emulator_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"

	"lavenderpond/core/emulator"
)

// A whole small day, decision by decision: a lasting job, some others, an upkeep, and
// the owner killed in the middle.
func TestGoldenDay(t *testing.T) {
	var b strings.Builder
	d := emulator.Day{
		Seed: 11, Length: 4 * time.Second, Nodes: 2, VMs: 5, Standby: 1, JobsPerSecond: 0.4, Lasting: 1, Wave: 1,
		Faults: []emulator.Fault{{Kind: emulator.KillOwner, At: 2500 * time.Millisecond, For: 2 * time.Second}},
		Trace:  func(line string) { b.WriteString(line + "\n") },
	}
	broken, _ := emulator.Play(d)
	for _, x := range broken {
		b.WriteString("broken: " + x + "\n")
	}
	golden.Assert(t, b.String(), "small_day.golden")
}
