package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"lavenderpond/core/policy"
	"lavenderpond/io/node"
	"lavenderpond/platform"
)

// Guards against a mistake in the policy file that turns decisions off at a reload: the file
// with the mistake is refused, and the next good one is compared with the policy before it.
// Guards also against an exception that has ended and keeps a process from starting, or is
// ignored without a warning.
func TestReloadKeepsPolicyUntilFileIsRight(t *testing.T) {
	goldenPath, err := filepath.Abs("testdata/reload.golden")
	assert.NilError(t, err)
	t.Chdir(t.TempDir())
	const path = "policy.ini"
	var out bytes.Buffer
	log := zerolog.New(&out)
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }

	write("[admission]\nenabled = true\n[exception audit]\ndecision = admission\naccount = north\nreason = agreed test\n" +
		"[exception forgotten]\ndecision = fair_shares\nreason = last load test\nend = 2020-01-31T18:00:00Z\n")
	p, err := loadPolicy(path)
	assert.NilError(t, err)
	n, err := node.New(platform.Settings{TableAddress: "127.0.0.1:1", MachinesAddress: "127.0.0.1:1"}, p, log)
	assert.NilError(t, err)
	write("[admission]\nenabled = no\n[second_runs]\nenable = true\n")
	reloadPolicy(n, path, log)
	assert.NilError(t, os.Remove(path))
	reloadPolicy(n, path, log)
	write("[admission]\nenabled = true\n[fair_shares]\nenabled = true\n")
	reloadPolicy(n, path, log)
	golden.Assert(t, out.String(), goldenPath)
}

// Guards against a SIGHUP that kills a process which is starting, or that it misses: the signal
// arrives before the process watches for signals.
func TestSignalDuringStartIsHandled(t *testing.T) {
	var out bytes.Buffer
	log := zerolog.New(&out)
	n, err := node.New(platform.Settings{TableAddress: "127.0.0.1:1", MachinesAddress: "127.0.0.1:1"}, policy.Policy{}, zerolog.Nop())
	assert.NilError(t, err)
	signals := notifySignals()
	defer signal.Stop(signals)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	signals <- <-signals
	signals <- syscall.SIGTERM
	ctx, cancel := context.WithCancel(t.Context())
	watchSignals(ctx, signals, cancel, n, "", log)
	assert.Assert(t, strings.HasPrefix(out.String(), `{"level":"info","event":"reload"`), out.String())
	assert.Assert(t, ctx.Err() != nil)
}
