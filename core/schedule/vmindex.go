package schedule

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"lavenderpond/core/job"
)

// vmIndex holds the VMs of a pool, sorted by free CPU with the fullest first. A task goes to
// the fullest VM that has room unless other costs outweigh that, so a choice examines only a
// few VMs instead of the whole pool.
type vmIndex struct {
	vms []indexedVM
	// largestCPU is the CPU of the largest VM.
	largestCPU int64
	// unplaceable holds reservations that fit on no VM, apart from those that yield. Free capacity
	// only shrinks while tasks are placed, so a larger reservation doesn't fit either.
	unplaceable []job.Resources
}

// indexedVM is a VM with the fraction of its CPU that is free.
type indexedVM struct {
	freeFraction float64
	vm           *vmState
}

// compareByFreeCPU orders VMs by their free CPU, then by ID.
func compareByFreeCPU(a, b indexedVM) int {
	if a.freeFraction != b.freeFraction {
		return cmp.Compare(a.freeFraction, b.freeFraction)
	}
	return cmp.Compare(a.vm.id, b.vm.id)
}

// newVMIndex returns an index of those vms that have room for a reservation of size least.
func newVMIndex(vms []*vmState, least job.Resources) vmIndex {
	r := vmIndex{vms: make([]indexedVM, 0, len(vms))}
	for _, v := range vms {
		if least.FitsIn(v.freeCapacity()) {
			r.vms = append(r.vms, indexedVM{v.freeFraction(), v})
			r.largestCPU = max(r.largestCPU, v.capacity.CPU)
		}
	}
	slices.SortFunc(r.vms, compareByFreeCPU)
	return r
}

// firstCandidate returns the index of the first VM that may have room for the reservation.
func (r *vmIndex) firstCandidate(reservation job.Resources) int {
	least := float64(reservation.CPU) / float64(max(1, r.largestCPU))
	return sort.Search(len(r.vms), func(i int) bool { return r.vms[i].freeFraction >= least })
}

// reposition restores the order after the free CPU of the VM at index i has changed.
func (r *vmIndex) reposition(i int) {
	s := indexedVM{r.vms[i].vm.freeFraction(), r.vms[i].vm}
	r.vms = slices.Delete(r.vms, i, i+1)
	at, _ := slices.BinarySearchFunc(r.vms, s, compareByFreeCPU)
	r.vms = slices.Insert(r.vms, at, s)
}

// isUnplaceable reports whether it is known that the reservation fits on no VM that doesn't yield.
func (r *vmIndex) isUnplaceable(reservation job.Resources) bool {
	return slices.ContainsFunc(r.unplaceable, func(x job.Resources) bool { return x.FitsIn(reservation) })
}

// addUnplaceable records that the reservation fits on no VM that doesn't yield.
func (r *vmIndex) addUnplaceable(reservation job.Resources) {
	r.unplaceable = slices.DeleteFunc(r.unplaceable, func(x job.Resources) bool { return reservation.FitsIn(x) })
	r.unplaceable = append(r.unplaceable, reservation)
}

// chooseVM returns the index of the usable VM with the lowest cost for a task, or -1 if no VM can take
// it.
func (a *assignment) chooseVM(p placement) int { return a.chooseFrom(&a.index, p, a.s.usable) }

// chooseCordonedVM returns the index in cordonedIndex of the VM with the lowest cost for a long-running
// task, or -1 if none can take it.
func (a *assignment) chooseCordonedVM(p placement) int {
	return a.chooseFrom(&a.cordonedIndex, p, a.s.mayReturnTo)
}

// chooseFrom returns the index of the VM with the lowest cost for a task among those for which usable
// holds, or -1 if none can take it.
func (a *assignment) chooseFrom(index *vmIndex, p placement, usable func(time.Time, *vmState) bool) int {
	reservation := p.step.def.Reservation()
	// Long-running tasks may start on VMs that yield, and other tasks may not.
	if !p.job.longRunning && index.isUnplaceable(reservation) {
		return -1
	}
	best, bestCost := -1, 0.0
	noneFits := true
	for i := index.firstCandidate(reservation); i < len(index.vms); i++ {
		x := index.vms[i]
		// The cost of a VM is never below its free fraction.
		if best >= 0 && x.freeFraction >= bestCost {
			break
		}
		if !x.vm.mayHold(a.now, p.step.def) || (x.vm.yielding && !p.job.longRunning) {
			continue
		}
		noneFits = false
		if !p.step.eligible(p.id.StepID(), x.vm) || !p.step.approval.permits(a.now, x.vm) || p.task.mustBeSeparate(a.now, x.vm) || !usable(a.now, x.vm) {
			continue
		}
		if c := a.cost(p, x.vm); best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	if noneFits {
		index.addUnplaceable(reservation)
	}
	return best
}
