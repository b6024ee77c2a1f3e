// Command lavenderpond-soak runs the daemons as separate processes under seeded faults and
// checks what callers and VMs observe. It signals only processes that it started.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"lavenderpond/io/soak"
)

// Exit statuses: success, violated invariants, and a run that could not be carried out.
const (
	exitOK         = 0
	exitViolations = 1
	exitFailed     = 2
)

type options struct {
	Binary   string        `help:"The daemon's program." default:"target/lavenderpond-edge" type:"path"`
	Folder   string        `help:"Where settings and logs go; one folder below for each seed." default:"run/soak" type:"path"`
	Seed     uint64        `help:"First seed; each run takes the next one." default:"1"`
	Runs     int           `help:"How many runs, one after the other." default:"1"`
	Trouble  time.Duration `help:"How long faults strike in each run." default:"20s"`
	Entries  int           `help:"Number of daemons." default:"4"`
	Machines int           `help:"Number of VMs." default:"6"`
	Callers  int           `help:"Number of callers." default:"4"`
	Policy   string        `help:"Decisions under scarcity that the daemons are told to make." enum:"none,all,random" default:"none"`
	Crowds   bool          `help:"Add clients that don't keep to the limits."`
	Quiet    bool          `help:"Don't print the faults."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("lavenderpond-soak"), kong.Description("Runs soak tests of the daemons with seeded faults."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, o))
}

func run(ctx context.Context, o options) int {
	status := exitOK
	for i := range o.Runs {
		if ctx.Err() != nil {
			break
		}
		seed := o.Seed + uint64(i)
		s := soak.Soak{
			Seed: seed, Binary: o.Binary, Folder: filepath.Join(o.Folder, strconv.FormatUint(seed, 10)),
			Entries: o.Entries, Machines: o.Machines, Callers: o.Callers, FaultPeriod: o.Trouble,
			Policy: soak.PolicyMode(o.Policy), Crowds: o.Crowds,
		}
		if !o.Quiet {
			startTime := time.Now()
			s.OnFault = func(line string) { fmt.Printf("%8.3f s  %s\n", time.Since(startTime).Seconds(), line) }
		}
		violations, summary, err := s.Run(ctx)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
		fmt.Printf("seed %d: %d violations; %s\n", seed, len(violations), summary)
		for _, v := range violations {
			fmt.Println("  " + v)
			status = exitViolations
		}
	}
	return status
}
