// Package maintenance compares the planners of VM maintenance under seeded
// failures. Its World, a small fake of VMs and their platform, also serves the
// failure tests of maintenance: it knows which VMs really serve, and checks the
// pools' budgets by that alone.
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

// SimulatedVM is a VM as it really is, whatever its row says.
type SimulatedVM struct {
	Ref  fleet.Ref
	Rack core.RackID
	Up   bool
	// BackAt is when a VM that is down comes back; zero for never.
	BackAt time.Time
	// DownSince is when the VM went down.
	DownSince time.Time
	// Planned says that a reboot took the VM down, not a failure.
	Planned bool
	// BusyUntil is when what runs on the VM ends.
	BusyUntil time.Time
	// RefusesUntil is until when the VM refuses new work.
	RefusesUntil time.Time
	// Reboots counts the reboots.
	Reboots int

	// row is replaced when it changes, and never changed itself.
	row *fleet.VMRow
	// fence is the highest version that a request for the VM carried.
	fence core.Version
}

// Size describes a fleet.
type Size struct {
	Name                            string
	Zones, Pools, PoolVMs, SpareVMs int
	RackVMs, MaxUnavailable         int
}

// Faults are the rates of what goes wrong. Zero rates mean never.
type Faults struct {
	// FailuresPerVMDay is how often a VM fails in a day.
	FailuresPerVMDay float64
	// LongFailureShare is the share of failures that last for hours; the others end
	// within minutes.
	LongFailureShare float64
	// FailuresPerRackWeek is how often a rack fails in a week.
	FailuresPerRackWeek float64
	// NotBackShare is the share of reboots after which a VM stays away for hours.
	NotBackShare float64
}

// World is a fleet as it really is, and the platform's table. Its clock is Now.
type World struct {
	Rand   *rand.Rand
	Now    time.Time
	Table  table.Memory
	Faults Faults
	// RebootTime is the mean time that a reboot takes.
	RebootTime time.Duration
	// DrainTime is the mean time that work goes on after a drain began; 0 leaves
	// BusyUntil to the test.
	DrainTime time.Duration
	// DetectionDelay is how long a failure may stay unknown before a planned stop counts
	// as a breach because of it.
	DetectionDelay time.Duration
	// Unfenced lets the platform take requests that come too late.
	Unfenced bool
	// Budget is the true budget of the pools, and Sizes their true sizes: rows may
	// be told otherwise.
	Budget int
	Sizes  map[core.PoolID]int

	// Breaches lists planned stops beyond a budget, CutOff those that hit running
	// work, Stops counts all.
	Breaches, CutOff []string
	Stops            int

	vms      []*SimulatedVM
	vmsByRef map[fleet.Ref]*SimulatedVM
	racks    map[core.RackID][]*SimulatedVM
	rackIDs  []core.RackID
	pools    map[core.PoolID]fleet.PoolRow
	revision table.Revision
	down     []*SimulatedVM
	// zoneChanges counts the changes of a zone's VM rows.
	zoneChanges map[core.ZoneID]int
	// untilVMFault and rackFaults are what is left until the next failure.
	untilVMFault, untilRackFault float64
}

// SparePool is the name of the spare pool.
const SparePool core.PoolID = "spare"

// ErrLate refuses a request after its deadline, or with a fence that is too low.
var ErrLate = errors.New("the request comes too late")

// NewWorld returns a fleet of that size, all serving at start. rowBudget is what
// the pools' rows say; the true budget is size.MaxUnavailable.
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

// addPool spreads the pool's VMs over the zones. VMs fill racks in the order in
// which they are added, as racks are filled in practice.
func (w *World) addPool(id core.PoolID, size Size, vms, budget int) {
	w.Sizes[id] = vms
	w.mustSet(table.PoolStateKey(id), fleet.Pool{MaxUnavailable: budget, Size: vms, Members: vms, Spare: id == SparePool})
	for i := range vms {
		n := len(w.vms)
		zone := core.ZoneID(fmt.Sprintf("z%d", i%size.Zones))
		rack := core.RackID(fmt.Sprintf("%s-r%04d", zone, n/size.Zones/size.RackVMs))
		m := &SimulatedVM{Ref: fleet.Ref{Zone: zone, VM: core.VMID(fmt.Sprintf("vm%05d", n))}, Rack: rack, Up: true, row: &fleet.VMRow{}}
		w.vms = append(w.vms, m)
		w.vmsByRef[m.Ref] = m
		if w.racks[rack] == nil {
			w.rackIDs = append(w.rackIDs, rack)
		}
		w.racks[rack] = append(w.racks[rack], m)
		w.mustSet(m.Ref.Key(), fleet.VM{Pool: id, Rack: rack, Slots: 8, Connections: 64})
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

// VM returns one VM.
func (w *World) VM(ref fleet.Ref) *SimulatedVM { return w.vmsByRef[ref] }

// Rack returns the VMs of the i-th rack.
func (w *World) Rack(i int) []*SimulatedVM { return w.racks[w.rackIDs[i%len(w.rackIDs)]] }

// Row returns a VM's row as it stands in the table.
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

// sync decodes the rows that changed otherwise than by Transact.
func (w *World) sync() {
	if w.revision == w.Table.Revision() {
		return
	}
	for _, row := range w.Table.Changes("", w.revision) {
		w.storeRow(row)
	}
	w.revision = w.Table.Revision()
}

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

// Pools returns the pools' rows. The map must not be changed.
func (w *World) Pools() map[core.PoolID]fleet.PoolRow {
	w.sync()
	return w.pools
}

// Advance moves the clock, brings VMs back, and lets VMs and racks fail.
func (w *World) Advance(d time.Duration) {
	w.Now = w.Now.Add(d)
	w.down = slices.DeleteFunc(w.down, func(m *SimulatedVM) bool {
		back := m.Up || !m.BackAt.IsZero() && !w.Now.Before(m.BackAt)
		if back {
			m.Up, m.Planned = true, false
		}
		return back
	})
	for range w.poissonEvents(&w.untilVMFault, w.Faults.FailuresPerVMDay*float64(len(w.vms))*d.Hours()/24) {
		if m := w.vms[w.Rand.IntN(len(w.vms))]; m.Up {
			w.Fail(m, w.failureDuration())
		}
	}
	for range w.poissonEvents(&w.untilRackFault, w.Faults.FailuresPerRackWeek*float64(len(w.rackIDs))*d.Hours()/(24*7)) {
		w.FailAll(w.Rack(w.Rand.IntN(len(w.rackIDs))), w.uniform(2*time.Hour, 8*time.Hour))
	}
}

// poissonEvents returns how many events of a Poisson process fall into a step in which
// mean ones are expected. left is what remains until the next one.
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

// Fail takes m down unplanned.
func (w *World) Fail(m *SimulatedVM, d time.Duration) {
	if m.Up || m.Planned {
		m.DownSince = w.Now
	}
	if m.Up {
		w.down = append(w.down, m)
	}
	m.Up, m.Planned, m.BackAt, m.BusyUntil = false, false, w.Now.Add(d), time.Time{}
}

// FailAll takes several VMs down at once.
func (w *World) FailAll(vms []*SimulatedVM, d time.Duration) {
	for _, m := range vms {
		w.Fail(m, d)
	}
}

// Drain makes a VM refuse new work until the given time, as its platform does.
func (w *World) Drain(ref fleet.Ref, until time.Time, fence core.Version) error {
	m := w.vmsByRef[ref]
	if fence < m.fence && !w.Unfenced {
		return ErrLate
	}
	m.fence = fence
	if w.DrainTime > 0 && w.Now.After(m.RefusesUntil) && until.After(w.Now) && m.Up {
		m.BusyUntil = w.Now.Add(w.exponential(w.DrainTime))
	}
	m.RefusesUntil = until
	return nil
}

// Dispatch offers a VM a task, and reports whether it took it.
func (w *World) Dispatch(ref fleet.Ref, d time.Duration) bool {
	m := w.vmsByRef[ref]
	if !m.Up || w.Now.Before(m.RefusesUntil) {
		return false
	}
	if end := w.Now.Add(d); end.After(m.BusyUntil) {
		m.BusyUntil = end
	}
	return true
}

// Running returns how many tasks run on the VM: at least one, or none.
func (w *World) Running(ref fleet.Ref) int {
	m := w.vmsByRef[ref]
	if m.Up && w.Now.Before(m.BusyUntil) {
		return 1
	}
	return 0
}

// Reboot takes a VM down planned. What it hits is recorded.
func (w *World) Reboot(ref fleet.Ref, notAfter time.Time, fence core.Version) error {
	m := w.vmsByRef[ref]
	if (w.Now.After(notAfter) || fence < m.fence) && !w.Unfenced {
		return ErrLate
	}
	if !m.Up {
		return errors.Errorf("VM %s is down", ref)
	}
	w.Stops++
	w.recordViolations(m)
	w.down = append(w.down, m)
	m.Up, m.Planned, m.DownSince, m.BusyUntil = false, true, w.Now, time.Time{}
	m.Reboots++
	m.BackAt = w.Now.Add(w.exponential(w.RebootTime))
	if w.chance(w.Faults.NotBackShare) {
		m.BackAt = w.Now.Add(w.uniform(4*time.Hour, 24*time.Hour))
	}
	return nil
}

// recordViolations records a stop that cuts work off, or is made while its pool lacks more
// VMs than its budget. Failures too fresh to be known don't count; all VMs that
// are down by a planned stop do.
func (w *World) recordViolations(m *SimulatedVM) {
	if w.Running(m.Ref) > 0 {
		w.CutOff = append(w.CutOff, fmt.Sprintf("%s at %s", m.Ref, w.Now.Format(time.RFC3339)))
	}
	pool := w.Row(m.Ref).VM.Pool
	if pool == SparePool {
		return // Spare VMs serve nobody's budget.
	}
	missing := w.Sizes[pool]
	for _, other := range w.vms {
		if other != m && other.row.VM.Pool == pool && w.serves(other) {
			missing--
		}
	}
	if missing > w.Budget {
		w.Breaches = append(w.Breaches, fmt.Sprintf("%s of %s at %s: %d missing", m.Ref, pool, w.Now.Format(time.RFC3339), missing))
	}
}

// serves reports whether m really takes work: it is up, doesn't refuse, and its
// row lets entries use it. A failure that is too fresh passes as serving: the
// decision to stop another VM may have been made before it was known.
func (w *World) serves(m *SimulatedVM) bool {
	state := m.row.VM.State
	if !m.Up && !m.Planned && w.Now.Sub(m.DownSince) < w.DetectionDelay {
		return state == fleet.Serving || state == fleet.Failed
	}
	return state == fleet.Serving && m.Up && !w.Now.Before(m.RefusesUntil)
}

func (w *World) chance(p float64) bool { return p > 0 && w.Rand.Float64() < p }

func (w *World) uniform(a, b time.Duration) time.Duration {
	return a + time.Duration(w.Rand.Int64N(int64(b-a)))
}

func (w *World) exponential(mean time.Duration) time.Duration {
	return min(time.Duration(w.Rand.ExpFloat64()*float64(mean)), 6*mean)
}

func (w *World) failureDuration() time.Duration {
	if w.chance(w.Faults.LongFailureShare) {
		return w.uniform(4*time.Hour, 24*time.Hour)
	}
	return w.uniform(2*time.Minute, 10*time.Minute)
}
