package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"lavenderpond/core"
	pb "lavenderpond/io/gen/lavenderpond/v1"
	"lavenderpond/io/gen/lavenderpond/v1/lavenderpondv1connect"
)

// TestCommandLinePage checks that docs/operators/command-line.md matches the code: the
// exit codes, the exit code of every result code, and the help of every command.
func TestCommandLinePage(t *testing.T) {
	t.Setenv("COLUMNS", "100")
	page, err := filepath.Abs("../../docs/operators/command-line.md")
	assert.NilError(t, err)
	var b strings.Builder
	b.WriteString(pageHeader)
	for i, e := range exitTable {
		assert.Equal(t, int(e.code), i)
		fmt.Fprintf(&b, "| %d | `%s` | %s |\n", e.code, e.name, e.meaning)
	}
	b.WriteString("\n## Exit code of each result code\n\n| result code | exit code |\n|---|---|\n")
	for _, info := range core.Codes() {
		fmt.Fprintf(&b, "| %d `%s` | %d `%s` |\n", info.Code, info.Name, exitOf(info.Code), exitTable[exitOf(info.Code)].name)
	}
	b.WriteString("\nFor a request, `malformed` gives 3, and an answer whose outcome is unknown always gives 4.\n\n## Commands\n\nThe flags of `lavenderpond` itself go with every command.\n")
	fmt.Fprintf(&b, "\n```\n%s```\n", help(t))
	for _, command := range commands(t) {
		text := help(t, command...)
		// The common flags end at the first empty line after "Flags:". The page lists them once.
		head, rest, _ := strings.Cut(text, "\nFlags:\n")
		_, own, _ := strings.Cut(rest, "\n\n")
		if own != "" {
			own = "\nFlags:\n" + own
		}
		fmt.Fprintf(&b, "\n### %s\n\n```\n%s%s```\n", strings.Join(command, " "), head, own)
	}
	golden.Assert(t, b.String(), page)
}

// TestNotSent checks that only a failed dial counts as proof that nothing was sent. If
// nothing listens at the entry's port, nothing was sent. If the connection breaks before
// the answer is complete, the call may have taken effect.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	client := lavenderpondv1connect.NewOperatorServiceClient(newHTTP(), "http://"+l.Addr().String())
	_, err = client.Dump(context.Background(), connect.NewRequest(&pb.DumpRequest{}))
	assert.Assert(t, notSent(err), "%v", err)
	assert.Assert(t, !notSent(connect.NewError(connect.CodeUnavailable, io.ErrUnexpectedEOF)))
}

func commands(t *testing.T) [][]string {
	t.Helper()
	parser, err := newParser(newApp())
	assert.NilError(t, err)
	var list [][]string
	for _, leaf := range parser.Model.Leaves(true) {
		list = append(list, strings.Fields(leaf.FullPath())[1:])
	}
	return list
}

func help(t *testing.T, command ...string) string {
	t.Helper()
	var out bytes.Buffer
	a := newApp()
	a.stdout, a.stderr = &out, &out
	assert.Equal(t, run(context.Background(), a, append(command, "--help")), exitDone)
	var lines []string
	for _, line := range strings.Split(out.String(), "\n") {
		lines = append(lines, strings.TrimRight(line, " "))
	}
	return strings.Join(lines, "\n")
}

const pageHeader = `# Command line

Written by ` + "`go test ./cmd/lavenderpond -update`" + `. What to do when is in [guide.md](guide.md).

Entries are given by ` + "`--entry IP:PORT`" + ` or ` + "`$LAVENDERPOND_ENTRIES`" + `. A command that reads asks them in turn until one
answers; ` + "`status`, `where`, `dump` and `keys withdraw`" + ` ask all of them. A change goes to the first that answers, and
is repeated under the same change id, there or elsewhere, if the answer is lost.

Keys come from a file or the environment, never from an argument: other users of the machine can read arguments.

` + "`--output json`" + ` prints one JSON document with names in snake case on standard output, and an error as one JSON line on
standard error. 64-bit numbers are strings, as in Protobuf's JSON.

## Exit codes

| exit code | name | meaning |
|---|---|---|
`
