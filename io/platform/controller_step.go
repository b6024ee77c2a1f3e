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

// advance takes as many steps with a VM as are possible now. observed is the result of
// the VM's latest status check.
func (c *Controller) advance(ctx context.Context, vm *fleet.VMRow, observed *maintenance.Observation) error {
	for range maxStepsPerTick {
		err := c.step(ctx, vm, observed)
		c.checks.RecordCheck(c.Now(), vm.Ref.VM, observed)
		if err != nil {
			return err
		}
		next, ok := c.rows().VM(vm.Key())
		if !ok || !needsImmediateStep(vm, next) {
			return nil
		}
		vm, observed = next, c.checkVM(ctx, next)
	}
	return nil
}

// needsImmediateStep reports whether a VM needs its next step in the same tick. The
// reboot after a stop has a deadline, and a VM whose permit was withdrawn refuses work
// until it is told to accept it again. Other VMs wait for the next bulk status check.
func needsImmediateStep(vm, next *fleet.VMRow) bool {
	withdrawn := next.VM.State == fleet.Serving && vm.VM.State != fleet.Verifying
	return next.Row.Version != vm.Row.Version && (next.VM.State == fleet.Stopped || withdrawn)
}

// step advances one VM by one step. A refusal by the rules or a lost race ends only this
// VM's step, whereas an unreachable table ends the tick.
func (c *Controller) step(ctx context.Context, vm *fleet.VMRow, observed *maintenance.Observation) error {
	if observed != nil {
		observed.Leaving = c.leaving[vm.Ref.VM]
	}
	next, err := c.Driver.Next(c.Now(), *vm, c.rows().Pools(), observed)
	if err != nil {
		return c.handleError(ctx, vm.Ref, err)
	}
	if next.Reboot && !c.reboot(ctx, vm, next.NotAfter) {
		return nil
	}
	if len(next.Transaction.Writes) == 0 {
		return nil
	}
	if err := c.transact(ctx, next.Transaction); err != nil {
		return c.handleError(ctx, vm.Ref, err)
	}
	c.Log.Info().Str("vm", vm.Ref.String()).Str("from", vm.VM.State.String()).Str("wave", vm.VM.Wave).Msg("maintenance step")
	return nil
}

// reboot requests a reboot if its deadline has not passed. The clock is read right before
// the request is written, and the request times out at the deadline: this process may
// have been paused since the decision, and another controller may return the VM to
// service once the deadline has passed.
func (c *Controller) reboot(ctx context.Context, vm *fleet.VMRow, notAfter time.Time) bool {
	remaining := notAfter.Sub(c.Now())
	if c.skipDeadlineCheck {
		remaining = DefaultTimeout
	}
	if remaining <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	if err := c.VMs.Reboot(ctx, vm.Ref, RebootRequest{NotAfter: notAfter, Fence: vm.Row.Version}); err != nil {
		c.Log.Warn().Err(err).Str("vm", vm.Ref.String()).Msg("reboot not accepted")
		return false
	}
	return true
}

// plan executes the planner's commands, as many as fit into an interval. The next tick
// plans the rest again.
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
	end := c.Now().Add(c.interval())
	for i, command := range c.planner().Plan(c.Now(), view) {
		if i > 0 && !c.Now().Before(end) {
			break
		}
		if err := c.renewLeaseIfDue(ctx); err != nil {
			return err
		}
		if err := c.execute(ctx, wave, command); err != nil {
			return err
		}
	}
	c.mu.Lock()
	c.state.BadRows = c.rows().Undecodable()
	c.state.Wave = wave.Wave
	c.state.Progress = view.Progress(c.Now())
	c.mu.Unlock()
	return nil
}

// execute builds the command's transaction from the current rows, because the commands
// before it have changed them.
func (c *Controller) execute(ctx context.Context, wave maintenance.WaveRow, command maintenance.Command) error {
	t, err := c.Driver.Transaction(c.Now(), c.view(wave), wave, command)
	if err == nil && len(t.Writes) > 0 {
		err = c.transact(ctx, t)
	}
	if err != nil {
		return c.handleError(ctx, fleet.Ref{}, err)
	}
	if halt, ok := command.(maintenance.Halt); ok {
		c.Log.Error().Str("zone", string(c.Zone)).Str("reason", halt.Reason).Msg("maintenance halted")
	}
	return nil
}

func (c *Controller) view(wave maintenance.WaveRow) maintenance.View {
	vms, unreadable := c.rows().AllVMs()
	return maintenance.View{Zone: c.Zone, Wave: wave.Wave, VMs: vms, Unreadable: unreadable, Pools: c.rows().Pools()}
}

func (c *Controller) transact(ctx context.Context, t table.Transaction) error {
	if err := c.Table.Transact(ctx, t); err != nil {
		return err
	}
	c.rows().Apply(t)
	return nil
}

// handleError decides whether an error ends the tick. A lost answer needs no state of its
// own: the rows show whether the change took effect, and the next step starts from them.
func (c *Controller) handleError(ctx context.Context, vm fleet.Ref, err error) error {
	var refusal *core.Error
	switch {
	case errors.As(err, &refusal):
		c.Log.Debug().Err(err).Str("vm", vm.String()).Msg("maintenance step refused")
		return nil
	case errors.Is(err, table.ErrConflict), errors.Is(err, table.ErrOutcomeUnknown):
		return c.refresh(ctx)
	}
	return err
}
