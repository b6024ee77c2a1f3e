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

// Ask asks which VMs may run a step.
type Ask struct {
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

// Forget removes what is stored of a job that ended long ago.
type Forget struct{ Job job.ID }

// ShowWave publishes a wave's state.
type ShowWave struct {
	Number int64
	State  job.WaveState
}

func (Start) command()     {}
func (Stop) command()      {}
func (Pace) command()      {}
func (Hold) command()      {}
func (Save) command()      {}
func (SaveVM) command()    {}
func (DropVM) command()    {}
func (SaveWave) command()  {}
func (SaveOrder) command() {}
func (DropOrder) command() {}
func (Forget) command()    {}
func (Ask) command()       {}
func (Move) command()      {}
func (Upkeep) command()    {}
func (ShowWave) command()  {}

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
	What    What
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

// What names a kind of decision.
type What string

// The kinds of decisions.
const (
	JobAdopted    What = "job_adopted"
	JobExcess     What = "job_beyond_share"
	JobPlaced     What = "job_placed"
	JobEnded      What = "job_ended"
	JobCancelled  What = "job_cancelled"
	TaskOrdered   What = "task_ordered"
	TaskNotBegun  What = "task_not_begun"
	TaskStarted   What = "task_started"
	TaskEnded     What = "task_ended"
	EndRedundant  What = "end_redundant"
	TaskFreed     What = "task_freed"
	TaskLostVM    What = "task_lost_vm"
	TaskGivenUp   What = "task_given_up"
	TaskStopping  What = "task_stopping"
	TaskFound     What = "task_found"
	VMFound       What = "vm_found"
	VMSilent      What = "vm_silent"
	VMBack        What = "vm_back"
	VMReborn      What = "vm_reborn"
	VMGone        What = "vm_gone"
	VMDraining    What = "vm_draining"
	VMSuspected   What = "vm_suspected"
	VMSlow        What = "vm_slow"
	VMVacated     What = "vm_vacated"
	ZoneEvacuated What = "zone_evacuated"
	ZoneReopened  What = "zone_reopened"
	WaveChanged   What = "wave_changed"
	MachineSeen   What = "machine_seen"
	MachineMoved  What = "machine_moved"
	MachineUpkept What = "machine_upkept"
)
