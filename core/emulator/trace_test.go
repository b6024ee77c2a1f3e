package emulator_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"lavenderpond/core/emulator"
)

// TestTrace prints one day's decisions: LAVENDERPOND_SEED=n go test -v -run TestTrace.
func TestTrace(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("LAVENDERPOND_SEED"), 10, 64)
	if err != nil {
		return
	}
	d := calm(seed)
	switch {
	case seed >= 3000:
		d.Cap = 40_000
		d.Faults = emulator.RandomFaults(seed, d.Length, 3)
	case seed >= 2000:
		d.LateShare = 0.03
		d.Faults = emulator.RandomFaults(seed, d.Length, 3)
	default:
		d.Faults = emulator.RandomFaults(seed, d.Length, 4)
	}
	d.Trace = func(line string) { fmt.Println(line) }
	broken, _ := emulator.Play(d)
	for _, b := range broken {
		fmt.Println("BROKEN", b)
	}
}
