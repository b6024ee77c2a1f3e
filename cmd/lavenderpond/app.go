package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// cli defines the flags and commands for kong.
type cli struct {
	Entry           []string      `placeholder:"IP:PORT" env:"LAVENDERPOND_ENTRIES" help:"Entries to ask, in this order; repeat the flag or separate by commas."`
	Output          string        `short:"o" enum:"table,json" default:"table" help:"Form of the output: table or json."`
	OperatorKeyFile string        `placeholder:"FILE" help:"File with the operator key. Else $$LAVENDERPOND_OPERATOR_KEY."`
	TeamKeyFile     string        `placeholder:"FILE" help:"File with the team key. Else $$LAVENDERPOND_TEAM_KEY."`
	Author          string        `env:"LAVENDERPOND_AUTHOR,USER" help:"Who makes the change, for the record."`
	ChangeID        string        `name:"change-id" help:"Repeats a change whose answer was lost, under its id."`
	Timeout         time.Duration `default:"10s" help:"How long one call to one entry may take."`

	Pools       poolsCmd       `cmd:"" help:"Pools of target VMs and their availability budgets."`
	VMs         vmsCmd         `cmd:"" name:"vms" help:"Target VMs."`
	Teams       teamsCmd       `cmd:"" help:"Teams, their shares and upper limits."`
	Queues      queuesCmd      `cmd:"" help:"Queues of requests."`
	Defaults    defaultsCmd    `cmd:"" help:"Fleet-wide defaults."`
	Keys        keysCmd        `cmd:"" help:"Team keys."`
	Exceptions  exceptionsCmd  `cmd:"" help:"Exceptions from the defaults, for the monitor to read."`
	Maintenance maintenanceCmd `cmd:"" help:"Maintenance of a zone's VMs."`
	Zones       zonesCmd       `cmd:"" help:"Attest that a zone is down, or back."`
	Audit       auditCmd       `cmd:"" help:"The last accepted changes."`
	Status      statusCmd      `cmd:"" help:"Status of every entry."`
	Where       whereCmd       `cmd:"" help:"At which entries a configuration version is in force."`
	Dump        dumpCmd        `cmd:"" help:"State of each entry's process, as JSON without secrets."`
	Submit      submitCmd      `cmd:"" help:"Submit a request and wait for its answer."`
	Fetch       fetchCmd       `cmd:"" help:"Fetch the answer of a request by its id."`
	Cancel      cancelCmd      `cmd:"" help:"Give a request up."`
	Config      configCmd      `cmd:"" help:"Settings files of the daemon."`
	Trace       traceCmd       `cmd:"" help:"What the logs of several processes say of one job, in order."`
}

// Validate rejects a timeout that is not positive, since every call would fail with it
// and every entry would be reported as not reached. Kong calls it.
func (c *cli) Validate() error {
	if c.Timeout <= 0 {
		return errors.Errorf("--timeout: read %s, allowed is more than 0s", c.Timeout)
	}
	return nil
}

// app holds the parsed command line and the environment in which a command runs. Tests
// replace its fields.
type app struct {
	cli
	ctx            context.Context
	stdin          io.Reader
	stdout, stderr io.Writer
	getenv         func(string) string
	now            func() time.Time
	// token returns a new random token.
	token func() string
	// pause waits before round n of calls to all entries. The first round is number 0
	// and has no pause.
	pause func(ctx context.Context, n int)
	http  *http.Client
}

func newApp() *app {
	return &app{
		stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, getenv: os.Getenv,
		now: time.Now, token: randomToken, pause: pauseLinear, http: newHTTP(),
	}
}

// tokenBytes is the number of random bytes in a generated key or id, before encoding.
const tokenBytes = 24

func randomToken() string {
	b := make([]byte, tokenBytes)
	// Since Go 1.24, rand.Read never fails.
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}

// kongExit is the panic value that carries the status with which kong would have ended
// the process, for example after --help.
type kongExit int

// run parses args, runs the command and returns the exit code.
func run(ctx context.Context, a *app, args []string) (code exitCode) {
	a.ctx = ctx
	defer func() {
		if p := recover(); p != nil {
			status, ok := p.(kongExit)
			if !ok {
				panic(p)
			}
			code = exitCode(status)
		}
	}()
	parser, err := newParser(a)
	if err != nil {
		newErrorOutput(err).show(a.stderr, false)
		return exitInternal
	}
	command, err := parser.Parse(args)
	if err != nil {
		newErrorOutput(failf(exitUsage, "%v", err)).show(a.stderr, wantsJSON(args))
		return exitUsage
	}
	if err := command.Run(a); err != nil {
		p := newErrorOutput(entryError(err))
		p.show(a.stderr, a.Output == "json")
		return exitCode(p.Exit)
	}
	return exitDone
}

// wantsJSON reports whether args ask for JSON. Kong sets no flags when it rejects a
// command line, and a script that asked for JSON must get this error as JSON, too.
func wantsJSON(args []string) bool {
	asked := false
	for i, arg := range args {
		switch arg {
		case "--":
			return asked
		case "-o", "--output":
			asked = i+1 < len(args) && args[i+1] == "json"
		case "-ojson", "--output=json":
			asked = true
		}
	}
	return asked
}

func newParser(a *app) (*kong.Kong, error) {
	return kong.New(&a.cli,
		kong.Name("lavenderpond"),
		kong.Description("Operates a lavenderpond fleet, and submits requests to it."),
		kong.Writers(a.stdout, a.stderr),
		kong.Exit(func(status int) { panic(kongExit(status)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 110}))
}

// readKey returns the key from a file if one is named, otherwise from the environment.
// Keys are never passed as arguments, because other users of the machine can read those.
func (a *app) readKey(file, env string) (string, error) {
	key := a.getenv(env)
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return "", failf(exitUsage, "key file: %v", err)
		}
		key = string(data)
	}
	if key = strings.TrimSpace(key); key == "" {
		return "", failf(exitNotAuthorized, "no key: set $%s or give a key file", env)
	}
	return key, nil
}

// author returns the name under which a change is recorded.
func (a *app) author() (string, error) {
	if a.Author == "" {
		return "", failf(exitUsage, "no author for the record: give --author or set $LAVENDERPOND_AUTHOR")
	}
	return a.Author, nil
}

func (a *app) printf(format string, args ...any) { _, _ = fmt.Fprintf(a.stdout, format, args...) }

func (a *app) warnf(format string, args ...any) { _, _ = fmt.Fprintf(a.stderr, format, args...) }
