package fleet

import (
	"slices"
	"strings"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/route"
)

// Event is information that an entry receives about the VMs of its zone.
type Event interface{ isEvent() }

// RowsChanged carries VM rows that changed. A deleted row has Version 0. The rows are
// retained and must not be modified afterwards.
type RowsChanged struct{ Rows []*VMRow }

// Listed carries the platform's list of the zone's live VMs.
type Listed struct{ VMs []ListedVM }

// ListedVM is one entry of the platform's live list.
type ListedVM struct {
	VM      core.VMID
	Leaving bool
}

// Refused reports that a VM refused work because it is leaving.
type Refused struct{ VM core.VMID }

// Unreachable reports that no connection to a VM could be established.
type Unreachable struct{ VM core.VMID }

// Accepted reports that a VM accepted work, or answered a probe that it would. SentAt
// is when the request or probe was sent.
type Accepted struct {
	VM     core.VMID
	SentAt time.Time
}

func (RowsChanged) isEvent() {}
func (Listed) isEvent()      {}
func (Refused) isEvent()     {}
func (Unreachable) isEvent() {}
func (Accepted) isEvent()    {}

// The first probe follows probeBackoff after the refusal. The intervals after it are 1,
// 2, 3 and so on times probeBackoff, up to maxProbeInterval.
const (
	probeBackoff     = time.Second
	maxProbeInterval = 15 * time.Second
)

// Membership tracks which VMs of a zone may be given new work. It combines three
// sources: the VMs' rows, the platform's live list, which may lag, and the outcome of
// connections. Each source can exclude a VM, and none can overrule the others.
//
// The first source to report that a VM is leaving excludes it: its row within one poll,
// the live list within its lag, or the VM's own refusal immediately. Work that already
// runs on the VM isn't affected.
//
// The zero value is ready to use. A Membership is not safe for concurrent use.
type Membership struct {
	vms map[core.VMID]*member
	// For tests only: each field disables one source.
	ignoreList, ignoreConnections bool
}

type member struct {
	row *VMRow
	// listed is set once the live list contained the VM. If the VM then disappears from
	// the list, it is gone. Before that, the list may only lag.
	listed, leaving, gone bool
	// heldAt is when a connection last showed that the VM accepts no work. It is zero if
	// the VM has accepted work since then.
	heldAt  time.Time
	probes  int
	probeAt time.Time
}

// Handle processes an event and reports whether the result of Targets may have changed.
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

// Targets returns the VMs that may be given new work, sorted by name.
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

// Row returns the VM's row as it was last read, or false if there is none.
func (m *Membership) Row(vm core.VMID) (VMRow, bool) {
	v, ok := m.vms[vm]
	if !ok || !v.row.Exists() {
		return VMRow{}, false
	}
	return *v.row, true
}

// Probes returns the VMs to probe now for whether they accept work again, sorted by
// name. A VM is probed repeatedly, with linear back-off, until it accepts work.
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
	// A delayed read must not replace a newer row.
	if r.Row.Version <= v.row.Row.Version {
		return false
	}
	if v.row.VM.State != Serving && r.VM.State == Serving {
		// The VM was verified after any earlier refusal or failed connection.
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

// accepted lifts a hold, unless the request was sent before the refusal that caused the
// hold: answers may arrive out of order.
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
