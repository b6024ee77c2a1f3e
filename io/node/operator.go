package node

import (
	"context"
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

// follow keeps the view up to date until ctx ends.
func (v *operatorView) follow(ctx context.Context) error {
	f := feed{table: v.table, name: platform.OperatorTable, log: v.log}
	return f.run(ctx, func(rows []platform.Row, _ bool) {
		v.take(rows)
	}, v.reach.heardAny)
}

func (v *operatorView) take(rows []platform.Row) {
	touched := false
	for _, r := range rows {
		if r.Removed {
			continue
		}
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

func (v *operatorView) apply(c platform.OperatorChange) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
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
			Int("at_once", c.AtOnce).Dur("within_ms", c.Within).Send()
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

// run calls take with rows, whole if they are the whole table, and contact
// after each answer, until ctx ends.
func (f *feed) run(ctx context.Context, take func(rows []platform.Row, whole bool), contact func()) error {
	after := f.from
	lost := false
	for ctx.Err() == nil {
		if after == 0 {
			rows, version, err := f.readAll(ctx)
			if err != nil {
				lost = f.failed(ctx, err, lost)
				continue
			}
			contact()
			take(rows, true)
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
		contact()
		if len(s.Rows) > 0 {
			take(f.ours(s.Rows), false)
		}
		after = max(after, s.Version)
	}
	return nil
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
