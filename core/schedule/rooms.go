package schedule

import (
	"cmp"
	"slices"
	"sort"

	"lavenderpond/core/job"
)

// rooms is the VMs of a pool in the order of their free CPU, the fullest first. A
// task goes to the fullest VM that has room unless something else speaks against it,
// so that a choice looks at a few VMs and not at the whole pool.
type rooms struct {
	slots []slot
	// largest is the CPU of the largest VM.
	largest int64
	// tooLarge are claims that no VM had room for. Room only shrinks while tasks are
	// placed, so that none has room for a larger one either.
	tooLarge []job.Resources
}

// slot is a VM and the part of its CPU that is free.
type slot struct {
	free float64
	vm   *vmState
}

func compareSlots(a, b slot) int {
	if a.free != b.free {
		return cmp.Compare(a.free, b.free)
	}
	return cmp.Compare(a.vm.id, b.vm.id)
}

// newRooms returns the rooms of those of vms that have room for claims of this size.
func newRooms(vms []*vmState, least job.Resources) rooms {
	r := rooms{slots: make([]slot, 0, len(vms))}
	for _, v := range vms {
		if least.FitsIn(v.freeRoom()) {
			r.slots = append(r.slots, slot{v.freeShare(), v})
			r.largest = max(r.largest, v.room.CPU)
		}
	}
	slices.SortFunc(r.slots, compareSlots)
	return r
}

// from returns the index of the first VM that may have room for the claim.
func (r *rooms) from(claim job.Resources) int {
	least := float64(claim.CPU) / float64(max(1, r.largest))
	return sort.Search(len(r.slots), func(i int) bool { return r.slots[i].free >= least })
}

// moved puts the VM at index i where it belongs after its free CPU has changed.
func (r *rooms) moved(i int) {
	s := slot{r.slots[i].vm.freeShare(), r.slots[i].vm}
	r.slots = slices.Delete(r.slots, i, i+1)
	at, _ := slices.BinarySearchFunc(r.slots, s, compareSlots)
	r.slots = slices.Insert(r.slots, at, s)
}

// refuses tells whether no VM has room for the claim, as far as that is known.
func (r *rooms) refuses(claim job.Resources) bool {
	return slices.ContainsFunc(r.tooLarge, func(x job.Resources) bool { return x.FitsIn(claim) })
}

// refuse notes that no VM has room for the claim.
func (r *rooms) refuse(claim job.Resources) {
	r.tooLarge = slices.DeleteFunc(r.tooLarge, func(x job.Resources) bool { return claim.FitsIn(x) })
	r.tooLarge = append(r.tooLarge, claim)
}

// choose returns the index of the VM for a task, or -1 if none has room.
func (a *assignment) choose(p placement) int {
	claim := p.step.def.Reservation()
	if a.rooms.refuses(claim) {
		return -1
	}
	best, bestCost := -1, 0.0
	onlyRoom := true
	for i := a.rooms.from(claim); i < len(a.rooms.slots); i++ {
		x := a.rooms.slots[i]
		// No cost is below the free part.
		if best >= 0 && x.free >= bestCost {
			break
		}
		if !claim.FitsIn(x.vm.freeRoom()) {
			continue
		}
		onlyRoom = false
		if !p.step.suits(p.id.StepID(), x.vm) || p.task.mustBeSeparate(a.now, x.vm) || !a.s.usable(a.now, x.vm) {
			continue
		}
		if c := a.cost(p, x.vm); best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	if onlyRoom {
		a.rooms.refuse(claim)
	}
	return best
}
