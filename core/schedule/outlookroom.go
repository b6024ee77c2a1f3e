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

// addCapacity adds the capacity of the pools, now and on its way. It returns the CPU of idle
// machines of other pools, which may be moved, in thousandths of a core.
func (s *Scheduler) addCapacity(now time.Time, pools map[job.PoolName]*poolOutlook) (spare int64) {
	for _, v := range s.vms.All() {
		p := pools[v.pool]
		switch {
		case p != nil && s.usable(now, v):
			p.cpu += v.capacity.CPU
			p.free += max(0, v.freeCapacity().CPU)
		case p != nil && (v.countsAsCapacity(now) || v.awaitsReport()):
			p.arriving[pausedTime] += v.capacity.CPU
		case p == nil && v.runs.Len() == 0 && s.usable(now, v):
			spare += v.capacity.CPU
		}
	}
	for _, m := range s.machines.All() {
		if s.evacuatedZones.has(m.Zone) {
			continue
		}
		switch {
		case m.movingTo != "":
			if p := pools[m.movingTo]; p != nil {
				p.arriving[m.arrivesIn(now)] += m.Capacity.CPU
			}
		case m.State == job.MachineMoving:
			if p := pools[m.Pool]; p != nil {
				p.arriving[pausedTime] += m.Capacity.CPU
			}
		case m.State == job.MachineUp && s.isStandby(m.Pool):
			spare += m.Capacity.CPU
		}
	}
	return spare
}

// awaitsReport reports whether the VM takes tasks once it has reported to this owner.
func (v *vmState) awaitsReport() bool {
	return v.listed && !v.reported && !v.silent && !v.draining && !v.evacuated && !v.cordoned
}

func (s *Scheduler) isStandby(n job.PoolName) bool {
	p := s.config.Pool(n)
	return p != nil && p.Standby
}

// arrivesIn returns how long it takes until a moving machine takes tasks.
func (m *machineState) arrivesIn(now time.Time) time.Duration {
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
