package node

import (
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

// An evacuation is in force from its row's change to its removal, however often it is
// told of, and tells the owner each time.
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

// Guards against a zone that stays evacuated for good: the table forgot its history, and
// the change that ended the evacuation with it.
func TestMissedEndOfAnEvacuation(t *testing.T) {
	v := &operatorView{log: zerolog.Nop(), health: &tableHealth{}}
	v.applyRows([]platform.Row{evacuationRow("east", false), evacuationRow("west", false)}, true)
	v.applyRows([]platform.Row{evacuationRow("west", false)}, true)
	assert.DeepEqual(t, v.evacuations(), []job.ZoneName{"west"})
}

// Guards against starts by an owner whose right is fresh while its feed of the operators'
// rows is silent: it knows nothing of evacuations since.
func TestStaleOperatorViewStartsNothing(t *testing.T) {
	n := &Node{view: &operatorView{log: zerolog.Nop(), health: &tableHealth{}}}
	n.settings.Bounds.Evacuate = 5 * time.Second
	now := bootNow()
	o := &owner{node: n, tenure: &tenure{}}
	o.tenure.confirm(now, now)
	n.view.recordContact(now.Add(-3900 * time.Millisecond))
	assert.Assert(t, o.mayStartTasks(now))
	n.view.recordContact(now.Add(-4100 * time.Millisecond))
	assert.Assert(t, !o.mayStartTasks(now))
}
