// Package sizing decides which machines move to another pool. Queues burst one after the other
// to more work than their own pool can hold, while the fleet as a whole has enough capacity.
package sizing

import (
	"cmp"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// Pool is what a pool needs and what it has.
type Pool struct {
	Name job.PoolName
	// Standby pools hold machines that are off.
	Standby bool
	// Need is the CPU that the pool should have, in thousandths of a core.
	Need int64
	// Have is the CPU of its VMs that take tasks, and of machines on their way to it.
	Have int64
	// Used is the CPU that its tasks need, including what is lost to packing.
	Used int64
	// SpareWeight is the pool's weight in dividing up machines that no pool needs.
	SpareWeight float64
	// BurstCPU is the CPU that recent bursts of its queues kept busy.
	BurstCPU int64
	// MovableCPU is the CPU of the machines that can be moved to the pool at once.
	MovableCPU int64
}

// Machine is an idle machine, which could move.
type Machine struct {
	ID   job.MachineID
	Pool job.PoolName
	Zone job.ZoneName
	CPU  int64
	// IdleSince is when it last ran something.
	IdleSince time.Time
	// Vacated is set if its VM was emptied so that it can move.
	Vacated bool
	// standby is set if the machine is in a standby pool.
	standby bool
}

// Move takes a machine into another pool.
type Move struct {
	Machine job.MachineID
	From    job.PoolName
	To      job.PoolName
}

// MinIdle is how long a machine must be idle before another pool may have it.
const MinIdle = 150 * time.Millisecond

// Balanced reports whether Plan has no moves to make, whatever the machines.
func Balanced(pools []Pool) bool {
	p := newPlan(pools, nil)
	return len(p.underprovisioned()) == 0 && !p.uneven()
}

// Plan returns the moves to make now, the most urgent first. Pools with the largest shortfall come
// first. They get idle machines that other pools can spare, and then machines that are off. If no
// pool is short, idle machines go to where they are likely to be needed next.
func Plan(now time.Time, pools []Pool, machines []Machine) []Move {
	p := newPlan(pools, machines)
	short := p.underprovisioned()
	for _, x := range short {
		p.coverShortfall(now, x)
	}
	if len(short) == 0 {
		p.spread(now)
	}
	return p.moves
}

// plan is the state of one planning round. Its pools reflect the moves that are already
// planned.
type plan struct {
	pools    map[job.PoolName]*Pool
	machines []Machine
	moved    map[job.MachineID]bool
	moves    []Move
}

func newPlan(pools []Pool, machines []Machine) *plan {
	p := &plan{pools: map[job.PoolName]*Pool{}, machines: slices.Clone(machines), moved: map[job.MachineID]bool{}}
	for _, x := range pools {
		p.pools[x.Name] = &x
	}
	// The machine that became idle last goes first, so that the others stay as they are.
	// Machines that are off come last, since the running ones cost something where they are.
	for i := range p.machines {
		x := p.pools[p.machines[i].Pool]
		p.machines[i].standby = x != nil && x.Standby
	}
	slices.SortFunc(p.machines, compareMachines)
	return p
}

// compareMachines orders machines by preference for moving.
func compareMachines(a, b Machine) int {
	switch {
	case a.standby != b.standby && b.standby:
		return -1
	case a.standby != b.standby:
		return 1
	case !a.IdleSince.Equal(b.IdleSince):
		return b.IdleSince.Compare(a.IdleSince)
	}
	return cmp.Compare(a.ID, b.ID)
}

// underprovisioned returns the pools that need more than they have, the largest shortfall
// first.
func (p *plan) underprovisioned() []*Pool {
	var out []*Pool
	for _, x := range p.pools {
		if !x.Standby && x.Need > x.Have {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b *Pool) int {
		return cmp.Or(cmp.Compare(b.Need-b.Have, a.Need-a.Have), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// coverShortfall moves machines to a pool until its shortfall is covered.
func (p *plan) coverShortfall(now time.Time, to *Pool) {
	for _, m := range p.machines {
		// A move isn't worthwhile if less than half of the machine is needed.
		if to.Need-to.Have < m.CPU/2 {
			return
		}
		if p.moved[m.ID] || m.Pool == to.Name || !p.canSpare(now, m) {
			continue
		}
		p.move(m, to)
	}
}

// canSpare reports whether the machine's pool can do without it.
func (p *plan) canSpare(now time.Time, m Machine) bool {
	if m.standby {
		return true
	}
	from := p.pools[m.Pool]
	idleLongEnough := m.Vacated || now.Sub(m.IdleSince) >= MinIdle
	return from != nil && idleLongEnough && from.Have-m.CPU >= from.Need
}

// move adds a move to the plan.
func (p *plan) move(m Machine, to *Pool) {
	p.moved[m.ID] = true
	if from := p.pools[m.Pool]; !from.Standby {
		from.Have -= m.CPU
	}
	to.Have += m.CPU
	p.moves = append(p.moves, Move{Machine: m.ID, From: m.Pool, To: to.Name})
}
