package schedule

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule/sizing"
)

// moveRetry is the pause before a move without an answer is ordered again.
const moveRetry = 700 * time.Millisecond

// idleMachines returns the machines that run nothing and are due for nothing.
func (s *Scheduler) idleMachines(now time.Time) []sizing.Machine {
	var out []sizing.Machine
	for id, m := range s.machines.All() {
		if !s.mayLend(now, m) {
			continue
		}
		x := sizing.Machine{ID: id, Pool: m.Pool, Zone: m.Zone, CPU: m.Capacity.CPU}
		if p := s.conf.Pool(m.Pool); p == nil || !p.Standby {
			v := s.vms.Get(m.VM)
			if v == nil || v.runs.Len() > 0 || !s.usable(now, v) || v.machine != id || v.room.CPU == 0 {
				continue
			}
			// The list lags behind what the VM says of itself, by which its pool's room is counted.
			x.CPU, x.IdleSince, x.Vacated = v.room.CPU, v.idleSince, v.vacating
		}
		out = append(out, x)
	}
	return out
}

// mayLend tells whether the machine can be ordered into another pool, and would bring
// room there.
func (s *Scheduler) mayLend(now time.Time, m *machineState) bool {
	stays := m.State == job.MachineUp && m.to == "" && !s.inUpkeep(m.ID)
	return stays && !now.Before(m.retry) && !s.evacuations.has(m.Zone) && s.mayOrderMachine(now, m.ID)
}

// inUpkeep tells whether a wave has the machine's upkeep under way.
func (s *Scheduler) inUpkeep(id job.MachineID) bool {
	for _, w := range s.waves.All() {
		if w.away[id] {
			return true
		}
	}
	return false
}

func (s *Scheduler) orderMove(now time.Time, x sizing.Move) {
	m := s.machines.Get(x.Machine)
	m.to, m.waiting, m.before = x.To, true, m.VM
	m.answeredAt = time.Time{}
	if v := s.vms.Get(m.VM); v != nil {
		v.cordoned = true
	}
	s.decided(Decision{Kind: MachineMoved, VM: m.VM, Reason: string(x.Machine) + " " + string(x.From) + " to " + string(x.To)})
	s.orderMachine(now, x.Machine, Move{Machine: x.Machine, Pool: x.To})
}

// MoveAnswered takes in what came of a move.
func (s *Scheduler) MoveAnswered(now time.Time, c Move, out Outcome, why job.MachineRefusal) {
	m := s.machines.Get(c.Machine)
	if m == nil || m.to != c.Pool {
		return
	}
	m.waiting = false
	switch {
	case out == Answered && why == job.MachineAccepted:
		m.answeredAt = now
		if v := s.vms.Get(m.before); v != nil {
			s.lifeOver(now, v, "its machine moves")
		}
	case out == Unanswered:
		// It may be carried out at any time: the VM gets nothing until that is known.
		m.retry = now.Add(moveRetry)
	default:
		m.to = ""
		m.retry = now.Add(machineRetry)
	}
}

// followMoves ends the moves that the list shows as done, and repeats those
// without an answer.
func (s *Scheduler) followMoves(now time.Time) {
	for id, m := range s.machines.All() {
		if m.to == "" || m.waiting {
			continue
		}
		if m.answeredAt.IsZero() {
			if now.After(m.retry) {
				m.waiting = true
				s.orderMachine(now, id, Move{Machine: id, Pool: m.to})
			}
			continue
		}
		if m.listedAt.After(m.answeredAt) && m.State == job.MachineUp && m.Pool == m.to {
			m.to = ""
		}
	}
}
