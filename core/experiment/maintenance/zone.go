package maintenance

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/maintenance"
	"lavenderpond/core/table"
)

// Zone runs the real planner and driver for one zone of a World. It corresponds to the
// daemon's controller, without a network.
type Zone struct {
	World   *World
	ID      core.ZoneID
	Planner maintenance.Planner
	Driver  maintenance.Driver
	// Moves counts the moves of VMs to another pool.
	Moves int
	// PlanTime is the total time that the planner took, according to Clock. It is not
	// measured if Clock is nil. Plans counts the calls.
	PlanTime time.Duration
	Plans    int
	Clock    func() time.Time

	vms []*SimulatedVM
	// rows holds the rows of vms. It is valid while the World's count of changes in the
	// zone equals zoneChanges.
	rows        []*fleet.VMRow
	zoneChanges int
}

// maxStepsPerTick is the maximum number of steps of a VM per tick, as in the controller.
const maxStepsPerTick = 3

// ApplyOperatorChange applies an operator's change to the wave row of the zone. It calls
// build with the current row to obtain the transaction.
func (z *Zone) ApplyOperatorChange(build func(maintenance.WaveRow) (table.Transaction, error)) error {
	row, err := z.readWave()
	if err != nil {
		return err
	}
	t, err := build(row)
	if err != nil {
		return err
	}
	return z.World.Transact(t)
}

// Wave returns the current maintenance wave of the zone.
func (z *Zone) Wave() maintenance.Wave {
	row, err := z.readWave()
	if err != nil {
		panic(err)
	}
	return row.Wave
}

// View returns the input of the planner.
func (z *Zone) View() maintenance.View {
	w := z.World
	w.sync()
	if z.vms == nil {
		for _, v := range w.vms {
			if v.Ref.Zone == z.ID {
				z.vms = append(z.vms, v)
			}
		}
		slices.SortFunc(z.vms, func(a, b *SimulatedVM) int { return strings.Compare(string(a.Ref.VM), string(b.Ref.VM)) })
	}
	if z.rows == nil || z.zoneChanges != w.zoneChanges[z.ID] {
		z.zoneChanges = w.zoneChanges[z.ID]
		z.rows = make([]*fleet.VMRow, 0, len(z.vms))
		for _, v := range z.vms {
			z.rows = append(z.rows, v.row)
		}
	}
	return maintenance.View{Zone: z.ID, Wave: z.Wave(), Pools: z.pools(), VMs: z.rows}
}

// Tick advances every VM that is out of service, and then plans and executes commands.
func (z *Zone) Tick() error {
	z.View()
	for _, v := range z.vms {
		if v.row.VM.State == fleet.Serving && v.Up {
			continue
		}
		for range maxStepsPerTick {
			before := v.row.Row.Version
			if err := z.stepVM(*v.row, v); ignoreRefusal(err) != nil {
				return err
			}
			if v.row.Row.Version == before {
				break
			}
		}
	}
	return z.plan()
}

// stepVM observes a VM and executes the driver's next step for it.
func (z *Zone) stepVM(vm fleet.VMRow, v *SimulatedVM) error {
	w := z.World
	var observed maintenance.Observation
	if until, ok := z.Driver.HoldUntil(w.Now, vm); ok {
		if w.Drain(vm.Ref, until, vm.Row.Version) == nil {
			observed.RefusesUntil = until
		}
	}
	observed.Up, observed.Running = v.Up, w.Running(vm.Ref)
	next, err := z.Driver.Next(w.Now, vm, z.pools(), &observed)
	if err != nil {
		return err
	}
	if next.Reboot && w.Reboot(vm.Ref, next.NotAfter, vm.Row.Version) != nil {
		return nil
	}
	return z.transact(next.Transaction, vm)
}

func (z *Zone) plan() error {
	view := z.View()
	var begin time.Time
	if z.Clock != nil {
		begin = z.Clock()
	}
	commands := z.Planner.Plan(z.World.Now, view)
	z.Plans++
	if z.Clock != nil {
		z.PlanTime += z.Clock().Sub(begin)
	}
	for _, c := range commands {
		if err := z.execute(c); ignoreRefusal(err) != nil {
			return err
		}
	}
	return nil
}

func (z *Zone) execute(c maintenance.Command) error {
	wave, err := z.readWave()
	if err != nil {
		return err
	}
	view := maintenance.View{Zone: z.ID, Wave: wave.Wave, Pools: z.pools()}
	for _, v := range z.vms {
		if refersTo(c, v.Ref) {
			view.VMs = []*fleet.VMRow{v.row}
		}
	}
	t, err := z.Driver.Transaction(z.World.Now, view, wave, c)
	if err != nil {
		return err
	}
	if _, ok := c.(maintenance.MoveToSpare); ok {
		z.Moves++
	}
	return z.World.Transact(t)
}

func refersTo(c maintenance.Command, vm fleet.Ref) bool {
	switch c := c.(type) {
	case maintenance.TakeOut:
		return c.VM == vm
	case maintenance.MoveToSpare:
		return c.VM == vm
	}
	return false
}

// transact applies t, unless it is empty. It counts a move if t put the VM into another
// pool.
func (z *Zone) transact(t table.Transaction, vm fleet.VMRow) error {
	if len(t.Writes) == 0 {
		return nil
	}
	if err := z.World.Transact(t); err != nil {
		return err
	}
	if z.World.Row(vm.Ref).VM.Pool != vm.VM.Pool {
		z.Moves++
	}
	return nil
}

func (z *Zone) readWave() (maintenance.WaveRow, error) {
	return maintenance.DecodeWave(z.ID, z.World.Table.Read(maintenance.WaveKey(z.ID)))
}

func (z *Zone) pools() map[core.PoolID]fleet.PoolRow { return z.World.Pools() }

// ignoreRefusal returns nil for a refusal by the maintenance rules and for a conflict of
// transactions, after which the next tick decides again. It returns other errors unchanged.
func ignoreRefusal(err error) error {
	var refusal *core.Error
	if errors.As(err, &refusal) || errors.Is(err, table.ErrConflict) {
		return nil
	}
	return err
}
