package schedule

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule/sizing"
)

// moveRetryDelay is the pause before a move that got no answer is ordered again.
const moveRetryDelay = 700 * time.Millisecond

// idleMachines returns the machines that run nothing and that no other operation needs.
func (s *Scheduler) idleMachines(now time.Time) []sizing.Machine {
	var out []sizing.Machine
	for id, m := range s.machines.All() {
		if !s.mayMoveMachine(now, m) {
			continue
		}
		x := sizing.Machine{ID: id, Pool: m.Pool, Zone: m.Zone, CPU: m.Capacity.CPU}
		if p := s.config.Pool(m.Pool); p == nil || !p.Standby {
			v := s.vms.Get(m.VM)
			if v == nil || v.runs.Len() > 0 || len(v.claims) > 0 || len(v.lostStarts) > 0 || !s.usable(now, v) || now.Before(v.fullUntil) || v.machine != id || v.capacity.CPU == 0 {
				continue
			}
			// The machine list lags behind what the VM reports itself, from which the capacity
			// of its pool is counted.
			x.CPU, x.IdleSince, x.Vacated = v.capacity.CPU, v.idleSince, v.vacating
		}
		out = append(out, x)
	}
	return out
}

// mayMoveMachine reports whether the machine can be ordered into another pool and would add
// capacity there.
func (s *Scheduler) mayMoveMachine(now time.Time, m *machineState) bool {
	stays := m.State == job.MachineUp && m.movingTo == "" && !s.inMaintenance(m.ID)
	return stays && !now.Before(m.retryAt) && !s.evacuatedZones.has(m.Zone) && s.mayOrderMachine(now, m.ID)
}

// orderMoves orders the first of the moves, as many as the machines' service answers in time. The
// others aren't kept: the next plan makes them again if they are still needed.
func (s *Scheduler) orderMoves(now time.Time, moves []sizing.Move) {
	for _, m := range moves[:min(len(moves), s.moves.Free())] {
		s.orderMove(now, m)
	}
}

// orderMove orders a machine into another pool and cordons its VM.
func (s *Scheduler) orderMove(now time.Time, x sizing.Move) {
	m := s.machines.Get(x.Machine)
	m.movingTo, m.awaitingAnswer, m.orderedVM = x.To, true, m.VM
	m.answeredAt, m.moveUncertain = time.Time{}, false
	if v := s.vms.Get(m.VM); v != nil {
		s.beginDeparture(v)
	}
	s.reportDecision(Decision{Kind: MachineMoved, VM: m.VM, Reason: string(x.Machine) + " " + string(x.From) + " to " + string(x.To)})
	s.moves.Ordered()
	s.orderMachine(now, x.Machine, Move{Machine: x.Machine, Pool: x.To})
}

// MoveAnswered handles the outcome of a move.
func (s *Scheduler) MoveAnswered(now time.Time, c Move, outcome Outcome, refusal job.MachineRefusal) {
	s.recordMoveOutcome(now, c, outcome)
	m := s.machines.Get(c.Machine)
	if m == nil || m.movingTo != c.Pool {
		return
	}
	m.awaitingAnswer = false
	switch {
	case outcome == Answered && refusal == job.MachineAccepted:
		m.answeredAt = now
		if v := s.vms.Get(m.orderedVM); v != nil {
			s.endLife(now, v, "machine moves to another pool")
		}
	case outcome == Unanswered:
		// The move may be executed at any time, so the VM gets no tasks until its outcome is
		// known.
		m.moveUncertain = true
		m.retryAt = now.Add(moveRetryDelay)
	case m.moveUncertain && outcome != Rejected:
		// This attempt was not executed, but an earlier one may still be.
		m.retryAt = now.Add(moveRetryDelay)
	default:
		s.cancelDeparture(m)
		m.movingTo = ""
		m.retryAt = now.Add(machineRetryPause(outcome))
	}
}

// machineRetryPause returns the pause before a machine is ordered again after an order for it wasn't
// executed.
func machineRetryPause(o Outcome) time.Duration {
	if o == Rejected {
		return rejectedOrderPause
	}
	return machineRetryDelay
}

// beginDeparture removes an idle VM from the roster, together with the save that its machine's order
// waits for. Nothing runs there any more, so its silence keeps no task waiting, here or under the
// next owner.
func (s *Scheduler) beginDeparture(v *vmState) {
	v.departing = true
	v.rosterEntry, v.storedLease = RosterVM{}, nil
	s.dirtyVMs = append(s.dirtyVMs, v.id)
}

// cancelDeparture puts the VM back in the roster whose machine stays after all.
func (s *Scheduler) cancelDeparture(m *machineState) {
	if v := s.vms.Get(m.orderedVM); v != nil && v.departing {
		v.departing = false
		s.updateRoster(v)
	}
}

// recordMoveOutcome adjusts the number of moves that may be in flight.
func (s *Scheduler) recordMoveOutcome(now time.Time, c Move, outcome Outcome) {
	sent := s.recentOrders.Get(c.Machine).givenAt
	switch outcome {
	case Answered:
		s.moves.Answered(sent, now)
	case Unanswered, Unhealthy:
		s.moves.Refused(sent, now)
	default:
		s.moves.Withdrawn()
	}
}

// trackMoves completes the moves that the machine list shows as done, and repeats those that
// got no answer.
func (s *Scheduler) trackMoves(now time.Time) {
	for id, m := range s.machines.All() {
		if m.movingTo == "" || m.awaitingAnswer {
			continue
		}
		if m.answeredAt.IsZero() {
			if now.After(m.retryAt) && s.moves.Free() > 0 {
				m.awaitingAnswer = true
				s.moves.Ordered()
				s.orderMachine(now, id, Move{Machine: id, Pool: m.movingTo})
			}
			continue
		}
		if m.listedAt.After(m.answeredAt) && m.State == job.MachineUp && m.Pool == m.movingTo {
			m.movingTo = ""
		}
	}
}
