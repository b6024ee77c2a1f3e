package emulator_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"lavenderpond/core/emulator"
)

// TestTrace prints the decisions and violations of the run with the seed in LAVENDERPOND_SEED:
// LAVENDERPOND_SEED=n go test -v -run TestTrace. It does nothing without a seed.
func TestTrace(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("LAVENDERPOND_SEED"), 10, 64)
	if err != nil {
		return
	}
	s := scenarioForSeed(seed)
	s.Trace = func(line string) { fmt.Println(line) }
	violations, _ := emulator.Run(s)
	for _, v := range violations {
		fmt.Println("violation:", v)
	}
}
