package schedule

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/room"
)

// planRoom orders machines from pool to pool by the rank of the work that waits there. It reports
// whether the rank makes a difference; if not, it does nothing.
func (s *Scheduler) planRoom(now time.Time, demands map[job.PoolName]poolDemand, capacity *poolCapacity) bool {
	pools := s.roomPools(now, demands, capacity)
	if !room.Scarce(pools) {
		return false
	}
	machines := s.idleMachines(now)
	for _, m := range room.Plan(now, pools, machines) {
		s.orderMove(now, m)
	}
	s.emptyVMs(now, pools, room.FleetCPU(pools, machines))
	return true
}

// roomPools returns what the work of each pool needs and what it has.
func (s *Scheduler) roomPools(now time.Time, demands map[job.PoolName]poolDemand, capacity *poolCapacity) []room.Pool {
	out := make([]room.Pool, 0, len(s.config.Pools))
	for i := range s.config.Pools {
		p := &s.config.Pools[i]
		x := room.Pool{Name: p.Name, Standby: p.Standby, Have: capacity.available[p.Name]}
		if d := demands[p.Name]; !p.Standby {
			r := s.poolStats(p.Name)
			running := int64(float64(capacity.used[p.Name]-d.lateRunning) / packingFraction)
			x.Urgent = max(d.longRunning.neededCPU(r.urgent.at(now), d.urgentWaiting, capacity.largestVMCPU), running)
			used := int64(float64(capacity.used[p.Name]) / packingFraction)
			x.Total = max(x.Urgent, d.longRunning.neededCPU(r.arrivals.at(now), d.waiting, capacity.largestVMCPU), used)
		}
		out = append(out, x)
	}
	return out
}
