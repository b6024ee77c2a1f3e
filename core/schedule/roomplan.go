package schedule

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/room"
	"lavenderpond/core/schedule/sizing"
)

// planRoom orders machines from pool to pool by the rank of the work that waits there. It reports
// whether the rank makes a difference; if not, it does nothing.
func (s *Scheduler) planRoom(now time.Time) bool {
	pools := s.roomPools(now)
	if !room.Scarce(pools) {
		return false
	}
	machines := s.roomMachines(now)
	for _, m := range room.Plan(now, pools, machines) {
		s.orderMove(now, sizing.Move(m))
	}
	s.emptyVMs(now, pools, room.FleetCPU(pools, machines))
	return true
}

// roomMachines returns the machines that could move.
func (s *Scheduler) roomMachines(now time.Time) []room.Machine {
	var out []room.Machine
	for _, m := range s.idleMachines(now) {
		out = append(out, room.Machine{ID: m.ID, Pool: m.Pool, CPU: m.CPU, IdleSince: m.IdleSince, Emptied: m.Vacated})
	}
	return out
}

// roomPools returns what the work of each pool needs and what it has.
func (s *Scheduler) roomPools(now time.Time) []room.Pool {
	demands := s.rankedDemand(now)
	capacity := s.poolCapacity(now)
	out := make([]room.Pool, 0, len(s.config.Pools))
	for i := range s.config.Pools {
		p := &s.config.Pools[i]
		x := room.Pool{Name: p.Name, Standby: p.Standby, Have: capacity.available[p.Name]}
		if d := demands[p.Name]; !p.Standby {
			longRunning := d.longRunningCPU(capacity.largestVMCPU)
			r := s.poolStats(p.Name)
			running := int64(float64(capacity.used[p.Name]-d.lateRunning) / packingFraction)
			x.Urgent = max(longRunning+neededCPU(r.urgent.at(now), d.urgentWaiting), running)
			used := int64(float64(capacity.used[p.Name]) / packingFraction)
			x.Total = max(x.Urgent, longRunning+neededCPU(r.arrivals.at(now), d.waiting), used)
		}
		out = append(out, x)
	}
	return out
}

// neededCPU returns the CPU, in thousandths of a core, for work that arrives at the given rate
// and for waiting work, in core-seconds, that should begin within targetWait.
func neededCPU(rate, waiting float64) int64 {
	return int64((rate + waiting/targetWait.Seconds()) * 1000 / packingFraction)
}

// rankedDemand is the work that waits for a pool, by rank.
type rankedDemand struct {
	// urgentWaiting and waiting are core-seconds. waiting includes urgentWaiting.
	urgentWaiting, waiting float64
	// lateRunning is the CPU of runs whose jobs can't complete in time any more, in thousandths
	// of a core, on the VMs that count as capacity.
	lateRunning int64
	longRunning longRunningDemand
}

// longRunningCPU returns the CPU that the pool's long-running tasks need.
func (d *rankedDemand) longRunningCPU(largestVMCPU int64) int64 {
	l := &d.longRunning
	return max(l.cpu, l.requiredVMs()*largestVMCPU) + l.waiting*largestVMCPU
}

// rankedDemand returns the work of each pool. Waiting tasks of a job that may still run on a VM
// that has not reported yet are left out, since they can't start.
func (s *Scheduler) rankedDemand(now time.Time) map[job.PoolName]rankedDemand {
	out := map[job.PoolName]rankedDemand{}
	for _, j := range s.jobs.All() {
		if j.over() {
			continue
		}
		p := s.pool(j)
		d := out[p]
		s.addDemand(now, j, &d)
		out[p] = d
	}
	return out
}

// addDemand adds the work of a job.
func (s *Scheduler) addDemand(now time.Time, j *jobState, d *rankedDemand) {
	blocked := j.inherited && s.mayRunOnUnreportedVM(j)
	if j.longRunning {
		d.longRunning.add(j)
		if !blocked {
			d.longRunning.waiting += j.longWaitingTasks(now)
		}
		return
	}
	if now.After(j.objective) {
		d.lateRunning += j.lateRunningCPU(now)
	}
	if blocked || !now.Before(j.lateLimit) {
		return
	}
	work := s.waitingWork(j)
	d.waiting += work
	if work > 0 && s.rateJob(now, j).rank <= rankInTime {
		d.urgentWaiting += work
	}
}

// lateRunningCPU returns the CPU that the runs of a late job reserve on VMs that count as capacity.
// Objectives count from the arrival of a job, so scheduled occurrences don't count as late.
func (j *jobState) lateRunningCPU(now time.Time) int64 {
	sum := int64(0)
	for _, o := range j.occurrences {
		if !o.due.IsZero() {
			continue
		}
		for i := range o.steps {
			for t := range o.steps[i].tasks {
				for _, r := range o.steps[i].tasks[t].runs {
					if r.vm.countsAsCapacity(now) {
						sum += r.reservation.CPU
					}
				}
			}
		}
	}
	return sum
}
