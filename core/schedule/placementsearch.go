package schedule

import (
	"slices"

	"lavenderpond/core/job"
)

const (
	// searchWidth is how many VMs a search tries for a task, and maxSearchSteps how many tasks it places
	// in all. Both bound the time that a round takes.
	searchWidth    = 8
	maxSearchSteps = 300
	// maxSearchVMs is the size of a pool from which on only the best VM is tried. The larger a pool, the
	// less it matters which of its VMs a task takes.
	maxSearchVMs = 64
)

// placementSearch looks for a place elsewhere for each task of a VM, or lets it stay away during the
// maintenance.
type placementSearch struct {
	a                *relocations
	width, stepsLeft int
	plan             emptyingPlan
	away             map[job.StepID]int
	// obstacle is the step of a task that found no place.
	obstacle string
}

// place finds a place for the task of each run. If there is none, it reports false and plans nothing.
func (p *placementSearch) place(runs []*run) bool {
	if len(runs) == 0 {
		return true
	}
	r := runs[0]
	if p.stepsLeft--; p.stepsLeft < 0 {
		return false
	}
	for _, to := range p.candidates(r) {
		p.add(r, to)
		if p.place(runs[1:]) {
			return true
		}
		p.remove(r, to)
	}
	if !p.mayBeAway(r) {
		p.obstacle = stepName(r.task)
		return false
	}
	p.away[r.task.StepID()]++
	p.plan.away = append(p.plan.away, r)
	if p.place(runs[1:]) {
		return true
	}
	p.plan.away = p.plan.away[:len(p.plan.away)-1]
	p.away[r.task.StepID()]--
	return false
}

// candidates returns the VMs to try for the task of a run, the best first. A claim is kept.
func (p *placementSearch) candidates(r *run) []*vmState {
	if c := p.a.s.claims.Get(r.task); c != nil {
		return []*vmState{c.to}
	}
	_, _, st, t := p.a.s.task(r.task)
	if p.width == 1 {
		if best := p.a.target(r, st, t); best != nil {
			return []*vmState{best}
		}
		return nil
	}
	var out []*vmState
	for _, v := range p.a.targets(r.vm.pool) {
		if p.a.mayTake(r, st, t, v) {
			out = append(out, v)
		}
	}
	slices.SortStableFunc(out, func(x, y *vmState) int { return p.a.compareTargets(r, st, x, y) })
	return out[:min(len(out), p.width)]
}

func (p *placementSearch) add(r *run, to *vmState) {
	if !p.a.s.claims.Has(r.task) {
		p.a.packing.add(r, to)
	}
	p.plan.moving = append(p.plan.moving, plannedMove{r, to})
}

func (p *placementSearch) remove(r *run, to *vmState) {
	if !p.a.s.claims.Has(r.task) {
		p.a.packing.remove(r, to)
	}
	p.plan.moving = p.plan.moving[:len(p.plan.moving)-1]
}

// mayBeAway reports whether the budget of the run's step allows its task to be away beside those that are
// planned to be. The members of a gang are away together.
func (p *placementSearch) mayBeAway(r *run) bool {
	if p.away == nil {
		p.away = map[job.StepID]int{}
	}
	j, _, st, _ := p.a.s.task(r.task)
	n := p.away[r.task.StepID()] + 1
	if st.def.Gang {
		n = st.def.Count
	}
	return n <= st.disruptionBudget()-p.a.s.absentTasks(p.a.now, j, st)
}
