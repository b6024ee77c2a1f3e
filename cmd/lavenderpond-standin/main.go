// Command lavenderpond-standin simulates the platform, the target VMs and the network
// between zones for local runs and tests. It is not part of a real fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
)

type commands struct {
	Platform platformCommand `cmd:"" help:"Serve the table, the object store and the live list."`
	Targets  targetsCommand  `cmd:"" help:"Serve target VMs of one availability zone."`
	Link     linkCommand     `cmd:"" help:"Forward connections that can be cut, held or delayed."`
}

func main() {
	var c commands
	k := kong.Parse(&c,
		kong.Name("lavenderpond-standin"),
		kong.Description("Stand-ins for the platform and target VMs, on loopback only."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := zerolog.New(os.Stderr).With().Timestamp().Str("program", "lavenderpond-standin").Logger()
	k.BindTo(ctx, (*context.Context)(nil))
	k.Bind(log)
	k.FatalIfErrorf(k.Run())
}
