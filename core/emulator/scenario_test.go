package emulator_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/emulator"
)

// scenarioCountVariable sets how many days each test plays; CI plays few.
const scenarioCountVariable = "LAVENDERPOND_DAYS"

func scenarioCount(defaultCount uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(scenarioCountVariable), 10, 64); err == nil {
		return n
	}
	return defaultCount
}

// withoutFaults is a day with load, lasting jobs and a wave, and no trouble.
func withoutFaults(seed uint64) emulator.Scenario {
	return emulator.Scenario{
		Seed: seed, Length: 20 * time.Second, EntryVMs: 5, VMsPerPool: 8, StandbyMachines: 3, JobsPerSecond: 3, Burst: 3, LongRunning: 2, WaveMachines: 7,
	}
}

// Ranges of seeds, so that a seed alone says what kind of day it is.
const (
	faultsFrom        = 1000
	lateOrdersFrom    = 2000
	quotaFrom         = 3000
	evacuationsFrom   = 4000
	failingTasksFrom  = 5000
	crashingTasksFrom = 6000
	resizingVMsFrom   = 7000
	reusedIDsFrom     = 8000
	zoneCutsFrom      = 9000
	seedRange         = 1000
)

// scenarioOf returns the day of a seed.
func scenarioOf(seed uint64) emulator.Scenario {
	s := withoutFaults(seed)
	switch seed / seedRange * seedRange {
	case faultsFrom:
		s.Faults = emulator.RandomFaults(seed, s.Length, 4)
	case lateOrdersFrom:
		s.LateOrderShare = 0.03
		s.Faults = emulator.RandomFaults(seed, s.Length, 3)
	case quotaFrom:
		s.Quota = 40_000
		s.Faults = emulator.RandomFaults(seed, s.Length, 3)
	case evacuationsFrom:
		s.Evacuations = emulator.RandomEvacuations(seed, s.Length, 3)
		s.Faults = emulator.RandomFaults(seed, s.Length, int(seed%4))
	case failingTasksFrom:
		s.JobsPerSecond, s.Burst, s.FailingShare = 1.5, 0, 0.5
		s.Faults = append(emulator.RandomFaults(seed, s.Length, 2), emulator.RandomCutsWithCrashes(seed, s.Length, 3)...)
	case crashingTasksFrom:
		s.CrashingShare, s.CrashingLongRunningShare = 0.03, 0.15
		s.Faults = emulator.RandomFaults(seed, s.Length, 3)
	case resizingVMsFrom:
		s.ResizingShare = 0.4
		s.Faults = emulator.RandomFaults(seed, s.Length, 3)
	case reusedIDsFrom:
		s.LateOrderShare = 0.05
		s.Faults = append(emulator.RandomFaults(seed, s.Length, 3), emulator.RandomFaultsOf(emulator.VMsCrashSameID, seed, s.Length, 3)...)
	case zoneCutsFrom:
		s.Faults = emulator.RandomFaultsOf(emulator.CutZone, seed, s.Length, 5)
	}
	return s
}

func runScenario(t *testing.T, seed uint64) emulator.Stats {
	t.Helper()
	s := scenarioOf(seed)
	violations, stats := emulator.Run(s)
	assert.Assert(t, len(violations) == 0, "seed %d, faults %v:\n%s", seed, s.Faults, strings.Join(violations, "\n"))
	return stats
}

func runSeeds(t *testing.T, seeds []uint64) {
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runScenario(t, seed)
		})
	}
}

// runRange plays the first days of a range.
func runRange(t *testing.T, from, defaultCount uint64) {
	var seeds []uint64
	for i := range scenarioCount(defaultCount) {
		seeds = append(seeds, from+i)
	}
	runSeeds(t, seeds)
}

func TestWithoutFaults(t *testing.T) {
	for seed := range uint64(4) {
		stats := runScenario(t, seed)
		assert.Assert(t, stats.InTime*100 >= stats.Completed*80, "%+v", stats)
	}
}

// A day is played again exactly: else a seed that failed would prove nothing.
func TestSameSeedRepeats(t *testing.T) {
	_, first := emulator.Run(scenarioOf(1007))
	_, second := emulator.Run(scenarioOf(1007))
	assert.Equal(t, fmt.Sprint(first), fmt.Sprint(second))
}

// Kills, freezes, cuts, outages and crashes come in series and overlap. Whatever
// happens, no task runs twice, nothing starts out of order, and in the end all
// that was accepted is over and all that is to last runs.
func TestWithFaults(t *testing.T) { runRange(t, faultsFrom, 24) }

// A share of all orders gets no answer and is carried out seconds later, while
// owners change and VMs crash.
func TestWithLateOrders(t *testing.T) { runRange(t, lateOrdersFrom, 16) }

// An account with a small cap never has more running, whoever owns the fleet.
func TestQuotaHolds(t *testing.T) { runRange(t, quotaFrom, 6) }

// Availability zones are evacuated, one, several or all at a time, while owners are
// lost, zones cut and the table is out of reach: no start there once the request has
// had its time, by whichever process, and all that was accepted still comes to its end.
func TestWithEvacuations(t *testing.T) { runRange(t, evacuationsFrom, 16) }

// Guards against done siblings of a failed task that start again under the next owner.
func TestWithFailingTasks(t *testing.T) { runRange(t, failingTasksFrom, 8) }

// Guards against a task that crashes one VM after the other and is started without end.
func TestWithCrashingTasks(t *testing.T) { runRange(t, crashingTasksFrom, 8) }

// Guards against starts on VMs that have shrunk since and take whatever they are told to start.
func TestWithResizingVMs(t *testing.T) { runRange(t, resizingVMsFrom, 8) }

// Guards against late orders that change what runs on a new life of their VM.
func TestWithLateOrdersToRestartedVMs(t *testing.T) { runRange(t, reusedIDsFrom, 8) }

// Guards against two owners, each out of reach of some VMs, that both start a task.
func TestWithZonesCutOff(t *testing.T) { runRange(t, zoneCutsFrom, 4) }

// Days that once failed:
//   - 1050: an upkeep that was refused as busy, after an earlier order for the
//     machine was carried out, let the wave take one machine too many away;
//   - 2012: a VM that a new owner hadn't heard yet counted as empty and had its
//     upkeep under running tasks;
//   - 3111: a start was taken by a new life of its VM; its lease was reckoned from
//     the former life's clock, and the task was started a second time;
//   - 1059: two take-overs in a row, and the second new owner didn't know of the
//     first one's orders for a machine;
//   - 3025: what an account had running on VMs out of reach didn't count against
//     its cap for a new owner;
//   - 3166: an account asked more than its cap, and the day ended before its last
//     job: days now go on until all is over, four minutes at most;
//   - 2034, 2066: a start without an answer reached a new life under the same ID;
//   - 5016, 5020, 5090: a job failed, the done end of a sibling was noted before that was
//     stored, and the next owner started the sibling again.
func TestRegressionSeeds(t *testing.T) {
	runSeeds(t, []uint64{1003, 1050, 1055, 1059, 2012, 2034, 2066, 3025, 3068, 3111, 3166, 5016, 5020, 5090})
}

// Guards against a hold of a VM's former life that is carried out by the new one, which then forgets ends that nobody has seen.
func TestLateHoldToRestartedVM(t *testing.T) { runSeeds(t, []uint64{2050, 8009}) }
