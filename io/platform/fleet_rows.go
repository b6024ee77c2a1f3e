package platform

import (
	"context"
	"slices"
	"strings"
	"sync"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
)

// FleetRows is a daemon's one set of decoded rows: those of its zone's VMs, and
// those of all pools. The FleetWatcher and the Controller follow the table
// together, since a second set cost a controller 4.3 MB in a zone of 1,430 VMs
// (docs/CAPACITY.md). Its zero value works. It is safe for concurrent use.
type FleetRows struct {
	// polling lets one poll be under way at a time: of two whose answers cross, the
	// older one would set the revision back, or undo the newer one's deletions.
	polling sync.Mutex

	mu    sync.Mutex
	vms   rowCache[fleet.VMRow]
	pools rowCache[fleet.PoolRow]
	// sorted and byID are views of the rows, built anew once a row has changed.
	sorted []*fleet.VMRow
	byID   map[core.PoolID]fleet.PoolRow
	// untold are the VM rows that changed since TakeChanged, by the newest.
	untold map[table.Key]*fleet.VMRow
}

// Poll fetches what changed in zone's VMs and in the pools.
func (r *FleetRows) Poll(ctx context.Context, t Table, zone core.ZoneID) error {
	r.polling.Lock()
	defer r.polling.Unlock()
	if err := r.pollVMs(ctx, t, table.PrefixVM+string(zone)+"/"); err != nil {
		return err
	}
	return r.pollPools(ctx, t)
}

// pollVMs doesn't hold the lock while it waits for the table.
func (r *FleetRows) pollVMs(ctx context.Context, t Table, prefix string) error {
	changed, revision, err := t.Changes(ctx, prefix, r.vms.since)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms.prefix, r.vms.since = prefix, revision
	for _, row := range changed {
		r.putVM(row)
	}
	return nil
}

func (r *FleetRows) pollPools(ctx context.Context, t Table) error {
	changed, revision, err := t.Changes(ctx, table.PrefixPool, r.pools.since)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pools.prefix, r.pools.since = table.PrefixPool, revision
	for _, row := range changed {
		r.putPool(row)
	}
	return nil
}

// Apply takes over the writes of t, which took effect: its checks tell the
// versions that they were made on.
func (r *FleetRows) Apply(t table.Transaction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range t.Writes {
		row := table.Row{Key: w.Key, Value: w.Value}
		i := slices.IndexFunc(t.Checks, func(k table.Check) bool { return k.Key == w.Key })
		if i >= 0 && !w.Delete {
			row.Version = t.Checks[i].Version + 1
		}
		switch {
		case r.vms.holds(w.Key):
			r.putVM(row)
		case r.pools.holds(w.Key):
			r.putPool(row)
		}
	}
}

// TakeChanged returns the VM rows that changed since the last call, deleted ones
// without a version. There is one caller, the FleetWatcher.
func (r *FleetRows) TakeChanged() []*fleet.VMRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := make([]*fleet.VMRow, 0, len(r.untold))
	for _, vm := range r.untold {
		changed = append(changed, vm)
	}
	clear(r.untold)
	return changed
}

// VM returns the row under key.
func (r *FleetRows) VM(key table.Key) (*fleet.VMRow, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	vm, ok := r.vms.rows[key]
	return vm, ok
}

// Pool returns the row of a pool.
func (r *FleetRows) Pool(id core.PoolID) (fleet.PoolRow, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pool, ok := r.pools.rows[table.PoolStateKey(id)]
	if !ok {
		return fleet.PoolRow{}, false
	}
	return *pool, true
}

// VMs returns the zone's VMs by name. Neither slice nor rows may be changed.
func (r *FleetRows) VMs() []*fleet.VMRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sorted != nil {
		return r.sorted
	}
	r.sorted = make([]*fleet.VMRow, 0, len(r.vms.rows))
	for _, vm := range r.vms.rows {
		r.sorted = append(r.sorted, vm)
	}
	slices.SortFunc(r.sorted, func(a, b *fleet.VMRow) int { return strings.Compare(string(a.Ref.VM), string(b.Ref.VM)) })
	return r.sorted
}

// Pools returns the pools. The map must not be changed.
func (r *FleetRows) Pools() map[core.PoolID]fleet.PoolRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID != nil {
		return r.byID
	}
	r.byID = make(map[core.PoolID]fleet.PoolRow, len(r.pools.rows))
	for _, pool := range r.pools.rows {
		r.byID[pool.ID] = *pool
	}
	return r.byID
}

// Bad returns how many rows can't be decoded.
func (r *FleetRows) Bad() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.vms.bad) + len(r.pools.bad)
}

func (r *FleetRows) putVM(row table.Row) {
	vm, ok := r.vms.put(row, vmRows)
	if !ok {
		return
	}
	r.sorted = nil
	if vm == nil {
		return // A row that can't be decoded changes nothing in the watcher's view.
	}
	if r.untold == nil {
		r.untold = make(map[table.Key]*fleet.VMRow)
	}
	r.untold[row.Key] = vm
}

func (r *FleetRows) putPool(row table.Row) {
	if _, ok := r.pools.put(row, poolRows); ok {
		r.byID = nil
	}
}
