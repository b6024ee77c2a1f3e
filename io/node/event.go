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
	// rowsChanged are changes of the job table. After a gap in the history they
	// are all of it, with all progress.
	rowsChanged struct {
		rows     []platform.Row
		progress []platform.Row
	}
	// vmsChanged are changes of the directory; whole tells that they are all of it.
	vmsChanged struct {
		rows  []platform.Row
		whole bool
	}
	// directoryRead tells that the changes are known that were made before asOf.
	directoryRead struct{ asOf time.Time }
	// stored tells that all saves up to sequence are in the table.
	stored struct{ sequence int64 }
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
		machines []job.Machine
		asked    time.Time
	}
	upkeepAnswered struct {
		order   schedule.Maintain
		outcome schedule.Outcome
		refusal job.MachineRefusal
	}
	moveAnswered struct {
		order   schedule.Move
		outcome schedule.Outcome
		refusal job.MachineRefusal
	}
	advised struct {
		step      job.StepID
		approvals platform.Approvals
	}
	// reconfigured tells that the operators' view has changed.
	reconfigured struct{}
)

func (rowsChanged) event()    {}
func (vmsChanged) event()     {}
func (directoryRead) event()  {}
func (stored) event()         {}
func (startAnswered) event()  {}
func (stopAnswered) event()   {}
func (holdAnswered) event()   {}
func (machinesListed) event() {}
func (upkeepAnswered) event() {}
func (moveAnswered) event()   {}
func (advised) event()        {}
func (reconfigured) event()   {}
