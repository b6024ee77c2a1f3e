package platform

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/fleet"
)

// now is the controllers' clock. Its second reading after a status query is the one right
// before a reboot is sent.
func (s *zoneSimulation) now() time.Time {
	s.clockReadsSinceStatus++
	if s.clockReadsSinceStatus == 2 {
		s.pauseAt("decided", s.lastStatusVM)
	}
	return s.world.Now
}

// pauseAt pauses the controller for ten minutes if the test asks for it at this point. The
// other controller continues meanwhile. At the end, vm gets a task.
func (s *zoneSimulation) pauseAt(point string, vm fleet.Ref) {
	if s.pauseWhen == nil || s.paused || vm.VM == "" || !s.pauseWhen(point, vm) {
		return
	}
	s.pauseWhen, s.paused = nil, true
	for range 120 {
		s.advance()
		s.tick(1 - s.active)
	}
	s.paused = false
	s.world.Dispatch(vm, time.Minute)
}

// A reboot that was decided ten minutes ago must not cut off a request that runs on the VM
// now. A controller is paused between the decision and the request, or the request takes
// that long to arrive. Meanwhile, another controller reboots the VM and returns it to
// service. Reading the clock right before the request prevents the first case. The
// platform's check of the fence and the deadline prevents both.
func TestLateReboot(t *testing.T) {
	for _, c := range []struct {
		name, point                 string
		skipDeadlineCheck, unfenced bool
		cut                         int
	}{
		{"decided, all safeguards", "decided", false, false, 0},
		{"decided, platform accepts late requests", "decided", false, true, 0},
		{"decided, clock not checked", "decided", true, false, 0},
		{"decided, neither", "decided", true, true, 1},
		{"sent, all safeguards", "sent", false, false, 0},
		{"sent, platform accepts late requests", "sent", false, true, 1},
	} {
		s := newZoneSimulation(t, 1, faults{})
		s.world.Unfenced = c.unfenced
		for _, controller := range s.controllers {
			controller.skipDeadlineCheck = c.skipDeadlineCheck
		}
		paused := false
		s.pauseWhen = func(point string, vm fleet.Ref) bool {
			paused = point == c.point && s.world.Row(vm).VM.State == fleet.Stopped
			return paused
		}
		for n := 0; n < 200 && s.pauseWhen != nil; n++ {
			s.advance()
			s.tick(0)
		}
		assert.Assert(t, paused, c.name)
		_ = s.controllers[0].Tick(context.Background())
		assert.Equal(t, len(s.world.Interruptions), c.cut, c.name)
	}
}
