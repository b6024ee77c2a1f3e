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
	// done are the tasks with a run that ended as done, acknowledged the tasks whose end as
	// done an owner has acknowledged.
	done, acknowledged map[job.TaskID]bool
	jobs               map[job.ID]*submittedJob
	violations         []string
	startCount         int
	// crashes counts the VMs that have crashed while they ran a task, startsAfterCrashLimit
	// the starts of the task after crashLimit such crashes.
	crashes, startsAfterCrashLimit map[job.TaskID]int
	placements                     map[job.VMID]*Placement
	// evacuated maps the availability zones in which no task may start to the time of
	// the request.
	evacuated map[job.ZoneName]time.Time
	usage     map[job.AccountName]*accountUsage
	waves     map[int64]*trackedWave
	// machines are the machines that exist. terminated counts the runs that maintenance ended.
	machines   map[job.MachineID]bool
	terminated int
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
	// minCrashesToGiveUp is how many VMs must crash while they run a task before the task may
	// be given up, which fails its job.
	minCrashesToGiveUp = 2
	// crashLimit is the number of crashes after which a crashing task may be started only
	// maxStartsAfterCrashLimit times more.
	crashLimit               = 3
	maxStartsAfterCrashLimit = 2
)

// submittedJob is a job as its caller knows it.
type submittedJob struct {
	account job.AccountName
	spec    standin.Spec
	steps   []standin.StepBody
	// accepted is set by a successful submission, unknown by an answer that leaves open
	// whether the job was accepted, started by the first start of a task.
	accepted, outcomeUnknown, started bool
	acceptedAt                        time.Time
	cancelled                         bool
	// finalState is the final state that a caller was shown.
	finalState string
}

// NewChecker returns a checker without jobs and VMs.
func NewChecker() *Checker {
	return &Checker{
		now: time.Now, startedAt: time.Now(), running: map[job.TaskID]map[job.VMID]bool{}, done: map[job.TaskID]bool{},
		acknowledged: map[job.TaskID]bool{}, jobs: map[job.ID]*submittedJob{},
		crashes: map[job.TaskID]int{}, startsAfterCrashLimit: map[job.TaskID]int{},
		placements: map[job.VMID]*Placement{}, evacuated: map[job.ZoneName]time.Time{},
		usage: map[job.AccountName]*accountUsage{}, waves: map[int64]*trackedWave{}, machines: map[job.MachineID]bool{},
	}
}

// violationf records a violated invariant. c.mu must be held.
func (c *Checker) violationf(format string, args ...any) {
	at := c.now().Sub(c.startedAt).Seconds()
	c.violations = append(c.violations, fmt.Sprintf("%8.3f s  ", at)+fmt.Sprintf(format, args...))
}

// Reportf records a failure that another part of the soak test has found.
func (c *Checker) Reportf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violationf(format, args...)
}

// Violations returns the violations recorded so far.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}

// Placed records the placement of a VM that starts or restarts.
func (c *Checker) Placed(vm job.VMID, p Placement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placements[vm] = &p
}

// Resized records a change of the capacity of a VM.
func (c *Checker) Resized(vm job.VMID, capacity int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.placements[vm]
	p.previous = append(p.previous, pastCapacity{p.Capacity, c.now()})
	p.Capacity = capacity
}

// Evacuated records the request to start no tasks in the zone. It applies once
// evacuationLimit has passed.
func (c *Checker) Evacuated(z job.ZoneName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuated[z] = c.now()
}

// Reopened records that tasks may start in the zone again.
func (c *Checker) Reopened(z job.ZoneName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuated, z)
}

// Started implements standin.Observer.
func (c *Checker) Started(vm job.VMID, t job.TaskID, n job.Attempt, _ string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startCount++
	submitted := c.jobs[t.Job]
	if submitted == nil || t.Step >= len(submitted.steps) {
		c.violationf("%v starts on %s: no caller submitted this task", t, vm)
		return
	}
	submitted.started = true
	c.checkStarvation(submitted, t)
	if requestedAt, ok := c.evacuated[c.placements[vm].Zone]; ok && c.now().Sub(requestedAt) > evacuationLimit {
		c.violationf("%v starts on %s in a zone that has been evacuated for %s", t, vm, c.now().Sub(requestedAt))
	}
	if others := c.running[t]; len(others) > 0 {
		c.violationf("%v starts on %s as attempt %d while it runs on %v", t, vm, n, others)
	}
	if c.acknowledged[t] {
		c.violationf("%v starts on %s as attempt %d after it was acknowledged as done", t, vm, n)
	}
	for _, s := range submitted.steps[t.Step].After {
		if !c.stepDone(t.Job, s, submitted.steps[s].Count) {
			c.violationf("%v starts before step %d is done", t, s)
		}
	}
	if c.running[t] == nil {
		c.running[t] = map[job.VMID]bool{}
	}
	c.running[t][vm] = true
	c.checkCapacity(vm, t)
	c.checkStartsAfterCrashes(vm, t)
}

// checkCapacity checks that a start does not overload a VM that ignores its capacity. Other
// VMs refuse such starts themselves.
func (c *Checker) checkCapacity(vm job.VMID, t job.TaskID) {
	p := c.placements[vm]
	var used int64
	for x, vms := range c.running {
		if vms[vm] {
			used += c.jobs[x.Job].steps[x.Step].CPU
		}
	}
	if limit := p.capacityLimit(c.now()); p.IgnoresCapacity && used > limit {
		c.violationf("%v overloads %s: CPU %d of %d", t, vm, used, limit)
	}
}

// checkStartsAfterCrashes checks that a task that crashes VMs is not started without limit.
func (c *Checker) checkStartsAfterCrashes(vm job.VMID, t job.TaskID) {
	if !c.jobs[t.Job].spec.CrashesVM(t) || c.crashes[t] < crashLimit {
		return
	}
	c.startsAfterCrashLimit[t]++
	if c.startsAfterCrashLimit[t] > maxStartsAfterCrashLimit {
		c.violationf("%v starts on %s after %d VMs crashed while they ran it", t, vm, c.crashes[t])
	}
}

// stepDone reports whether all tasks of a step are done.
func (c *Checker) stepDone(id job.ID, step, count int) bool {
	for i := range count {
		if !c.done[job.TaskID{Job: id, Step: step, Index: i}] {
			return false
		}
	}
	return true
}

// Ended implements standin.Observer.
func (c *Checker) Ended(vm job.VMID, t job.TaskID, _ job.Attempt, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running[t], vm)
	switch how {
	case "done":
		c.done[t] = true
	case "lost":
		c.crashes[t]++
	case "terminated":
		c.terminated++
	}
}

// EndAcknowledged implements standin.Observer.
func (c *Checker) EndAcknowledged(t job.TaskID, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if how == "done" {
		c.acknowledged[t] = true
	}
}

// Submitting records a job before its first submission.
func (c *Checker) Submitting(id job.ID, account job.AccountName, spec standin.Spec, steps []standin.StepBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = &submittedJob{account: account, spec: spec, steps: steps}
	c.countSubmission(account)
}

// SubmitAnswered records the HTTP status of a submission; 0 means no answer.
func (c *Checker) SubmitAnswered(id job.ID, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status == 200:
		c.jobs[id].accepted, c.jobs[id].acceptedAt = true, c.now()
	case status != 429 && status != 503:
		c.jobs[id].outcomeUnknown = true
	}
}

// Cancelling records that a caller is about to cancel a job.
func (c *Checker) Cancelling(id job.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelled = true
}

// StateReturned checks the answer to a request for the state of a job.
func (c *Checker) StateReturned(id job.ID, status int, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	submitted := c.jobs[id]
	switch {
	case status == 410 && submitted.accepted:
		c.violationf("%s was accepted, but the system has forgotten it", id)
	case status != 200:
		return
	case state == "completed":
		for s := range submitted.steps {
			if !c.stepDone(id, s, submitted.steps[s].Count) {
				c.violationf("%s is shown as completed, but step %d is not done", id, s)
			}
		}
	case state == "cancelled" && !submitted.cancelled:
		c.violationf("%s is shown as cancelled, but its caller did not cancel it", id)
	case state == "failed" && !c.mayFail(id):
		c.violationf("%s is shown as failed, but no task may be given up", id)
		return
	}
	if state == "completed" || state == "cancelled" || state == "failed" {
		submitted.finalState = state
	}
}

// mayFail reports whether enough VMs have crashed while they ran one of the job's tasks.
func (c *Checker) mayFail(id job.ID) bool {
	for t, n := range c.crashes {
		if t.Job == id && n >= minCrashesToGiveUp {
			return true
		}
	}
	return false
}

// Unfinished describes the accepted jobs that have no final state, the long-running tasks that
// do not run, and the waves that are not completed. It leaves out jobs with a task that crashes
// VMs.
func (c *Checker) Unfinished() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id, submitted := range c.jobs {
		switch {
		case !submitted.accepted || submitted.cancelled || submitted.spec.Crash != nil:
		case submitted.spec.LongRunning:
			for i := range submitted.steps[0].Count {
				if t := (job.TaskID{Job: id, Index: i}); len(c.running[t]) == 0 {
					out = append(out, fmt.Sprintf("%v is long-running and does not run", t))
				}
			}
		case submitted.finalState == "":
			out = append(out, fmt.Sprintf("%s was accepted and has not finished", id))
		}
	}
	for number, w := range c.waves {
		missing := c.missing(w)
		if w.state != waveCompleted || len(missing) > 0 {
			out = append(out, fmt.Sprintf("wave %d is shown as %q, and the maintenance of %v hasn't begun", number, w.state, missing))
		}
	}
	return out
}

// Settled reports whether all accepted jobs have finished or, if long-running, run, and all
// waves are completed. Jobs with a task that crashes VMs must have finished.
func (c *Checker) Settled() bool {
	if len(c.Unfinished()) > 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, submitted := range c.jobs {
		if submitted.accepted && !submitted.cancelled && submitted.spec.Crash != nil && submitted.finalState == "" {
			return false
		}
	}
	return true
}

// Finish does the checks that are possible only at the end of the soak test.
func (c *Checker) Finish() {
	for _, o := range c.Unfinished() {
		c.Reportf("at the end: %s", o)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, submitted := range c.jobs {
		if submitted.started && !submitted.accepted && !submitted.outcomeUnknown {
			c.violationf("%s has run, but all its submissions were refused", id)
		}
	}
}

// Summary returns the counts of jobs and starts as text.
func (c *Checker) Summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted, completed, crashing := 0, 0, 0
	for _, submitted := range c.jobs {
		if submitted.accepted {
			accepted++
		}
		if submitted.finalState == "completed" {
			completed++
		}
		if submitted.accepted && submitted.spec.Crash != nil {
			crashing++
		}
	}
	maintained := 0
	for _, w := range c.waves {
		maintained += len(w.begun)
	}
	return fmt.Sprintf("%d jobs, %d accepted, %d completed, %d with a task that crashes VMs, %d starts, %d waves, %d machines maintained, %d runs ended by that",
		len(c.jobs), accepted, completed, crashing, c.startCount, len(c.waves), maintained, c.terminated)
}
