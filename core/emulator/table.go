package emulator

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
)

// table is the platform's table, as far as the entry VMs use it: each method is
// one call that is carried out at once; calls take time on their way.
type table struct {
	w       *World
	version int64

	owner          ownerRow
	ownerVersion   int64
	renewal        renewalRow
	renewalVersion int64
	progress       map[job.ID]job.Progress
	roster         map[job.VMID]schedule.RosterVM
	waves          map[int64][]job.MachineID
	orders         map[job.MachineID]schedule.MachineOrder
	submitted      []submission
	cancelled      []job.ID
	vms            map[job.VMID]job.VMRecord
	vmChanges      []vmChange

	// down refuses calls, slow delays them, lost drops answers of writes, late
	// carries some of these out later.
	down            bool
	extraDelay      time.Duration
	lostAnswerShare float64
	lateWrites      bool
	// refused are nodes that get no answer.
	refused map[*entryVM]bool
}

type ownerRow struct {
	entryVM string
	run     int
	turn    int64
	vacant  bool
}

type renewalRow struct {
	run     int
	entryVM string
	batch   int64
}

type submission struct {
	job     job.Job
	version int64
}

type vmChange struct {
	record  job.VMRecord
	removed bool
}

func newTable(w *World) *table {
	return &table{
		w: w, progress: map[job.ID]job.Progress{}, waves: map[int64][]job.MachineID{},
		vms: map[job.VMID]job.VMRecord{}, roster: map[job.VMID]schedule.RosterVM{},
		orders: map[job.MachineID]schedule.MachineOrder{}, refused: map[*entryVM]bool{},
	}
}

func (t *table) nextVersion() int64 {
	t.version++
	return t.version
}

// swapOwner makes a node the owner if both rows are as it read them.
func (t *table) swapOwner(owner, renewal int64, row ownerRow) (int64, bool) {
	if owner != t.ownerVersion || renewal != t.renewalVersion {
		return 0, false
	}
	v := t.nextVersion()
	t.owner, t.ownerVersion = row, v
	t.renewal, t.renewalVersion = renewalRow{run: row.run, entryVM: row.entryVM}, v
	t.w.Stats.Takeovers++
	return v, true
}

// commitResult is the answer to a commit.
type commitResult struct {
	ok             bool
	version        int64
	owner, renewal int64
	renewalRow     renewalRow
}

// commit stores saves if the owner and its last renewal are as expected.
func (t *table) commit(owner, renewal int64, row renewalRow, saves []schedule.Command) commitResult {
	if owner != t.ownerVersion || renewal != t.renewalVersion {
		return commitResult{owner: t.ownerVersion, renewal: t.renewalVersion, renewalRow: t.renewal}
	}
	v := t.nextVersion()
	t.renewal, t.renewalVersion = row, v
	for _, c := range saves {
		switch c := c.(type) {
		case schedule.Save:
			t.progress[c.Job] = c.Progress
			t.w.checker.jobStatePublished(c.Job, c.Progress.State)
		case schedule.SaveVM:
			t.roster[c.VM.ID] = c.VM
		case schedule.DropVM:
			delete(t.roster, c.VM)
		case schedule.SaveWave:
			t.waves[c.Number] = c.Done
		case schedule.SaveOrder:
			t.orders[c.Order.Machine] = c.Order
		case schedule.DropOrder:
			delete(t.orders, c.Machine)
		}
	}
	return commitResult{ok: true, version: v, owner: owner, renewal: v}
}

// submit stores a job once.
func (t *table) submit(j job.Job) {
	t.submitted = append(t.submitted, submission{job: j, version: t.nextVersion()})
}

func (t *table) cancel(id job.ID) {
	t.nextVersion()
	t.cancelled = append(t.cancelled, id)
}

// putVM writes a VM's entry, if it can reach the table.
func (t *table) putVM(v *vm) {
	if !v.up || v.w.vms[v.id] != v {
		return
	}
	r := job.VMRecord{
		ID: v.id, Pool: v.pool, Address: string(v.id), Zone: v.machine.zone, Draining: v.draining,
		Capacity: v.capacity(), Labels: []job.Label{"a", v.machine.rack},
		Born: job.Born(v.born.UnixMilli()), Machine: v.machine.id,
	}
	t.vms[v.id] = r
	t.vmChanges = append(t.vmChanges, vmChange{record: r})
}

func (t *table) dropVM(id job.VMID) {
	if r, ok := t.vms[id]; ok {
		delete(t.vms, id)
		t.vmChanges = append(t.vmChanges, vmChange{record: r, removed: true})
	}
}
