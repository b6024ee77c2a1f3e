package emulator_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"

	"lavenderpond/core/emulator"
)

// Compares all decisions of a small run with a golden file: a long-running job, some other
// jobs, the maintenance of a machine, and the kill of the owner in the middle.
func TestGoldenTrace(t *testing.T) {
	var b strings.Builder
	s := emulator.Scenario{
		Seed: 11, Length: 4 * time.Second, EntryVMs: 2, VMsPerPool: 5, StandbyMachines: 1, JobsPerSecond: 0.4, LongRunning: 1, WaveMachines: 1,
		Faults: []emulator.Fault{{Kind: emulator.KillOwner, At: 2500 * time.Millisecond, Duration: 2 * time.Second}},
		Trace:  func(line string) { b.WriteString(line + "\n") },
	}
	violations, _ := emulator.Run(s)
	for _, v := range violations {
		b.WriteString("violation: " + v + "\n")
	}
	golden.Assert(t, b.String(), "small_day.golden")
}
