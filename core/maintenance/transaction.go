package maintenance

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
)

// Transaction returns the transaction that carries out a planner's command on the
// rows of v.
func (d Driver) Transaction(now time.Time, v View, w WaveRow, c Command) (table.Transaction, error) {
	switch c := c.(type) {
	case TakeOut:
		vm, pool, err := v.findVM(c.VM)
		if err != nil {
			return table.Transaction{}, err
		}
		p := c.Permit
		p.DrainBy = now.Add(d.Timing.withDefaults().DrainTimeout)
		return d.Rules.Permit(now, vm, pool, p)
	case MoveToSpare:
		vm, pool, err := v.findVM(c.VM)
		if err != nil {
			return table.Transaction{}, err
		}
		return d.Rules.Join(now, vm, pool, v.Pools[c.To])
	case Halt:
		next := w.Wave
		next.Status, next.Reason = Halted, c.Reason
		return w.set(next)
	case Finish:
		next := w.Wave
		next.Status, next.Reason = Finished, ""
		return w.set(next)
	}
	return table.Transaction{}, core.Errorf(core.CodeInternal, "unknown command %T", c)
}

func (v View) findVM(ref fleet.Ref) (fleet.VMRow, fleet.PoolRow, error) {
	for _, r := range v.VMs {
		if r.Ref == ref {
			return *r, v.Pools[r.VM.Pool], nil
		}
	}
	return fleet.VMRow{}, fleet.PoolRow{}, core.Errorf(core.CodeNotFound, "no VM %s", ref)
}
