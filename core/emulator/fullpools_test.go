package emulator_test

import (
	"math/rand/v2"
	"testing"

	"lavenderpond/core/emulator"
)

// fullPoolsFrom is the range of seeds of waves in pools that are nearly full.
const fullPoolsFrom = 22_000

// fillPools leaves little room in the pools while waves begin and owners are lost. Some fleets have
// machines on standby, and some have short jobs, faults, VMs that drain and evacuations as well.
func fillPools(s *emulator.Scenario) {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	s.VMsPerPool, s.StandbyMachines, s.LongRunning = 3+rng.IntN(4), rng.IntN(2), 0
	s.FullPools.Share = 0.75 + 0.23*rng.Float64()
	s.WaveMachines, s.FurtherWaves = 1+rng.IntN(6), rng.IntN(3)
	s.JobsPerSecond, s.BurstFactor = 0, 0
	if s.Seed%2 == 0 {
		s.Faults = emulator.RandomFaultsOf(emulator.KillOwner, s.Seed, s.Length, 1+rng.IntN(2))
	}
	if s.Seed%4 == 0 {
		s.Faults = append(s.Faults, emulator.RandomFaults(s.Seed, s.Length, 1)...)
	}
	if s.Seed%5 == 0 {
		s.Faults = append(s.Faults, emulator.RandomFaultsOf(emulator.VMsDrain, s.Seed, s.Length, 1+rng.IntN(2))...)
	}
	if s.Seed%7 == 0 {
		s.Evacuations = emulator.RandomEvacuations(s.Seed, s.Length, 1+rng.IntN(2))
	}
	if s.Seed%3 == 0 {
		s.FullPools.Share = 0.5 + 0.2*rng.Float64()
		s.JobsPerSecond, s.BurstFactor, s.UnansweredMachineOrderShare = 1, 3, 0.1
	}
}

// Guards against waves that stop tasks for which there is no room elsewhere, keep them away, or leave
// machines that could be emptied.
func TestWavesInFullPools(t *testing.T) { runSeedRange(t, fullPoolsFrom, 16) }
