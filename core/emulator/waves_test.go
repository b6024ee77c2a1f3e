package emulator_test

import (
	"testing"
	"time"

	"lavenderpond/core/emulator"
)

// Ranges of seeds of waves whose machines or requests change. Each has a cause of its own, and
// changingWavesFrom all of them.
const (
	missingMachinesFrom = 18_000
	laggingListsFrom    = 19_000
	rewrittenWavesFrom  = 20_000
	changingWavesFrom   = 21_000
)

// addWaveChanges adds what the ranges of seeds from missingMachinesFrom on bring: several waves, whose
// machines arrive, crash, move and are removed while owners are lost.
func addWaveChanges(s *emulator.Scenario) {
	from := s.Seed / seedRange * seedRange
	s.FurtherWaves, s.Waves.Arrivals, s.Waves.Removals = 1+int(s.Seed%2), 2, int(s.Seed%3)
	s.Faults = append(emulator.RandomFaultsOf(emulator.KillOwner, s.Seed, s.Length, 1), emulator.RandomFaultsOf(emulator.VMsCrash, s.Seed+1, s.Length, 1)...)
	s.Faults = append(s.Faults, emulator.RandomFaults(s.Seed, s.Length, 1)...)
	if from == missingMachinesFrom || from == changingWavesFrom {
		s.MachineLists.MissingShare, s.MachineLists.ArrivalDelay = 0.15, 4*time.Second
	}
	if from == laggingListsFrom || from == changingWavesFrom {
		s.MachineLists.Lag, s.MachineLists.PageSize, s.MachineLists.PageDelay = 3*time.Second, 6, 300*time.Millisecond
	}
	if from == rewrittenWavesFrom || from == changingWavesFrom {
		s.UnansweredMachineOrderShare = 0.1
		s.Waves.Rewrites, s.Waves.LateOrderMax = 2, 4*time.Second
		s.Waves.FeedLag, s.Waves.StatusDelay = 1500*time.Millisecond, 500*time.Millisecond
	}
}

// Guards against a wave that is completed without a machine that the lists have lost for some seconds,
// or don't have yet.
func TestWavesWithMissingMachines(t *testing.T) { runSeedRange(t, missingMachinesFrom, 16) }

// Guards against a wave that is completed too early, or exceeds its limit, because lists are old or
// their pages are of different times.
func TestWavesWithLaggingMachineLists(t *testing.T) { runSeedRange(t, laggingListsFrom, 16) }

// Guards against a wave that is completed by its former definition, also by a former owner.
func TestRewrittenWaves(t *testing.T) { runSeedRange(t, rewrittenWavesFrom, 16) }

// Guards against a wave that is completed too early, or never, while its lists and its definition
// change at once.
func TestWavesWithChangingMachinesAndRequests(t *testing.T) { runSeedRange(t, changingWavesFrom, 16) }
