package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/core/job"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

const (
	// feedWait is how long a feed waits for a change. A stalled connection is noticed
	// after feedWait plus feedGrace, within the two seconds in which a configuration must
	// take effect. The polls of the owner's rows notice sooner that an entry VM is cut off
	// from the table, so feeds can wait longer, which saves calls that the platform bills.
	feedWait  = 1200 * time.Millisecond
	feedGrace = 600 * time.Millisecond
	// feedRetryDelay is the pause after a failed read.
	feedRetryDelay = 100 * time.Millisecond
	// machineListTimeout bounds reading the list of machines.
	machineListTimeout = 1500 * time.Millisecond
)

// operatorView holds the operators' configuration, waves and evacuations as of the latest
// read.
type operatorView struct {
	table *platform.Table
	log   zerolog.Logger
	// onChange is called after each change.
	onChange func()

	// health records the table's answers.
	health *tableHealth

	mu     sync.Mutex
	config *job.Configuration
	waves  map[int64]job.Wave
	// evacuated holds the availability zones in which no task may start.
	evacuated map[job.ZoneName]struct{}
	// numChanges counts the changes.
	numChanges uint64
	// asOf is the time up to which all changes are known: the view includes every write
	// that the table acknowledged before it.
	asOf time.Time
}

// configuration returns the configuration in force, or nil.
func (v *operatorView) configuration() *job.Configuration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config
}

func (v *operatorView) allWaves() []job.Wave {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []job.Wave
	for _, w := range v.waves {
		out = append(out, w)
	}
	return out
}

// evacuations returns the evacuated availability zones in sorted order.
func (v *operatorView) evacuations() []job.ZoneName {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Sorted(maps.Keys(v.evacuated))
}

// zoneOpen reports whether tasks may start in an availability zone.
func (v *operatorView) zoneOpen(z job.ZoneName) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, evacuated := v.evacuated[z]
	return !evacuated
}

// changeCount returns the number of changes so far.
func (v *operatorView) changeCount() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.numChanges
}

// age returns the time since asOf.
func (v *operatorView) age(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.asOf)
}

// follow keeps the view up to date until ctx ends.
func (v *operatorView) follow(ctx context.Context) error {
	f := feed{table: v.table, tableName: platform.OperatorTable, log: v.log}
	return f.run(ctx, v.applyRows, v.recordContact)
}

// recordContact records that the table answered and that all changes up to asOf are known.
func (v *operatorView) recordContact(asOf time.Time) {
	v.health.recordContact()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.asOf = asOf
}

// applyRows applies rows to the view. complete means that they are the whole table.
func (v *operatorView) applyRows(rows []platform.Row, complete bool) {
	modified := false
	if complete {
		modified = v.endMissingEvacuations(rows)
	}
	for _, r := range rows {
		c, err := platform.DecodeOperatorRow(r)
		if err != nil {
			v.log.Error().Err(err).Str("row", r.Key).Msg("operator row could not be decoded, ignored")
			continue
		}
		modified = v.apply(c) || modified
	}
	if modified && v.onChange != nil {
		v.onChange()
	}
}

// endMissingEvacuations ends the evacuations that a complete read doesn't contain. They
// ended while changes were missed.
func (v *operatorView) endMissingEvacuations(rows []platform.Row) bool {
	present := map[job.ZoneName]bool{}
	for _, r := range rows {
		if c, err := platform.DecodeOperatorRow(r); err == nil {
			if e, ok := c.(platform.EvacuationChange); ok {
				present[e.Zone] = true
			}
		}
	}
	modified := false
	for _, z := range v.evacuations() {
		if !present[z] {
			modified = v.apply(platform.EvacuationChange{Zone: z, Ended: true}) || modified
		}
	}
	return modified
}

// apply applies a change and reports whether it had an effect.
func (v *operatorView) apply(c platform.OperatorChange) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.applyChange(c) {
		return false
	}
	v.numChanges++
	return true
}

func (v *operatorView) applyChange(c platform.OperatorChange) bool {
	switch c := c.(type) {
	case platform.ConfigurationChange:
		if v.config != nil && c.Version <= v.config.Version {
			return false
		}
		v.config = c.Configuration
		v.log.Info().Str("event", "configuration_in_force").Int64("version", int64(c.Version)).
			Int("queues", len(c.Queues)).Int("accounts", len(c.Accounts)).Send()
		return true
	case platform.WaveChange:
		if v.waves == nil {
			v.waves = map[int64]job.Wave{}
		}
		if former, known := v.waves[c.Number]; known && c.Revision <= former.Revision {
			return false
		}
		v.waves[c.Number] = c.Wave
		v.log.Info().Str("event", "wave_known").Int64("wave", c.Number).Uint64("revision", uint64(c.Revision)).Int("machines", len(c.Machines)).
			Int("at_once", c.MaxConcurrent).Dur("within_ms", c.Within).Send()
		return true
	case platform.EvacuationChange:
		if _, evacuated := v.evacuated[c.Zone]; evacuated != c.Ended {
			return false
		}
		if v.evacuated == nil {
			v.evacuated = map[job.ZoneName]struct{}{}
		}
		event := "evacuation_in_force"
		if c.Ended {
			delete(v.evacuated, c.Zone)
			event = "evacuation_ended"
		} else {
			v.evacuated[c.Zone] = struct{}{}
		}
		v.log.Info().Str("event", event).Str("zone", string(c.Zone)).
			Int64("view_age_ms", bootNow().Sub(v.asOf).Milliseconds()).Send()
		return true
	}
	return false
}

// feed follows one table: first all its rows, then each change. After a gap in the table's
// history, such as after a long outage, it reads all rows again.
type feed struct {
	table     *platform.Table
	tableName string
	partition string
	// allPartitions follows the rows of all partitions. It requires from and readSnapshot
	// to be set.
	allPartitions bool
	// readSnapshot reads all rows. If it is nil, the rows of partition are read.
	readSnapshot func(ctx context.Context) ([]platform.Row, platform.Version, error)
	log          zerolog.Logger
	// from, if set, is the version after which changes are wanted. The initial read of all
	// rows is skipped.
	from platform.Version
}

// run follows the table until ctx ends. It calls onRows with rows, complete if they are
// the whole table, and onContact after each answer with the time up to which all changes
// are known.
func (f *feed) run(ctx context.Context, onRows func(rows []platform.Row, complete bool), onContact func(asOf time.Time)) error {
	after := f.from
	lost := false
	for ctx.Err() == nil {
		sent := bootNow()
		if after == 0 {
			rows, version, err := f.readAll(ctx)
			if err != nil {
				lost = f.handleFailure(ctx, err, lost)
				continue
			}
			onRows(rows, true)
			onContact(sent)
			after = version
			continue
		}
		s, err := f.next(ctx, after)
		switch {
		case errors.Is(err, platform.ErrHistoryGone):
			after = 0
			continue
		case errors.Is(err, platform.ErrAnswerTooLong):
			// The same call would get the same answer, while all rows are read in pages.
			f.log.Warn().Err(err).Str("event", "feed_too_long").Str("table", f.tableName).Send()
			after = 0
			continue
		case err != nil:
			lost = f.handleFailure(ctx, err, lost)
			continue
		}
		if lost {
			lost = false
			f.log.Info().Str("event", "feed_regained").Str("table", f.tableName).Send()
		}
		if len(s.Rows) > 0 {
			onRows(f.filterPartition(s.Rows), false)
		}
		onContact(asOf(sent, bootNow(), len(s.Rows)))
		after = max(after, s.Version)
	}
	return nil
}

// asOf returns the time up to which all changes are known after an answer of the feed with
// the given number of rows. If there are none, the table has waited for changes until the
// end of feedWait.
func asOf(sent, answered time.Time, rows int) time.Time {
	waitEnd := sent.Add(feedWait)
	if rows > 0 || answered.Before(waitEnd) {
		return sent
	}
	return waitEnd
}

func (f *feed) filterPartition(rows []platform.Row) []platform.Row {
	out := rows[:0]
	for _, r := range rows {
		if f.allPartitions || r.Partition == f.partition {
			out = append(out, r)
		}
	}
	return out
}

func (f *feed) readAll(ctx context.Context) ([]platform.Row, platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if f.readSnapshot != nil {
		return f.readSnapshot(ctx)
	}
	return f.table.ListAll(ctx, f.tableName, f.partition)
}

func (f *feed) next(ctx context.Context, after platform.Version) (platform.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedGrace)
	defer cancel()
	return f.table.Feed(ctx, f.tableName, after, feedWait)
}

// handleFailure logs the first of consecutive failures and pauses. It always returns true,
// the new value of lost.
func (f *feed) handleFailure(ctx context.Context, err error, lost bool) bool {
	if ctx.Err() == nil && !lost {
		f.log.Warn().Err(err).Str("event", "feed_lost").Str("table", f.tableName).Send()
	}
	supervisor.Sleep(ctx, feedRetryDelay)
	return true
}
