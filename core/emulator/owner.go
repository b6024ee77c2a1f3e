package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
	"lavenderpond/core/schedule"
)

// owner is a tenure.
type owner struct {
	n         *node
	life      int
	fence     int64
	renewal   int64
	turn      int64
	batch     int64
	right     lease.Ownership
	scheduler *schedule.Scheduler
	queue     []schedule.Command
	busy      bool
	renewAt   time.Time
	jobsSeen  int
	cancels   int
	vmsSeen   int
	over      bool
}

// load reads what the former owner left.
func (o *owner) load() {
	n, t := o.n, o.n.w.table
	n.call(2*time.Second, false, func() { o.restore(t) }, func(ok bool) {
		if !ok || o.scheduler == nil {
			o.n.w.after(100*time.Millisecond, func() { n.here(o.life, o.load) })
			return
		}
		o.tick()
		o.list()
		o.commit()
	})
}

func (o *owner) restore(t *table) {
	now := o.n.w.now
	o.scheduler = schedule.New(schedule.Settings{
		OrderIssuer: o.n.name, FormerOrders: valuesByKey(t.orders),
		Fence: job.Fence(o.fence), AttemptBase: job.Attempt(o.turn * 10_000), TookOver: now,
		LeaseMax: leaseMax, TaskStopMax: taskStop,
		MachineLease: 3 * time.Second,
		Observer:     o,
	})
	s := o.scheduler
	s.Configure(o.n.w.conf)
	s.SetEvacuatedZones(o.n.w.evacuations())
	for _, v := range valuesByKey(t.roster) {
		s.AddInheritedVM(v)
	}
	o.takeJobs(now)
	o.takeVMs(now)
	for number, w := range o.n.w.waves() {
		s.AddWave(now, w, t.waves[number])
	}
}

// valuesByKey returns the values of m in the order of their keys, as the table
// lists its rows.
func valuesByKey[K cmp.Ordered, V any](m map[K]V) []V {
	var out []V
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}

// takeJobs takes in what was submitted and cancelled since the last time.
func (o *owner) takeJobs(now time.Time) {
	t := o.n.w.table
	for _, s := range t.submitted[o.jobsSeen:] {
		var p *job.Progress
		if o.jobsSeen == 0 || s.version < o.fence {
			if known, ok := t.progress[s.job.ID]; ok {
				p = &known
			}
		}
		o.scheduler.AddJob(now, s.job, p, s.version < o.fence)
	}
	o.jobsSeen = len(t.submitted)
	for _, id := range t.cancelled[o.cancels:] {
		o.scheduler.Cancel(now, id)
	}
	o.cancels = len(t.cancelled)
}

func (o *owner) takeVMs(now time.Time) {
	t := o.n.w.table
	if o.vmsSeen == 0 {
		for _, v := range o.n.w.order {
			if e, ok := t.vms[v.id]; ok && o.n.w.vms[v.id] == v {
				o.scheduler.VMListed(now, e)
			}
		}
		o.vmsSeen = len(t.vmChanges)
		return
	}
	for _, c := range t.vmChanges[o.vmsSeen:] {
		if c.removed {
			o.scheduler.VMUnlisted(now, c.entry.ID)
		} else {
			o.scheduler.VMListed(now, c.entry)
		}
	}
	o.vmsSeen = len(t.vmChanges)
}

// tick is one turn of the owner's loop.
func (o *owner) tick() {
	o.n.here(o.life, func() {
		if o.over {
			return
		}
		o.n.w.after(tickEvery, o.tick)
		if !o.n.cutFrom["table"] && !o.n.w.table.down && !o.n.w.table.turnedAway[o.n] {
			o.takeJobs(o.n.w.now)
			o.takeVMs(o.n.w.now)
			o.scheduler.SetEvacuatedZones(o.n.w.evacuations())
		}
		o.act()
	})
}

// act lets the scheduler decide and carries out what it wants.
func (o *owner) act() {
	now := o.n.w.now
	if o.over {
		return
	}
	o.scheduler.SetRights(schedule.Rights{OrderMachines: o.right.MayOrderMachines(now), StartTasks: o.right.MayStartTasks(now), ExtendLeases: o.right.MayExtendLeases(now)})
	o.scheduler.Tick(now)
	o.scheduler.Assign(now, now)
	for _, c := range o.scheduler.TakeCommands() {
		o.carryOut(c)
	}
	o.commit()
}

func (o *owner) carryOut(c schedule.Command) {
	w := o.n.w
	switch c := c.(type) {
	case schedule.Save, schedule.SaveVM, schedule.DropVM, schedule.SaveWave, schedule.SaveOrder, schedule.DropOrder:
		o.queue = append(o.queue, c)
	case schedule.Start:
		w.Figures.Starts++
		sent := w.now
		o.order(c.VM, callTimeout, func(v *vm, answer func(job.Report)) {
			if w.lateToUnheld || !v.canNotBar(c.Order.Fence, sent) {
				answer(v.start(c.Order, o.n.name))
			}
		}, func(now time.Time, out schedule.Outcome, r job.Report) {
			o.scheduler.StartAnswered(now, c, out, r)
		})
	case schedule.Stop:
		o.order(c.VM, callTimeout, func(v *vm, answer func(job.Report)) {
			answer(v.stop(c.Task, c.Attempt, c.Fence))
		}, func(now time.Time, out schedule.Outcome, r job.Report) {
			o.scheduler.StopAnswered(now, c, out, r)
		})
	case schedule.Hold:
		o.order(c.VM, c.Order.Wait+holdGrace, func(v *vm, answer func(job.Report)) {
			v.hold(c.Order, answer)
		}, func(now time.Time, out schedule.Outcome, r job.Report) {
			o.scheduler.HoldAnswered(now, c, out, r)
		})
	case schedule.Maintain:
		o.machineOrder(c.Machine, func(m *machine) { w.upkeep(m) }, func(out schedule.Outcome, why job.MachineRefusal) {
			o.scheduler.MaintainAnswered(w.now, c, out, why)
		})
	case schedule.Move:
		o.machineOrder(c.Machine, func(m *machine) { w.move(m, c.Pool) }, func(out schedule.Outcome, why job.MachineRefusal) {
			o.scheduler.MoveAnswered(w.now, c, out, why)
		})
	case schedule.PublishWave:
		w.judge.waveShown(c.State)
	case schedule.Pace, schedule.RequestTickets, schedule.DeleteJob:
	}
}

// order sends an order to a VM, unless the right is over.
func (o *owner) order(id job.VMID, timeout time.Duration, carryOut func(v *vm, answer func(job.Report)), answer func(time.Time, schedule.Outcome, job.Report)) {
	w, n := o.n.w, o.n
	v := w.vms[id]
	done := false
	finish := func(out schedule.Outcome, r job.Report) {
		n.here(o.life, func() {
			if !done && !o.over {
				done = true
				answer(w.now, out, r)
				o.act()
			}
		})
	}
	w.after(timeout, func() { finish(schedule.Unanswered, job.Report{}) })
	if v == nil || n.cutFrom[v.machine.zone] {
		return
	}
	if w.chance(w.judge.lateShare) {
		w.after(w.between(2*time.Second, 12*time.Second), func() { w.lateOrder(w.vms[id], carryOut) })
		return
	}
	w.after(w.hop(), func() {
		if v = w.vms[id]; v == nil || !v.up {
			return
		}
		carryOut(v, func(r job.Report) { w.after(w.hop(), func() { finish(schedule.Answered, r) }) })
	})
}

// lateOrder carries out an order that got no answer. A life that began since under the
// same ID takes it for its own.
func (w *World) lateOrder(v *vm, carryOut func(v *vm, answer func(job.Report))) {
	if v != nil && v.up {
		carryOut(v, func(job.Report) {})
	}
}

func (o *owner) machineOrder(id job.MachineID, carryOut func(m *machine), answer func(schedule.Outcome, job.MachineRefusal)) {
	w, n := o.n.w, o.n
	if !o.right.MayOrderMachines(w.now) {
		// The process may have stood still since the scheduler decided.
		answer(schedule.NotDone, job.MachineAccepted)
		return
	}
	w.after(w.hop(), func() {
		why := w.checkMachine(id, job.Fence(o.fence), n.name)
		if why == job.MachineAccepted {
			carryOut(w.machine(id))
		}
		w.after(w.hop(), func() {
			n.here(o.life, func() {
				if !o.over {
					answer(schedule.Answered, why)
				}
			})
		})
	})
}

// list reads the machines list.
func (o *owner) list() {
	o.n.here(o.life, func() {
		if o.over {
			return
		}
		asked := o.n.w.now
		list := o.n.w.machinesList()
		o.n.w.after(4*time.Millisecond, func() {
			o.n.here(o.life, func() {
				if !o.over {
					o.scheduler.MachinesListed(asked, list)
				}
			})
		})
		o.n.w.after(listEvery, o.list)
	})
}

// commit stores what waits, or renews the right.
func (o *owner) commit() {
	n, now := o.n, o.n.w.now
	if o.busy || o.over || (len(o.queue) == 0 && now.Before(o.renewAt)) {
		return
	}
	o.busy = true
	o.n.w.after(groupFor, func() {
		o.n.here(o.life, func() {
			saves := o.queue
			o.queue = nil
			o.batch++
			o.store(saves, n.w.now)
		})
	})
}

// store carries out a transaction, however often it takes; first is when it was sent
// for the first time.
func (o *owner) store(saves []schedule.Command, first time.Time) {
	n, t := o.n, o.n.w.table
	sent := n.w.now
	row := renewalRow{life: o.life, node: n.name, batch: o.batch}
	expected := o.renewal
	var got commitResult
	n.call(commitLeast+t.slow*4, true, func() { got = t.commit(o.fence, expected, row, saves) }, func(ok bool) {
		switch {
		case !ok:
			n.w.after(60*time.Millisecond, func() { n.here(o.life, func() { o.store(saves, first) }) })
		case got.ok, got.owner == o.fence && got.row == row:
			o.stored(first, sent, max(got.version, got.renewal), saves)
		default:
			o.leave()
		}
	})
}

func (o *owner) stored(first, sent time.Time, version int64, saves []schedule.Command) {
	o.renewal = version
	o.right.Confirm(first, sent)
	o.scheduler.RaiseFence(job.Fence(version))
	o.renewAt = o.n.w.now.Add(renewEvery)
	o.busy = false
	last := int64(0)
	for _, c := range saves {
		sequence, _ := schedule.SequenceOf(c)
		last = max(last, sequence)
	}
	if last > 0 {
		o.scheduler.SavesStored(o.n.w.now, last)
	}
	o.act()
}

// leave ends the tenure: another process is the owner.
func (o *owner) leave() {
	o.over = true
	o.n.owner = nil
	life := o.life
	o.n.watch = lease.Watcher{}
	o.n.w.after(lookEvery, func() { o.n.look(life) })
}

func (w *World) machine(id job.MachineID) *machine {
	i := slices.IndexFunc(w.machines, func(m *machine) bool { return m.id == id })
	if i < 0 {
		return nil
	}
	return w.machines[i]
}

// Decided implements schedule.Observer.
func (o *owner) Decided(d schedule.Decision) {
	if d.Kind == schedule.TaskGivenUp {
		o.n.w.judge.gaveUp[d.Task] = true
	}
	o.n.w.tell("%s %s %v attempt %d vm %s: %s, age %s", o.n.name, d.Kind, d.Task, d.Attempt, d.VM, d.Reason, d.Age)
}
