package emulator

import (
	"time"

	"lavenderpond/core/job"
)

const (
	// heartbeat is how often a VM writes its entry.
	heartbeat = 1500 * time.Millisecond
	// contactPeriod is how long an entry VM has been in touch before it has to know
	// what the directory says.
	contactPeriod = 3 * time.Second
	// resizeAtLeast and resizeAtMost bound how long a VM that shrinks keeps its room.
	resizeAtLeast = time.Second
	resizeAtMost  = 8 * time.Second
	// leastShare is the least share of its full room to which a VM shrinks.
	leastShare = 0.2
)

// fullRoom is the room of a VM that hasn't shrunk.
var fullRoom = job.Resources{CPU: vmCPU, MemMB: vmMemMB}

// roomSince is the room that a VM has from an instant on.
type roomSince struct {
	room job.Resources
	from time.Time
}

// room is what the VM has now.
func (v *vm) room() job.Resources { return v.rooms[len(v.rooms)-1].room }

// resizeSoon gives the VM another room before long, and so on while it lives.
func (v *vm) resizeSoon() {
	v.w.after(v.w.between(resizeAtLeast, resizeAtMost), func() {
		if !v.up {
			return
		}
		share := min(1, leastShare+v.w.rng.Float64())
		v.setRoom(job.Resources{CPU: int64(vmCPU * share), MemMB: int64(vmMemMB * share)})
		v.resizeSoon()
	})
}

// setRoom changes the VM's room; its next heartbeat shows it.
func (v *vm) setRoom(r job.Resources) {
	v.w.tell("%s has room %d now", v.id, r.CPU)
	v.rooms = append(v.rooms, roomSince{r, v.w.now})
	v.w.after(v.w.between(0, heartbeat), func() { v.w.table.putVM(v) })
}

// roomCounted is the most that may run on the VM. A room that has shrunk counts once the
// entry VMs must know of it, one that has grown at once.
func (v *vm) roomCounted() job.Resources {
	most := v.room()
	for i := len(v.rooms) - 1; i > 0; i-- {
		if v.w.now.Sub(v.rooms[i].from) > contactPeriod+heartbeat {
			break
		}
		most = most.Max(v.rooms[i-1].room)
	}
	return most
}

// fits tells whether the VM takes a task: one that doesn't guard its room takes any.
func (v *vm) fits(claim job.Resources) bool {
	return v.machine.unguarded || claim.FitsIn(v.room().Sub(v.used()))
}

// checkRoom checks that a start brings no VM over its room; those that guard it refuse.
func (g *judge) checkRoom(v *vm, r *vmRun) {
	used, most := v.used(), v.roomCounted()
	if v.machine.unguarded && !used.FitsIn(most) {
		g.broken("LIMIT: %v attempt %d brings %s to %d of %d", r.task, r.attempt, v.id, used.CPU, most.CPU)
	}
}
