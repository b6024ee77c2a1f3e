// Command lavenderpondd is the daemon that runs on every entry VM. It accepts the
// requests of callers and dispatches them to target VMs.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"lavenderpond/io/entry"
	"lavenderpond/io/ini"
	"lavenderpond/io/supervisor"
)

// Exit statuses of the daemon.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
	// exitAborted means that a second signal ended the daemon before its work was done.
	exitAborted = 3
)

// memoryLimitPercent is the part of the daemon's memory, in percent, that is set as the soft memory limit of
// the garbage collector.
const memoryLimitPercent = 60

type options struct {
	Settings string `arg:"" help:"Settings file; see 'lavenderpond config sample'." type:"existingfile"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("lavenderpondd"), kong.Description("The daemon on every entry VM."))
	os.Exit(run(o))
}

func run(o options) int {
	log := zerolog.New(os.Stderr).With().Timestamp().Str("program", "lavenderpondd").Logger()
	settings, err := ini.Load(o.Settings)
	if err != nil {
		log.Error().Err(err).Msg("settings refused")
		return exitSettings
	}
	log = log.Level(settings.Log.Level).With().
		Str("entry", settings.Entry.Name).Str("zone", string(settings.Entry.Zone)).Logger()

	debug.SetMemoryLimit(int64(settings.Limits.Memory) * memoryLimitPercent / 100)
	d, err := entry.New(settings, log)
	if err != nil {
		log.Error().Err(err).Msg("start failed")
		return exitFailed
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g supervisor.Group
	g.Go(func() { stopOnSignals(ctx, cancel, d, log) })
	err = d.Run(ctx)
	cancel()
	if err != nil {
		log.Error().Err(err).Msg("daemon failed")
		return exitFailed
	}
	log.Info().Msg("stopped")
	return exitOK
}

// stopOnSignals stops the daemon gracefully on the first signal and immediately on the
// second.
func stopOnSignals(ctx context.Context, stop context.CancelFunc, d *entry.Daemon, log zerolog.Logger) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	select {
	case <-ctx.Done():
		return
	case <-signals:
	}
	log.Info().Msg("stopping: finishing running work")
	stop()
	<-signals
	log.Error().Int("unfinished", d.Unfinished()).Msg("stopped immediately by a second signal")
	os.Exit(exitAborted)
}
