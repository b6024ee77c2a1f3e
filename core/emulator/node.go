package emulator

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
)

// Periods of the emulated entry VMs; they match those of the real driver.
const (
	lookEvery   = 150 * time.Millisecond
	tickEvery   = 40 * time.Millisecond
	renewEvery  = 250 * time.Millisecond
	groupFor    = 12 * time.Millisecond
	callTimeout = 700 * time.Millisecond
	commitLeast = 250 * time.Millisecond
	holdGrace   = 600 * time.Millisecond
	listEvery   = 500 * time.Millisecond
)

// node is an entry VM with its process.
type node struct {
	w    *World
	name string
	zone job.ZoneName
	// life tells apart the processes; 0 stands for none.
	life   int
	lives  int
	frozen bool
	// waiting is what arrived while the node was frozen.
	waiting []func()
	watch   lease.Watcher
	owner   *owner
	// cutFrom are the VMs out of reach, by zone.
	cutFrom map[job.ZoneName]bool
}

// here runs f on the node's process, if the one that asked still lives; a frozen
// one runs it when it wakes.
func (n *node) here(life int, f func()) {
	if n.life != life {
		return
	}
	if n.frozen {
		n.waiting = append(n.waiting, func() { n.here(life, f) })
		return
	}
	f()
}

// boot starts a process.
func (n *node) boot() {
	n.lives++
	n.life = n.lives
	n.watch = lease.Watcher{}
	n.owner = nil
	n.look(n.life)
}

// kill ends the process.
func (n *node) kill() {
	n.life = 0
	n.owner = nil
	n.frozen = false
	n.waiting = nil
}

func (n *node) freeze() { n.frozen = true }

func (n *node) thaw() {
	n.frozen = false
	late := n.waiting
	n.waiting = nil
	for _, f := range late {
		f()
	}
}

// call carries out a call to the table. answer gets false if there is none in
// time; the call may have been carried out all the same.
func (n *node) call(timeout time.Duration, write bool, carryOut func(), answer func(ok bool)) {
	t := n.w.table
	life := n.life
	answered := false
	finish := func(ok bool) {
		n.here(life, func() {
			if !answered {
				answered = true
				answer(ok)
			}
		})
	}
	n.w.after(timeout, func() { finish(false) })
	if t.down || t.turnedAway[n] || n.cutFrom["table"] {
		return
	}
	there := 2*time.Millisecond + t.slow/2
	n.w.after(there, func() {
		if write && n.w.chance(t.lost) {
			if t.late {
				n.w.after(n.w.between(time.Second, 6*time.Second), carryOut)
			} else {
				carryOut()
			}
			return
		}
		carryOut()
		n.w.after(2*time.Millisecond+t.slow/2, func() { finish(true) })
	})
}

// look reads the owner's rows and takes over when it must.
func (n *node) look(life int) {
	n.here(life, func() {
		if n.owner != nil {
			return
		}
		t := n.w.table
		s := lease.Observation{Sent: n.w.now}
		var row ownerRow
		n.call(time.Second, false, func() {
			s.Owner, s.Renewal = uint64(t.ownerVersion), uint64(t.renewalVersion)
			s.Vacant = t.owner.vacant
			row = t.owner
		}, func(ok bool) {
			s.Received = n.w.now
			s.PreviousRun = row.node == n.name && row.life != life
			if ok && n.watch.TakeoverDue(s) {
				n.takeOver(life, s, row)
				return
			}
			n.w.after(lookEvery, func() { n.look(life) })
		})
	})
}

func (n *node) takeOver(life int, s lease.Observation, row ownerRow) {
	t := n.w.table
	sent := n.w.now
	turn := row.turn + 1
	version, won := int64(0), false
	n.call(time.Second, true, func() {
		version, won = t.swap(int64(s.Owner), int64(s.Renewal), ownerRow{node: n.name, life: life, turn: turn})
	}, func(ok bool) {
		if !ok || !won {
			n.w.after(lookEvery+n.w.between(0, lookEvery), func() { n.look(life) })
			return
		}
		o := &owner{n: n, life: life, fence: version, renewal: version, turn: turn, renewAt: n.w.now}
		o.right.Confirm(sent, sent)
		n.owner = o
		o.load()
	})
}

// retire is a planned stop: the right is given back before the process ends.
func (n *node) retire() {
	t := n.w.table
	if o := n.owner; o != nil && !n.frozen {
		fence := o.fence
		n.call(time.Second, true, func() {
			if t.ownerVersion == fence {
				t.owner.vacant = true
				t.ownerVersion = t.bump()
			}
		}, func(bool) {})
	}
	n.w.after(10*time.Millisecond, n.kill)
}
