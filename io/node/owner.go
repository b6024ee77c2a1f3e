package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/core/job"
	"lavenderpond/core/policy"
	"lavenderpond/core/schedule"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

const (
	// tickInterval is how often the owner checks for work that is due.
	tickInterval = 40 * time.Millisecond
	// eventQueueSize bounds the events that wait for the owner's loop. Senders block while
	// the queue is full.
	eventQueueSize = 1024
	// machineListInterval is how often the list of machines is read.
	machineListInterval = 500 * time.Millisecond
	// attemptsPerTenure exceeds the number of starts of one task that fit into one tenure.
	attemptsPerTenure = 10_000
)

// owner runs the scheduler for one tenure and executes its commands.
type owner struct {
	node           *Node
	tenure         *tenure
	log            zerolog.Logger
	takenOverAt    time.Time
	scheduler      *schedule.Scheduler
	committer      *committer
	events         chan event
	router         *orderRouter
	relays         *relaySet
	workers        supervisor.Workers
	jobFeedVersion platform.Version
	backlog        backlogCount
	status         statusPublisher
	waveStatuses   waveStatuses
	// policy is the policy that the scheduler follows.
	policy   *policy.Policy
	outlook  outlookPublisher
	refusals refusalRecords
	expired  expiredJobs
	// refusalsBlocked is set while no forecast is published because entry VMs aren't known or are
	// of an older release.
	refusalsBlocked bool
	// lastJobVersion is the newest version of a job's row that the scheduler knows.
	lastJobVersion platform.Version
	// fullPools are the pools in which work waits for room, for the dump.
	fullPools atomic.Pointer[[]schedule.PoolShares]
	// viewChangeCount is the change count of the operators' view that the scheduler has seen.
	viewChangeCount uint64
	// nextConnectionCheck is when maintainConnections is due.
	nextConnectionCheck time.Time
	// memory bounds the accepted jobs that are held, and full is set while entry VMs are to refuse further ones.
	memory jobMemory
	full   atomic.Bool
	// storedWaves holds the progress of waves under former owners, by the key of the wave.
	storedWaves map[string]job.WaveProgress
}

// serve runs the owner from the takeover to the loss of its ownership.
func (n *Node) serve(ctx context.Context, t *tenure, renewal platform.Version) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	o := &owner{node: n, tenure: t, log: n.log, events: make(chan event, eventQueueSize), takenOverAt: bootNow()}
	o.memory.jobs.MaxBytes = n.limits.jobBytes
	o.router = &orderRouter{owner: o}
	o.committer = &committer{
		table: n.table, tenure: t, log: n.log, renewal: renewal, wake: make(chan struct{}, 1),
		onStored:      func(s int64) { o.send(ctx, savesStored{s}) },
		onRefused:     func(c schedule.Command) { o.send(ctx, saveRefused{c}) },
		backlog:       o.backlog.get,
		entries:       func() int { return o.relays.memberCount() },
		memory:        &memoryMeter{},
		full:          o.full.Load,
		recordLatency: func(d time.Duration) { n.metrics.recordDuration("table_commit", d) },
		count:         n.metrics.count,
		rowBytes:      n.settings.RowBytes,
		health:        &n.health,
	}
	o.outlook.startTenure(t.number)
	o.committer.forecast = o.nextForecast
	var g supervisor.Group
	run := func(f func(ctx context.Context) error) {
		g.Go(func() {
			if err := supervisor.Recover(func() error { return f(ctx) }); err != nil {
				cancel(err)
			}
		})
	}
	o.relays = newRelaySet(n.settings.PeerAddress, n.log)
	o.workers.OnPanic = func(err error) { cancel(err) }
	run(o.committer.run)
	run(func(ctx context.Context) error { return o.relays.follow(ctx, n.table) })
	run(o.relays.run)
	run(func(ctx context.Context) error { return t.clock.follow(ctx, n.table, n.log) })
	// The VM directory and the list of machines are read concurrently with the state that
	// former owners left. No task starts before both are known, and jobs that may be
	// running on a VM that is gone wait for them.
	run(o.followVMs)
	run(o.followMachines)
	if err := o.load(ctx); err != nil {
		cancel(err)
	}
	n.setOwner(o)
	defer n.setOwner(nil)
	defer n.metrics.setWaiting(&schedule.Status{})
	run(o.followJobs)
	o.loop(ctx)
	g.Wait()
	o.workers.Wait()
	o.router.close()
	err := context.Cause(ctx)
	if n.stopping() && !errors.Is(err, errOwnershipLost) {
		n.election.vacate(t)
	}
	return err
}

// send passes an event to the loop, or drops it once the tenure is over.
func (o *owner) send(ctx context.Context, e event) {
	select {
	case o.events <- e:
	case <-ctx.Done():
	}
}

// applyJobRows passes rows of the job table to the scheduler.
func (o *owner) applyJobRows(now time.Time, rows []platform.Row, progress map[job.ID]*job.Progress) {
	var cancelled []job.ID
	for i := range rows {
		r := &rows[i]
		id, isCancel := splitJobKey(r.Key)
		if r.Removed {
			if isCancel {
				o.refusals.remove(id)
			}
			continue
		}
		o.lastJobVersion = max(o.lastJobVersion, r.Version)
		if isCancel {
			if !o.recordRefusal(now, id, r) {
				o.forgetRefusal(id)
				cancelled = append(cancelled, id)
			}
			continue
		}
		if p := progress[id]; p != nil && p.State.Final() {
			// Most of the jobs that are still stored have ended.
			continue
		}
		if len(r.Value) == 0 {
			o.deferJob(id, "", o.memory.jobs.MaxBytes/unreadJobPart, progress[id])
			continue
		}
		j, err := decodeRow[job.Job](r)
		if err != nil {
			o.log.Error().Err(err).Msg("job row could not be decoded, ignored")
			continue
		}
		o.admitJob(now, j, progress[j.ID], r.Version)
		o.forgetRefusal(id)
	}
	for _, id := range cancelled {
		o.cancelJob(now, id)
	}
}

func splitJobKey(key string) (id job.ID, isCancel bool) {
	if n := len(key) - len(cancelSuffix); n > 0 && key[n:] == cancelSuffix {
		return job.ID(key[:n]), true
	}
	return job.ID(key[:max(0, len(key)-len(jobSuffix))]), false
}

// loop handles events and runs scheduling rounds until ctx ends.
func (o *owner) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var pacer roundPacer
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case e := <-o.events:
			o.handle(bootNow(), e)
		}
		supervisor.Sleep(ctx, pacer.pause(bootNow()))
		o.drainEvents()
		started := bootNow()
		o.runRound(ctx, started)
		pacer.recordRound(started, bootNow())
	}
}

// runRound runs the scheduler on all events handled so far and executes its commands.
func (o *owner) runRound(ctx context.Context, now time.Time) {
	if o.node.view.changeCount() != o.viewChangeCount {
		o.reconfigure(now)
	}
	o.followPolicy()
	o.scheduler.RaiseFence(job.Fence(o.tenure.lastRenewal()))
	o.scheduler.SetRights(schedule.Rights{
		OrderMachines: o.tenure.mayOrderMachines(now), StartTasks: o.mayStartTasks(now), ExtendLeases: o.tenure.mayExtendLeases(now),
	})
	o.relays.enabled.Store(o.scheduler.VMCount() >= minVMsForRelays)
	o.maintainConnections(now)
	o.scheduler.Tick(now)
	o.scheduler.Assign(now, time.Now())
	o.holdDeferredJobs(ctx, now)
	o.full.Store(o.memory.jobs.DeferredCount() >= maxDeferredJobs)
	o.backlog.set(o.memory.jobs.Backlog(o.scheduler.Backlog(now)))
	o.publishStatus(now)
	o.publishOutlook(now)
	o.deleteOldRefusals(ctx, now)
	if pools := o.scheduler.FullPools(now); pools != nil || o.fullPools.Load() != nil {
		o.fullPools.Store(&pools)
	}
	o.execute(ctx, o.scheduler.TakeCommands())
}

// connectionInterval is how often the relays are sized, and connections to VMs closed that aren't
// used.
const connectionInterval = time.Second

// maintainConnections sizes the relays by the VMs of their zones, and closes this process's own
// connections to VMs that it hasn't called recently.
func (o *owner) maintainConnections(now time.Time) {
	if now.Before(o.nextConnectionCheck) {
		return
	}
	o.nextConnectionCheck = now.Add(connectionInterval)
	o.relays.setVMCounts(o.scheduler.VMCounts())
	o.router.clients.closeIdle(now)
}

// drainEvents handles the events that are already queued.
func (o *owner) drainEvents() {
	for {
		select {
		case e := <-o.events:
			o.handle(bootNow(), e)
		default:
			return
		}
	}
}

func (o *owner) handle(now time.Time, e event) {
	s := o.scheduler
	switch e := e.(type) {
	case jobRowsChanged:
		o.applyJobRows(now, e.rows, o.decodeProgress(e.progress))
	case vmRowsChanged:
		o.applyVMRows(now, e)
	case directoryRead:
		s.DirectoryRead(e.asOf)
	case savesStored:
		s.SavesStored(now, e.sequence)
	case saveRefused:
		s.SaveRefused(now, e.save)
	case startAnswered:
		s.StartAnswered(now, e.order, e.outcome, e.report)
	case stopAnswered:
		s.StopAnswered(now, e.order, e.outcome, e.report)
	case holdAnswered:
		if !o.postpone(e) {
			s.HoldAnswered(now, e.order, e.outcome, e.report)
		}
	case deferredJobRead:
		o.deferredJobRead(now, e)
	case rowsDeleted:
		o.rowsDeleted(now, e)
	case machinesListed:
		s.MachinesListed(e.requestedAt, e.machines)
	case maintainAnswered:
		s.MaintainAnswered(now, e.order, e.outcome, e.refusal)
	case moveAnswered:
		s.MoveAnswered(now, e.order, e.outcome, e.refusal)
	case approvalAnswered:
		s.ApprovalAnswered(now, e.request, e.answer)
	case reconfigured:
		// The next round checks the view.
	}
}

// reconfigure passes the operators' view to the scheduler.
func (o *owner) reconfigure(now time.Time) {
	o.viewChangeCount = o.node.view.changeCount()
	o.scheduler.SetEvacuatedZones(o.node.view.evacuations())
	if c := o.node.view.configuration(); c != nil {
		o.scheduler.Configure(c)
	}
	for _, w := range o.node.view.allWaves() {
		o.scheduler.AddWave(now, w, o.storedWaves[waveKey(w.Number).Key])
	}
}

// evacuationMargin covers a start order that was decided on an outdated view and is in
// flight: the VM may still execute it within this time.
const evacuationMargin = time.Second

// mayStartTasks reports whether tasks may be started. The operators' view must be fresh
// too: an owner that renews its ownership while its feed of the operators' rows gets no
// answers would start tasks in a zone that has been evacuated since.
func (o *owner) mayStartTasks(now time.Time) bool {
	maxAge := o.node.settings.Bounds.EvacuationMax
	current := maxAge == 0 || o.node.view.age(now) < maxAge-evacuationMargin
	return current && o.tenure.mayStartTasks(now)
}

func (o *owner) applyVMRows(now time.Time, e vmRowsChanged) {
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
	if !e.complete {
		return
	}
	for _, id := range o.scheduler.VMs() {
		if !present[id] {
			o.scheduler.VMUnlisted(now, id)
		}
	}
}

func (o *owner) followJobs(ctx context.Context) error {
	// After a gap in the table's history the progress is read together with the jobs.
	// Without it, jobs that have ended since would look new.
	var progress storedProgress
	f := feed{
		table: o.node.table, tableName: jobTable, allPartitions: true, log: o.log, from: o.jobFeedVersion,
		readSnapshot: func(ctx context.Context) (jobs []platform.Row, version platform.Version, err error) {
			jobs, progress, version, err = o.readJobs(ctx)
			return jobs, version, err
		},
	}
	return f.run(ctx, func(rows []platform.Row, _ bool) {
		o.send(ctx, jobRowsChanged{rows: rows, progress: progress})
		progress = storedProgress{}
	}, func(time.Time) {})
}

// readJobs reads all jobs and their progress for an owner that has loaded before. The progress is read
// first: this owner remembers the jobs that end during the read, but deletes the rows of those that
// ended long ago, and their progress last.
func (o *owner) readJobs(ctx context.Context) (jobs []platform.Row, progress storedProgress, version platform.Version, err error) {
	if progress, err = o.readProgress(ctx); err != nil {
		return nil, progress, 0, err
	}
	partitions, version, err := o.loadJobs(ctx)
	return slices.Concat(partitions...), progress, version, err
}

func (o *owner) followVMs(ctx context.Context) error {
	f := feed{table: o.node.table, tableName: platform.VMTable, log: o.log}
	return f.run(ctx, func(rows []platform.Row, complete bool) {
		o.send(ctx, vmRowsChanged{rows, complete})
	}, func(asOf time.Time) {
		o.send(ctx, directoryRead{asOf})
	})
}

func (o *owner) followMachines(ctx context.Context) error {
	for ctx.Err() == nil {
		requestedAt := bootNow()
		callCtx, cancel := context.WithTimeout(ctx, machineListTimeout)
		list, ignored, err := o.node.machines.List(callCtx)
		cancel()
		if ignored > 0 {
			o.log.Warn().Int("count", ignored).Str("event", "machine_entries_ignored").Send()
		}
		if err != nil {
			o.log.Debug().Err(err).Msg("machines could not be listed")
		} else {
			o.send(ctx, machinesListed{list, requestedAt})
		}
		supervisor.Sleep(ctx, machineListInterval)
	}
	return nil
}
