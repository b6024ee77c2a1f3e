package emulator

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
	"lavenderpond/core/schedule"
)

// owner is the state of an entry VM while it owns the fleet, for one tenure.
type owner struct {
	entryVM *entryVM
	run     int
	// fence is the version of the row that made it the owner, renewal that of its last
	// renewal. tenureNumber counts the takeovers, batch the commits of this tenure.
	fence        int64
	renewal      int64
	tenureNumber int64
	batch        int64
	ownership    lease.Ownership
	scheduler    *schedule.Scheduler
	// pendingSaves are the saves for the next commit; committing is set during a commit.
	pendingSaves []schedule.Command
	committing   bool
	renewAt      time.Time
	// jobsRead, cancelsRead and vmChangesRead count the entries of the table that were passed
	// to the scheduler.
	jobsRead      int
	cancelsRead   int
	vmChangesRead int
	// storedWaves is the progress of waves that former owners stored.
	storedWaves map[int64]job.WaveProgress
	// ended is set once another process is the owner.
	ended bool
}

// loadState reads what former owners stored, and starts the loops of the owner.
func (o *owner) loadState() {
	e, t := o.entryVM, o.entryVM.w.table
	e.callTable(2*time.Second, false, func() { o.restore(t) }, func(ok bool) {
		if !ok || o.scheduler == nil {
			o.entryVM.w.after(100*time.Millisecond, func() { e.callIfRunning(o.run, o.loadState) })
			return
		}
		o.tick()
		o.pollMachines()
		o.commitPending()
	})
}

// restore creates a scheduler from the stored state.
func (o *owner) restore(t *table) {
	now := o.entryVM.w.now
	o.scheduler = schedule.New(schedule.Settings{
		OrderIssuer: o.entryVM.name, FormerOrders: valuesByKey(t.orders),
		Fence: job.Fence(o.fence), AttemptBase: job.Attempt(o.tenureNumber * 10_000), TakeoverTime: now,
		LeaseMax: o.entryVM.w.leaseMax, FormerLease: lease.Granted(o.entryVM.w.leaseMax), TaskStopMax: taskStopMax,
		MachineLease: 3 * time.Second,
		Policy:       o.entryVM.w.policy,
		Observer:     o,
	})
	s := o.scheduler
	s.Configure(o.entryVM.w.config)
	s.SetEvacuatedZones(o.entryVM.w.evacuatedZones())
	for _, p := range slices.Sorted(maps.Keys(t.shares)) {
		s.AddInheritedShares(now, now, p, t.shares[p])
	}
	for _, n := range slices.Sorted(maps.Keys(t.runTimes)) {
		s.AddInheritedRunTimes(now, now, n, t.runTimes[n])
	}
	for _, v := range valuesByKey(t.roster) {
		s.AddInheritedVM(v)
	}
	o.readJobs(now)
	o.readVMs(now)
	o.storedWaves = maps.Clone(t.waves)
	o.entryVM.w.waves.restore(o)
}

// valuesByKey returns the values of m in the order of their keys, as the table lists its
// rows.
func valuesByKey[K cmp.Ordered, V any](m map[K]V) []V {
	var out []V
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}

// readJobs passes jobs submitted and cancelled since the last call to the scheduler.
func (o *owner) readJobs(now time.Time) {
	t := o.entryVM.w.table
	for _, s := range t.submitted[o.jobsRead:] {
		var p *job.Progress
		if o.jobsRead == 0 || s.version < o.fence {
			if known, ok := t.progress[s.job.ID]; ok {
				p = &known
			}
		}
		o.scheduler.AddJob(now, s.job, p, s.version < o.fence)
	}
	o.jobsRead = len(t.submitted)
	for _, id := range t.cancelled[o.cancelsRead:] {
		o.scheduler.Cancel(now, id)
	}
	o.cancelsRead = len(t.cancelled)
}

// readVMs passes changes of VM records since the last call to the scheduler; the first call
// passes all records.
func (o *owner) readVMs(now time.Time) {
	t := o.entryVM.w.table
	if o.vmChangesRead == 0 {
		for _, v := range o.entryVM.w.allVMs {
			if r, ok := t.vms[v.id]; ok && o.entryVM.w.vms[v.id] == v {
				o.scheduler.VMListed(now, r)
			}
		}
		o.vmChangesRead = len(t.vmChanges)
		return
	}
	for _, c := range t.vmChanges[o.vmChangesRead:] {
		if c.removed {
			o.scheduler.VMUnlisted(now, c.record.ID)
		} else {
			o.scheduler.VMListed(now, c.record)
		}
	}
	o.vmChangesRead = len(t.vmChanges)
}

// tick runs one scheduling round and schedules the next one. The owner reads changes only
// while it can reach the table.
func (o *owner) tick() {
	o.entryVM.callIfRunning(o.run, func() {
		if o.ended {
			return
		}
		o.entryVM.w.after(tickInterval, o.tick)
		if o.entryVM.reachesTable() {
			o.readJobs(o.entryVM.w.now)
			o.readVMs(o.entryVM.w.now)
			o.scheduler.SetEvacuatedZones(o.entryVM.w.evacuatedZones())
		}
		o.runScheduler()
	})
}

// runScheduler lets the scheduler decide and executes its commands.
func (o *owner) runScheduler() {
	now := o.entryVM.w.now
	if o.ended {
		return
	}
	o.scheduler.SetRights(schedule.Rights{OrderMachines: o.ownership.MayOrderMachines(now), StartTasks: o.ownership.MayStartTasks(now), ExtendLeases: o.ownership.MayExtendLeases(now)})
	o.scheduler.Tick(now)
	o.scheduler.Assign(now, now)
	for _, c := range o.scheduler.TakeCommands() {
		o.execute(c)
	}
	o.commitPending()
}

// execute carries out a command of the scheduler.
func (o *owner) execute(c schedule.Command) {
	w := o.entryVM.w
	switch c := c.(type) {
	case schedule.Save, schedule.SaveVM, schedule.DropVM, schedule.SaveWave, schedule.SaveOrder, schedule.DropOrder, schedule.SaveShares, schedule.SaveRunTimes:
		o.pendingSaves = append(o.pendingSaves, c)
	case schedule.Start:
		w.Stats.Starts++
		sent := w.now
		o.sendOrder(c.VM, orderTimeout, func(v *vm, answer func(job.Report)) {
			if w.lateStartsBeforeHold || !v.cannotRefuseLate(c.Order.Fence, sent) {
				answer(v.startTask(c.Order, o.entryVM.name))
			}
		}, func(now time.Time, out schedule.Outcome, r job.Report) {
			o.scheduler.StartAnswered(now, c, out, r)
		})
	case schedule.Stop:
		o.sendOrder(c.VM, orderTimeout, func(v *vm, answer func(job.Report)) {
			answer(v.stopTask(c.Task, c.Attempt, c.Fence))
		}, func(now time.Time, out schedule.Outcome, r job.Report) {
			o.scheduler.StopAnswered(now, c, out, r)
		})
	case schedule.Hold:
		o.sendOrder(c.VM, c.Order.Wait+holdTimeoutMargin, func(v *vm, answer func(job.Report)) {
			v.hold(c.Order, answer)
		}, func(now time.Time, out schedule.Outcome, r job.Report) {
			o.scheduler.HoldAnswered(now, c, out, r)
		})
	case schedule.Maintain:
		o.sendMachineOrder(c.Machine, c.Wave, func(m *machine) { w.startMaintenance(m, c.Wave) }, func(out schedule.Outcome, refusal job.MachineRefusal) {
			o.scheduler.MaintainAnswered(w.now, c, out, refusal)
		})
	case schedule.Move:
		o.sendMachineOrder(c.Machine, 0, func(m *machine) { w.startMove(m, c.Pool) }, func(out schedule.Outcome, refusal job.MachineRefusal) {
			o.scheduler.MoveAnswered(w.now, c, out, refusal)
		})
	case schedule.PublishWave:
		w.waves.publish(c)
	case schedule.Pace, schedule.RequestApproval, schedule.DeleteJob:
	}
}

// sendOrder sends an order to a VM. apply carries the order out on the VM, answer gets the
// outcome. A share of the orders is delivered late, without an answer.
func (o *owner) sendOrder(id job.VMID, timeout time.Duration, apply func(v *vm, answer func(job.Report)), answer func(time.Time, schedule.Outcome, job.Report)) {
	w, e := o.entryVM.w, o.entryVM
	v := w.vms[id]
	answered := false
	finish := func(out schedule.Outcome, r job.Report) {
		e.callIfRunning(o.run, func() {
			if !answered && !o.ended {
				answered = true
				answer(w.now, out, r)
				o.runScheduler()
			}
		})
	}
	w.after(timeout, func() { finish(schedule.Unanswered, job.Report{}) })
	if v == nil || e.unreachable[v.machine.zone] {
		return
	}
	if w.chance(w.checker.lateOrderShare) {
		w.after(w.randomBetween(2*time.Second, 12*time.Second), func() { w.deliverLate(w.vms[id], apply) })
		return
	}
	w.after(w.networkDelay(), func() {
		if v = w.vms[id]; v == nil || !v.up {
			return
		}
		apply(v, func(r job.Report) { w.after(w.networkDelay(), func() { finish(schedule.Answered, r) }) })
	})
}

// deliverLate delivers an order that got no answer in time. A VM that has started since
// under the same ID takes the order as its own.
func (w *World) deliverLate(v *vm, apply func(v *vm, answer func(job.Report))) {
	if v != nil && v.up {
		apply(v, func(job.Report) {})
	}
}

// machineOrderTimeout is how long the owner waits for the answer to an order for a machine.
const machineOrderTimeout = 2 * time.Second

// sendMachineOrder sends an order to a machine while the owner may order machines. The order is for the
// maintenance in a wave unless wave is 0. A share of the orders gets no answer, and half of these aren't
// executed either, or late.
func (o *owner) sendMachineOrder(id job.MachineID, wave int64, apply func(m *machine), answer func(schedule.Outcome, job.MachineRefusal)) {
	w, e := o.entryVM.w, o.entryVM
	if !o.ownership.MayOrderMachines(w.now) {
		// The process may have been frozen since the scheduler decided.
		answer(schedule.NotDone, job.MachineAccepted)
		return
	}
	if w.unansweredMachineOrderShare > 0 && w.chance(w.unansweredMachineOrderShare) {
		if w.chance(0.5) {
			if w.acceptMachineOrder(id, wave, job.Fence(o.fence), e.name) == job.MachineAccepted {
				apply(w.findMachine(id))
			}
		} else if wave != 0 {
			w.waves.executeLate(id, wave, job.Fence(o.fence))
		}
		w.after(machineOrderTimeout, func() {
			e.callIfRunning(o.run, func() {
				if !o.ended {
					answer(schedule.Unanswered, job.MachineAccepted)
				}
			})
		})
		return
	}
	w.after(w.networkDelay(), func() {
		refusal := w.acceptMachineOrder(id, wave, job.Fence(o.fence), e.name)
		if refusal == job.MachineAccepted {
			apply(w.findMachine(id))
		}
		w.after(w.networkDelay(), func() {
			e.callIfRunning(o.run, func() {
				if !o.ended && refusal == job.MachineUnknown && wave == 0 {
					// For a move, the service answers as to a malformed order.
					answer(schedule.Rejected, job.MachineAccepted)
				} else if !o.ended {
					answer(schedule.Answered, refusal)
				}
			})
		})
	})
}

// pollMachines reads the platform's list of machines periodically.
func (o *owner) pollMachines() {
	o.entryVM.callIfRunning(o.run, func() {
		if o.ended {
			return
		}
		requestedAt := o.entryVM.w.now
		o.entryVM.w.lists.read(func(list []job.Machine) {
			o.entryVM.callIfRunning(o.run, func() {
				if !o.ended {
					o.scheduler.MachinesListed(requestedAt, list)
				}
			})
		})
		o.entryVM.w.after(machineListInterval, o.pollMachines)
	})
}

// commitPending stores the pending saves, or renews the ownership if that is due. It waits
// for commitWindow first, so that further saves join the batch.
func (o *owner) commitPending() {
	e, now := o.entryVM, o.entryVM.w.now
	if o.committing || o.ended || (len(o.pendingSaves) == 0 && now.Before(o.renewAt)) {
		return
	}
	o.committing = true
	o.entryVM.w.after(commitWindow, func() {
		o.entryVM.callIfRunning(o.run, func() {
			saves := o.pendingSaves
			o.pendingSaves = nil
			o.batch++
			o.commitBatch(saves, e.w.now)
		})
	})
}

// commitBatch sends a transaction, and repeats it until there is an answer. firstSent is
// when it was first sent. A renewal row that equals its own shows that an earlier try was
// carried out.
func (o *owner) commitBatch(saves []schedule.Command, firstSent time.Time) {
	e, t := o.entryVM, o.entryVM.w.table
	sent := e.w.now
	row := renewalRow{run: o.run, entryVM: e.name, batch: o.batch}
	expectedRenewal := o.renewal
	var got commitResult
	e.callTable(minCommitTimeout+t.extraDelay*4, true, func() { got = t.commit(o.fence, expectedRenewal, row, saves) }, func(ok bool) {
		switch {
		case !ok:
			e.w.after(60*time.Millisecond, func() { e.callIfRunning(o.run, func() { o.commitBatch(saves, firstSent) }) })
		case got.ok, got.owner == o.fence && got.renewalRow == row:
			o.batchCommitted(firstSent, sent, max(got.version, got.renewal), saves)
		default:
			o.stepDown()
		}
	})
}

// batchCommitted handles the success of a commit.
func (o *owner) batchCommitted(firstSent, sent time.Time, version int64, saves []schedule.Command) {
	o.renewal = version
	o.ownership.Confirm(firstSent, sent)
	o.scheduler.RaiseFence(job.Fence(version))
	o.renewAt = o.entryVM.w.now.Add(renewInterval)
	o.committing = false
	last := int64(0)
	for _, c := range saves {
		sequence, _ := schedule.SequenceOf(c)
		last = max(last, sequence)
	}
	if last > 0 {
		o.scheduler.SavesStored(o.entryVM.w.now, last)
	}
	o.runScheduler()
}

// stepDown ends the ownership, since another process owns the fleet.
func (o *owner) stepDown() {
	o.ended = true
	o.entryVM.owner = nil
	run := o.run
	o.entryVM.watcher = lease.Watcher{}
	o.entryVM.w.after(pollInterval, func() { o.entryVM.pollOwner(run) })
}

// findMachine returns the machine with the given ID, or nil.
func (w *World) findMachine(id job.MachineID) *machine {
	i := slices.IndexFunc(w.machines, func(m *machine) bool { return m.id == id })
	if i < 0 {
		return nil
	}
	return w.machines[i]
}

// Decided implements schedule.Observer.
func (o *owner) Decided(d schedule.Decision) {
	if d.Kind == schedule.TaskGivenUp {
		o.entryVM.w.checker.taskGivenUp(d.Task)
	}
	if d.Kind == schedule.TaskStopping && d.Reason == "slow" {
		o.entryVM.w.Stats.SlowStops++
	}
	reason := strings.TrimSpace(string(d.Machine) + " " + d.Reason)
	o.entryVM.w.tracef("%s %s %v attempt %d vm %s: %s, age %s", o.entryVM.name, d.Kind, d.Task, d.Attempt, d.VM, reason, d.Age)
}
