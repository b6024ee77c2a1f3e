package main

import (
	"context"
	"net/netip"

	"github.com/rs/zerolog"

	"lavenderpond/io/platform/standin"
)

type platformCommand struct {
	Listen netip.AddrPort `help:"Loopback address and port." default:"127.0.0.1:7000"`
}

// Run serves the platform's stand-in until ctx ends.
func (c *platformCommand) Run(ctx context.Context, log zerolog.Logger) error {
	log.Info().Stringer("listen", c.Listen).Msg("platform stand-in serves")
	var s standin.Server
	return serve(ctx, c.Listen, s.Handler(), 0)
}
