package node

import (
	"context"
	"slices"
	"time"

	"lavenderpond/core/deferral"
	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

const (
	// jobMemoryPart is the part of the memory, as a divisor, that accepted jobs may take in the owner.
	jobMemoryPart = 4
	// maxDeferredJobs is the number of deferred jobs from which entry VMs refuse further ones. A
	// deferred job takes some hundred bytes.
	maxDeferredJobs = 5000
	// loadedValuesPart is the part of the memory for jobs, as a divisor, that the rows of jobs may take while a
	// new owner loads them. unreadJobPart is the part that is assumed of a job whose row wasn't kept.
	loadedValuesPart = 2
	unreadJobPart    = 64
	// occurrencePart is the part of the memory for jobs, as a divisor, that occurrences may take beside the first one
	// of each job.
	occurrencePart = 2
	// deferredReadTimeout bounds reading the rows of a deferred job, and deferredReadDelay is the pause
	// after a read that failed.
	deferredReadTimeout = time.Second
	deferredReadDelay   = 100 * time.Millisecond
	// jobReleaseInterval is how often the memory of jobs that have ended is released.
	jobReleaseInterval = 200 * time.Millisecond
)

// jobMemory keeps the accepted jobs in memory as far as they fit. The others stay in the table until there is
// room, and are shown as pending meanwhile. A job of the largest size takes some MB, and callers may submit
// any number of them.
type jobMemory struct {
	jobs deferral.Jobs
	// reading is the deferred job whose rows are being read; empty if none is. After a failure none is
	// read before retryAt.
	reading     job.ID
	retryAt     time.Time
	nextRelease time.Time
	// postponed are reports of VMs that name deferred jobs. They are handled once these are held: until then
	// their ends would be acknowledged without effect, and their runs stopped.
	postponed []holdAnswered
}

// deferredJobRead carries the rows of a deferred job.
type deferredJobRead struct {
	id   job.ID
	rows []platform.Row
	err  error
}

func (deferredJobRead) event() {}

// admitJob passes a job to the scheduler if there is memory for it or it is urgent, and defers it otherwise.
func (o *owner) admitJob(now time.Time, j job.Job, p *job.Progress, version platform.Version) {
	m := &o.memory.jobs
	bytes := schedule.Footprint(&j)
	d := m.Deferred(j.ID)
	// Tasks of a job with progress may run already. What becomes of them must not be missed.
	if urgent := p != nil || (d != nil && d.Urgent); urgent {
		m.ForceHold(j.ID, bytes)
	} else if !m.Hold(j.ID, bytes) {
		o.deferJob(j.ID, j.Terms.Queue, bytes, nil)
		return
	}
	m.Forget(j.ID)
	o.scheduler.AddJob(now, j, p, version < o.tenure.fence)
	if d != nil && d.Cancelled {
		o.scheduler.Cancel(now, j.ID)
	}
}

// deferJob leaves a job in the table. A job with progress is held as soon as its row is read.
func (o *owner) deferJob(id job.ID, queue job.QueueName, bytes int64, p *job.Progress) {
	m := &o.memory.jobs
	if m.Deferred(id) == nil {
		o.node.metrics.count("jobs_deferred")
		o.log.Info().Str("event", "job_deferred").Str("job", string(id)).Int64("bytes", bytes).
			Int64("held_bytes", m.HeldBytes()).Int64("limit", m.MaxBytes).Int("deferred", m.DeferredCount()+1).Send()
	}
	m.Defer(deferral.Deferred{ID: id, Queue: queue, Bytes: bytes, Progress: p, Urgent: p != nil})
}

// cancelJob cancels a job. A deferred one is held first.
func (o *owner) cancelJob(now time.Time, id job.ID) {
	if d := o.memory.jobs.Deferred(id); d != nil {
		d.Urgent, d.Cancelled = true, true
		return
	}
	o.scheduler.Cancel(now, id)
}

// holdDeferredJobs releases the memory of jobs that have ended, and reads the next deferred job for which
// there is room.
func (o *owner) holdDeferredJobs(ctx context.Context, now time.Time) {
	o.handlePostponed(now)
	m := &o.memory
	if !now.Before(m.nextRelease) {
		m.nextRelease = now.Add(jobReleaseInterval)
		m.jobs.Release(o.scheduler.Knows)
		o.node.metrics.setGauge("deferred_jobs", int64(m.jobs.DeferredCount()))
		o.node.metrics.setGauge("job_bytes", m.jobs.HeldBytes())
	}
	if m.reading != "" || m.jobs.DeferredCount() == 0 || now.Before(m.retryAt) {
		return
	}
	next := m.jobs.Next()
	if next == nil {
		return
	}
	id := next.ID
	m.reading = id
	o.workers.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, deferredReadTimeout)
		defer cancel()
		s, err := o.node.table.List(callCtx, jobRowRange(id))
		o.send(ctx, deferredJobRead{id, s.Rows, err})
	})
}

// deferredJobRead holds a deferred job whose rows have been read.
func (o *owner) deferredJobRead(now time.Time, e deferredJobRead) {
	m := &o.memory
	d := m.jobs.Deferred(e.id)
	if e.err != nil || d == nil {
		m.reading, m.retryAt = "", now.Add(deferredReadDelay)
		return
	}
	o.applyJobRows(now, e.rows, map[job.ID]*job.Progress{e.id: d.Progress})
	m.reading = ""
	if !slices.ContainsFunc(e.rows, func(r platform.Row) bool { return r.Key == jobKey(e.id).Key }) {
		// The job isn't stored any more.
		m.jobs.Forget(e.id)
	}
}

// handlePostponed handles the postponed reports, except those that still name deferred jobs.
func (o *owner) handlePostponed(now time.Time) {
	postponed := o.memory.postponed
	o.memory.postponed = nil
	for _, r := range postponed {
		o.handle(now, r)
	}
}

// postpone postpones a report that names deferred jobs, and returns whether it does.
func (o *owner) postpone(e holdAnswered) bool {
	if o.memory.jobs.DeferredCount() == 0 {
		return false
	}
	named := false
	check := func(id job.ID) {
		if d := o.memory.jobs.Deferred(id); d != nil {
			d.Urgent, named = true, true
		}
	}
	for i := range e.report.Running {
		check(e.report.Running[i].Task.Job)
	}
	for i := range e.report.Finished {
		check(e.report.Finished[i].Task.Job)
	}
	if named {
		o.memory.postponed = append(o.memory.postponed, e)
	}
	return named
}
