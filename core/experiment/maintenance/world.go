// Package maintenance compares the planners of VM maintenance under pseudo-random
// failures. Its World simulates VMs and their platform. The World knows which VMs actually
// serve, whatever their rows say, and checks the budgets of the pools against that. Tests
// of the maintenance code use it, too.
package maintenance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
)

// SimulatedVM is the actual state of a VM, which may differ from its row in the table.
type SimulatedVM struct {
	Ref  fleet.Ref
	Rack core.RackID
	Up   bool
	// RecoversAt is when a VM that is down is up again. Zero means never.
	RecoversAt time.Time
	// DownSince is when the VM went down.
	DownSince time.Time
	// Planned reports that the VM is down because of a reboot, not because of a failure.
	Planned bool
	// BusyUntil is when the last task that runs on the VM ends.
	BusyUntil time.Time
	// RefusesUntil is the time until which the VM refuses new work.
	RefusesUntil time.Time
	// Reboots counts the VM's reboots.
	Reboots int

	// row is the decoded row of the VM. It is replaced as a whole when the row changes.
	row *fleet.VMRow
	// fence is the row version that the latest accepted drain of the VM carried. Requests
	// with a lower one are refused.
	fence core.Version
}

// Size describes the size of a fleet. Every pool has PoolVMs VMs, of which MaxUnavailable
// may be out, and every rack has RackVMs VMs. SpareVMs is the size of the spare pool.
type Size struct {
	Name                            string
	Zones, Pools, PoolVMs, SpareVMs int
	RackVMs, MaxUnavailable         int
}

// Faults holds the rates of failures. With a rate of zero, the failure never happens.
type Faults struct {
	// FailuresPerVMDay is the mean number of failures of a VM per day.
	FailuresPerVMDay float64
	// LongFailureShare is the fraction of VM failures that last for hours. The others end
	// within minutes.
	LongFailureShare float64
	// FailuresPerRackWeek is the mean number of failures of a rack per week.
	FailuresPerRackWeek float64
	// NotBackShare is the fraction of reboots after which the VM stays down for hours.
	NotBackShare float64
}

// World is a simulated fleet, together with the platform's table. Its clock is Now.
type World struct {
	Rand   *rand.Rand
	Now    time.Time
	Table  table.Memory
	Faults Faults
	// RebootTime is the mean duration of a reboot.
	RebootTime time.Duration
	// DrainTime is the mean time for which work continues after a drain began. If it is
	// zero, the test sets BusyUntil itself.
	DrainTime time.Duration
	// DetectionDelay is how long a failure may remain undetected. Until then, it doesn't
	// turn a planned stop into a breach.
	DetectionDelay time.Duration
	// Unfenced makes the platform accept requests that come too late.
	Unfenced bool
	// Budget is the actual availability budget of each pool, and Sizes holds the actual
	// sizes. The rows of the pools may differ.
	Budget int
	Sizes  map[core.PoolID]int

	// Breaches lists the planned stops that exceeded a budget, Interruptions those that
	// interrupted running work. Stops counts all planned stops.
	Breaches, Interruptions []string
	Stops                   int

	vms      []*SimulatedVM
	vmsByRef map[fleet.Ref]*SimulatedVM
	racks    map[core.RackID][]*SimulatedVM
	rackIDs  []core.RackID
	pools    map[core.PoolID]fleet.PoolRow
	revision table.Revision
	down     []*SimulatedVM
	// zoneChanges counts the changes of VM rows in each zone.
	zoneChanges map[core.ZoneID]int
	// untilVMFailure and untilRackFailure are the remaining intervals until the next
	// failure, in units of the mean interval.
	untilVMFailure, untilRackFailure float64
}

// SparePool is the name of the spare pool.
const SparePool core.PoolID = "spare"

// ErrLate is returned for a request that arrives after its deadline or carries a stale
// fence.
var ErrLate = errors.New("the request comes too late")

// NewWorld returns a fleet of the given size in which all VMs serve. The rows of the pools
// state the budget rowBudget. The actual budget is size.MaxUnavailable.
func NewWorld(seed uint64, start time.Time, size Size, rowBudget int) *World {
	w := &World{
		Rand: rand.New(rand.NewPCG(seed, 1)), Now: start, Budget: size.MaxUnavailable,
		Sizes: make(map[core.PoolID]int), vmsByRef: make(map[fleet.Ref]*SimulatedVM),
		racks: make(map[core.RackID][]*SimulatedVM), pools: make(map[core.PoolID]fleet.PoolRow),
		zoneChanges: make(map[core.ZoneID]int),
	}
	for i := range size.Pools {
		w.addPool(core.PoolID(fmt.Sprintf("pool%03d", i)), size, size.PoolVMs, rowBudget)
	}
	if size.SpareVMs > 0 {
		w.addPool(SparePool, size, size.SpareVMs, size.SpareVMs)
	}
	return w
}

// addPool adds a pool whose VMs are spread evenly over the zones. VMs are assigned to
// racks in the order in which they are added, as in practice.
func (w *World) addPool(id core.PoolID, size Size, vms, budget int) {
	w.Sizes[id] = vms
	w.mustSet(table.PoolStateKey(id), fleet.Pool{MaxUnavailable: budget, Size: vms, Members: vms, Spare: id == SparePool})
	for i := range vms {
		n := len(w.vms)
		zone := core.ZoneID(fmt.Sprintf("z%d", i%size.Zones))
		rack := core.RackID(fmt.Sprintf("%s-r%04d", zone, n/size.Zones/size.RackVMs))
		v := &SimulatedVM{Ref: fleet.Ref{Zone: zone, VM: core.VMID(fmt.Sprintf("vm%05d", n))}, Rack: rack, Up: true, row: &fleet.VMRow{}}
		w.vms = append(w.vms, v)
		w.vmsByRef[v.Ref] = v
		if w.racks[rack] == nil {
			w.rackIDs = append(w.rackIDs, rack)
		}
		w.racks[rack] = append(w.racks[rack], v)
		w.mustSet(v.Ref.Key(), fleet.VM{Pool: id, Rack: rack, Slots: 8, Connections: 64})
	}
}

func (w *World) mustSet(key table.Key, value any) {
	var t table.Transaction
	if err := t.Set(key, value); err != nil {
		panic(err)
	}
	if err := w.Table.Transact(t); err != nil {
		panic(err)
	}
}

// VMs returns all VMs, in a fixed order.
func (w *World) VMs() []*SimulatedVM { return w.vms }

// VM returns the VM with the given reference.
func (w *World) VM(ref fleet.Ref) *SimulatedVM { return w.vmsByRef[ref] }

// Rack returns the VMs of the i-th rack. An index beyond the last rack wraps around.
func (w *World) Rack(i int) []*SimulatedVM { return w.racks[w.rackIDs[i%len(w.rackIDs)]] }

// Row returns the current row of a VM in the table.
func (w *World) Row(ref fleet.Ref) fleet.VMRow {
	w.sync()
	return *w.vmsByRef[ref].row
}

// Transact applies t to the table.
func (w *World) Transact(t table.Transaction) error {
	w.sync()
	if err := w.Table.Transact(t); err != nil {
		return err
	}
	w.revision = w.Table.Revision()
	for _, c := range t.Writes {
		w.storeRow(w.Table.Read(c.Key))
	}
	return nil
}

// sync decodes the rows that were changed in the table without Transact.
func (w *World) sync() {
	if w.revision == w.Table.Revision() {
		return
	}
	for _, row := range w.Table.Changes("", w.revision) {
		w.storeRow(row)
	}
	w.revision = w.Table.Revision()
}

// storeRow decodes a row of a VM or a pool and keeps it for the planners and checks.
func (w *World) storeRow(row table.Row) {
	switch {
	case strings.HasPrefix(string(row.Key), table.PrefixVM):
		if r, err := fleet.DecodeVM(row); err == nil && w.vmsByRef[r.Ref] != nil {
			w.vmsByRef[r.Ref].row = &r
			w.zoneChanges[r.Zone]++
		}
	case strings.HasPrefix(string(row.Key), table.PrefixPool):
		if r, err := fleet.DecodePool(row); err == nil {
			w.pools[r.ID] = r
		}
	}
}

// Pools returns the rows of the pools. The caller must not change the map.
func (w *World) Pools() map[core.PoolID]fleet.PoolRow {
	w.sync()
	return w.pools
}

// Advance moves the clock forward, brings VMs back, and lets VMs and racks fail.
func (w *World) Advance(d time.Duration) {
	w.Now = w.Now.Add(d)
	w.down = slices.DeleteFunc(w.down, func(v *SimulatedVM) bool {
		back := v.Up || !v.RecoversAt.IsZero() && !w.Now.Before(v.RecoversAt)
		if back {
			v.Up, v.Planned = true, false
		}
		return back
	})
	for range w.poissonEvents(&w.untilVMFailure, w.Faults.FailuresPerVMDay*float64(len(w.vms))*d.Hours()/24) {
		if v := w.vms[w.Rand.IntN(len(w.vms))]; v.Up {
			w.Fail(v, w.failureDuration())
		}
	}
	for range w.poissonEvents(&w.untilRackFailure, w.Faults.FailuresPerRackWeek*float64(len(w.rackIDs))*d.Hours()/(24*7)) {
		w.FailAll(w.Rack(w.Rand.IntN(len(w.rackIDs))), w.uniform(2*time.Hour, 8*time.Hour))
	}
}

// poissonEvents returns the number of events of a Poisson process in a step in which mean
// events are expected. It keeps the remaining interval until the next event in remaining.
func (w *World) poissonEvents(remaining *float64, mean float64) int {
	if mean == 0 {
		return 0
	}
	if *remaining == 0 {
		*remaining = w.Rand.ExpFloat64()
	}
	n := 0
	for *remaining -= mean; *remaining <= 0; *remaining += w.Rand.ExpFloat64() {
		n++
	}
	return n
}

// Fail takes v down for the time d, as an unplanned failure.
func (w *World) Fail(v *SimulatedVM, d time.Duration) {
	if v.Up || v.Planned {
		v.DownSince = w.Now
	}
	if v.Up {
		w.down = append(w.down, v)
	}
	v.Up, v.Planned, v.RecoversAt, v.BusyUntil = false, false, w.Now.Add(d), time.Time{}
}

// FailAll takes several VMs down at the same time.
func (w *World) FailAll(vms []*SimulatedVM, d time.Duration) {
	for _, v := range vms {
		w.Fail(v, d)
	}
}

// Drain makes a VM refuse new work until the given time. It refuses a stale fence.
func (w *World) Drain(ref fleet.Ref, until time.Time, fence core.Version) error {
	v := w.vmsByRef[ref]
	if fence < v.fence && !w.Unfenced {
		return ErrLate
	}
	v.fence = fence
	if w.DrainTime > 0 && w.Now.After(v.RefusesUntil) && until.After(w.Now) && v.Up {
		v.BusyUntil = w.Now.Add(w.exponential(w.DrainTime))
	}
	v.RefusesUntil = until
	return nil
}

// Dispatch starts a task of duration d on a VM and reports whether the VM accepted it.
func (w *World) Dispatch(ref fleet.Ref, d time.Duration) bool {
	v := w.vmsByRef[ref]
	if !v.Up || w.Now.Before(v.RefusesUntil) {
		return false
	}
	if end := w.Now.Add(d); end.After(v.BusyUntil) {
		v.BusyUntil = end
	}
	return true
}

// Running returns 1 if any tasks run on the VM, otherwise 0.
func (w *World) Running(ref fleet.Ref) int {
	v := w.vmsByRef[ref]
	if v.Up && w.Now.Before(v.BusyUntil) {
		return 1
	}
	return 0
}

// Reboot takes a VM down as a planned stop, and records violations of the rules.
func (w *World) Reboot(ref fleet.Ref, notAfter time.Time, fence core.Version) error {
	v := w.vmsByRef[ref]
	if (w.Now.After(notAfter) || fence < v.fence) && !w.Unfenced {
		return ErrLate
	}
	if !v.Up {
		return errors.Errorf("VM %s is down", ref)
	}
	w.Stops++
	w.recordViolations(v)
	w.down = append(w.down, v)
	v.Up, v.Planned, v.DownSince, v.BusyUntil = false, true, w.Now, time.Time{}
	v.Reboots++
	v.RecoversAt = w.Now.Add(w.exponential(w.RebootTime))
	if w.chance(w.Faults.NotBackShare) {
		v.RecoversAt = w.Now.Add(w.uniform(4*time.Hour, 24*time.Hour))
	}
	return nil
}

// recordViolations records a planned stop of v that interrupts work, or by which its pool
// lacks more VMs than its budget allows. Failures that can't have been detected yet don't
// count as missing VMs, but all VMs that are down because of a planned stop do.
func (w *World) recordViolations(v *SimulatedVM) {
	if w.Running(v.Ref) > 0 {
		w.Interruptions = append(w.Interruptions, fmt.Sprintf("%s at %s", v.Ref, w.Now.Format(time.RFC3339)))
	}
	pool := w.Row(v.Ref).VM.Pool
	if pool == SparePool {
		return // The spare pool has no availability budget.
	}
	missing := w.Sizes[pool]
	for _, other := range w.vms {
		if other != v && other.row.VM.Pool == pool && w.serves(other) {
			missing--
		}
	}
	if missing > w.Budget {
		w.Breaches = append(w.Breaches, fmt.Sprintf("%s of %s at %s: %d missing", v.Ref, pool, w.Now.Format(time.RFC3339), missing))
	}
}

// serves reports whether v actually accepts work: it is up, doesn't refuse work, and its
// row lets entries use it. A VM whose failure can't have been detected yet counts as
// serving, because the decision to stop another VM may have been made before that.
func (w *World) serves(v *SimulatedVM) bool {
	state := v.row.VM.State
	if !v.Up && !v.Planned && w.Now.Sub(v.DownSince) < w.DetectionDelay {
		return state == fleet.Serving || state == fleet.Failed
	}
	return state == fleet.Serving && v.Up && !w.Now.Before(v.RefusesUntil)
}

// chance returns true with probability p.
func (w *World) chance(p float64) bool { return p > 0 && w.Rand.Float64() < p }

// uniform draws a duration between a and b from a uniform distribution.
func (w *World) uniform(a, b time.Duration) time.Duration {
	return a + time.Duration(w.Rand.Int64N(int64(b-a)))
}

// exponential draws a duration from an exponential distribution, limited to six times the
// mean.
func (w *World) exponential(mean time.Duration) time.Duration {
	return min(time.Duration(w.Rand.ExpFloat64()*float64(mean)), 6*mean)
}

func (w *World) failureDuration() time.Duration {
	if w.chance(w.Faults.LongFailureShare) {
		return w.uniform(4*time.Hour, 24*time.Hour)
	}
	return w.uniform(2*time.Minute, 10*time.Minute)
}
