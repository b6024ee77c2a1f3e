// Package fleet holds the rows of pools and target VMs, and the decisions that
// take a VM out of service, bring it back, or move it to another pool.
package fleet

import (
	"lavenderpond/core"
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
}
