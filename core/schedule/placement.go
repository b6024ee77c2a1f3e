package schedule

import "lavenderpond/core/job"

// placement is a task that needs a VM.
type placement struct {
	job  *jobState
	step *stepState
	task *taskState
	id   job.TaskID
}

// Costs of placing a task on a VM. Each outweighs all those below it.
const (
	// costFailedHere applies to the VM where the last run of the task failed or stood still.
	costFailedHere = 1000.0
	// costSuspect applies to each run on the VM of another task under which VMs have crashed.
	costSuspect   = 500.0
	costOtherRack = 100.0
	// costInterference applies to each run on the VM that the task would slow down or be
	// slowed down by.
	costInterference = 30.0
	costVacating     = 20.0
	// costSameStep applies to each run of the same long-running step on the VM.
	costSameStep = 10.0
	// costCrashRisk keeps tasks under which VMs have crashed apart from other tasks.
	costCrashRisk = 5.0
	// costFirstLongRunning keeps long-running tasks together: a VM that runs one can't be
	// emptied without stopping it.
	costFirstLongRunning = 3.0
	// costOtherZone keeps the tasks of a job in one availability zone. A job is late as soon as
	// one of its tasks is, so that a zone that is cut off then delays only the jobs that run in
	// it, and not all that have a task there.
	costOtherZone = 0.3
	// costNewVM prefers VMs on which it is already stored that the job may run: there the task
	// starts one transaction earlier.
	costNewVM = 0.2
)

// cost returns the cost of placing a task on the VM.
func (a *assignment) cost(p placement, v *vmState) float64 {
	// Tasks are packed: among VMs that are otherwise equal, the one with the least free CPU
	// takes the task. The others stay empty for wide tasks, maintenance and other pools.
	cost := v.freeFraction()
	if p.step.def.LongRunning {
		cost += a.longRunningCost(p, v)
	} else {
		cost += localityCost(p.job, v)
	}
	if p.step.def.SpareCPU || p.step.def.TailLatencyTarget > 0 {
		cost += costInterference * float64(v.interferingRuns(p.step.def))
	}
	if v.vacating {
		cost += costVacating
	}
	cost += crashCost(p.task, v)
	if p.task.avoidVM == v.id {
		cost += costFailedHere
	}
	if p.step.def.PreferredRack != "" && v.rack != p.step.def.PreferredRack {
		cost += costOtherRack
	}
	return cost
}

// freeFraction returns the fraction of the VM's CPU that is free.
func (v *vmState) freeFraction() float64 {
	return float64(v.capacity.CPU-v.used.CPU) / float64(max(1, v.capacity.CPU))
}

// localityCost keeps a job in one availability zone and on VMs where it has already run tasks.
func localityCost(j *jobState, v *vmState) float64 {
	cost := 0.0
	if j.zone != "" && j.zone != v.zone {
		cost += costOtherZone
	}
	if j.possibleVMs.Len() > 0 && !j.possibleVMs.Has(v.id) {
		cost += costNewVM
	}
	return cost
}

// longRunningCost spreads the tasks of a long-running step over VMs.
func (a *assignment) longRunningCost(p placement, v *vmState) float64 {
	cost := costSameStep * float64(v.runsOfStep(p.id.StepID()))
	if v.longRunningRuns == 0 {
		cost += costFirstLongRunning
	}
	return cost
}

// interferingRuns counts the runs on the VM that a task of the step would slow down or be
// slowed down by.
func (v *vmState) interferingRuns(def *job.Step) int {
	n := 0
	if def.SpareCPU {
		n += v.servingRuns
	}
	if def.TailLatencyTarget > 0 {
		n += v.spareCPURuns
	}
	return n
}

// eligible reports whether a task of the step may run on the VM, leaving aside whether the VM
// has room for it and is approved.
func (st *stepState) eligible(step job.StepID, v *vmState) bool {
	if st.def.Requires != "" && !v.labels[st.def.Requires] {
		return false
	}
	if st.def.MaxPerVM > 0 && v.runsOfStep(step)+v.stoppedClaimsOfStep(step) >= st.def.MaxPerVM {
		return false
	}
	// A spare-CPU task can go elsewhere or wait; a serving task beside it would be slowed down.
	return !st.def.SpareCPU || v.interferingRuns(st.def) == 0
}

// runsOfStep counts the runs of one step of one occurrence on the VM, including those that are
// being stopped.
func (v *vmState) runsOfStep(step job.StepID) int { return v.stepRuns[step] }
