package main

import (
	"bytes"
	"context"
	"encoding/csv"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"lavenderpond/core"
)

// session replays a script of commands and faults and records what the operator sees.
// Lines that start with "$" run a command, with "!" change the fakes, with "#" are
// comments.
type session struct {
	fleet  *fakeFleet
	out    bytes.Buffer
	tokens int
}

// TestSessions compares the output of whole sessions of operators and callers with golden
// files. The comments in each script explain what the operator is expected to see.
func TestSessions(t *testing.T) {
	scripts, err := filepath.Glob("testdata/sessions/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(scripts) > 5)
	t.Setenv("COLUMNS", "100")
	for _, name := range []string{"LAVENDERPOND_ENTRIES", "LAVENDERPOND_AUTHOR", "LAVENDERPOND_TEAM"} {
		t.Setenv(name, "")
	}
	for _, script := range scripts {
		t.Run(filepath.Base(script), func(t *testing.T) {
			data, err := os.ReadFile(script)
			assert.NilError(t, err)
			s := &session{fleet: newFakeFleet()}
			for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
				s.step(t, line)
			}
			for id, n := range s.fleet.starts {
				assert.Equal(t, n, 1, "request %s", id)
			}
			assert.Assert(t, !strings.Contains(s.out.String(), operatorKey), "the output contains the operator key")
			golden.Assert(t, s.out.String(), strings.TrimPrefix(script, "testdata/")+".golden")
		})
	}
}

func (s *session) step(t *testing.T, line string) {
	fmt.Fprintln(&s.out, line)
	kind, rest, _ := strings.Cut(line, " ")
	switch kind {
	case "$":
		s.run(t, "ana", rest)
	case "!":
		s.applyFault(t, strings.Fields(rest))
	}
}

func (s *session) run(t *testing.T, author, line string) {
	r := csv.NewReader(strings.NewReader(line))
	r.Comma = ' '
	args, err := r.Read()
	assert.NilError(t, err)
	var stdout, stderr bytes.Buffer
	a := newApp()
	a.stdin, a.stdout, a.stderr = strings.NewReader("stack frames 1 to 9"), &stdout, &stderr
	a.getenv = func(name string) string {
		return map[string]string{"LAVENDERPOND_OPERATOR_KEY": operatorKey, "LAVENDERPOND_TEAM_KEY": "team-key"}[name]
	}
	// Commands take the times that they show and send, and the lengths of their timeouts,
	// from this clock. The timeouts themselves run on the real clock.
	a.now = func() time.Time { return s.fleet.now }
	a.pause = func(context.Context, int) {}
	a.token = func() string { s.tokens++; return fakeToken(s.tokens) }
	a.http = &http.Client{Transport: s.fleet}
	code := run(context.Background(), a, append([]string{"--author", author,
		"--entry", "10.0.1.1:7001,10.0.2.1:7001,10.0.3.1:7001"}, args[1:]...))
	for _, text := range []string{stdout.String(), stderr.String()} {
		for _, l := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
			if l != "" {
				fmt.Fprintln(&s.out, "  "+strings.TrimRight(l, " "))
			}
		}
	}
	fmt.Fprintf(&s.out, "  exit %d %s\n", code, exitTable[code].name)
	s.fleet.pollTable()
}

// applyFault changes the fakes as a "!" line says: it makes the table or an entry fail,
// lets another operator's change come first, drops an audit record or advances the clock.
func (s *session) applyFault(t *testing.T, words []string) {
	switch words[0] {
	case "table":
		s.fleet.table.down = words[1] == "down"
		if words[1] == "loses" {
			n, err := strconv.Atoi(words[2])
			assert.NilError(t, err)
			s.fleet.table.loseAnswers, s.fleet.table.downAfterLoss = n, len(words) > 3
		}
	case "entry":
		for _, e := range s.fleet.entries {
			if strings.HasPrefix(string(e.status.Entry), words[1]) {
				e.fault = map[string]string{"refuses": "refuse", "loses": "lose", "cut": "refuse"}[words[2]]
				e.status.Reachable = words[2] != "cut"
			}
		}
	case "race":
		line := strings.Join(words[1:], " ")
		s.fleet.table.beforeTransact = func() {
			fmt.Fprintf(&s.out, "  (in between, bob: %s)\n", line)
			s.run(t, "bob", line)
		}
	case "audit":
		v, err := strconv.ParseUint(words[2], 10, 64)
		assert.NilError(t, err)
		s.fleet.dropAudit(t, core.Version(v))
	case "advance":
		d, err := time.ParseDuration(words[1])
		assert.NilError(t, err)
		s.fleet.now = s.fleet.now.Add(d)
		s.fleet.pollTable()
	default:
		t.Fatalf("unknown fault %v", words)
	}
}
