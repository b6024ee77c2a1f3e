// Package fleet holds the rows of pools and target VMs, and the decisions that
// take a VM out of service, bring it back, or move it to another pool.
package fleet

import (
	"strings"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// State is what a VM is doing, as its row says.
type State int

// The states of a VM. Only a Serving VM is given new work.
const (
	Serving State = iota
	// Cordoned VMs get no new work.
	Cordoned
	// Draining VMs get no new work and are left by what runs there.
	Draining
	// Stopped VMs are being rebooted or serviced.
	Stopped
	// Verifying VMs are back and have yet to show that they can work.
	Verifying
	// Failed VMs went out unplanned, or did not come back.
	Failed
)

var stateNames = [...]string{"serving", "cordoned", "draining", "stopped", "verifying", "failed"}

// String returns the state's name, as rows and commands show it.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return core.Errorf(core.CodeMalformed, "unknown VM state %q", text)
}

// VM is a target VM's row.
type VM struct {
	Pool  core.PoolID `json:"pool"`
	State State       `json:"state"`
	Rack  core.RackID `json:"rack"`
	// Address is the IP address and port of the VM's task service.
	Address string     `json:"address"`
	Slots   core.Slots `json:"slots"`
	// Connections is how many connections the VM accepts.
	Connections int `json:"connections"`

	// Since is when the VM entered State.
	Since time.Time `json:"since,omitzero"`
	// Change is the last change that took the VM out, or put it into its pool. It
	// stays until the next one, so that a repeated change is recognised.
	Change core.ChangeID `json:"change,omitempty"`
	// Wave is the maintenance wave that the VM was last taken out by.
	Wave string `json:"wave,omitempty"`
	// MoveTo is the pool that the VM goes to once nothing runs on it.
	MoveTo core.PoolID `json:"move_to,omitempty"`
	// Resize makes the VM bring a place along: the size of the pool that it moves
	// to, or was added to, rises by one when it serves there.
	Resize bool `json:"resize,omitempty"`
	// DrainBy is when a drain that is still busy is withdrawn.
	DrainBy time.Time `json:"drain_by,omitzero"`
	// StopAfter is the earliest stop: by then every entry's view has the drain.
	StopAfter time.Time `json:"stop_after,omitzero"`
	// RebootBy is the last moment at which a reboot may be asked for.
	RebootBy time.Time `json:"reboot_by,omitzero"`
	// BackBy is when a stopped VM that has not come back counts as failed.
	BackBy time.Time `json:"back_by,omitzero"`
	// LastMaintained is when the VM last came back from a planned stop.
	LastMaintained time.Time `json:"last_maintained,omitzero"`
	// NextDue is the deadline of the next maintenance.
	NextDue time.Time `json:"next_due,omitzero"`
}

// Ref names a VM fleet-wide.
type Ref struct {
	Zone core.ZoneID `json:"zone"`
	VM   core.VMID   `json:"vm"`
}

// Key returns the VM's row.
func (r Ref) Key() table.Key { return table.VMKey(r.Zone, r.VM) }

// String returns the reference as "zone/vm".
func (r Ref) String() string { return string(r.Zone) + "/" + string(r.VM) }

// VMRow is a VM as read, with the version that transactions check.
type VMRow struct {
	Ref
	VM  VM
	Row table.Row
}

// DecodeVM reads a row of table.VMKey. A row that doesn't exist gives a zero VM.
func DecodeVM(row table.Row) (VMRow, error) {
	zone, vm, ok := strings.Cut(strings.TrimPrefix(string(row.Key), table.PrefixVM), "/")
	if !ok {
		return VMRow{}, core.Errorf(core.CodeMalformed, "row %q is no VM's row", row.Key)
	}
	r := VMRow{Ref: Ref{Zone: core.ZoneID(zone), VM: core.VMID(vm)}, Row: row}
	return r, row.Decode(&r.VM)
}

// Exists reports whether the row was there when it was read.
func (r VMRow) Exists() bool { return r.Row.Version != 0 }
