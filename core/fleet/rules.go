package fleet

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Permit says why a VM is taken out, and what for.
type Permit struct {
	// Change settles a lost answer: a VM that carries it has the permit already.
	Change core.ChangeID
	// Wave is the maintenance wave, empty for an operator's own drain.
	Wave string
	// MoveTo is the pool to go to; empty for a stop and return to the same pool.
	MoveTo core.PoolID
	// Resize takes the VM's place along: the old pool's size falls by one and the
	// new one's rises. A repair by a spare VM leaves it unset.
	Resize bool
	// DrainBy is when a drain that is still busy is withdrawn.
	DrainBy time.Time
}

// Rules builds the transactions that take VMs out of service and back. Each
// checks the version of every row that it relies on, so it takes effect only on
// the state that it was decided on. An empty transaction says that the change
// has taken effect already. The zero value is ready to use.
type Rules struct {
	// Test-only: each switches one safeguard off.
	noBudgetCheck, noPoolCheck, noStopBudgetCheck, noFailureCount bool
}

// Permit grants a drain permit: it checks the budget and marks the VM's and the
// pool's row in one transaction.
//
// Two controllers that both see the last free place would take two VMs out, and
// the pool would fall below its budget. Both transactions check the same version
// of the pool's row and both write it, so the second fails with a conflict and
// has to decide again on the new row.
func (r Rules) Permit(now time.Time, vm VMRow, pool PoolRow, p Permit) (table.Transaction, error) {
	if err := vm.checkInPool(pool); err != nil {
		return table.Transaction{}, err
	}
	if p.Change != "" && vm.VM.Change == p.Change {
		return table.Transaction{}, nil
	}
	if vm.VM.State != Serving {
		return table.Transaction{}, core.Errorf(core.CodeConflict, "VM %s is %s, by change %q", vm.Ref, vm.VM.State, vm.VM.Change)
	}
	if p.MoveTo == pool.ID {
		return table.Transaction{}, core.Errorf(core.CodeConflict, "VM %s is in pool %q already", vm.Ref, pool.ID)
	}
	if pool.Pool.Headroom() < 1 && !r.noBudgetCheck {
		return table.Transaction{}, budgetSpent(pool)
	}
	v := vm.VM
	v.State, v.Since = Cordoned, now
	v.Change, v.Wave, v.MoveTo, v.Resize, v.DrainBy = p.Change, p.Wave, p.MoveTo, p.Resize, p.DrainBy
	poolValue := pool.Pool.addOut(OutVM{Ref: vm.Ref, Planned: true, Since: now})
	return r.transaction(rowWrites{vm: &vm, vmValue: v, pool: &pool, poolValue: poolValue})
}

// Drain marks a cordoned VM as draining, once the VM itself refuses new work.
// stopAfter is when every entry's view must have the drain.
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

// Stop marks a drained VM as stopped: it may be rebooted until rebootBy, and has
// failed if it isn't back by backBy. The caller has seen that nothing runs.
//
// The budget is checked again: VMs that failed during the drain have spent it,
// and the stop would turn their loss into a breach. Withdraw is then due.
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
			return table.Transaction{}, core.Errorf(core.CodeConflict, "VM %s may be stopped at %s", vm.Ref, v.StopAfter)
		}
		if pool.Pool.Headroom() < 0 && !r.noStopBudgetCheck {
			return table.Transaction{}, budgetSpent(pool)
		}
		v.State, v.Since, v.BackBy = Stopped, now, backBy
	}
	v.RebootBy = rebootBy
	return r.transaction(rowWrites{vm: &vm, vmValue: v, pool: &pool, poolValue: pool.Pool})
}

// Withdraw takes a permit back before the stop: the VM serves again.
func (r Rules) Withdraw(now time.Time, vm VMRow, pool PoolRow) (table.Transaction, error) {
	if vm.VM.State != Cordoned && vm.VM.State != Draining {
		return table.Transaction{}, core.Errorf(core.CodeConflict, "VM %s is %s; only a drain can be withdrawn", vm.Ref, vm.VM.State)
	}
	return r.returnToService(now, vm, pool)
}

// Verify marks a VM as back from its reboot, or a failed one as up again.
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

// Return puts a verified VM back into service. nextDue is its next maintenance's
// deadline; zero leaves what the row says, for a VM that was not maintained.
//
// It waits for RebootBy: until then a paused controller may still ask for the
// reboot, which would cut off what runs on a VM that serves again.
func (r Rules) Return(now time.Time, vm VMRow, pool PoolRow, nextDue time.Time) (table.Transaction, error) {
	if vm.VM.State == Serving {
		return table.Transaction{}, nil
	}
	if err := vm.checkState(Verifying); err != nil {
		return table.Transaction{}, err
	}
	if !now.After(vm.VM.RebootBy) {
		return table.Transaction{}, core.Errorf(core.CodeConflict, "VM %s may be rebooted until %s", vm.Ref, vm.VM.RebootBy)
	}
	if !nextDue.IsZero() {
		vm.VM.LastMaintained, vm.VM.NextDue = now, nextDue
	}
	return r.returnToService(now, vm, pool)
}

// Fail records that a VM went out unplanned or did not come back. It is always
// possible, also beyond the budget: what failed is out whatever the row says,
// and the budget that it uses is not there for planned stops.
func (r Rules) Fail(now time.Time, vm VMRow, pool PoolRow) (table.Transaction, error) {
	if err := vm.checkInPool(pool); err != nil {
		return table.Transaction{}, err
	}
	if vm.VM.State == Failed {
		return table.Transaction{}, nil
	}
	v := vm.VM
	v.State, v.Since = Failed, now
	if v.MoveTo != "" {
		v.MoveTo, v.Resize = "", false
	}
	p := pool.Pool
	if !r.noFailureCount {
		p = p.addOut(OutVM{Ref: vm.Ref, Since: now})
	}
	return r.transaction(rowWrites{vm: &vm, vmValue: v, pool: &pool, poolValue: p})
}

// Join is the last of a move's three swaps: a VM on which nothing runs changes
// its pool. It is out in the new pool until it is verified and returned; a place
// that it takes along counts there from then on, so that the move never looks
// like a loss to the new pool.
//
// The pool is a single field of the VM's row, and both pools' rows are checked
// and written with it: the VM is in exactly one pool before and after.
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
	v, a, b := vm.VM, from.Pool.removeOut(vm.Ref), to.Pool
	v.Pool, v.State, v.Since, v.MoveTo = to.ID, Verifying, now, ""
	a.Members--
	b.Members++
	if v.Resize {
		a.Size--
	}
	b = b.addOut(OutVM{Ref: vm.Ref, Planned: true, Since: now})
	t, err := newTransaction(rowWrites{vm: &vm, vmValue: v, pool: &from, poolValue: a})
	if err != nil {
		return t, err
	}
	t.Check(to.Row)
	return t, t.Set(to.Row.Key, b)
}

func (r Rules) returnToService(now time.Time, vm VMRow, pool PoolRow) (table.Transaction, error) {
	if err := vm.checkInPool(pool); err != nil {
		return table.Transaction{}, err
	}
	v, p := vm.VM, pool.Pool.removeOut(vm.Ref)
	if v.Resize && v.MoveTo == "" {
		p.Size++
	}
	v.State, v.Since, v.MoveTo, v.Resize = Serving, now, "", false
	v.DrainBy, v.StopAfter, v.RebootBy, v.BackBy = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	return r.transaction(rowWrites{vm: &vm, vmValue: v, pool: &pool, poolValue: p})
}

// rowWrites is a write of a VM's and a pool's row, each left out when nil.
type rowWrites struct {
	vm        *VMRow
	vmValue   VM
	pool      *PoolRow
	poolValue Pool
}

func (r Rules) transaction(c rowWrites) (table.Transaction, error) {
	t, err := newTransaction(c)
	if r.noPoolCheck && len(t.Checks) > 1 {
		t.Checks = t.Checks[:1]
	}
	return t, err
}

func newTransaction(c rowWrites) (table.Transaction, error) {
	var t table.Transaction
	if c.vm != nil {
		t.Check(c.vm.Row)
		if err := t.Set(c.vm.Key(), c.vmValue); err != nil {
			return t, err
		}
	}
	if c.pool == nil {
		return t, nil
	}
	t.Check(c.pool.Row)
	return t, t.Set(c.pool.Row.Key, c.poolValue)
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

func budgetSpent(pool PoolRow) error {
	return core.Errorf(core.CodeBudgetSpent, "pool %q: %d of %d VMs are out, max_unavailable is %d",
		pool.ID, pool.Pool.Unavailable(), pool.Pool.Size, pool.Pool.MaxUnavailable)
}
