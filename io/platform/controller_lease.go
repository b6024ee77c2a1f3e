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
	// leaseIntervals is how many intervals a lease outlasts its renewal.
	leaseIntervals = 4
	// takeoverDelayIntervals is how many intervals another entry has to take a free lease
	// before the relay does: it looks once in each.
	takeoverDelayIntervals = 2
)

// errLeaseLost ends a tick of a controller that was paused for long.
var errLeaseLost = errors.New("another entry is the zone's controller now")

// ensureLease takes or renews the lease at the start of a tick, or leaves it to another
// entry. It returns false if this entry doesn't hold it.
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

// renewLeaseIfDue renews the lease if that is due, or returns errLeaseLost.
//
// With slow calls a tick may outlast the lease. Another entry would then start and
// do the same work again, while each is in the other's way: every second one of
// their transactions fails.
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

// acquire takes or renews the lease, whose row was just read.
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
	c.state.Holds = held
}

// entries returns the zone's entries that the live list has, none if it can't be
// read: this entry then counts as the only one, and the zone has a controller.
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
