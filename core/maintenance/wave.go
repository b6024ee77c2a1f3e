// Package maintenance decides which VMs are taken out of service, and which step each
// VM that is out of service takes next.
//
// Sub-packages implement the Planner interface: the daemon runs spread, and fixed is
// the naive baseline that measurements compare it with.
package maintenance

import (
	"fmt"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
)

// Status is the status of a zone's maintenance.
type Status int

// The statuses of maintenance. VMs are taken out for maintenance only while it is
// Running.
const (
	// Idle means that nothing is planned.
	Idle Status = iota
	// Planned maintenance waits for an operator to start it.
	Planned
	Running
	// Paused maintenance was paused by an operator. Drains in progress are completed,
	// but no new ones begin.
	Paused
	// Halted maintenance stopped automatically because too many VMs did not come back.
	// It waits for an operator.
	Halted
	// Finished means that every VM of the zone was maintained.
	Finished
)

var statusNames = [...]string{"idle", "planned", "running", "paused", "halted", "finished"}

// String returns the name of the status as it appears in rows and command output.
func (s Status) String() string {
	if s < 0 || int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Status) UnmarshalText(text []byte) error {
	for i, name := range statusNames {
		if name == string(text) {
			*s = Status(i)
			return nil
		}
	}
	return core.Errorf(core.CodeMalformed, "unknown maintenance status %q", text)
}

// Wave is the row that holds the state of a zone's maintenance.
type Wave struct {
	Status Status `json:"status"`
	// Number is the wave's number. It increases when planned or halted maintenance is
	// started, so a VM that did not come back in a halted wave doesn't count against the
	// next wave.
	Number int `json:"number"`
	// PlannedAt is when the maintenance was planned. A VM that was last maintained before
	// then is due.
	PlannedAt time.Time `json:"began,omitzero"`
	// Deadline is the time by which every VM must have been maintained.
	Deadline time.Time `json:"deadline,omitzero"`
	// MaxNotBack is how many VMs may fail to come back. One more halts the wave.
	MaxNotBack int `json:"max_not_back"`
	// Author is the operator who last planned, started or paused the maintenance.
	Author string `json:"author,omitempty"`
	// Reason says why the maintenance was planned, started, paused or halted.
	Reason string `json:"reason,omitempty"`
	// Change is the id of the last change by an operator, to recognise a repeated request.
	Change core.ChangeID `json:"change,omitempty"`
}

// WaveKey returns the key of a zone's maintenance row.
func WaveKey(zone core.ZoneID) table.Key { return table.Key(table.PrefixWave + "zone/" + string(zone)) }

// Name returns the wave's name, which is stored in the rows of the VMs that it takes
// out of service.
func (w Wave) Name(zone core.ZoneID) string { return fmt.Sprintf("%s/%d", zone, w.Number) }

// WaveRow is a zone's maintenance row as it was read from the table.
type WaveRow struct {
	Zone core.ZoneID
	Wave Wave
	Row  table.Row
}

// DecodeWave decodes a row stored under WaveKey.
func DecodeWave(zone core.ZoneID, row table.Row) (WaveRow, error) {
	r := WaveRow{Zone: zone, Row: row}
	return r, row.Decode(&r.Wave)
}

// OperatorChange identifies an operator's request to plan, start or pause a zone's
// maintenance.
type OperatorChange struct {
	Author string
	Reason string
	Change core.ChangeID
}

// DefaultMaxNotBack is the default of Wave.MaxNotBack.
const DefaultMaxNotBack = 2

// Plan returns the transaction that makes every VM of the zone due by deadline. It
// doesn't start the maintenance. A maxNotBack of 0 means DefaultMaxNotBack.
func Plan(now time.Time, w WaveRow, o OperatorChange, deadline time.Time, maxNotBack int) (table.Transaction, error) {
	if !deadline.After(now) {
		return table.Transaction{}, core.Errorf(core.CodeInvalidSetting, "deadline %s has passed", deadline)
	}
	if maxNotBack < 0 {
		return table.Transaction{}, core.Errorf(core.CodeInvalidSetting, "max_not_back is %d, must be 0 or more", maxNotBack)
	}
	if maxNotBack == 0 {
		maxNotBack = DefaultMaxNotBack
	}
	if w.Wave.Status == Running && w.Wave.Change != o.Change {
		return table.Transaction{}, core.Errorf(core.CodeConflict, "maintenance of zone %q is running; pause it first", w.Zone)
	}
	next := w.Wave
	next.Status, next.PlannedAt, next.Deadline, next.MaxNotBack = Planned, now, deadline, maxNotBack
	return w.applyOnce(next, o)
}

// Start returns the transaction that starts or resumes the zone's maintenance.
func Start(w WaveRow, o OperatorChange) (table.Transaction, error) {
	next := w.Wave
	switch next.Status {
	case Idle, Finished:
		return table.Transaction{}, core.Errorf(core.CodeConflict, "maintenance of zone %q is %s; plan it first", w.Zone, next.Status)
	case Planned, Halted:
		next.Number++
	}
	next.Status = Running
	return w.applyOnce(next, o)
}

// Pause returns the transaction that keeps the zone's maintenance from taking out
// further VMs.
func Pause(w WaveRow, o OperatorChange) (table.Transaction, error) {
	if w.Wave.Status != Running && w.Wave.Change != o.Change {
		return table.Transaction{}, core.Errorf(core.CodeConflict, "maintenance of zone %q is %s, not running", w.Zone, w.Wave.Status)
	}
	next := w.Wave
	next.Status = Paused
	return w.applyOnce(next, o)
}

// applyOnce stores next as the result of change o, unless o was already applied.
func (w WaveRow) applyOnce(next Wave, o OperatorChange) (table.Transaction, error) {
	if o.Change != "" && w.Wave.Change == o.Change {
		return table.Transaction{}, nil
	}
	next.Author, next.Reason, next.Change = o.Author, o.Reason, o.Change
	return w.set(next)
}

func (w WaveRow) set(next Wave) (table.Transaction, error) {
	var t table.Transaction
	t.Check(w.Row)
	return t, t.Set(w.Row.Key, next)
}

// Progress summarises a zone's maintenance for operators.
type Progress struct {
	// Total counts all of the zone's VMs, also those whose rows can't be decoded.
	Total      int `json:"total"`
	Maintained int `json:"maintained"`
	Out        int `json:"out"`
	Failed     int `json:"failed"`
	// NotBack counts the VMs that this wave took out and that did not come back.
	NotBack int `json:"not_back"`
	// Late counts the VMs that are still due after the wave's deadline.
	Late int `json:"late"`
}

// Progress returns the progress of the view's wave.
func (v View) Progress(now time.Time) Progress {
	p := Progress{Total: len(v.VMs) + v.Unreadable}
	waveName := v.Wave.Name(v.Zone)
	for _, r := range v.VMs {
		p.count(now, v.Wave, waveName, &r.VM)
	}
	return p
}

// ProgressOf returns the progress of wave w over vms, the zone's VMs.
func ProgressOf(now time.Time, zone core.ZoneID, w Wave, vms []fleet.VMRow) Progress {
	p := Progress{Total: len(vms)}
	waveName := w.Name(zone)
	for i := range vms {
		p.count(now, w, waveName, &vms[i].VM)
	}
	return p
}

func (p *Progress) count(now time.Time, w Wave, waveName string, vm *fleet.VM) {
	maintained := !vm.LastMaintained.Before(w.PlannedAt)
	switch {
	case vm.State == fleet.Failed:
		p.Failed++
		if vm.Wave == waveName && !maintained {
			p.NotBack++
		}
	case vm.State != fleet.Serving:
		p.Out++
	}
	if maintained {
		p.Maintained++
	} else if now.After(w.Deadline) {
		p.Late++
	}
}
