// Package maintenance decides which VMs are taken out of service next, and what
// each VM that is out needs next.
//
// Planners stand in sub-packages behind the Planner interface: spread is what
// the daemon runs, fixed is the naive baseline that measurements compare with.
package maintenance

import (
	"fmt"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
)

// Status is what a zone's maintenance is doing.
type Status int

// The statuses of maintenance. Only Running takes VMs out for maintenance.
const (
	// Idle: nothing is planned.
	Idle Status = iota
	// Planned: waits for an operator's start.
	Planned
	Running
	// Paused by an operator. Drains under way are finished, none is begun.
	Paused
	// Halted by itself: VMs did not come back. Waits for an operator.
	Halted
	// Finished: every VM of the zone was maintained.
	Finished
)

var statusNames = [...]string{"idle", "planned", "running", "paused", "halted", "finished"}

// String returns the status's name, as rows and commands show it.
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

// Wave is the row of a zone's maintenance.
type Wave struct {
	Status Status `json:"status"`
	// Number counts the starts, so that VMs that did not come back in a wave that
	// halted don't count against the next one.
	Number int `json:"number"`
	// Began is when the maintenance was planned: VMs that were last maintained
	// before it are due.
	Began time.Time `json:"began,omitzero"`
	// Deadline is when every VM must have been maintained.
	Deadline time.Time `json:"deadline,omitzero"`
	// MaxNotBack is how many VMs may fail to come back; one more halts the wave.
	MaxNotBack int `json:"max_not_back"`
	// Author planned, started or paused it last.
	Author string `json:"author,omitempty"`
	// Reason says why it is paused or halted.
	Reason string `json:"reason,omitempty"`
	// Change is the last operator's change, to recognise a repeated one.
	Change core.ChangeID `json:"change,omitempty"`
}

// WaveKey returns the row of a zone's maintenance.
func WaveKey(zone core.ZoneID) table.Key { return table.Key(table.PrefixWave + "zone/" + string(zone)) }

// Name names the wave in the rows of the VMs that it takes out.
func (w Wave) Name(zone core.ZoneID) string { return fmt.Sprintf("%s/%d", zone, w.Number) }

// WaveRow is a zone's maintenance as read.
type WaveRow struct {
	Zone core.ZoneID
	Wave Wave
	Row  table.Row
}

// DecodeWave reads a row of WaveKey.
func DecodeWave(zone core.ZoneID, row table.Row) (WaveRow, error) {
	r := WaveRow{Zone: zone, Row: row}
	return r, row.Decode(&r.Wave)
}

// OperatorChange is an operator's change of a zone's maintenance.
type OperatorChange struct {
	Author string
	Reason string
	Change core.ChangeID
}

// DefaultMaxNotBack is how many VMs may stay away before a wave halts.
const DefaultMaxNotBack = 2

// Plan makes every VM of the zone due by deadline. It starts nothing. A
// maxNotBack of 0 means DefaultMaxNotBack.
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
	next.Status, next.Began, next.Deadline, next.MaxNotBack = Planned, now, deadline, maxNotBack
	return w.applyOnce(next, o)
}

// Start starts or resumes the zone's maintenance.
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

// Pause stops the zone's maintenance from taking out further VMs.
func Pause(w WaveRow, o OperatorChange) (table.Transaction, error) {
	if w.Wave.Status != Running && w.Wave.Change != o.Change {
		return table.Transaction{}, core.Errorf(core.CodeConflict, "maintenance of zone %q is %s, not running", w.Zone, w.Wave.Status)
	}
	next := w.Wave
	next.Status = Paused
	return w.applyOnce(next, o)
}

// applyOnce stores next as o's change, once.
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

// Progress sums up a zone's maintenance for operators.
type Progress struct {
	Total      int `json:"total"`
	Maintained int `json:"maintained"`
	Out        int `json:"out"`
	Failed     int `json:"failed"`
	// NotBack counts the VMs of this wave that did not come back.
	NotBack int `json:"not_back"`
	// Late counts VMs that are due and whose deadline has passed.
	Late int `json:"late"`
}

// Progress counts the VMs of the view.
func (v View) Progress(now time.Time) Progress {
	p := Progress{Total: len(v.VMs)}
	name := v.Wave.Name(v.Zone)
	for _, r := range v.VMs {
		p.count(now, v.Wave, name, &r.VM)
	}
	return p
}

// ProgressOf counts the zone's VMs.
func ProgressOf(now time.Time, zone core.ZoneID, w Wave, vms []fleet.VMRow) Progress {
	p := Progress{Total: len(vms)}
	name := w.Name(zone)
	for i := range vms {
		p.count(now, w, name, &vms[i].VM)
	}
	return p
}

func (p *Progress) count(now time.Time, w Wave, name string, vm *fleet.VM) {
	maintained := !vm.LastMaintained.Before(w.Began)
	switch {
	case vm.State == fleet.Failed:
		p.Failed++
		if vm.Wave == name && !maintained {
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
