package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

const (
	// orderTimeout bounds an order to a VM. It is a little longer than a start may take to
	// begin, so that an answer in time isn't missed.
	orderTimeout = 700 * time.Millisecond
	// holdGrace is how much longer than its wait a hold may take.
	holdGrace = 600 * time.Millisecond
	// machineOrderTimeout bounds an order for a machine.
	machineOrderTimeout = 2 * time.Second
	// tableWriteTimeout bounds an attempt to publish a wave's state and to delete a batch of jobs' rows.
	tableWriteTimeout = time.Second
)

// backlogCount passes the backlog count from the event loop to the committer.
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

// orderRouter selects how orders are sent to VMs: directly or by a relay.
type orderRouter struct {
	owner   *owner
	clients vmClients
}

// client returns the owner's own client for a VM.
func (r *orderRouter) client(id job.VMID) *platform.VM {
	address, _ := r.owner.scheduler.Location(id)
	return r.clients.get(id, address)
}

// senderFor returns the sender for orders to a VM. Relays are used only by an owner that
// has recently confirmed its ownership. An owner that is slow or cut off from the table
// decides on stale data, and a healthy relay would deliver the resulting orders.
func (r *orderRouter) senderFor(now time.Time, id job.VMID) orderSender {
	if !r.owner.tenure.mayOrderMachines(now) {
		return directSender{r.client(id)}
	}
	address, zone := r.owner.scheduler.Location(id)
	relay := r.owner.relays.relayFor(string(zone), id)
	if relay == "" {
		return directSender{r.client(id)}
	}
	return relaySender{relays: r.owner.relays, relay: relay, vm: id, address: address, clients: &r.clients}
}

// holdSenderFor returns the sender for a hold.
func (r *orderRouter) holdSenderFor(now time.Time, c schedule.Hold) orderSender {
	if c.Direct {
		return directSender{r.client(c.VM)}
	}
	return r.senderFor(now, c.VM)
}

func (r *orderRouter) close() { r.clients.close() }

// execute starts all commands. Their answers arrive as events.
func (o *owner) execute(ctx context.Context, commands []schedule.Command) {
	var saves []schedule.Command
	now := bootNow()
	for _, c := range commands {
		if _, isSave := schedule.SequenceOf(c); isSave {
			saves = append(saves, c)
			continue
		}
		switch c := c.(type) {
		case schedule.Start:
			vm := o.router.senderFor(now, c.VM)
			o.workers.Go(func() { o.start(ctx, vm, c) })
		case schedule.Stop:
			vm := o.router.client(c.VM)
			o.workers.Go(func() { o.stop(ctx, vm, c) })
		case schedule.Pace:
			vm := o.router.client(c.VM)
			o.workers.Go(func() { o.setPace(ctx, vm, c) })
		case schedule.Hold:
			vm := o.router.holdSenderFor(now, c)
			o.workers.Go(func() { o.hold(ctx, vm, c) })
		case schedule.RequestApproval:
			o.workers.Go(func() { o.requestApprovals(ctx, c) })
		case schedule.Maintain:
			o.workers.Go(func() { o.startMaintenance(ctx, c) })
		case schedule.Move:
			o.workers.Go(func() { o.moveMachine(ctx, c) })
		case schedule.DeleteJob:
			o.expired.ids = append(o.expired.ids, c.Job)
		case schedule.PublishWave:
			o.workers.Go(func() { o.publishWave(ctx, c) })
		}
	}
	if len(saves) > 0 {
		o.committer.add(saves)
	}
	o.deleteExpired(ctx, now)
}

// outcomeFromError maps the error of an order to an outcome.
func outcomeFromError(err error) schedule.Outcome {
	switch {
	case err == nil:
		return schedule.Answered
	case errors.Is(err, platform.ErrNotSent):
		return schedule.NotDone
	case errors.Is(err, platform.ErrBusy), errors.Is(err, platform.ErrUnavailable):
		return schedule.Unhealthy
	case platform.RefusedForGood(err):
		return schedule.Rejected
	case errors.Is(err, platform.ErrOtherLife):
		return schedule.OtherLife
	}
	return schedule.Unanswered
}

func (o *owner) start(ctx context.Context, vm orderSender, c schedule.Start) {
	// Ownership and zone are checked again right before the order is sent, because this
	// process may have been suspended since the scheduler decided.
	if !o.mayStartTasks(bootNow()) || !o.node.view.zoneOpen(c.Zone) {
		o.send(ctx, startAnswered{order: c, outcome: schedule.NotDone})
		return
	}
	started := bootNow()
	r, outcome := vm.Start(ctx, c.Order)
	o.node.metrics.recordDuration("vm_start", bootNow().Sub(started))
	o.send(ctx, startAnswered{c, outcome, r})
}

func (o *owner) stop(ctx context.Context, vm *platform.VM, c schedule.Stop) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := vm.Stop(callCtx, c.Task, c.Attempt, c.Fence)
	o.send(ctx, stopAnswered{c, outcomeFromError(err), r})
}

func (o *owner) setPace(ctx context.Context, vm *platform.VM, c schedule.Pace) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if _, err := vm.Pace(callCtx, c.Task, c.Attempt, c.Percent, c.Fence); err != nil {
		o.log.Debug().Err(err).Str("vm", string(c.VM)).Msg("task pace could not be set")
	}
}

func (o *owner) hold(ctx context.Context, vm orderSender, c schedule.Hold) {
	if !o.tenure.mayExtendLeases(bootNow()) {
		o.send(ctx, holdAnswered{order: c, outcome: schedule.NotDone})
		return
	}
	r, outcome := vm.Hold(ctx, c.Order)
	o.send(ctx, holdAnswered{c, outcome, r})
}

func (o *owner) requestApprovals(ctx context.Context, c schedule.RequestApproval) {
	callCtx, cancel := context.WithTimeout(ctx, c.AnswerDue.Sub(bootNow()))
	defer cancel()
	a, err := o.node.approvals.Approve(callCtx, c.Step, c.VMs)
	if err != nil {
		o.log.Warn().Err(err).Str("event", "approval_failed").Str("job", string(c.Step.Job)).Int("vms", len(c.VMs)).
			Int64("age_ms", bootNow().Sub(c.SentAt).Milliseconds()).Send()
	}
	o.send(ctx, approvalAnswered{c, schedule.ApprovalAnswer{Failed: err != nil, Tickets: a.Tickets, ValidPeriod: a.ValidPeriod}})
}

func (o *owner) orderIssuer() job.OrderIssuer {
	return job.OrderIssuer{Node: o.node.settings.Node, Fence: job.Fence(o.tenure.fence)}
}

func (o *owner) startMaintenance(ctx context.Context, c schedule.Maintain) {
	log := o.log.With().Int64("wave", c.Wave).Logger()
	outcome, refusal := o.orderMachine(ctx, log, "upkeep_ordered", c.Machine, func(ctx context.Context) (job.MachineRefusal, error) {
		return o.node.machines.Maintain(ctx, o.orderIssuer(), c.Machine, c.Wave)
	})
	o.send(ctx, maintainAnswered{c, outcome, refusal})
}

func (o *owner) moveMachine(ctx context.Context, c schedule.Move) {
	outcome, refusal := o.orderMachine(ctx, o.log, "move_ordered", c.Machine, func(ctx context.Context) (job.MachineRefusal, error) {
		return o.node.machines.Move(ctx, o.orderIssuer(), c.Machine, c.Pool)
	})
	o.send(ctx, moveAnswered{c, outcome, refusal})
}

// orderMachine sends an order for a machine if this process still may order machines.
func (o *owner) orderMachine(ctx context.Context, log zerolog.Logger, event string, m job.MachineID, order func(ctx context.Context) (job.MachineRefusal, error)) (schedule.Outcome, job.MachineRefusal) {
	if !o.tenure.mayOrderMachines(bootNow()) {
		return schedule.NotDone, job.MachineAccepted
	}
	callCtx, cancel := context.WithTimeout(ctx, machineOrderTimeout)
	defer cancel()
	refusal, err := order(callCtx)
	log.Info().Err(err).Str("event", event).Str("machine", string(m)).Str("refused", string(refusal)).Send()
	return outcomeFromError(err), refusal
}
