// Command lavenderpond-edge is the daemon on an entry VM of a deployment in which the
// platform provides the table and the VMs.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"lavenderpond/io/node"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

// Exit statuses.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

const (
	// logBufferLines is the maximum number of log lines that wait for standard output.
	// Further lines are dropped and counted, so that a stalled reader delays no request.
	logBufferLines = 4096
	// logPollInterval is how often waiting log lines are written.
	logPollInterval = 50 * time.Millisecond
	// memoryLimitPercent is the part of the VM's memory, in percent, that is set as the
	// soft memory limit of the garbage collector.
	memoryLimitPercent = 60
)

type options struct {
	Settings string `arg:"" optional:"" help:"Settings file; by default the one that the platform names." type:"path"`
	Policy   string `help:"Policy file of the operators; without one no decision under scarcity is in force."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("lavenderpond-edge"), kong.Description("The daemon on an entry VM of a deployment."))
	os.Exit(run(o))
}

func run(o options) int {
	out := diode.NewWriter(os.Stdout, logBufferLines, logPollInterval, func(missed int) {
		l := zerolog.New(os.Stderr)
		l.Warn().Int("missed", missed).Str("event", "log_lines_dropped").Send()
	})
	defer out.Close() //nolint:errcheck // Closing standard output reports nothing useful.
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(out).With().Timestamp().Logger().Level(zerolog.InfoLevel)
	path := o.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		log.Error().Err(err).Str("event", "settings_refused").Str("path", path).Send()
		return exitSettings
	}
	log = log.With().Str("node", settings.Node).Logger()
	signals := notifySignals()
	defer signal.Stop(signals)
	p, err := loadPolicy(o.Policy)
	if err != nil {
		logPolicyProblems(log, o.Policy, err)
		return exitSettings
	}
	debug.SetGCPercent(node.MinGCPercent)
	debug.SetMemoryLimit(settings.MemoryMB << 20 * memoryLimitPercent / 100)
	n, err := node.New(settings, p, log)
	if err != nil {
		log.Error().Err(err).Str("event", "start_failed").Send()
		return exitFailed
	}
	log.Info().Str("event", "start").Str("zone", settings.Zone).Bool("fresh", settings.Bootstrap).Send()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g supervisor.Group
	g.Go(func() { watchSignals(ctx, signals, cancel, n, o.Policy, log) })
	err = n.Run(ctx)
	cancel()
	g.Wait()
	log.Info().Err(err).Str("event", "stop").Send()
	if err != nil {
		return exitFailed
	}
	return exitOK
}

// notifySignals returns the channel of the signals that the process handles. It is called before the
// policy is read: a SIGHUP that is sent to the whole fleet must neither kill a process that is
// starting nor leave it with the policy that was replaced.
func notifySignals() chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	return signals
}

// watchSignals stops the process gracefully on SIGINT or SIGTERM. On SIGHUP it reads the policy
// again; the settings can't change while the process runs.
func watchSignals(ctx context.Context, signals <-chan os.Signal, stop context.CancelFunc, n *node.Node, policyPath string, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s == syscall.SIGHUP {
				reloadPolicy(n, policyPath, log)
				continue
			}
			log.Info().Str("event", "stopping").Str("signal", s.String()).Send()
			n.Stop()
			stop()
			return
		}
	}
}
