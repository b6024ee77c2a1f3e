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
// costs what changed and not what stands there.
type rowCache struct {
	prefix string
	since  table.Revision
	rows   map[table.Key]table.Row
}

// poll fetches what changed and returns it.
func (c *rowCache) poll(ctx context.Context, t Table) ([]table.Row, error) {
	changed, revision, err := t.Changes(ctx, c.prefix, c.since)
	if err != nil {
		return nil, err
	}
	c.since = revision
	for _, row := range changed {
		c.put(row)
	}
	return changed, nil
}

func (c *rowCache) put(row table.Row) {
	if c.rows == nil {
		c.rows = make(map[table.Key]table.Row)
	}
	if row.Version == 0 {
		delete(c.rows, row.Key)
		return
	}
	c.rows[row.Key] = row
}

// apply takes over the writes of t, which took effect: its checks tell the
// versions that they were made on.
func (c *rowCache) apply(t table.Transaction) {
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

func (c *rowCache) vms() ([]fleet.VMRow, error) {
	vms := make([]fleet.VMRow, 0, len(c.rows))
	for _, row := range c.rows {
		vm, err := fleet.DecodeVM(row)
		if err != nil {
			return nil, err
		}
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b fleet.VMRow) int { return strings.Compare(string(a.Ref.VM), string(b.Ref.VM)) })
	return vms, nil
}

func (c *rowCache) pools() (map[core.PoolID]fleet.PoolRow, error) {
	pools := make(map[core.PoolID]fleet.PoolRow, len(c.rows))
	for _, row := range c.rows {
		pool, err := fleet.DecodePool(row)
		if err != nil {
			return nil, err
		}
		pools[pool.ID] = pool
	}
	return pools, nil
}
