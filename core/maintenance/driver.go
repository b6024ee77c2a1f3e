package maintenance

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
)

// Observation is the platform's answer to a status check of a VM.
type Observation struct {
	Up bool
	// Running is how many tasks run on the VM.
	Running int
	// RefusesUntil is the time until which the VM has agreed to refuse new work. The VM
	// is told to refuse it right before Running is queried. RefusesUntil is zero if the VM
	// wasn't told, or didn't answer.
	RefusesUntil time.Time
	// Leaving is set if the platform lists the VM as about to be removed.
	Leaving bool
}

// Step is the next step of a VM. The zero value means to wait.
type Step struct {
	// Reboot requests a reboot from the platform first. Transaction is applied only if
	// the platform accepted the request.
	Reboot bool
	// NotAfter is the latest time at which the reboot may be requested.
	NotAfter    time.Time
	Transaction table.Transaction
}

// Driver takes each VM through cordon, drain, stop, verify and return. All its state
// is in the rows, so any controller can continue where another one stopped. The zero
// value is ready to use.
type Driver struct {
	Timing Timing
	Rules  fleet.Rules
}

// NewPermit returns a permit for a drain that begins now.
func (d Driver) NewPermit(now time.Time, change core.ChangeID) fleet.Permit {
	return fleet.Permit{Change: change, DrainBy: now.Add(d.Timing.withDefaults().DrainTimeout)}
}

// HoldUntil returns the time until which the VM must be told to refuse new work. It
// returns now if the VM must be told to accept work again, and false if the VM needs no
// message.
//
// An entry that can't reach the table keeps its old view and continues to dispatch. Only
// a refusal by the VM itself stops such an entry: otherwise the reboot would kill work
// that arrives after the check for running tasks. A VM that serves again is told to accept
// work for some time, since the first message may be lost.
func (d Driver) HoldUntil(now time.Time, vm fleet.VMRow) (time.Time, bool) {
	hold := d.Timing.withDefaults().HoldDuration
	switch vm.VM.State {
	case fleet.Cordoned, fleet.Draining, fleet.Stopped:
		return now.Add(hold), true
	case fleet.Verifying:
		// A controller process that was suspended may request a second reboot until RebootBy.
		if d.mayStillReboot(now, vm.VM) {
			return now.Add(hold), true
		}
		return now, true
	case fleet.Serving:
		return now, now.Before(vm.VM.Since.Add(hold))
	}
	return time.Time{}, false
}

// mayStillReboot reports whether a controller process that was suspended and then
// resumed could still reboot the VM.
func (d Driver) mayStillReboot(now time.Time, vm fleet.VM) bool {
	skew := d.Timing.withDefaults().MaxClockSkew
	return !vm.RebootBy.IsZero() && !now.After(vm.RebootBy.Add(skew))
}

// Next returns the VM's next step. observed is nil if the platform did not answer.
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
	return Step{}, core.Errorf(core.CodeMalformed, "VM %s is in the unknown state %d", vm.Ref, vm.VM.State)
}

// stepper computes the next step of one VM.
type stepper struct {
	Driver
	now      time.Time
	vm       fleet.VMRow
	pool     fleet.PoolRow
	pools    map[core.PoolID]fleet.PoolRow
	observed *Observation
}

// serving records the failure of a VM. A VM that the platform is removing counts as
// failed too, since it gets no new work and won't come back. A live list that lags may
// still show a VM as leaving after it has returned, so Leaving is ignored for MaxListLag
// after the return.
func (s *stepper) serving() (Step, error) {
	leaving := s.observed != nil && s.observed.Leaving && s.now.After(s.vm.VM.Since.Add(s.Timing.MaxListLag))
	if s.isDown() || leaving {
		return transactionStep(s.Rules.Fail(s.now, s.vm, s.pool))
	}
	return Step{}, nil
}

func (s *stepper) cordoned() (Step, error) {
	switch {
	case s.isDown():
		return transactionStep(s.Rules.Fail(s.now, s.vm, s.pool))
	case s.mustWithdraw():
		return transactionStep(s.Rules.Withdraw(s.now, s.vm, s.pool))
	case !s.refuses():
		return Step{}, nil
	}
	return transactionStep(s.Rules.Drain(s.now, s.vm, s.now.Add(s.Timing.MaxViewAge)))
}

func (s *stepper) draining() (Step, error) {
	switch {
	case s.isDown():
		return transactionStep(s.Rules.Fail(s.now, s.vm, s.pool))
	case s.mustWithdraw():
		return transactionStep(s.Rules.Withdraw(s.now, s.vm, s.pool))
	case s.now.Before(s.vm.VM.StopAfter), !s.isIdle():
		return Step{}, nil
	}
	return s.stop()
}

// stopped requests the reboot of the VM. It repeats the request if the answer was lost,
// after checking each time that nothing runs on the VM.
//
// VMs that failed since the stop may have used up the budget. A reboot would then keep
// out a VM that is up and could serve. Such a VM is recorded as failed instead, so that
// it is verified and returned. It stays due for maintenance, because it is unknown
// whether it was rebooted.
func (s *stepper) stopped() (Step, error) {
	v := s.vm.VM
	switch {
	case v.MoveTo != "":
		return s.join()
	case s.now.After(v.BackBy):
		return transactionStep(s.Rules.Fail(s.now, s.vm, s.pool))
	case !s.isIdle():
		return Step{}, nil
	case s.pool.Pool.Headroom() < 0:
		return transactionStep(s.Rules.Fail(s.now, s.vm, s.pool))
	case s.now.After(v.RebootBy):
		return s.stop()
	}
	step, err := transactionStep(s.Rules.VerifyReboot(s.now, s.vm, v.BackBy))
	step.Reboot, step.NotAfter = true, v.RebootBy
	return step, err
}

func (s *stepper) verifying() (Step, error) {
	v := s.vm.VM
	up := s.observed != nil && s.observed.Up
	switch {
	case !up && s.now.After(v.BackBy) && !v.BackBy.IsZero(), s.isDown() && v.BackBy.IsZero():
		return transactionStep(s.Rules.Fail(s.now, s.vm, s.pool))
	case !up, s.now.Before(v.Since.Add(s.Timing.VerifyDuration)), s.mayStillReboot(s.now, v):
		return Step{}, nil
	}
	return transactionStep(s.Rules.Return(s.now, s.vm, s.pool, s.nextDue()))
}

func (s *stepper) failed() (Step, error) {
	if s.observed == nil || !s.observed.Up || s.observed.Leaving {
		return Step{}, nil
	}
	return transactionStep(s.Rules.Verify(s.now, s.vm, s.now.Add(s.Timing.ReturnTimeout)))
}

// stop marks the VM as stopped. The reboot must be requested while the VM is certain to
// refuse work.
func (s *stepper) stop() (Step, error) {
	var rebootBy time.Time
	if s.vm.VM.MoveTo == "" {
		rebootBy = earlier(s.now.Add(s.Timing.RebootWindow), s.observed.RefusesUntil.Add(-s.Timing.MaxClockSkew))
	}
	return transactionStep(s.Rules.Stop(s.now, s.vm, s.pool, rebootBy, s.now.Add(s.Timing.ReturnTimeout)))
}

// join moves the VM to its new pool. It stays in its pool if the new one was deleted.
func (s *stepper) join() (Step, error) {
	to, ok := s.pools[s.vm.VM.MoveTo]
	if !ok || !to.Exists() {
		return transactionStep(s.Rules.Verify(s.now, s.vm, s.now.Add(s.Timing.ReturnTimeout)))
	}
	return transactionStep(s.Rules.Join(s.now, s.vm, s.pool, to))
}

// mustWithdraw reports whether the drain permit must be withdrawn, because the drain
// takes too long or because later failures have exceeded the budget.
func (s *stepper) mustWithdraw() bool {
	return s.pool.Pool.Headroom() < 0 || s.now.After(s.vm.VM.DrainBy)
}

// nextDue returns the deadline of the next maintenance, or zero if the platform accepted no
// planned reboot of the VM. An operator may return a stopped VM that still waits for its
// reboot.
func (s *stepper) nextDue() time.Time {
	out, ok := s.pool.Pool.FindOutVM(s.vm.Ref)
	if !ok || !out.Planned || s.vm.VM.RebootedAt.IsZero() {
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

func transactionStep(t table.Transaction, err error) (Step, error) { return Step{Transaction: t}, err }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
