package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core"
	"lavenderpond/core/maintenance"
	"lavenderpond/core/maintenance/spread"
	"lavenderpond/io/supervisor"
)

// Defaults of Controller.
const (
	// DefaultControlInterval is the time between two ticks.
	DefaultControlInterval = 5 * time.Second
	// maxStepsPerTick bounds the steps of one VM in a tick. A stop and its reboot must
	// happen in the same tick: by the next one, the reboot's deadline may have passed.
	maxStepsPerTick = 3
	// controllerListBytesPerSecond bounds the controller's reads of the live list. The
	// daemon's SharedList reads the list at this rate anyway, so they cause no
	// additional traffic.
	controllerListBytesPerSecond = sharedListBytesPerSecond
)

// Controller carries out a zone's maintenance. Every entry of the zone runs one, and the
// lease row lets one of them work. Two that work at the same time, or one that resumes
// after a pause of any length, do no harm: each transaction checks the rows that it
// depends on, and each reboot request carries a deadline before which the VM can't
// return to service.
type Controller struct {
	Zone  core.ZoneID
	Self  core.EntryID
	Table Table
	Live  LiveList
	VMs   VMControl
	Now   func() time.Time
	Log   zerolog.Logger
	// Planner chooses the VMs to take out of service; nil means spread.Planner.
	Planner maintenance.Planner
	Driver  maintenance.Driver
	// Rows are shared with the FleetWatcher; nil means that the Controller has its own.
	Rows *FleetRows
	// Interval is the time between ticks; 0 means DefaultControlInterval.
	Interval time.Duration

	mu       sync.Mutex
	suspects map[core.VMID]bool
	state    ControllerState

	ownRows    FleetRows
	listPoller listPoller
	// listed and leaving are the VMs on the live list as last read, and those that it marks
	// as leaving. unlisted are the VMs that have a row but weren't on the list.
	listed, leaving, unlisted map[core.VMID]bool
	checks                    maintenance.CheckScheduler
	// renewAt is when the lease is due for renewal.
	renewAt     time.Time
	leasePolicy maintenance.LeasePolicy
	// Test hook: disables the check of a reboot's deadline.
	skipDeadlineCheck bool
}

// ControllerState is the state of a Controller that a dump shows.
type ControllerState struct {
	HoldsLease bool                 `json:"holds"`
	Wave       maintenance.Wave     `json:"wave"`
	Progress   maintenance.Progress `json:"progress"`
	LastTick   time.Time            `json:"last_tick,omitzero"`
	LastError  string               `json:"last_error,omitempty"`
	// BadRows is the number of rows that can't be decoded. Their VMs and pools are left
	// alone.
	BadRows int `json:"bad_rows"`
}

// Child returns the supervised goroutine that runs the ticks.
func (c *Controller) Child() supervisor.Child {
	return supervisor.Child{Name: "controller", Run: func(ctx context.Context) error {
		return supervisor.Every(ctx, c.interval(), func(ctx context.Context) { c.run(ctx) })
	}}
}

// Suspect makes the next tick check vm, which refused a connection.
func (c *Controller) Suspect(vm core.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.suspects == nil {
		c.suspects = make(map[core.VMID]bool)
	}
	c.suspects[vm] = true
}

// State returns the controller's state as of its latest tick.
func (c *Controller) State() ControllerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *Controller) run(ctx context.Context) {
	err := c.Tick(ctx)
	c.mu.Lock()
	c.state.LastTick, c.state.LastError = c.Now(), ""
	if err != nil {
		c.state.LastError = err.Error()
	}
	c.mu.Unlock()
	if err != nil {
		c.Log.Warn().Err(err).Str("zone", string(c.Zone)).Str("code", core.ErrorCode(err).String()).Msg("maintenance tick failed")
	}
}

// Tick acquires or renews the lease, advances every VM that is out of service, and takes
// the VMs that the planner chooses out of service. It does nothing else while another
// entry holds the lease.
func (c *Controller) Tick(ctx context.Context) error {
	held, err := c.ensureLease(ctx)
	if err != nil || !held {
		return err
	}
	if err := c.refresh(ctx); err != nil {
		return err
	}
	rest, err := c.checkDueVMs(ctx)
	if err != nil || slices.ContainsFunc(rest, func(d maintenance.DueCheck) bool { return d.Suspect }) {
		// A stop that is planned now could add to failures that aren't recorded yet.
		return err
	}
	return c.plan(ctx)
}

func (c *Controller) refresh(ctx context.Context) error { return c.rows().Poll(ctx, c.Table, c.Zone) }

func (c *Controller) rows() *FleetRows {
	if c.Rows == nil {
		return &c.ownRows
	}
	return c.Rows
}

// pollList reads the live list if it is due, and records which VMs are leaving and which
// are missing from it. A missing VM is checked until it is listed again, because the
// status check that follows may be lost, and because a controller that has just taken
// over hasn't seen an earlier list that had the VM. A VM that the list shows late costs
// one status check. If the list can't be read, nothing changes.
func (c *Controller) pollList(ctx context.Context) {
	c.listPoller.BytesPerSecond = controllerListBytesPerSecond
	live, due, err := c.listPoller.poll(ctx, c.Now(), c.Live, c.Zone)
	if err != nil || !due {
		return
	}
	unlisted := make(map[core.VMID]bool)
	c.leaving = make(map[core.VMID]bool)
	listed := make(map[core.VMID]bool, len(live))
	for _, l := range live {
		id := core.VMID(l.Name)
		listed[id] = true
		if l.Leaving {
			c.leaving[id] = true
		}
		if !c.listed[id] {
			c.checks.MarkDue(id) // The VM may be back.
		}
	}
	for _, vm := range c.rows().VMs() {
		if !listed[vm.Ref.VM] {
			unlisted[vm.Ref.VM] = true
		}
	}
	c.listed, c.unlisted = listed, unlisted
}

func (c *Controller) takeSuspects() map[core.VMID]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.suspects
	c.suspects = nil
	return s
}

func (c *Controller) planner() maintenance.Planner {
	if c.Planner == nil {
		return spread.Planner{}
	}
	return c.Planner
}
