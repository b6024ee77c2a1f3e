package job

import "time"

// VMID identifies a VM. A VM that has crashed may return under the same ID; its Born
// value then differs.
type VMID string

// Fence is the fencing token that protects a VM from orders of a former owner.
type Fence uint64

// VMClock is a reading of a VM's own monotonic clock in milliseconds.
type VMClock int64

// Born is the time at which a VM started, in Unix milliseconds. It distinguishes VMs
// that use the same ID one after the other.
type Born int64

// Refusal is the reason why a VM did not accept an order.
type Refusal int

// The reasons for which a VM refuses an order.
const (
	NotRefused Refusal = iota
	// RefusedStaleFence means that the VM has seen a newer fence.
	RefusedStaleFence
	// RefusedStaleAttempt means that the attempt is not newer than one that was stopped
	// or has ended.
	RefusedStaleAttempt
	// RefusedLate means that the start deadline had passed.
	RefusedLate
	// RefusedCapacity means that the task doesn't fit on the VM.
	RefusedCapacity
	// RefusedTicket means that the approval of the start is missing or has expired.
	RefusedTicket
	// RefusedOther stands for any reason that is not listed here.
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
	// Deadline extends the lease of everything that runs on the VM. A start that
	// arrives after it is refused.
	Deadline VMClock
	Ticket   string
}

// HoldOrder extends the lease of everything that runs on a VM and requests its lists of
// running and finished tasks.
type HoldOrder struct {
	Fence Fence
	// Deadline is the new end of the lease; 0 leaves the lease unchanged.
	Deadline VMClock
	// Noted is the number of the last end that the VM may discard.
	Noted int64
	// Wait is how long the VM may wait for a run to end before it answers.
	Wait time.Duration
}

// RunningTask is a task that is running on a VM.
type RunningTask struct {
	Task       TaskID
	Attempt    Attempt
	Checkpoint Checkpoint
	// Percent is the progress of the task. For a long-running task it is the share of
	// its full service that the task provides.
	Percent int
	// Load is the tail latency in milliseconds for a task that serves users, and the
	// CPU usage for other tasks.
	Load int64
}

// Ending is the way in which a run ended.
type Ending int

// The ways in which a run can end. Only EndedFailed can count as a failed attempt of
// the task.
const (
	EndedDone Ending = iota + 1
	EndedFailed
	EndedStopped
	// EndedLeaseExpired means that the VM ended the run because its lease expired.
	EndedLeaseExpired
	// EndedGangBroken means that a gang member ended because another member of its gang
	// ended. The task starts again.
	EndedGangBroken
	// EndedGangTimeout means that a gang member gave up waiting for the other members of its
	// gang.
	EndedGangTimeout
)

// String returns the ending in snake case.
func (e Ending) String() string {
	names := [...]string{"none", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if int(e) < len(names) {
		return names[e]
	}
	return "unknown"
}

// Report is the answer of a VM to an order.
type Report struct {
	Clock   VMClock
	Born    Born
	Refused Refusal
	// Lists is set only on the answer to a HoldOrder; Running and Finished are then valid.
	Lists    bool
	Running  []RunningTask
	Finished []End
}

// VMRecord is the entry that a VM publishes about itself in the table.
type VMRecord struct {
	ID      VMID
	Pool    PoolName
	Address string
	Zone    ZoneName
	// Draining is set if the VM will shut down soon. RemainingTime is the minimum time
	// until then.
	Draining      bool
	RemainingTime time.Duration
	// WarmupLeft is how much longer the VM will be slow after its start.
	WarmupLeft time.Duration
	Capacity   Resources
	Labels     []Label
	Machine    MachineID
	Clock      VMClock
	Born       Born
	Sequence   int64
}

// End describes the end of a run.
type End struct {
	Number     int64
	Task       TaskID
	Attempt    Attempt
	How        Ending
	Checkpoint Checkpoint
}
