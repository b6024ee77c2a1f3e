// Package spread implements the planner that the daemon runs. It spreads planned stops
// over pools and racks, reserves part of each availability budget for failures, ramps up
// each wave from a single VM, replaces failed VMs from the spare pool when a budget is
// used up, and halts a wave whose VMs do not come back.
package spread

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/maintenance"
)

// Defaults of Planner.
const (
	// DefaultRepairAfter gives a failed VM time to restart by itself. Most VMs do, and
	// replacing them would be wasted.
	DefaultRepairAfter = 15 * time.Minute
	// DefaultStopTime is the estimated duration of one planned stop.
	DefaultStopTime = time.Hour
	// rackFailureWindow is how long after a VM's failure the planner avoids the rest of
	// its rack. Within this time, a failure of the whole rack becomes apparent.
	rackFailureWindow = time.Hour
)

// Planner is a maintenance.Planner. The zero value is ready to use.
type Planner struct {
	// RepairAfter is how long a VM must have been failed before a spare VM replaces it.
	// 0 means DefaultRepairAfter.
	RepairAfter time.Duration
	// StopTime is the estimated duration of a planned stop, from the permit to the return.
	// 0 means DefaultStopTime.
	StopTime time.Duration
	// For tests only: each field disables one rule.
	noHalt, noReserve, noRamp, noRackLimit, noRepair bool
}

var _ maintenance.Planner = Planner{}

// Plan implements maintenance.Planner. Repairs continue while a wave is paused or
// halted, because they raise availability.
func (p Planner) Plan(now time.Time, v maintenance.View) []maintenance.Command {
	r := newRound(p, now, v)
	commands := r.repairs()
	if v.Wave.Status != maintenance.Running {
		return commands
	}
	if r.progress.NotBack > v.Wave.MaxNotBack && !p.noHalt {
		reason := fmt.Sprintf("%d VMs did not come back, max_not_back is %d", r.progress.NotBack, v.Wave.MaxNotBack)
		return append(commands, maintenance.Halt{Reason: reason})
	}
	if r.progress.Maintained == r.progress.Total {
		return append(commands, maintenance.Finish{})
	}
	return append(commands, r.takeOuts()...)
}

// round holds the state of one call of Plan.
type round struct {
	Planner
	now      time.Time
	view     maintenance.View
	waveName string
	progress maintenance.Progress
	pools    map[core.PoolID]*pool
	racks    map[core.RackID]rack
	spare    core.PoolID
	// out and returned count the VMs of this wave that are out of service and that are
	// back after their maintenance.
	out, returned int
}

type pool struct {
	fleet.Pool
	// headroom is how many more VMs may be taken out, less those that this round takes.
	headroom int
	// due counts the VMs of this zone that still need maintenance.
	due int
	// incoming counts the VMs that are moving to the pool.
	incoming int
	// recovering counts the failed VMs that are up again and being verified.
	recovering int
}

// rack counts a rack's VMs that are out for a planned stop, and those that failed within
// rackFailureWindow.
type rack struct{ planned, failed int }

func newRound(p Planner, now time.Time, v maintenance.View) *round {
	r := &round{
		Planner: p, now: now, view: v, waveName: v.Wave.Name(v.Zone),
		progress: v.Progress(now),
		pools:    make(map[core.PoolID]*pool, len(v.Pools)),
		racks:    make(map[core.RackID]rack),
	}
	if r.RepairAfter == 0 {
		r.RepairAfter = DefaultRepairAfter
	}
	if r.StopTime == 0 {
		r.StopTime = DefaultStopTime
	}
	for id, row := range v.Pools {
		r.pools[id] = &pool{Pool: row.Pool, headroom: row.Pool.Headroom()}
		if row.Pool.Spare {
			r.spare = id
		}
	}
	for _, vm := range v.VMs {
		r.count(&vm.VM)
		r.countRecovering(vm)
	}
	return r
}

func (r *round) count(vm *fleet.VM) {
	if p := r.pools[vm.Pool]; p != nil && r.isDue(vm) {
		p.due++
	}
	if p := r.pools[vm.MoveTo]; p != nil {
		p.incoming++
	}
	k := r.racks[vm.Rack]
	switch vm.State {
	case fleet.Serving:
		if vm.Wave == r.waveName && !r.isDue(vm) {
			r.returned++
		}
		return
	case fleet.Failed:
		if r.now.Before(vm.Since.Add(rackFailureWindow)) {
			k.failed++
		}
	default:
		k.planned++
		if vm.Wave == r.waveName {
			r.out++
		}
	}
	r.racks[vm.Rack] = k
}

func (r *round) countRecovering(vm *fleet.VMRow) {
	p := r.pools[vm.VM.Pool]
	if p == nil || vm.VM.State != fleet.Verifying {
		return
	}
	if out, ok := p.FindOutVM(vm.Ref); ok && !out.Planned {
		p.recovering++
	}
}

func (r *round) isDue(vm *fleet.VM) bool { return vm.LastMaintained.Before(r.view.Wave.PlannedAt) }

// takeOuts chooses the VMs to take out now. It prefers VMs of the pool with the most due
// VMs in proportion to its budget.
func (r *round) takeOuts() []maintenance.Command {
	var commands []maintenance.Command
	allowed := r.rampLimit() - r.out
	for _, vm := range r.candidates() {
		if len(commands) >= allowed {
			break
		}
		p := r.pools[vm.VM.Pool]
		behindSchedule := r.behindSchedule(p)
		if p.headroom-r.reserve(p, behindSchedule) < 1 || r.rackBlocked(vm.VM.Rack, behindSchedule) {
			continue
		}
		p.headroom--
		k := r.racks[vm.VM.Rack]
		k.planned++
		r.racks[vm.VM.Rack] = k
		commands = append(commands, maintenance.TakeOut{VM: vm.Ref, Permit: fleet.Permit{Change: r.changeID(vm), Wave: r.waveName}})
	}
	return commands
}

func (r *round) candidates() []*fleet.VMRow {
	var due []*fleet.VMRow
	for _, vm := range r.view.VMs {
		p := r.pools[vm.VM.Pool]
		if p != nil && p.headroom > 0 && vm.VM.State == fleet.Serving && r.isDue(&vm.VM) {
			due = append(due, vm)
		}
	}
	slices.SortStableFunc(due, func(a, b *fleet.VMRow) int {
		pa, pb := r.pools[a.VM.Pool], r.pools[b.VM.Pool]
		// Compares due/MaxUnavailable in descending order, multiplied out to avoid a division.
		byDueRatio := cmp.Compare(pb.due*max(pa.MaxUnavailable, 1), pa.due*max(pb.MaxUnavailable, 1))
		return cmp.Or(byDueRatio, a.VM.NextDue.Compare(b.VM.NextDue))
	})
	return due
}

// rampLimit bounds how many VMs of the wave may be out at the same time. The bound starts
// at one, grows with the VMs that come back, and shrinks with those that don't.
//
// Without the bound, a reboot that breaks VMs would break as many as the budgets allow
// before the first failure is noticed.
func (r *round) rampLimit() int {
	if r.noRamp {
		return len(r.view.VMs)
	}
	haltThreshold := r.view.Wave.MaxNotBack + 1
	return max(1, (1+2*r.returned)*(haltThreshold-r.progress.NotBack)/haltThreshold)
}

// reserve returns the part of a pool's budget that is kept free, so that a single
// unplanned failure doesn't exceed the budget. A pool that would miss its deadline, or
// whose budget is one VM, keeps no reserve.
func (r *round) reserve(p *pool, behindSchedule bool) int {
	if behindSchedule || r.noReserve || p.MaxUnavailable < 2 {
		return 0
	}
	return 1
}

// behindSchedule reports whether the maintenance of p's due VMs would miss the deadline
// if the reserve were kept.
func (r *round) behindSchedule(p *pool) bool {
	remaining := r.view.Wave.Deadline.Sub(r.now)
	needed := time.Duration(p.due) * r.StopTime / time.Duration(max(p.MaxUnavailable-1, 1))
	return needed > remaining
}

// rackBlocked reports whether no VM of the rack may be stopped now: at most one VM of a
// rack is out for a planned stop, and a rack with recent failures is avoided because the
// whole rack may be failing. The second rule doesn't apply to a pool that is behind
// schedule.
func (r *round) rackBlocked(id core.RackID, behindSchedule bool) bool {
	k := r.racks[id]
	return !r.noRackLimit && (k.planned > 0 || k.failed > 0 && !behindSchedule)
}

func (r *round) changeID(vm *fleet.VMRow) core.ChangeID {
	return core.ChangeID(fmt.Sprintf("%s/%s/%d", r.waveName, vm.Ref.VM, vm.Row.Version))
}
