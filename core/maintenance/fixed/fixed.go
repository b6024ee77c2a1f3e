// Package fixed implements a naive planner that serves as the baseline of measurements.
// It takes out batches of a fixed size in the order of the VMs' names, and begins a
// batch when the previous one is back. It ignores budgets, racks and failure rates.
package fixed

import (
	"time"

	"lavenderpond/core/fleet"
	"lavenderpond/core/maintenance"
)

// DefaultBatchSize is the default batch size, in VMs.
const DefaultBatchSize = 5

// Planner is a maintenance.Planner. The zero value is ready to use.
type Planner struct {
	// BatchSize is the number of VMs in a batch. 0 means DefaultBatchSize.
	BatchSize int
}

var _ maintenance.Planner = Planner{}

// Plan implements maintenance.Planner.
func (p Planner) Plan(_ time.Time, v maintenance.View) []maintenance.Command {
	if v.Wave.Status != maintenance.Running {
		return nil
	}
	size := p.BatchSize
	if size == 0 {
		size = DefaultBatchSize
	}
	waveName := v.Wave.Name(v.Zone)
	var commands []maintenance.Command
	due := v.Unreadable
	for _, r := range v.VMs {
		maintained := !r.VM.LastMaintained.Before(v.Wave.PlannedAt)
		if r.VM.Wave == waveName && r.VM.State != fleet.Serving && !maintained {
			return nil
		}
		if maintained {
			continue
		}
		due++
		if r.VM.State == fleet.Serving && len(commands) < size {
			commands = append(commands, maintenance.TakeOut{VM: r.Ref, Permit: fleet.Permit{Wave: waveName}})
		}
	}
	if due == 0 {
		return []maintenance.Command{maintenance.Finish{}}
	}
	return commands
}
