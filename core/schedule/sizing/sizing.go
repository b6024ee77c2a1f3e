// Package sizing decides which machines change their pool: queues burst in turn
// to more than their own pool holds while the fleet as a whole has room.
package sizing

import (
	"cmp"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// Pool is what one pool needs and has.
type Pool struct {
	Name job.PoolName
	// Standby pools hold machines that are off.
	Standby bool
	// Need is the CPU that the pool should have, in thousandths of a core.
	Need int64
	// Have is the CPU of its VMs that take tasks, and of machines on their way.
	Have int64
	// Used is the CPU that its tasks fill, with the loss of packing.
	Used int64
	// SpareWeight is the pool's claim to machines that no pool needs, against those of the others.
	SpareWeight float64
}

// Machine is a machine that could move: it runs nothing.
type Machine struct {
	ID   job.MachineID
	Pool job.PoolName
	Zone job.ZoneName
	CPU  int64
	// IdleSince is when it last ran something.
	IdleSince time.Time
	// Vacated is set if its VM was emptied so that it can move.
	Vacated bool
	// standby is set if it stands in a standby pool.
	standby bool
}

// Move takes a machine into another pool.
type Move struct {
	Machine job.MachineID
	From    job.PoolName
	To      job.PoolName
}

const (
	// minIdle is how long a machine stands idle before another pool may have it.
	minIdle = 150 * time.Millisecond
)

// Plan returns the moves to make now. Pools that lack the most come first. They
// get idle machines that other pools can spare, and then machines that are off. If none
// lacks any, idle machines go where they may be needed next.
// No machine is switched off again: the queues burst one after the other, and each
// burst found its machines a move later than it needed them.
func Plan(now time.Time, pools []Pool, machines []Machine) []Move {
	p := newPlan(pools, machines)
	short := p.underprovisioned()
	for _, x := range short {
		p.fill(now, x)
	}
	if len(short) == 0 {
		p.spread(now)
	}
	return p.moves
}

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
	// The last to fall idle go first, so that the others stay as they are; machines
	// that are off stand last, since those that run cost something where they are.
	for i := range p.machines {
		x := p.pools[p.machines[i].Pool]
		p.machines[i].standby = x != nil && x.Standby
	}
	slices.SortFunc(p.machines, compareMachines)
	return p
}

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

// underprovisioned returns the pools that need more than they have, the worst first.
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

func (p *plan) fill(now time.Time, to *Pool) {
	for _, m := range p.machines {
		// A machine for less than half of its room isn't worth its move.
		if to.Need-to.Have < m.CPU/2 {
			return
		}
		if p.moved[m.ID] || m.Pool == to.Name || !p.canSpare(now, m) {
			continue
		}
		p.move(m, to)
	}
}

// canSpare tells whether the machine's pool can do without it.
func (p *plan) canSpare(now time.Time, m Machine) bool {
	if m.standby {
		return true
	}
	from := p.pools[m.Pool]
	idleLongEnough := m.Vacated || now.Sub(m.IdleSince) >= minIdle
	return from != nil && idleLongEnough && from.Have-m.CPU >= from.Need
}

func (p *plan) move(m Machine, to *Pool) {
	p.moved[m.ID] = true
	if from := p.pools[m.Pool]; !from.Standby {
		from.Have -= m.CPU
	}
	to.Have += m.CPU
	p.moves = append(p.moves, Move{Machine: m.ID, From: m.Pool, To: to.Name})
}
