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
	}{"model": {modelFaults, *seeds}, "late": {lateFaults, *seeds / 8}, "lossy": {lossyFaults, *seeds / 8}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := runSeeds(0, tc.seeds, tc.faults, safeguardsOff{})
			t.Logf("seeds=%d %s", tc.seeds, s)
			assert.Equal(t, s.seedsWithDouble, 0, "first seed with a double: %d", s.firstSeed)
		})
	}
}

// searched is how many seeds may be tried until one shows a double.
const searched = 1000

// TestEachSafeguardIsNeeded switches off one safeguard at a time and must then see
// an id run twice: the world is harsh enough to tell, and the safeguard does it.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults faults
		off    safeguardsOff
	}{
		{"no horizon", modelFaults, safeguardsOff{horizon: true}},
		{"evidence dated on receipt", lateFaults, safeguardsOff{sendDate: true}},
		{"no announcement", modelFaults, safeguardsOff{announcement: true}},
		{"any peer may take over", modelFaults, safeguardsOff{oneSuccessor: true}},
		{"death proof after a lapse", lossyFaults, safeguardsOff{unbrokenProof: true}},
		{"unconfirmed successor forgotten", lossyFaults, safeguardsOff{unconfirmed: true}},
		{"starts not mirrored", modelFaults, safeguardsOff{mirror: true}},
		{"new successor keeps the sync mark", lossyFaults, safeguardsOff{successorMark: true}},
		{"third entry trusts the mark", lossyFaults, safeguardsOff{thirdEntry: true}},
		{"copies replace the mirror", lossyFaults, safeguardsOff{copyMerge: true}},
		{"unmirrored before read back", lossyFaults, safeguardsOff{readBack: true}},
		{"a queued start isn't decided anew", modelFaults, safeguardsOff{decideAnew: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seed := int64(0)
			for ; seed < searched; seed++ {
				if r := newWorld(seed, tc.faults, tc.off).run(worldSteps); r.doubles > 0 {
					t.Logf("seed %d is the first with a double: %d ids run twice", seed, r.doubles)
					return
				}
			}
			t.Errorf("no double in %d seeds", seed)
		})
	}
}

// TestWorldIsDeterministic: a seed that failed can be looked at again.
func TestWorldIsDeterministic(t *testing.T) {
	for seed := range int64(5) {
		assert.Equal(t, newWorld(seed, lossyFaults, safeguardsOff{}).run(worldSteps), newWorld(seed, lossyFaults, safeguardsOff{}).run(worldSteps))
	}
}
