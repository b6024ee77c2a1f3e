package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/maintenance"
	"lavenderpond/core/table"
)

// steps takes a VM as many steps further as it can go now.
func (c *Controller) steps(ctx context.Context, vm fleet.VMRow, leaving bool) error {
	for range stepsPerTick {
		if err := c.step(ctx, vm, leaving); err != nil {
			return err
		}
		next, ok := c.rows().VM(vm.Key())
		if !ok || next.Row.Version == vm.Row.Version {
			return nil
		}
		vm = *next
	}
	return nil
}

// step takes one VM a step further. A refusal by the rules or a lost race ends
// this VM's step only; an unreachable table ends the tick.
func (c *Controller) step(ctx context.Context, vm fleet.VMRow, leaving bool) error {
	seen := c.look(ctx, vm)
	if seen != nil {
		seen.Leaving = leaving
	}
	next, err := c.Driver.Next(c.Now(), vm, c.rows().Pools(), seen)
	if err != nil {
		return c.settle(ctx, vm, err)
	}
	if next.Reboot && !c.reboot(ctx, vm, next.NotAfter) {
		return nil
	}
	if len(next.Transaction.Writes) == 0 {
		return nil
	}
	if err := c.transact(ctx, next.Transaction); err != nil {
		return c.settle(ctx, vm, err)
	}
	c.Log.Info().Str("vm", vm.Ref.String()).Str("from", vm.VM.State.String()).Str("wave", vm.VM.Wave).Msg("maintenance step")
	return nil
}

// look tells the VM to refuse new work or to take it again, and then asks what
// runs there: in this order, nothing can start after the answer was taken.
func (c *Controller) look(ctx context.Context, vm fleet.VMRow) *maintenance.Seen {
	var refuses time.Time
	if until, ok := c.Driver.Hold(c.Now(), vm); ok {
		err := c.VMs.Drain(ctx, vm.Ref, DrainRequest{Until: until, Fence: vm.Row.Version})
		if err == nil {
			refuses = until
		}
	}
	status, err := c.VMs.Status(ctx, vm.Ref)
	if err != nil {
		return nil
	}
	return &maintenance.Seen{Up: status.Up, Running: status.Running, RefusesUntil: refuses}
}

// reboot asks for a reboot if its deadline has not passed. The clock is read
// right before the request is written, and the request ends at the deadline:
// this process may have been paused since the decision, and another controller
// may return the VM into service once the deadline has passed.
func (c *Controller) reboot(ctx context.Context, vm fleet.VMRow, notAfter time.Time) bool {
	left := notAfter.Sub(c.Now())
	if c.noDeadline {
		left = DefaultTimeout
	}
	if left <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if err := c.VMs.Reboot(ctx, vm.Ref, RebootRequest{NotAfter: notAfter, Fence: vm.Row.Version}); err != nil {
		c.Log.Warn().Err(err).Str("vm", vm.Ref.String()).Msg("reboot not taken")
		return false
	}
	return true
}

// plan carries out the planner's commands.
func (c *Controller) plan(ctx context.Context) error {
	row, err := c.Table.Read(ctx, maintenance.WaveKey(c.Zone))
	if err != nil {
		return err
	}
	wave, err := maintenance.DecodeWave(c.Zone, row)
	if err != nil {
		return err
	}
	view := c.view(wave)
	for _, command := range c.planner().Plan(c.Now(), view) {
		if err := c.carryOut(ctx, wave, command); err != nil {
			return err
		}
	}
	c.mu.Lock()
	c.state.BadRows = c.rows().Bad()
	c.state.Wave = wave.Wave
	c.state.Progress = view.Progress(c.Now())
	c.mu.Unlock()
	return nil
}

// carryOut builds the command's transaction on the rows as they are now: the
// commands before it have changed them.
func (c *Controller) carryOut(ctx context.Context, wave maintenance.WaveRow, command maintenance.Command) error {
	t, err := c.Driver.Transaction(c.Now(), c.view(wave), wave, command)
	if err == nil && len(t.Writes) > 0 {
		err = c.transact(ctx, t)
	}
	if err != nil {
		return c.settle(ctx, fleet.VMRow{}, err)
	}
	if halt, ok := command.(maintenance.Halt); ok {
		c.Log.Error().Str("zone", string(c.Zone)).Str("reason", halt.Reason).Msg("maintenance halted")
	}
	return nil
}

func (c *Controller) view(wave maintenance.WaveRow) maintenance.View {
	return maintenance.View{Zone: c.Zone, Wave: wave.Wave, VMs: c.rows().VMs(), Pools: c.rows().Pools()}
}

func (c *Controller) transact(ctx context.Context, t table.Transaction) error {
	if err := c.Table.Transact(ctx, t); err != nil {
		return err
	}
	c.rows().Apply(t)
	return nil
}

// settle decides what an error means for the tick. A lost answer needs no memory:
// the rows tell whether the change took effect, and the next step starts there.
func (c *Controller) settle(ctx context.Context, vm fleet.VMRow, err error) error {
	var refusal *core.Error
	switch {
	case errors.As(err, &refusal):
		c.Log.Debug().Err(err).Str("vm", vm.Ref.String()).Msg("maintenance step refused")
		return nil
	case errors.Is(err, table.ErrConflict), errors.Is(err, table.ErrUnknown):
		return c.refresh(ctx)
	}
	return err
}
