package schedule

import (
	"time"

	"lavenderpond/core/fairshare"
	"lavenderpond/core/job"
)

// Command is an action that the scheduler asks its caller to execute.
type Command interface{ command() }

// Start orders a task's start on a VM in an availability zone. Life identifies the boot of
// the VM that is known when the order is sent, since the answer doesn't always name the
// boot that gives it.
type Start struct {
	VM    job.VMID
	Life  job.Born
	Zone  job.ZoneName
	Order job.StartOrder
}

// Stop orders the end of a run on a VM. Life is the same as in Start.
type Stop struct {
	VM      job.VMID
	Life    job.Born
	Fence   job.Fence
	Task    job.TaskID
	Attempt job.Attempt
}

// Pace sets how fast a spare-CPU task may work, in percent of its full speed.
type Pace struct {
	VM      job.VMID
	Fence   job.Fence
	Task    job.TaskID
	Attempt job.Attempt
	Percent int
}

// Hold extends a VM's lease and asks for the lists of its running and ended tasks. A probe
// only asks for the lists, and may be sent while another hold is in flight.
type Hold struct {
	VM    job.VMID
	Order job.HoldOrder
	Probe bool
	// Direct is set if the hold must not be forwarded by a relay, which may have lost an order.
	Direct bool
}

// Save stores a job's progress. Saves must be stored in the order of Sequence.
type Save struct {
	Sequence int64
	Job      job.ID
	Progress job.Progress
}

// SaveVM stores that tasks may run on a VM. It is ordered with the other saves.
type SaveVM struct {
	Sequence int64
	VM       RosterVM
}

// DropVM stores that no task can run on a VM any more. It is ordered with the other
// saves.
type DropVM struct {
	Sequence int64
	VM       job.VMID
}

// RequestApproval asks the queue's approval service which VMs may run a step. The service
// issues a ticket for each approved VM. The answer is passed to Scheduler.ApprovalAnswered, also if
// the request failed.
type RequestApproval struct {
	Step job.StepID
	VMs  []job.VMID
	// Lives are the boots of the VMs that the request asks about, in the same order.
	Lives []job.Born
	// AnswerDue is when a request without an answer has failed.
	SentAt, AnswerDue time.Time
}

// Move orders a machine into another pool.
type Move struct {
	Machine job.MachineID
	Pool    job.PoolName
}

// Maintain orders the maintenance of a machine in a wave.
type Maintain struct {
	Machine job.MachineID
	Wave    int64
}

// SaveWave stores the progress of a wave. It is ordered with the other saves.
type SaveWave struct {
	Sequence int64
	Wave     int64
	Progress job.WaveProgress
}

// SaveOrder stores that a machine may recently have been given an order. It is ordered
// with the other saves.
type SaveOrder struct {
	Sequence int64
	Order    MachineOrder
}

// DropOrder stores that a machine's last order was long ago. It is ordered with the other
// saves.
type DropOrder struct {
	Sequence int64
	Machine  job.MachineID
}

// SaveShares stores what the accounts of a pool have held recently. It is ordered with the
// other saves.
type SaveShares struct {
	Sequence int64
	Pool     job.PoolName
	Usage    fairshare.StoredUsage
}

// SaveRunTimes stores what is known of a queue's run times. It is ordered with the other saves.
type SaveRunTimes struct {
	Sequence int64
	Queue    job.QueueName
	RunTimes StoredRunTimes
}

// MachineOrder names the issuer of a recent order for a machine.
type MachineOrder struct {
	Machine job.MachineID `json:"machine"`
	Issuer  string        `json:"holder"`
	// SentBefore is when the issuer had certainly sent its last order; zero if no other owner has
	// taken over since. It is a time of the owner's clock, so it isn't part of the encoding.
	SentBefore time.Time `json:"-"`
}

// DeleteJob deletes the stored rows of a job that ended long ago.
type DeleteJob struct{ Job job.ID }

// PublishWave publishes the state of a wave as of a revision of its definition.
type PublishWave struct {
	Wave     int64
	Revision job.WaveRevision
	State    job.WaveState
}

func (Start) command()           {}
func (Stop) command()            {}
func (Pace) command()            {}
func (Hold) command()            {}
func (Save) command()            {}
func (SaveVM) command()          {}
func (DropVM) command()          {}
func (SaveWave) command()        {}
func (SaveOrder) command()       {}
func (DropOrder) command()       {}
func (SaveShares) command()      {}
func (SaveRunTimes) command()    {}
func (DeleteJob) command()       {}
func (RequestApproval) command() {}
func (Move) command()            {}
func (Maintain) command()        {}
func (PublishWave) command()     {}

// SequenceOf returns the sequence of a save. ok is false for commands that store nothing.
func SequenceOf(c Command) (sequence int64, ok bool) {
	switch c := c.(type) {
	case Save:
		return c.Sequence, true
	case SaveVM:
		return c.Sequence, true
	case DropVM:
		return c.Sequence, true
	case SaveWave:
		return c.Sequence, true
	case SaveOrder:
		return c.Sequence, true
	case DropOrder:
		return c.Sequence, true
	case SaveShares:
		return c.Sequence, true
	case SaveRunTimes:
		return c.Sequence, true
	}
	return 0, false
}

// RosterVM is a VM on which the owner may have started tasks.
type RosterVM struct {
	ID      job.VMID      `json:"id"`
	Machine job.MachineID `json:"machine,omitempty"`
	Address string        `json:"address"`
	Pool    job.PoolName  `json:"pool"`
	Born    job.Born      `json:"born,omitempty"`
	// Lease is set while the owner can't reach the VM and extends its lease no more. Its times are
	// those of the owner's clock, so it isn't part of the encoding.
	Lease *RosterLease `json:"-"`
}

// RosterLease bounds what may still run on a VM that its owner can't reach.
type RosterLease struct {
	// End is when no task runs there any more.
	End time.Time
	// Jobs holds the jobs whose tasks may run there, each with the time until which they may. AnyJob
	// is set if others may too, until End.
	Jobs   map[job.ID]time.Time
	AnyJob bool
}

// Outcome is the result of an order to a VM.
type Outcome int

// Outcomes of an order.
const (
	// Answered: the report holds the answer, which may be a refusal.
	Answered Outcome = iota
	// NotDone: the order wasn't executed and can't be any more.
	NotDone
	// Unanswered: the order may have been executed, or may still be.
	Unanswered
	// Unhealthy: the VM refuses all orders.
	Unhealthy
	// OtherLife: the VM has restarted since, or another VM answers at its address.
	OtherLife
	// Rejected: the order was not executed, and would be rejected each time.
	Rejected
)

// String returns the outcome in snake case.
func (o Outcome) String() string {
	return [...]string{"answered", "not_done", "unanswered", "unhealthy", "other_life", "rejected"}[o]
}

// Observer receives the scheduler's decisions, for logs and metrics.
type Observer interface {
	// Decided reports a decision about a task, job, VM, machine, wave or availability
	// zone.
	Decided(d Decision)
}

// Decision describes one decision and the facts behind it.
type Decision struct {
	Kind    DecisionKind
	Job     job.ID
	Task    job.TaskID
	Attempt job.Attempt
	VM      job.VMID
	Machine job.MachineID
	Wave    int64
	Reason  string
	// Age is the age of the information behind the decision: for those about machines, of the list
	// that doesn't contain the machine or shows its state. For TaskEnded it is the run time,
	// for VMSlow the period over which progress was measured, and for VMSuspected the pause.
	Age time.Duration
	// After is the time since the arrival of the job or wave. For VMSlow it is the predicted
	// remaining time of the run.
	After time.Duration
	// Slack is the time left until the job's objective, minus the time that the job is
	// predicted to need.
	Slack time.Duration
	// Wait is how long what the decision is about has to wait at most. For VMSilent it is the time
	// until the VM's lease has certainly expired.
	Wait time.Duration
	// Share is set for decisions about an account's share.
	Share *ShareFacts
}

// ShareFacts are the facts behind a decision about an account's share of a pool. Fractions are
// those of the pool's capacity.
type ShareFacts struct {
	Account job.AccountName
	Pool    job.PoolName
	// Share is what the account may hold, and Usage what it holds or has held recently.
	Share, Usage float64
	// Waiting is the room that the account waits for.
	Waiting job.Resources
}

// DecisionKind names a kind of decision.
type DecisionKind string

// Kinds of decisions.
const (
	JobAdopted        DecisionKind = "job_adopted"
	JobBeyondShare    DecisionKind = "job_beyond_share"
	AccountAboveShare DecisionKind = "account_above_share"
	AccountWithin     DecisionKind = "account_within_share"
	JobBlocked        DecisionKind = "job_blocked"
	JobPlaced         DecisionKind = "job_placed"
	JobEnded          DecisionKind = "job_ended"
	JobUnstored       DecisionKind = "job_unstored"
	JobCancelled      DecisionKind = "job_cancelled"
	TaskOrdered       DecisionKind = "task_ordered"
	TaskNotBegun      DecisionKind = "task_not_begun"
	TaskStarted       DecisionKind = "task_started"
	TaskEnded         DecisionKind = "task_ended"
	EndRedundant      DecisionKind = "end_redundant"
	TaskFreed         DecisionKind = "task_freed"
	TaskLostVM        DecisionKind = "task_lost_vm"
	TaskGivenUp       DecisionKind = "task_given_up"
	TaskStopping      DecisionKind = "task_stopping"
	TaskAdopted       DecisionKind = "task_found"
	VMFound           DecisionKind = "vm_found"
	VMSilent          DecisionKind = "vm_silent"
	VMBack            DecisionKind = "vm_back"
	VMRestarted       DecisionKind = "vm_reborn"
	VMGone            DecisionKind = "vm_gone"
	VMDraining        DecisionKind = "vm_draining"
	VMSuspected       DecisionKind = "vm_suspected"
	VMSlow            DecisionKind = "vm_slow"
	StepApproval      DecisionKind = "step_approval"
	ForecastFailed    DecisionKind = "forecast_failed"
	SecondRun         DecisionKind = "second_run"
	TaskLong          DecisionKind = "task_long"
	VMLeaseStored     DecisionKind = "vm_lease_stored"
	VMVacated         DecisionKind = "vm_vacated"
	ZoneEvacuated     DecisionKind = "zone_evacuated"
	ZoneReopened      DecisionKind = "zone_reopened"
	WaveChanged       DecisionKind = "wave_changed"
	WaveMachine       DecisionKind = "wave_machine"
	MachineSeen       DecisionKind = "machine_seen"
	MachineUnlisted   DecisionKind = "machine_unlisted"
	MachineMoved      DecisionKind = "machine_moved"
	MachineMaintained DecisionKind = "machine_upkept"
)
