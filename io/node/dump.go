package node

import (
	"encoding/json"
	"net/http"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/io/inbound"
	"lavenderpond/platform"
)

// processDump is the state of a process as served at /dump.
type processDump struct {
	Node          string            `json:"node"`
	Zone          string            `json:"zone"`
	RunID         string            `json:"life"`
	Ready         bool              `json:"ready"`
	Configuration job.ConfigVersion `json:"configuration,omitempty"`
	Evacuated     []job.ZoneName    `json:"evacuated"`
	// ViewAgeMS is the age of the view of the operators' rows, TableAgeMS the time since
	// the table's last answer.
	ViewAgeMS  int64 `json:"view_age_ms"`
	TableAgeMS int64 `json:"table_age_ms"`
	// Policy says which decisions under scarcity are in force here. The state of each decision
	// has a field of its own.
	Policy policyDump `json:"policy"`
	// EntryLimits is missing while the limits aren't in force.
	EntryLimits *limitsDump `json:"entry_limits,omitempty"`
	Owner       *ownerDump  `json:"owner,omitempty"`
	// Admission is the state of admission, if the policy calls for it.
	Admission *admissionDump `json:"admission,omitempty"`
}

// ownerDump is the additional state of the process that is the owner.
type ownerDump struct {
	Fence            platform.Version      `json:"fence"`
	TenureNumber     int64                 `json:"turn"`
	MayStartTasks    bool                  `json:"may_start"`
	MayOrderMachines bool                  `json:"may_order"`
	Backlog          map[job.QueueName]int `json:"waiting"`
	// Status is missing until the owner's loop has taken it.
	Status *statusDump `json:"status,omitempty"`
	// FullPools are the pools in which work waits for room, with the accounts' shares.
	FullPools []schedule.PoolShares `json:"full_pools,omitempty"`
	Relays    map[string][]string   `json:"relays"`
}

func (n *Node) dump(now time.Time) processDump {
	d := processDump{
		Node: n.settings.Node, Zone: n.settings.Zone, RunID: n.election.runID, Ready: n.ready(),
		Evacuated: n.view.evacuations(), ViewAgeMS: n.view.age(now).Milliseconds(), TableAgeMS: n.health.sinceLastAnswer().Milliseconds(),
		Policy: dumpPolicy(time.Now(), n.currentPolicy()), EntryLimits: n.callers.limits.dump(),
	}
	if c := n.view.configuration(); c != nil {
		d.Configuration = c.Version
	}
	if o := n.owner.Load(); o != nil {
		d.Owner = o.dump(now)
	}
	d.Admission = n.admission.dump(now)
	return d
}

func (o *owner) dump(now time.Time) *ownerDump {
	out := &ownerDump{
		Fence: o.tenure.fence, TenureNumber: o.tenure.number, MayStartTasks: o.mayStartTasks(now), MayOrderMachines: o.tenure.mayOrderMachines(now),
		Backlog: o.backlog.get(), Status: dumpStatus(now, o.status.latest.Load()), Relays: o.relays.addresses(),
	}
	if pools := o.fullPools.Load(); pools != nil {
		out.FullPools = *pools
	}
	return out
}

// serveDump answers with the state of the process. Readers that don't take their dumps must not fill
// the memory, so a dump counts as held until it has been sent.
func (n *Node) serveDump(w http.ResponseWriter, r *http.Request) {
	b, err := json.Marshal(n.dump(bootNow()))
	if err == nil {
		err = inbound.Reserve(r.Context(), int64(len(b)))
	}
	if err != nil {
		n.log.Debug().Err(err).Msg("no dump is served")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(append(b, '\n')); err != nil {
		n.log.Debug().Err(err).Msg("dump could not be written")
	}
}
