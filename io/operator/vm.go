package operator

import (
	"context"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

// verifyTimeout is how long a VM that an operator returns to service may take to pass its
// verification. After that it counts as failed.
const verifyTimeout = 10 * time.Minute

// Fleet changes of a single VM.
type (
	addVM    struct{ *pb.AddVM }
	removeVM struct{ *pb.RemoveVM }
	moveVM   struct{ *pb.MoveVM }
	cordonVM struct{ *pb.CordonVM }
	returnVM struct{ *pb.ReturnVM }
)

func vmKey(zone, vm string) table.Key { return table.VMKey(core.ZoneID(zone), core.VMID(vm)) }

func (a addVM) rowKey() table.Key    { return vmKey(a.Zone, a.Vm) }
func (a removeVM) rowKey() table.Key { return vmKey(a.Zone, a.Vm) }
func (a moveVM) rowKey() table.Key   { return vmKey(a.Zone, a.Vm) }
func (a cordonVM) rowKey() table.Key { return vmKey(a.Zone, a.Vm) }
func (a returnVM) rowKey() table.Key { return vmKey(a.Zone, a.Vm) }

func (addVM) auditInfo() (kind, reason string)    { return "add_vm", "" }
func (removeVM) auditInfo() (kind, reason string) { return "remove_vm", "" }
func (moveVM) auditInfo() (kind, reason string)   { return "move_vm", "" }
func (cordonVM) auditInfo() (kind, reason string) { return "cordon_vm", "" }
func (returnVM) auditInfo() (kind, reason string) { return "return_vm", "" }

func (a addVM) build(ctx context.Context, s *Server, now time.Time, _ *pb.ApplyChangeRequest) (table.Transaction, error) {
	if err := validateVM(a.AddVM); err != nil {
		return table.Transaction{}, err
	}
	vm, err := s.readVM(ctx, a.rowKey())
	if err != nil {
		return table.Transaction{}, err
	}
	pool, err := s.readPool(ctx, core.PoolID(a.Pool))
	if err != nil {
		return table.Transaction{}, err
	}
	if !vm.Exists() {
		vm.VM = fleet.VM{Rack: core.RackID(a.Rack), Address: a.Address, Slots: core.Slots(a.Slots), Connections: int(a.Connections)}
		if a.Verify {
			vm.VM.State = fleet.Verifying
		}
	}
	return fleet.AddVM(now, vm, pool, !a.Replace)
}

func (a removeVM) build(ctx context.Context, s *Server, _ time.Time, _ *pb.ApplyChangeRequest) (table.Transaction, error) {
	vm, pool, err := s.readVMAndPool(ctx, a.rowKey())
	if err != nil {
		return table.Transaction{}, err
	}
	return fleet.RemoveVM(vm, pool, a.Shrink)
}

func (a moveVM) build(ctx context.Context, s *Server, now time.Time, m *pb.ApplyChangeRequest) (table.Transaction, error) {
	vm, pool, err := s.readVMAndPool(ctx, a.rowKey())
	if err != nil {
		return table.Transaction{}, err
	}
	to, err := s.readPool(ctx, core.PoolID(a.Pool))
	if err != nil {
		return table.Transaction{}, err
	}
	if !to.Exists() {
		return table.Transaction{}, core.Errorf(core.CodeNotFound, "no pool %q; set it first", a.Pool)
	}
	return s.permitDrain(now, vm, pool, fleet.Permit{
		Change: core.ChangeID(m.ChangeId), MoveTo: to.ID, Resize: a.Resize, DrainBy: toTime(a.DrainBy),
	})
}

func (a cordonVM) build(ctx context.Context, s *Server, now time.Time, m *pb.ApplyChangeRequest) (table.Transaction, error) {
	vm, pool, err := s.readVMAndPool(ctx, a.rowKey())
	if err != nil {
		return table.Transaction{}, err
	}
	return s.permitDrain(now, vm, pool, fleet.Permit{Change: core.ChangeID(m.ChangeId), DrainBy: toTime(a.DrainBy)})
}

func (s *Server) permitDrain(now time.Time, vm fleet.VMRow, pool fleet.PoolRow, p fleet.Permit) (table.Transaction, error) {
	if !p.DrainBy.After(now) {
		return table.Transaction{}, core.Errorf(core.CodeInvalidSetting, "drain_by: a time in the future is required")
	}
	return fleet.Rules{}.Permit(now, vm, pool, p)
}

func (a returnVM) build(ctx context.Context, s *Server, now time.Time, _ *pb.ApplyChangeRequest) (table.Transaction, error) {
	vm, pool, err := s.readVMAndPool(ctx, a.rowKey())
	if err != nil {
		return table.Transaction{}, err
	}
	switch vm.VM.State {
	case fleet.Cordoned, fleet.Draining:
		return fleet.Rules{}.Withdraw(now, vm, pool)
	case fleet.Stopped, fleet.Failed:
		return fleet.Rules{}.Verify(now, vm, now.Add(verifyTimeout))
	default:
		return fleet.Rules{}.Return(now, vm, pool, time.Time{})
	}
}

func validateVM(a *pb.AddVM) error {
	switch {
	case a.Zone == "" || a.Vm == "" || a.Rack == "":
		return core.Errorf(core.CodeInvalidSetting, "zone, vm and rack are all required")
	case !isAddrPort(a.Address):
		return core.Errorf(core.CodeInvalidSetting, "address is %q; allowed: an IP number and a port", a.Address)
	case a.Slots < 1 || a.Connections < 1:
		return core.Errorf(core.CodeInvalidSetting, "slots is %d, connections %d; allowed: 1 or more", a.Slots, a.Connections)
	}
	return nil
}
