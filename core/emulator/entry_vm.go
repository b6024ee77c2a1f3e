package emulator

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
)

// Intervals and timeouts of the emulated entry VMs. They match those of the production
// driver.
const (
	// pollInterval is the time between two reads of the row of the owner by other entry VMs.
	pollInterval = 150 * time.Millisecond
	// tickInterval is the time between two scheduling rounds of the owner,
	// renewInterval that between two renewals of its ownership.
	tickInterval  = 40 * time.Millisecond
	renewInterval = 250 * time.Millisecond
	// commitWindow is how long a commit waits for further saves to join it.
	commitWindow = 12 * time.Millisecond
	// orderTimeout is how long the owner waits for the answer to an order. For a hold order
	// it waits for holdTimeoutMargin longer than the VM may.
	orderTimeout = 700 * time.Millisecond
	// minCommitTimeout is how long the owner waits for the answer to a commit if the table is
	// not slow.
	minCommitTimeout  = 250 * time.Millisecond
	holdTimeoutMargin = 600 * time.Millisecond
	// machineListInterval is the time between two reads of the list of machines.
	machineListInterval = 500 * time.Millisecond
)

// entryVM is an entry VM with its process, which can be killed and started again.
type entryVM struct {
	w    *World
	name string
	zone job.ZoneName
	// run numbers the current process; 0 means that none runs. lastRun is the number of
	// the latest one.
	run     int
	lastRun int
	frozen  bool
	// deferred are the callbacks that became due while the process was frozen.
	deferred []func()
	watcher  lease.Watcher
	owner    *owner
	// unreachable are the availability zones whose VMs are out of reach. The key "table"
	// stands for the table.
	unreachable map[job.ZoneName]bool
}

// callIfRunning calls f if the process with the given number still runs. If the process is
// frozen, the call is deferred until it resumes.
func (e *entryVM) callIfRunning(run int, f func()) {
	if e.run != run {
		return
	}
	if e.frozen {
		e.deferred = append(e.deferred, func() { e.callIfRunning(run, f) })
		return
	}
	f()
}

// startProcess starts a new process, which knows nothing of earlier ones.
func (e *entryVM) startProcess() {
	e.lastRun++
	e.run = e.lastRun
	e.watcher = lease.Watcher{}
	e.owner = nil
	e.pollOwner(e.run)
}

// kill ends the process without notice.
func (e *entryVM) kill() {
	e.run = 0
	e.owner = nil
	e.frozen = false
	e.deferred = nil
}

// freeze suspends the process.
func (e *entryVM) freeze() { e.frozen = true }

// thaw resumes the process, which then runs the deferred callbacks.
func (e *entryVM) thaw() {
	e.frozen = false
	deferred := e.deferred
	e.deferred = nil
	for _, f := range deferred {
		f()
	}
}

// reachesTable reports whether the table receives the calls of the entry VM.
func (e *entryVM) reachesTable() bool {
	t := e.w.table
	return !t.down && !t.disconnected[e] && !e.unreachable["table"]
}

// callTable sends a call to the table. apply carries it out there. answer is called with
// false if there is no reply in time; the call may have been carried out even so.
func (e *entryVM) callTable(timeout time.Duration, write bool, apply func(), answer func(ok bool)) {
	t := e.w.table
	run := e.run
	answered := false
	finish := func(ok bool) {
		e.callIfRunning(run, func() {
			if !answered {
				answered = true
				answer(ok)
			}
		})
	}
	e.w.after(timeout, func() { finish(false) })
	if !e.reachesTable() {
		return
	}
	requestDelay := 2*time.Millisecond + t.extraDelay/2
	e.w.after(requestDelay, func() {
		if write && e.w.chance(t.lostAnswerShare) {
			if t.lateWrites {
				e.w.after(e.w.randomBetween(time.Second, 6*time.Second), apply)
			} else {
				apply()
			}
			return
		}
		apply()
		e.w.after(2*time.Millisecond+t.extraDelay/2, func() { finish(true) })
	})
}

// pollOwner reads the rows of the owner and its renewal until a takeover is due.
func (e *entryVM) pollOwner(run int) {
	e.callIfRunning(run, func() {
		if e.owner != nil {
			return
		}
		t := e.w.table
		seen := lease.Observation{Sent: e.w.now}
		var row ownerRow
		e.callTable(time.Second, false, func() {
			seen.Owner, seen.Renewal = uint64(t.ownerVersion), uint64(t.renewalVersion)
			seen.Vacant = t.owner.vacant
			row = t.owner
		}, func(ok bool) {
			seen.Received = e.w.now
			seen.PreviousRun = row.entryVM == e.name && row.run != run
			seen.Resumed, seen.Tenure = row.resumed, e.w.now.Sub(row.takenOverAt)
			if ok && e.watcher.TakeoverDue(seen) {
				e.takeOver(run, seen, row)
				return
			}
			e.w.after(pollInterval, func() { e.pollOwner(run) })
		})
	})
}

// takeOver tries to become the owner. If it fails, polling continues.
func (e *entryVM) takeOver(run int, seen lease.Observation, row ownerRow) {
	t := e.w.table
	sent := e.w.now
	tenureNumber := row.tenureNumber + 1
	version, won := int64(0), false
	e.callTable(time.Second, true, func() {
		version, won = t.swapOwner(int64(seen.Owner), int64(seen.Renewal), ownerRow{
			entryVM: e.name, run: run, tenureNumber: tenureNumber, takenOverAt: sent, resumed: seen.PreviousRun && !seen.Vacant,
		})
	}, func(ok bool) {
		if !ok || !won {
			e.w.after(pollInterval+e.w.randomBetween(0, pollInterval), func() { e.pollOwner(run) })
			return
		}
		o := &owner{entryVM: e, run: run, fence: version, renewal: version, tenureNumber: tenureNumber, renewAt: e.w.now}
		o.ownership.Confirm(sent, sent)
		e.owner = o
		o.loadState()
	})
}

// shutDown stops the process as planned: it gives up ownership first.
func (e *entryVM) shutDown() {
	t := e.w.table
	if o := e.owner; o != nil && !e.frozen {
		fence := o.fence
		e.callTable(time.Second, true, func() {
			if t.ownerVersion == fence {
				t.owner.vacant = true
				t.ownerVersion = t.nextVersion()
			}
		}, func(bool) {})
	}
	e.w.after(10*time.Millisecond, e.kill)
}
