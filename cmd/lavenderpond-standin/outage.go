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

// outages says which VMs of a targets process are gone, as when their rack loses its
// power: nothing listens at their addresses, what ran there is cut off and forgotten,
// and they don't say that they live. The record of starts stays, for the tests.
type outages struct {
	mu   sync.Mutex
	vms  map[core.VMID]*standin.VM
	down map[core.VMID]bool
	// changed is closed at the next order.
	changed chan struct{}
}

func newOutages() *outages {
	return &outages{
		vms: make(map[core.VMID]*standin.VM), down: make(map[core.VMID]bool), changed: make(chan struct{}),
	}
}

// run serves the VM whenever it is up, until ctx ends.
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

// awaitState returns once the VM is down, or up. It returns false if ctx ends first.
func (o *outages) awaitState(ctx context.Context, vm core.VMID, down bool) bool {
	for {
		is, changed := o.isDown(vm)
		if is == down {
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

// set takes VMs down or brings them back. Names it doesn't know are returned.
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

// livePosts leaves out the posts of VMs that are down.
func (o *outages) livePosts(posts []platformstandin.LivePost) []platformstandin.LivePost {
	var list []platformstandin.LivePost
	for _, p := range posts {
		if down, _ := o.isDown(core.VMID(p.Name)); !down {
			list = append(list, p)
		}
	}
	return list
}

// handleOutage is the handler of POST /control/outage, at any VM that is up.
func (o *outages) handleOutage(w http.ResponseWriter, r *http.Request) {
	var order struct {
		VMs  []core.VMID `json:"vms"`
		Down bool        `json:"down"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if unknown := o.set(order.VMs, order.Down); len(unknown) > 0 {
		http.Error(w, "unknown VMs", http.StatusBadRequest)
	}
}
