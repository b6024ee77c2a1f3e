package operator

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/table"
	"lavenderpond/io/platform"
)

// fakeObjects is an object store that is down at times and loses answers. With
// losesObjects it also loses objects whose storing it confirmed.
type fakeObjects struct {
	table        *faultyTable
	objects      map[string]string
	losesObjects bool
}

func (o *fakeObjects) Put(_ context.Context, name string, data []byte) error {
	if o.table.chance(20) {
		return table.ErrUnreachable
	}
	if !o.losesObjects || !o.table.chance(20) {
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

// TestExport checks that every accepted change reaches the object store as the table has
// it, while the table and the store fail at times and two entries export concurrently. If
// the progress is saved before the objects are stored, records are missing permanently.
func TestExport(t *testing.T) {
	missing := func(seed uint64, saveProgressFirst bool) int {
		h := newHistory(seed, &Server{})
		store := &fakeObjects{table: h.t, objects: map[string]string{}}
		exporters := []*Exporter{
			{Table: h.t, Objects: store, Now: h.s.Now, saveProgressFirst: saveProgressFirst},
			{Table: h.t, Objects: store, Now: h.s.Now, saveProgressFirst: saveProgressFirst}}
		for range 10 {
			h.randomChange()
			_ = exporters[h.t.rand.IntN(2)].Round(context.Background())
		}
		h.t.faultless = true
		assert.NilError(t, exporters[0].Round(context.Background()))
		count := 0
		for i, r := range h.t.rows.Scan(table.PrefixAudit) {
			if store.objects[AuditObject(core.Version(i+1))] != string(r.Value) {
				count++
			}
		}
		return count
	}
	failing := 0
	for seed := range uint64(seedCount) {
		assert.Equal(t, missing(seed, false), 0, "seed %d", seed)
		if missing(seed, true) > 0 {
			failing++
		}
	}
	t.Logf("saveProgressFirst: %d of %d seeds fail", failing, seedCount)
	assert.Assert(t, failing > 0, "the test must fail if the progress is saved first")
}
