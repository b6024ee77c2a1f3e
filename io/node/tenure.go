package node

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core/lease"
	"lavenderpond/platform"
)

// errDeposed says that another process owns the jobs and VMs now.
var errDeposed = errors.New("another process is the owner now")

// tenure is one owner's time in office, as the table knows it.
type tenure struct {
	life  string
	fence platform.Version
	turn  int64

	mu    sync.Mutex
	right lease.Ownership
	// newest is the last version at which the table has confirmed the right.
	newest platform.Version
}

func (t *tenure) prove(renewed, seen time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.right.Confirm(renewed, seen)
}

func (t *tenure) renewed(version platform.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newest = max(t.newest, version)
}

func (t *tenure) lastRenewal() platform.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}

func (t *tenure) mayOrder(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.right.MayOrderMachines(now)
}

func (t *tenure) mayStart(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.right.MayStartTasks(now)
}

func (t *tenure) mayHold(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.right.MayExtendLeases(now)
}
