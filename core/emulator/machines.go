package emulator

import (
	"time"

	"lavenderpond/core/job"
)

// machinesList is the platform's list of machines.
func (w *World) machinesList() []job.Machine {
	var out []job.Machine
	for _, m := range w.machines {
		x := job.Machine{
			ID: m.id, Pool: m.pool, State: m.state, Zone: m.zone, Labels: []job.Label{"a", m.rack},
			Capacity: fullRoom,
		}
		if m.life != nil && m.life.up {
			x.VM = m.life.id
		}
		out = append(out, x)
	}
	return out
}

// checkMachine judges an order for a machine and tells whether it is accepted.
func (w *World) checkMachine(id job.MachineID, f job.Fence, holder string) job.MachineRefusal {
	m := w.machine(id)
	if m == nil || m.state != job.MachineUp {
		return job.MachineBusy
	}
	if f < m.fence {
		w.judge.broken("machine %s: fence %d of %s after %d of %s", id, f, holder, m.fence, m.holder)
	}
	if m.holder != "" && m.holder != holder && w.now.Sub(m.lastFrom) < 3*time.Second {
		w.judge.broken("machine %s: %s gives an order %s after %s", id, holder, w.now.Sub(m.lastFrom), m.holder)
	}
	m.fence, m.holder, m.lastFrom = f, holder, w.now
	return job.MachineAccepted
}

// upkeep takes a machine away for its upkeep.
func (w *World) upkeep(m *machine) {
	w.Figures.Upkeeps++
	w.judge.upkeep(m)
	w.takeAway(m, job.MachineMaintenance, upkeepPeriod)
}

// move takes a machine into another pool.
func (w *World) move(m *machine, pool job.PoolName) {
	w.Figures.Moves++
	m.pool = pool
	w.takeAway(m, job.MachineMoving, movePeriod)
}

func (w *World) takeAway(m *machine, s job.MachineState, d time.Duration) {
	if v := m.life; v != nil {
		w.judge.takenAway(v)
		v.die()
		w.table.dropVM(v.id)
	}
	m.state, m.life = s, nil
	w.after(d, func() {
		m.state = job.MachineUp
		w.judge.back(m)
		if p := w.conf.Pool(m.pool); p == nil || !p.Standby {
			w.newLife(m, "")
		}
	})
}

// crash ends a VM's life; it comes back after d, under the same ID or a new one.
func (w *World) crash(v *vm, d time.Duration, sameID bool) {
	if !v.up {
		return
	}
	w.Figures.Crashes++
	m := v.machine
	w.judge.crashed(v)
	v.die()
	m.state = job.MachineDown
	w.after(3*heartbeat, func() {
		if w.vms[v.id] == v {
			w.table.dropVM(v.id)
		}
	})
	w.after(d, func() {
		if m.life != v {
			return
		}
		id := job.VMID("")
		if sameID {
			id = v.id
		}
		w.newLife(m, id)
	})
}
