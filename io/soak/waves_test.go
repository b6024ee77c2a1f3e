package soak

import (
	"fmt"
	"testing"

	"lavenderpond/core/job"
	"lavenderpond/platform"
	"lavenderpond/platform/standin"
)

// newWaveChecker returns a checker with the machines a, b and c, of which a and b are in wave 7 with
// limit 1.
func newWaveChecker() *Checker {
	c := NewChecker()
	for _, id := range []job.MachineID{"a", "b", "c"} {
		c.MachineArrived(id)
	}
	define(c, 1, "a", "b")
	return c
}

// define puts the row of wave 7.
func define(c *Checker, limit int, machines ...job.MachineID) {
	c.RowChanged(platform.Row{RowKey: standin.WaveRow(7), Value: standin.WaveBody{Wave: 7, Machines: machines, Cap: limit}.Encode()})
}

// show writes the status row of wave 7.
func show(c *Checker, state string) {
	k := platform.RowKey{Table: platform.StatusTable, Key: standin.WaveRow(7).Key}
	c.RowChanged(platform.Row{RowKey: k, Value: fmt.Appendf(nil, `{"state":%q}`, state)})
}

// maintain begins and ends the maintenance of a machine for wave 7.
func maintain(c *Checker, id job.MachineID) {
	c.MaintenanceBegan(id, 7)
	c.MaintenanceEnded(id)
}

// Guards against a wave that is shown as completed without one of its machines.
func TestCompletedWaveIsMissingAMachine(t *testing.T) {
	for name, test := range map[string]struct {
		play func(c *Checker)
		want []string
	}{
		"all begun":     {play: func(c *Checker) { maintain(c, "b") }},
		"one missing":   {play: func(*Checker) {}, want: []string{"MIXED: wave 7"}},
		"left":          {play: func(c *Checker) { c.MachineLeft("b") }},
		"never existed": {play: func(c *Checker) { define(c, 1, "a", "x") }},
		"removed":       {play: func(c *Checker) { define(c, 1, "a") }},
		"added":         {play: func(c *Checker) { maintain(c, "b"); define(c, 1, "a", "b", "c") }, want: []string{"maintenance of c"}},
		"other wave":    {play: func(c *Checker) { c.MaintenanceBegan("b", 8) }, want: []string{"LIMIT", "maintenance of b hasn't"}},
	} {
		t.Log(name)
		c := newWaveChecker()
		show(c, "running")
		maintain(c, "a")
		test.play(c)
		show(c, "completed")
		show(c, "completed")
		assertViolations(t, c, test.want...)
	}
}

// Guards against more machines in maintenance than the wave's limit allows.
func TestMaintenanceExceedsLimit(t *testing.T) {
	c := newWaveChecker()
	c.MaintenanceBegan("a", 7)
	c.MaintenanceBegan("b", 7)
	assertViolations(t, c, "LIMIT: maintenance of b begins while 1 machines of wave 7")
	c.MaintenanceEnded("a")
	c.MaintenanceEnded("b")
	define(c, 2, "a", "b", "c")
	define(c, 1, "a", "b", "c")
	c.MaintenanceBegan("a", 7)
	c.MaintenanceBegan("b", 7)
	assertViolations(t, c, "LIMIT")
}

// Guards against a run that ends before its waves are completed.
func TestUncompletedWaveIsUnfinished(t *testing.T) {
	c := newWaveChecker()
	show(c, "running")
	maintain(c, "a")
	maintain(c, "b")
	c.Finish()
	assertViolations(t, c, `wave 7 is shown as "running"`)
	show(c, "completed")
	define(c, 1, "a", "b", "c")
	c.Finish()
	assertViolations(t, c, `wave 7 is shown as "running"`, "maintenance of [c] hasn't begun")
}
