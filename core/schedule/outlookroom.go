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

// movable is the CPU, in thousandths of a core, of machines that other pools don't need: idle ones,
// and those that will be idle once their tasks have ended.
type movable struct{ idle, busy int64 }

// addCapacity adds the capacity of the pools, now and on its way, and returns what may be moved to
// them from other pools.
func (s *Scheduler) addCapacity(now time.Time, pools map[job.PoolName]*poolOutlook) movable {
	var out movable
	busy := map[job.PoolName]int64{}
	for _, v := range s.vms.All() {
		p := pools[v.pool]
		usable := s.usable(now, v) && !now.Before(v.fullUntil)
		switch {
		case p != nil && usable:
			p.cpu += v.capacity.CPU
			p.free += max(0, v.freeCapacity().CPU)
		case p != nil && (v.countsAsCapacity(now) || v.awaitsReport()):
			p.arriving[pausedTime] += v.capacity.CPU
		case p == nil && usable && v.runs.Len() == 0:
			out.idle += v.capacity.CPU
		}
		if usable && v.longRunningRuns == 0 && (v.runs.Len() > 0 || p != nil) {
			busy[v.pool] += v.capacity.CPU
		}
	}
	for name, cpu := range busy {
		if p := pools[name]; p == nil || p.inTime == 0 {
			r := s.poolStats(name)
			out.busy += max(0, cpu-int64(1000*r.arrivals.at(now)/packingFraction))
		}
	}
	out.idle += s.addMachines(now, pools)
	return out
}

// addMachines adds the machines that move to the pools, and returns the CPU of those on standby.
func (s *Scheduler) addMachines(now time.Time, pools map[job.PoolName]*poolOutlook) (standby int64) {
	for _, m := range s.machines.All() {
		if s.evacuatedZones.has(m.Zone) {
			continue
		}
		switch {
		case m.movingTo != "":
			if p := pools[m.movingTo]; p != nil {
				p.arriving[m.arrivesIn(now, s.settings.MachineMoveTime)] += m.Capacity.CPU
			}
		case m.State == job.MachineMoving:
			if p := pools[m.Pool]; p != nil {
				p.arriving[pausedTime] += m.Capacity.CPU
			}
		case m.State == job.MachineUp && s.isStandby(m.Pool):
			standby += m.Capacity.CPU
		}
	}
	return standby
}

// movableShares returns the share of each pool in the machines that may be moved, by the work that
// can still be in time.
func movableShares(pools []*poolOutlook) []float64 {
	out := make([]float64, len(pools))
	total := admission.CoreSeconds(0)
	for _, p := range pools {
		total += p.inTime
	}
	for i, p := range pools {
		if total > 0 {
			out[i] = float64(p.inTime / total)
		}
	}
	return out
}

// addMovable adds a share of the machines that may be moved, which takes moveTime.
func (p *poolOutlook) addMovable(m movable, share float64, moveTime time.Duration) {
	p.arriving[moveTime] += int64(share * float64(m.idle))
	p.arriving[moveTime+drainTime] += int64(share * float64(m.busy))
}

// awaitsReport reports whether the VM takes tasks once it has reported to this owner.
func (v *vmState) awaitsReport() bool {
	return v.listed && !v.reported && !v.silent && !v.draining && !v.evacuated && !v.cordoned()
}

func (s *Scheduler) isStandby(n job.PoolName) bool {
	p := s.config.Pool(n)
	return p != nil && p.Standby
}

// arrivesIn returns how long it takes until a moving machine takes tasks, if a move takes moveTime.
func (m *machineState) arrivesIn(now time.Time, moveTime time.Duration) time.Duration {
	left := moveTime
	if !m.answeredAt.IsZero() {
		left = m.answeredAt.Add(moveTime).Sub(now)
	}
	return max(arrivalStep, left.Round(arrivalStep))
}

// finish returns the pool as the forecast lists it. Tasks of mixed sizes fill only a part of
// the capacity.
func (p *poolOutlook) finish() admission.Pool {
	out := p.Pool
	cores := func(cpu int64) admission.Cores {
		return admission.Cores(roundTo(packingFraction*float64(cpu)/1000, 10))
	}
	out.Cores, out.Running, out.ArrivalRate = cores(p.cpu), roundWork(p.Running), roundWork(p.ArrivalRate)
	for _, after := range slices.Sorted(maps.Keys(p.arriving)) {
		if c := cores(p.arriving[after]); c > 0 {
			out.Arriving = append(out.Arriving, admission.Arrival{AfterMS: after.Milliseconds(), Cores: c})
		}
	}
	for _, q := range p.queues {
		q.InTime, q.Late, q.BeyondShare = roundWork(q.InTime), roundWork(q.Late), roundWork(q.BeyondShare)
		out.Queues = append(out.Queues, *q)
	}
	slices.SortFunc(out.Queues, func(a, b admission.Queue) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func roundWork(w admission.CoreSeconds) admission.CoreSeconds {
	return admission.CoreSeconds(roundTo(float64(w), 10))
}

// roundTo rounds v to a multiple of one part of a unit.
func roundTo(v, parts float64) float64 { return math.Round(v*parts) / parts }
