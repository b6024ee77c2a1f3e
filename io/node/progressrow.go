package node

import (
	"time"

	"lavenderpond/core/job"
)

// progressRow is a job's progress with the times of the table's clock.
type progressRow struct {
	job.Progress
	// Started replaces the field of the same name in the encoding.
	Started []taskStartRow `json:"started,omitempty"`
	// Ended is when the job's end was stored, or 0 if it hasn't ended or that isn't known.
	Ended tableTime `json:"ended,omitempty"`
}

// taskStartRow is a job.TaskStart with the time of the table's clock.
type taskStartRow struct {
	job.TaskStart
	ForgetAt tableTime `json:"forget_at,omitempty"`
}

// newProgressRow returns the row of a job's progress. Without a reading of the table's clock it has
// no times.
func newProgressRow(p job.Progress, clock *tableClock) progressRow {
	r := progressRow{Progress: p}
	if p.State.Final() {
		r.Ended = clock.latestAt(bootNow())
	}
	for _, x := range p.Started {
		row := taskStartRow{TaskStart: x}
		if !x.ForgetAt.IsZero() {
			row.ForgetAt = clock.latestAt(x.ForgetAt)
		}
		r.Started = append(r.Started, row)
	}
	return r
}

// progress returns the progress with its times in the time of this process.
func (r progressRow) progress(clock *tableClock) job.Progress {
	p := r.Progress
	p.Started = nil
	for _, row := range r.Started {
		p.Started = append(p.Started, row.taskStart(clock))
	}
	return p
}

// taskStart returns the start with its time in the time of this process, or zero if that isn't
// known.
func (r taskStartRow) taskStart(clock *tableClock) job.TaskStart {
	x := r.TaskStart
	x.ForgetAt = time.Time{}
	if r.ForgetAt == 0 {
		return x
	}
	if at, ok := clock.surelyAt(r.ForgetAt); ok {
		x.ForgetAt = at
	}
	return x
}
