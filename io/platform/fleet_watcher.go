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

// DefaultWatchInterval is the time between two polls of a FleetWatcher. It is part of the
// time for which a leaving VM may still get new work.
const DefaultWatchInterval = time.Second

// watcherListBytesPerSecond bounds a FleetWatcher's reads of the live list.
const watcherListBytesPerSecond = 3000

// FleetWatcher maintains an entry's view of its zone's VMs and of the pools. Its sources
// are the table, the live list and the outcome of connections. While the table or the
// list can't be reached, the view stays as it is. A FleetWatcher is safe for concurrent
// use.
type FleetWatcher struct {
	Zone  core.ZoneID
	Table Table
	Live  LiveList
	Now   func() time.Time
	// Interval is the time between polls; 0 means DefaultWatchInterval.
	Interval time.Duration
	// Probe asks a VM that refused work or was unreachable whether it accepts work again.
	// If Probe is nil, such a VM gets no work until the controller has verified it.
	Probe func(ctx context.Context, vm fleet.VMRow) bool
	// OnChange receives the targets whenever they may have changed.
	OnChange func(targets []route.Target)

	// Rows are shared with the Controller; nil means that the FleetWatcher has its own.
	Rows *FleetRows

	ownRows    FleetRows
	mu         sync.Mutex
	members    fleet.Membership
	listPoller listPoller
}

// Child returns the supervised goroutine that polls.
func (w *FleetWatcher) Child() supervisor.Child {
	interval := w.Interval
	if interval == 0 {
		interval = DefaultWatchInterval
	}
	return supervisor.Child{Name: "fleet_watcher", Run: func(ctx context.Context) error {
		return supervisor.Every(ctx, interval, func(ctx context.Context) { _ = w.Poll(ctx) })
	}}
}

// Poll reads each source once. It tries all sources and returns the first error.
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

// VM returns the VM's row as last read.
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

// Refused reports that a VM refused work because it is leaving.
func (w *FleetWatcher) Refused(vm core.VMID) { w.handle(fleet.Refused{VM: vm}) }

// Unreachable reports that no connection to a VM could be made.
func (w *FleetWatcher) Unreachable(vm core.VMID) { w.handle(fleet.Unreachable{VM: vm}) }

// Accepted reports that a VM accepted work that was sent at sentAt.
func (w *FleetWatcher) Accepted(vm core.VMID, sentAt time.Time) {
	w.handle(fleet.Accepted{VM: vm, SentAt: sentAt})
}

// pollRows polls the rows and processes all changes since the last call, including those
// from the controller's polls and writes. It processes them even if its own poll fails.
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
