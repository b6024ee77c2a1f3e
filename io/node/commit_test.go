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

// rowBytes is the largest row that the table takes, on all deployments so far.
const rowBytes = 65_536

// The owner of a large fleet finds its VMs and orders machines to move. One row
// for all of them is too long: the table refuses the transaction as malformed,
// every time, no right is renewed and nothing starts any more, whoever takes over.
func TestLargeFleetFitsTheTable(t *testing.T) {
	now := bootNow()
	s := schedule.New(schedule.Settings{Fence: 5, TookOver: now, LeaseMax: 6 * time.Second, OrderIssuer: "edge-somewhere-1"})
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
		saves, _ := c.next()
		if len(saves) == 0 {
			break
		}
		tx, err := c.transaction(saves)
		assert.NilError(t, err)
		assert.Assert(t, len(tx.Writes)+len(tx.Conditions) <= platform.MaxTransactionRows)
		for _, w := range tx.Writes {
			assert.Assert(t, len(w.Value) < rowBytes/4, "%v has %d bytes", w.RowKey, len(w.Value))
			rows++
		}
	}
	assert.Assert(t, rows >= 2000, "%d rows", rows)
}

// A VM that is gone leaves the roster in the same order as it came.
func TestDroppedRowIsRemoved(t *testing.T) {
	c := newCommitter(nil)
	tx, err := c.transaction([]schedule.Command{
		schedule.SaveVM{Sequence: 1, VM: schedule.RosterVM{ID: "v"}}, schedule.DropVM{Sequence: 2, VM: "v"},
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, tx.Removals, []platform.RowKey{vmKey("v")})
	assert.Equal(t, len(tx.Writes), 1, "the renewal only")
}

// The table is slow and 90 jobs have changed ten times each. One transaction after
// another for all 900 saves takes seconds, while tasks wait for them to start.
func TestSavesOfOneRowAreWrittenOnce(t *testing.T) {
	c := newCommitter(nil)
	sequence := int64(0)
	for round := range 10 {
		for i := range savesEach {
			sequence++
			c.add([]schedule.Command{schedule.Save{
				Sequence: sequence, Job: job.ID(fmt.Sprintf("%016x", i)), Progress: job.Progress{State: job.State(min(round, 1))},
			}})
		}
	}
	saves, last := c.next()
	assert.Equal(t, last, sequence)
	tx, err := c.transaction(saves)
	assert.NilError(t, err)
	assert.Equal(t, len(tx.Writes), savesEach+1)
}

// The table turns slow while the owner renews its right: 258 ms for a transaction.
// Each attempt that is given up too early is carried out all the same and holds up
// the next one; the right runs out and nothing starts.
func TestRenewalOutlastsATableThatTurnsSlow(t *testing.T) {
	const slow = 258 * time.Millisecond
	c := newCommitter(nil)
	c.answers.learn(4*time.Millisecond, true)
	// The part carries out one attempt after the other.
	waited, busyUntil := time.Duration(0), time.Duration(0)
	for attempt := 0; ; attempt++ {
		busyUntil = max(busyUntil, waited) + slow
		patience := c.patience(attempt)
		if busyUntil-waited <= patience {
			break
		}
		waited += patience
		c.answers.learn(patience, false)
	}
	assert.Assert(t, busyUntil <= 600*time.Millisecond, "answered after %v", busyUntil)
	assert.Assert(t, c.patience(0) > slow, "the next one waits long enough at once")
}

// Guards against ends that are lost at a planned stop: an owner that stops while the table
// refuses its transaction must not take it for stored. VMs would forget the ends in it, and
// the next owner would run their tasks again.
func TestStoppedCommitterHasStoredNothing(t *testing.T) {
	_, table := newFakeTable(t, status(http.StatusServiceUnavailable, ""))
	c := newCommitter(table)
	c.wake = make(chan struct{}, 1)
	c.stored = func(sequence int64) { t.Errorf("%d is not stored", sequence) }
	c.add([]schedule.Command{schedule.Save{Sequence: 1, Job: "j", Progress: job.Progress{State: job.Completed}}})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	assert.Assert(t, errors.Is(c.run(ctx), context.DeadlineExceeded))
}

// Guards against saves that count as stored while others of their sequence wait for the next transaction.
func TestSequenceInTwoTransactionsIsStoredWithTheSecond(t *testing.T) {
	c := newCommitter(nil)
	var saves []schedule.Command
	for i := range savesEach + 10 {
		saves = append(saves, schedule.Save{Sequence: 7, Job: job.ID(fmt.Sprintf("%016x", i))})
	}
	c.add(saves)
	_, last := c.next()
	assert.Equal(t, last, int64(6))
	_, last = c.next()
	assert.Equal(t, last, int64(7))
}

// Guards against a fence that stays as it was: the version of each renewal is known to the tenure, whether its answer came or not.
func TestRenewalIsKnownToTheTenure(t *testing.T) {
	_, table := newFakeTable(t, status(http.StatusOK, `{"ver":11}`), lost, status(http.StatusPreconditionFailed, ownRows(10, `{"life":"me","batch":2}`)))
	c := newCommitter(table)
	assert.NilError(t, c.store(t.Context(), nil))
	assert.Equal(t, c.tenure.lastRenewal(), platform.Version(11))
	assert.NilError(t, c.store(t.Context(), nil))
	assert.Equal(t, c.tenure.lastRenewal(), platform.Version(21))
}
