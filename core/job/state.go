package job

import "time"

// State is the state of a job as shown to callers.
type State int

// The states of a job.
const (
	Pending State = iota
	Running
	Completed
	Failed
	Cancelled
)

// String returns the state in snake case.
func (s State) String() string {
	switch s {
	case Pending:
		return "pending"
	case Running:
		return "running"
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	}
	return "unknown"
}

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s >= Completed }

// Progress is the part of a job's state that is stored, so that another process can
// continue the job.
type Progress struct {
	State State `json:"state"`
	// DoneBefore is the number of occurrences, from the first on, that are complete and that Done
	// doesn't list.
	DoneBefore int `json:"done_before,omitempty"`
	// Done lists the tasks that succeeded, by occurrence and step.
	Done []StepDone `json:"done,omitempty"`
	// Failed lists the failed runs of each task that has any.
	Failed []TaskFailures `json:"failed,omitempty"`
	// VMs lists all VMs on which a task of the job may have been started.
	VMs []VMID `json:"vms,omitempty"`
	// Crashed lists the tasks whose VMs have crashed while they ran.
	Crashed []TaskCrashes `json:"crashed,omitempty"`
	// Started lists the task starts whose VMs a new owner needs to know.
	Started []TaskStart `json:"started,omitempty"`
}

// TaskCrashes lists the attempts of one task during which the VM crashed.
type TaskCrashes struct {
	Occurrence int       `json:"k,omitempty"`
	Step       int       `json:"s"`
	Task       int       `json:"t"`
	Attempts   []Attempt `json:"a"`
	// Confirmed is the number of these VMs that had confirmed that the task was running.
	// Of those, AtStart is the number that crashed right after the start, and SoleSuspect
	// is the number on which no other task can have caused the crash.
	Confirmed   int `json:"certain,omitempty"`
	AtStart     int `json:"at_start,omitempty"`
	SoleSuspect int `json:"alone,omitempty"`
}

// TaskStart records the start of one task on a VM. Born distinguishes VMs that reuse the
// same ID.
type TaskStart struct {
	Occurrence int     `json:"k,omitempty"`
	Step       int     `json:"s"`
	Task       int     `json:"t"`
	Attempt    Attempt `json:"a"`
	VM         VMID    `json:"vm"`
	Born       Born    `json:"born,omitempty"`
	// LeaseExpired is set if the run is over because the lease of its VM expired. The VM may
	// turn out to have crashed.
	LeaseExpired bool `json:"lapsed,omitempty"`
	// StableAt is the reading of the VM's clock from which the run counts as stable; 0 until the
	// VM has confirmed the run.
	StableAt VMClock `json:"stable_at,omitempty"`
	// ForgetAt is when the run is forgotten if LeaseExpired is set, or zero if that isn't known. It
	// is a time of the owner's clock, so it isn't part of the encoding.
	ForgetAt time.Time `json:"-"`
}

// StepDone lists the tasks of a step that succeeded: those below Before, and Tasks.
type StepDone struct {
	Occurrence int   `json:"k,omitempty"`
	Step       int   `json:"s"`
	Before     int   `json:"b,omitempty"`
	Tasks      []int `json:"t"`
}

// TaskFailures lists the failed runs of one task. It stores the attempts instead of a
// count, because VMs report an end to a new owner again even if a former owner stored it.
type TaskFailures struct {
	Occurrence int       `json:"k,omitempty"`
	Step       int       `json:"s"`
	Task       int       `json:"t"`
	Attempts   []Attempt `json:"a"`
}
