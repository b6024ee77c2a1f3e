package job

import "time"

// WaveRevision orders the definitions of a wave. A later definition has a higher revision.
type WaveRevision uint64

// Wave is an operator's request to maintain a set of machines.
type Wave struct {
	Number   int64
	Revision WaveRevision
	Machines []MachineID
	// Within is the period in which all machines must be maintained.
	Within time.Duration
	// MaxConcurrent limits how many machines are unavailable at the same time.
	MaxConcurrent int
}

// WaveProgress is the part of a wave's state that is stored, so that another process can continue the
// wave.
type WaveProgress struct {
	// Done lists the machines whose maintenance is complete.
	Done []MachineID `json:"done"`
	// Ordered lists the machines whose maintenance for this wave may have been ordered and isn't known
	// to be complete.
	Ordered []MachineID `json:"ordered,omitempty"`
	// Gone lists the machines that don't exist any more.
	Gone []MachineID `json:"gone,omitempty"`
}

// WaveState is the state of a wave that is shown to operators.
type WaveState int

// The states of a wave.
const (
	WaveRunning WaveState = iota
	WaveCompleted
)

// String returns the state in snake case.
func (s WaveState) String() string {
	if s == WaveCompleted {
		return "completed"
	}
	return "running"
}

// MachineID identifies a machine. A machine runs one VM after another.
type MachineID string

// MachineState is the state of a machine as reported by the platform.
type MachineState string

// The states of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "upkeep"
	MachineDown        MachineState = "down"
)

// Machine is one entry of the platform's list of machines.
type Machine struct {
	ID       MachineID
	Pool     PoolName
	State    MachineState
	Zone     ZoneName
	Labels   []Label
	Capacity Resources
	// VM identifies the VM that the machine currently runs; empty if there is none.
	VM VMID
}

// MachineRefusal is the reason why an order for a machine was not carried out.
type MachineRefusal string

// The refusals of the machines service. MachineAccepted means that the order was
// accepted, MachineUnknown that there is no such machine.
const (
	MachineAccepted  MachineRefusal = ""
	MachineFenced    MachineRefusal = "fence"
	MachineBusy      MachineRefusal = "busy"
	MachineOtherWave MachineRefusal = "wave"
	MachineUnknown   MachineRefusal = "unknown"
)

// OrderIssuer identifies the owner that issues orders for machines.
type OrderIssuer struct {
	Node  string
	Fence Fence
}
