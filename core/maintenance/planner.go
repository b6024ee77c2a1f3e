package maintenance

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
)

// View is what a planner sees: one zone's VMs, and the pools that they are in.
type View struct {
	Zone core.ZoneID
	Wave Wave
	// VMs are the zone's VMs, by name. They are shared: neither the slice nor the
	// rows may be changed.
	VMs []*fleet.VMRow
	// Pools are the pools of those VMs. Their rows count VMs of every zone.
	Pools map[core.PoolID]fleet.PoolRow
}

// Command is a planner's decision. The transactions that carry it out check the
// budget again, so a decision on an old view does no harm.
type Command interface{ isCommand() }

// TakeOut takes a VM out of service under permit.
type TakeOut struct {
	VM     fleet.Ref
	Permit fleet.Permit
}

// MoveToSpare puts a VM that is being verified into the spare pool: a spare VM has
// taken its place.
type MoveToSpare struct {
	VM fleet.Ref
	To core.PoolID
}

// Halt stops the wave.
type Halt struct{ Reason string }

// Finish ends the maintenance: every VM was maintained.
type Finish struct{}

func (TakeOut) isCommand()     {}
func (MoveToSpare) isCommand() {}
func (Halt) isCommand()        {}
func (Finish) isCommand()      {}

// Planner decides which VMs are taken out next. Implementations are pure: the
// same view gives the same commands.
type Planner interface {
	Plan(now time.Time, v View) []Command
}
