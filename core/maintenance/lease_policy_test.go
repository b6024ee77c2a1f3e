package maintenance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// leaseEntry is a simulated entry. Its controller ticks unless it is frozen.
type leaseEntry struct {
	id     core.EntryID
	policy LeasePolicy
	frozen bool
}

// leaseZone simulates a zone's entries and its lease row. Every entry ticks once per step.
type leaseZone struct {
	t       *testing.T
	now     time.Time
	table   table.Memory
	entries []*leaseEntry
	// releases counts the leases that were released. vacantSteps counts the latest
	// consecutive steps without a holder, and maxVacantSteps is its maximum.
	releases, vacantSteps, maxVacantSteps int
}

const (
	leaseStep          = 5 * time.Second
	leaseTakeoverDelay = 2 * leaseStep
	leaseDuration      = 4 * leaseStep
)

func newLeaseZone(t *testing.T, entries int) *leaseZone {
	z := &leaseZone{t: t, now: time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)}
	for i := range entries {
		z.entries = append(z.entries, &leaseEntry{id: core.EntryID(fmt.Sprintf("entry_%d", i))})
	}
	return z
}

func (z *leaseZone) step() {
	z.now = z.now.Add(leaseStep)
	var ids []core.EntryID
	for _, e := range z.entries {
		ids = append(ids, e.id)
	}
	for _, e := range z.entries {
		if !e.frozen {
			z.tick(e, ids)
		}
	}
	z.vacantSteps++
	if z.now.Before(z.lease().Until) {
		z.vacantSteps = 0
	}
	z.maxVacantSteps = max(z.maxVacantSteps, z.vacantSteps)
}

func (z *leaseZone) tick(e *leaseEntry, ids []core.EntryID) {
	row := z.table.Read(LeaseKey("z"))
	switch e.policy.Next(z.now, z.lease(), e.id, ids, leaseTakeoverDelay) {
	case LeaseAcquire:
		tx, held, err := Acquire(z.now, row, e.id, z.now.Add(leaseDuration))
		assert.NilError(z.t, err)
		assert.Assert(z.t, held)
		assert.NilError(z.t, z.table.Transact(tx))
	case LeaseRelease:
		z.releases++
		tx, err := Release(z.now, row)
		assert.NilError(z.t, err)
		assert.NilError(z.t, z.table.Transact(tx))
	case LeaseNoAction:
	}
}

func (z *leaseZone) lease() Lease {
	l, err := DecodeLease(z.table.Read(LeaseKey("z")))
	assert.NilError(z.t, err)
	return l
}

func (z *leaseZone) steps(n int) {
	for range n {
		z.step()
	}
}

// TestLeasePolicyAvoidsRelay covers a relay that starts first and takes the lease. Once
// other entries run, it releases the lease, and another entry takes it in the same step
// and keeps it.
func TestLeasePolicyAvoidsRelay(t *testing.T) {
	z := newLeaseZone(t, 1)
	z.steps(20)
	assert.Equal(t, z.lease().Holder, core.EntryID("entry_0"), "an entry that runs alone must be the controller")
	for i := range 2 {
		z.entries = append(z.entries, &leaseEntry{id: core.EntryID(fmt.Sprintf("entry_%d", i+1))})
	}
	z.steps(100)
	assert.Equal(t, z.lease().Holder, core.EntryID("entry_1"))
	assert.Equal(t, z.releases, 1)
	assert.Equal(t, z.maxVacantSteps, 0)
}

// TestLeasePolicyKeepsController guards against a zone without a controller, in which
// nobody would record failed VMs. The other entries are listed as running but are frozen,
// or can't reach the table. The relay must take the lease back after the takeover delay,
// and not release it again and again.
func TestLeasePolicyKeepsController(t *testing.T) {
	z := newLeaseZone(t, 3)
	z.entries[1].frozen, z.entries[2].frozen = true, true
	z.steps(1000)
	assert.Equal(t, z.lease().Holder, core.EntryID("entry_0"))
	assert.Equal(t, z.releases, 1)
	assert.Assert(t, z.maxVacantSteps <= int(leaseTakeoverDelay/leaseStep), "%d steps without a controller", z.maxVacantSteps)

	// Another entry resumes and takes the lease. It freezes, and the relay takes over again.
	z.entries[1].frozen = false
	z.entries[0].frozen = true
	z.steps(10)
	assert.Equal(t, z.lease().Holder, core.EntryID("entry_1"))
	z.entries[0].frozen, z.entries[1].frozen = false, true
	z.steps(1000)
	assert.Equal(t, z.lease().Holder, core.EntryID("entry_0"))
	assert.Equal(t, z.releases, 2)
	assert.Assert(t, z.maxVacantSteps <= int(leaseTakeoverDelay/leaseStep), "%d steps without a controller", z.maxVacantSteps)
}
