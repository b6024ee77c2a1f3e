// Command driver2 plays the scripted cases of the second review. It starts the deployed daemon as
// separate processes on loopback, with stand-ins for the platform, the workers and the clients, and
// writes what was sent, answered and run to a record.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Exit statuses, as the review's rules define them.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNoResult = 2
)

// errNoResult means that the case couldn't run, so it says nothing about the rule.
var errNoResult = errors.New("the case could not run")

// scenario plays one case. It returns the broken rule, or "" if the rule held.
type scenario func(w *world, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{
	"advice":  playAdvice,
	"repeats": playRepeats,
	"pools":   playPools,
	"long":    playLong,
	"fills":   playFills,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver2 SCENARIO FOLDER")
		os.Exit(exitNoResult)
	}
	os.Exit(runScenario(scenarios[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func runScenario(play scenario, folder string, trouble bool) int {
	w, err := newWorld(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoResult
	}
	defer w.close()
	w.record("trouble: %t", trouble)
	broken, err := play(w, trouble)
	if err == nil && w.ctx.Err() != nil {
		err = errors.Wrap(errNoResult, "the time was up, or the case was stopped")
	}
	switch {
	case err != nil:
		w.record("RESULT no result: %v", err)
		return exitNoResult
	case broken != "":
		w.record("RESULT broken: %s", broken)
		return exitBroken
	}
	w.record("RESULT held")
	return exitHeld
}
