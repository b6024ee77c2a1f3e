// Command lavenderpond-experiment replays pseudo-random demand and faults against the
// decision code of the daemon and prints the measured values.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

// CLI defines the commands for kong.
type CLI struct {
	List List `cmd:"" help:"List the experiments."`
	Run  Run  `cmd:"" help:"Run an experiment and print its figures."`
}

func main() {
	var cli CLI
	ctx := kong.Parse(&cli,
		kong.Name("lavenderpond-experiment"),
		kong.Description("Compares lavenderpond's decisions with a naive baseline."),
		kong.UsageOnError())
	ctx.BindTo(os.Stdout, (*output)(nil))
	ctx.FatalIfErrorf(ctx.Run())
}
