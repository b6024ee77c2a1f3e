package room

import (
	"cmp"
	"slices"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule/sizing"
)

// Plan returns the moves to make now. Each pool in need takes machines in this order: idle ones
// beyond the total needs of their pools, machines that are off, and for urgent work idle ones
// beyond the urgent needs of their pools.
func Plan(now time.Time, pools []Pool, machines []sizing.Machine) []sizing.Move {
	p := newPlan(now, pools, machines)
	p.cover(urgent, []amount{total, urgent})
	p.cover(total, []amount{total})
	return p.moves
}

// plan is the state of one planning round. Its pools reflect the moves that are already planned.
type plan struct {
	now      time.Time
	pools    []Pool
	byName   map[job.PoolName]*Pool
	machines []sizing.Machine
	moved    map[job.MachineID]bool
	moves    []sizing.Move
}

func newPlan(now time.Time, pools []Pool, machines []sizing.Machine) *plan {
	p := &plan{now: now, byName: map[job.PoolName]*Pool{}, machines: slices.Clone(machines), moved: map[job.MachineID]bool{}}
	p.pools = level(pools, FleetCPU(pools, machines))
	for i := range p.pools {
		p.byName[p.pools[i].Name] = &p.pools[i]
	}
	// The machine that became idle last goes first, so that the others stay as they are.
	slices.SortFunc(p.machines, func(a, b sizing.Machine) int {
		return cmp.Or(b.IdleSince.Compare(a.IdleSince), cmp.Compare(a.ID, b.ID))
	})
	return p
}

// FleetCPU returns the CPU of all pools and of the machines that are off.
func FleetCPU(pools []Pool, machines []sizing.Machine) int64 {
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
// Donors keep the amount of each stage in turn. Machines that are off go after the first stage.
func (p *plan) cover(needed amount, stages []amount) {
	short := p.shortOf(needed)
	for stage, kept := range stages {
		for _, to := range short {
			p.coverFrom(to, needed, func(m sizing.Machine, from *Pool) bool { return !from.Standby && p.mayGive(m, from, kept) })
		}
		if stage > 0 {
			continue
		}
		for _, to := range short {
			p.coverFrom(to, needed, func(_ sizing.Machine, from *Pool) bool { return from.Standby })
		}
	}
}

// shortOf returns the pools that have less than needed, the one that needs least first.
func (p *plan) shortOf(needed amount) []*Pool {
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
func (p *plan) coverFrom(to *Pool, needed amount, allowed func(m sizing.Machine, from *Pool) bool) {
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
func (p *plan) mayGive(m sizing.Machine, from *Pool, kept amount) bool {
	idleLongEnough := m.Vacated || p.now.Sub(m.IdleSince) >= sizing.MinIdle
	return idleLongEnough && from.Have-m.CPU >= kept(from)
}

// move adds a move to the plan.
func (p *plan) move(m sizing.Machine, from, to *Pool) {
	p.moved[m.ID] = true
	from.Have -= m.CPU
	to.Have += m.CPU
	p.moves = append(p.moves, sizing.Move{Machine: m.ID, From: from.Name, To: to.Name})
}
