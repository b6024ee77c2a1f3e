// Command lavenderpond is the command-line client for operators and callers of a fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, newApp(), os.Args[1:])
	stop()
	os.Exit(int(code))
}
