package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

const (
	// orderTimeout bounds an order to a VM; it is a little longer than a start
	// may take to begin, so that an answer in time isn't missed.
	orderTimeout = 700 * time.Millisecond
	// holdGrace is how much longer than its wait a hold may take.
	holdGrace = 600 * time.Millisecond
	// machineTimeout bounds an order for a machine.
	machineTimeout = 2 * time.Second
	// adviceTimeout bounds a question about VMs; the service decides one at a time.
	adviceTimeout = 2 * time.Second
	// statusTimeout bounds the publication of a wave's state.
	statusTimeout = time.Second
)

// backlogCount passes the count from the loop to the committer.
type backlogCount struct {
	mu    sync.Mutex
	count map[job.QueueName]int
}

func (b *backlogCount) set(c map[job.QueueName]int) {
	b.mu.Lock()
	b.count = c
	b.mu.Unlock()
}

func (b *backlogCount) get() map[job.QueueName]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}

type vmClient struct {
	address string
	vm      *platform.VM
}

// orders carries out the scheduler's commands.
type orders struct {
	owner *owner
	// clients is used by the owner's loop only.
	clients map[job.VMID]*vmClient
}

// client returns the owner's own client of a VM.
func (x *orders) client(id job.VMID) *platform.VM {
	address, _ := x.owner.scheduler.Location(id)
	c := x.clients[id]
	if c == nil || c.address != address {
		if c != nil {
			c.vm.Close()
		}
		c = &vmClient{address: address, vm: platform.NewVM(id, address)}
		x.clients[id] = c
	}
	return c.vm
}

// route returns the way for orders to a VM. Relays are used only by an owner that has
// proved its right of late: one that is cut off from the table or slow would have its
// orders, which rest on old knowledge, carried out by a process that is neither.
func (x *orders) route(now time.Time, id job.VMID) vmOrders {
	direct := directOrders{x.client(id)}
	if !x.owner.tenure.mayOrder(now) {
		return direct
	}
	address, zone := x.owner.scheduler.Location(id)
	relay := x.owner.relays.of(string(zone), id)
	if relay == "" {
		return direct
	}
	return relayedOrders{relays: x.owner.relays, relay: relay, vm: id, address: address, direct: direct}
}

// holdRoute returns the way for a hold. A look goes to the VM itself: it finds out about
// an order without an answer, for which the relay may be to blame.
func (x *orders) holdRoute(now time.Time, c schedule.Hold) vmOrders {
	if c.Probe {
		return directOrders{x.client(c.VM)}
	}
	return x.route(now, c.VM)
}

func (x *orders) close() {
	for _, c := range x.clients {
		c.vm.Close()
	}
}

// carryOut starts all commands; their answers come back as events.
func (o *owner) carryOut(ctx context.Context, commands []schedule.Command) {
	var saves []schedule.Command
	now := bootNow()
	for _, c := range commands {
		switch c := c.(type) {
		case schedule.Save, schedule.SaveVM, schedule.DropVM, schedule.SaveWave, schedule.SaveOrder, schedule.DropOrder:
			saves = append(saves, c)
		case schedule.Start:
			vm := o.orders.route(now, c.VM)
			o.workers.Go(func() { o.start(ctx, vm, c) })
		case schedule.Stop:
			vm := o.orders.client(c.VM)
			o.workers.Go(func() { o.stop(ctx, vm, c) })
		case schedule.Pace:
			vm := o.orders.client(c.VM)
			o.workers.Go(func() { o.pace(ctx, vm, c) })
		case schedule.Hold:
			vm := o.orders.holdRoute(now, c)
			o.workers.Go(func() { o.hold(ctx, vm, c) })
		case schedule.RequestTickets:
			o.workers.Go(func() { o.ask(ctx, c) })
		case schedule.Maintain:
			o.workers.Go(func() { o.upkeep(ctx, c) })
		case schedule.Move:
			o.workers.Go(func() { o.move(ctx, c) })
		case schedule.DeleteJob:
			o.workers.Go(func() { o.forget(ctx, c) })
		case schedule.PublishWave:
			o.workers.Go(func() { o.showWave(ctx, c) })
		}
	}
	if len(saves) > 0 {
		o.committer.add(saves)
	}
}

// outcomeOf sorts the error of an order to a VM.
func outcomeOf(err error) schedule.Outcome {
	switch {
	case err == nil:
		return schedule.Answered
	case errors.Is(err, platform.ErrNotSent):
		return schedule.NotDone
	case errors.Is(err, platform.ErrBusy), errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrMalformed):
		return schedule.Unhealthy
	case errors.Is(err, platform.ErrOtherLife):
		return schedule.OtherLife
	}
	return schedule.Unanswered
}

func (o *owner) start(ctx context.Context, vm vmOrders, c schedule.Start) {
	// Right and zone are looked at right before the order goes out: this process may
	// have stood still since the scheduler decided.
	if !o.mayStart(bootNow()) || !o.node.view.open(c.Zone) {
		o.send(ctx, startAnswered{order: c, outcome: schedule.NotDone})
		return
	}
	from := bootNow()
	r, out := vm.Start(ctx, c.Order)
	o.node.metrics.elapsed("vm_start", bootNow().Sub(from))
	o.send(ctx, startAnswered{c, out, r})
}

func (o *owner) stop(ctx context.Context, vm *platform.VM, c schedule.Stop) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := vm.Stop(callCtx, c.Task, c.Attempt, c.Fence)
	o.send(ctx, stopAnswered{c, outcomeOf(err), r})
}

func (o *owner) pace(ctx context.Context, vm *platform.VM, c schedule.Pace) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if _, err := vm.Pace(callCtx, c.Task, c.Attempt, c.Percent, c.Fence); err != nil {
		o.log.Debug().Err(err).Str("vm", string(c.VM)).Msg("pace was not set")
	}
}

func (o *owner) hold(ctx context.Context, vm vmOrders, c schedule.Hold) {
	if !o.tenure.mayHold(bootNow()) {
		o.send(ctx, holdAnswered{order: c, outcome: schedule.NotDone})
		return
	}
	r, out := vm.Hold(ctx, c.Order)
	o.send(ctx, holdAnswered{c, out, r})
}

func (o *owner) ask(ctx context.Context, c schedule.RequestTickets) {
	callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	a, err := o.node.advice.Ask(callCtx, c.Step, c.VMs)
	if err != nil {
		o.log.Warn().Err(err).Str("event", "advice_failed").Str("job", string(c.Step.Job)).Send()
	}
	o.send(ctx, advised{c.Step, a})
}

func (o *owner) holder() job.OrderIssuer {
	return job.OrderIssuer{Node: o.node.settings.Node, Fence: job.Fence(o.tenure.fence)}
}

func (o *owner) upkeep(ctx context.Context, c schedule.Maintain) {
	out, why := o.orderMachine(ctx, "upkeep_ordered", c.Machine, func(ctx context.Context) (job.MachineRefusal, error) {
		return o.node.machines.Upkeep(ctx, o.holder(), c.Machine, c.Wave)
	})
	o.send(ctx, upkeepAnswered{c, out, why})
}

func (o *owner) move(ctx context.Context, c schedule.Move) {
	out, why := o.orderMachine(ctx, "move_ordered", c.Machine, func(ctx context.Context) (job.MachineRefusal, error) {
		return o.node.machines.Move(ctx, o.holder(), c.Machine, c.Pool)
	})
	o.send(ctx, moveAnswered{c, out, why})
}

// orderMachine gives an order for a machine, if this process is still the owner.
func (o *owner) orderMachine(ctx context.Context, event string, m job.MachineID, order func(ctx context.Context) (job.MachineRefusal, error)) (schedule.Outcome, job.MachineRefusal) {
	if !o.tenure.mayOrder(bootNow()) {
		return schedule.NotDone, job.MachineAccepted
	}
	callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	why, err := order(callCtx)
	o.log.Info().Err(err).Str("event", event).Str("machine", string(m)).Str("refused", string(why)).Send()
	return outcomeOf(err), why
}

// showWave publishes a wave's state until it is stored.
func (o *owner) showWave(ctx context.Context, c schedule.PublishWave) {
	tx := platform.Transaction{Writes: []platform.Write{platform.WaveStatus(c.Number, c.State)}}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		_, err := o.node.table.Apply(callCtx, tx)
		cancel()
		if err == nil {
			return
		}
		o.log.Warn().Err(err).Str("event", "wave_status_failed").Int64("wave", c.Number).Send()
	}
}

// forget removes a job's rows, those as handed in first: a job without progress
// would look new to the next owner. What fails is tried again by that one.
func (o *owner) forget(ctx context.Context, c schedule.DeleteJob) {
	callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	_, err := o.node.table.Apply(callCtx, platform.Transaction{Removals: []platform.RowKey{jobKey(c.Job), cancelKey(c.Job)}})
	if err == nil {
		_, err = o.node.table.Apply(callCtx, platform.Transaction{
			Conditions: []platform.Condition{{RowKey: ownerKey, Version: o.tenure.fence}},
			Removals:   []platform.RowKey{progressKey(c.Job)},
		})
	}
	if err != nil {
		o.log.Warn().Err(err).Str("event", "forget_failed").Str("job", string(c.Job)).Send()
	}
}
