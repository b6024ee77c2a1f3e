package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/core/admission"
	"lavenderpond/core/lease"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

const (
	// basePollInterval is how often a process that isn't the owner polls the owner's rows,
	// measured from one poll to the next. A process with low capacity polls at
	// lowCapacityPollInterval, which is still often enough to notice soon that it is cut
	// off from the table.
	basePollInterval        = 150 * time.Millisecond
	lowCapacityPollInterval = 450 * time.Millisecond
	// minPollPause is the minimum pause between two polls, for a slow table.
	minPollPause = 50 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
	// takeoverTimeout bounds one takeover attempt.
	takeoverTimeout = time.Second
	// lowCapacityCores is the CPU capacity, in cores, below which an entry VM leaves the
	// ownership to an entry VM with more capacity. The owner of 349 VMs uses at most 0.28
	// cores.
	lowCapacityCores = 0.3
	// vacateTimeout bounds giving up the ownership at a planned stop.
	vacateTimeout = 1500 * time.Millisecond
)

// election polls the owner's rows and makes this process the owner when there is none.
type election struct {
	table *platform.Table
	node  string
	runID string
	log   zerolog.Logger
	// lowCapacity is set on an entry VM with too little CPU capacity for a large fleet.
	lowCapacity bool
	// memoryMB is the memory of this entry VM; 0 if it isn't known.
	memoryMB int64
	health   *tableHealth
	// grantedLease is the longest lease that this process grants as the owner.
	grantedLease time.Duration
	// readsPerSecond is the table's read limit; 0 if it isn't known.
	readsPerSecond float64
	// onPoll receives what each poll has read; it may be nil.
	onPoll func(now time.Time, rows ownerRows)
	// entries is the number of entry VMs according to the last renewal that was read.
	entries atomic.Int64
	// ownerMemoryMB is the memory that the owner needs, according to the same renewal; 0 if it
	// isn't known.
	ownerMemoryMB atomic.Int64
	// ownerFull is set if the owner can't take further jobs, according to the same renewal.
	ownerFull atomic.Bool
	// serve runs a tenure until ctx ends or the ownership is lost.
	serve func(ctx context.Context, t *tenure, renewal platform.Version) error
}

// run polls the owner's rows and takes over when a takeover is due, until ctx ends.
func (e *election) run(ctx context.Context) error {
	watcher := lease.Watcher{LowCapacity: e.lowCapacity}
	declined := false
	for ctx.Err() == nil {
		nextPoll := bootNow().Add(e.pollInterval())
		observation, rows, err := e.readOwnerRows(ctx)
		if err != nil {
			e.log.Debug().Err(err).Msg("owner rows could not be read")
		}
		watcher.LowMemory = e.lacksMemory()
		if watcher.LowMemory != declined {
			declined = watcher.LowMemory
			e.log.Info().Str("event", "ownership_declined").Bool("declined", declined).Int64("memory_mb", e.memoryMB).Int64("owner_memory_mb", e.ownerMemoryMB.Load()).Send()
		}
		if err != nil || !watcher.TakeoverDue(observation) {
			supervisor.Sleep(ctx, max(minPollPause, nextPoll.Sub(bootNow())))
			continue
		}
		t, renewal, err := e.takeOver(ctx, rows)
		if err != nil {
			e.log.Info().Err(err).Str("event", "take_over_failed").Send()
			supervisor.Sleep(ctx, basePollInterval+rand.N(basePollInterval))
			continue
		}
		e.log.Info().Str("event", "owner").Bool("resumed", observation.PreviousRun && !observation.Vacant).Int64("former_tenure_ms", observation.Tenure.Milliseconds()).Uint64("fence", uint64(t.fence)).Int64("turn", t.number).
			Str("former", rows.owner.Node).Bool("vacant", rows.owner.Vacant).Send()
		err = e.serve(ctx, t, renewal)
		e.log.Info().Err(err).Str("event", "owner_no_more").Uint64("fence", uint64(t.fence)).Send()
		watcher = lease.Watcher{LowCapacity: e.lowCapacity}
	}
	return nil
}

// pollInterval returns the interval between two polls of the owner's rows.
func (e *election) pollInterval() time.Duration {
	interval := basePollInterval
	if e.lowCapacity {
		interval = lowCapacityPollInterval
	}
	return lease.PollInterval(interval, int(e.entries.Load()), e.readsPerSecond)
}

// ownerRows holds the owner row, the owner's forecast, and the versions of the owner and renewal
// rows as read. tableVersion and tableTime are those of the table.
type ownerRows struct {
	owner          ownerRow
	observation    lease.Observation
	forecast       admission.Forecast
	tableVersion   platform.Version
	tableTime      tableTime
	ownerVersion   platform.Version
	renewalVersion platform.Version
}

// readOwnerRows reads the owner and renewal rows and records whether the table answered.
func (e *election) readOwnerRows(ctx context.Context) (lease.Observation, ownerRows, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var rows ownerRows
	observation := lease.Observation{Sent: bootNow()}
	snapshot, err := e.table.List(ctx, platform.Range{Table: ownerTable, Partition: mainPartition, From: ownerKeyName, To: renewalKeyName + "\x00"})
	if err != nil {
		e.health.recordFailure(mainPartition)
		return observation, rows, err
	}
	observation.Received = bootNow()
	e.health.recordAnswer(mainPartition)
	for i := range snapshot.Rows {
		r := &snapshot.Rows[i]
		switch r.Key {
		case ownerKeyName:
			if rows.owner, err = decodeRow[ownerRow](r); err != nil {
				return observation, rows, err
			}
			rows.ownerVersion = r.Version
		case renewalKeyName:
			rows.renewalVersion = r.Version
			e.updateEntryCount(r)
		case forecastKeyName:
			rows.forecast = e.decodeForecast(r)
		}
	}
	rows.observation = observation
	rows.tableVersion, rows.tableTime = snapshot.Version, tableTime(snapshot.ClockMS)
	if e.onPoll != nil {
		e.onPoll(observation.Received, rows)
	}
	observation.Owner, observation.Renewal = uint64(rows.ownerVersion), uint64(rows.renewalVersion)
	observation.Vacant = rows.owner.Vacant
	observation.Resumed = rows.owner.Resumed
	observation.Tenure = time.Duration(rows.tableTime-rows.owner.TakenOverAt) * time.Millisecond
	observation.PreviousRun = rows.owner.Node == e.node && rows.owner.RunID != e.runID
	return observation, rows, nil
}

// updateEntryCount updates the number of entry VMs from a renewal row. A row that can't be
// decoded is logged and still counts as a renewal.
func (e *election) updateEntryCount(r *platform.Row) {
	renewal, err := decodeRow[renewalRow](r)
	if err != nil {
		e.log.Error().Err(err).Str("event", "row_ignored").Send()
		return
	}
	e.entries.Store(int64(renewal.Entries))
	e.ownerFull.Store(renewal.Full)
	if renewal.MemoryMB > 0 {
		// A new owner's first renewals tell of its memory before it knows the fleet.
		e.ownerMemoryMB.Store(renewal.MemoryMB)
	}
}

// lacksMemory reports whether this entry VM has less memory than the owner needs.
func (e *election) lacksMemory() bool {
	return e.memoryMB > 0 && e.ownerMemoryMB.Load() > e.memoryMB
}

// decodeForecast decodes the owner's forecast. One that can't be decoded is logged and counts as
// none.
func (e *election) decodeForecast(r *platform.Row) admission.Forecast {
	f, err := decodeRow[admission.Forecast](r)
	if err != nil {
		e.log.Error().Err(err).Str("event", "row_ignored").Send()
		return admission.Forecast{}
	}
	return f
}

// takeOver writes this process into the owner row. Its conditions require both rows to be
// as they were read, so that a renewal in between wins.
func (e *election) takeOver(ctx context.Context, rows ownerRows) (*tenure, platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	number := rows.owner.TenureNumber + 1
	row := e.ownerRow(number)
	row.TakenOverAt, row.Resumed = rows.tableTime, rows.owner.Node == e.node && rows.owner.RunID != e.runID && !rows.owner.Vacant
	owner, err := encodeRow(row)
	if err != nil {
		return nil, 0, err
	}
	renewal, err := encodeRow(renewalRow{RunID: e.runID, Entries: int(e.entries.Load())})
	if err != nil {
		return nil, 0, err
	}
	tx := platform.Transaction{
		Conditions: []platform.Condition{
			{RowKey: ownerKey, Version: rows.ownerVersion}, {RowKey: renewalKey, Version: rows.renewalVersion},
		},
		Writes: []platform.Write{{RowKey: ownerKey, Value: owner}, {RowKey: renewalKey, Value: renewal}},
	}
	sent := bootNow()
	version, err := e.table.Apply(ctx, tx)
	if errors.Is(err, platform.ErrNoAnswer) {
		version, err = e.confirmTakeover(number)
	}
	if err != nil {
		return nil, 0, err
	}
	t := &tenure{
		runID: e.runID, fence: version, number: number, formerLease: time.Duration(rows.owner.LeaseMS) * time.Millisecond,
	}
	t.clock.observe(rows.tableTime, rows.observation.Sent, rows.observation.Received)
	t.confirm(sent, sent)
	return t, version, nil
}

// ownerRow returns the owner row of a tenure of this process.
func (e *election) ownerRow(tenureNumber int64) ownerRow {
	return ownerRow{Node: e.node, RunID: e.runID, TenureNumber: tenureNumber, LeaseMS: e.grantedLease.Milliseconds()}
}

// confirmTakeover checks whether a takeover whose answer was lost was applied.
func (e *election) confirmTakeover(number int64) (platform.Version, error) {
	_, rows, err := e.readOwnerRows(context.Background())
	if err != nil {
		return 0, err
	}
	if rows.owner.RunID != e.runID || rows.owner.TenureNumber != number || rows.renewalVersion != rows.ownerVersion {
		return 0, errors.New("another process took over")
	}
	return rows.ownerVersion, nil
}

// vacate marks the owner row as vacant, so that another process takes over right away.
func (e *election) vacate(t *tenure) {
	row := e.ownerRow(t.number)
	row.Vacant = true
	value, err := encodeRow(row)
	tx := platform.Transaction{
		Conditions: []platform.Condition{{RowKey: ownerKey, Version: t.fence}},
		Writes:     []platform.Write{{RowKey: ownerKey, Value: value}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), vacateTimeout)
	defer cancel()
	for err == nil {
		_, err = e.table.Apply(ctx, tx)
		refused := errors.Is(err, platform.ErrBusy) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrNotSent)
		if !refused || !supervisor.Sleep(ctx, refusedRetryDelay) {
			break
		}
		err = nil
	}
	e.log.Info().Err(err).Str("event", "owner_vacates").Uint64("fence", uint64(t.fence)).Send()
}
