package node

import (
	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
	"time"
)

// event is an input of the owner's event loop.
type event interface{ event() }

type (
	// jobRowsChanged carries changes of the job table. After a gap in the table's history,
	// rows holds the whole table and progress the progress of all jobs.
	jobRowsChanged struct {
		rows     []platform.Row
		progress storedProgress
	}
	// vmRowsChanged carries changes of the VM directory. complete means that rows holds
	// the whole directory.
	vmRowsChanged struct {
		rows     []platform.Row
		complete bool
	}
	// directoryRead reports that all changes of the directory made before asOf are known.
	directoryRead struct{ asOf time.Time }
	// savesStored reports that all saves up to sequence are in the table.
	savesStored struct{ sequence int64 }
	// saveRefused reports that the table refuses a save for good.
	saveRefused struct{ save schedule.Command }
	// startAnswered, stopAnswered and holdAnswered carry the answers of VMs.
	startAnswered struct {
		order   schedule.Start
		outcome schedule.Outcome
		report  job.Report
	}
	stopAnswered struct {
		order   schedule.Stop
		outcome schedule.Outcome
		report  job.Report
	}
	holdAnswered struct {
		order   schedule.Hold
		outcome schedule.Outcome
		report  job.Report
	}
	// machinesListed carries the list of machines that was requested at requestedAt.
	machinesListed struct {
		machines    []job.Machine
		requestedAt time.Time
	}
	// maintainAnswered and moveAnswered carry the answers to orders for machine maintenance
	// and for moving a machine to another pool.
	maintainAnswered struct {
		order   schedule.Maintain
		outcome schedule.Outcome
		refusal job.MachineRefusal
	}
	moveAnswered struct {
		order   schedule.Move
		outcome schedule.Outcome
		refusal job.MachineRefusal
	}
	// approvalAnswered carries the answer to a request for approvals.
	approvalAnswered struct {
		request schedule.RequestApproval
		answer  schedule.ApprovalAnswer
	}
	// reconfigured reports that the operators' view has changed.
	reconfigured struct{}
)

func (jobRowsChanged) event()   {}
func (vmRowsChanged) event()    {}
func (directoryRead) event()    {}
func (savesStored) event()      {}
func (saveRefused) event()      {}
func (startAnswered) event()    {}
func (stopAnswered) event()     {}
func (holdAnswered) event()     {}
func (machinesListed) event()   {}
func (maintainAnswered) event() {}
func (moveAnswered) event()     {}
func (approvalAnswered) event() {}
func (reconfigured) event()     {}
