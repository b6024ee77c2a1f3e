package node

import (
	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
	"time"
)

// event is something that the owner's loop takes in.
type event interface{ event() }

type (
	// jobRowsChanged are changes of the job table. After a gap in the history they
	// are all of it, with all progress.
	jobRowsChanged struct {
		rows     []platform.Row
		progress []platform.Row
	}
	// vmRowsChanged are changes of the directory; whole tells that they are all of it.
	vmRowsChanged struct {
		rows     []platform.Row
		complete bool
	}
	// directoryRead tells that the changes are known that were made before asOf.
	directoryRead struct{ asOf time.Time }
	// savesStored tells that all saves up to sequence are in the table.
	savesStored struct{ sequence int64 }
	// startAnswered, stopAnswered and holdAnswered are answers of VMs.
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
	// machinesListed is the machines list, as asked for at asked.
	machinesListed struct {
		machines    []job.Machine
		requestedAt time.Time
	}
	upkeepAnswered struct {
		order   schedule.Upkeep
		outcome schedule.Outcome
		refusal job.MachineRefusal
	}
	moveAnswered struct {
		order   schedule.Move
		outcome schedule.Outcome
		refusal job.MachineRefusal
	}
	approvalsReceived struct {
		step      job.StepID
		approvals platform.Approvals
	}
	// reconfigured tells that the operators' view has changed.
	reconfigured struct{}
)

func (jobRowsChanged) event()    {}
func (vmRowsChanged) event()     {}
func (directoryRead) event()     {}
func (savesStored) event()       {}
func (startAnswered) event()     {}
func (stopAnswered) event()      {}
func (holdAnswered) event()      {}
func (machinesListed) event()    {}
func (upkeepAnswered) event()    {}
func (moveAnswered) event()      {}
func (approvalsReceived) event() {}
func (reconfigured) event()      {}
