package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/core/lease"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

const (
	// watchEvery is how often a process that isn't the owner looks at the owner's rows,
	// from one look to the next. A weak one does so more seldom, but often enough to
	// know soon that it is cut off from the table.
	watchEvery     = 150 * time.Millisecond
	weakWatchEvery = 450 * time.Millisecond
	// watchPause is the least pause between two looks, for a table that is slow.
	watchPause = 50 * time.Millisecond
	// watchTimeout bounds one look.
	watchTimeout = time.Second
	// swapTimeout bounds an attempt to take over.
	swapTimeout = time.Second
	// weakBelow is the processor time, in cores, below which an entry VM leaves the
	// fleet to a stronger one. The owner of 349 VMs uses 0.28 of a core at the most.
	weakBelow = 0.3
	// vacateTimeout bounds giving the right back at a planned stop.
	vacateTimeout = 1500 * time.Millisecond
)

// candidacy makes this process the owner when there is none.
type candidacy struct {
	table *platform.Table
	node  string
	life  string
	log   zerolog.Logger
	// weak is set on an entry VM with too little processor time for a large fleet.
	weak  bool
	reach *reach
	// readsPerSecond is what the table serves; 0 if that isn't known.
	readsPerSecond float64
	// entries is the number of entry VMs that the owner knew of at the last look.
	entries atomic.Int64
	// serve runs a tenure until ctx ends or the right is lost.
	serve func(ctx context.Context, t *tenure, renewal platform.Version) error
}

// run watches the owner and takes over when it must, until ctx ends.
func (c *candidacy) run(ctx context.Context) error {
	w := lease.Watcher{LowCapacity: c.weak}
	for ctx.Err() == nil {
		next := bootNow().Add(c.every())
		s, rows, err := c.look(ctx)
		if err != nil {
			c.log.Debug().Err(err).Msg("the owner's rows were not read")
		}
		if err != nil || !w.TakeoverDue(s) {
			supervisor.Sleep(ctx, max(watchPause, next.Sub(bootNow())))
			continue
		}
		t, renewal, err := c.takeOver(ctx, rows)
		if err != nil {
			c.log.Info().Err(err).Str("event", "take_over_failed").Send()
			supervisor.Sleep(ctx, watchEvery+rand.N(watchEvery))
			continue
		}
		c.log.Info().Str("event", "owner").Uint64("fence", uint64(t.fence)).Int64("turn", t.turn).
			Str("former", rows.owner.Node).Bool("vacant", rows.owner.Vacant).Send()
		err = c.serve(ctx, t, renewal)
		c.log.Info().Err(err).Str("event", "owner_no_more").Uint64("fence", uint64(t.fence)).Send()
		w = lease.Watcher{LowCapacity: c.weak}
	}
	return nil
}

// every returns the period of the looks.
func (c *candidacy) every() time.Duration {
	least := watchEvery
	if c.weak {
		least = weakWatchEvery
	}
	return lease.PollInterval(least, int(c.entries.Load()), c.readsPerSecond)
}

// ownerRows are the owner's rows as read.
type ownerRows struct {
	owner          ownerRow
	ownerVersion   platform.Version
	renewalVersion platform.Version
}

func (c *candidacy) look(ctx context.Context) (lease.Observation, ownerRows, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var out ownerRows
	s := lease.Observation{Sent: bootNow()}
	snapshot, err := c.table.List(ctx, platform.Range{Table: ownerTable, Part: part, From: ownerKeyName, To: renewalKeyName + "\x00"})
	if err != nil {
		c.reach.failed(part)
		return s, out, err
	}
	s.Received = bootNow()
	c.reach.heard(part)
	for i := range snapshot.Rows {
		r := &snapshot.Rows[i]
		switch r.Key {
		case ownerKeyName:
			if out.owner, err = decodeRow[ownerRow](r); err != nil {
				return s, out, err
			}
			out.ownerVersion = r.Version
		case renewalKeyName:
			out.renewalVersion = r.Version
			c.learnEntries(r)
		}
	}
	s.Owner, s.Renewal = uint64(out.ownerVersion), uint64(out.renewalVersion)
	s.Vacant = out.owner.Vacant
	s.PreviousRun = out.owner.Node == c.node && out.owner.Life != c.life
	return s, out, nil
}

// learnEntries takes in how many entry VMs there are. A renewal that can't be read still
// is one.
func (c *candidacy) learnEntries(r *platform.Row) {
	renewal, err := decodeRow[renewalRow](r)
	if err != nil {
		c.log.Error().Err(err).Str("event", "row_ignored").Send()
		return
	}
	c.entries.Store(int64(renewal.Entries))
}

// takeOver writes this process into the owner's row. It expects both rows as
// they were read, so that a renewal in between wins.
func (c *candidacy) takeOver(ctx context.Context, rows ownerRows) (*tenure, platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	turn := rows.owner.Turn + 1
	owner, err := encode(ownerRow{Node: c.node, Life: c.life, Turn: turn})
	if err != nil {
		return nil, 0, err
	}
	renewal, err := encode(renewalRow{Life: c.life, Entries: int(c.entries.Load())})
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
	version, err := c.table.Apply(ctx, tx)
	if errors.Is(err, platform.ErrNoAnswer) {
		version, err = c.adopt(turn)
	}
	if err != nil {
		return nil, 0, err
	}
	t := &tenure{life: c.life, fence: version, turn: turn}
	t.prove(sent, sent)
	return t, version, nil
}

// adopt looks whether a take-over without an answer was carried out.
func (c *candidacy) adopt(turn int64) (platform.Version, error) {
	_, rows, err := c.look(context.Background())
	if err != nil {
		return 0, err
	}
	if rows.owner.Life != c.life || rows.owner.Turn != turn || rows.renewalVersion != rows.ownerVersion {
		return 0, errors.New("another process took over")
	}
	return rows.ownerVersion, nil
}

// vacate gives the right back, so that another process takes over at once.
func (c *candidacy) vacate(t *tenure) {
	value, err := encode(ownerRow{Node: c.node, Life: c.life, Turn: t.turn, Vacant: true})
	tx := platform.Transaction{
		Conditions: []platform.Condition{{RowKey: ownerKey, Version: t.fence}},
		Writes:     []platform.Write{{RowKey: ownerKey, Value: value}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), vacateTimeout)
	defer cancel()
	for err == nil {
		_, err = c.table.Apply(ctx, tx)
		refused := errors.Is(err, platform.ErrBusy) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrNotSent)
		if !refused || !supervisor.Sleep(ctx, refusedPause) {
			break
		}
		err = nil
	}
	c.log.Info().Err(err).Str("event", "owner_vacates").Uint64("fence", uint64(t.fence)).Send()
}
