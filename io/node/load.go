package node

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core/fairshare"
	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

// loadTimeout bounds reading whole tables. A read that makes no progress ends sooner.
const loadTimeout = 12 * time.Second

// optionalLoadTimeout bounds how long a takeover waits for the usage of accounts and the run times
// of queues. They only improve decisions, so the takeover goes on without them.
const optionalLoadTimeout = time.Second

// maxConcurrentReads is how many partitions of the job table are read concurrently. On a
// slow link, more reads starve one another and the renewals of the ownership.
const maxConcurrentReads = 8

// storedState is the state that former owners left in the table.
type storedState struct {
	// jobs are the rows of each partition.
	jobs                                 [][]platform.Row
	progress                             storedProgress
	waves, vms, orders, shares, runTimes []platform.Row
	// jobFeedVersion is the version from which the feed of jobs continues.
	jobFeedVersion platform.Version
}

// load reads the state that former owners left. It retries until it succeeds or the ownership is
// lost.
func (o *owner) load(ctx context.Context) error {
	for ctx.Err() == nil {
		state, err := o.readStoredState(ctx)
		if err == nil {
			o.jobFeedVersion = state.jobFeedVersion
			o.restore(state)
			// Beyond this version, some partitions were read earlier than others.
			o.lastJobVersion = state.jobFeedVersion
			return nil
		}
		o.log.Warn().Err(err).Str("event", "load_failed").Send()
		supervisor.Sleep(ctx, feedRetryDelay)
	}
	return context.Cause(ctx)
}

func (o *owner) readStoredState(ctx context.Context) (storedState, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var state storedState
	var errs [4]error
	var g supervisor.Group
	read := func(err *error, rows *[]platform.Row, table string) {
		g.Go(func() { *rows, *err = o.listRows(ctx, table) })
	}
	read(&errs[0], &state.waves, waveTable)
	read(&errs[1], &state.vms, vmTable)
	read(&errs[2], &state.orders, machineOrderTable)
	if o.node.currentPolicy().FairShares {
		g.Go(func() { state.shares = o.readOptional(ctx, shareTable) })
	}
	if o.node.currentPolicy().RunTimeForecast {
		g.Go(func() { state.runTimes = o.readOptional(ctx, runTimeTable) })
	}
	state.jobs, state.jobFeedVersion, errs[3] = o.loadJobs(ctx)
	g.Wait()
	for _, err := range errs {
		if err != nil {
			return state, err
		}
	}
	// The progress is read after the jobs, so that a job that ends in between is known to
	// have ended.
	var err error
	state.progress, err = o.readProgress(ctx)
	return state, err
}

// listRows reads a table that the owner writes, with its divided rows joined.
func (o *owner) listRows(ctx context.Context, table string) ([]platform.Row, error) {
	rows, _, err := o.node.table.ListAll(ctx, table, mainPartition)
	if err != nil {
		return nil, err
	}
	return o.joinRows(rows)
}

// joinRows joins divided rows that the owner writes, and records in how many parts each of them is stored.
func (o *owner) joinRows(rows []platform.Row) ([]platform.Row, error) {
	joined, parts, err := joinParts(rows)
	if err != nil {
		return nil, err
	}
	for k, n := range parts {
		o.committer.setParts(k, n)
	}
	return joined, nil
}

// readOptional reads a table that the owner can do without, or returns nil if that takes too long.
func (o *owner) readOptional(ctx context.Context, table string) []platform.Row {
	ctx, cancel := context.WithTimeout(ctx, optionalLoadTimeout)
	defer cancel()
	rows, err := o.listRows(ctx, table)
	if err != nil {
		o.log.Warn().Err(err).Str("event", "table_not_loaded").Str("table", table).Send()
	}
	return rows
}

// loadJobs reads the jobs of each partition. The feed continues from the oldest version
// among the reads.
func (o *owner) loadJobs(ctx context.Context) ([][]platform.Row, platform.Version, error) {
	partitions := make([][]platform.Row, jobPartitionCount)
	var versions [jobPartitionCount]platform.Version
	var errs [jobPartitionCount]error
	var next atomic.Int32
	var left atomic.Int64
	left.Store(math.MaxInt64)
	if o.memory.jobs.MaxBytes > 0 {
		left.Store(o.memory.jobs.MaxBytes / loadedValuesPart)
	}
	var g supervisor.Group
	for range maxConcurrentReads {
		g.Go(func() {
			for i := int(next.Add(1)) - 1; i < jobPartitionCount; i = int(next.Add(1)) - 1 {
				partitions[i], versions[i], errs[i] = o.node.table.ListAll(ctx, jobTable, jobPartitionName(i))
				dropLargeValues(partitions[i], &left)
			}
		})
	}
	g.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, 0, err
		}
	}
	return partitions, slices.Min(versions[:]), nil
}

// dropLargeValues drops the values of jobs that exceed what is left of the memory for rows. Such jobs are
// deferred, and their rows read again one at a time.
func dropLargeValues(rows []platform.Row, left *atomic.Int64) {
	for i := range rows {
		r := &rows[i]
		if _, isCancel := splitJobKey(r.Key); !isCancel && left.Add(-int64(len(r.Value))) < 0 {
			r.Value = nil
		}
	}
}

// restore creates a scheduler from the state that former owners left.
func (o *owner) restore(state storedState) {
	now := bootNow()
	var formerOrders []schedule.MachineOrder
	orders := decodeRows[orderRow](state.orders, o.log)
	for _, id := range slices.Sorted(maps.Keys(orders)) {
		formerOrders = append(formerOrders, orders[id].order(&o.tenure.clock))
	}
	o.scheduler = o.newScheduler(formerOrders)
	o.storedWaves = decodeRows[job.WaveProgress](state.waves, o.log)
	o.reconfigure(now)
	shares := decodeRows[fairshare.StoredUsage](state.shares, o.log)
	for _, pool := range slices.Sorted(maps.Keys(shares)) {
		o.scheduler.AddInheritedShares(now, time.Now(), job.PoolName(pool), shares[pool])
	}
	runTimes := decodeRows[schedule.StoredRunTimes](state.runTimes, o.log)
	for _, queue := range slices.Sorted(maps.Keys(runTimes)) {
		o.scheduler.AddInheritedRunTimes(now, time.Now(), job.QueueName(queue), runTimes[queue])
	}
	vms := decodeRows[vmRow](state.vms, o.log)
	leases := 0
	for _, id := range slices.Sorted(maps.Keys(vms)) {
		v := vms[id].roster(&o.tenure.clock)
		if v.Lease != nil {
			leases++
		}
		o.scheduler.AddInheritedVM(v)
	}
	progress := o.decodeProgress(state.progress)
	for id, p := range progress {
		if p.State.Final() {
			o.scheduler.AddEndedJob(now, id)
		}
	}
	// Their rows may have been stored for some time already.
	for _, e := range state.progress.ended {
		o.scheduler.AddEndedJob(e.endedAt(now, &o.tenure.clock), e.id)
	}
	jobs := 0
	for i, rows := range state.jobs {
		o.applyJobRows(now, rows, progress)
		jobs += len(rows)
		// Most of the rows are those of jobs that have ended, and not needed any more.
		state.jobs[i] = nil
	}
	o.log.Info().Str("event", "loaded").Int("jobs", jobs).Int("vms", len(vms)).Int("leases", leases).Send()
}

// newScheduler returns a scheduler for this tenure.
func (o *owner) newScheduler(formerOrders []schedule.MachineOrder) *schedule.Scheduler {
	b := o.node.settings.Bounds
	o.policy = o.node.currentPolicy()
	return schedule.New(schedule.Settings{
		ApprovalMaxVMs:  platform.MaxApprovalVMs,
		MaxStepStates:   int(o.memory.jobs.MaxBytes / occurrencePart / schedule.StepStateBytes),
		OrderIssuer:     o.node.settings.Node,
		FormerOrders:    formerOrders,
		Fence:           job.Fence(o.tenure.fence),
		AttemptBase:     job.Attempt(o.tenure.number * attemptsPerTenure),
		TakeoverTime:    o.takenOverAt,
		LeaseMax:        b.LeaseMax,
		FormerLease:     o.tenure.formerLease,
		TaskStopMax:     b.TaskStopMax,
		ShrinkNotice:    b.ContactDelayMax,
		MachineLease:    b.MachineLease,
		MachineMoveTime: b.MachineMoveTime,
		Policy:          *o.policy,
		Observer:        o.node.decisions,
	})
}

// decodeRows returns the decoded rows by key. A row that can't be decoded is logged and
// skipped, so that the others remain usable.
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
