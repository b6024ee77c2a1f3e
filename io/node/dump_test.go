package node

import (
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/policy"
	"lavenderpond/core/relay"
	"lavenderpond/platform"
)

// Checks that the dump shows the process's state and, for the owner, its permissions,
// backlog and relays.
func TestDumpShowsProcessAndOwnerState(t *testing.T) {
	n, err := New(platform.Settings{Node: "entry-1", Zone: "east", TableAddress: "127.0.0.1:1", MachinesAddress: "127.0.0.1:1"}, policy.Policy{}, zerolog.Nop())
	assert.NilError(t, err)
	n.view.applyRows([]platform.Row{evacuationRow("west", false)}, true)
	now := bootNow()
	n.view.recordContact(now)
	o := &owner{node: n, tenure: &tenure{fence: 7, number: 2}, relays: newRelaySet("", zerolog.Nop())}
	o.tenure.confirm(now, now)
	o.relays.setRelays("west", []relay.Candidate{{Address: "10.2.0.1:7000", Capacity: 1}})
	o.backlog.set(map[job.QueueName]int{"frames": 3})
	n.setOwner(o)
	d := n.dump(now)
	assert.DeepEqual(t, d.Evacuated, []job.ZoneName{"west"})
	assert.Assert(t, d.Owner.MayStartTasks && d.Owner.MayOrderMachines && d.Owner.Fence == 7)
	assert.Equal(t, d.Owner.Backlog["frames"], 3)
	assert.DeepEqual(t, d.Owner.Relays, map[string][]string{"west": {"10.2.0.1:7000"}})
	w := httptest.NewRecorder()
	n.probeHandler().ServeHTTP(w, httptest.NewRequest("GET", "/dump", nil))
	assert.Equal(t, w.Code, 200)
	assert.Equal(t, w.Header().Get("Content-Type"), "application/json")
}
