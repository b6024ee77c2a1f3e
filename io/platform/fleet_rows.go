package platform

import (
	"context"
	"slices"
	"strings"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
)

// rowCache follows the rows under a prefix by their changes, so that a poll
// costs what changed and not what stands there. A row that can't be decoded is
// left out, so that one bad row doesn't stop a zone's maintenance.
type rowCache[T any] struct {
	prefix string
	decode func(table.Row) (T, error)
	since  table.Revision
	// rows are replaced when they change, and never changed themselves.
	rows map[table.Key]*T
	// bad holds the rows that could not be decoded.
	bad map[table.Key]error
	// changed is set whenever a row is put.
	changed bool
}

// poll fetches what changed.
func (c *rowCache[T]) poll(ctx context.Context, t Table) error {
	changed, revision, err := t.Changes(ctx, c.prefix, c.since)
	if err != nil {
		return err
	}
	c.since = revision
	for _, row := range changed {
		c.put(row)
	}
	return nil
}

func (c *rowCache[T]) put(row table.Row) {
	if c.rows == nil {
		c.rows, c.bad = make(map[table.Key]*T), make(map[table.Key]error)
	}
	c.changed = true
	delete(c.rows, row.Key)
	delete(c.bad, row.Key)
	if row.Version == 0 {
		return
	}
	v, err := c.decode(row)
	if err != nil {
		c.bad[row.Key] = err
		return
	}
	c.rows[row.Key] = &v
}

// apply takes over the writes of t, which took effect: its checks tell the
// versions that they were made on.
func (c *rowCache[T]) apply(t table.Transaction) {
	for _, w := range t.Writes {
		if !strings.HasPrefix(string(w.Key), c.prefix) {
			continue
		}
		row := table.Row{Key: w.Key, Value: w.Value}
		i := slices.IndexFunc(t.Checks, func(k table.Check) bool { return k.Key == w.Key })
		if i >= 0 && !w.Delete {
			row.Version = t.Checks[i].Version + 1
		}
		c.put(row)
	}
}

// zoneRows are the rows that a controller works on.
type zoneRows struct {
	vms   rowCache[fleet.VMRow]
	pools rowCache[fleet.PoolRow]

	sorted []*fleet.VMRow
	byID   map[core.PoolID]fleet.PoolRow
}

func (z *zoneRows) poll(ctx context.Context, t Table, zone core.ZoneID) error {
	z.vms.prefix, z.vms.decode = table.PrefixVM+string(zone)+"/", fleet.DecodeVM
	z.pools.prefix, z.pools.decode = table.PrefixPool, fleet.DecodePool
	if err := z.vms.poll(ctx, t); err != nil {
		return err
	}
	return z.pools.poll(ctx, t)
}

func (z *zoneRows) apply(t table.Transaction) {
	z.vms.apply(t)
	z.pools.apply(t)
}

// allVMs returns the zone's VMs by name. Neither slice nor rows may be changed.
func (z *zoneRows) allVMs() []*fleet.VMRow {
	if !z.vms.changed && z.sorted != nil {
		return z.sorted
	}
	z.vms.changed = false
	z.sorted = make([]*fleet.VMRow, 0, len(z.vms.rows))
	for _, vm := range z.vms.rows {
		z.sorted = append(z.sorted, vm)
	}
	slices.SortFunc(z.sorted, func(a, b *fleet.VMRow) int { return strings.Compare(string(a.Ref.VM), string(b.Ref.VM)) })
	return z.sorted
}

// allPools returns the pools. The map must not be changed.
func (z *zoneRows) allPools() map[core.PoolID]fleet.PoolRow {
	if !z.pools.changed && z.byID != nil {
		return z.byID
	}
	z.pools.changed = false
	z.byID = make(map[core.PoolID]fleet.PoolRow, len(z.pools.rows))
	for _, pool := range z.pools.rows {
		z.byID[pool.ID] = *pool
	}
	return z.byID
}
