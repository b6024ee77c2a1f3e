package spread

import (
	"fmt"
	"slices"
	"strings"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/maintenance"
)

// repairs moves spare VMs into pools whose budget is spent by failures, and VMs
// that recover after such a move back into the spare pool.
//
// A pool with room left in its budget is not repaired: most VMs that fail come
// back by themselves, and every move is a cost.
func (r *round) repairs() []maintenance.Command {
	if r.spare == "" || r.noRepair {
		return nil
	}
	commands := r.sendHome()
	spares := r.spares()
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
	r.pools[r.spare].room--
	change := core.ChangeID(fmt.Sprintf("repair/%s/%s/%d", to, vm.Ref.VM, vm.Row.Version))
	return maintenance.Take{VM: vm.Ref, Permit: fleet.Permit{Change: change, MoveTo: to}}
}

// repairsNeeded returns how many spare VMs of this zone p should get: as many as
// give its budget room for one failure or, during a wave, one planned stop again,
// and at most one for each of the zone's VMs that failed long ago. VMs that are out
// by plan come back by themselves and call for no move.
func (r *round) repairsNeeded(p *pool) int {
	room := 1
	if r.view.Wave.Status == maintenance.Running && p.due > 0 {
		room += r.reserve(p, r.pressed(p))
	}
	lost := p.Size - p.Members + p.Failed() - p.incoming - p.recovering
	missing := room + lost - p.MaxUnavailable
	if p.Spare || missing < 1 {
		return 0
	}
	here, all := 0, 0
	for _, o := range p.Out {
		if o.Planned || r.now.Before(o.Since.Add(r.RepairAfter)) {
			continue
		}
		all++
		if o.Zone == r.view.Zone {
			here++
		}
	}
	substitutes := p.Members - p.Size + p.incoming
	return min(missing, here, all-substitutes)
}

// spares returns the spare VMs that may leave, those that are not due first: one
// that is due would need a planned stop in its new pool.
func (r *round) spares() []*fleet.VMRow {
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

// chooseSpare prefers a VM of a rack in which nothing failed.
func (r *round) chooseSpare(spares []*fleet.VMRow) int {
	if len(spares) == 0 || r.pools[r.spare].room < 1 {
		return -1
	}
	i := slices.IndexFunc(spares, func(vm *fleet.VMRow) bool { return r.racks[vm.VM.Rack].failed == 0 })
	return max(i, 0)
}

// sendHome refills the spare pool from VMs that are being verified: nothing runs
// there, so the move needs no drain.
func (r *round) sendHome() []maintenance.Command {
	var commands []maintenance.Command
	spare := r.pools[r.spare]
	missing := spare.Size - spare.Members - spare.incoming
	for _, vm := range r.view.VMs {
		p := r.pools[vm.VM.Pool]
		if p == nil || p.Spare || vm.VM.State != fleet.Verifying || vm.VM.Resize {
			continue
		}
		surplus := p.Members - p.Size
		out, known := p.FindOut(vm.Ref)
		if missing < 1 || surplus < 1 || !known || out.Planned {
			continue
		}
		missing--
		p.Members--
		p.Out = slices.DeleteFunc(slices.Clone(p.Out), func(o fleet.Out) bool { return o.Ref == vm.Ref })
		commands = append(commands, maintenance.SendHome{VM: vm.Ref, To: r.spare})
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
