package schedule

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// emulatedPool is a pool of machines whose VMs execute orders immediately, for tests in which little room is
// left. Each VM holds 8 cores.
type emulatedPool struct {
	*harness
	recorder *decisionRecorder
	machines []job.MachineID
	// vms holds the VM of each machine that is up, and back when the others return from maintenance.
	vms  map[job.MachineID]job.VMID
	back map[job.MachineID]time.Time
	// running and ended are what each VM reports.
	running map[job.VMID][]job.RunningTask
	ended   map[job.VMID][]job.End
	// maintained counts the maintenance of each machine, and refuse how many orders are refused before.
	maintained map[job.MachineID]int
	refuse     int
	// stops are the tasks that were stopped, in order.
	stops []job.TaskID
	// shortRuns is for how long tasks that aren't long-running run at least; 0 means for ever. begun is when
	// each began.
	shortRuns time.Duration
	begun     map[job.TaskID]time.Time
	// stopTime is how long a task takes to stop, and stopping when the tasks have stopped that were ordered to.
	stopTime time.Duration
	stopping map[job.TaskID]time.Time
	// bodies and waves are what was stored, and progress that of each wave.
	bodies   map[job.ID]job.Body
	progress map[int64]job.WaveProgress
}

const (
	// poolRound is the time between two rounds of an emulatedPool, and poolMaintenance how long a
	// maintenance takes.
	poolRound       = 20 * time.Millisecond
	poolMaintenance = 2 * time.Second
)

// newEmulatedPool returns a pool of n machines, m-0 to m-(n-1).
func newEmulatedPool(t *testing.T, n int) *emulatedPool {
	p := &emulatedPool{
		harness: newHarness(t), recorder: &decisionRecorder{}, vms: map[job.MachineID]job.VMID{}, back: map[job.MachineID]time.Time{},
		running: map[job.VMID][]job.RunningTask{}, ended: map[job.VMID][]job.End{}, maintained: map[job.MachineID]int{}, begun: map[job.TaskID]time.Time{}, stopping: map[job.TaskID]time.Time{},
		bodies: map[job.ID]job.Body{}, progress: map[int64]job.WaveProgress{},
	}
	p.s.settings.Observer = p.recorder
	for i := range n {
		id := job.MachineID(fmt.Sprintf("m-%d", i))
		p.machines = append(p.machines, id)
		p.boot(id)
	}
	p.run(200 * time.Millisecond)
	return p
}

// boot starts a VM on a machine.
func (p *emulatedPool) boot(id job.MachineID) {
	vm := job.VMID(fmt.Sprintf("%s-life-%d", id, p.maintained[id]))
	p.vms[id] = vm
	delete(p.back, id)
	p.s.VMListed(p.now, p.entry(id, vm))
}

// entry returns the directory entry of a machine's VM.
func (p *emulatedPool) entry(id job.MachineID, vm job.VMID) job.VMRecord {
	return job.VMRecord{ID: vm, Pool: poolA, Address: string(vm), Zone: job.ZoneName("zone of " + id), Capacity: job.Resources{CPU: 8000, MemMB: 8000}, Machine: id, Born: 1}
}

// run advances the pool by d.
func (p *emulatedPool) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(poolRound)
		for _, id := range p.machines {
			if at, away := p.back[id]; away && !p.now.Before(at) {
				p.boot(id)
			}
		}
		p.list()
		p.endShortRuns()
		p.endStopped()
		for _, vm := range slices.Sorted(maps.Values(p.vms)) {
			p.answerHold(string(vm), p.running[vm], p.ended[vm]...)
		}
		for _, c := range p.advance(0) {
			p.execute(c)
		}
	}
}

// list feeds the list of machines to the scheduler.
func (p *emulatedPool) list() {
	var list []job.Machine
	for _, id := range p.machines {
		m := job.Machine{ID: id, Pool: poolA, State: job.MachineMaintenance, VM: p.vms[id]}
		if m.VM != "" {
			m.State = job.MachineUp
		}
		list = append(list, m)
	}
	p.s.MachinesListed(p.now, list)
}

// execute carries out a command of the scheduler.
func (p *emulatedPool) execute(c Command) {
	switch c := c.(type) {
	case Start:
		p.running[c.VM] = append(p.running[c.VM], runningTask(c, 100))
		p.begun[c.Order.Task] = p.now
		p.confirm(c)
	case Stop:
		p.stops = append(p.stops, c.Task)
		p.checkBudget(c.Task)
		if _, ordered := p.stopping[c.Task]; !ordered {
			p.stopping[c.Task] = p.now.Add(p.stopTime)
		}
		p.endStopped()
	case Maintain:
		p.executeMaintain(c)
	case SaveWave:
		p.progress[c.Wave] = c.Progress
	}
}

// endStopped ends the tasks that have stopped.
func (p *emulatedPool) endStopped() {
	for id, at := range p.stopping {
		if p.now.Before(at) {
			continue
		}
		delete(p.stopping, id)
		for _, vm := range slices.Sorted(maps.Keys(p.running)) {
			p.end(vm, id, job.EndedStopped)
		}
		p.breakGang(id)
	}
}

// shortRunSpread bounds by how much some tasks run longer than others.
const shortRunSpread = 400

// endShortRuns ends the tasks that have run for long enough.
func (p *emulatedPool) endShortRuns() {
	if p.shortRuns == 0 {
		return
	}
	for _, vm := range slices.Sorted(maps.Keys(p.running)) {
		for _, r := range slices.Clone(p.running[vm]) {
			longer := time.Duration(r.Task.Index*137%shortRunSpread) * time.Millisecond
			if j := p.s.jobs.Get(r.Task.Job); j != nil && !j.longRunning && p.now.Sub(p.begun[r.Task]) >= p.shortRuns+longer {
				p.end(vm, r.Task, job.EndedDone)
			}
		}
	}
}

// end ends a task on a VM.
func (p *emulatedPool) end(vm job.VMID, task job.TaskID, how job.Ending) {
	i := slices.IndexFunc(p.running[vm], func(r job.RunningTask) bool { return r.Task == task })
	if i < 0 {
		return
	}
	r := p.running[vm][i]
	p.running[vm] = slices.Delete(p.running[vm], i, i+1)
	p.ended[vm] = append(p.ended[vm], job.End{Number: int64(len(p.ended[vm]) + 1), Task: r.Task, Attempt: r.Attempt, How: how})
}

// checkBudget checks that the step of a task that is stopped allows one more task to be away.
func (p *emulatedPool) checkBudget(id job.TaskID) {
	j := p.s.jobs.Get(id.Job)
	if j == nil || j.over() || !j.Body.Steps[id.Step].HasDisruptionBudget {
		return
	}
	away := p.absent(string(id.Job))
	assert.Assert(p.t, away < j.Body.Steps[id.Step].DisruptionBudget, "%v is stopped while %d others are away", id, away)
}

// breakGang ends the other members of the gang of a task.
func (p *emulatedPool) breakGang(id job.TaskID) {
	j := p.s.jobs.Get(id.Job)
	if j == nil || !j.Body.Steps[id.Step].Gang {
		return
	}
	for i := range j.Body.Steps[id.Step].Count {
		id.Index = i
		for _, vm := range slices.Sorted(maps.Keys(p.running)) {
			p.end(vm, id, job.EndedGangBroken)
		}
	}
}

// executeMaintain takes a machine out of service, unless its order is to be refused.
func (p *emulatedPool) executeMaintain(c Maintain) {
	if p.refuse > 0 {
		p.refuse--
		p.s.MaintainAnswered(p.now, c, Answered, job.MachineBusy)
		return
	}
	vm := p.vms[c.Machine]
	assert.Equal(p.t, len(p.running[vm]), 0, "maintenance of %s ends tasks", c.Machine)
	p.maintained[c.Machine]++
	p.back[c.Machine] = p.now.Add(poolMaintenance)
	delete(p.vms, c.Machine)
	p.s.VMUnlisted(p.now, vm)
	p.s.MaintainAnswered(p.now, c, Answered, job.MachineAccepted)
}

// lasting adds a job of one long-running step.
func (p *emulatedPool) lasting(id string, count int, cpu int64, st job.Step) {
	st.Count, st.LongRunning, st.Resources = count, true, job.Resources{CPU: cpu, MemMB: 100}
	p.bodies[job.ID(id)] = job.Body{Spec: "x", Steps: []job.Step{st}}
	p.addJob(id, "free", st)
	p.run(200 * time.Millisecond)
}

// takeOver replaces the scheduler by that of a new owner, which knows what is stored.
func (p *emulatedPool) takeOver() {
	former := p.s
	former.SetRights(Rights{})
	next := newHarness(p.t)
	next.now, p.harness = p.now, next
	next.s.settings.TakeoverTime, next.s.settings.AttemptBase, next.s.settings.Observer = p.now, 10_000, p.recorder
	for id, vm := range p.vms {
		next.s.AddInheritedVM(RosterVM{ID: vm, Address: string(vm), Pool: poolA, Born: 1, Machine: id})
		next.s.VMListed(p.now, p.entry(id, vm))
	}
	for _, j := range former.jobs.All() {
		if !j.over() {
			next.s.AddJob(p.now, j.Job, &job.Progress{State: job.Running, VMs: slices.Collect(maps.Keys(p.running))}, true)
		}
	}
	for _, w := range former.waves.All() {
		next.s.AddWave(p.now, w.Wave, p.progress[w.Number])
	}
}

// absent returns the number of tasks of a long-running job that don't run.
func (p *emulatedPool) absent(id string) int {
	n := p.s.jobs.Get(job.ID(id)).Body.Steps[0].Count
	for _, tasks := range p.running {
		for _, r := range tasks {
			if r.Task.Job == job.ID(id) {
				n--
			}
		}
	}
	return n
}

// checkAbsence runs the pool for d and checks that no task of the jobs stays away for longer than a
// maintenance takes with its orders. It returns the longest time for which one was away.
func (p *emulatedPool) checkAbsence(d time.Duration, jobs ...string) time.Duration {
	p.t.Helper()
	since, longest := map[string]time.Time{}, time.Duration(0)
	for end := p.now.Add(d); p.now.Before(end); {
		p.run(poolRound)
		for _, id := range jobs {
			if p.absent(id) == 0 {
				delete(since, id)
				continue
			}
			if since[id].IsZero() {
				since[id] = p.now
			}
			longest = max(longest, p.now.Sub(since[id]))
			assert.Assert(p.t, p.now.Sub(since[id]) < poolMaintenance+time.Second, "a task of %s stays away", id)
		}
	}
	return longest
}

// wave adds a maintenance wave of the first n machines, one at a time.
func (p *emulatedPool) wave(number int64, n int) {
	p.s.AddWave(p.now, job.Wave{Number: number, Revision: 1, Machines: slices.Clone(p.machines[:n]), MaxConcurrent: 1}, job.WaveProgress{})
}

// blocked returns the reasons that were reported for machines that can't be emptied.
func (p *emulatedPool) blocked() map[job.MachineID]string {
	out := map[job.MachineID]string{}
	for _, d := range p.recorder.decisions {
		if d.Kind == WaveMachine && strings.HasPrefix(d.Reason, "can't be emptied") {
			out[d.Machine] = d.Reason
		}
	}
	return out
}

// Guards against a wave that stops long-running tasks for which no other VM has room, and keeps them away
// although their own VM has room.
func TestWaveLeavesTasksWithoutRoomElsewhere(t *testing.T) {
	p := newEmulatedPool(t, 4)
	p.lasting("wide", 12, 2000, job.Step{DisruptionBudget: 1, HasDisruptionBudget: true})
	p.lasting("single", 4, 1500, job.Step{MaxPerVM: 1})
	assert.Equal(t, p.absent("wide")+p.absent("single"), 0)
	p.wave(1, 1)
	p.checkAbsence(20*time.Second, "wide", "single")
	assert.Equal(t, len(p.stops), 0, "tasks without room elsewhere were stopped")
	assert.Assert(t, strings.Contains(p.blocked()["m-0"], "no room elsewhere"), p.blocked())
}

// Guards against a wave that gives up for good a machine that couldn't be emptied.
func TestWaveGoesOnOnceThereIsRoom(t *testing.T) {
	p := newEmulatedPool(t, 4)
	p.lasting("wide", 12, 2000, job.Step{DisruptionBudget: 1, HasDisruptionBudget: true})
	p.lasting("single", 4, 1500, job.Step{MaxPerVM: 1})
	p.wave(1, 1)
	p.run(5 * time.Second)
	assert.Equal(t, p.maintained["m-0"], 0)
	p.machines = append(p.machines, "m-4")
	p.boot("m-4")
	p.checkAbsence(10*time.Second, "wide", "single")
	assert.Equal(t, p.maintained["m-0"], 1)
}

// Guards against a task that waits although the VM that a wave empties has room, and no other.
func TestTaskReturnsToVMThatIsNotEmptiedYet(t *testing.T) {
	p := newEmulatedPool(t, 2)
	p.lasting("large", 2, 6000, job.Step{MaxPerVM: 1})
	p.addJob("endless", "free", job.Step{Count: 2, Resources: job.Resources{CPU: 2000, MemMB: 100}, Estimate: time.Hour})
	p.run(200 * time.Millisecond)
	p.wave(1, 1)
	p.run(time.Second)
	vm := p.vms["m-0"]
	for _, r := range p.running[vm] {
		if r.Task.Job == "large" {
			p.end(vm, r.Task, job.EndedFailed)
		}
	}
	assert.Equal(t, p.absent("large"), 1)
	p.checkAbsence(10*time.Second, "large")
}

// Guards against machines that are never maintained because their tasks have room nowhere else, although
// the budgets of their steps allow them to be away.
func TestTaskWithoutRoomElsewhereIsAwayDuringMaintenance(t *testing.T) {
	p := newEmulatedPool(t, 3)
	p.lasting("large", 3, 5000, job.Step{DisruptionBudget: 1, HasDisruptionBudget: true, MaxPerVM: 1})
	p.lasting("small", 3, 2500, job.Step{MaxPerVM: 1})
	p.wave(1, 3)
	p.checkAbsence(30*time.Second, "large", "small")
	assert.DeepEqual(t, p.maintained, map[job.MachineID]int{"m-0": 1, "m-1": 1, "m-2": 1})
}

// Guards against tasks that stay away after the order for which they stopped was refused.
func TestTaskReturnsIfMaintenanceIsRefused(t *testing.T) {
	p := newEmulatedPool(t, 2)
	p.lasting("large", 2, 6000, job.Step{MaxPerVM: 1})
	p.refuse = 3
	p.wave(1, 1)
	p.checkAbsence(20*time.Second, "large")
	assert.Equal(t, p.refuse, 0)
	assert.Equal(t, p.maintained["m-0"], 1)
}

// Guards against short tasks that take the room on which a task relies that leaves its VM.
func TestShortTasksDoNotTakeRoomOfLeavingTask(t *testing.T) {
	p, home := newBusyPool(t)
	p.s.AddWave(p.now, job.Wave{Number: 1, Machines: []job.MachineID{home}, MaxConcurrent: 1}, job.WaveProgress{})
	longest := p.checkAbsence(10*time.Second, "large")
	assert.Assert(t, longest < 500*time.Millisecond, "away for %s", longest)
	assert.Equal(t, p.maintained[home], 1)
}

// Guards against short tasks that take the room on which a task relies that leaves an evacuated zone.
func TestShortTasksDoNotTakeRoomOfEvacuatedTask(t *testing.T) {
	p, home := newBusyPool(t)
	p.s.SetEvacuatedZones([]job.ZoneName{job.ZoneName("zone of " + home)})
	longest := p.checkAbsence(10*time.Second, "large")
	assert.Assert(t, longest < 500*time.Millisecond, "away for %s", longest)
	assert.Equal(t, len(p.running[p.vms[home]]), 0)
}

// newBusyPool returns a pool of two VMs that are full of short tasks, and the machine on which the only task
// of the long-running job "large" runs.
func newBusyPool(t *testing.T) (*emulatedPool, job.MachineID) {
	p := newEmulatedPool(t, 2)
	p.lasting("large", 1, 4000, job.Step{})
	p.shortRuns, p.stopTime = 500*time.Millisecond, 300*time.Millisecond
	for i := range 40 {
		p.addJob(fmt.Sprintf("short-%d", i), "free", job.Step{Count: 40, Resources: job.Resources{CPU: 1000, MemMB: 100}, Estimate: time.Second})
	}
	p.run(time.Second)
	home := slices.IndexFunc(p.machines, func(id job.MachineID) bool {
		return slices.ContainsFunc(p.running[p.vms[id]], func(r job.RunningTask) bool { return r.Task.Job == "large" })
	})
	return p, p.machines[home]
}

// Guards against two waves that choose each other's machines for the tasks that they move, or both wait.
func TestWavesOfFullPoolDoNotBlockEachOther(t *testing.T) {
	p := newEmulatedPool(t, 4)
	p.lasting("wide", 9, 2500, job.Step{DisruptionBudget: 2, HasDisruptionBudget: true, MaxPerVM: 3})
	p.wave(1, 4)
	p.s.AddWave(p.now, job.Wave{Number: 2, Revision: 1, Machines: []job.MachineID{"m-3", "m-2", "m-1", "m-0"}, MaxConcurrent: 2}, job.WaveProgress{})
	p.checkAbsence(60*time.Second, "wide")
	assert.DeepEqual(t, p.maintained, map[job.MachineID]int{"m-0": 2, "m-1": 2, "m-2": 2, "m-3": 2})
}

// Guards against a task that is away for the maintenances of several waves in a row.
func TestTaskStartsBetweenMaintenancesOfSeveralWaves(t *testing.T) {
	p := newEmulatedPool(t, 2)
	p.lasting("large", 2, 6000, job.Step{MaxPerVM: 1})
	for n := range int64(4) {
		p.wave(n+1, 1)
	}
	p.checkAbsence(30*time.Second, "large")
	assert.Equal(t, p.maintained["m-0"], 4)
}

// drain lists a machine's VM as draining for d. It leaves after remaining.
func (p *emulatedPool) drain(id job.MachineID, remaining, d time.Duration) {
	leaves := p.now.Add(remaining)
	for end := p.now.Add(d); p.now.Before(end); p.run(100 * time.Millisecond) {
		e := p.entry(id, p.vms[id])
		e.Draining, e.RemainingTime = true, leaves.Sub(p.now)
		p.s.VMListed(p.now, e)
	}
}

// Guards against tasks that are stopped on a draining VM seconds before it leaves, although no other VM has
// room, and against those that are lost with it.
func TestTaskOnDrainingVMRunsUntilThereIsRoom(t *testing.T) {
	p := newEmulatedPool(t, 2)
	p.lasting("large", 2, 6000, job.Step{MaxPerVM: 1})
	p.drain("m-0", 4*time.Second, 2*time.Second)
	assert.Equal(t, p.absent("large"), 0)
	p.drain("m-0", 2*time.Second, 1500*time.Millisecond)
	assert.Equal(t, p.absent("large"), 1, "the task is lost with its VM")
}

// Guards against tasks that stay on a draining VM although another VM has room.
func TestTaskLeavesDrainingVMForRoom(t *testing.T) {
	p := newEmulatedPool(t, 3)
	p.lasting("large", 2, 6000, job.Step{MaxPerVM: 1})
	p.drain("m-0", 4*time.Second, 500*time.Millisecond)
	assert.Equal(t, p.absent("large"), 0)
	assert.Equal(t, len(p.running[p.vms["m-0"]]), 0)
}

// Guards against a gang whose members find no common time to start because one of them has to leave its VM.
func TestGangMovesOnlyAsAWhole(t *testing.T) {
	p := newEmulatedPool(t, 3)
	p.lasting("gang", 2, 5000, job.Step{Gang: true, DisruptionBudget: 2, HasDisruptionBudget: true})
	assert.Equal(t, p.absent("gang"), 0)
	p.wave(1, 3)
	p.checkAbsence(30*time.Second, "gang")
	assert.DeepEqual(t, p.maintained, map[job.MachineID]int{"m-0": 1, "m-1": 1, "m-2": 1})
}
