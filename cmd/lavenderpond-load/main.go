// Command lavenderpond-load generates a bounded load on entries, or on targets directly
// for comparison, and prints the measured rate and latencies as JSON. It only uses
// loopback addresses.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
)

type commands struct {
	Entries entriesCommand `cmd:"" help:"Load entries with requests of one team."`
	Targets targetsCommand `cmd:"" help:"Load targets directly, past lavenderpond."`
	Check   checkCommand   `cmd:"" help:"Hold what callers were told against what the targets wrote down."`
	Fill    fillCommand    `cmd:"" help:"Fill the table of the platform's stand-in with an idle fleet."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("lavenderpond-load"), kong.Description("Generates a bounded load over loopback."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}
