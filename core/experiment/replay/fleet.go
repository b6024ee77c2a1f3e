package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/queue"
	"lavenderpond/core/retry"
	"lavenderpond/core/route"
)

// vm is a simulated target.
type vm struct {
	id core.VMID
	// originalPool is the pool in which the VM started, pool the one in which it is now.
	// index is its number within originalPool.
	originalPool, pool, index, zone int
	// speed is relative to a normal VM. Run times are divided by it.
	speed   float64
	running core.Slots
	// moving marks a VM that takes no new work because it moves to the pool moveTo. It
	// first finishes its work; moveAt is then set to the time at which it joins the pool.
	moving bool
	moveTo int
	moveAt time.Time
}

// entry is a simulated entry VM that uses the real decision code.
type entry struct {
	zone   int
	queue  queue.Queue
	router route.Router
	budget retry.Budget
}

// A slowFraction of the VMs runs at slowSpeed, the others at speed 1.
const (
	slowFraction = 0.2
	slowSpeed    = 0.5
)

// maxEjected is the maximum number of targets of a pool that an entry may eject within a
// zone. It is what remains of the pool's availability budget.
const maxEjected = 1

func newFleet(rng *rand.Rand) []*vm {
	var vms []*vm
	for p := range pools {
		for i := range vmsPerPool {
			speed := 1.0
			if rng.Float64() < slowFraction {
				speed = slowSpeed
			}
			id := core.VMID(fmt.Sprintf("vm%d-%02d", p, i))
			vms = append(vms, &vm{id: id, originalPool: p, pool: p, index: i, zone: i % zones, speed: speed})
		}
	}
	return vms
}

func newEntries(w Workload, p Policy, seed uint64) []*entry {
	var entries []*entry
	for i := range zones * entriesPerZone {
		rng := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(i)<<8|stream)) }
		e := &entry{zone: i % zones, queue: p.Queue(w, rng(1)), router: p.Router(rng(2)), budget: unlimitedRetries{}}
		if p.Budget != nil {
			e.budget = p.Budget(rng(3))
		}
		entries = append(entries, e)
	}
	return entries
}

// updateRouters passes the targets that accept new work to the routers of a zone's
// entries.
func (s *simulation) updateRouters(zone int) {
	slots := core.Slots(slotsPerVM)
	if s.policy.SplitSlots {
		slots /= entriesPerZone
	}
	var targets []route.Target
	for _, v := range s.vms {
		if v.zone == zone && !v.moving {
			targets = append(targets, route.Target{VM: v.id, Pool: poolID(v.pool), Slots: slots, Connections: connections})
		}
	}
	var list []route.Pool
	for p := range pools {
		list = append(list, route.Pool{ID: poolID(p), LendsIdle: s.policy.Overflow, MaxEjected: maxEjected})
	}
	for _, e := range s.entries {
		if e.zone == zone {
			e.router.Update(s.now, targets, list)
		}
	}
}

// moveDelay is how long a moving VM stays out of both pools after it finished its work. It
// is longer than a burst.
const moveDelay = 15 * time.Second

// moveThreshold is the number of waiting requests of a queue in a zone at which a VM is
// moved to the queue's pool.
const moveThreshold = slotsPerVM

// planMoves moves VMs to pools with a backlog. At most one VM per pool and zone is out at
// a time, which is the availability budget.
func (s *simulation) planMoves() {
	for zone := range zones {
		s.finishMoves(zone)
		for q := range queues {
			if s.waitingIn(zone, q) >= moveThreshold {
				s.startMove(zone, q)
			}
		}
	}
}

func (s *simulation) finishMoves(zone int) {
	changed := false
	for _, v := range s.vms {
		if v.zone != zone || !v.moving || v.running > 0 {
			continue
		}
		if v.moveAt.IsZero() {
			v.moveAt = s.now.Add(moveDelay)
		}
		if s.now.Before(v.moveAt) {
			continue
		}
		v.moving, v.pool, v.moveAt = false, v.moveTo, time.Time{}
		changed = true
	}
	if changed {
		s.updateRouters(zone)
	}
}

// startMove starts to move the least busy VM of the other pools that have no backlog.
func (s *simulation) startMove(zone, to int) {
	moving := make(map[int]bool)
	remaining := make(map[int]int)
	for _, v := range s.vms {
		if v.zone == zone && v.moving {
			moving[v.pool] = true
		} else if v.zone == zone {
			remaining[v.pool]++
		}
	}
	var best *vm
	for _, v := range s.vms {
		if v.zone != zone || v.pool == to || moving[v.pool] || remaining[v.pool] < 2 || s.waitingIn(zone, v.pool) > 0 {
			continue
		}
		if best == nil || v.running < best.running {
			best = v
		}
	}
	if best == nil {
		return
	}
	best.moving, best.moveTo = true, to
	s.counters.moves++
	s.updateRouters(zone)
}

func (s *simulation) waitingIn(zone, q int) int {
	n := 0
	for _, e := range s.entries {
		if e.zone == zone {
			n += e.queue.Len(queueID(q))
		}
	}
	return n
}
