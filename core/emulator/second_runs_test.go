package emulator_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lavenderpond/core/emulator"
	"lavenderpond/core/policy"
)

// Load: VMs crash, availability zones are cut off and owners are lost, while half of the steps
// allow second runs. No other task may have one, and more jobs than without second runs must be in
// time: a silent VM's runs are out of reach for the whole of its lease.
func TestSecondRuns(t *testing.T) {
	var without, with int
	for seed := range uint64(4) {
		s := withoutFaults(seed)
		s.Load.SpeculativeShare = 0.5
		s.Faults = append(emulator.RandomFaultsOf(emulator.VMsCrash, seed, s.Length, 3), emulator.RandomFaults(seed, s.Length, 3)...)
		s.Faults = append(s.Faults, emulator.RandomFaultsOf(emulator.CutZone, seed, s.Length, 1)...)
		_, off := emulator.Run(s)
		s.Policy = policy.Policy{RunTimeForecast: true, SecondRuns: true}
		violations, on := emulator.Run(s)
		assert.Assert(t, len(violations) == 0, "seed %d:\n%s", seed, strings.Join(violations, "\n"))
		without, with = without+off.InTime, with+on.InTime
	}
	t.Logf("in time: %d without, %d with second runs", without, with)
	assert.Assert(t, with > without, "%d jobs in time instead of %d", with, without)
}
