package spread

import (
	"fmt"
	"slices"
	"strings"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/maintenance"
)

// repairs moves spare VMs into pools whose budget is used up by failures. VMs that
// recover after they were replaced move to the spare pool.
//
// A pool with headroom in its budget is not repaired: most VMs that fail come back by
// themselves, and every move has a cost.
func (r *round) repairs() []maintenance.Command {
	if r.spare == "" || r.noRepair {
		return nil
	}
	commands := r.refillSpares()
	spares := r.availableSpares()
	for _, id := range r.poolIDs() {
		for range r.repairsNeeded(r.pools[id]) {
			i := r.chooseSpare(spares)
			if i < 0 {
				return commands
			}
			commands = append(commands, r.repair(id, spares[i]))
			spares = slices.Delete(spares, i, i+1)
		}
	}
	return commands
}

func (r *round) repair(to core.PoolID, vm *fleet.VMRow) maintenance.Command {
	r.pools[r.spare].headroom--
	change := core.ChangeID(fmt.Sprintf("repair/%s/%s/%d", to, vm.Ref.VM, vm.Row.Version))
	return maintenance.TakeOut{VM: vm.Ref, Permit: fleet.Permit{Change: change, MoveTo: to}}
}

// repairsNeeded returns how many spare VMs of this zone should move to p. They are as
// many as restore headroom for one failure or, during a wave, also for one planned stop,
// but at most one for each of the zone's VMs that failed more than RepairAfter ago. VMs
// that are out for a planned stop come back by themselves and need no replacement.
func (r *round) repairsNeeded(p *pool) int {
	headroom := 1
	if r.view.Wave.Status == maintenance.Running && p.due > 0 {
		headroom += r.reserve(p, r.behindSchedule(p))
	}
	unavailable := p.Size - p.Members + p.Failed() - p.incoming - p.recovering
	missing := headroom + unavailable - p.MaxUnavailable
	if p.Spare || missing < 1 {
		return 0
	}
	failedInZone, failedTotal := 0, 0
	for _, o := range p.Out {
		if o.Planned || r.now.Before(o.Since.Add(r.RepairAfter)) {
			continue
		}
		failedTotal++
		if o.Zone == r.view.Zone {
			failedInZone++
		}
	}
	substitutes := p.Members - p.Size + p.incoming
	return min(missing, failedInZone, failedTotal-substitutes)
}

// availableSpares returns the spare VMs that may move, the most recently maintained
// first: a VM that is due for maintenance would need a planned stop in its new pool.
func (r *round) availableSpares() []*fleet.VMRow {
	var spares []*fleet.VMRow
	for _, vm := range r.view.VMs {
		if vm.VM.Pool == r.spare && vm.VM.State == fleet.Serving {
			spares = append(spares, vm)
		}
	}
	slices.SortStableFunc(spares, func(a, b *fleet.VMRow) int {
		return b.VM.LastMaintained.Compare(a.VM.LastMaintained)
	})
	return spares
}

// chooseSpare returns the index of the spare VM to move, or -1 if there is none. It
// prefers a VM of a rack without recent failures.
func (r *round) chooseSpare(spares []*fleet.VMRow) int {
	if len(spares) == 0 || r.pools[r.spare].headroom < 1 {
		return -1
	}
	i := slices.IndexFunc(spares, func(vm *fleet.VMRow) bool { return r.racks[vm.VM.Rack].failed == 0 })
	return max(i, 0)
}

// refillSpares refills the spare pool with VMs that are being verified. Nothing runs on
// them, so the move needs no drain.
func (r *round) refillSpares() []maintenance.Command {
	var commands []maintenance.Command
	spare := r.pools[r.spare]
	missing := spare.Size - spare.Members - spare.incoming
	for _, vm := range r.view.VMs {
		p := r.pools[vm.VM.Pool]
		if p == nil || p.Spare || vm.VM.State != fleet.Verifying || vm.VM.Resize {
			continue
		}
		surplus := p.Members - p.Size
		out, isOut := p.FindOutVM(vm.Ref)
		if missing < 1 || surplus < 1 || !isOut || out.Planned {
			continue
		}
		missing--
		p.Members--
		p.Out = slices.DeleteFunc(slices.Clone(p.Out), func(o fleet.OutVM) bool { return o.Ref == vm.Ref })
		commands = append(commands, maintenance.MoveToSpare{VM: vm.Ref, To: r.spare})
	}
	return commands
}

func (r *round) poolIDs() []core.PoolID {
	ids := make([]core.PoolID, 0, len(r.pools))
	for id := range r.pools {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b core.PoolID) int { return strings.Compare(string(a), string(b)) })
	return ids
}
