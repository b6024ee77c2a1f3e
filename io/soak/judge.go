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

// Judge checks the promises while a soak goes on. Use NewJudge.
type Judge struct {
	mu      sync.Mutex
	now     func() time.Time
	began   time.Time
	running map[job.TaskID]map[job.VMID]bool
	// done are tasks with a run that ended well, noted those whose end was noted.
	done, noted map[job.TaskID]bool
	jobs        map[job.ID]*known
	broken      []string
	starts      int
	// crashed counts the VMs that have crashed under a task, spare its starts after
	// crashesMost of them.
	crashed, spare map[job.TaskID]int
	places         map[job.VMID]*Place
	// evacuated are the availability zones in which nothing may start, and since when.
	evacuated map[job.ZoneName]time.Time
}

// Place is where a VM is and what it may take.
type Place struct {
	Zone job.ZoneName
	// Room is in thousandths of a core.
	Room int64
	// Unguarded VMs start what doesn't fit, too.
	Unguarded bool
	// former are the rooms that it had before.
	former []formerRoom
}

// formerRoom is a room that a VM had until some time.
type formerRoom struct {
	room  int64
	until time.Time
}

// limit returns what may run there: the largest room of late.
func (p *Place) limit(now time.Time) int64 {
	most := p.Room
	for _, f := range p.former {
		if now.Sub(f.until) <= shrinkWithin {
			most = max(most, f.room)
		}
	}
	return most
}

// evacuateWithin is how long after the request for it no task starts in an availability
// zone any more.
const evacuateWithin = 5 * time.Second

const (
	// shrinkWithin is how long after a VM's room has shrunk starts must keep to it: the
	// VM tells of it at its next heartbeat.
	shrinkWithin = 3*time.Second + heartbeatEvery
	// crashesToFail is how many VMs crash under a task before its job may fail.
	crashesToFail = 2
	// crashesMost is how many VMs crash under a task before it may be started only
	// sparesMost times more.
	crashesMost = 3
	sparesMost  = 2
)

// known is a job as its caller knows it.
type known struct {
	spec  standin.Spec
	steps []standin.StepBody
	// accepted is set by a success, unknown by an answer that leaves it open,
	// started by the first task.
	accepted, unknown, started bool
	cancelled                  bool
	final                      string
}

// NewJudge returns a judge that knows of no job.
func NewJudge() *Judge {
	return &Judge{
		now: time.Now, began: time.Now(), running: map[job.TaskID]map[job.VMID]bool{}, done: map[job.TaskID]bool{},
		noted: map[job.TaskID]bool{}, jobs: map[job.ID]*known{},
		crashed: map[job.TaskID]int{}, spare: map[job.TaskID]int{},
		places: map[job.VMID]*Place{}, evacuated: map[job.ZoneName]time.Time{},
	}
}

func (j *Judge) fail(format string, args ...any) {
	at := j.now().Sub(j.began).Seconds()
	j.broken = append(j.broken, fmt.Sprintf("%8.3f s  ", at)+fmt.Sprintf(format, args...))
}

// Report notes something else that was broken.
func (j *Judge) Report(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fail(format, args...)
}

// Broken returns what was broken so far.
func (j *Judge) Broken() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.broken
}

// Placed notes where a new life of a VM is.
func (j *Judge) Placed(vm job.VMID, p Place) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.places[vm] = &p
}

// Resized notes that a VM's room has changed.
func (j *Judge) Resized(vm job.VMID, room int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := j.places[vm]
	p.former = append(p.former, formerRoom{p.Room, j.now()})
	p.Room = room
}

// Evacuated notes that nothing may start in the zone from now on, once the request has
// had its time.
func (j *Judge) Evacuated(z job.ZoneName) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.evacuated[z] = j.now()
}

// Reopened notes that tasks may start in the zone again.
func (j *Judge) Reopened(z job.ZoneName) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.evacuated, z)
}

// Started implements standin.Observer.
func (j *Judge) Started(vm job.VMID, t job.TaskID, n job.Attempt, _ string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	k := j.jobs[t.Job]
	if k == nil || t.Step >= len(k.steps) {
		j.fail("%v starts on %s: nobody handed it in", t, vm)
		return
	}
	k.started = true
	if asked, ok := j.evacuated[j.places[vm].Zone]; ok && j.now().Sub(asked) > evacuateWithin {
		j.fail("%v starts on %s in a zone that is evacuated for %s", t, vm, j.now().Sub(asked))
	}
	if others := j.running[t]; len(others) > 0 {
		j.fail("%v starts on %s as attempt %d while it runs on %v", t, vm, n, others)
	}
	if j.noted[t] {
		j.fail("%v starts on %s as attempt %d after it was noted as done", t, vm, n)
	}
	for _, s := range k.steps[t.Step].After {
		if !j.stepDone(t.Job, s, k.steps[s].Count) {
			j.fail("%v starts before step %d is done", t, s)
		}
	}
	if j.running[t] == nil {
		j.running[t] = map[job.VMID]bool{}
	}
	j.running[t][vm] = true
	j.checkRoom(vm, t)
	j.checkSpares(vm, t)
}

// checkRoom checks that a start left the VM within its room.
func (j *Judge) checkRoom(vm job.VMID, t job.TaskID) {
	p := j.places[vm]
	var used int64
	for x, vms := range j.running {
		if vms[vm] {
			used += j.jobs[x.Job].steps[x.Step].CPU
		}
	}
	if most := p.limit(j.now()); p.Unguarded && used > most {
		j.fail("%v starts on %s and brings it to %d of %d", t, vm, used, most)
	}
}

// checkSpares checks that a task that crashes VMs isn't started for ever.
func (j *Judge) checkSpares(vm job.VMID, t job.TaskID) {
	if !j.jobs[t.Job].spec.CrashesVM(t) || j.crashed[t] < crashesMost {
		return
	}
	j.spare[t]++
	if j.spare[t] > sparesMost {
		j.fail("%v starts on %s after %d VMs have crashed under it", t, vm, j.crashed[t])
	}
}

func (j *Judge) stepDone(id job.ID, step, count int) bool {
	for i := range count {
		if !j.done[job.TaskID{Job: id, Step: step, Index: i}] {
			return false
		}
	}
	return true
}

// Ended implements standin.Observer.
func (j *Judge) Ended(vm job.VMID, t job.TaskID, _ job.Attempt, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.running[t], vm)
	switch how {
	case "done":
		j.done[t] = true
	case "lost":
		j.crashed[t]++
	}
}

// Noted implements standin.Observer.
func (j *Judge) Noted(t job.TaskID, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if how == "done" {
		j.noted[t] = true
	}
}

// Offered notes a job before its first submission.
func (j *Judge) Offered(id job.ID, spec standin.Spec, steps []standin.StepBody) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id] = &known{spec: spec, steps: steps}
}

// Answered notes the status of a submission; 0 stands for no answer.
func (j *Judge) Answered(id job.ID, status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case status == 200:
		j.jobs[id].accepted = true
	case status != 429 && status != 503:
		j.jobs[id].unknown = true
	}
}

// Cancelled notes that a caller cancels a job.
func (j *Judge) Cancelled(id job.ID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id].cancelled = true
}

// Shown checks a state that a caller was shown.
func (j *Judge) Shown(id job.ID, status int, state string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	k := j.jobs[id]
	switch {
	case status == 410 && k.accepted:
		j.fail("%s was accepted and is not known any more", id)
	case status != 200:
		return
	case state == "completed":
		for s := range k.steps {
			if !j.stepDone(id, s, k.steps[s].Count) {
				j.fail("%s is shown as completed, and step %d isn't done", id, s)
			}
		}
	case state == "cancelled" && !k.cancelled:
		j.fail("%s is shown as cancelled, and nobody cancelled it", id)
	case state == "failed" && !j.mayFail(id):
		j.fail("%s is shown as failed, and no task fails", id)
		return
	}
	if state == "completed" || state == "cancelled" || state == "failed" {
		k.final = state
	}
}

// mayFail tells whether enough VMs have crashed under one of the job's tasks.
func (j *Judge) mayFail(id job.ID) bool {
	for t, n := range j.crashed {
		if t.Job == id && n >= crashesToFail {
			return true
		}
	}
	return false
}

// Open returns the accepted jobs that aren't over, and the lasting tasks that
// don't run; none with a task that crashes VMs.
func (j *Judge) Open() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []string
	for id, k := range j.jobs {
		switch {
		case !k.accepted || k.cancelled || k.spec.Crash != nil:
		case k.spec.LongRunning:
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
func (j *Judge) Settled() bool {
	if len(j.Open()) > 0 {
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
func (j *Judge) Finish() {
	for _, o := range j.Open() {
		j.Report("at the end: %s", o)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, k := range j.jobs {
		if k.started && !k.accepted && !k.unknown {
			j.fail("%s has run, and all submissions were refused", id)
		}
	}
}

// Figures sums up what happened.
func (j *Judge) Figures() string {
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
	return fmt.Sprintf("%d jobs, %d accepted, %d completed, %d crash VMs, %d starts", len(j.jobs), accepted, completed, crashing, j.starts)
}
