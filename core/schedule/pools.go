package schedule

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule/sizing"
)

const (
	// sizingInterval is how often pools are resized.
	sizingInterval = 100 * time.Millisecond
	// arrivalDecay is the time constant over which the arrival rate of work is averaged. Bursts
	// last some seconds; with a shorter time constant a single large job would look like a
	// burst.
	arrivalDecay = 900 * time.Millisecond
	// targetWait is the time within which waiting work should begin. A machine arrives 1.5 s
	// after its order, when a burst of four seconds is already waiting. With a shorter target,
	// pools take machines from each other.
	targetWait = 400 * time.Millisecond
	// packingFraction is the fraction of a VM's capacity that tasks of mixed sizes fill.
	packingFraction = 0.85
	// peakDecay is the time constant with which a pool's peak need decays. It is longer than it
	// takes all queues to burst one after the other.
	peakDecay = 30 * time.Second
	// burstDecay is the time constant with which the CPU of a pool's bursts decays. A queue that
	// bursts every few minutes finds its VMs where they were.
	burstDecay = 15 * time.Minute
	// longRunningSpareVMs is how many VMs a pool has beyond the number that its long-running tasks
	// need if they may not share VMs, so that a task that ends can start elsewhere.
	longRunningSpareVMs = 1
	// longRunningWaitThreshold is how long a long-running task waits for capacity before its pool
	// gets a VM for it.
	longRunningWaitThreshold = 200 * time.Millisecond
)

// poolStats tracks the demand for a pool.
type poolStats struct {
	// arrivals is the arrival rate of all work, urgent that of work within the accounts' shares.
	arrivals, urgent workRate
	// peakNeed is the peak of the pool's need, in thousandths of a core. It never exceeds the
	// capacity of the fleet.
	peakNeed decayingPeak
	// burst is the peak of the CPU that arriving work keeps busy. Unlike the need it doesn't rise
	// because work waits, as it does after a failure.
	burst decayingPeak
}

// poolStats returns the statistics of a pool, which are created on first use.
func (s *Scheduler) poolStats(p job.PoolName) *poolStats {
	r := s.pools[p]
	if r == nil {
		r = &poolStats{}
		s.pools[p] = r
	}
	return r
}

// sizePools orders machines from pool to pool as demand shifts.
func (s *Scheduler) sizePools(now time.Time) {
	if s.machines.Len() == 0 {
		s.clearYielding()
		return
	}
	if s.config == nil || now.Before(s.nextSizing) {
		return
	}
	s.nextSizing = now.Add(sizingInterval)
	s.trackMoves(now)
	s.clearYielding()
	demands, capacity := s.demand(now), s.poolCapacity(now)
	if s.settings.Policy.RankedRoom && s.planRoom(now, demands, &capacity) {
		return
	}
	pools := s.poolNeeds(now, demands, &capacity)
	if sizing.Balanced(pools) {
		s.setVacating(nil)
		return
	}
	s.orderMoves(now, sizing.Plan(now, pools, s.idleMachines(now)))
	s.chooseVacating(pools)
}

// poolNeeds returns what each pool needs and what it has.
func (s *Scheduler) poolNeeds(now time.Time, demands map[job.PoolName]poolDemand, capacity *poolCapacity) []sizing.Pool {
	var out []sizing.Pool
	for i := range s.config.Pools {
		p := &s.config.Pools[i]
		x := sizing.Pool{Name: p.Name, Standby: p.Standby, Have: capacity.available[p.Name]}
		x.Used = int64(float64(capacity.used[p.Name]) / packingFraction)
		if !p.Standby {
			r := s.poolStats(p.Name)
			d := demands[p.Name]
			rate := r.arrivals.at(now)
			r.peakNeed.raise(now, min(workCPU(rate, d.waiting), float64(capacity.total())), peakDecay)
			r.burst.raise(now, workCPU(rate, 0), burstDecay)
			x.SpareWeight, x.BurstCPU = r.peakNeed.value, int64(r.burst.value)
			x.MovableCPU = int64(s.moves.Limit()) * capacity.largestVMCPU
			x.Need = d.longRunning.neededCPU(rate, d.waiting, capacity.largestVMCPU)
		}
		out = append(out, x)
	}
	return out
}

// poolCapacity is the CPU of each pool, in thousandths of a core.
type poolCapacity struct {
	// available counts the VMs that take tasks, and machines that are on their way to the pool.
	available map[job.PoolName]int64
	// used is the CPU that runs take on those VMs.
	used map[job.PoolName]int64
	// largestVMCPU is the CPU of the largest VM, as it is before any VM shrinks.
	largestVMCPU int64
}

// poolCapacity sums up the capacity and its use for each pool.
func (s *Scheduler) poolCapacity(now time.Time) poolCapacity {
	r := poolCapacity{available: map[job.PoolName]int64{}, used: map[job.PoolName]int64{}}
	for _, v := range s.vms.All() {
		if v.reported {
			r.largestVMCPU = max(r.largestVMCPU, v.capacity.CPU)
		}
		if v.host != nil {
			r.largestVMCPU = max(r.largestVMCPU, v.host.Capacity.CPU)
		}
	}
	for _, v := range s.vms.All() {
		if v.countsAsCapacity(now) {
			// An entry that no VM has confirmed yet may say anything.
			r.available[v.pool] += min(v.capacity.CPU, r.largestVMCPU)
			r.used[v.pool] += v.used.CPU
		}
	}
	for _, m := range s.machines.All() {
		switch {
		case s.evacuatedZones.has(m.Zone):
		case m.movingTo != "":
			r.available[m.movingTo] += m.Capacity.CPU
		case m.State == job.MachineMoving, m.State == job.MachineMaintenance:
			r.available[m.Pool] += m.Capacity.CPU
		}
	}
	return r
}

// total returns the CPU of all pools.
func (r *poolCapacity) total() int64 {
	sum := int64(0)
	for _, cpu := range r.available {
		sum += cpu
	}
	return sum
}

// firstReportGrace is how long a VM counts as capacity before its first report.
const firstReportGrace = 300 * time.Millisecond

// countsAsCapacity reports whether the VM counts as capacity of its pool. After a takeover while a
// zone is cut off, all VMs of that zone are listed and none has reported. If they counted, their
// pools would seem to have free capacity and would get no machines.
func (v *vmState) countsAsCapacity(now time.Time) bool {
	reported := v.reported || now.Sub(v.firstListedAt) < firstReportGrace
	return v.listed && !v.draining && !v.evacuated && !v.silent && !v.cordoned() && reported
}

// chooseVacating selects the VMs that should become idle so that their machines can move.
func (s *Scheduler) chooseVacating(pools []sizing.Pool) {
	var vms []sizing.VM
	for _, v := range s.vms.All() {
		if v.acceptsTasks() && !v.cordoned() && v.longRunningRuns == 0 && len(v.claims) == 0 {
			vms = append(vms, sizing.VM{ID: v.id, Pool: v.pool, CPU: v.capacity.CPU, Used: v.used.CPU})
		}
	}
	s.setVacating(sizing.Vacate(pools, vms))
}

// setVacating makes the VMs with the given IDs, and no others, vacating.
func (s *Scheduler) setVacating(ids []job.VMID) {
	wasVacating := map[job.VMID]bool{}
	for _, id := range s.vacating {
		if v := s.vms.Get(id); v != nil {
			v.vacating = false
			wasVacating[id] = true
		}
	}
	s.vacating = ids
	for _, id := range ids {
		v := s.vms.Get(id)
		v.vacating = true
		if !wasVacating[id] {
			s.reportDecision(Decision{Kind: VMVacated, VM: id, Reason: string(v.pool)})
		}
	}
}
