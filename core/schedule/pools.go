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
	// peakMemory is the period over which a pool's largest need is forgotten: longer than
	// queues take to burst in turn.
	peakMemory = 30 * time.Second
	// sparesForLasting is how many VMs a pool has beyond what its lasting tasks
	// need if they may not share VMs, so that one that ends can start elsewhere.
	sparesForLasting = 1
	// waitingLong is how long a lasting task finds no room until its pool gets a
	// VM for it.
	waitingLong = 200 * time.Millisecond
)

// poolRecord is what was learned of a pool's demand.
type poolRecord struct {
	// arrival is the work that arrives, in core-seconds a second.
	arrival   float64
	arrivalAt time.Time
	// peak is the largest need of late, in thousandths of a core, no more than the fleet.
	peak   float64
	peakAt time.Time
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

// note remembers the largest need.
func (r *poolRecord) note(now time.Time, need float64) {
	if !r.peakAt.IsZero() {
		r.peak *= math.Exp(-now.Sub(r.peakAt).Seconds() / peakMemory.Seconds())
	}
	r.peakAt = now
	r.peak = max(r.peak, need)
}

// size orders machines into other pools as demand moves on.
func (s *Scheduler) size(now time.Time) {
	if s.conf == nil || s.machines.Len() == 0 || now.Before(s.sizeAt) {
		return
	}
	s.sizeAt = now.Add(sizeEvery)
	s.followMoves(now)
	pools := s.poolNeeds(now)
	for _, m := range sizing.Plan(now, pools, s.idleMachines(now)) {
		s.orderMove(now, m)
	}
	s.vacate(pools)
}

// poolNeeds returns what each pool needs and has.
func (s *Scheduler) poolNeeds(now time.Time) []sizing.Pool {
	waiting, lasting := s.demand(now)
	rooms := s.poolRooms(now)
	var out []sizing.Pool
	for i := range s.conf.Pools {
		p := &s.conf.Pools[i]
		x := sizing.Pool{Name: p.Name, Standby: p.Standby, Have: rooms.have[p.Name]}
		x.Used = int64(float64(rooms.used[p.Name]) / packing)
		if !p.Standby {
			r := s.poolRecord(p.Name)
			r.fade(now)
			need := (r.arrival + waiting[p.Name]/clearWithin.Seconds()) * 1000 / packing
			r.note(now, min(need, float64(rooms.whole())))
			x.Wish = r.peak
			l := lasting[p.Name]
			x.Need = max(l.cpu+int64(need), l.wholeVMs()*rooms.vmCPU) + l.waiting*rooms.vmCPU
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
	waiting int64
}

// wholeVMs returns how many VMs the pool needs for tasks that may not share them.
func (l *lastingDemand) wholeVMs() int64 {
	if l.vms == 0 {
		return 0
	}
	return int64(l.vms + sparesForLasting)
}

// demand returns, for each pool, the waiting work in core-seconds that is still
// of use, and what lasting tasks need. A job that may still run on a VM not heard yet
// can't start anything: room for it would stand empty while other queues wait.
func (s *Scheduler) demand(now time.Time) (waiting map[job.PoolName]float64, lasting map[job.PoolName]lastingDemand) {
	waiting, lasting = map[job.PoolName]float64{}, map[job.PoolName]lastingDemand{}
	for _, j := range s.jobs.All() {
		if j.over() {
			continue
		}
		p := s.pool(j)
		blocked := j.inherited && s.mayRunUnheard(j)
		switch {
		case j.lasting:
			l := lasting[p]
			l.add(j)
			if !blocked {
				l.waiting += j.waitsLong(now)
			}
			lasting[p] = l
		case now.Before(j.lateLimit) && !blocked:
			waiting[p] += s.waitingWork(j)
		}
	}
	return waiting, lasting
}

// add counts the tasks of a lasting job.
func (l *lastingDemand) add(j *jobState) {
	for _, o := range j.occurrences {
		for i := range o.steps {
			def := o.steps[i].def
			l.cpu += def.Reservation().CPU * int64(def.Count)
			if def.MaxPerVM > 0 {
				l.vms = max(l.vms, (def.Count+def.MaxPerVM-1)/def.MaxPerVM)
			}
		}
	}
}

// waitsLong counts the tasks of a lasting job that have found no room for a while.
func (j *jobState) waitsLong(now time.Time) int64 {
	if now.Sub(j.arrived) <= waitingLong {
		return 0
	}
	n := int64(0)
	for _, o := range j.occurrences {
		for i := range o.steps {
			for t := range o.steps[i].tasks {
				task := &o.steps[i].tasks[t]
				if task.open() && (task.unavailableSince.IsZero() || now.Sub(task.unavailableSince) > waitingLong) {
					n++
				}
			}
		}
	}
	return n
}

// waitingWork returns the core-seconds of a job's tasks that could start now.
func (s *Scheduler) waitingWork(j *jobState) float64 {
	sum := 0.0
	for _, o := range j.occurrences {
		for i := range o.steps {
			st := &o.steps[i]
			if st.open == 0 || !o.ready(i) {
				continue
			}
			sum += float64(st.open) * float64(st.def.Reservation().CPU) / 1000 * s.runTime(j, st.def).Seconds()
		}
	}
	return sum
}

// poolRooms is the CPU in pools, in thousandths of a core.
type poolRooms struct {
	// have counts the VMs that take tasks, and machines on their way.
	have map[job.PoolName]int64
	// used is what runs on those VMs.
	used map[job.PoolName]int64
	// vmCPU is that of the largest VM before any of them shrank.
	vmCPU int64
}

func (s *Scheduler) poolRooms(now time.Time) poolRooms {
	r := poolRooms{have: map[job.PoolName]int64{}, used: map[job.PoolName]int64{}}
	for _, v := range s.vms.All() {
		r.vmCPU = max(r.vmCPU, v.room.CPU)
		if v.host != nil {
			r.vmCPU = max(r.vmCPU, v.host.Capacity.CPU)
		}
		if v.counts(now) {
			r.have[v.pool] += v.room.CPU
			r.used[v.pool] += v.used.CPU
		}
	}
	for _, m := range s.machines.All() {
		switch {
		case s.evacuations.has(m.Zone):
		case m.to != "":
			r.have[m.to] += m.Capacity.CPU
		case m.State == job.MachineMoving, m.State == job.MachineMaintenance:
			r.have[m.Pool] += m.Capacity.CPU
		}
	}
	return r
}

// whole returns the CPU of all pools.
func (r *poolRooms) whole() int64 {
	sum := int64(0)
	for _, cpu := range r.have {
		sum += cpu
	}
	return sum
}

// unheardGrace is how long a VM counts as room before it is first heard.
const unheardGrace = 300 * time.Millisecond

// counts tells whether the VM is room for its pool. After a take-over while a zone is
// cut off, all its VMs are listed and none is heard: if they counted, their pools
// would seem to have room and get no machines.
func (v *vmState) counts(now time.Time) bool {
	heard := v.heldOnce || now.Sub(v.firstSeen) < unheardGrace
	return v.listed && !v.draining && !v.evacuated && !v.silent && !v.cordoned && heard
}

// vacate chooses the VMs that are to fall idle, so that their machines can move.
func (s *Scheduler) vacate(pools []sizing.Pool) {
	var vms []sizing.VM
	before := map[job.VMID]bool{}
	for _, v := range s.vms.All() {
		if v.vacating {
			before[v.id] = true
		}
		v.vacating = false
		if v.acceptsTasks() && !v.cordoned && v.lasting == 0 {
			vms = append(vms, sizing.VM{ID: v.id, Pool: v.pool, CPU: v.room.CPU, Used: v.used.CPU})
		}
	}
	for _, id := range sizing.Vacate(pools, vms) {
		v := s.vms.Get(id)
		v.vacating = true
		if !before[id] {
			s.decided(Decision{Kind: VMVacated, VM: id, Reason: string(v.pool)})
		}
	}
}
