package schedule

import (
	"time"

	"lavenderpond/core/job"
)

// Command is what the scheduler wants done.
type Command interface{ command() }

// Start orders a task's start on a VM in an availability zone. Life is the VM's life as
// known at its sending, since the answer needn't name the life that gives it.
type Start struct {
	VM    job.VMID
	Life  job.Born
	Zone  job.ZoneName
	Order job.StartOrder
}

// Stop orders a run's end on a VM. Life is as in a Start.
type Stop struct {
	VM      job.VMID
	Life    job.Born
	Fence   job.Fence
	Task    job.TaskID
	Attempt job.Attempt
}

// Pace sets the share at which a task works.
type Pace struct {
	VM      job.VMID
	Fence   job.Fence
	Task    job.TaskID
	Attempt job.Attempt
	Percent int
}

// Hold extends a VM's lease and asks for its lists. A look asks for them beside
// the hold that is on its way.
type Hold struct {
	VM    job.VMID
	Order job.HoldOrder
	Look  bool
}

// Save stores a job's progress. Saves must be stored in order of Sequence.
type Save struct {
	Sequence int64
	Job      job.ID
	Progress job.Progress
}

// SaveVM stores that tasks may run on a VM, in order with the other saves.
type SaveVM struct {
	Sequence int64
	VM       RosterVM
}

// DropVM stores that none can run there any more, in order with the other saves.
type DropVM struct {
	Sequence int64
	VM       job.VMID
}

// RequestTickets asks which VMs may run a step.
type RequestTickets struct {
	Step job.StepID
	VMs  []job.VMID
}

// Move orders a machine into another pool.
type Move struct {
	Machine job.MachineID
	Pool    job.PoolName
}

// Upkeep orders a machine's upkeep.
type Upkeep struct {
	Machine job.MachineID
	Wave    int64
}

// SaveWave stores which machines of a wave have had their upkeep, in order with
// the other saves.
type SaveWave struct {
	Sequence int64
	Number   int64
	Done     []job.MachineID
}

// SaveOrder stores that a machine may have been given an order of late, in order
// with the other saves.
type SaveOrder struct {
	Sequence int64
	Order    MachineOrder
}

// DropOrder stores that its last order was long ago, in order with the other saves.
type DropOrder struct {
	Sequence int64
	Machine  job.MachineID
}

// MachineOrder says who gave a machine an order of late.
type MachineOrder struct {
	Machine job.MachineID `json:"machine"`
	Holder  string        `json:"holder"`
}

// DeleteJob removes what is stored of a job that ended long ago.
type DeleteJob struct{ Job job.ID }

// PublishWave publishes a wave's state.
type PublishWave struct {
	Number int64
	State  job.WaveState
}

func (Start) command()          {}
func (Stop) command()           {}
func (Pace) command()           {}
func (Hold) command()           {}
func (Save) command()           {}
func (SaveVM) command()         {}
func (DropVM) command()         {}
func (SaveWave) command()       {}
func (SaveOrder) command()      {}
func (DropOrder) command()      {}
func (DeleteJob) command()      {}
func (RequestTickets) command() {}
func (Move) command()           {}
func (Upkeep) command()         {}
func (PublishWave) command()    {}

// SequenceOf returns the sequence of a save; ok is false if c is another command.
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
}

// Outcome is what came of an order to a VM.
type Outcome int

// The outcomes.
const (
	// Answered: the report holds the answer, which may be a refusal.
	Answered Outcome = iota
	// NotDone: the order wasn't carried out and can't be any more.
	NotDone
	// Unanswered: it may have been carried out, or may be later.
	Unanswered
	// Unhealthy: the VM refused to do anything.
	Unhealthy
	// OtherLife: another VM answers at the address.
	OtherLife
)

// String returns the outcome in snake case.
func (o Outcome) String() string {
	return [...]string{"answered", "not_done", "unanswered", "unhealthy", "other_life"}[o]
}

// Observer is told of the scheduler's decisions, for logs and figures.
type Observer interface {
	// Decided is told of a decision about a task or job.
	Decided(d Decision)
}

// Decision is one decision with what it rests on.
type Decision struct {
	Kind    DecisionKind
	Job     job.ID
	Task    job.TaskID
	Attempt job.Attempt
	VM      job.VMID
	Reason  string
	// Age is how old the deciding knowledge is.
	Age time.Duration
	// After is how long after the job's arrival this happened.
	After time.Duration
	// Slack is the time left to the job's objective, less what the job is predicted to need.
	Slack time.Duration
}

// DecisionKind names a kind of decision.
type DecisionKind string

// The kinds of decisions.
const (
	JobAdopted     DecisionKind = "job_adopted"
	JobBeyondShare DecisionKind = "job_beyond_share"
	JobPlaced      DecisionKind = "job_placed"
	JobEnded       DecisionKind = "job_ended"
	JobCancelled   DecisionKind = "job_cancelled"
	TaskOrdered    DecisionKind = "task_ordered"
	TaskNotBegun   DecisionKind = "task_not_begun"
	TaskStarted    DecisionKind = "task_started"
	TaskEnded      DecisionKind = "task_ended"
	EndRedundant   DecisionKind = "end_redundant"
	TaskFreed      DecisionKind = "task_freed"
	TaskLostVM     DecisionKind = "task_lost_vm"
	TaskGivenUp    DecisionKind = "task_given_up"
	TaskStopping   DecisionKind = "task_stopping"
	TaskFound      DecisionKind = "task_found"
	VMFound        DecisionKind = "vm_found"
	VMSilent       DecisionKind = "vm_silent"
	VMBack         DecisionKind = "vm_back"
	VMReborn       DecisionKind = "vm_reborn"
	VMGone         DecisionKind = "vm_gone"
	VMDraining     DecisionKind = "vm_draining"
	VMSuspected    DecisionKind = "vm_suspected"
	VMSlow         DecisionKind = "vm_slow"
	VMVacated      DecisionKind = "vm_vacated"
	ZoneEvacuated  DecisionKind = "zone_evacuated"
	ZoneReopened   DecisionKind = "zone_reopened"
	WaveChanged    DecisionKind = "wave_changed"
	MachineSeen    DecisionKind = "machine_seen"
	MachineMoved   DecisionKind = "machine_moved"
	MachineUpkept  DecisionKind = "machine_upkept"
)
