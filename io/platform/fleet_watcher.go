package platform

import (
	"context"
	"sync"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/route"
	"lavenderpond/io/supervisor"
)

// DefaultWatchInterval is how often a FleetWatcher polls. It is part of how long
// a leaving VM may still get new work.
const DefaultWatchInterval = time.Second

// watcherListBytesPerSecond bounds what a watcher reads of the live list, in bytes a second.
const watcherListBytesPerSecond = 3000

// FleetWatcher keeps an entry's view of its zone's VMs and of the pools, from
// the table, the live list and what connections show. While the table or the
// list can't be reached, the view stays as it is. It is safe for concurrent use.
type FleetWatcher struct {
	Zone  core.ZoneID
	Table Table
	Live  LiveList
	Now   func() time.Time
	// Interval between polls; 0 means DefaultWatchInterval.
	Interval time.Duration
	// Probe asks a VM that refused or was unreachable whether it takes work again.
	// Without it, such a VM waits until it was verified by the controller.
	Probe func(ctx context.Context, vm fleet.VMRow) bool
	// OnChange gets the targets whenever they may have changed.
	OnChange func(targets []route.Target)

	// Rows are shared with the Controller; nil means rows of its own.
	Rows *FleetRows

	ownRows    FleetRows
	mu         sync.Mutex
	members    fleet.Membership
	listPoller listPoller
}

// Child returns the watcher's part of the daemon's tree.
func (w *FleetWatcher) Child() supervisor.Child {
	interval := w.Interval
	if interval == 0 {
		interval = DefaultWatchInterval
	}
	return supervisor.Child{Name: "fleet_watcher", Run: func(ctx context.Context) error {
		return supervisor.Every(ctx, interval, func(ctx context.Context) { _ = w.Poll(ctx) })
	}}
}

// Poll fetches once from each source. It returns the first error, after all
// sources were tried.
func (w *FleetWatcher) Poll(ctx context.Context) error {
	errRows := w.pollRows(ctx)
	errList := w.pollList(ctx)
	w.probe(ctx)
	if errRows != nil {
		return errRows
	}
	return errList
}

// Targets returns the VMs that may get new work.
func (w *FleetWatcher) Targets() []route.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members.Targets()
}

// VM returns what the VM's row said when it was last read.
func (w *FleetWatcher) VM(vm core.VMID) (fleet.VMRow, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members.Row(vm)
}

// Pool returns the pool's state as last read.
func (w *FleetWatcher) Pool(id core.PoolID) (fleet.Pool, bool) {
	row, ok := w.rows().Pool(id)
	return row.Pool, ok
}

// Refused tells that a VM answered that it is leaving.
func (w *FleetWatcher) Refused(vm core.VMID) { w.handle(fleet.Refused{VM: vm}) }

// Unreachable tells that no connection to a VM could be made.
func (w *FleetWatcher) Unreachable(vm core.VMID) { w.handle(fleet.Unreachable{VM: vm}) }

// Accepted tells that a VM took work that was sent at asked.
func (w *FleetWatcher) Accepted(vm core.VMID, sentAt time.Time) {
	w.handle(fleet.Accepted{VM: vm, SentAt: sentAt})
}

// pollRows also hands on what the controller's polls and writes have changed.
func (w *FleetWatcher) pollRows(ctx context.Context) error {
	err := w.rows().Poll(ctx, w.Table, w.Zone)
	if changed := w.rows().TakeChanged(); len(changed) > 0 {
		w.handle(fleet.RowsChanged{Rows: changed})
	}
	return err
}

func (w *FleetWatcher) rows() *FleetRows {
	if w.Rows == nil {
		return &w.ownRows
	}
	return w.Rows
}

func (w *FleetWatcher) pollList(ctx context.Context) error {
	w.listPoller.BytesPerSecond = watcherListBytesPerSecond
	live, due, err := w.listPoller.poll(ctx, w.Now(), w.Live, w.Zone)
	if err != nil || !due {
		return err
	}
	listed := make([]fleet.ListedVM, 0, len(live))
	for _, l := range live {
		listed = append(listed, fleet.ListedVM{VM: core.VMID(l.Name), Leaving: l.Leaving})
	}
	w.handle(fleet.Listed{VMs: listed})
	return nil
}

func (w *FleetWatcher) probe(ctx context.Context) {
	if w.Probe == nil {
		return
	}
	w.mu.Lock()
	due := w.members.Probes(w.Now())
	w.mu.Unlock()
	for _, vm := range due {
		sentAt := w.Now()
		if w.Probe(ctx, vm) {
			w.handle(fleet.Accepted{VM: vm.Ref.VM, SentAt: sentAt})
		}
	}
}

func (w *FleetWatcher) handle(e fleet.Event) {
	w.mu.Lock()
	changed := w.members.Handle(w.Now(), e)
	targets := w.members.Targets()
	w.mu.Unlock()
	if changed && w.OnChange != nil {
		w.OnChange(targets)
	}
}
