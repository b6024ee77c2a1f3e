package fleet

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// SetPool creates the pool, or changes its budget and whether it is the spare pool. A
// budget below the number of unavailable VMs blocks planned stops until VMs are back.
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

// ResizePool changes the intended number of VMs in the pool.
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

// DeletePool deletes a pool without VMs. Every change of a VM's pool checks the pool's
// row, so no VM can join a pool that is being deleted.
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

// AddVM adds a new VM to pool. vm is the row as it was read, which must not exist, with
// the VM's value filled in. Its State is Serving, or Verifying to have the VM verified
// first. grow raises the pool's size by one once the VM serves. Without grow, the VM
// replaces one that was removed.
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
		p = p.addOutVM(OutVM{Ref: vm.Ref, Planned: true, Since: now})
	case grow:
		p.Size++
	}
	return newTransaction(rowWrites{vm: &vm, vmValue: v, pool: &pool, poolValue: p})
}

// RemoveVM removes a VM that is not serving from the fleet. shrink lowers the pool's size
// by one. Without shrink, the pool lacks a VM until another one is added.
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
	p := pool.Pool.removeOutVM(vm.Ref)
	p.Members--
	// Size doesn't yet include a VM that was added with grow and hasn't served. Lowering
	// Size for it would allow one VM too many to be taken out.
	inSize := !vm.VM.Resize || vm.VM.MoveTo != ""
	if shrink && inSize {
		p.Size--
	}
	t, err := newTransaction(rowWrites{pool: &pool, poolValue: p})
	t.Check(vm.Row)
	t.Delete(vm.Row.Key)
	return t, err
}
