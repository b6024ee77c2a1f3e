package emulator

import (
	"fmt"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// judge checks what must always hold, from what the VMs see alone.
type judge struct {
	w      *World
	faults []string
	// lateShare of the orders get no answer and are carried out later.
	lateShare float64
	// evacuateWithin bounds the starts in an availability zone after its evacuation.
	evacuateWithin time.Duration
	running        map[job.TaskID][]*vmRun
	doneAt         map[job.TaskID]time.Time
	notedDone      map[job.TaskID]bool
	// failed and notedFailed count the runs of each task that ended failed.
	failed, notedFailed map[job.TaskID]int
	// crashes counts the VMs that crashed under each task, startsAfterCrashes the starts
	// after too many of them.
	crashes, startsAfterCrashes map[job.TaskID]int
	// crashedAt is when a VM last crashed under each task.
	crashedAt map[job.TaskID]time.Time
	// gaveUp are the tasks that an owner says it has given up.
	gaveUp map[job.TaskID]bool
	// mayGiveUp are the jobs that crashes allow to be shown as failed.
	mayGiveUp map[job.ID]bool
	// lastStart is when each task was last started.
	lastStart map[job.TaskID]time.Time
	states    map[job.ID]job.State
	// away are the machines in upkeep.
	away      map[job.MachineID]bool
	waveState job.WaveState
	stopped   map[job.TaskID]time.Time
}

func newJudge(w *World) *judge {
	return &judge{
		w: w, running: map[job.TaskID][]*vmRun{}, doneAt: map[job.TaskID]time.Time{},
		notedDone: map[job.TaskID]bool{}, failed: map[job.TaskID]int{}, notedFailed: map[job.TaskID]int{},
		crashes: map[job.TaskID]int{}, crashedAt: map[job.TaskID]time.Time{}, startsAfterCrashes: map[job.TaskID]int{}, mayGiveUp: map[job.ID]bool{}, gaveUp: map[job.TaskID]bool{},
		states:    map[job.ID]job.State{},
		lastStart: map[job.TaskID]time.Time{}, away: map[job.MachineID]bool{}, stopped: map[job.TaskID]time.Time{},
	}
}

// broken notes a violation.
func (g *judge) broken(format string, args ...any) {
	g.faults = append(g.faults, fmt.Sprintf("%7.3f s: ", g.w.Since().Seconds())+fmt.Sprintf(format, args...))
}

// started checks a start: no second run, no run after a noted end, the steps
// before it done, the account within its cap.
func (g *judge) started(v *vm, r *vmRun) {
	t := g.w.jobs[r.task.Job]
	step := &t.Body.Steps[r.task.Step]
	g.lastStart[r.task] = g.w.now
	if len(g.running[r.task]) > 0 && !step.Speculative {
		other := g.running[r.task][0]
		g.broken("%v attempt %d on %s beside attempt %d since %.3f s", r.task, r.attempt, v.id, other.attempt, other.began.Sub(epoch).Seconds())
	}
	if g.notedDone[r.task] && !step.Speculative {
		g.broken("%v attempt %d on %s after its end was noted", r.task, r.attempt, v.id)
	}
	g.checkBudget(t, r)
	g.checkCrashing(t, v, r)
	g.checkRoom(v, r)
	if asked, ok := g.w.evacuated[v.machine.zone]; ok && g.w.now.Sub(asked) > g.evacuateWithin {
		g.broken("%v starts on %s in zone %s, which is evacuated since %.3f s", r.task, v.id, v.machine.zone, asked.Sub(epoch).Seconds())
	}
	if step.LongRunning {
		g.w.after(startup, func() { g.atWork(r) })
	}
	for _, a := range step.After {
		for i := range t.Body.Steps[a].Count {
			before := job.TaskID{Job: r.task.Job, Occurrence: r.task.Occurrence, Step: a, Index: i}
			if g.doneAt[before].IsZero() {
				g.broken("%v starts before %v is done", r.task, before)
			}
		}
	}
	if g.states[r.task.Job] == job.Completed {
		g.broken("%v starts after its job was shown as completed", r.task)
	}
	if t.cancelledAt.IsZero() || g.w.now.Sub(t.cancelledAt) < 3*time.Second || g.lateShare > 0 {
		g.running[r.task] = append(g.running[r.task], r)
		g.checkCap(t)
		return
	}
	g.broken("%v starts %s after its job was cancelled", r.task, g.w.now.Sub(t.cancelledAt))
	g.running[r.task] = append(g.running[r.task], r)
}

func (g *judge) checkCap(t *truth) {
	account := g.w.conf.Account(t.Terms.Account)
	if account == nil || account.Quota.CPU == 0 {
		return
	}
	sum, most := int64(0), int64(0)
	for id, runs := range g.running {
		o := g.w.jobs[id.Job]
		if o.Terms.Account != t.Terms.Account {
			continue
		}
		cpu := o.Body.Steps[id.Step].Resources.CPU
		sum += cpu * int64(len(runs))
		most = max(most, cpu)
	}
	if sum > account.Quota.CPU*11/10+most {
		g.broken("account %s runs %d of %d", t.Terms.Account, sum, account.Quota.CPU)
	}
}

func (g *judge) drop(r *vmRun) {
	runs := g.running[r.task]
	for i, x := range runs {
		if x == r {
			g.running[r.task] = append(runs[:i:i], runs[i+1:]...)
		}
	}
	if len(g.running[r.task]) == 0 {
		delete(g.running, r.task)
	}
}

func (g *judge) ended(_ *vm, r *vmRun, how job.Ending) {
	g.drop(r)
	switch {
	case how == job.EndedDone && g.doneAt[r.task].IsZero():
		g.doneAt[r.task] = g.w.now
	case how == job.EndedFailed:
		g.failed[r.task]++
	}
}

// gone takes in a run that ended with its VM. An end that nobody took note of
// may be repeated.
func (g *judge) gone(_ *vm, r *vmRun) { g.drop(r) }

// noted takes in that a VM forgets an end, which came at ended and before which its lease
// last ran out at lapsed.
func (g *judge) noted(v *vm, e job.End, ended time.Time) {
	if e.How == job.EndedFailed {
		g.notedFailed[e.Task]++
	}
	if e.How != job.EndedDone {
		return
	}
	again := g.lastStart[e.Task]
	if v.lapsed.Before(ended) && again.After(ended) && !g.w.jobs[e.Task.Job].Body.Steps[e.Task.Step].Speculative {
		g.broken("%v was started again at %.3f s after its end on %s at %.3f s, which is noted now", e.Task, again.Sub(epoch).Seconds(), v.id, ended.Sub(epoch).Seconds())
	}
	g.notedDone[e.Task] = true
}

// stopping checks that a lasting step doesn't miss more than it may on our account.
func (g *judge) stopping(v *vm, r *vmRun) {
	t := g.w.jobs[r.task.Job]
	step := &t.Body.Steps[r.task.Step]
	if !step.HasDisruptionBudget || !t.cancelledAt.IsZero() || v.drains || g.w.now.Sub(r.began) < startup {
		return
	}
	g.stopped[r.task] = g.w.now
	others := 0
	for i := range step.Count {
		id := r.task
		id.Index = i
		_, ours := g.stopped[id]
		if i != r.task.Index && ours {
			others++
		}
	}
	if others >= step.DisruptionBudget {
		g.broken("%v is stopped while %d others of its step are away, %d may be", r.task, others, step.DisruptionBudget)
	}
}

// atWork notes that a lasting task is at work again: from now on it isn't away
// because of our order.
func (g *judge) atWork(r *vmRun) {
	if slices.Contains(g.running[r.task], r) && !r.stops {
		delete(g.stopped, r.task)
	}
}

// takenAway checks that a move or upkeep ends no task.
func (g *judge) takenAway(v *vm) {
	for _, r := range v.runs {
		if !r.stops {
			g.broken("%v ends with the machine of %s, which is taken away", r.task, v.id)
		}
	}
}

func (g *judge) upkeep(m *machine) {
	g.away[m.id] = true
	if n := len(g.away); n > g.w.waveCap() {
		g.broken("%d machines are away for their upkeep, %d may be", n, g.w.waveCap())
	}
}

func (g *judge) back(m *machine) { delete(g.away, m.id) }

func (g *judge) waveShown(s job.WaveState) { g.waveState = s }

// shown takes in a state that callers are shown from now on.
func (g *judge) shown(id job.ID, s job.State) {
	t := g.w.jobs[id]
	if g.states[id] == s {
		return
	}
	g.states[id] = s
	switch s {
	case job.Completed:
		g.w.Figures.Completed++
		if g.w.now.Sub(t.handedIn) <= t.objective() {
			g.w.Figures.InTime++
		}
		for step := range t.Body.Steps {
			for i := range t.Body.Steps[step].Count {
				if g.doneAt[job.TaskID{Job: id, Step: step, Index: i}].IsZero() {
					g.broken("%s is shown as completed before task %d.%d is done", id, step, i)
				}
			}
		}
	case job.Failed:
		g.w.Figures.Failed++
		if !t.poison && t.failing == noTask && t.crashing == noTask {
			g.w.Figures.GivenUp++
		}
		if !g.anyTried(t) && !g.mayGiveUp[id] {
			g.broken("%s is shown as failed without cause", id)
		}
	case job.Cancelled:
		g.w.Figures.Cancelled++
		if t.cancelledAt.IsZero() {
			g.broken("%s is shown as cancelled without cause", id)
		}
	case job.Pending, job.Running:
	}
}
