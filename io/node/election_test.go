package node

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

// firstOwner runs the elections of processes, given by their nodes and runs, until one takes over, and
// returns its node.
func firstOwner(t *testing.T, table *platform.Table, processes map[string]string) string {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var g supervisor.Group
	owners := make(chan string, len(processes))
	for node, run := range processes {
		e := &election{table: table, health: &tableHealth{}, log: zerolog.Nop(), node: node, runID: run}
		e.serve = func(context.Context, *tenure, platform.Version) error {
			owners <- node
			cancel()
			return nil
		}
		g.Go(func() { assert.Check(t, e.run(ctx)) })
	}
	g.Wait()
	return <-owners
}

// Guards against an entry VM whose process ends at each takeover and takes the ownership back before all
// others.
func TestOwnerThatEndsAtEachTakeoverIsReplaced(t *testing.T) {
	_, s := newLateTable(t)
	assert.Equal(t, firstOwner(t, s.table, map[string]string{"a": "run-1"}), "a")
	assert.Equal(t, firstOwner(t, s.table, map[string]string{"a": "run-2"}), "a", "a single end may have any cause")
	assert.Equal(t, firstOwner(t, s.table, map[string]string{"a": "run-3", "b": "run-1"}), "b")
}

// Guards against a fault in one order of the owner that ends the process and the calls that it serves.
func TestPanicOfWorkerEndsTenureOnly(t *testing.T) {
	var w supervisor.Workers
	var got error
	w.OnPanic = func(err error) { got = err }
	w.Go(func() { panic(errors.New("fault")) })
	w.Wait()
	assert.ErrorContains(t, got, "fault")
}
