package emulator

import "time"

// drainedRestart is how long after a VM has left its machine starts another.
const drainedRestart = time.Second

// drainVM announces that a VM leaves after d, when everything that runs on it ends.
func (w *World) drainVM(v *vm, d time.Duration) {
	if !v.up || v.draining {
		return
	}
	v.draining, v.leavesAt = true, w.now.Add(d)
	w.table.putVM(v)
	w.after(d, func() {
		if !v.up {
			return
		}
		w.checker.vmLeft(v)
		v.terminate()
		w.table.dropVM(v.id)
		m := v.machine
		w.after(drainedRestart, func() {
			if m.vm == v && !m.removed {
				w.startVM(m, "")
			}
		})
	})
}

// vmLeft checks that no long-running task is lost with a VM that has announced that it leaves, unless the
// fleet was disturbed.
func (c *checker) vmLeft(v *vm) {
	if c.w.now.Sub(c.disturbances.end()) <= undisturbedPeriod {
		return
	}
	for _, r := range v.runs {
		if r.longRunning {
			c.violationf("%v is lost with %s, which has drained", r.task, v.id)
		}
	}
}
