package fleet

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Permit describes a permit to take a VM out of service: the change and the wave that
// request it, the pool that the VM moves to, and the deadline of the drain.
type Permit struct {
	// Change identifies the request. A VM whose row carries it already has the permit,
	// which settles the outcome if an answer was lost.
	Change core.ChangeID
	// Wave is the name of the maintenance wave. It is empty for an operator's drain.
	Wave string
	// MoveTo is the pool that the VM moves to. It is empty if the VM returns to its pool.
	MoveTo core.PoolID
	// Resize changes the sizes of the pools with the move: that of the old pool falls by
	// one, and that of the new pool rises by one. Resize is unset if a spare VM replaces a
	// failed one.
	Resize bool
	// DrainBy is when the permit is withdrawn if the VM is still draining.
	DrainBy time.Time
}

// Rules builds the transactions that take VMs out of service and return them. Each
// transaction checks the version of every row that the decision relies on, so it is
// applied only if none of them has changed since. An empty transaction means that the
// change has already taken effect. The zero value is ready to use.
type Rules struct {
	// For tests only: each field disables one safeguard.
	noBudgetCheck, noPoolCheck, noStopBudgetCheck, noFailureCount bool
}

// Permit grants a drain permit: it checks the budget, and marks the rows of the VM and
// the pool in one transaction.
//
// Two controllers that both see a headroom of one could each take out a VM and exceed
// the budget. Both transactions check the same version of the pool's row and write the
// row, so the second one fails with a conflict and must be decided again.
func (r Rules) Permit(now time.Time, vm VMRow, pool PoolRow, p Permit) (table.Transaction, error) {
	if err := vm.checkInPool(pool); err != nil {
		return table.Transaction{}, err
	}
	if p.Change != "" && vm.VM.Change == p.Change {
		return table.Transaction{}, nil
	}
	if vm.VM.State != Serving {
		return table.Transaction{}, core.Errorf(core.CodeConflict, "VM %s is %s, not serving; its last change is %q", vm.Ref, vm.VM.State, vm.VM.Change)
	}
	if p.MoveTo == pool.ID {
		return table.Transaction{}, core.Errorf(core.CodeConflict, "VM %s is already in pool %q", vm.Ref, pool.ID)
	}
	if pool.Pool.Headroom() < 1 && !r.noBudgetCheck {
		return table.Transaction{}, budgetSpentError(pool)
	}
	v := vm.VM
	v.State, v.Since = Cordoned, now
	v.Change, v.Wave, v.MoveTo, v.Resize, v.DrainBy = p.Change, p.Wave, p.MoveTo, p.Resize, p.DrainBy
	poolValue := pool.Pool.addOutVM(OutVM{Ref: vm.Ref, Planned: true, Since: now})
	return r.transaction(rowWrites{vm: &vm, vmValue: v, pool: &pool, poolValue: poolValue})
}

// Drain marks a cordoned VM as draining, once the VM itself refuses new work. stopAfter
// is the time by which every entry's view must include the drain.
func (r Rules) Drain(now time.Time, vm VMRow, stopAfter time.Time) (table.Transaction, error) {
	v := vm.VM
	if v.State == Draining {
		return table.Transaction{}, nil
	}
	if err := vm.checkState(Cordoned); err != nil {
		return table.Transaction{}, err
	}
	v.State, v.Since, v.StopAfter = Draining, now, stopAfter
	return newTransaction(rowWrites{vm: &vm, vmValue: v})
}

// Stop marks a drained VM as stopped. It may be rebooted until rebootBy, and counts as
// failed if it isn't back by backBy. The caller must have checked that nothing runs on
// the VM.
//
// Stop checks the budget again, because VMs that failed during the drain may have
// exceeded it. The caller must then withdraw the permit instead.
func (r Rules) Stop(now time.Time, vm VMRow, pool PoolRow, rebootBy, backBy time.Time) (table.Transaction, error) {
	v := vm.VM
	if v.State == Stopped && !rebootBy.After(v.RebootBy) {
		return table.Transaction{}, nil
	}
	if err := vm.checkInPool(pool); err != nil {
		return table.Transaction{}, err
	}
	if v.State != Stopped {
		if err := vm.checkState(Draining); err != nil {
			return table.Transaction{}, err
		}
		if now.Before(v.StopAfter) {
			return table.Transaction{}, core.Errorf(core.CodeConflict, "VM %s must not be stopped before %s", vm.Ref, v.StopAfter)
		}
		if pool.Pool.Headroom() < 0 && !r.noStopBudgetCheck {
			return table.Transaction{}, budgetSpentError(pool)
		}
		v.State, v.Since, v.BackBy = Stopped, now, backBy
	}
	v.RebootBy = rebootBy
	return r.transaction(rowWrites{vm: &vm, vmValue: v, pool: &pool, poolValue: pool.Pool})
}

// Withdraw withdraws a drain permit before the stop. The VM serves again.
func (r Rules) Withdraw(now time.Time, vm VMRow, pool PoolRow) (table.Transaction, error) {
	if vm.VM.State != Cordoned && vm.VM.State != Draining {
		return table.Transaction{}, core.Errorf(core.CodeConflict, "VM %s is %s; only a drain can be withdrawn", vm.Ref, vm.VM.State)
	}
	return r.returnToService(now, vm, pool)
}

// Verify marks a VM that is back from its reboot, or a failed VM that is up again, as
// being verified.
func (r Rules) Verify(now time.Time, vm VMRow, backBy time.Time) (table.Transaction, error) {
	v := vm.VM
	if v.State == Verifying {
		return table.Transaction{}, nil
	}
	if v.State != Failed {
		if err := vm.checkState(Stopped); err != nil {
			return table.Transaction{}, err
		}
	}
	v.State, v.Since, v.BackBy = Verifying, now, backBy
	return newTransaction(rowWrites{vm: &vm, vmValue: v})
}

// VerifyReboot marks a stopped VM, whose reboot the platform has accepted, as being
// verified. now is a time before the reboot.
func (r Rules) VerifyReboot(now time.Time, vm VMRow, backBy time.Time) (table.Transaction, error) {
	vm.VM.RebootedAt = now
	return r.Verify(now, vm, backBy)
}

// Return puts a verified VM back into service. nextDue is the deadline of its next
// maintenance. A zero nextDue keeps the deadline in the row, for a VM that was not
// maintained. A VM counts as maintained at its reboot: if it counted at its return, a reboot
// from before a plan would meet the plan.
//
// Return fails until RebootBy has passed. Until then, a controller process that was
// suspended may still request the reboot, which would kill the work of a VM that serves
// again.
func (r Rules) Return(now time.Time, vm VMRow, pool PoolRow, nextDue time.Time) (table.Transaction, error) {
	if vm.VM.State == Serving {
		return table.Transaction{}, nil
	}
	if err := vm.checkState(Verifying); err != nil {
		return table.Transaction{}, err
	}
	if !now.After(vm.VM.RebootBy) {
		return table.Transaction{}, core.Errorf(core.CodeConflict, "VM %s must not serve yet; it may still be rebooted until %s", vm.Ref, vm.VM.RebootBy)
	}
	if !nextDue.IsZero() {
		vm.VM.LastMaintained, vm.VM.NextDue = vm.VM.RebootedAt, nextDue
	}
	return r.returnToService(now, vm, pool)
}

// Fail records that a VM failed or did not come back. It is allowed even beyond the
// budget: a failed VM is unavailable in any case, and recording it keeps planned stops
// from using its part of the budget.
func (r Rules) Fail(now time.Time, vm VMRow, pool PoolRow) (table.Transaction, error) {
	if err := vm.checkInPool(pool); err != nil {
		return table.Transaction{}, err
	}
	if vm.VM.State == Failed {
		return table.Transaction{}, nil
	}
	v := vm.VM
	v.State, v.Since, v.RebootedAt = Failed, now, time.Time{}
	if v.MoveTo != "" {
		v.MoveTo, v.Resize = "", false
	}
	p := pool.Pool
	if !r.noFailureCount {
		p = p.addOutVM(OutVM{Ref: vm.Ref, Since: now})
	}
	return r.transaction(rowWrites{vm: &vm, vmValue: v, pool: &pool, poolValue: p})
}

// Join moves a VM on which nothing runs to another pool. It is the last step of a move,
// after Permit, Drain and Stop. The VM is out of service in the new pool until it is
// verified and returned. With Resize, the new pool's size rises only on the return, so
// the move never makes the new pool appear to lack a VM.
//
// The pool is a single field of the VM's row, and the rows of both pools are checked and
// written in the same transaction. The VM is therefore in exactly one pool at any time.
func (r Rules) Join(now time.Time, vm VMRow, from, to PoolRow) (table.Transaction, error) {
	if vm.VM.Pool == to.ID {
		return table.Transaction{}, nil
	}
	if err := vm.checkInPool(from); err != nil {
		return table.Transaction{}, err
	}
	if err := to.checkExists(); err != nil {
		return table.Transaction{}, err
	}
	if vm.VM.State != Stopped && vm.VM.State != Verifying {
		return table.Transaction{}, core.Errorf(core.CodeConflict, "VM %s is %s; it must be drained before it moves", vm.Ref, vm.VM.State)
	}
	v, fromPool, toPool := vm.VM, from.Pool.removeOutVM(vm.Ref), to.Pool
	v.Pool, v.State, v.Since, v.MoveTo = to.ID, Verifying, now, ""
	fromPool.Members--
	toPool.Members++
	if v.Resize {
		fromPool.Size--
	}
	toPool = toPool.addOutVM(OutVM{Ref: vm.Ref, Planned: true, Since: now})
	t, err := newTransaction(rowWrites{vm: &vm, vmValue: v, pool: &from, poolValue: fromPool})
	if err != nil {
		return t, err
	}
	t.Check(to.Row)
	return t, t.Set(to.Row.Key, toPool)
}

func (r Rules) returnToService(now time.Time, vm VMRow, pool PoolRow) (table.Transaction, error) {
	if err := vm.checkInPool(pool); err != nil {
		return table.Transaction{}, err
	}
	v, p := vm.VM, pool.Pool.removeOutVM(vm.Ref)
	if v.Resize && v.MoveTo == "" {
		p.Size++
	}
	v.State, v.Since, v.MoveTo, v.Resize = Serving, now, "", false
	v.DrainBy, v.StopAfter, v.RebootBy, v.RebootedAt, v.BackBy = time.Time{}, time.Time{}, time.Time{}, time.Time{}, time.Time{}
	return r.transaction(rowWrites{vm: &vm, vmValue: v, pool: &pool, poolValue: p})
}

// rowWrites holds new values for a VM's row and a pool's row. A nil row is not written.
type rowWrites struct {
	vm        *VMRow
	vmValue   VM
	pool      *PoolRow
	poolValue Pool
}

func (r Rules) transaction(w rowWrites) (table.Transaction, error) {
	t, err := newTransaction(w)
	if r.noPoolCheck && len(t.Checks) > 1 {
		t.Checks = t.Checks[:1]
	}
	return t, err
}

func newTransaction(w rowWrites) (table.Transaction, error) {
	var t table.Transaction
	if w.vm != nil {
		t.Check(w.vm.Row)
		if err := t.Set(w.vm.Key(), w.vmValue); err != nil {
			return t, err
		}
	}
	if w.pool == nil {
		return t, nil
	}
	t.Check(w.pool.Row)
	return t, t.Set(w.pool.Row.Key, w.poolValue)
}

func (r VMRow) checkState(s State) error {
	if r.VM.State == s {
		return nil
	}
	return core.Errorf(core.CodeConflict, "VM %s is %s, not %s", r.Ref, r.VM.State, s)
}

func (r VMRow) checkInPool(pool PoolRow) error {
	if !r.Exists() {
		return core.Errorf(core.CodeNotFound, "no VM %s", r.Ref)
	}
	if err := pool.checkExists(); err != nil {
		return err
	}
	if r.VM.Pool != pool.ID {
		return core.Errorf(core.CodeConflict, "VM %s is in pool %q, not in %q", r.Ref, r.VM.Pool, pool.ID)
	}
	return nil
}

func budgetSpentError(pool PoolRow) error {
	return core.Errorf(core.CodeBudgetSpent, "pool %q: %d of %d VMs are out, max_unavailable is %d",
		pool.ID, pool.Pool.Unavailable(), pool.Pool.Size, pool.Pool.MaxUnavailable)
}
