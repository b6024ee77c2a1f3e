package maintenance

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
)

// Observation is what the platform just said of a VM.
type Observation struct {
	Up bool
	// Running is how many tasks run on the VM.
	Running int
	// RefusesUntil is until when the VM has agreed to refuse new work, as it was
	// told right before it was asked for Running. Zero if it wasn't, or didn't answer.
	RefusesUntil time.Time
	// Leaving VMs are listed by the platform as about to go.
	Leaving bool
}

// Step is what a VM needs next. The zero value is to wait.
type Step struct {
	// Reboot asks the platform for a reboot first. Transaction follows only if the
	// platform took it.
	Reboot bool
	// NotAfter is the last moment at which Reboot may be asked for.
	NotAfter    time.Time
	Transaction table.Transaction
}

// Driver takes each VM through cordon, drain, stop, verify and return. It reads
// everything from the rows, so that any controller can go on where another one
// stopped. Its zero value works.
type Driver struct {
	Timing Timing
	Rules  fleet.Rules
}

// NewPermit returns a permit for a drain that begins now.
func (d Driver) NewPermit(now time.Time, change core.ChangeID) fleet.Permit {
	return fleet.Permit{Change: change, DrainBy: now.Add(d.Timing.withDefaults().DrainTimeout)}
}

// HoldUntil returns until when the VM has to be told to refuse new work, or the time
// now if it has to be told to take work again; false if it needn't be told.
//
// An entry that is cut off from the table keeps its old view and goes on
// dispatching. Only the VM's own refusal reaches it: without it, work that
// arrives between the look at what runs and the reboot is cut off. A VM that
// serves again is told so for a while, since the first word may be lost.
func (d Driver) HoldUntil(now time.Time, vm fleet.VMRow) (time.Time, bool) {
	hold := d.Timing.withDefaults().HoldDuration
	switch vm.VM.State {
	case fleet.Cordoned, fleet.Draining, fleet.Stopped:
		return now.Add(hold), true
	case fleet.Verifying:
		// A paused controller may ask for a second reboot until RebootBy.
		if d.mayStillReboot(now, vm.VM) {
			return now.Add(hold), true
		}
		return now, true
	case fleet.Serving:
		return now, now.Before(vm.VM.Since.Add(hold))
	}
	return time.Time{}, false
}

// mayStillReboot reports whether a paused controller could still reboot the VM.
func (d Driver) mayStillReboot(now time.Time, vm fleet.VM) bool {
	skew := d.Timing.withDefaults().MaxClockSkew
	return !vm.RebootBy.IsZero() && !now.After(vm.RebootBy.Add(skew))
}

// Next returns the VM's next step. seen is nil if the platform did not answer.
func (d Driver) Next(now time.Time, vm fleet.VMRow, pools map[core.PoolID]fleet.PoolRow, observed *Observation) (Step, error) {
	s := &stepper{Driver: d, now: now, vm: vm, pool: pools[vm.VM.Pool], pools: pools, observed: observed}
	s.Timing = d.Timing.withDefaults()
	switch vm.VM.State {
	case fleet.Serving:
		return s.serving()
	case fleet.Cordoned:
		return s.cordoned()
	case fleet.Draining:
		return s.draining()
	case fleet.Stopped:
		return s.stopped()
	case fleet.Verifying:
		return s.verifying()
	case fleet.Failed:
		return s.failed()
	}
	return Step{}, core.Errorf(core.CodeMalformed, "VM %s has the unknown state %d", vm.Ref, vm.VM.State)
}

// stepper is a Driver at work on one VM.
type stepper struct {
	Driver
	now      time.Time
	vm       fleet.VMRow
	pool     fleet.PoolRow
	pools    map[core.PoolID]fleet.PoolRow
	observed *Observation
}

// serving records a failure. A VM that the platform takes away counts as failed
// too: it gets no new work and won't come back. A list that lags may still show
// it as leaving after its own return, so a fresh return is believed.
func (s *stepper) serving() (Step, error) {
	leaving := s.observed != nil && s.observed.Leaving && s.now.After(s.vm.VM.Since.Add(s.Timing.MaxListLag))
	if s.isDown() || leaving {
		return transact(s.Rules.Fail(s.now, s.vm, s.pool))
	}
	return Step{}, nil
}

func (s *stepper) cordoned() (Step, error) {
	switch {
	case s.isDown():
		return transact(s.Rules.Fail(s.now, s.vm, s.pool))
	case s.mustWithdraw():
		return transact(s.Rules.Withdraw(s.now, s.vm, s.pool))
	case !s.refuses():
		return Step{}, nil
	}
	return transact(s.Rules.Drain(s.now, s.vm, s.now.Add(s.Timing.MaxViewAge)))
}

func (s *stepper) draining() (Step, error) {
	switch {
	case s.isDown():
		return transact(s.Rules.Fail(s.now, s.vm, s.pool))
	case s.mustWithdraw():
		return transact(s.Rules.Withdraw(s.now, s.vm, s.pool))
	case s.now.Before(s.vm.VM.StopAfter), !s.isIdle():
		return Step{}, nil
	}
	return s.stop()
}

// stopped reboots the VM, again after an answer that was lost: nothing runs
// there, which is checked each time.
//
// VMs that failed since the stop may have spent the budget. A reboot would then keep
// one more VM out that is up and could serve. It counts as failed, so that it is
// verified and returned, and is still due: whether it was rebooted is not known.
func (s *stepper) stopped() (Step, error) {
	v := s.vm.VM
	switch {
	case v.MoveTo != "":
		return s.join()
	case s.now.After(v.BackBy):
		return transact(s.Rules.Fail(s.now, s.vm, s.pool))
	case !s.isIdle():
		return Step{}, nil
	case s.pool.Pool.Headroom() < 0:
		return transact(s.Rules.Fail(s.now, s.vm, s.pool))
	case s.now.After(v.RebootBy):
		return s.stop()
	}
	step, err := transact(s.Rules.Verify(s.now, s.vm, v.BackBy))
	step.Reboot, step.NotAfter = true, v.RebootBy
	return step, err
}

func (s *stepper) verifying() (Step, error) {
	v := s.vm.VM
	up := s.observed != nil && s.observed.Up
	switch {
	case !up && s.now.After(v.BackBy) && !v.BackBy.IsZero(), s.isDown() && v.BackBy.IsZero():
		return transact(s.Rules.Fail(s.now, s.vm, s.pool))
	case !up, s.now.Before(v.Since.Add(s.Timing.VerifyDuration)), s.mayStillReboot(s.now, v):
		return Step{}, nil
	}
	return transact(s.Rules.Return(s.now, s.vm, s.pool, s.nextDue()))
}

func (s *stepper) failed() (Step, error) {
	if s.observed == nil || !s.observed.Up || s.observed.Leaving {
		return Step{}, nil
	}
	return transact(s.Rules.Verify(s.now, s.vm, s.now.Add(s.Timing.ReturnTimeout)))
}

// stop marks the VM as stopped. The reboot has to be asked for while the VM
// surely refuses work.
func (s *stepper) stop() (Step, error) {
	var rebootBy time.Time
	if s.vm.VM.MoveTo == "" {
		rebootBy = earlier(s.now.Add(s.Timing.RebootWindow), s.observed.RefusesUntil.Add(-s.Timing.MaxClockSkew))
	}
	return transact(s.Rules.Stop(s.now, s.vm, s.pool, rebootBy, s.now.Add(s.Timing.ReturnTimeout)))
}

// join moves the VM, or keeps it where it is if its new pool was deleted.
func (s *stepper) join() (Step, error) {
	to, ok := s.pools[s.vm.VM.MoveTo]
	if !ok || !to.Exists() {
		return transact(s.Rules.Verify(s.now, s.vm, s.now.Add(s.Timing.ReturnTimeout)))
	}
	return transact(s.Rules.Join(s.now, s.vm, s.pool, to))
}

// mustWithdraw reports whether the permit has to be given back: the drain takes
// too long, or VMs that failed since have spent the budget.
func (s *stepper) mustWithdraw() bool {
	return s.pool.Pool.Headroom() < 0 || s.now.After(s.vm.VM.DrainBy)
}

// nextDue returns the deadline of the next maintenance, or zero if the VM was
// out for another cause than a planned stop.
func (s *stepper) nextDue() time.Time {
	out, ok := s.pool.Pool.FindOut(s.vm.Ref)
	if !ok || !out.Planned || s.vm.VM.RebootBy.IsZero() {
		return time.Time{}
	}
	return s.now.Add(s.Timing.MaintenanceInterval)
}

func (s *stepper) isDown() bool { return s.observed != nil && !s.observed.Up }

func (s *stepper) isIdle() bool {
	return s.observed != nil && s.observed.Up && s.observed.Running == 0 && s.refuses()
}

func (s *stepper) refuses() bool {
	return s.observed != nil && s.observed.RefusesUntil.After(s.now.Add(s.Timing.RebootWindow+s.Timing.MaxClockSkew))
}

func transact(t table.Transaction, err error) (Step, error) { return Step{Transaction: t}, err }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
