// Package soak implements a soak test: it runs the production daemons as separate processes
// against stand-ins of the platform, injects seeded faults from outside, and checks what
// callers and VMs observe.
package soak

import (
	"fmt"
	"sync"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/platform/standin"
)

// Checker verifies the invariants of the system during a soak test, from what callers and
// VMs observe. Create it with NewChecker.
type Checker struct {
	mu sync.Mutex
	// now returns the time; tests replace it.
	now       func() time.Time
	startedAt time.Time
	// running are the VMs that run each task.
	running map[job.TaskID]map[job.VMID]bool
	// done are the tasks with an attempt that ended as done, noted those of them whose end
	// an owner has noted.
	done, noted map[job.TaskID]bool
	jobs        map[job.ID]*submittedJob
	violations  []string
	startCount  int
	// crashes counts the VMs that have crashed while they ran a task, startsAfterCrashLimit
	// the starts of the task after crashLimit such crashes.
	crashes, startsAfterCrashLimit map[job.TaskID]int
	placements                     map[job.VMID]*Placement
	// evacuated maps the availability zones in which no task may start to the time of
	// the request.
	evacuated map[job.ZoneName]time.Time
}

// Placement describes a VM: its availability zone and its capacity.
type Placement struct {
	Zone job.ZoneName
	// Capacity is in thousandths of a core.
	Capacity int64
	// IgnoresCapacity is set if the VM also starts tasks that exceed its capacity.
	IgnoresCapacity bool
	// previous are the capacities that the VM had before.
	previous []pastCapacity
}

// pastCapacity is a capacity that a VM had until some time.
type pastCapacity struct {
	capacity int64
	until    time.Time
}

// capacityLimit returns the most that may run on the VM: its largest capacity within the
// past shrinkLimit.
func (p *Placement) capacityLimit(now time.Time) int64 {
	limit := p.Capacity
	for _, c := range p.previous {
		if now.Sub(c.until) <= shrinkLimit {
			limit = max(limit, c.capacity)
		}
	}
	return limit
}

// evacuationLimit is how long tasks may still start in an availability zone after the request
// to evacuate it.
const evacuationLimit = 5 * time.Second

const (
	// shrinkLimit is how long starts may still exceed the capacity of a VM after a decrease,
	// which the VM reports only with its next heartbeat.
	shrinkLimit = 3*time.Second + heartbeatInterval
	// minCrashesToFail is how many VMs must crash while they run a task before its job may
	// fail.
	minCrashesToFail = 2
	// crashLimit is the number of crashes after which a crashing task may be started only
	// maxStartsAfterCrashLimit times more.
	crashLimit               = 3
	maxStartsAfterCrashLimit = 2
)

// submittedJob is a job as its caller knows it.
type submittedJob struct {
	spec  standin.Spec
	steps []standin.StepBody
	// accepted is set by a successful submission, unknown by an answer that leaves open
	// whether the job was accepted, started by the first start of a task.
	accepted, unknown, started bool
	cancelled                  bool
	// final is the final state that a caller was shown.
	final string
}

// NewChecker returns a checker without jobs and VMs.
func NewChecker() *Checker {
	return &Checker{
		now: time.Now, startedAt: time.Now(), running: map[job.TaskID]map[job.VMID]bool{}, done: map[job.TaskID]bool{},
		noted: map[job.TaskID]bool{}, jobs: map[job.ID]*submittedJob{},
		crashes: map[job.TaskID]int{}, startsAfterCrashLimit: map[job.TaskID]int{},
		placements: map[job.VMID]*Placement{}, evacuated: map[job.ZoneName]time.Time{},
	}
}

// violationf records a violated invariant. j.mu must be held.
func (j *Checker) violationf(format string, args ...any) {
	at := j.now().Sub(j.startedAt).Seconds()
	j.violations = append(j.violations, fmt.Sprintf("%8.3f s  ", at)+fmt.Sprintf(format, args...))
}

// Reportf records a failure that another part of the soak test has found.
func (j *Checker) Reportf(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violationf(format, args...)
}

// Violations returns the violations recorded so far.
func (j *Checker) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.violations
}

// Placed records the placement of a VM that starts or restarts.
func (j *Checker) Placed(vm job.VMID, p Placement) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.placements[vm] = &p
}

// Resized records a change of the capacity of a VM.
func (j *Checker) Resized(vm job.VMID, capacity int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := j.placements[vm]
	p.previous = append(p.previous, pastCapacity{p.Capacity, j.now()})
	p.Capacity = capacity
}

// Evacuated records the request to start no tasks in the zone. It applies once
// evacuationLimit has passed.
func (j *Checker) Evacuated(z job.ZoneName) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.evacuated[z] = j.now()
}

// Reopened records that tasks may start in the zone again.
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
		j.violationf("%v starts on %s: no caller submitted this task", t, vm)
		return
	}
	k.started = true
	if requestedAt, ok := j.evacuated[j.placements[vm].Zone]; ok && j.now().Sub(requestedAt) > evacuationLimit {
		j.violationf("%v starts on %s in a zone that has been evacuated for %s", t, vm, j.now().Sub(requestedAt))
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

// checkCapacity checks that a start does not overload a VM that ignores its capacity. Other
// VMs refuse such starts themselves.
func (j *Checker) checkCapacity(vm job.VMID, t job.TaskID) {
	p := j.placements[vm]
	var used int64
	for x, vms := range j.running {
		if vms[vm] {
			used += j.jobs[x.Job].steps[x.Step].CPU
		}
	}
	if limit := p.capacityLimit(j.now()); p.IgnoresCapacity && used > limit {
		j.violationf("%v overloads %s: CPU %d of %d", t, vm, used, limit)
	}
}

// checkStartsAfterCrashes checks that a task that crashes VMs is not started without limit.
func (j *Checker) checkStartsAfterCrashes(vm job.VMID, t job.TaskID) {
	if !j.jobs[t.Job].spec.CrashesVM(t) || j.crashes[t] < crashLimit {
		return
	}
	j.startsAfterCrashLimit[t]++
	if j.startsAfterCrashLimit[t] > maxStartsAfterCrashLimit {
		j.violationf("%v starts on %s after %d VMs crashed while they ran it", t, vm, j.crashes[t])
	}
}

// stepDone reports whether all tasks of a step are done.
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

// Submitting records a job before its first submission.
func (j *Checker) Submitting(id job.ID, spec standin.Spec, steps []standin.StepBody) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id] = &submittedJob{spec: spec, steps: steps}
}

// SubmitAnswered records the HTTP status of a submission; 0 means no answer.
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

// Cancelling records that a caller is about to cancel a job.
func (j *Checker) Cancelling(id job.ID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id].cancelled = true
}

// StateReturned checks the answer to a request for the state of a job.
func (j *Checker) StateReturned(id job.ID, status int, state string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	k := j.jobs[id]
	switch {
	case status == 410 && k.accepted:
		j.violationf("%s was accepted, but the system has forgotten it", id)
	case status != 200:
		return
	case state == "completed":
		for s := range k.steps {
			if !j.stepDone(id, s, k.steps[s].Count) {
				j.violationf("%s is shown as completed, but step %d is not done", id, s)
			}
		}
	case state == "cancelled" && !k.cancelled:
		j.violationf("%s is shown as cancelled, but its caller did not cancel it", id)
	case state == "failed" && !j.mayFail(id):
		j.violationf("%s is shown as failed, but no task may be given up", id)
		return
	}
	if state == "completed" || state == "cancelled" || state == "failed" {
		k.final = state
	}
}

// mayFail reports whether enough VMs have crashed while they ran one of the job's tasks.
func (j *Checker) mayFail(id job.ID) bool {
	for t, n := range j.crashes {
		if t.Job == id && n >= minCrashesToFail {
			return true
		}
	}
	return false
}

// Unfinished describes the accepted jobs that have no final state and the long-running tasks
// that do not run. It leaves out jobs with a task that crashes VMs.
func (j *Checker) Unfinished() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []string
	for id, k := range j.jobs {
		switch {
		case !k.accepted || k.cancelled || k.spec.Crash != nil:
		case k.spec.LongRunning:
			for i := range k.steps[0].Count {
				if t := (job.TaskID{Job: id, Index: i}); len(j.running[t]) == 0 {
					out = append(out, fmt.Sprintf("%v is long-running and does not run", t))
				}
			}
		case k.final == "":
			out = append(out, fmt.Sprintf("%s was accepted and has not finished", id))
		}
	}
	return out
}

// Settled reports whether all accepted jobs have finished or, if long-running, run. Jobs with
// a task that crashes VMs must have finished.
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

// Finish does the checks that are possible only at the end of the soak test.
func (j *Checker) Finish() {
	for _, o := range j.Unfinished() {
		j.Reportf("at the end: %s", o)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, k := range j.jobs {
		if k.started && !k.accepted && !k.unknown {
			j.violationf("%s has run, but all its submissions were refused", id)
		}
	}
}

// Summary returns the counts of jobs and starts as text.
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
	return fmt.Sprintf("%d jobs, %d accepted, %d completed, %d with a task that crashes VMs, %d starts", len(j.jobs), accepted, completed, crashing, j.startCount)
}
