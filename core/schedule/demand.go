package schedule

import (
	"time"

	"lavenderpond/core/job"
)

// poolDemand is the work that waits for a pool.
type poolDemand struct {
	// waiting is the work, in core-seconds, that can still be of use.
	waiting float64
	// urgentWaiting is the part of waiting that can still complete in time within its account's
	// share. It and lateRunning are 0 unless machines go by rank.
	urgentWaiting float64
	// lateRunning is the CPU of runs whose jobs can't complete in time any more, in thousandths
	// of a core, on the VMs that count as capacity.
	lateRunning int64
	longRunning longRunningDemand
}

// neededCPU returns the CPU, in thousandths of a core, that a pool needs for its long-running tasks
// and for other work: what arrives at the given rate, and waiting work, in core-seconds, that
// should begin within targetWait. Other work may share the VMs that long-running tasks keep apart.
func (l *longRunningDemand) neededCPU(rate, waiting float64, largestVMCPU int64) int64 {
	return max(l.cpu+int64(workCPU(rate, waiting)), l.requiredVMs()*largestVMCPU) + l.waiting*largestVMCPU
}

// workCPU returns the CPU that work needs, see neededCPU.
func workCPU(rate, waiting float64) float64 {
	return (rate + waiting/targetWait.Seconds()) * 1000 / packingFraction
}

// demand returns the work of each pool. Waiting tasks of a job that may still run on a VM that has
// not reported yet are left out: they can't start, so capacity for them would stand empty while
// other queues wait. A pool whose machines can't be emptied for lack of room needs one more.
func (s *Scheduler) demand(now time.Time) map[job.PoolName]poolDemand {
	out := map[job.PoolName]poolDemand{}
	for _, j := range s.jobs.All() {
		if j.over() {
			continue
		}
		p := s.pool(j)
		d := out[p]
		s.addDemand(now, j, &d)
		out[p] = d
	}
	for p := range s.crampedPools() {
		d := out[p]
		d.longRunning.waiting++
		out[p] = d
	}
	return out
}

// addDemand adds the work of a job.
func (s *Scheduler) addDemand(now time.Time, j *jobState, d *poolDemand) {
	blocked := j.inherited && s.mayRunOnUnreportedVM(j)
	if j.longRunning {
		d.longRunning.add(j)
		if !blocked {
			d.longRunning.waiting += j.longWaitingTasks(now)
		}
		return
	}
	ranked := s.settings.Policy.RankedRoom
	if ranked && now.After(j.objective) {
		d.lateRunning += j.lateRunningCPU(now)
	}
	if blocked || !now.Before(j.lateLimit) {
		return
	}
	work := s.waitingWork(j)
	d.waiting += work
	if ranked && work > 0 && s.rateJob(now, j).rank <= rankInTime {
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
			for _, t := range o.steps[i].live {
				for _, r := range t.runs {
					if r.vm.countsAsCapacity(now) {
						sum += r.reservation.CPU
					}
				}
			}
		}
	}
	return sum
}

// longRunningDemand is what the long-running tasks of a pool need.
type longRunningDemand struct {
	cpu int64
	// minVMs is the number of VMs that the widest step with a bound on tasks per VM needs.
	minVMs int
	// waiting counts the tasks that have found no capacity.
	waiting int64
}

// requiredVMs returns the number of VMs that the pool needs for tasks that may not share a VM.
func (l *longRunningDemand) requiredVMs() int64 {
	if l.minVMs == 0 {
		return 0
	}
	return int64(l.minVMs + longRunningSpareVMs)
}

// add adds the tasks of a long-running job.
func (l *longRunningDemand) add(j *jobState) {
	for _, o := range j.occurrences {
		for i := range o.steps {
			def := o.steps[i].def
			l.cpu += def.Reservation().Mul(def.Count).CPU
			if def.MaxPerVM > 0 {
				l.minVMs = max(l.minVMs, (def.Count+def.MaxPerVM-1)/def.MaxPerVM)
			}
		}
	}
}

// longWaitingTasks counts the tasks of a long-running job that have waited for capacity for longer
// than longRunningWaitThreshold.
func (j *jobState) longWaitingTasks(now time.Time) int64 {
	if now.Sub(j.arrived) <= longRunningWaitThreshold {
		return 0
	}
	n := int64(0)
	for _, o := range j.occurrences {
		for i := range o.steps {
			n += int64(o.steps[i].newTasks())
			for _, task := range o.steps[i].live {
				if task.open() && (task.unavailableSince.IsZero() || now.Sub(task.unavailableSince) > longRunningWaitThreshold) {
					n++
				}
			}
		}
	}
	return n
}

// waitingWork returns the core-seconds of the job's tasks that could start now.
func (s *Scheduler) waitingWork(j *jobState) float64 {
	sum := 0.0
	for _, o := range j.occurrences {
		for i := range o.steps {
			st := &o.steps[i]
			if st.openTasks == 0 || !o.ready(i) {
				continue
			}
			sum += float64(st.openTasks) * float64(st.def.Reservation().CPU) / 1000 * s.predictRunTime(j, st.def).Seconds()
		}
	}
	return sum
}
