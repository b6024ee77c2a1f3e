package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/io/supervisor"
	"lavenderpond/io/target/standin"
)

// TestOutage takes a VM down and brings it back. The VM is not served during the outage
// and is served again afterwards. The other VM is served throughout.
func TestOutage(t *testing.T) {
	o := newOutages()
	o.vms["vm-1"], o.vms["vm-2"] = &standin.VM{ID: "vm-1", Slots: 1}, &standin.VM{ID: "vm-2", Slots: 1}
	ctx, cancel := context.WithCancel(t.Context())
	served, ended := make(chan core.VMID), make(chan core.VMID)
	var g supervisor.Group
	for _, vm := range []core.VMID{"vm-1", "vm-2"} {
		g.Go(func() {
			_ = o.run(ctx, vm, func(ctx context.Context) error {
				served <- vm
				<-ctx.Done()
				ended <- vm
				return nil
			})
		})
		assert.Equal(t, <-served, vm)
	}
	post := func(body string) int {
		w := httptest.NewRecorder()
		o.handleOutage(w, httptest.NewRequest(http.MethodPost, "/control/outage", strings.NewReader(body)))
		return w.Code
	}
	assert.Equal(t, post(`{"vms":["vm-1"],"down":true}`), http.StatusOK)
	assert.Equal(t, <-ended, core.VMID("vm-1"))
	assert.Equal(t, post(`{"vms":["vm-1"],"down":false}`), http.StatusOK)
	assert.Equal(t, <-served, core.VMID("vm-1"))
	assert.Equal(t, post(`{"vms":["vm-9"],"down":true}`), http.StatusBadRequest)
	cancel()
	<-ended
	<-ended
	g.Wait()
}
