package shard

import (
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

const simSteps = 3000

// seeds can be raised: go test ./core/shard -run NoIDRuns -seeds 20000.
var seeds = flag.Int64("seeds", 2000, "number of seeds for TestNoIDRunsTwice")

// seedTotals are the summed results of a range of seeds.
type seedTotals struct {
	simResult
	seedsWithDuplicate int
	firstSeed          int64
}

func (s seedTotals) String() string {
	return fmt.Sprintf("seeds with duplicate runs=%d (first %d) duplicate ids=%d served=%d of %d (%.1f%%) takeovers=%d in sync=%d handovers=%d",
		s.seedsWithDuplicate, s.firstSeed, s.duplicates, s.served, s.asked, 100*float64(s.served)/float64(s.asked),
		s.takeovers, s.inSync, s.handovers)
}

func runSeeds(from, to int64, f faults, off disabledSafeguards) seedTotals {
	s := seedTotals{firstSeed: -1}
	for seed := from; seed < to; seed++ {
		r := newSimulation(seed, f, off).run(simSteps)
		if r.duplicates > 0 {
			if s.seedsWithDuplicate == 0 {
				s.firstSeed = seed
			}
			s.seedsWithDuplicate++
		}
		s.duplicates += r.duplicates
		s.served += r.served
		s.asked += r.asked
		s.takeovers += r.takeovers
		s.inSync += r.inSync
		s.handovers += r.handovers
	}
	return s
}

// TestNoIDRunsTwice checks that no id runs twice while callers retry ids at any
// entry and the holder is paused, killed, partitioned, or loses the table's
// answers. The holder's successor takes over and answers retries at the same time,
// and the simulation varies the order of all events.
func TestNoIDRunsTwice(t *testing.T) {
	for name, tc := range map[string]struct {
		faults faults
		seeds  int64
	}{"model": {modelFaults, *seeds}, "late": {lateFaults, *seeds / 8}, "lossy": {lossyFaults, *seeds / 8}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := runSeeds(0, tc.seeds, tc.faults, disabledSafeguards{})
			t.Logf("seeds=%d %s", tc.seeds, s)
			assert.Equal(t, s.seedsWithDuplicate, 0, "first seed in which an id ran twice: %d", s.firstSeed)
		})
	}
}

// maxSearchedSeeds limits how many seeds are tried to find an id that runs twice.
const maxSearchedSeeds = 1000

// TestEachSafeguardIsNeeded disables one safeguard at a time and expects an id to
// run twice. This shows that the simulation provokes the fault and that the
// safeguard prevents it.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults faults
		off    disabledSafeguards
	}{
		{"no horizon", modelFaults, disabledSafeguards{horizon: true}},
		{"evidence dated on receipt", lateFaults, disabledSafeguards{dateBySend: true}},
		{"no announcement", modelFaults, disabledSafeguards{announcement: true}},
		{"any entry may take over", modelFaults, disabledSafeguards{oneSuccessor: true}},
		{"end of successor extends an expired lease", lossyFaults, disabledSafeguards{unexpiredLease: true}},
		{"unconfirmed successor ignored", lossyFaults, disabledSafeguards{unconfirmedSuccessor: true}},
		{"starts not mirrored", modelFaults, disabledSafeguards{mirror: true}},
		{"new successor keeps the in-sync mark", lossyFaults, disabledSafeguards{clearInSync: true}},
		{"third entry trusts the in-sync mark", lossyFaults, disabledSafeguards{thirdEntryHorizon: true}},
		{"copies replace the mirror", lossyFaults, disabledSafeguards{copyMerge: true}},
		{"unmirrored before the row is confirmed", lossyFaults, disabledSafeguards{confirmUnmirrored: true}},
		{"queued start is not decided again", modelFaults, disabledSafeguards{decideAgain: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seed := int64(0)
			for ; seed < maxSearchedSeeds; seed++ {
				if r := newSimulation(seed, tc.faults, tc.off).run(simSteps); r.duplicates > 0 {
					t.Logf("seed %d is the first with duplicate runs: %d ids ran twice", seed, r.duplicates)
					return
				}
			}
			t.Errorf("no id ran twice in %d seeds with the safeguard disabled", seed)
		})
	}
}

// TestSimulationIsDeterministic checks that a failing seed can be replayed.
func TestSimulationIsDeterministic(t *testing.T) {
	for seed := range int64(5) {
		assert.Equal(t, newSimulation(seed, lossyFaults, disabledSafeguards{}).run(simSteps), newSimulation(seed, lossyFaults, disabledSafeguards{}).run(simSteps))
	}
}
