package emulator_test

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/emulator"
)

const (
	// vmsLostAt is when VMs are lost for good, lostShare their share of all VMs.
	vmsLostAt = 4 * time.Second
	lostShare = 0.25
	// ownerDowntime is how long the process of a lost or stopped owner doesn't run.
	ownerDowntime = 3 * time.Second
	// minLostAbsence is the least absence of a task that is lost with its VM.
	minLostAbsence = time.Second
	// maxAbsenceWithLease is how long a task may be without a run in total if its owner knew of the
	// lost VM: no longer than with one owner.
	maxAbsenceWithLease = 7 * time.Second
	// maxAbsenceAmidFaults is how long a long-running task may be without a run in total while
	// owners are lost again and again.
	maxAbsenceAmidFaults = 15 * time.Second
)

// Guards against a new owner that starts the tasks of a lost VM long after its lease has expired.
func TestVMsAndOwnerLostAtOnce(t *testing.T) {
	runWithLostVMs(t, lostOwners(emulator.KillOwner, vmsLostAt, 0, 1), 0)
}

// Guards against a wait for the lease of a lost VM that begins anew with the next owner.
func TestOwnerLostAfterVMs(t *testing.T) {
	runWithLostVMs(t, lostOwners(emulator.KillOwner, vmsLostAt+4*time.Second, 0, 1), maxAbsenceWithLease)
}

// Guards against a wait for the lease of a lost VM that each planned change of the owner prolongs.
func TestOwnersStoppedAfterVMsLost(t *testing.T) {
	runWithLostVMs(t, lostOwners(emulator.StopOwner, vmsLostAt+3*time.Second, 1500*time.Millisecond, 4), maxAbsenceWithLease)
}

// Guards against tasks of lost VMs that wait for as long as owners change every few seconds.
func TestOwnersLostRepeatedly(t *testing.T) {
	runWithLostVMs(t, lostOwners(emulator.KillOwner, vmsLostAt, 5*time.Second, 6), maxAbsenceAmidFaults)
}

// Guards against a task that never starts again because its lost VM's lease ends as the owner changes.
func TestOwnerLostAsLeaseEnds(t *testing.T) {
	faults := []emulator.Fault{
		{Kind: emulator.VMsCrash, At: 1500 * time.Millisecond, Share: 0.5, Duration: time.Second},
		{Kind: emulator.KillOwner, At: time.Second, Duration: ownerDowntime},
	}
	for _, at := range []time.Duration{8500 * time.Millisecond, 9 * time.Second, 9500 * time.Millisecond} {
		kill := emulator.Fault{Kind: emulator.KillOwner, At: at, Duration: ownerDowntime}
		t.Run(at.String(), func(t *testing.T) { runWithLostVMs(t, append(slices.Clone(faults), kill), 0) })
	}
}

// lostOwners returns n losses of the owner, the first at the given time.
func lostOwners(k emulator.FaultKind, at, interval time.Duration, n int) []emulator.Fault {
	var out []emulator.Fault
	for i := range n {
		out = append(out, emulator.Fault{Kind: k, At: at + time.Duration(i)*interval, Duration: ownerDowntime})
	}
	return out
}

// withLostVMs returns a scenario in which VMs are lost for good, with room for their tasks on the
// other VMs.
func withLostVMs(seed uint64, leaseMax time.Duration, faults []emulator.Fault) emulator.Scenario {
	s := withoutFaults(seed)
	s.Length, s.JobsPerSecond, s.BurstFactor, s.WaveMachines = 30*time.Second, 2, 0, 0
	s.LeaseMax = leaseMax
	lost := emulator.Fault{Kind: emulator.VMsLost, At: vmsLostAt, Share: lostShare}
	s.Faults = append([]emulator.Fault{lost}, faults...)
	return s
}

// runWithLostVMs checks the invariants in runs with lost VMs and further faults, and that no
// task is absent for longer than maxTotal unless that is 0.
func runWithLostVMs(t *testing.T, faults []emulator.Fault, maxTotal time.Duration) {
	var runsWithLosses atomic.Int64
	t.Cleanup(func() { assert.Check(t, runsWithLosses.Load() > 0, "no task was lost with its VM") })
	for _, leaseMax := range []time.Duration{6 * time.Second, 10 * time.Second} {
		for seed := range scenarioCount(4) {
			t.Run(fmt.Sprintf("lease %s seed %d", leaseMax, seed), func(t *testing.T) {
				t.Parallel()
				violations, stats := emulator.Run(withLostVMs(seed, leaseMax, faults))
				t.Logf("longest absence %s, most in total %s", stats.LongestAbsence, stats.MostAbsence)
				assert.Check(t, len(violations) == 0, "%s", strings.Join(violations, "\n"))
				if stats.LongestAbsence >= minLostAbsence {
					runsWithLosses.Add(1)
				}
				assert.Check(t, maxTotal == 0 || stats.MostAbsence < maxTotal, "a task was absent for %s in total", stats.MostAbsence)
			})
		}
	}
}
