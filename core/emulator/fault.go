package emulator

import (
	"math/rand/v2"
	"time"
)

// FaultKind is a kind of trouble.
type FaultKind int

// The kinds of trouble.
const (
	KillOwner FaultKind = iota
	FreezeOwner
	KillAll
	StopOwner
	CutOwnerFromTable
	CutZone
	TableDown
	TableSlow
	AnswersLost
	AnswersLostLate
	VMsCrash
	VMsCrashSameID
	VMsFail
	VMsSlow
	VMsHang
	faultKinds
)

// String returns the kind in snake case.
func (k FaultKind) String() string {
	return [...]string{
		"kill_owner", "freeze_owner", "kill_all", "stop_owner", "cut_owner_from_table", "cut_zone", "table_down",
		"table_slow", "answers_lost", "answers_lost_late", "vms_crash", "vms_crash_same_id", "vms_fail", "vms_slow",
		"vms_hang",
	}[k]
}

// Fault is one trouble of a day.
type Fault struct {
	Kind FaultKind
	// At counts from the first caller.
	At  time.Duration
	For time.Duration
	// Share is the part of the VMs that is struck.
	Share float64
}

// RandomFaults draws troubles for a day of the length.
func RandomFaults(seed uint64, length time.Duration, n int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 2))
	var out []Fault
	for range n {
		out = append(out, randomFault(rng, FaultKind(rng.IntN(int(VMsHang))), length))
	}
	return out
}

// RandomFaultsOf draws troubles of one kind.
func RandomFaultsOf(k FaultKind, seed uint64, length time.Duration, n int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 4))
	var out []Fault
	for range n {
		out = append(out, randomFault(rng, k, length))
	}
	return out
}

// lossShare is the part of the VMs that crash when the owner is cut off.
const lossShare = 0.4

// RandomLosses draws cuts of the owner from the table, each followed by crashes of VMs
// before another process owns the fleet: what the former owner knows of these alone is
// lost.
func RandomLosses(seed uint64, length time.Duration, n int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 5))
	var out []Fault
	for range n {
		cut := randomFault(rng, CutOwnerFromTable, length)
		crash := randomFault(rng, VMsCrash, time.Second)
		crash.At, crash.Share = crash.At+cut.At, lossShare
		out = append(out, cut, crash)
	}
	return out
}

func randomFault(rng *rand.Rand, k FaultKind, length time.Duration) Fault {
	return Fault{
		Kind: k, At: time.Duration(rng.Int64N(int64(length))),
		For: time.Second + time.Duration(rng.Int64N(int64(6*time.Second))), Share: 0.1 + 0.2*rng.Float64(),
	}
}

// ownerNode returns the node that owns the fleet, or any that lives.
func (w *World) ownerNode() *node {
	for _, n := range w.nodes {
		if n.owner != nil && !n.owner.over && w.table.owner.node == n.name {
			return n
		}
	}
	return w.nodes[w.rng.IntN(len(w.nodes))]
}

func (x Fault) strike(w *World) {
	n := w.ownerNode()
	switch x.Kind {
	case KillOwner:
		n.kill()
		w.after(x.For, func() { n.reboot() })
	case FreezeOwner:
		n.freeze()
		w.after(x.For, n.thaw)
	case KillAll:
		for _, n := range w.nodes {
			n.kill()
			w.after(x.For, func() { n.reboot() })
		}
	case StopOwner:
		n.retire()
		w.after(x.For, func() { n.reboot() })
	case CutOwnerFromTable:
		n.cutFrom["table"] = true
		w.after(x.For, func() { delete(n.cutFrom, "table") })
	case CutZone:
		x.cutZone(w)
	default:
		x.strikeTable(w)
	}
}

// reboot starts a process unless one runs already.
func (n *node) reboot() {
	if n.life == 0 {
		n.boot()
	}
}

func (x Fault) cutZone(w *World) {
	zone := zoneName(w.rng.IntN(zoneCount))
	for _, n := range w.nodes {
		if n.zone != zone {
			n.cutFrom[zone] = true
			w.after(x.For, func() { delete(n.cutFrom, zone) })
			continue
		}
		for i := range zoneCount {
			if other := zoneName(i); other != zone {
				n.cutFrom[other] = true
				w.after(x.For, func() { delete(n.cutFrom, other) })
			}
		}
		n.cutFrom["table"] = true
		w.after(x.For, func() { delete(n.cutFrom, "table") })
	}
}

func (x Fault) strikeTable(w *World) {
	t := w.table
	switch x.Kind {
	case TableDown:
		t.down = true
		w.after(x.For, func() { t.down = false })
	case TableSlow:
		t.slow = 250 * time.Millisecond
		w.after(x.For, func() { t.slow = 0 })
	case AnswersLost, AnswersLostLate:
		t.lost, t.late = 0.35, x.Kind == AnswersLostLate
		w.after(x.For, func() { t.lost = 0 })
	default:
		x.strikeVMs(w)
	}
}

func (x Fault) strikeVMs(w *World) {
	for _, m := range w.machines {
		v := m.life
		if v == nil || !v.up || !w.chance(x.Share) {
			continue
		}
		switch x.Kind {
		case VMsCrash:
			w.crash(v, x.For, false)
		case VMsCrashSameID:
			w.crash(v, x.For, true)
		case VMsFail:
			v.failing = true
			w.after(x.For, func() { v.failing = false })
		case VMsSlow:
			v.slow = 5
			w.after(x.For, func() { v.slow = 1 })
		case VMsHang:
			v.hanging = true
			w.after(x.For, func() { v.hanging = false })
		}
	}
}
