package node

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core/lease"
	"lavenderpond/platform"
)

// errOwnershipLost means that another process owns the jobs and VMs.
var errOwnershipLost = errors.New("another process is the owner now")

// tenure is the period in which this process is the owner. fence is the version of the
// owner row that the takeover wrote, and number counts the takeovers.
type tenure struct {
	runID  string
	fence  platform.Version
	number int64
	// formerLease is the longest lease that the former owner granted; 0 if it didn't say.
	formerLease time.Duration
	// clock is the table's clock.
	clock tableClock

	mu        sync.Mutex
	ownership lease.Ownership
	// latestRenewal is the highest version at which the table has confirmed the ownership.
	latestRenewal platform.Version
}

// confirm records a confirmed renewal; see lease.Ownership.Confirm.
func (t *tenure) confirm(renewalSent, confirmationSent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownership.Confirm(renewalSent, confirmationSent)
}

func (t *tenure) recordRenewal(version platform.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latestRenewal = max(t.latestRenewal, version)
}

func (t *tenure) lastRenewal() platform.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latestRenewal
}

func (t *tenure) mayOrderMachines(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownership.MayOrderMachines(now)
}

func (t *tenure) mayStartTasks(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownership.MayStartTasks(now)
}

func (t *tenure) mayExtendLeases(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownership.MayExtendLeases(now)
}
