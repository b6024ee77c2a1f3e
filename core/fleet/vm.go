// Package fleet defines the rows of pools and target VMs, and the transactions that take
// a VM out of service, return it, or move it to another pool. It also tracks which VMs
// may be given new work.
package fleet

import (
	"strings"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// State is the state of a VM according to its row.
type State int

// The states of a VM. Only a Serving VM is given new work.
const (
	Serving State = iota
	// Cordoned VMs get no new work.
	Cordoned
	// Draining VMs get no new work, and wait until nothing runs on them.
	Draining
	// Stopped VMs are being rebooted or serviced.
	Stopped
	// Verifying VMs are back and must stay up for a while before they serve.
	Verifying
	// Failed VMs went out of service without a permit, or did not come back.
	Failed
)

var stateNames = [...]string{"serving", "cordoned", "draining", "stopped", "verifying", "failed"}

// String returns the name of the state as it appears in rows and command output.
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

// VM is the row of a target VM.
type VM struct {
	Pool  core.PoolID `json:"pool"`
	State State       `json:"state"`
	Rack  core.RackID `json:"rack"`
	// Address is the IP address and port of the VM's task service.
	Address string     `json:"address"`
	Slots   core.Slots `json:"slots"`
	// Connections is the maximum number of connections that the VM accepts.
	Connections int `json:"connections"`

	// Since is when the VM entered State.
	Since time.Time `json:"since,omitzero"`
	// Change is the id of the last change that took the VM out of service, or added it to
	// its pool. The id stays until the next change, so that a repeated change is
	// recognised.
	Change core.ChangeID `json:"change,omitempty"`
	// Wave is the name of the maintenance wave that last took the VM out of service.
	Wave string `json:"wave,omitempty"`
	// MoveTo is the pool that the VM moves to once nothing runs on it.
	MoveTo core.PoolID `json:"move_to,omitempty"`
	// Resize raises the size of the pool that the VM moves to, or was added to, by one
	// when the VM serves there.
	Resize bool `json:"resize,omitempty"`
	// DrainBy is when the permit is withdrawn if the VM is still draining.
	DrainBy time.Time `json:"drain_by,omitzero"`
	// StopAfter is the earliest time of the stop. By then, every entry's view includes
	// the drain.
	StopAfter time.Time `json:"stop_after,omitzero"`
	// RebootBy is the latest time at which a reboot may be requested.
	RebootBy time.Time `json:"reboot_by,omitzero"`
	// RebootedAt is a time right before the reboot of the current stop. It is zero until the
	// platform has accepted the reboot.
	RebootedAt time.Time `json:"rebooted_at,omitzero"`
	// BackBy is when a stopped VM that has not come back counts as failed.
	BackBy time.Time `json:"back_by,omitzero"`
	// LastMaintained is RebootedAt of the last planned stop that the VM came back from.
	LastMaintained time.Time `json:"last_maintained,omitzero"`
	// NextDue is the deadline of the next maintenance.
	NextDue time.Time `json:"next_due,omitzero"`
}

// Ref identifies a VM fleet-wide.
type Ref struct {
	Zone core.ZoneID `json:"zone"`
	VM   core.VMID   `json:"vm"`
}

// Key returns the key of the VM's row.
func (r Ref) Key() table.Key { return table.VMKey(r.Zone, r.VM) }

// String returns the reference as "zone/vm".
func (r Ref) String() string { return string(r.Zone) + "/" + string(r.VM) }

// VMRow is a VM's row as it was read, with the version that transactions check.
type VMRow struct {
	Ref
	VM  VM
	Row table.Row
}

// DecodeVM decodes a row stored under table.VMKey. A row that doesn't exist decodes to a
// zero VM.
func DecodeVM(row table.Row) (VMRow, error) {
	zone, vm, ok := strings.Cut(strings.TrimPrefix(string(row.Key), table.PrefixVM), "/")
	if !ok {
		return VMRow{}, core.Errorf(core.CodeMalformed, "row %q is not a VM's row", row.Key)
	}
	r := VMRow{Ref: Ref{Zone: core.ZoneID(zone), VM: core.VMID(vm)}, Row: row}
	return r, row.Decode(&r.VM)
}

// Exists reports whether the row existed when it was read.
func (r VMRow) Exists() bool { return r.Row.Version != 0 }
