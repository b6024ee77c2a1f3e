package job

import "time"

// VMID names one life of a VM; a crashed one may come back under the same ID.
type VMID string

// Fence is the token that guards a VM against orders of a former owner.
type Fence uint64

// VMClock is a reading of a VM's own steady clock.
type VMClock int64

// Born is when a life of a VM began, in Unix milliseconds.
type Born int64

// Refusal says why a VM didn't take an order.
type Refusal int

// The reasons of a VM.
const (
	NotRefused Refusal = iota
	// RefusedFence: the VM has seen a newer fence.
	RefusedStaleFence
	// RefusedOld: the attempt isn't newer than one that was stopped or ended.
	RefusedStaleAttempt
	// RefusedLate: the start deadline had passed.
	RefusedLate
	// RefusedRoom: the task doesn't fit.
	RefusedCapacity
	// RefusedTicket: the approval is missing or has run out.
	RefusedTicket
	// RefusedOther: a reason that is not known here.
	RefusedOther
)

// String returns the reason in snake case.
func (r Refusal) String() string {
	names := [...]string{"none", "fence", "old", "late", "room", "ticket", "other"}
	if int(r) < len(names) {
		return names[r]
	}
	return "other"
}

// StartOrder tells a VM to start a task.
type StartOrder struct {
	Task       TaskID
	Attempt    Attempt
	Spec       string
	Fence      Fence
	Checkpoint Checkpoint
	// Deadline extends the lease of all that runs on the VM; a start that
	// arrives later is refused.
	Deadline VMClock
	Ticket   string
}

// HoldOrder extends the lease of what runs on a VM and asks for its lists.
type HoldOrder struct {
	Fence Fence
	// Deadline is the lease's new end; 0 leaves it as it is.
	Deadline VMClock
	// Noted is the number of the last end that the VM may forget.
	Noted int64
	// Wait is how long the VM may wait for an end before it answers.
	Wait time.Duration
}

// RunningTask is a task on a VM.
type RunningTask struct {
	Task       TaskID
	Attempt    Attempt
	Checkpoint Checkpoint
	// Percent is the progress, or for a lasting task its share at work.
	Percent int
	// Load is the tail of response times in ms for a task that serves, else the
	// CPU in use.
	Load int64
}

// Ending is how a run ended.
type Ending int

// The ways a run ends.
const (
	EndedDone Ending = iota + 1
	EndedFailed
	EndedStopped
	EndedLeaseExpired
	EndedBroken
	EndedAlone
)

// String returns the ending in snake case.
func (e Ending) String() string {
	names := [...]string{"none", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if int(e) < len(names) {
		return names[e]
	}
	return "unknown"
}

// Report is a VM's answer to an order.
type Report struct {
	Clock   VMClock
	Born    Born
	Refused Refusal
	// Lists is set on the answer to a hold only.
	Lists    bool
	Running  []RunningTask
	Finished []End
}

// VMRecord is what a VM says of itself in the table.
type VMRecord struct {
	ID      VMID
	Pool    PoolName
	Address string
	Zone    ZoneName
	// Draining VMs leave soon; LeavesIn is the least time that is left.
	Draining      bool
	RemainingTime time.Duration
	// WarmupLeft is how much longer the VM is slow after its start.
	WarmupLeft time.Duration
	Capacity   Resources
	Labels     []Label
	Machine    MachineID
	Clock      VMClock
	Born       Born
	Sequence   int64
}

// End is the end of a run.
type End struct {
	Number     int64
	Task       TaskID
	Attempt    Attempt
	How        Ending
	Checkpoint Checkpoint
}
