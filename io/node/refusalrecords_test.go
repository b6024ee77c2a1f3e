package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core/admission"
	"lavenderpond/core/job"
	"lavenderpond/core/policy"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

// refusalRow returns the row of a refusal.
func refusalRow(t *testing.T, id job.ID, v platform.Version) platform.Row {
	value, err := encodeRow(cancelRow{Refused: true})
	assert.NilError(t, err)
	return platform.Row{RowKey: cancelKey(id), Value: value, Version: v}
}

// jobRow returns the row of a submitted job.
func jobRow(t *testing.T, id job.ID, v platform.Version) platform.Row {
	value, err := encodeRow(job.Job{ID: id})
	assert.NilError(t, err)
	return platform.Row{RowKey: jobKey(id), Value: value, Version: v}
}

func newOwnerOfRows() *owner {
	return &owner{scheduler: schedule.New(schedule.Settings{}), tenure: &tenure{}, log: zerolog.Nop()}
}

// Guards against an owner that takes a refusal for a cancellation when the caller's next call is
// stored with it in one batch.
func TestOwnerTakesJobAfterItsRefusal(t *testing.T) {
	o, id, now := newOwnerOfRows(), testJob().ID, bootNow()
	o.applyJobRows(now, []platform.Row{refusalRow(t, id, 5)}, nil)
	o.applyJobRows(now, []platform.Row{refusalRow(t, id, 6), jobRow(t, id, 7)}, nil)
	assert.Equal(t, o.scheduler.Backlog(now)[job.QueueName("")], 1)
	assert.Equal(t, o.lastJobVersion, platform.Version(7))
}

// Guards against refusals that stay in the table because others of their partition have been replaced
// meanwhile: by their jobs, by cancellations or by later refusals. Only a refusal that is still
// there is deleted, at its last version.
func TestRefusalsOfCallersThatReturnedAreNotDeleted(t *testing.T) {
	o, now := newOwnerOfRows(), bootNow()
	var ids []job.ID
	for i := 0; len(ids) < 5; i++ {
		if id := job.ID(fmt.Sprintf("%016x", i)); jobPartition(id) == jobPartition("0000000000000000") {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		o.applyJobRows(now, []platform.Row{refusalRow(t, id, 5)}, nil)
	}
	removed := platform.Row{RowKey: cancelKey(ids[2]), Version: 7, Removed: true}
	cancelled := platform.Row{RowKey: cancelKey(ids[3]), Value: []byte("{}"), Version: 8}
	o.applyJobRows(now, []platform.Row{refusalRow(t, ids[0], 6), jobRow(t, ids[1], 7), removed, cancelled}, nil)
	due := o.refusals.due(now.Add(refusalRetention))
	assert.Equal(t, len(due), 1)
	assert.DeepEqual(t, due[0].Conditions, []platform.Condition{
		{RowKey: cancelKey(ids[4]), Version: 5}, {RowKey: cancelKey(ids[0]), Version: 6},
	})
	assert.Equal(t, len(o.refusals.records), 0)
}

// Load: 500 refusals a second for two minutes whose callers never return. They are all deleted
// within two minutes of their retention, and no transaction is too large for the table.
func TestRefusalsAreDeletedAsFastAsTheyCome(t *testing.T) {
	var r refusalRecords
	now := bootNow()
	for i := range 60_000 {
		r.add(now.Add(time.Duration(i)*2*time.Millisecond), job.ID(fmt.Sprintf("%016x", i)), 1)
	}
	for s := range 240 {
		for _, tx := range r.due(now.Add(refusalRetention + time.Duration(s)*time.Second)) {
			assert.Assert(t, len(tx.Conditions)+len(tx.Removals) <= platform.MaxTransactionRows)
		}
	}
	assert.Equal(t, len(r.records), 0)
}

// newPublishingOwner returns an owner with admission on and a configuration.
func newPublishingOwner(tenureNumber int64) *owner {
	o := newOwnerOfRows()
	o.tenure = &tenure{runID: "o", number: tenureNumber}
	o.outlook.startTenure(tenureNumber)
	o.relays = newRelaySet("", zerolog.Nop())
	o.relays.applyRows(nil, true)
	o.node = &Node{admission: newAdmissionGate(func() *policy.Policy { return &policy.Policy{Admission: true} }, zerolog.Nop(), func(string) {})}
	o.scheduler.Configure(&job.Configuration{})
	return o
}

// Guards against entry VMs that stop counting a job they have admitted while the forecast doesn't
// contain it yet: the job arrives after the forecast was computed and before it is stored.
func TestForecastIncludesOnlyJobsItCounts(t *testing.T) {
	o, now := newPublishingOwner(1), bootNow()
	o.lastJobVersion = 5
	o.publishOutlook(now)
	o.lastJobVersion = 9
	o.publishOutlook(now.Add(50 * time.Millisecond))
	assert.Equal(t, o.outlook.forecast.Includes, uint64(5))
	o.publishOutlook(now.Add(time.Second))
	assert.Equal(t, o.outlook.forecast.Includes, uint64(9))
}

// Guards against forecasts that are ignored after a process has become the owner again: their
// sequences start anew, below those of its tenure before.
func TestForecastsOfLaterTenureAreUsed(t *testing.T) {
	full := admission.Forecast{RunID: "o", Pools: []admission.Pool{{Cores: 1}}}
	var c admission.Controller
	now := bootNow()
	for tenureNumber := range int64(2) {
		o := newPublishingOwner(tenureNumber + 1)
		for range 5 - 2*tenureNumber {
			now = now.Add(time.Second)
			o.outlook.set(full)
			f, due := o.outlook.next(now)
			assert.Assert(t, due)
			c.Update(now, f, "o")
		}
	}
	_, age, inForce := c.Forecast(now)
	assert.Assert(t, inForce && age == 0, "%v", age)
}

// Guards against losing a job that a caller submits again after a refusal: an entry VM of an older
// release takes the refusal for a cancellation and answers that the job is stored. No forecast is
// published, so that none is refused, before the entry VMs are known, while such a one is among
// them, and while it may still serve callers after its row was removed.
func TestNoRefusalsBesideOlderRelease(t *testing.T) {
	row := func(node, value string) platform.Row {
		return platform.Row{RowKey: memberKey(node), Value: []byte(value), Version: 1}
	}
	newer, err := encodeRow(newMemberRow(&platform.Settings{}, "r"))
	assert.NilError(t, err)
	o, now := newPublishingOwner(1), bootNow()
	published := func(after time.Duration) bool {
		o.publishOutlook(now.Add(after))
		return o.outlook.known
	}
	o.relays = newRelaySet("", zerolog.Nop())
	assert.Assert(t, !published(time.Second), "the entry VMs aren't known")
	o.relays.applyRows([]platform.Row{row("a", string(newer)), row("b", `{"zone":"z","address":"x","cores":1,"life":"r"}`)}, true)
	assert.Assert(t, !published(2*time.Second), "an older release runs")
	o.relays.applyRows([]platform.Row{row("b", string(newer))}, false)
	assert.Assert(t, !published(3*time.Second), "its process may still serve callers")
	assert.Assert(t, published(time.Minute))
	o.relays.applyRows([]platform.Row{row("b", "{}")}, false)
	assert.Assert(t, !published(2*time.Minute), "the older release is back")
}
