// Command driver plays the cases of this review. It starts the deployed daemon as separate
// processes on loopback, with small stand-ins for the platform's store, the workers, the
// machines service and the clients, and checks one rule from what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// A scenario plays a case and returns the ways in which the rule was broken. With trouble unset
// it does the same without the disruption.
type scenario func(w *world, trouble bool) ([]string, error)

var scenarios = map[string]scenario{
	"crashes":  playCrashes,
	"schedule": playLongSchedule,
	"takeover": playTakeover,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver SCENARIO FOLDER")
		return exitNotRun
	}
	play, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no scenario %q\n", os.Args[1])
		return exitNotRun
	}
	w, err := newWorld(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	w.endOnSignal()
	broken, err := play(w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.logf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			w.logf("BROKEN %s", b)
			fmt.Println("BROKEN", b)
		}
		return exitBroken
	}
	w.logf("held")
	fmt.Println("held")
	return exitHeld
}
