package schedule

import (
	"math"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule/sizing"
)

const (
	// sizeEvery is how often pools are sized.
	sizeEvery = 100 * time.Millisecond
	// arrivalMemory is the period over which the arrival of work is averaged.
	// Bursts last some seconds; a shorter one takes single large jobs for a burst.
	arrivalMemory = 900 * time.Millisecond
	// clearWithin is how fast waiting work should be begun. A machine arrives 1.5 s
	// after its order, when a burst of four seconds is already waiting; below this
	// pools take machines from each other.
	clearWithin = 400 * time.Millisecond
	// packing is the part of a VM's room that tasks of mixed sizes fill.
	packing = 0.85
	// sparesForLasting is how many VMs a pool has beyond what its lasting tasks
	// need if they may not share VMs, so that one that ends can start elsewhere.
	sparesForLasting = 1
	// waitingLong is how long a lasting task finds no room until its pool gets a
	// VM for it.
	waitingLong = 200 * time.Millisecond
	// moveRetry is the pause before a move without an answer is ordered again.
	moveRetry = 700 * time.Millisecond
)

// poolRecord is what was learned of a pool's demand.
type poolRecord struct {
	// arrival is the work that arrives, in core-seconds a second.
	arrival   float64
	arrivalAt time.Time
}

func (s *Scheduler) poolRecord(p job.PoolName) *poolRecord {
	r := s.pools[p]
	if r == nil {
		r = &poolRecord{}
		s.pools[p] = r
	}
	return r
}

// arrive adds work in core-seconds to the average.
func (r *poolRecord) arrive(now time.Time, work float64) {
	r.fade(now)
	r.arrival += work / arrivalMemory.Seconds()
}

func (r *poolRecord) fade(now time.Time) {
	if !r.arrivalAt.IsZero() {
		r.arrival *= math.Exp(-now.Sub(r.arrivalAt).Seconds() / arrivalMemory.Seconds())
	}
	r.arrivalAt = now
}

// size orders machines into other pools as demand moves on.
func (s *Scheduler) size(now time.Time) {
	if s.conf == nil || s.machines.Len() == 0 || now.Before(s.sizeAt) {
		return
	}
	s.sizeAt = now.Add(sizeEvery)
	s.followMoves(now)
	for _, m := range sizing.Plan(now, s.poolNeeds(now), s.idleMachines(now)) {
		s.orderMove(now, m)
	}
}

// poolNeeds returns what each pool needs and has.
func (s *Scheduler) poolNeeds(now time.Time) []sizing.Pool {
	waiting, lasting := s.demand(now)
	have, vmCPU := s.poolRooms()
	var out []sizing.Pool
	for i := range s.conf.Pools {
		p := &s.conf.Pools[i]
		x := sizing.Pool{Name: p.Name, Standby: p.Standby, Have: have[p.Name]}
		if !p.Standby {
			r := s.poolRecord(p.Name)
			r.fade(now)
			need := (r.arrival + waiting[p.Name]/clearWithin.Seconds()) * 1000 / packing
			l := lasting[p.Name]
			x.Need = max(l.cpu+int64(need), int64(l.vms+sparesForLasting)*vmCPU) + int64(l.waiting)*vmCPU
			if l.vms == 0 {
				x.Need = int64(need)
			}
		}
		out = append(out, x)
	}
	return out
}

// lastingDemand is what the lasting tasks of a pool need.
type lastingDemand struct {
	cpu int64
	// vms is how many VMs the widest step needs if it may share none, or few.
	vms int
	// waiting counts the tasks that found no room.
	waiting int
}

// demand returns, for each pool, the waiting work in core-seconds that is still
// of use, and what lasting tasks need.
func (s *Scheduler) demand(now time.Time) (waiting map[job.PoolName]float64, lasting map[job.PoolName]lastingDemand) {
	waiting, lasting = map[job.PoolName]float64{}, map[job.PoolName]lastingDemand{}
	for _, j := range s.jobs.All() {
		if j.over() {
			continue
		}
		p := s.pool(j)
		switch {
		case j.lasting:
			l := lasting[p]
			s.addLasting(now, &l, j)
			lasting[p] = l
		case now.Before(j.late):
			waiting[p] += s.waitingWork(j)
		}
	}
	return waiting, lasting
}

func (s *Scheduler) addLasting(now time.Time, l *lastingDemand, j *jobState) {
	for _, o := range j.occurrences {
		for i := range o.steps {
			st := &o.steps[i]
			l.cpu += st.def.Claim().CPU * int64(st.def.Count)
			if st.def.MaxPerVM > 0 {
				l.vms = max(l.vms, (st.def.Count+st.def.MaxPerVM-1)/st.def.MaxPerVM)
			}
			for t := range st.tasks {
				task := &st.tasks[t]
				if len(task.runs) == 0 && now.Sub(j.arrived) > waitingLong && (task.awaySince.IsZero() || now.Sub(task.awaySince) > waitingLong) {
					l.waiting++
				}
			}
		}
	}
}

// waitingWork returns the core-seconds of a job's tasks that could start now.
func (s *Scheduler) waitingWork(j *jobState) float64 {
	sum := 0.0
	for _, o := range j.occurrences {
		for i := range o.steps {
			st := &o.steps[i]
			if st.complete() || !o.ready(i) {
				continue
			}
			n := 0
			for t := range st.tasks {
				if !st.tasks[t].done && len(st.tasks[t].runs) == 0 {
					n++
				}
			}
			sum += float64(n) * float64(st.def.Claim().CPU) / 1000 * s.runTime(j, st.def).Seconds()
		}
	}
	return sum
}

// poolRooms returns the CPU in each pool, machines on their way included, and
// that of the largest VM.
func (s *Scheduler) poolRooms() (have map[job.PoolName]int64, vmCPU int64) {
	have = map[job.PoolName]int64{}
	for _, v := range s.vms.All() {
		vmCPU = max(vmCPU, v.room.CPU)
		if v.listed && !v.draining && !v.silent && !v.cordoned {
			have[v.pool] += v.room.CPU
		}
	}
	for _, m := range s.machines.All() {
		switch {
		case m.to != "":
			have[m.to] += m.Room.CPU
		case m.State == job.MachineMoving, m.State == job.MachineUpkeep:
			have[m.Pool] += m.Room.CPU
		}
	}
	return have, vmCPU
}

// idleMachines returns the machines that run nothing and are due for nothing.
func (s *Scheduler) idleMachines(now time.Time) []sizing.Machine {
	var out []sizing.Machine
	for id, m := range s.machines.All() {
		if m.State != job.MachineUp || m.to != "" || now.Before(m.retry) || s.inUpkeep(id) || !s.mayOrderMachine(now, id) {
			continue
		}
		x := sizing.Machine{ID: id, Pool: m.Pool, Zone: m.Zone, CPU: m.Room.CPU}
		if p := s.conf.Pool(m.Pool); p == nil || !p.Standby {
			v := s.vms.Get(m.VM)
			if v == nil || v.runs.Len() > 0 || !s.usable(now, v) || v.machine != id {
				continue
			}
			x.IdleSince = v.idleSince
		}
		out = append(out, x)
	}
	return out
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
	s.decided(Decision{What: MachineMoved, VM: m.VM, Reason: string(x.Machine) + " " + string(x.From) + " to " + string(x.To)})
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
