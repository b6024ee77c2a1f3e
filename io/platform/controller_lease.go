package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/maintenance"
	"lavenderpond/core/table"
)

const (
	// leaseIntervals is how many control intervals a lease lasts after its renewal.
	leaseIntervals = 4
	// takeoverDelayIntervals is how many control intervals the zone's relay leaves a free
	// lease to the other entries, each of which reads the lease once per interval. See
	// maintenance.LeasePolicy.
	takeoverDelayIntervals = 2
)

// errLeaseLost ends the tick of a controller that lost its lease, for example during a long
// pause.
var errLeaseLost = errors.New("another entry is the zone's controller now")

// ensureLease acquires, renews or releases the lease at the start of a tick, or leaves it
// to another entry. It reports whether this entry holds the lease.
func (c *Controller) ensureLease(ctx context.Context) (bool, error) {
	row, err := c.Table.Read(ctx, maintenance.LeaseKey(c.Zone))
	if err != nil {
		return false, err
	}
	lease, err := maintenance.DecodeLease(row)
	if err != nil {
		return false, err
	}
	now := c.Now()
	switch c.leasePolicy.Next(now, lease, c.Self, c.entries(ctx), takeoverDelayIntervals*c.interval()) {
	case maintenance.LeaseAcquire:
		return c.acquire(ctx, row)
	case maintenance.LeaseRelease:
		c.setHoldsLease(false)
		t, err := maintenance.Release(now, row)
		if err != nil {
			return false, err
		}
		return false, c.Table.Transact(ctx, t)
	case maintenance.LeaseNoAction:
	}
	c.setHoldsLease(false)
	return false, nil
}

// renewLeaseIfDue renews the lease if that is due. It returns errLeaseLost if another
// entry holds it.
//
// With slow calls, a tick may outlast the lease. The controller of another entry would
// then start and do the same work again, and the two would hinder each other: every
// second one of their transactions fails.
func (c *Controller) renewLeaseIfDue(ctx context.Context) error {
	if c.Now().Before(c.renewAt) {
		return nil
	}
	row, err := c.Table.Read(ctx, maintenance.LeaseKey(c.Zone))
	if err != nil {
		return err
	}
	held, err := c.acquire(ctx, row)
	if err == nil && !held {
		return errLeaseLost
	}
	return err
}

// acquire acquires or renews the lease. row is the lease row as just read. It reports
// whether this entry holds the lease.
func (c *Controller) acquire(ctx context.Context, row table.Row) (bool, error) {
	now := c.Now()
	c.renewAt = now.Add(c.interval())
	t, held, err := maintenance.Acquire(now, row, c.Self, now.Add(leaseIntervals*c.interval()))
	if err == nil && held {
		err = c.Table.Transact(ctx, t)
	}
	if errors.Is(err, table.ErrConflict) {
		held, err = false, nil
	}
	c.setHoldsLease(held && err == nil)
	return held, err
}

func (c *Controller) setHoldsLease(held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.HoldsLease = held
}

// entries returns the zone's entries on the live list, except those that are leaving. If
// the list can't be read, it returns none. This entry then counts as the only one, so
// that the zone has a controller.
func (c *Controller) entries(ctx context.Context) []core.EntryID {
	live, err := c.Live.Live(ctx, c.Zone)
	if err != nil {
		return nil
	}
	var entries []core.EntryID
	for _, vm := range live {
		if !vm.Started.IsZero() && !vm.Leaving {
			entries = append(entries, core.NewEntryID(vm.Name, vm.Started))
		}
	}
	return entries
}

func (c *Controller) interval() time.Duration {
	if c.Interval == 0 {
		return DefaultControlInterval
	}
	return c.Interval
}
