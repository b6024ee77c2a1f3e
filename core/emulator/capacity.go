package emulator

import (
	"time"

	"lavenderpond/core/job"
)

const (
	// heartbeat is how often a VM writes its entry.
	heartbeatInterval = 1500 * time.Millisecond
	// contactPeriod is how long an entry VM has been in touch before it has to know
	// what the directory says.
	contactPeriod = 3 * time.Second
	// minResizeInterval and resizeAtMost bound how long a VM that shrinks keeps its room.
	minResizeInterval = time.Second
	maxResizeInterval = 8 * time.Second
	// minCapacityShare is the least share of its full room to which a VM shrinks.
	minCapacityShare = 0.2
)

// fullCapacity is the room of a VM that hasn't shrunk.
var fullCapacity = job.Resources{CPU: vmCPU, MemMB: vmMemMB}

// capacityChange is the room that a VM has from an instant on.
type capacityChange struct {
	capacity job.Resources
	since    time.Time
}

// capacity is what the VM has now.
func (v *vm) capacity() job.Resources { return v.capacities[len(v.capacities)-1].capacity }

// scheduleResize gives the VM another room before long, and so on while it lives.
func (v *vm) scheduleResize() {
	v.w.after(v.w.randomBetween(minResizeInterval, maxResizeInterval), func() {
		if !v.up {
			return
		}
		share := min(1, minCapacityShare+v.w.rng.Float64())
		v.setCapacity(job.Resources{CPU: int64(vmCPU * share), MemMB: int64(vmMemMB * share)})
		v.scheduleResize()
	})
}

// setCapacity changes the VM's room; its next heartbeat shows it.
func (v *vm) setCapacity(capacity job.Resources) {
	v.w.tracef("%s has room %d now", v.id, capacity.CPU)
	v.capacities = append(v.capacities, capacityChange{capacity, v.w.now})
	v.w.after(v.w.randomBetween(0, heartbeatInterval), func() { v.w.table.putVM(v) })
}

// capacityLimit is the most that may run on the VM. A room that has shrunk counts once the
// entry VMs must know of it, one that has grown at once.
func (v *vm) capacityLimit() job.Resources {
	most := v.capacity()
	for i := len(v.capacities) - 1; i > 0; i-- {
		if v.w.now.Sub(v.capacities[i].since) > contactPeriod+heartbeatInterval {
			break
		}
		most = most.Max(v.capacities[i-1].capacity)
	}
	return most
}

// fits tells whether the VM takes a task: one that doesn't guard its room takes any.
func (v *vm) fits(reservation job.Resources) bool {
	return v.machine.ignoresCapacity || reservation.FitsIn(v.capacity().Sub(v.used()))
}

// checkCapacity checks that a start brings no VM over its room; those that guard it refuse.
func (g *checker) checkCapacity(v *vm, r *vmRun) {
	used, most := v.used(), v.capacityLimit()
	if v.machine.ignoresCapacity && !used.FitsIn(most) {
		g.violationf("LIMIT: %v attempt %d brings %s to %d of %d", r.task, r.attempt, v.id, used.CPU, most.CPU)
	}
}
