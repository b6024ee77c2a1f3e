package main

import (
	"context"
	"net/netip"

	"github.com/rs/zerolog"

	"lavenderpond/io/platform/standin"
	"lavenderpond/io/supervisor"
)

type platformCommand struct {
	Listen netip.AddrPort `help:"Loopback address and port." default:"127.0.0.1:7000"`
	View   []string       `help:"ZONE=ADDRESS=SEEN: entries of ZONE see SEEN as the peer address ADDRESS."`
}

// Run serves the platform's stand-in until ctx ends.
func (c *platformCommand) Run(ctx context.Context, log zerolog.Logger) error {
	view, err := parseView(c.View)
	if err != nil {
		return err
	}
	log.Info().Stringer("listen", c.Listen).Msg("serving the platform's stand-in")
	var s standin.Server
	node := supervisor.Node{Name: "platform", Log: log, Children: []supervisor.Child{
		{Name: "entries", Run: s.WatchEntries},
		{Name: "http", Run: func(ctx context.Context) error { return serve(ctx, c.Listen, view.handler(s.Handler()), 0) }},
	}}
	return node.Run(ctx)
}
