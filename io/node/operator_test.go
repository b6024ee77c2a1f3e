package node

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/platform"
	"lavenderpond/platform/standin"
)

func evacuationRow(z job.ZoneName, removed bool) platform.Row {
	r := platform.Row{RowKey: standin.EvacuationRow(z), Value: []byte("{}"), Removed: removed}
	if removed {
		r.Value = nil
	}
	return r
}

// Checks that an evacuation is in force from its row's change to its removal, however
// often the row is read, and that the owner is notified of each change.
func TestEvacuationsFollowTheTable(t *testing.T) {
	notified := 0
	v := &operatorView{log: zerolog.Nop(), health: &tableHealth{}, onChange: func() { notified++ }}
	v.applyRows([]platform.Row{evacuationRow("east", false)}, false)
	v.applyRows([]platform.Row{evacuationRow("east", false)}, false)
	assert.DeepEqual(t, v.evacuations(), []job.ZoneName{"east"})
	assert.Assert(t, !v.zoneOpen("east") && v.zoneOpen("west"))
	assert.Equal(t, notified, 1)
	v.applyRows([]platform.Row{evacuationRow("east", true), evacuationRow("west", false)}, false)
	assert.DeepEqual(t, v.evacuations(), []job.ZoneName{"west"})
	assert.Equal(t, notified, 2)
	assert.Equal(t, v.changeCount(), uint64(3))
}

// Guards against a zone that stays evacuated permanently because the table lost its
// history, including the change that ended the evacuation.
func TestMissedEvacuationEndIsDetected(t *testing.T) {
	v := &operatorView{log: zerolog.Nop(), health: &tableHealth{}}
	v.applyRows([]platform.Row{evacuationRow("east", false), evacuationRow("west", false)}, true)
	v.applyRows([]platform.Row{evacuationRow("west", false)}, true)
	assert.DeepEqual(t, v.evacuations(), []job.ZoneName{"west"})
}

// Guards against task starts by an owner with fresh ownership whose feed of the operators'
// rows gets no answers. It would miss recent evacuations.
func TestStaleOperatorViewStartsNothing(t *testing.T) {
	n := &Node{view: &operatorView{log: zerolog.Nop(), health: &tableHealth{}}}
	n.settings.Bounds.EvacuationMax = 5 * time.Second
	now := bootNow()
	o := &owner{node: n, tenure: &tenure{}}
	o.tenure.confirm(now, now)
	n.view.recordContact(now.Add(-3900 * time.Millisecond))
	assert.Assert(t, o.mayStartTasks(now))
	n.view.recordContact(now.Add(-4100 * time.Millisecond))
	assert.Assert(t, !o.mayStartTasks(now))
}

// Guards against a feed that asks again and again for an answer that it can't take, so that submitted jobs stay unknown to the owner.
func TestFeedWithTooLongAnswerReadsAllRows(t *testing.T) {
	const changes = 70
	server, table := newTableServer(t)
	key := func(i int) platform.RowKey {
		return platform.RowKey{Table: "t", Partition: "p", Key: strconv.Itoa(i)}
	}
	server.Put(key(0), []byte("x"))
	first, _, err := table.Get(t.Context(), key(0))
	assert.NilError(t, err)
	for i := range changes {
		server.Put(key(i), make([]byte, rowBytes))
	}
	ctx, cancel := context.WithTimeout(t.Context(), commitTimeout)
	defer cancel()
	f := feed{table: table, tableName: "t", partition: "p", from: first.Version, log: zerolog.Nop()}
	seen := map[string]bool{}
	assert.NilError(t, f.run(ctx, func(rows []platform.Row, _ bool) {
		for _, r := range rows {
			seen[r.Key] = true
		}
		if len(seen) == changes {
			cancel()
		}
	}, func(time.Time) {}))
	assert.Equal(t, len(seen), changes)
}
