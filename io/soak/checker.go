// Package soak runs the real daemons as processes of their own against stand-ins
// of the platform, injects seeded faults from outside them, and checks what
// callers and VMs see.
package soak

import (
	"fmt"
	"sync"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/platform/standin"
)

// Checker checks the promises while a soak goes on. Use NewJudge.
type Checker struct {
	mu        sync.Mutex
	now       func() time.Time
	startedAt time.Time
	running   map[job.TaskID]map[job.VMID]bool
	// done are tasks with a run that ended well, noted those whose end was noted.
	done, noted map[job.TaskID]bool
	jobs        map[job.ID]*submittedJob
	violations  []string
	startCount  int
	// crashes counts the VMs that have crashed under a task, spare its starts after
	// crashesMost of them.
	crashes, startsAfterCrashLimit map[job.TaskID]int
	placements                     map[job.VMID]*Placement
	// evacuated are the availability zones in which nothing may start, and since when.
	evacuated map[job.ZoneName]time.Time
}

// Placement is where a VM is and what it may take.
type Placement struct {
	Zone job.ZoneName
	// Capacity is in thousandths of a core.
	Capacity int64
	// IgnoresCapacity VMs start what doesn't fit, too.
	IgnoresCapacity bool
	// previous are the rooms that it had before.
	previous []pastCapacity
}

// pastCapacity is a room that a VM had until some time.
type pastCapacity struct {
	capacity int64
	until    time.Time
}

// limit returns what may run there: the largest room of late.
func (p *Placement) capacityLimit(now time.Time) int64 {
	most := p.Capacity
	for _, f := range p.previous {
		if now.Sub(f.until) <= shrinkLimit {
			most = max(most, f.capacity)
		}
	}
	return most
}

// evacuationLimit is how long after the request for it no task starts in an availability
// zone any more.
const evacuationLimit = 5 * time.Second

const (
	// shrinkLimit is how long after a VM's room has shrunk starts must keep to it: the
	// VM tells of it at its next heartbeat.
	shrinkLimit = 3*time.Second + heartbeatInterval
	// minCrashesToFail is how many VMs crash under a task before its job may fail.
	minCrashesToFail = 2
	// crashLimit is how many VMs crash under a task before it may be started only
	// sparesMost times more.
	crashLimit               = 3
	maxStartsAfterCrashLimit = 2
)

// submittedJob is a job as its caller knows it.
type submittedJob struct {
	spec  standin.Spec
	steps []standin.StepBody
	// accepted is set by a success, unknown by an answer that leaves it open,
	// started by the first task.
	accepted, unknown, started bool
	cancelled                  bool
	final                      string
}

// NewChecker returns a judge that knows of no job.
func NewChecker() *Checker {
	return &Checker{
		now: time.Now, startedAt: time.Now(), running: map[job.TaskID]map[job.VMID]bool{}, done: map[job.TaskID]bool{},
		noted: map[job.TaskID]bool{}, jobs: map[job.ID]*submittedJob{},
		crashes: map[job.TaskID]int{}, startsAfterCrashLimit: map[job.TaskID]int{},
		placements: map[job.VMID]*Placement{}, evacuated: map[job.ZoneName]time.Time{},
	}
}

func (j *Checker) violationf(format string, args ...any) {
	at := j.now().Sub(j.startedAt).Seconds()
	j.violations = append(j.violations, fmt.Sprintf("%8.3f s  ", at)+fmt.Sprintf(format, args...))
}

// Reportf notes something else that was broken.
func (j *Checker) Reportf(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violationf(format, args...)
}

// Violations returns what was broken so far.
func (j *Checker) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.violations
}

// Placed notes where a new life of a VM is.
func (j *Checker) Placed(vm job.VMID, p Placement) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.placements[vm] = &p
}

// Resized notes that a VM's room has changed.
func (j *Checker) Resized(vm job.VMID, capacity int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := j.placements[vm]
	p.previous = append(p.previous, pastCapacity{p.Capacity, j.now()})
	p.Capacity = capacity
}

// Evacuated notes that nothing may start in the zone from now on, once the request has
// had its time.
func (j *Checker) Evacuated(z job.ZoneName) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.evacuated[z] = j.now()
}

// Reopened notes that tasks may start in the zone again.
func (j *Checker) Reopened(z job.ZoneName) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.evacuated, z)
}

// Started implements standin.Observer.
func (j *Checker) Started(vm job.VMID, t job.TaskID, n job.Attempt, _ string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.startCount++
	k := j.jobs[t.Job]
	if k == nil || t.Step >= len(k.steps) {
		j.violationf("%v starts on %s: nobody handed it in", t, vm)
		return
	}
	k.started = true
	if asked, ok := j.evacuated[j.placements[vm].Zone]; ok && j.now().Sub(asked) > evacuationLimit {
		j.violationf("%v starts on %s in a zone that is evacuated for %s", t, vm, j.now().Sub(asked))
	}
	if others := j.running[t]; len(others) > 0 {
		j.violationf("%v starts on %s as attempt %d while it runs on %v", t, vm, n, others)
	}
	if j.noted[t] {
		j.violationf("%v starts on %s as attempt %d after it was noted as done", t, vm, n)
	}
	for _, s := range k.steps[t.Step].After {
		if !j.stepDone(t.Job, s, k.steps[s].Count) {
			j.violationf("%v starts before step %d is done", t, s)
		}
	}
	if j.running[t] == nil {
		j.running[t] = map[job.VMID]bool{}
	}
	j.running[t][vm] = true
	j.checkCapacity(vm, t)
	j.checkStartsAfterCrashes(vm, t)
}

// checkCapacity checks that a start left the VM within its room.
func (j *Checker) checkCapacity(vm job.VMID, t job.TaskID) {
	p := j.placements[vm]
	var used int64
	for x, vms := range j.running {
		if vms[vm] {
			used += j.jobs[x.Job].steps[x.Step].CPU
		}
	}
	if most := p.capacityLimit(j.now()); p.IgnoresCapacity && used > most {
		j.violationf("%v starts on %s and brings it to %d of %d", t, vm, used, most)
	}
}

// checkStartsAfterCrashes checks that a task that crashes VMs isn't started for ever.
func (j *Checker) checkStartsAfterCrashes(vm job.VMID, t job.TaskID) {
	if !j.jobs[t.Job].spec.Crashes(t) || j.crashes[t] < crashLimit {
		return
	}
	j.startsAfterCrashLimit[t]++
	if j.startsAfterCrashLimit[t] > maxStartsAfterCrashLimit {
		j.violationf("%v starts on %s after %d VMs have crashed under it", t, vm, j.crashes[t])
	}
}

func (j *Checker) stepDone(id job.ID, step, count int) bool {
	for i := range count {
		if !j.done[job.TaskID{Job: id, Step: step, Index: i}] {
			return false
		}
	}
	return true
}

// Ended implements standin.Observer.
func (j *Checker) Ended(vm job.VMID, t job.TaskID, _ job.Attempt, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.running[t], vm)
	switch how {
	case "done":
		j.done[t] = true
	case "lost":
		j.crashes[t]++
	}
}

// Noted implements standin.Observer.
func (j *Checker) Noted(t job.TaskID, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if how == "done" {
		j.noted[t] = true
	}
}

// Submitting notes a job before its first submission.
func (j *Checker) Submitting(id job.ID, spec standin.Spec, steps []standin.StepBody) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id] = &submittedJob{spec: spec, steps: steps}
}

// SubmitAnswered notes the status of a submission; 0 stands for no answer.
func (j *Checker) SubmitAnswered(id job.ID, status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case status == 200:
		j.jobs[id].accepted = true
	case status != 429 && status != 503:
		j.jobs[id].unknown = true
	}
}

// Cancelling notes that a caller cancels a job.
func (j *Checker) Cancelling(id job.ID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id].cancelled = true
}

// StateReturned checks a state that a caller was shown.
func (j *Checker) StateReturned(id job.ID, status int, state string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	k := j.jobs[id]
	switch {
	case status == 410 && k.accepted:
		j.violationf("%s was accepted and is not known any more", id)
	case status != 200:
		return
	case state == "completed":
		for s := range k.steps {
			if !j.stepDone(id, s, k.steps[s].Count) {
				j.violationf("%s is shown as completed, and step %d isn't done", id, s)
			}
		}
	case state == "cancelled" && !k.cancelled:
		j.violationf("%s is shown as cancelled, and nobody cancelled it", id)
	case state == "failed" && !j.mayFail(id):
		j.violationf("%s is shown as failed, and no task fails", id)
		return
	}
	if state == "completed" || state == "cancelled" || state == "failed" {
		k.final = state
	}
}

// mayFail tells whether enough VMs have crashed under one of the job's tasks.
func (j *Checker) mayFail(id job.ID) bool {
	for t, n := range j.crashes {
		if t.Job == id && n >= minCrashesToFail {
			return true
		}
	}
	return false
}

// Unfinished returns the accepted jobs that aren't over, and the lasting tasks that
// don't run; none with a task that crashes VMs.
func (j *Checker) Unfinished() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []string
	for id, k := range j.jobs {
		switch {
		case !k.accepted || k.cancelled || k.spec.Crash != nil:
		case k.spec.Lasting:
			for i := range k.steps[0].Count {
				if t := (job.TaskID{Job: id, Index: i}); len(j.running[t]) == 0 {
					out = append(out, fmt.Sprintf("%v is to last and doesn't run", t))
				}
			}
		case k.final == "":
			out = append(out, fmt.Sprintf("%s was accepted and isn't over", id))
		}
	}
	return out
}

// Settled tells whether nothing is open, and no job with a task that crashes VMs either.
func (j *Checker) Settled() bool {
	if len(j.Unfinished()) > 0 {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, k := range j.jobs {
		if k.accepted && !k.cancelled && k.spec.Crash != nil && k.final == "" {
			return false
		}
	}
	return true
}

// Finish checks what can be told at the end only.
func (j *Checker) Finish() {
	for _, o := range j.Unfinished() {
		j.Reportf("at the end: %s", o)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, k := range j.jobs {
		if k.started && !k.accepted && !k.unknown {
			j.violationf("%s has run, and all submissions were refused", id)
		}
	}
}

// Summary sums up what happened.
func (j *Checker) Summary() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	accepted, completed, crashing := 0, 0, 0
	for _, k := range j.jobs {
		if k.accepted {
			accepted++
		}
		if k.final == "completed" {
			completed++
		}
		if k.accepted && k.spec.Crash != nil {
			crashing++
		}
	}
	return fmt.Sprintf("%d jobs, %d accepted, %d completed, %d crash VMs, %d starts", len(j.jobs), accepted, completed, crashing, j.startCount)
}
