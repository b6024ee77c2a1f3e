package schedule

import (
	"cmp"
	"slices"
	"sort"

	"lavenderpond/core/job"
)

// vmIndex is the VMs of a pool in the order of their free CPU, the fullest first. A
// task goes to the fullest VM that has room unless something else speaks against it,
// so that a choice looks at a few VMs and not at the whole pool.
type vmIndex struct {
	vms []indexedVM
	// largestCPU is the CPU of the largest VM.
	largestCPU int64
	// unplaceable are claims that no VM had room for. Room only shrinks while tasks are
	// placed, so that none has room for a larger one either.
	unplaceable []job.Room
}

// indexedVM is a VM and the part of its CPU that is free.
type indexedVM struct {
	freeFraction float64
	vm           *vmState
}

func compareByFreeCPU(a, b indexedVM) int {
	if a.freeFraction != b.freeFraction {
		return cmp.Compare(a.freeFraction, b.freeFraction)
	}
	return cmp.Compare(a.vm.id, b.vm.id)
}

// newVMIndex returns the rooms of those of vms that have room for claims of this size.
func newVMIndex(vms []*vmState, least job.Room) vmIndex {
	r := vmIndex{vms: make([]indexedVM, 0, len(vms))}
	for _, v := range vms {
		if least.Fits(v.free()) {
			r.vms = append(r.vms, indexedVM{v.freeFraction(), v})
			r.largestCPU = max(r.largestCPU, v.room.CPU)
		}
	}
	slices.SortFunc(r.vms, compareByFreeCPU)
	return r
}

// firstCandidate returns the index of the first VM that may have room for the claim.
func (r *vmIndex) firstCandidate(claim job.Room) int {
	least := float64(claim.CPU) / float64(max(1, r.largestCPU))
	return sort.Search(len(r.vms), func(i int) bool { return r.vms[i].freeFraction >= least })
}

// reposition puts the VM at index i where it belongs after its free CPU has changed.
func (r *vmIndex) reposition(i int) {
	s := indexedVM{r.vms[i].vm.freeFraction(), r.vms[i].vm}
	r.vms = slices.Delete(r.vms, i, i+1)
	at, _ := slices.BinarySearchFunc(r.vms, s, compareByFreeCPU)
	r.vms = slices.Insert(r.vms, at, s)
}

// hasNoRoom tells whether no VM has room for the claim, as far as that is known.
func (r *vmIndex) hasNoRoom(claim job.Room) bool {
	return slices.ContainsFunc(r.unplaceable, func(x job.Room) bool { return x.Fits(claim) })
}

// noteNoRoom notes that no VM has room for the claim.
func (r *vmIndex) noteNoRoom(claim job.Room) {
	r.unplaceable = slices.DeleteFunc(r.unplaceable, func(x job.Room) bool { return claim.Fits(x) })
	r.unplaceable = append(r.unplaceable, claim)
}

// chooseVM returns the index of the VM for a task, or -1 if none has room.
func (a *assignment) chooseVM(p placement) int {
	claim := p.step.def.Claim()
	if a.index.hasNoRoom(claim) {
		return -1
	}
	best, bestCost := -1, 0.0
	noRoom := true
	for i := a.index.firstCandidate(claim); i < len(a.index.vms); i++ {
		x := a.index.vms[i]
		// No cost is below the free part.
		if best >= 0 && x.freeFraction >= bestCost {
			break
		}
		if !claim.Fits(x.vm.free()) {
			continue
		}
		noRoom = false
		if !p.step.mayRunOn(p.id.StepID(), x.vm) || p.task.mustBeApart(a.now, x.vm) || !a.s.usable(a.now, x.vm) {
			continue
		}
		if c := a.cost(p, x.vm); best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	if noRoom {
		a.index.noteNoRoom(claim)
	}
	return best
}
