package operator

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/table"
	"lavenderpond/io/platform"
)

// fakeObjects is the object store: down at times, and answers are lost. It may also
// lose what it said it had stored.
type fakeObjects struct {
	table   *faultyTable
	objects map[string]string
	forgets bool
}

func (o *fakeObjects) Put(_ context.Context, name string, data []byte) error {
	if o.table.chance(20) {
		return table.ErrUnreachable
	}
	if !o.forgets || !o.table.chance(20) {
		o.objects[name] = string(data)
	}
	if o.table.chance(10) {
		return table.ErrUnreachable
	}
	return nil
}

func (o *fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	data, ok := o.objects[name]
	if o.table.chance(20) {
		return nil, table.ErrUnreachable
	}
	if !ok {
		return nil, platform.ErrObjectNotFound
	}
	return []byte(data), nil
}

// TestExport: operators make changes while the table and the object store fail at
// times and two entries export at once. In the end the monitor finds every accepted
// change, as the table has it. With the mark moved before the objects are stored,
// records are missing for good.
func TestExport(t *testing.T) {
	missing := func(seed uint64, markFirst bool) int {
		h := newHistory(seed, &Server{})
		store := &fakeObjects{table: h.t, objects: map[string]string{}}
		exporters := []*Exporter{
			{Table: h.t, Objects: store, Now: h.s.Now, markFirst: markFirst},
			{Table: h.t, Objects: store, Now: h.s.Now, markFirst: markFirst}}
		for range 10 {
			h.random()
			_ = exporters[h.t.rand.IntN(2)].Round(context.Background())
		}
		h.t.quiet = true
		assert.NilError(t, exporters[0].Round(context.Background()))
		n := 0
		for i, r := range h.t.rows.Scan(table.PrefixAudit) {
			if store.objects[AuditObject(core.Version(i+1))] != string(r.Value) {
				n++
			}
		}
		return n
	}
	red := 0
	for seed := range uint64(seeds) {
		assert.Equal(t, missing(seed, false), 0, "seed %d", seed)
		if missing(seed, true) > 0 {
			red++
		}
	}
	t.Logf("markFirst: %d of %d seeds red", red, seeds)
	assert.Assert(t, red > 0, "the safeguard is not needed")
}
