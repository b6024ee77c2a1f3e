package node

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

// loadTimeout bounds the reading of whole tables. One that stands still ends sooner.
const loadTimeout = 12 * time.Second

// readsAtOnce is how many parts of the job table are read at a time. Over a slow link more
// of them starve one another, and the renewals of the owner's right with them.
const readsAtOnce = 8

// legacy is what former owners left in the table.
type legacy struct {
	jobs, progress, waves, vms, orders []platform.Row
	// jobsFrom is the version from which the feed of jobs goes on.
	jobsFrom platform.Version
}

// load reads what the former owner left. It is tried until the right is lost.
func (o *owner) load(ctx context.Context) error {
	for ctx.Err() == nil {
		l, err := o.readLegacy(ctx)
		if err == nil {
			o.jobsFrom = l.jobsFrom
			o.restore(l)
			return nil
		}
		o.log.Warn().Err(err).Str("event", "load_failed").Send()
		supervisor.Sleep(ctx, feedRetry)
	}
	return context.Cause(ctx)
}

func (o *owner) readLegacy(ctx context.Context) (legacy, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var l legacy
	var failed [4]error
	var g supervisor.Group
	read := func(err *error, rows *[]platform.Row, table string) {
		g.Go(func() { *rows, _, *err = o.node.table.ListAll(ctx, table, part) })
	}
	read(&failed[0], &l.waves, waveTable)
	read(&failed[1], &l.vms, vmTable)
	read(&failed[2], &l.orders, orderTable)
	l.jobs, l.jobsFrom, failed[3] = o.loadJobs(ctx)
	g.Wait()
	for _, err := range failed {
		if err != nil {
			return l, err
		}
	}
	// The progress is read after the jobs: a job that ends in between is then
	// known to be over.
	var err error
	l.progress, _, err = o.node.table.ListAll(ctx, progressTable, part)
	return l, err
}

// loadJobs reads the jobs of all parts. The feed goes on from the oldest
// of the readings.
func (o *owner) loadJobs(ctx context.Context) ([]platform.Row, platform.Version, error) {
	var parts [jobParts][]platform.Row
	var versions [jobParts]platform.Version
	var failed [jobParts]error
	var next atomic.Int32
	var g supervisor.Group
	for range readsAtOnce {
		g.Go(func() {
			for i := int(next.Add(1)) - 1; i < jobParts; i = int(next.Add(1)) - 1 {
				parts[i], versions[i], failed[i] = o.node.table.ListAll(ctx, jobTable, jobPartName(i))
			}
		})
	}
	g.Wait()
	for _, err := range failed {
		if err != nil {
			return nil, 0, err
		}
	}
	return slices.Concat(parts[:]...), slices.Min(versions[:]), nil
}

// restore makes a scheduler that knows what former owners left.
func (o *owner) restore(l legacy) {
	now := bootNow()
	var before []schedule.MachineOrder
	orders := decodeRows[schedule.MachineOrder](l.orders, o.log)
	for _, id := range slices.Sorted(maps.Keys(orders)) {
		before = append(before, orders[id])
	}
	o.scheduler = o.newScheduler(before)
	o.doneInWaves = map[string][]job.MachineID{}
	for key, w := range decodeRows[waveRow](l.waves, o.log) {
		o.doneInWaves[key] = w.Done
	}
	o.reconfigure(now)
	vms := decodeRows[schedule.RosterVM](l.vms, o.log)
	for _, id := range slices.Sorted(maps.Keys(vms)) {
		o.scheduler.AddInheritedVM(vms[id])
	}
	known := o.decodeProgress(l.progress)
	for _, id := range slices.Sorted(maps.Keys(known)) {
		if known[id].State.Final() {
			o.scheduler.AddEndedJob(now, id)
		}
	}
	o.takeJobs(now, l.jobs, known)
	o.log.Info().Str("event", "loaded").Int("jobs", len(l.jobs)).Int("vms", len(vms)).Send()
}

// newScheduler returns a scheduler for this tenure.
func (o *owner) newScheduler(before []schedule.MachineOrder) *schedule.Scheduler {
	b := o.node.settings.Bounds
	return schedule.New(schedule.Settings{
		OrderIssuer:  o.node.settings.Node,
		FormerOrders: before,
		Fence:        job.Fence(o.tenure.fence),
		AttemptBase:  job.Attempt(o.tenure.turn * attemptsPerTurn),
		TookOver:     o.tookOver,
		LeaseMax:     b.LeaseMax,
		TaskStopMax:  b.TaskStop,
		ShrinkNotice: b.Contact,
		MachineLease: b.MachineLease,
		Observer:     o.node.observer,
	})
}

func (o *owner) decodeProgress(rows []platform.Row) map[job.ID]*job.Progress {
	known := map[job.ID]*job.Progress{}
	for key, p := range decodeRows[job.Progress](rows, o.log) {
		known[job.ID(key)] = &p
	}
	return known
}

// decodeRows decodes rows by their keys. One that can't be read is left out and
// logged: the others hold.
func decodeRows[T any](rows []platform.Row, log zerolog.Logger) map[string]T {
	out := map[string]T{}
	for i := range rows {
		v, err := decodeRow[T](&rows[i])
		if err != nil {
			log.Error().Err(err).Str("event", "row_ignored").Send()
			continue
		}
		out[rows[i].Key] = v
	}
	return out
}
