package job

import "time"

// Wave asks that machines have their upkeep.
type Wave struct {
	Number   int64
	Machines []MachineID
	// Within is the period in which all must have had it.
	Within time.Duration
	// MaxConcurrent bounds the machines that are away at a time.
	MaxConcurrent int
}

// WaveState is shown to operators.
type WaveState int

// The states of a wave.
const (
	WaveRunning WaveState = iota
	WaveCompleted
)

// MachineID names a machine; each of its lives is a VM.
type MachineID string

// MachineState is what the platform says of a machine.
type MachineState string

// The states of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "upkeep"
	MachineDown        MachineState = "down"
)

// Machine is one entry of the machines list.
type Machine struct {
	ID       MachineID
	Pool     PoolName
	State    MachineState
	Zone     ZoneName
	Labels   []Label
	Capacity Resources
	// VM is the machine's present life; empty if it is off.
	VM VMID
}

// MachineRefusal says why an order for a machine was not carried out.
type MachineRefusal string

// The reasons of the machines service.
const (
	MachineAccepted  MachineRefusal = ""
	MachineFenced    MachineRefusal = "fence"
	MachineBusy      MachineRefusal = "busy"
	MachineOtherWave MachineRefusal = "wave"
)

// OrderIssuer signs the orders for a machine.
type OrderIssuer struct {
	Node  string
	Fence Fence
}
