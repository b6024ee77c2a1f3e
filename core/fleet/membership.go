package fleet

import (
	"slices"
	"strings"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/route"
)

// Event is what an entry learns about the VMs of its zone.
type Event interface{ isEvent() }

// RowsChanged carries VM rows that changed; deleted rows have Version 0. The rows
// are kept, so they must not be changed afterwards.
type RowsChanged struct{ Rows []*VMRow }

// Listed carries the platform's list of the zone's live VMs.
type Listed struct{ VMs []ListedVM }

// ListedVM is one line of the live list.
type ListedVM struct {
	VM      core.VMID
	Leaving bool
}

// Refused says that a VM answered that it is leaving.
type Refused struct{ VM core.VMID }

// Unreachable says that no connection to a VM could be made.
type Unreachable struct{ VM core.VMID }

// Accepted says that a VM took work, or told a probe that it would. Asked is
// when the request or probe was sent.
type Accepted struct {
	VM     core.VMID
	SentAt time.Time
}

func (RowsChanged) isEvent() {}
func (Listed) isEvent()      {}
func (Refused) isEvent()     {}
func (Unreachable) isEvent() {}
func (Accepted) isEvent()    {}

// Probe pacing: the first probe follows the refusal by probeStep, and each next
// one waits as much longer, up to probeMax.
const (
	probeBackoff     = time.Second
	maxProbeInterval = 15 * time.Second
)

// Membership knows which VMs of a zone may be given new work. It combines the
// VMs' rows, the lagging live list and what connections show: each can hold a
// VM back, none can overrule the others. Its zero value works.
//
// A VM that is leaving is found by whichever source is first: its row, within
// one poll; the live list, within its lag; or its own refusal, at once. What
// already runs there isn't touched. It is not safe for concurrent use.
type Membership struct {
	vms map[core.VMID]*member
	// Test-only: each switches one source off.
	ignoreList, ignoreConnections bool
}

type member struct {
	row *VMRow
	// listed stays true once the live list had the VM: if it then goes missing,
	// the VM has gone for good. Before, the list may just lag.
	listed, leaving, gone bool
	// heldAt is when a connection last showed that the VM takes nothing.
	heldAt  time.Time
	probes  int
	probeAt time.Time
}

// Handle takes in an event and reports whether Targets may have changed.
func (m *Membership) Handle(now time.Time, e Event) bool {
	switch e := e.(type) {
	case RowsChanged:
		return m.rowsChanged(e.Rows)
	case Listed:
		return m.listReceived(e.VMs)
	case Refused:
		return m.hold(now, e.VM)
	case Unreachable:
		return m.hold(now, e.VM)
	case Accepted:
		return m.accepted(e)
	}
	return false
}

// Targets returns the VMs that may get new work, by name.
func (m *Membership) Targets() []route.Target {
	var targets []route.Target
	for _, v := range m.vms {
		if v.acceptsWork(m) {
			targets = append(targets, v.target())
		}
	}
	slices.SortFunc(targets, func(a, b route.Target) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return targets
}

// Row returns what the VM's row said when it was last read.
func (m *Membership) Row(vm core.VMID) (VMRow, bool) {
	v, ok := m.vms[vm]
	if !ok || !v.row.Exists() {
		return VMRow{}, false
	}
	return *v.row, true
}

// Probes returns the VMs that have to be asked now whether they take work
// again. Each is due again later, with linear back-off, until it answers.
func (m *Membership) Probes(now time.Time) []VMRow {
	var due []VMRow
	for _, v := range m.vms {
		if v.heldAt.IsZero() || v.row.VM.State != Serving || now.Before(v.probeAt) {
			continue
		}
		v.probes++
		v.probeAt = now.Add(min(time.Duration(v.probes)*probeBackoff, maxProbeInterval))
		due = append(due, *v.row)
	}
	slices.SortFunc(due, func(a, b VMRow) int { return strings.Compare(string(a.Ref.VM), string(b.Ref.VM)) })
	return due
}

func (m *Membership) rowsChanged(rows []*VMRow) bool {
	changed := false
	for _, r := range rows {
		changed = m.rowChanged(r) || changed
	}
	return changed
}

func (m *Membership) rowChanged(r *VMRow) bool {
	if !r.Exists() {
		delete(m.vms, r.Ref.VM)
		return true
	}
	v := m.member(r.Ref.VM)
	// An answer that was overtaken by a later one must not undo it.
	if r.Row.Version <= v.row.Row.Version {
		return false
	}
	if v.row.VM.State != Serving && r.VM.State == Serving {
		// The VM was verified after whatever a connection showed before.
		v.heldAt, v.gone, v.listed = time.Time{}, false, false
	}
	v.row = r
	return true
}

func (m *Membership) listReceived(vms []ListedVM) bool {
	listedNow := make(map[core.VMID]ListedVM, len(vms))
	for _, l := range vms {
		listedNow[l.VM] = l
	}
	changed := false
	for id, v := range m.vms {
		l, ok := listedNow[id]
		before := *v
		v.gone = v.gone && !ok || v.listed && !ok
		v.listed = v.listed || ok
		v.leaving = l.Leaving
		changed = changed || v.gone != before.gone || v.leaving != before.leaving
	}
	return changed
}

func (m *Membership) hold(now time.Time, vm core.VMID) bool {
	v, ok := m.vms[vm]
	if !ok {
		return false
	}
	if v.heldAt.IsZero() {
		v.probes, v.probeAt = 0, now.Add(probeBackoff)
	}
	v.heldAt = now
	return true
}

// accepted lifts a hold, unless the VM was asked before it showed that it takes
// nothing: answers cross.
func (m *Membership) accepted(e Accepted) bool {
	v, ok := m.vms[e.VM]
	if !ok || v.heldAt.IsZero() || !e.SentAt.After(v.heldAt) {
		return false
	}
	v.heldAt = time.Time{}
	return true
}

func (m *Membership) member(vm core.VMID) *member {
	if m.vms == nil {
		m.vms = make(map[core.VMID]*member)
	}
	v, ok := m.vms[vm]
	if !ok {
		v = &member{row: &VMRow{}}
		m.vms[vm] = v
	}
	return v
}

func (v *member) acceptsWork(m *Membership) bool {
	unavailable := (v.leaving || v.gone) && !m.ignoreList
	held := !v.heldAt.IsZero() && !m.ignoreConnections
	return v.row.VM.State == Serving && !unavailable && !held
}

func (v *member) target() route.Target {
	vm := v.row.VM
	return route.Target{
		VM: v.row.Ref.VM, Pool: vm.Pool, Rack: vm.Rack, Slots: vm.Slots, Connections: vm.Connections,
	}
}
