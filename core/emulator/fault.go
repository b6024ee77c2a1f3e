package emulator

import (
	"math/rand/v2"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind int

// The kinds of faults.
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
	// VMsLost ends VMs for good: their machines stay down.
	VMsLost
	// VMsDrain announces that VMs leave when the fault ends. Their machines then start others.
	VMsDrain
	faultKinds
)

// String returns the name of the kind in snake case.
func (k FaultKind) String() string {
	return [...]string{
		"kill_owner", "freeze_owner", "kill_all", "stop_owner", "cut_owner_from_table", "cut_zone", "table_down",
		"table_slow", "answers_lost", "answers_lost_late", "vms_crash", "vms_crash_same_id", "vms_fail", "vms_slow",
		"vms_hang", "vms_lost", "vms_drain",
	}[k]
}

// Fault is a fault that is injected into a run.
type Fault struct {
	Kind FaultKind
	// At is the time from the end of the lead time to the fault.
	// Duration is how long the fault lasts.
	At       time.Duration
	Duration time.Duration
	// Share is the share of the VMs that are affected, for faults of VMs.
	Share float64
}

// vmSlowdown is the factor by which tasks take longer on a VM that is slow for a time.
const vmSlowdown = 5

// RandomFaults returns n random faults within a scenario of the given length. They may
// overlap.
func RandomFaults(seed uint64, length time.Duration, n int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 2))
	var out []Fault
	for range n {
		out = append(out, randomFault(rng, FaultKind(rng.IntN(int(VMsHang))), length))
	}
	return out
}

// RandomFaultsOf is like RandomFaults, with faults of one kind only.
func RandomFaultsOf(k FaultKind, seed uint64, length time.Duration, n int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 4))
	var out []Fault
	for range n {
		out = append(out, randomFault(rng, k, length))
	}
	return out
}

// cutCrashShare is the share of the VMs that crash after a cut of RandomCutsWithCrashes.
const cutCrashShare = 0.4

// RandomCutsWithCrashes returns n random cuts of the owner from the table, each followed by
// crashes of VMs within a second, before another process takes over. What only the former
// owner knows of these VMs is lost.
func RandomCutsWithCrashes(seed uint64, length time.Duration, n int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 5))
	var out []Fault
	for range n {
		cut := randomFault(rng, CutOwnerFromTable, length)
		crash := randomFault(rng, VMsCrash, time.Second)
		crash.At, crash.Share = crash.At+cut.At, cutCrashShare
		out = append(out, cut, crash)
	}
	return out
}

// randomFault returns a fault that lasts one to seven seconds. A fault of VMs affects 10% to
// 30% of all VMs.
func randomFault(rng *rand.Rand, k FaultKind, length time.Duration) Fault {
	return Fault{
		Kind: k, At: time.Duration(rng.Int64N(int64(length))),
		Duration: time.Second + time.Duration(rng.Int64N(int64(6*time.Second))), Share: 0.1 + 0.2*rng.Float64(),
	}
}

// ownerEntryVM returns the entry VM that owns the fleet or, if none does, a random one.
func (w *World) ownerEntryVM() *entryVM {
	for _, e := range w.entryVMs {
		if e.owner != nil && !e.owner.ended && w.table.owner.entryVM == e.name {
			return e
		}
	}
	return w.entryVMs[w.rng.IntN(len(w.entryVMs))]
}

// inject begins the fault, and schedules its end.
func (f Fault) inject(w *World) {
	e := w.ownerEntryVM()
	switch f.Kind {
	case KillOwner:
		e.kill()
		w.after(f.Duration, func() { e.restart() })
	case FreezeOwner:
		e.freeze()
		w.after(f.Duration, e.thaw)
	case KillAll:
		for _, e := range w.entryVMs {
			e.kill()
			w.after(f.Duration, func() { e.restart() })
		}
	case StopOwner:
		e.shutDown()
		w.after(f.Duration, func() { e.restart() })
	case CutOwnerFromTable:
		e.unreachable["table"] = true
		w.after(f.Duration, func() { delete(e.unreachable, "table") })
	case CutZone:
		f.isolateZone(w)
	default:
		f.injectTableFault(w)
	}
}

// restart starts a process unless one is running.
func (e *entryVM) restart() {
	if e.run == 0 {
		e.startProcess()
	}
}

// isolateZone cuts a random availability zone off from the other zones, in both
// directions, and from the table.
func (f Fault) isolateZone(w *World) {
	zone := zoneName(w.rng.IntN(zoneCount))
	for _, e := range w.entryVMs {
		if e.zone != zone {
			e.unreachable[zone] = true
			w.after(f.Duration, func() { delete(e.unreachable, zone) })
			continue
		}
		for i := range zoneCount {
			if other := zoneName(i); other != zone {
				e.unreachable[other] = true
				w.after(f.Duration, func() { delete(e.unreachable, other) })
			}
		}
		e.unreachable["table"] = true
		w.after(f.Duration, func() { delete(e.unreachable, "table") })
	}
}

func (f Fault) injectTableFault(w *World) {
	t := w.table
	switch f.Kind {
	case TableDown:
		t.down = true
		w.after(f.Duration, func() { t.down = false })
	case TableSlow:
		t.extraDelay = 250 * time.Millisecond
		w.after(f.Duration, func() { t.extraDelay = 0 })
	case AnswersLost, AnswersLostLate:
		t.lostAnswerShare, t.lateWrites = 0.35, f.Kind == AnswersLostLate
		w.after(f.Duration, func() { t.lostAnswerShare = 0 })
	default:
		f.injectVMFault(w)
	}
}

// injectVMFault affects each VM with probability Share.
func (f Fault) injectVMFault(w *World) {
	for _, m := range w.machines {
		v := m.vm
		if v == nil || !v.up || !w.chance(f.Share) {
			continue
		}
		switch f.Kind {
		case VMsCrash:
			w.crashVM(v, f.Duration, false)
		case VMsCrashSameID:
			w.crashVM(v, f.Duration, true)
		case VMsLost:
			w.loseVM(v)
		case VMsDrain:
			w.drainVM(v, f.Duration)
		case VMsFail:
			v.failing = true
			w.after(f.Duration, func() { v.failing = false })
		case VMsSlow:
			v.slowdown = max(vmSlowdown, m.slowdown)
			w.after(f.Duration, func() { v.slowdown = m.slowdown })
		case VMsHang:
			v.hanging = true
			w.after(f.Duration, func() { v.hanging = false })
		}
	}
}
