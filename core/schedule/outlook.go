package schedule

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lavenderpond/core/admission"
	"lavenderpond/core/job"
)

const (
	// outlookInterval is how often the outlook is computed.
	outlookInterval = 100 * time.Millisecond
	// drainTime is how long the tasks on a machine usually take to end.
	drainTime = 1500 * time.Millisecond
	// pausedTime is how long a VM that gets no tasks for a while is assumed to stay so.
	pausedTime = time.Second
	// arrivalStep is the resolution of arrival times.
	arrivalStep = 250 * time.Millisecond
	// minRunFraction is the part of its predicted run time that a running task still needs
	// at least.
	minRunFraction = 0.1
	// maxOutlookPools and maxOutlookAccounts bound the size of an outlook. The pools with the
	// most waiting work are listed; the others count as having room.
	maxOutlookPools    = 8
	maxOutlookAccounts = 48
)

// outlook holds the last forecast for admission.
type outlook struct {
	forecast admission.Forecast
	expires  time.Time
}

// poolOutlook is a pool on the way into a forecast.
type poolOutlook struct {
	admission.Pool
	queues  map[job.QueueName]*admission.Queue
	waiting admission.CoreSeconds
	inTime  admission.CoreSeconds
	// cpu and free are the capacity of the VMs that take tasks and its unused part, in
	// thousandths of a core.
	cpu, free int64
	arriving  map[time.Duration]int64
}

// full reports whether work waits in the pool and its VMs have no room for it. Of a pool without
// any known capacity, as after a takeover, nothing can be predicted.
func (p *poolOutlook) full() bool {
	known := p.cpu > 0 || len(p.arriving) > 0
	return known && p.waiting > 0 && float64(p.free) <= (1-packingFraction)*float64(p.cpu)
}

// Outlook returns the forecast for admission: the pools that are full and in which work waits
// for room. It may be up to outlookInterval old, and is computed after Assign has given the
// waiting work the room that there is. fresh reports whether it was computed by this call.
func (s *Scheduler) Outlook(now time.Time) (f admission.Forecast, fresh bool) {
	fresh = s.config != nil && !now.Before(s.outlook.expires)
	if fresh {
		s.outlook = outlook{s.computeOutlook(now), now.Add(outlookInterval)}
	}
	return s.outlook.forecast, fresh
}

func (s *Scheduler) computeOutlook(now time.Time) admission.Forecast {
	pools := map[job.PoolName]*poolOutlook{}
	for _, j := range s.jobs.All() {
		if p := s.pool(j); pools[p] == nil && !j.over() && !j.longRunning && s.waitsForRoom(j) {
			pools[p] = &poolOutlook{queues: map[job.QueueName]*admission.Queue{}, arriving: map[time.Duration]int64{}}
		}
	}
	if len(pools) == 0 {
		return admission.Forecast{}
	}
	s.addWork(now, pools)
	movable := s.addCapacity(now, pools)
	maps.DeleteFunc(pools, func(_ job.PoolName, p *poolOutlook) bool { return !p.full() })
	listed := slices.SortedFunc(maps.Values(pools), func(a, b *poolOutlook) int {
		return cmp.Or(cmp.Compare(b.waiting, a.waiting), cmp.Compare(a.Name, b.Name))
	})
	listed = listed[:min(len(listed), maxOutlookPools)]
	var f admission.Forecast
	for i, share := range movableShares(listed) {
		listed[i].addMovable(movable, share, s.settings.MachineMoveTime)
		f.Pools = append(f.Pools, listed[i].finish())
	}
	if f.Scarce() {
		f.BeyondShare = s.accountsBeyondShare(now)
	}
	return f
}

// waitsForRoom reports whether a task of the job could start if there were room.
func (s *Scheduler) waitsForRoom(j *jobState) bool {
	if j.inherited && s.mayRunOnUnreportedVM(j) {
		return false
	}
	a := assignment{s: s}
	for _, o := range j.occurrences {
		for i := range o.steps {
			st := &o.steps[i]
			if st.openTasks > 0 && o.due.IsZero() && o.ready(i) && a.s.withinQuota(j, st.def.Resources) {
				return true
			}
		}
	}
	return false
}

// addWork adds the running and waiting work of the pools.
func (s *Scheduler) addWork(now time.Time, pools map[job.PoolName]*poolOutlook) {
	for _, j := range s.jobs.All() {
		p := pools[s.pool(j)]
		if p == nil || j.over() || j.longRunning {
			continue
		}
		p.Name = s.pool(j)
		running, waiting := s.splitWork(now, j)
		p.Running += running
		if waiting == 0 || !s.waitsForRoom(j) {
			continue
		}
		p.waiting += waiting
		q := s.queueOutlook(p, j)
		switch s.rateJob(now, j).rank {
		case rankInTime:
			q.InTime += waiting
			p.inTime += waiting
		case rankLate:
			q.Late += waiting
		case rankBeyondShare:
			q.BeyondShare += waiting
		case rankLongRunning, rankTooLate:
			// Long-running jobs are left out above, and useless ones come after a new job.
		}
	}
	for name, p := range pools {
		r := s.poolStats(name)
		p.ArrivalRate = admission.CoreSeconds(r.arrivals.at(now))
	}
}

// queueOutlook returns the entry of the job's queue in the pool's outlook.
func (s *Scheduler) queueOutlook(p *poolOutlook, j *jobState) *admission.Queue {
	q := p.queues[j.Terms.Queue]
	if q == nil {
		q = &admission.Queue{Name: j.Terms.Queue, Priority: j.Terms.Priority}
		if known := s.queueStats(j.Terms.Queue); known.runs >= minSamples {
			q.RunSeconds = roundTo(math.Exp(known.typical.MeanLogRunTime), 1000)
			q.EstimateSeconds = roundTo(math.Exp(known.typical.MeanLogEstimate), 1000)
			if known.steps >= minSamples {
				q.StragglerRatio = roundTo(known.stragglerRatio, 100)
			}
		}
		p.queues[j.Terms.Queue] = q
	}
	return q
}

// splitWork returns the work that the job's running tasks and its other tasks still need.
func (s *Scheduler) splitWork(now time.Time, j *jobState) (running, waiting admission.CoreSeconds) {
	for _, o := range j.occurrences {
		for i := range o.steps {
			st := &o.steps[i]
			if st.complete() {
				continue
			}
			r, w := st.splitWork(now, s.predictRunTime(j, st.def))
			running, waiting = running+r, waiting+w
		}
	}
	return running, waiting
}

// splitWork returns the work that the step's running tasks and its other tasks still need if a task
// runs for the given time. Steps that haven't begun need no look at each task.
func (st *stepState) splitWork(now time.Time, run time.Duration) (running, waiting admission.CoreSeconds) {
	cores := float64(st.def.Reservation().CPU) / 1000
	if st.openTasks == st.def.Count {
		return 0, admission.CoreSeconds(cores * run.Seconds() * float64(st.openTasks))
	}
	waiting = admission.CoreSeconds(cores * run.Seconds() * float64(st.newTasks()))
	for _, task := range st.live {
		switch {
		case task.done:
		case len(task.runs) > 0:
			left := run - now.Sub(task.runs[0].orderedAt)
			running += admission.CoreSeconds(cores * max(left.Seconds(), minRunFraction*run.Seconds()))
		default:
			waiting += admission.CoreSeconds(cores * run.Seconds())
		}
	}
	return running, waiting
}

// accountsBeyondShare returns the accounts whose next job would be beyond their share.
func (s *Scheduler) accountsBeyondShare(now time.Time) []job.AccountName {
	var out []job.AccountName
	for _, name := range slices.Sorted(maps.Keys(s.shares)) {
		a, x := s.config.Account(name), s.shares[name]
		if a != nil && a.Weight > 0 && x.tokens+a.Weight*now.Sub(x.updatedAt).Seconds() < 1 {
			out = append(out, name)
		}
	}
	return out[:min(len(out), maxOutlookAccounts)]
}
