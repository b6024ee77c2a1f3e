package node

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

// rowBytes is the largest row that the table accepts. It is the same on all deployments so
// far.
const rowBytes = 65_536

// Guards against storing the state of the whole fleet in one row. The owner of a large
// fleet finds its VMs and orders machines to move. The table would refuse the oversized
// transaction as malformed every time, so no ownership would be renewed and no task
// started, whichever process takes over.
func TestLargeFleetFitsInTableRows(t *testing.T) {
	now := bootNow()
	s := schedule.New(schedule.Settings{Fence: 5, TakeoverTime: now, LeaseMax: 6 * time.Second, OrderIssuer: "edge-somewhere-1"})
	for i := range 2000 {
		s.VMListed(now, job.VMRecord{
			ID: job.VMID(fmt.Sprintf("%016x", i)), Pool: "some-service", Address: "10.100.200.30:8080",
			Machine: job.MachineID(fmt.Sprintf("machine-%08d", i)), Born: job.Born(now.UnixMilli()),
		})
	}
	c := newCommitter(nil)
	c.add(s.TakeCommands())
	rows := 0
	for {
		saves, _ := c.nextBatch()
		if len(saves) == 0 {
			break
		}
		tx, err := c.transaction(c.encodeUpdates(saves))
		assert.NilError(t, err)
		assert.Assert(t, len(tx.Writes)+len(tx.Conditions) <= platform.MaxTransactionRows)
		for _, w := range tx.Writes {
			assert.Assert(t, len(w.Value) < rowBytes/4, "%v has %d bytes", w.RowKey, len(w.Value))
			rows++
		}
	}
	assert.Assert(t, rows >= 2000, "%d rows", rows)
}

// Guards against a kind of save that the owner never passes on, so that the next owner knows nothing of it.
func TestEveryKindOfSaveIsCommitted(t *testing.T) {
	saves := []schedule.Command{
		schedule.Save{}, schedule.SaveVM{}, schedule.DropVM{}, schedule.SaveWave{}, schedule.SaveOrder{}, schedule.DropOrder{},
		schedule.SaveShares{}, schedule.SaveRunTimes{},
	}
	o := &owner{committer: newCommitter(nil)}
	o.execute(t.Context(), saves)
	assert.DeepEqual(t, o.committer.queue, saves)
}

// Checks that a VM that is saved and dropped in one transaction has its row removed, not
// written.
func TestDroppedVMRowIsRemoved(t *testing.T) {
	c := newCommitter(nil)
	tx, err := c.transaction(c.encodeUpdates([]schedule.Command{
		schedule.SaveVM{Sequence: 1, VM: schedule.RosterVM{ID: "v"}}, schedule.DropVM{Sequence: 2, VM: "v"},
	}))
	assert.NilError(t, err)
	assert.DeepEqual(t, tx.Removals, []platform.RowKey{vmKey("v")})
	assert.Equal(t, len(tx.Writes), 1, "only the renewal is written")
}

// Guards against writing every queued save. The table is slow and 90 jobs have changed ten
// times each. Separate transactions for all 900 saves would take seconds, during which
// tasks wait to start.
func TestSavesOfOneRowAreWrittenOnce(t *testing.T) {
	c := newCommitter(nil)
	sequence := int64(0)
	for round := range 10 {
		for i := range maxBatchRows {
			sequence++
			c.add([]schedule.Command{schedule.Save{
				Sequence: sequence, Job: job.ID(fmt.Sprintf("%016x", i)), Progress: job.Progress{State: job.State(min(round, 1))},
			}})
		}
	}
	saves, last := c.nextBatch()
	assert.Equal(t, last, sequence)
	tx, err := c.transaction(c.encodeUpdates(saves))
	assert.NilError(t, err)
	assert.Equal(t, len(tx.Writes), maxBatchRows+1)
}

// Guards against a table that slows down to 258 ms per transaction while the owner renews
// its ownership. Each attempt that is abandoned too early is still applied and delays the
// next one. The ownership would expire and no task would start.
func TestRenewalSucceedsWhenTableTurnsSlow(t *testing.T) {
	const slow = 258 * time.Millisecond
	c := newCommitter(nil)
	c.latency.observe(4*time.Millisecond, true)
	// The partition applies the attempts one after the other.
	waited, busyUntil := time.Duration(0), time.Duration(0)
	for attempt := 0; ; attempt++ {
		busyUntil = max(busyUntil, waited) + slow
		timeout := c.attemptTimeout(attempt)
		if busyUntil-waited <= timeout {
			break
		}
		waited += timeout
		c.latency.observe(timeout, false)
	}
	assert.Assert(t, busyUntil <= 600*time.Millisecond, "answered after %v", busyUntil)
	assert.Assert(t, c.attemptTimeout(0) > slow, "the first attempt of the next transaction waits long enough")
}

// Guards against task ends that are lost at a planned stop. An owner that stops while the
// table refuses its transaction must not count it as stored. Otherwise VMs would forget
// the ends in it, and the next owner would run their tasks again.
func TestStoppedCommitterReportsNothingStored(t *testing.T) {
	_, table := newFakeTable(t, respondWith(http.StatusServiceUnavailable, ""))
	c := newCommitter(table)
	c.wake = make(chan struct{}, 1)
	c.onStored = func(sequence int64) { t.Errorf("sequence %d reported as stored", sequence) }
	c.add([]schedule.Command{schedule.Save{Sequence: 1, Job: "j", Progress: job.Progress{State: job.Completed}}})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	assert.Assert(t, errors.Is(c.run(ctx), context.DeadlineExceeded))
}

// Guards against counting saves as stored while others of their sequence wait for the next
// transaction.
func TestSequenceSplitOverTwoTransactionsIsStoredWithTheSecond(t *testing.T) {
	c := newCommitter(nil)
	var saves []schedule.Command
	for i := range maxBatchRows + 10 {
		saves = append(saves, schedule.Save{Sequence: 7, Job: job.ID(fmt.Sprintf("%016x", i))})
	}
	c.add(saves)
	_, last := c.nextBatch()
	assert.Equal(t, last, int64(6))
	_, last = c.nextBatch()
	assert.Equal(t, last, int64(7))
}

// Guards against a fence that isn't raised. The tenure records the version of each
// renewal, whether its answer arrived or was lost.
func TestTenureRecordsEachRenewal(t *testing.T) {
	_, table := newFakeTable(t, respondWith(http.StatusOK, `{"ver":11}`), dropAnswer, respondWith(http.StatusPreconditionFailed, conflictAnswer(10, `{"life":"me","batch":2}`)))
	c := newCommitter(table)
	assert.NilError(t, c.store(t.Context(), nil))
	assert.Equal(t, c.tenure.lastRenewal(), platform.Version(11))
	assert.NilError(t, c.store(t.Context(), nil))
	assert.Equal(t, c.tenure.lastRenewal(), platform.Version(21))
}
