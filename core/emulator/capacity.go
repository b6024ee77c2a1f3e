package emulator

import (
	"time"

	"lavenderpond/core/job"
)

const (
	// heartbeatInterval is the interval at which a VM writes its record to the table.
	heartbeatInterval = 1500 * time.Millisecond
	// contactPeriod is how long an entry VM must have been in contact with the table before
	// it has to know the VM records.
	contactPeriod = 3 * time.Second
	// minResizeInterval and maxResizeInterval bound the time between changes of the capacity
	// of a VM.
	minResizeInterval = time.Second
	maxResizeInterval = 8 * time.Second
	// minCapacityShare is the smallest share of its full capacity to which a VM shrinks.
	minCapacityShare = 0.2
)

// fullCapacity is the capacity of a VM that has not shrunk.
var fullCapacity = job.Resources{CPU: vmCPU, MemMB: vmMemMB}

// capacityChange is the capacity of a VM from a point in time on.
type capacityChange struct {
	capacity job.Resources
	since    time.Time
}

// capacity returns the current capacity.
func (v *vm) capacity() job.Resources { return v.capacities[len(v.capacities)-1].capacity }

// scheduleResize changes the capacity of the VM at random intervals while it is up.
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

// setCapacity changes the capacity. The next heartbeat publishes it.
func (v *vm) setCapacity(capacity job.Resources) {
	v.w.tracef("%s: capacity changes to %d", v.id, capacity.CPU)
	v.capacities = append(v.capacities, capacityChange{capacity, v.w.now})
	v.w.after(v.w.randomBetween(0, heartbeatInterval), func() { v.w.table.putVM(v) })
}

// capacityLimit returns the most that may run on the VM. A decrease of the capacity counts
// once the entry VMs must know of it, an increase immediately.
func (v *vm) capacityLimit() job.Resources {
	limit := v.capacity()
	for i := len(v.capacities) - 1; i > 0; i-- {
		if v.w.now.Sub(v.capacities[i].since) > contactPeriod+heartbeatInterval {
			break
		}
		limit = limit.Max(v.capacities[i-1].capacity)
	}
	return limit
}

// fits reports whether the VM accepts a task with the given reservation. A VM that ignores
// its capacity accepts any.
func (v *vm) fits(reservation job.Resources) bool {
	return v.machine.ignoresCapacity || reservation.FitsIn(v.capacity().Sub(v.used()))
}

// checkCapacity checks that a start does not overload a VM that ignores its capacity. Other
// VMs refuse such starts themselves.
func (c *checker) checkCapacity(v *vm, r *taskRun) {
	used, limit := v.used(), v.capacityLimit()
	if v.machine.ignoresCapacity && !used.FitsIn(limit) {
		c.violationf("%v attempt %d overloads %s: CPU %d of %d", r.task, r.attempt, v.id, used.CPU, limit.CPU)
	}
}
