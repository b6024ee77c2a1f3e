package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

const (
	// tickEvery is how often the owner looks for what is due.
	tickEvery = 40 * time.Millisecond
	// eventsAhead bounds the events that wait for the owner's loop; what brings
	// them waits while it is full.
	eventsAhead = 1024
	// machinesEvery is how often the machines list is read.
	machinesEvery = 500 * time.Millisecond
	// attemptsPerTurn is more starts of one task than fit into one tenure.
	attemptsPerTurn = 10_000
)

// owner runs the scheduler for one tenure and carries out its commands.
type owner struct {
	node      *Node
	tenure    *tenure
	log       zerolog.Logger
	tookOver  time.Time
	scheduler *schedule.Scheduler
	committer *committer
	events    chan event
	orders    *orders
	relays    *relays
	workers   supervisor.Workers
	jobsFrom  platform.Version
	backlog   backlogCount
	// view counts the changes of the operators' view that the scheduler knows.
	view uint64
	// doneInWaves are the machines that former owners saw back from their upkeep,
	// by the key of the wave.
	doneInWaves map[string][]job.MachineID
}

// serve is the owner's life from take-over to the loss of its right.
func (n *Node) serve(ctx context.Context, t *tenure, renewal platform.Version) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	o := &owner{node: n, tenure: t, log: n.log, events: make(chan event, eventsAhead), tookOver: bootNow()}
	o.orders = &orders{owner: o, clients: map[job.VMID]*vmClient{}}
	o.committer = &committer{
		table: n.table, tenure: t, log: n.log, renewal: renewal, wake: make(chan struct{}, 1),
		stored:  func(s int64) { o.send(ctx, stored{s}) },
		backlog: o.backlog.get,
		entries: func() int { return o.relays.memberCount() },
		took:    func(d time.Duration) { n.metrics.elapsed("table_commit", d) },
		reach:   &n.reach,
	}
	var g supervisor.Group
	run := func(f func(ctx context.Context) error) {
		g.Go(func() {
			if err := f(ctx); err != nil {
				cancel(err)
			}
		})
	}
	o.relays = newRelays(n.settings.PeerAddress, n.log)
	run(o.committer.run)
	run(func(ctx context.Context) error { return o.relays.follow(ctx, n.table) })
	run(o.relays.run)
	// The directory and the machines are read beside what former owners left: no task
	// starts before both are known, and jobs that may run on a VM that is gone wait.
	run(o.followVMs)
	run(o.followMachines)
	if err := o.load(ctx); err != nil {
		cancel(err)
	}
	n.setOwner(o)
	defer n.setOwner(nil)
	run(o.followJobs)
	o.loop(ctx)
	g.Wait()
	o.workers.Wait()
	o.orders.close()
	err := context.Cause(ctx)
	if n.stopping() && !errors.Is(err, errDeposed) {
		n.candidacy.vacate(t)
	}
	return err
}

// send hands an event to the loop, or drops it once the tenure is over.
func (o *owner) send(ctx context.Context, e event) {
	select {
	case o.events <- e:
	case <-ctx.Done():
	}
}

// takeJobs takes in rows of the job table.
func (o *owner) takeJobs(now time.Time, rows []platform.Row, known map[job.ID]*job.Progress) {
	var cancelled []job.ID
	for i := range rows {
		r := &rows[i]
		if r.Removed {
			continue
		}
		id, isCancel := splitJobKey(r.Key)
		if isCancel {
			cancelled = append(cancelled, id)
			continue
		}
		if p := known[id]; p != nil && p.State.Final() {
			// Most of the jobs that are still kept are over.
			continue
		}
		j, err := decodeRow[job.Job](r)
		if err != nil {
			o.log.Error().Err(err).Msg("job ignored")
			continue
		}
		o.scheduler.AddJob(now, j, known[j.ID], r.Version < o.tenure.fence)
	}
	for _, id := range cancelled {
		o.scheduler.Cancel(now, id)
	}
}

func splitJobKey(key string) (id job.ID, isCancel bool) {
	if n := len(key) - len(cancelSuffix); n > 0 && key[n:] == cancelSuffix {
		return job.ID(key[:n]), true
	}
	return job.ID(key[:max(0, len(key)-len(jobSuffix))]), false
}

// loop takes in events and carries out commands until ctx ends.
func (o *owner) loop(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var pacer turnPacer
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case e := <-o.events:
			o.take(bootNow(), e)
		}
		supervisor.Sleep(ctx, pacer.pause(bootNow()))
		o.drain()
		begun := bootNow()
		o.turn(ctx, begun)
		pacer.took(begun, bootNow())
	}
}

// turn decides on all that was taken in and carries out what was decided.
func (o *owner) turn(ctx context.Context, now time.Time) {
	if o.node.view.changes() != o.view {
		o.reconfigure(now)
	}
	o.scheduler.RaiseFence(job.Fence(o.tenure.lastRenewal()))
	o.scheduler.SetRights(schedule.Rights{
		OrderMachines: o.tenure.mayOrder(now), StartTasks: o.mayStart(now), ExtendLeases: o.tenure.mayHold(now),
	})
	o.relays.wanted.Store(o.scheduler.VMCount() >= relayFrom)
	o.scheduler.Tick(now)
	o.scheduler.Assign(now, time.Now())
	o.backlog.set(o.scheduler.Backlog(now))
	o.carryOut(ctx, o.scheduler.TakeCommands())
}

// drain takes in the events that are there already.
func (o *owner) drain() {
	for {
		select {
		case e := <-o.events:
			o.take(bootNow(), e)
		default:
			return
		}
	}
}

func (o *owner) take(now time.Time, e event) {
	s := o.scheduler
	switch e := e.(type) {
	case rowsChanged:
		o.takeJobs(now, e.rows, o.decodeProgress(e.progress))
	case vmsChanged:
		o.takeVMs(now, e)
	case directoryRead:
		s.DirectoryRead(e.asOf)
	case stored:
		s.SavesStored(now, e.sequence)
	case startAnswered:
		s.StartAnswered(now, e.order, e.outcome, e.report)
	case stopAnswered:
		s.StopAnswered(now, e.order, e.outcome, e.report)
	case holdAnswered:
		s.HoldAnswered(now, e.order, e.outcome, e.report)
	case machinesListed:
		s.MachinesListed(e.asked, e.machines)
	case upkeepAnswered:
		s.MaintainAnswered(now, e.order, e.outcome, e.refusal)
	case moveAnswered:
		s.MoveAnswered(now, e.order, e.outcome, e.refusal)
	case advised:
		s.ApprovalAnswered(now, e.step, e.approvals.Tickets, e.approvals.Valid)
	case reconfigured:
		// The turn looks at the view.
	}
}

// reconfigure passes the operators' view to the scheduler.
func (o *owner) reconfigure(now time.Time) {
	o.view = o.node.view.changes()
	o.scheduler.SetEvacuatedZones(o.node.view.evacuations())
	if c := o.node.view.configuration(); c != nil {
		o.scheduler.Configure(c)
	}
	for _, w := range o.node.view.allWaves() {
		o.scheduler.AddWave(now, w, o.doneInWaves[waveKey(w.Number).Key])
	}
}

// evacuationMargin covers a start that was decided on an old view: on its way to the VM
// it may still be carried out for so long.
const evacuationMargin = time.Second

// mayStart tells whether tasks may be started. An owner that renews its right while its
// feed of the operators' rows is silent would start tasks in a zone that was evacuated
// since.
func (o *owner) mayStart(now time.Time) bool {
	within := o.node.settings.Bounds.Evacuate
	current := within == 0 || o.node.view.age(now) < within-evacuationMargin
	return current && o.tenure.mayStart(now)
}

func (o *owner) takeVMs(now time.Time, e vmsChanged) {
	present := map[job.VMID]bool{}
	for _, r := range e.rows {
		if r.Removed {
			o.scheduler.VMUnlisted(now, job.VMID(r.Key))
			continue
		}
		v, err := platform.DecodeVM(r)
		if err != nil {
			o.log.Warn().Err(err).Str("event", "vm_entry_ignored").Send()
			o.scheduler.VMUnlisted(now, job.VMID(r.Key))
			continue
		}
		present[v.ID] = true
		o.scheduler.VMListed(now, v)
	}
	if !e.whole {
		return
	}
	for _, id := range o.scheduler.VMs() {
		if !present[id] {
			o.scheduler.VMUnlisted(now, id)
		}
	}
}

func (o *owner) followJobs(ctx context.Context) error {
	// After a gap in the history the progress is read with the jobs: without it,
	// jobs that have ended since would look new.
	var progress []platform.Row
	f := feed{
		table: o.node.table, name: jobTable, anyPart: true, log: o.log, from: o.jobsFrom,
		whole: func(ctx context.Context) ([]platform.Row, platform.Version, error) {
			jobs, version, err := o.loadJobs(ctx)
			if err != nil {
				return nil, 0, err
			}
			progress, _, err = o.node.table.ListAll(ctx, progressTable, part)
			return jobs, version, err
		},
	}
	return f.run(ctx, func(rows []platform.Row, _ bool) {
		o.send(ctx, rowsChanged{rows: rows, progress: progress})
		progress = nil
	}, func(time.Time) {})
}

func (o *owner) followVMs(ctx context.Context) error {
	f := feed{table: o.node.table, name: platform.VMTable, log: o.log}
	return f.run(ctx, func(rows []platform.Row, whole bool) {
		o.send(ctx, vmsChanged{rows, whole})
	}, func(asOf time.Time) {
		o.send(ctx, directoryRead{asOf})
	})
}

func (o *owner) followMachines(ctx context.Context) error {
	for ctx.Err() == nil {
		asked := bootNow()
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		list, err := o.node.machines.List(callCtx)
		cancel()
		if err != nil {
			o.log.Debug().Err(err).Msg("machines were not listed")
		} else {
			o.send(ctx, machinesListed{list, asked})
		}
		supervisor.Sleep(ctx, machinesEvery)
	}
	return nil
}
