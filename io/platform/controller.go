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
	DefaultControlInterval = 5 * time.Second
	// maxStepsPerTick bounds the steps of one VM in a tick. A stop and its reboot
	// belong into one: by the next tick the reboot's deadline may have passed.
	maxStepsPerTick = 3
	// controllerListBytesPerSecond bounds what is read of the live list, in bytes a second. The
	// daemon's SharedList reads it that often anyway, so that it costs nothing more.
	controllerListBytesPerSecond = sharedListBytesPerSecond
)

// Controller carries out a zone's maintenance. Every entry of the zone runs one;
// the lease row lets one of them work. Two at once, or one that was paused for
// any time, do no harm: each transaction checks the rows that it relies on, and
// each reboot carries the deadline before which the VM can't serve again.
type Controller struct {
	Zone  core.ZoneID
	Self  core.EntryID
	Table Table
	Live  LiveList
	VMs   VMControl
	Now   func() time.Time
	Log   zerolog.Logger
	// Planner chooses the VMs to take out; nil means spread.Planner.
	Planner maintenance.Planner
	Driver  maintenance.Driver
	// Rows are shared with the FleetWatcher; nil means rows of its own.
	Rows *FleetRows
	// Interval between ticks; 0 means DefaultControlInterval.
	Interval time.Duration

	mu       sync.Mutex
	suspects map[core.VMID]bool
	state    ControllerState

	ownRows    FleetRows
	listPoller listPoller
	// listed, leaving and gone are what the live list last said.
	listed, leaving, unlisted map[core.VMID]bool
	checks                    maintenance.CheckScheduler
	// renewAt is when the lease is to be renewed.
	renewAt     time.Time
	leasePolicy maintenance.LeasePolicy
	// Test-only: switches the check of a reboot's deadline off.
	skipDeadlineCheck bool
}

// ControllerState is what a dump shows of a Controller.
type ControllerState struct {
	Holds     bool                 `json:"holds"`
	Wave      maintenance.Wave     `json:"wave"`
	Progress  maintenance.Progress `json:"progress"`
	LastTick  time.Time            `json:"last_tick,omitzero"`
	LastError string               `json:"last_error,omitempty"`
	// BadRows counts rows that can't be decoded; their VMs and pools are left alone.
	BadRows int `json:"bad_rows"`
}

// Child returns the controller's part of the daemon's tree.
func (c *Controller) Child() supervisor.Child {
	return supervisor.Child{Name: "controller", Run: func(ctx context.Context) error {
		return supervisor.Every(ctx, c.interval(), func(ctx context.Context) { c.run(ctx) })
	}}
}

// Suspect makes the next tick look at vm, which refused a connection.
func (c *Controller) Suspect(vm core.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.suspects == nil {
		c.suspects = make(map[core.VMID]bool)
	}
	c.suspects[vm] = true
}

// State returns what the controller last did.
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

// Tick acquires or renews the lease, takes every VM that is out a step further,
// and takes out the VMs that the planner chooses.
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
		// A stop that is planned now might come on top of failures not yet recorded.
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

// pollList reads the live list if it is due, and notes the VMs that are listed
// as leaving, and those that aren't listed. The latter stay gone until they are: the
// look that follows may be lost, and a controller that has just taken over hasn't seen
// a list on which they were. One that the list is late to show costs a look. A list
// that can't be read changes nothing.
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
			c.checks.MarkDue(id) // It may be back.
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
