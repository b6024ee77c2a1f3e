package schedule

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/room"
)

// planRoom orders machines from pool to pool by the rank of the work that waits there. It reports
// whether it has ordered a machine or emptied a VM. If not, the rank makes no difference.
func (s *Scheduler) planRoom(now time.Time, demands map[job.PoolName]poolDemand, capacity *poolCapacity) bool {
	pools := s.roomPools(now, demands, capacity)
	return room.Scarce(pools) && s.orderRoom(now, pools)
}

// orderRoom orders the moves for the pools, and empties VMs. It reports whether there were any.
func (s *Scheduler) orderRoom(now time.Time, pools []room.Pool) bool {
	machines := s.idleMachines(now)
	moves := room.Plan(now, pools, machines)
	s.orderMoves(now, moves)
	emptied := s.emptyVMs(now, pools, room.FleetCPU(pools, machines))
	return len(moves) > 0 || emptied
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
