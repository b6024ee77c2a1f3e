package fleet

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// SetPool creates the pool, or changes its budget and whether it is the spare
// one. A budget below what is out stops planned work until VMs are back.
func SetPool(pool PoolRow, maxUnavailable int, spare bool) (table.Transaction, error) {
	if maxUnavailable < 0 {
		return table.Transaction{}, core.Errorf(core.CodeInvalidSetting, "max_unavailable is %d, must be 0 or more", maxUnavailable)
	}
	p := pool.Pool
	if pool.Exists() && p.MaxUnavailable == maxUnavailable && p.Spare == spare {
		return table.Transaction{}, nil
	}
	p.MaxUnavailable, p.Spare = maxUnavailable, spare
	return newTransaction(rowWrites{pool: &pool, poolValue: p})
}

// ResizePool changes how many VMs the pool is meant to have.
func ResizePool(pool PoolRow, size int) (table.Transaction, error) {
	if err := pool.checkExists(); err != nil {
		return table.Transaction{}, err
	}
	if size < 0 {
		return table.Transaction{}, core.Errorf(core.CodeInvalidSetting, "size is %d, must be 0 or more", size)
	}
	p := pool.Pool
	p.Size = size
	return newTransaction(rowWrites{pool: &pool, poolValue: p})
}

// DeletePool deletes a pool that no VM is in. Every change of membership checks
// the pool's row, so no VM can join a pool that is being deleted.
func DeletePool(pool PoolRow) (table.Transaction, error) {
	var t table.Transaction
	if !pool.Exists() {
		return t, nil
	}
	if n := pool.Pool.Members; n > 0 {
		return t, core.Errorf(core.CodeConflict, "pool %q still has %d VMs; move or remove them first", pool.ID, n)
	}
	t.Check(pool.Row)
	t.Delete(pool.Row.Key)
	return t, nil
}

// AddVM puts a new VM into pool. vm is the row as read (it must not exist) with
// the VM's value filled in; its State is Serving, or Verifying to have it
// checked first. grow raises the pool's size by one once the VM serves; without
// it, the VM replaces one that was removed.
func AddVM(now time.Time, vm VMRow, pool PoolRow, grow bool) (table.Transaction, error) {
	if err := pool.checkExists(); err != nil {
		return table.Transaction{}, err
	}
	if vm.Exists() {
		return table.Transaction{}, core.Errorf(core.CodeConflict, "VM %s is already in pool %q", vm.Ref, vm.VM.Pool)
	}
	v, p := vm.VM, pool.Pool
	v.Pool, v.Since = pool.ID, now
	p.Members++
	switch {
	case v.State != Serving:
		v.State, v.Resize = Verifying, grow
		p = p.addOut(OutVM{Ref: vm.Ref, Planned: true, Since: now})
	case grow:
		p.Size++
	}
	return newTransaction(rowWrites{vm: &vm, vmValue: v, pool: &pool, poolValue: p})
}

// RemoveVM takes a VM that is not serving out of the fleet. shrink lowers the
// pool's size by one; without it, the pool goes on lacking the VM.
func RemoveVM(vm VMRow, pool PoolRow, shrink bool) (table.Transaction, error) {
	var t table.Transaction
	if !vm.Exists() {
		return t, nil
	}
	if err := vm.checkInPool(pool); err != nil {
		return t, err
	}
	if vm.VM.State != Failed && vm.VM.State != Stopped && vm.VM.State != Verifying {
		return t, core.Errorf(core.CodeConflict, "VM %s is %s; drain it first", vm.Ref, vm.VM.State)
	}
	p := pool.Pool.removeOut(vm.Ref)
	p.Members--
	// The place of a VM that hasn't served yet isn't in Size: taken off, Size would lack
	// another VM's place, and the budget would let one VM too many go.
	inSize := !vm.VM.Resize || vm.VM.MoveTo != ""
	if shrink && inSize {
		p.Size--
	}
	t, err := newTransaction(rowWrites{pool: &pool, poolValue: p})
	t.Check(vm.Row)
	t.Delete(vm.Row.Key)
	return t, err
}
