package emulator

import (
	"slices"
	"time"

	"lavenderpond/core/job"
)

// listMachines returns the platform's list of machines.
func (w *World) listMachines() []job.Machine {
	var out []job.Machine
	for _, m := range w.machines {
		listed := job.Machine{
			ID: m.id, Pool: m.pool, State: m.state, Zone: m.zone, Labels: []job.Label{"a", m.rack},
			Capacity: fullCapacity,
		}
		if m.vm != nil && m.vm.up {
			listed.VM = m.vm.id
		}
		out = append(out, listed)
	}
	return out
}

// acceptMachineOrder decides whether a machine accepts an order, which is for the maintenance in a wave
// unless wave is 0. It reports a violation if the fence goes back, or if two entry VMs order the same
// machine within 3 s.
func (w *World) acceptMachineOrder(id job.MachineID, wave int64, f job.Fence, issuer string) job.MachineRefusal {
	m := w.findMachine(id)
	if m == nil {
		return job.MachineUnknown
	}
	if refusal := w.refuseMachineOrder(m, wave); refusal != job.MachineAccepted {
		return refusal
	}
	if f < m.fence {
		w.checker.violationf("machine %s: order with fence %d from %s after fence %d from %s", id, f, issuer, m.fence, m.issuer)
	}
	if m.issuer != "" && m.issuer != issuer && w.now.Sub(m.lastOrderAt) < 3*time.Second {
		w.checker.violationf("machine %s: order from %s only %s after an order from %s", id, issuer, w.now.Sub(m.lastOrderAt), m.issuer)
	}
	m.fence, m.issuer, m.lastOrderAt = f, issuer, w.now
	return job.MachineAccepted
}

// refuseMachineOrder returns why the state of a machine or its wave doesn't allow an order.
func (w *World) refuseMachineOrder(m *machine, wave int64) job.MachineRefusal {
	switch {
	case m.state != job.MachineUp:
		return job.MachineBusy
	case wave != 0 && !slices.Contains(w.waves.inForce(wave).Machines, m.id):
		return job.MachineOtherWave
	}
	return job.MachineAccepted
}

// executeLate carries out an order for the maintenance of a machine that got no answer, unless an
// order with a higher fence came first.
func (w *World) executeLate(id job.MachineID, wave int64, f job.Fence) {
	m := w.findMachine(id)
	if m == nil || f < m.fence || w.refuseMachineOrder(m, wave) != job.MachineAccepted {
		return
	}
	w.tracef("%s: maintenance for wave %d is executed late", id, wave)
	m.fence = f
	w.startMaintenance(m, wave)
}

// removeMachine removes a machine for good, with all that runs on it.
func (w *World) removeMachine(m *machine) {
	w.tracef("%s is removed", m.id)
	w.checker.disturbances.machineRemoved(w.now)
	if m.vm != nil && m.vm.up {
		w.loseVM(m.vm)
	}
	m.removed, m.vm = true, nil
	w.checker.machineReturned(m)
	w.machines = slices.DeleteFunc(w.machines, func(o *machine) bool { return o == m })
}

// startMaintenance takes a machine out of service for its maintenance, unless it was maintained for
// the wave before.
func (w *World) startMaintenance(m *machine, wave int64) {
	if m.maintainedFor[wave] {
		return
	}
	if m.maintainedFor == nil {
		m.maintainedFor = map[int64]bool{}
	}
	m.maintainedFor[wave] = true
	w.Stats.MaintenanceStarts++
	w.checker.maintenanceStarted(m, wave)
	w.waves.maintenanceStarted(wave)
	w.takeOutOfService(m, job.MachineMaintenance, maintenancePeriod)
}

// startMove moves a machine to another pool.
func (w *World) startMove(m *machine, pool job.PoolName) {
	w.Stats.Moves++
	m.pool = pool
	w.takeOutOfService(m, job.MachineMoving, movePeriod)
}

// takeOutOfService ends the VM of a machine, and returns the machine to service after d.
// In the standby pool it returns without a VM.
func (w *World) takeOutOfService(m *machine, s job.MachineState, d time.Duration) {
	if v := m.vm; v != nil {
		w.checker.vmRemoved(v)
		v.terminate()
		w.table.dropVM(v.id)
	}
	m.state, m.vm = s, nil
	w.after(d, func() {
		if m.removed {
			return
		}
		m.state = job.MachineUp
		w.checker.machineReturned(m)
		if p := w.config.Pool(m.pool); p == nil || !p.Standby {
			w.startVM(m, "")
		}
	})
}

// crashVM ends a VM without notice. Its machine starts a new VM after d, under the same ID
// or a new one.
func (w *World) crashVM(v *vm, d time.Duration, sameID bool) {
	if !v.up {
		return
	}
	w.loseVM(v)
	m := v.machine
	w.after(d, func() {
		if m.vm != v {
			return
		}
		id := job.VMID("")
		if sameID {
			id = v.id
		}
		w.startVM(m, id)
	})
}

// loseVM ends a VM without notice. Its machine stays down.
func (w *World) loseVM(v *vm) {
	w.Stats.Crashes++
	w.checker.vmCrashed(v)
	v.terminate()
	v.machine.state = job.MachineDown
	w.after(3*heartbeatInterval, func() {
		if w.vms[v.id] == v {
			w.table.dropVM(v.id)
		}
	})
}
