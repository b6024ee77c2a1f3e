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

// FleetRows is a daemon's only set of decoded rows: those of its zone's VMs, and those of
// all pools. The FleetWatcher and the Controller share it, because a second set costs a
// controller 4.3 MB in a zone of 1,430 VMs (docs/CAPACITY.md). The zero value is ready to
// use. A FleetRows is safe for concurrent use.
type FleetRows struct {
	// pollMu allows one poll at a time. If the answers of two polls crossed, the older one
	// would set the revision back, or undo the deletions of the newer one.
	pollMu sync.Mutex

	mu    sync.Mutex
	vms   rowCache[fleet.VMRow]
	pools rowCache[fleet.PoolRow]
	// sortedVMs and poolsByID are derived from the rows and rebuilt after a row has changed.
	sortedVMs []*fleet.VMRow
	poolsByID map[core.PoolID]fleet.PoolRow
	// changedVMs holds the latest state of the VM rows that changed since TakeChanged.
	changedVMs map[table.Key]*fleet.VMRow
}

// Poll reads the changes to zone's VMs and to the pools.
func (r *FleetRows) Poll(ctx context.Context, t Table, zone core.ZoneID) error {
	r.pollMu.Lock()
	defer r.pollMu.Unlock()
	if err := r.pollVMs(ctx, t, table.PrefixVM+string(zone)+"/"); err != nil {
		return err
	}
	return r.pollPools(ctx, t)
}

// pollVMs doesn't hold mu while it waits for the table.
func (r *FleetRows) pollVMs(ctx context.Context, t Table, prefix string) error {
	changed, revision, err := t.Changes(ctx, prefix, r.vms.revision)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms.prefix, r.vms.revision = prefix, revision
	for _, row := range changed {
		r.updateVM(row)
	}
	return nil
}

func (r *FleetRows) pollPools(ctx context.Context, t Table) error {
	changed, revision, err := t.Changes(ctx, table.PrefixPool, r.pools.revision)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pools.prefix, r.pools.revision = table.PrefixPool, revision
	for _, row := range changed {
		r.updatePool(row)
	}
	return nil
}

// Apply applies the writes of t, which took effect. The new versions follow from the
// versions that t checked.
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
		case r.vms.covers(w.Key):
			r.updateVM(row)
		case r.pools.covers(w.Key):
			r.updatePool(row)
		}
	}
}

// TakeChanged returns the VM rows that changed since the last call. Deleted rows have no
// version. Only the FleetWatcher calls it.
func (r *FleetRows) TakeChanged() []*fleet.VMRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := make([]*fleet.VMRow, 0, len(r.changedVMs))
	for _, vm := range r.changedVMs {
		changed = append(changed, vm)
	}
	clear(r.changedVMs)
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

// VMs returns the zone's VMs, sorted by name. The caller must modify neither the slice
// nor the rows.
func (r *FleetRows) VMs() []*fleet.VMRow {
	vms, _ := r.AllVMs()
	return vms
}

// AllVMs returns VMs and, as of the same time, the number of the zone's VMs whose rows
// can't be decoded.
func (r *FleetRows) AllVMs() (vms []*fleet.VMRow, unreadable int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	unreadable = len(r.vms.undecodable)
	if r.sortedVMs != nil {
		return r.sortedVMs, unreadable
	}
	r.sortedVMs = make([]*fleet.VMRow, 0, len(r.vms.rows))
	for _, vm := range r.vms.rows {
		r.sortedVMs = append(r.sortedVMs, vm)
	}
	slices.SortFunc(r.sortedVMs, func(a, b *fleet.VMRow) int { return strings.Compare(string(a.Ref.VM), string(b.Ref.VM)) })
	return r.sortedVMs, unreadable
}

// Pools returns the pools by id. The caller must not modify the map.
func (r *FleetRows) Pools() map[core.PoolID]fleet.PoolRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.poolsByID != nil {
		return r.poolsByID
	}
	r.poolsByID = make(map[core.PoolID]fleet.PoolRow, len(r.pools.rows))
	for _, pool := range r.pools.rows {
		r.poolsByID[pool.ID] = *pool
	}
	return r.poolsByID
}

// Undecodable returns the number of rows that can't be decoded.
func (r *FleetRows) Undecodable() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.vms.undecodable) + len(r.pools.undecodable)
}

func (r *FleetRows) updateVM(row table.Row) {
	vm, ok := r.vms.update(row, vmRowCodec)
	if !ok {
		return
	}
	r.sortedVMs = nil
	if vm == nil {
		return // A row that can't be decoded changes nothing in the watcher's view.
	}
	if r.changedVMs == nil {
		r.changedVMs = make(map[table.Key]*fleet.VMRow)
	}
	r.changedVMs[row.Key] = vm
}

func (r *FleetRows) updatePool(row table.Row) {
	if _, ok := r.pools.update(row, poolRowCodec); ok {
		r.poolsByID = nil
	}
}
