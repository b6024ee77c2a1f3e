package job

// State is what a caller is shown of a job.
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

// Final tells whether the state can't change any more.
func (s State) Final() bool { return s >= Completed }

// Progress is what must outlast the process that runs a job.
type Progress struct {
	State State `json:"state"`
	// Done lists, by occurrence and step, the tasks that have ended well.
	Done []StepDone `json:"done,omitempty"`
	// Failed lists the failed runs of tasks that have any.
	Failed []TaskFailures `json:"failed,omitempty"`
	// VMs are all on which a task of the job may have been started.
	VMs []VMID `json:"vms,omitempty"`
	// Crashed lists the tasks under which VMs have crashed.
	Crashed []TaskCrashes `json:"crashed,omitempty"`
	// Started lists the starts of which a new owner has to know where they went.
	Started []TaskStart `json:"started,omitempty"`
}

// TaskCrashes lists the starts of one task under which the VM crashed.
type TaskCrashes struct {
	Occurrence int       `json:"k,omitempty"`
	Step       int       `json:"s"`
	Task       int       `json:"t"`
	Attempts   []Attempt `json:"a"`
	// Confirmed is how many of these VMs had confirmed that the task runs; AtStart how many
	// of those crashed right after the start, Alone how many while no other task there can
	// have been the cause.
	Confirmed   int `json:"certain,omitempty"`
	AtStart     int `json:"at_start,omitempty"`
	SoleSuspect int `json:"alone,omitempty"`
}

// TaskStart is a start of one task on a life of a VM.
type TaskStart struct {
	Occurrence int     `json:"k,omitempty"`
	Step       int     `json:"s"`
	Task       int     `json:"t"`
	Attempt    Attempt `json:"a"`
	VM         VMID    `json:"vm"`
	Born       Born    `json:"born,omitempty"`
	// LeaseExpired starts are of runs that are over, since their VM's lease has run out; the VM may
	// turn out to have crashed.
	LeaseExpired bool `json:"lapsed,omitempty"`
}

// StepDone lists the finished tasks of a step.
type StepDone struct {
	Occurrence int   `json:"k,omitempty"`
	Step       int   `json:"s"`
	Tasks      []int `json:"t"`
}

// TaskFailures lists the failed runs of one task. It holds the attempts and not
// their number: a new owner is told again of ends that the former one had stored.
type TaskFailures struct {
	Occurrence int       `json:"k,omitempty"`
	Step       int       `json:"s"`
	Task       int       `json:"t"`
	Attempts   []Attempt `json:"a"`
}
