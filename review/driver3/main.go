// Command driver3 runs the cases of the third review: it starts daemons as processes, and plays their
// platform, workers and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by their names.
var cases = map[string]func(w *world, trouble bool) error{
	"fuzz": fuzz, "fills": fills, "crashes": crashes, "wave": wave, "lowered": lowered, "withdrawn": withdrawn, "reload": reload, "unasked": unasked, "backlog": backlog, "ended": ended,
}

func main() {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns its exit status.
func play(name, record string) int {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println(folder)
	}
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	w.group.Go(func() {
		if _, ok := <-stop; ok {
			w.killAll()
			os.Exit(exitNotRun)
		}
	})
	err = cases[name](w, os.Getenv("TROUBLE") != "0")
	signal.Stop(stop)
	close(stop)
	w.close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logf("over after %s: %d rules broken, error %v", time.Since(w.begun).Round(time.Millisecond), len(w.faults), err)
	_ = w.record.Close()
	if b, readErr := os.ReadFile(filepath.Join(folder, "record.txt")); readErr == nil {
		_ = os.WriteFile(record, b, 0o600)
	}
	for _, f := range w.faults {
		fmt.Println(f)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case len(w.faults) > 0:
		return exitBroken
	}
	return exitHeld
}
