package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"lavenderpond/core"
	platformstandin "lavenderpond/io/platform/standin"
	"lavenderpond/io/supervisor"
	"lavenderpond/io/target/standin"
)

// outages tracks which VMs of a targets process are down, as after a power failure of
// their rack. While a VM is down, nothing listens at its address and it is missing from
// the live list. The work that ran on it is lost. The record of starts is kept for the
// tests.
type outages struct {
	mu   sync.Mutex
	vms  map[core.VMID]*standin.VM
	down map[core.VMID]bool
	// changed is closed, and replaced, at the next change of down.
	changed chan struct{}
}

func newOutages() *outages {
	return &outages{
		vms: make(map[core.VMID]*standin.VM), down: make(map[core.VMID]bool), changed: make(chan struct{}),
	}
}

// run calls serve while the VM is up, again after each outage, until ctx ends.
func (o *outages) run(ctx context.Context, vm core.VMID, serve func(ctx context.Context) error) error {
	for o.awaitState(ctx, vm, false) {
		up, cancel := context.WithCancel(ctx)
		var g supervisor.Group
		g.Go(func() {
			o.awaitState(up, vm, true)
			cancel()
		})
		err := serve(up)
		cancel()
		g.Wait()
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitState waits until the VM is in the given state. It returns false if ctx ends first.
func (o *outages) awaitState(ctx context.Context, vm core.VMID, down bool) bool {
	for {
		current, changed := o.isDown(vm)
		if current == down {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (o *outages) isDown(vm core.VMID) (bool, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.down[vm], o.changed
}

// set takes VMs down or brings them back. It returns the names of VMs that don't exist.
func (o *outages) set(vms []core.VMID, down bool) (unknown []core.VMID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range vms {
		vm := o.vms[id]
		switch {
		case vm == nil:
			unknown = append(unknown, id)
			continue
		case down:
			vm.Crash()
		default:
			vm.Restart()
		}
		o.down[id] = down
	}
	close(o.changed)
	o.changed = make(chan struct{})
	return unknown
}

// liveReports returns the reports of those VMs that are up.
func (o *outages) liveReports(reports []platformstandin.LiveReport) []platformstandin.LiveReport {
	var list []platformstandin.LiveReport
	for _, r := range reports {
		if down, _ := o.isDown(core.VMID(r.Name)); !down {
			list = append(list, r)
		}
	}
	return list
}

// handleOutage handles POST /control/outage. Any VM that is up serves it, for all VMs of
// the process.
func (o *outages) handleOutage(w http.ResponseWriter, r *http.Request) {
	var req struct {
		VMs  []core.VMID `json:"vms"`
		Down bool        `json:"down"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if unknown := o.set(req.VMs, req.Down); len(unknown) > 0 {
		http.Error(w, "unknown VMs", http.StatusBadRequest)
	}
}
