package room

import (
	"cmp"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// Machine is a machine that could move: it is idle, or off.
type Machine struct {
	ID   job.MachineID
	Pool job.PoolName
	CPU  int64
	// IdleSince is when it last ran something.
	IdleSince time.Time
	// Emptied is set if its VM was emptied so that the machine can move.
	Emptied bool
}

// Move takes a machine into another pool.
type Move struct {
	Machine job.MachineID
	From    job.PoolName
	To      job.PoolName
}

// minIdle is how long a machine must be idle before another pool may have it.
const minIdle = 150 * time.Millisecond

// Plan returns the moves to make now. Each pool in need takes machines in this order: idle ones
// beyond the total needs of their pools, machines that are off, and for urgent work idle ones
// beyond the urgent needs of their pools.
func Plan(now time.Time, pools []Pool, machines []Machine) []Move {
	p := newPlan(now, pools, machines)
	p.cover(func(x *Pool) int64 { return x.Urgent }, []keep{keepTotal, keepUrgent})
	p.cover(func(x *Pool) int64 { return x.Total }, []keep{keepTotal})
	return p.moves
}

// keep is what a pool must keep when it gives a machine away.
type keep func(x *Pool) int64

func keepTotal(x *Pool) int64  { return x.Total }
func keepUrgent(x *Pool) int64 { return x.Urgent }

// plan is the state of one planning round. Its pools reflect the moves that are already planned.
type plan struct {
	now      time.Time
	pools    []Pool
	byName   map[job.PoolName]*Pool
	machines []Machine
	moved    map[job.MachineID]bool
	moves    []Move
}

func newPlan(now time.Time, pools []Pool, machines []Machine) *plan {
	p := &plan{now: now, byName: map[job.PoolName]*Pool{}, machines: slices.Clone(machines), moved: map[job.MachineID]bool{}}
	p.pools = level(pools, FleetCPU(pools, machines))
	for i := range p.pools {
		p.byName[p.pools[i].Name] = &p.pools[i]
	}
	// The machine that became idle last goes first, so that the others stay as they are.
	slices.SortFunc(p.machines, func(a, b Machine) int {
		return cmp.Or(b.IdleSince.Compare(a.IdleSince), cmp.Compare(a.ID, b.ID))
	})
	return p
}

// FleetCPU returns the CPU of all pools and of the machines that are off.
func FleetCPU(pools []Pool, machines []Machine) int64 {
	standby := map[job.PoolName]bool{}
	sum := int64(0)
	for _, p := range pools {
		standby[p.Name] = p.Standby
		if !p.Standby {
			sum += p.Have
		}
	}
	for _, m := range machines {
		if standby[m.Pool] {
			sum += m.CPU
		}
	}
	return sum
}

// cover moves machines to the pools that have less than needed, the one that needs least first.
// Donors keep what each stage in turn says. Machines that are off go after the first stage.
func (p *plan) cover(needed func(x *Pool) int64, stages []keep) {
	short := p.shortOf(needed)
	for stage, kept := range stages {
		for _, to := range short {
			p.coverFrom(to, needed, func(m Machine, from *Pool) bool { return !from.Standby && p.mayGive(m, from, kept) })
		}
		if stage > 0 {
			continue
		}
		for _, to := range short {
			p.coverFrom(to, needed, func(_ Machine, from *Pool) bool { return from.Standby })
		}
	}
}

// shortOf returns the pools that have less than needed, the one that needs least first.
func (p *plan) shortOf(needed func(x *Pool) int64) []*Pool {
	var out []*Pool
	for i := range p.pools {
		if x := &p.pools[i]; !x.Standby && needed(x) > x.Have {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b *Pool) int {
		return cmp.Or(cmp.Compare(needed(a), needed(b)), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// coverFrom moves machines that the function allows to a pool until it has what is needed.
func (p *plan) coverFrom(to *Pool, needed func(x *Pool) int64, allowed func(m Machine, from *Pool) bool) {
	for _, m := range p.machines {
		// A move isn't worthwhile if less than half of the machine is needed.
		if needed(to)-to.Have < m.CPU/2 {
			return
		}
		from := p.byName[m.Pool]
		if from == nil || from == to || p.moved[m.ID] || !allowed(m, from) {
			continue
		}
		p.move(m, from, to)
	}
}

// mayGive reports whether a pool may give the machine away and keep what it must.
func (p *plan) mayGive(m Machine, from *Pool, kept keep) bool {
	idleLongEnough := m.Emptied || p.now.Sub(m.IdleSince) >= minIdle
	return idleLongEnough && from.Have-m.CPU >= kept(from)
}

// move adds a move to the plan.
func (p *plan) move(m Machine, from, to *Pool) {
	p.moved[m.ID] = true
	from.Have -= m.CPU
	to.Have += m.CPU
	p.moves = append(p.moves, Move{Machine: m.ID, From: from.Name, To: to.Name})
}
