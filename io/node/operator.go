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
	// feedWait is how long a feed waits for a change. A connection that fell
	// silent is noticed after that and feedGrace, within the two seconds in which a
	// configuration must be in force. The looks at the owner's rows tell sooner that an
	// entry VM is cut off from the table, so that feeds needn't: calls are priced.
	feedWait  = 1200 * time.Millisecond
	feedGrace = 600 * time.Millisecond
	// feedRetry is the pause after a failed reading.
	feedRetry = 100 * time.Millisecond
	// readTimeout bounds the reading of the machines list.
	readTimeout = 1500 * time.Millisecond
)

// operatorView is what operators have set, as of the newest reading.
type operatorView struct {
	table *platform.Table
	log   zerolog.Logger
	// changed is called after each change.
	changed func()

	// reach is told of the table's answers.
	reach *reach

	mu    sync.Mutex
	conf  *job.Configuration
	waves map[int64]job.Wave
	// evacuated are the availability zones in which no task may start.
	evacuated map[job.ZoneName]struct{}
	// generation counts the changes.
	generation uint64
	// asOf is up to when all changes are known: the view holds all that was
	// acknowledged before.
	asOf time.Time
}

// configuration returns the configuration in force, or nil.
func (v *operatorView) configuration() *job.Configuration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.conf
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

// evacuations returns the availability zones that are evacuated, in order.
func (v *operatorView) evacuations() []job.ZoneName {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Sorted(maps.Keys(v.evacuated))
}

// open tells whether tasks may start in an availability zone.
func (v *operatorView) open(z job.ZoneName) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, evacuated := v.evacuated[z]
	return !evacuated
}

// changes counts the changes so far.
func (v *operatorView) changes() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.generation
}

// age returns how long ago all changes were known.
func (v *operatorView) age(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.asOf)
}

// follow keeps the view up to date until ctx ends.
func (v *operatorView) follow(ctx context.Context) error {
	f := feed{table: v.table, name: platform.OperatorTable, log: v.log}
	return f.run(ctx, v.take, v.heard)
}

// heard notes that the table has answered a reading.
func (v *operatorView) heard(asOf time.Time) {
	v.reach.heardAny()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.asOf = asOf
}

// take takes in rows; whole tells that they are all there are.
func (v *operatorView) take(rows []platform.Row, whole bool) {
	touched := false
	if whole {
		touched = v.endMissing(rows)
	}
	for _, r := range rows {
		c, err := platform.DecodeOperatorRow(r)
		if err != nil {
			v.log.Error().Err(err).Str("row", r.Key).Msg("operator row ignored")
			continue
		}
		touched = v.apply(c) || touched
	}
	if touched && v.changed != nil {
		v.changed()
	}
}

// endMissing ends the evacuations that a whole reading lacks: they ended while changes
// were missed.
func (v *operatorView) endMissing(rows []platform.Row) bool {
	present := map[job.ZoneName]bool{}
	for _, r := range rows {
		if c, err := platform.DecodeOperatorRow(r); err == nil {
			if e, ok := c.(platform.EvacuationChange); ok {
				present[e.Zone] = true
			}
		}
	}
	touched := false
	for _, z := range v.evacuations() {
		if !present[z] {
			touched = v.apply(platform.EvacuationChange{Zone: z, Ended: true}) || touched
		}
	}
	return touched
}

// apply takes in a change and tells whether it is news.
func (v *operatorView) apply(c platform.OperatorChange) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.applyChange(c) {
		return false
	}
	v.generation++
	return true
}

func (v *operatorView) applyChange(c platform.OperatorChange) bool {
	switch c := c.(type) {
	case platform.ConfigurationChange:
		if v.conf != nil && c.Version <= v.conf.Version {
			return false
		}
		v.conf = c.Configuration
		v.log.Info().Str("event", "configuration_in_force").Int64("version", int64(c.Version)).
			Int("queues", len(c.Queues)).Int("accounts", len(c.Accounts)).Send()
		return true
	case platform.WaveChange:
		if v.waves == nil {
			v.waves = map[int64]job.Wave{}
		}
		if _, known := v.waves[c.Number]; known {
			return false
		}
		v.waves[c.Number] = c.Wave
		v.log.Info().Str("event", "wave_known").Int64("wave", c.Number).Int("machines", len(c.Machines)).
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

// feed follows one table: all its rows first, then each change. After an outage
// or a gap in the history it reads all rows anew.
type feed struct {
	table *platform.Table
	name  string
	part  string
	// anyPart follows the rows of all parts; from and whole must then be set.
	anyPart bool
	// whole reads all rows; nil reads those of part.
	whole func(ctx context.Context) ([]platform.Row, platform.Version, error)
	log   zerolog.Logger
	// from, if set, skips the first reading: changes after it are wanted only.
	from platform.Version
}

// run calls take with rows, whole if they are the whole table, and contact after each
// answer with the time up to which all changes are known, until ctx ends.
func (f *feed) run(ctx context.Context, take func(rows []platform.Row, whole bool), contact func(asOf time.Time)) error {
	after := f.from
	lost := false
	for ctx.Err() == nil {
		asked := bootNow()
		if after == 0 {
			rows, version, err := f.readAll(ctx)
			if err != nil {
				lost = f.failed(ctx, err, lost)
				continue
			}
			take(rows, true)
			contact(asked)
			after = version
			continue
		}
		s, err := f.next(ctx, after)
		switch {
		case errors.Is(err, platform.ErrHistoryGone):
			after = 0
			continue
		case err != nil:
			lost = f.failed(ctx, err, lost)
			continue
		}
		if lost {
			lost = false
			f.log.Info().Str("event", "feed_regained").Str("table", f.name).Send()
		}
		if len(s.Rows) > 0 {
			take(f.ours(s.Rows), false)
		}
		contact(asOf(asked, bootNow(), len(s.Rows)))
		after = max(after, s.Version)
	}
	return nil
}

// asOf returns up to when all changes are known after an answer of the feed with so many
// rows. One without any has waited for them to the end of feedWait.
func asOf(asked, answered time.Time, rows int) time.Time {
	waited := asked.Add(feedWait)
	if rows > 0 || answered.Before(waited) {
		return asked
	}
	return waited
}

func (f *feed) ours(rows []platform.Row) []platform.Row {
	out := rows[:0]
	for _, r := range rows {
		if f.anyPart || r.Part == f.part {
			out = append(out, r)
		}
	}
	return out
}

func (f *feed) readAll(ctx context.Context) ([]platform.Row, platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if f.whole != nil {
		return f.whole(ctx)
	}
	return f.table.ListAll(ctx, f.name, f.part)
}

func (f *feed) next(ctx context.Context, after platform.Version) (platform.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedGrace)
	defer cancel()
	return f.table.Feed(ctx, f.name, after, feedWait)
}

func (f *feed) failed(ctx context.Context, err error, lost bool) bool {
	if ctx.Err() == nil && !lost {
		f.log.Warn().Err(err).Str("event", "feed_lost").Str("table", f.name).Send()
	}
	supervisor.Sleep(ctx, feedRetry)
	return true
}
