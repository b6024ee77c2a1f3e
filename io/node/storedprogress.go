package node

import (
	"bytes"
	"context"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/platform"
)

// storedProgress is the progress of all stored jobs. Of the jobs that have ended little is kept: they stay stored for
// some time, and there may be very many of them.
type storedProgress struct {
	rows  []platform.Row
	ended []endedJob
}

// endedJob is a job that has ended. at is 0 if the time isn't known.
type endedJob struct {
	id job.ID
	at tableTime
}

// ended is the progress of each job that has ended.
var ended = &job.Progress{State: job.Completed}

// readProgress reads the progress of all stored jobs.
func (o *owner) readProgress(ctx context.Context) (storedProgress, error) {
	var out storedProgress
	_, err := o.node.table.ListPages(ctx, progressTable, mainPartition, func(page []platform.Row) {
		for i := range page {
			if at, over := endOf(&page[i]); over {
				out.ended = append(out.ended, endedJob{job.ID(page[i].Key), at})
			} else {
				out.rows = append(out.rows, page[i])
			}
		}
	})
	if err == nil {
		out.rows, err = o.joinRows(out.rows)
	}
	return out, err
}

// endOf returns when the job ended if the row is the progress of a job that has. Divided rows count as others, since
// their parts are needed to delete them.
func endOf(r *platform.Row) (at tableTime, over bool) {
	if _, _, isPart := parsePartKey(r.RowKey); isPart || bytes.HasPrefix(r.Value, dividedPrefix) {
		return 0, false
	}
	p, err := decodeRow[progressRow](r)
	return p.Ended, err == nil && p.State.Final()
}

// endedAt returns when the job ended in the time of this process, or now if that isn't known.
func (e endedJob) endedAt(now time.Time, clock *tableClock) time.Time {
	if e.at == 0 {
		return now
	}
	if at, ok := clock.surelyAt(e.at); ok && at.Before(now) {
		return at
	}
	return now
}

// decodeProgress returns the progress of each job, and ended for those that have ended.
func (o *owner) decodeProgress(stored storedProgress) map[job.ID]*job.Progress {
	progress := map[job.ID]*job.Progress{}
	for _, e := range stored.ended {
		progress[e.id] = ended
	}
	for key, r := range decodeRows[progressRow](stored.rows, o.log) {
		p := r.progress(&o.tenure.clock)
		progress[job.ID(key)] = &p
	}
	return progress
}
