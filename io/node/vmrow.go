package node

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
)

// vmRow is a VM on which tasks may run.
type vmRow struct {
	schedule.RosterVM
	// Lease is set while the owner can't reach the VM and extends its lease no more.
	Lease *vmLeaseRow `json:"lease,omitempty"`
}

// vmLeaseRow is a schedule.RosterLease with the time of the table's clock.
type vmLeaseRow struct {
	End    tableTime            `json:"end"`
	Jobs   map[job.ID]tableTime `json:"jobs,omitempty"`
	AnyJob bool                 `json:"any_job,omitempty"`
}

// newVMRow returns the row of a VM. Without a reading of the table's clock it has no lease.
func newVMRow(v schedule.RosterVM, clock *tableClock) vmRow {
	r := vmRow{RosterVM: v}
	if v.Lease == nil {
		return r
	}
	end := clock.latestAt(v.Lease.End)
	if end == 0 {
		return r
	}
	r.Lease = &vmLeaseRow{End: end, Jobs: map[job.ID]tableTime{}, AnyJob: v.Lease.AnyJob}
	for id, at := range v.Lease.Jobs {
		r.Lease.Jobs[id] = clock.latestAt(at)
	}
	return r
}

// roster returns the VM with its lease in the time of this process.
func (r vmRow) roster(clock *tableClock) schedule.RosterVM {
	v := r.RosterVM
	if r.Lease == nil {
		return v
	}
	end, ok := clock.surelyAt(r.Lease.End)
	if !ok {
		return v
	}
	v.Lease = &schedule.RosterLease{End: end, Jobs: map[job.ID]time.Time{}, AnyJob: r.Lease.AnyJob}
	for id, at := range r.Lease.Jobs {
		v.Lease.Jobs[id], _ = clock.surelyAt(at)
	}
	return v
}
