package emulator

import (
	"time"

	"lavenderpond/core/fairshare"
	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
)

// table is the platform's table as far as the entry VMs use it. Each method carries out
// one call atomically; entryVM.callTable adds the delays and faults of the network.
type table struct {
	w       *World
	version int64

	owner          ownerRow
	ownerVersion   int64
	renewal        renewalRow
	renewalVersion int64
	// progress, roster, waves, orders, shares and runTimes are what owners have saved.
	progress map[job.ID]job.Progress
	roster   map[job.VMID]schedule.RosterVM
	waves    map[int64]job.WaveProgress
	orders   map[job.MachineID]schedule.MachineOrder
	shares   map[job.PoolName]fairshare.StoredUsage
	runTimes map[job.QueueName]schedule.StoredRunTimes
	// submitted and cancelled are in the order of the calls.
	submitted []submission
	cancelled []job.ID
	// vms are the current records of VMs, vmChanges all changes to them.
	vms       map[job.VMID]job.VMRecord
	vmChanges []vmChange

	// down drops all calls, and extraDelay delays them. lostAnswerShare is the share of
	// writes that get no answer; with lateWrites these are carried out seconds later.
	down            bool
	extraDelay      time.Duration
	lostAnswerShare float64
	lateWrites      bool
	// disconnected are the entry VMs whose calls are dropped.
	disconnected map[*entryVM]bool
}

// ownerRow says which process owns the fleet. tenureNumber counts the takeovers.
type ownerRow struct {
	entryVM      string
	run          int
	tenureNumber int64
	vacant       bool
	takenOverAt  time.Time
	resumed      bool
}

// renewalRow is the owner's last renewal. batch identifies the commit that wrote it.
type renewalRow struct {
	run     int
	entryVM string
	batch   int64
}

// submission is a submitted job and the version of the table at which it was stored.
type submission struct {
	job     job.Job
	version int64
}

// vmChange is a change to the records of VMs, for owners that follow them.
type vmChange struct {
	record  job.VMRecord
	removed bool
}

func newTable(w *World) *table {
	return &table{
		w: w, progress: map[job.ID]job.Progress{}, waves: map[int64]job.WaveProgress{},
		vms: map[job.VMID]job.VMRecord{}, roster: map[job.VMID]schedule.RosterVM{},
		orders: map[job.MachineID]schedule.MachineOrder{}, shares: map[job.PoolName]fairshare.StoredUsage{}, runTimes: map[job.QueueName]schedule.StoredRunTimes{}, disconnected: map[*entryVM]bool{},
	}
}

// nextVersion advances the version of the table and returns it.
func (t *table) nextVersion() int64 {
	t.version++
	return t.version
}

// swapOwner makes row the owner if both rows still have the versions that were read.
func (t *table) swapOwner(owner, renewal int64, row ownerRow) (int64, bool) {
	if owner != t.ownerVersion || renewal != t.renewalVersion {
		return 0, false
	}
	v := t.nextVersion()
	t.owner, t.ownerVersion = row, v
	t.renewal, t.renewalVersion = renewalRow{run: row.run, entryVM: row.entryVM}, v
	t.w.Stats.Takeovers++
	t.w.checker.disturbances.ownerTookOver(t.w.now)
	t.w.waves.ownerTookOver()
	return v, true
}

// commitResult is the answer to a commit. If ok is false, it has the versions and the
// renewal that are stored instead of the expected ones.
type commitResult struct {
	ok             bool
	version        int64
	owner, renewal int64
	renewalRow     renewalRow
}

// commit stores saves and renews the ownership if the versions of the owner and of its
// last renewal are as expected.
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
			t.waves[c.Wave] = c.Progress
		case schedule.SaveOrder:
			t.orders[c.Order.Machine] = c.Order
		case schedule.DropOrder:
			delete(t.orders, c.Machine)
		case schedule.SaveShares:
			t.shares[c.Pool] = c.Usage
		case schedule.SaveRunTimes:
			t.runTimes[c.Queue] = c.RunTimes
		}
	}
	return commitResult{ok: true, version: v, owner: owner, renewal: v}
}

// submit stores a job, unless it is stored already.
func (t *table) submit(j job.Job) {
	tracked := t.w.jobs[j.ID]
	if !tracked.storedAt.IsZero() {
		return
	}
	tracked.storedAt = t.w.now
	t.submitted = append(t.submitted, submission{job: j, version: t.nextVersion()})
}

func (t *table) cancel(id job.ID) {
	t.nextVersion()
	t.cancelled = append(t.cancelled, id)
}

// putVM writes a VM's record, unless the VM is down or was replaced under the same ID.
func (t *table) putVM(v *vm) {
	if !v.up || v.w.vms[v.id] != v {
		return
	}
	r := job.VMRecord{
		ID: v.id, Pool: v.pool, Address: string(v.id), Zone: v.machine.zone, Draining: v.draining,
		Capacity: v.capacity(), Labels: []job.Label{"a", v.machine.rack},
		Born: job.Born(v.startedAt.UnixMilli()), Machine: v.machine.id,
	}
	if v.draining {
		r.RemainingTime = v.leavesAt.Sub(t.w.now)
	}
	t.vms[v.id] = r
	t.vmChanges = append(t.vmChanges, vmChange{record: r})
}

// dropVM removes a VM's record, if there is one.
func (t *table) dropVM(id job.VMID) {
	if r, ok := t.vms[id]; ok {
		delete(t.vms, id)
		t.vmChanges = append(t.vmChanges, vmChange{record: r, removed: true})
	}
}
