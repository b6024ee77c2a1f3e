package platform

import (
	"context"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/maintenance"
)

// Bounds of a tick's status checks.
const (
	// maxChecksPerTick bounds the VMs that are checked in a tick; the others come first in
	// the next one. Otherwise, a zone of 1,430 VMs that all return at the same time would
	// keep the controller from planning, and occupy its network, for minutes.
	maxChecksPerTick = 256
	// maxChecksPerCall bounds the VMs of one call, so that the platform can answer it
	// within a request's timeout.
	maxChecksPerCall = 128
)

// checkDueVMs checks the VMs that are due and advances each as far as is possible now. It
// returns the VMs that it didn't reach, because a tick is bounded in VMs and in time.
func (c *Controller) checkDueVMs(ctx context.Context) ([]maintenance.DueCheck, error) {
	c.pollList(ctx)
	suspects := c.takeSuspects()
	for id := range suspects {
		c.checks.MarkDue(id)
	}
	now := c.Now()
	due := c.checks.Due(now, c.Driver, c.rows().VMs(), func(id core.VMID) bool {
		return c.leaving[id] || c.unlisted[id] || suspects[id]
	})
	end := now.Add(c.interval())
	var err error
	for remaining := maxChecksPerTick; err == nil && remaining > 0 && len(due) > 0 && c.Now().Before(end); {
		var n int
		n, err = c.checkBatch(ctx, due[:min(remaining, maxChecksPerCall, len(due))], end)
		due, remaining = due[n:], remaining-n
	}
	for _, rest := range due {
		if suspects[rest.VM.Ref.VM] {
			c.Suspect(rest.VM.Ref.VM)
		}
	}
	return due, err
}

// checkBatch checks VMs in one call and then advances them until end, but at least one of
// them. It returns how many VMs it handled.
func (c *Controller) checkBatch(ctx context.Context, batch []maintenance.DueCheck, end time.Time) (int, error) {
	if err := c.renewLeaseIfDue(ctx); err != nil {
		return 0, err
	}
	observations := c.checkAll(ctx, batch)
	for i, due := range batch {
		if i > 0 && !c.Now().Before(end) {
			return i, nil
		}
		if err := c.renewLeaseIfDue(ctx); err != nil {
			return i, err
		}
		if err := c.advance(ctx, due.VM, observations[i]); err != nil {
			return i, err
		}
		if due.Suspect && c.isSuspicionOpen(due.VM, observations[i]) {
			c.Suspect(due.VM.Ref.VM)
		}
	}
	return len(batch), nil
}

// isSuspicionOpen reports whether the suspicion against vm is neither refuted nor
// recorded in its row, because the platform's answer or the change of the row was lost.
func (c *Controller) isSuspicionOpen(vm *fleet.VMRow, observed *maintenance.Observation) bool {
	if observed != nil && observed.Up {
		return false
	}
	current, ok := c.rows().VM(vm.Key())
	return ok && current.VM.State == fleet.Serving
}

// checkAll does for many VMs in one call what checkVM does for one. If the answer omits
// a VM, its observation is nil: the platform didn't answer for it, which says nothing
// about the VM. If such a VM counted as down, a partial or lost answer would take a
// working fleet out of service.
func (c *Controller) checkAll(ctx context.Context, batch []maintenance.DueCheck) []*maintenance.Observation {
	now := c.Now()
	requests := make([]CheckRequest, len(batch))
	indexes := make(map[core.VMID]int, len(batch))
	for i, due := range batch {
		requests[i].VM, indexes[due.VM.Ref.VM] = due.VM.Ref.VM, i
		if until, ok := c.Driver.HoldUntil(now, *due.VM); ok {
			requests[i].Drain = &DrainRequest{Until: until, Fence: due.VM.Row.Version}
		}
	}
	observations := make([]*maintenance.Observation, len(batch))
	results, err := c.VMs.CheckVMs(ctx, c.Zone, requests)
	if err != nil {
		c.Log.Debug().Err(err).Int("vms", len(requests)).Msg("status check of VMs failed")
		return observations
	}
	for _, result := range results {
		i, requested := indexes[result.VM]
		if !requested {
			continue
		}
		observations[i] = &maintenance.Observation{Up: result.Up, Running: result.Running}
		if drain := requests[i].Drain; drain != nil && result.Drained {
			observations[i].RefusesUntil = drain.Until
		}
	}
	return observations
}

// checkVM tells the VM to refuse new work or to accept it again, and then queries what
// runs there. In this order, nothing can start on a VM that refuses work after the query
// was answered.
func (c *Controller) checkVM(ctx context.Context, vm *fleet.VMRow) *maintenance.Observation {
	var refusesUntil time.Time
	if until, ok := c.Driver.HoldUntil(c.Now(), *vm); ok {
		err := c.VMs.Drain(ctx, vm.Ref, DrainRequest{Until: until, Fence: vm.Row.Version})
		if err == nil {
			refusesUntil = until
		}
	}
	status, err := c.VMs.Status(ctx, vm.Ref)
	if err != nil {
		return nil
	}
	return &maintenance.Observation{Up: status.Up, Running: status.Running, RefusesUntil: refusesUntil}
}
