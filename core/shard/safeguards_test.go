package shard

import (
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

const worldSteps = 3000

// seeds may be raised by hand: go test ./core/shard -run NoIDRuns -seeds 20000.
var seeds = flag.Int64("seeds", 2000, "seeds of the full rule")

// sum is what a range of seeds gave together.
type sum struct {
	worldResult
	seedsWithDouble int
	firstSeed       int64
}

func (s sum) String() string {
	return fmt.Sprintf("seeds with a double=%d (first %d) doubles=%d served=%d of %d (%.1f%%) take-overs=%d in sync=%d hand-overs=%d",
		s.seedsWithDouble, s.firstSeed, s.doubles, s.served, s.asked, 100*float64(s.served)/float64(s.asked),
		s.takeOvers, s.inSync, s.handOvers)
}

func runSeeds(from, to int64, f faults, off safeguardsOff) sum {
	s := sum{firstSeed: -1}
	for seed := from; seed < to; seed++ {
		r := newWorld(seed, f, off).run(worldSteps)
		if r.doubles > 0 {
			if s.seedsWithDouble == 0 {
				s.firstSeed = seed
			}
			s.seedsWithDouble++
		}
		s.doubles += r.doubles
		s.served += r.served
		s.asked += r.asked
		s.takeOvers += r.takeOvers
		s.inSync += r.inSync
		s.handOvers += r.handOvers
	}
	return s
}

// TestNoIDRunsTwice: a caller retries an id at any entry while the holder is
// paused, killed, cut off, or loses the table's answers. Its successor takes over
// and answers retries too. No id may run twice, in whatever order this happens.
func TestNoIDRunsTwice(t *testing.T) {
	for name, tc := range map[string]struct {
		faults faults
		seeds  int64
	}{"model": {modelFaults, *seeds}, "late": {lateFaults, *seeds / 5}, "lossy": {lossyFaults, *seeds / 5}} {
		t.Run(name, func(t *testing.T) {
			s := runSeeds(0, tc.seeds, tc.faults, safeguardsOff{})
			t.Logf("seeds=%d %s", tc.seeds, s)
			assert.Equal(t, s.seedsWithDouble, 0, "first seed with a double: %d", s.firstSeed)
		})
	}
}

// TestEachSafeguardIsNeeded switches off one safeguard at a time and must then see
// ids run twice: the world is harsh enough to tell, and the safeguard does it.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults faults
		seeds  int64
		off    safeguardsOff
	}{
		{"no horizon", modelFaults, 20, safeguardsOff{horizon: true}},
		{"evidence dated on receipt", lateFaults, 200, safeguardsOff{sendDate: true}},
		{"no announcement", modelFaults, 20, safeguardsOff{announcement: true}},
		{"any peer may take over", modelFaults, 20, safeguardsOff{oneSuccessor: true}},
		{"death proof after a lapse", lossyFaults, 200, safeguardsOff{unbrokenProof: true}},
		{"unconfirmed successor forgotten", lossyFaults, 300, safeguardsOff{unconfirmed: true}},
		{"starts not mirrored", modelFaults, 20, safeguardsOff{mirror: true}},
		{"new successor keeps the sync mark", lateFaults, 100, safeguardsOff{successorMark: true}},
		{"third entry trusts the mark", lateFaults, 100, safeguardsOff{thirdEntry: true}},
		{"copies replace the mirror", lateFaults, 200, safeguardsOff{copyMerge: true}},
		{"unmirrored before read back", lossyFaults, 300, safeguardsOff{readBack: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := runSeeds(0, tc.seeds, tc.faults, tc.off)
			t.Logf("seeds=%d %s", tc.seeds, s)
			assert.Assert(t, s.seedsWithDouble > 0)
		})
	}
}

// TestWorldIsDeterministic: a seed that failed can be looked at again.
func TestWorldIsDeterministic(t *testing.T) {
	for seed := range int64(5) {
		assert.Equal(t, newWorld(seed, lossyFaults, safeguardsOff{}).run(worldSteps), newWorld(seed, lossyFaults, safeguardsOff{}).run(worldSteps))
	}
}
