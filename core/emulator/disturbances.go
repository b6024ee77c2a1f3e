package emulator

import "time"

// disturbances records until when faults, and crashes that tasks cause, disturb the fleet.
type disturbances struct {
	// until is the end of all disturbances other than a lost owner, ownerLostUntil the end of
	// those.
	until, ownerLostUntil time.Time
}

// faultBegan records the disturbance by a fault. The loss of VMs for good disturbs the fleet
// only at the moment of the loss.
func (d *disturbances) faultBegan(now time.Time, f Fault) {
	switch f.Kind {
	case KillOwner, StopOwner:
		extend(&d.ownerLostUntil, now.Add(f.Duration))
	case VMsLost:
		extend(&d.until, now)
	case VMsDrain:
		// It is announced.
	default:
		extend(&d.until, now.Add(f.Duration))
	}
}

// vmCrashed records that a task has crashed a VM, whose machine starts a new one after downtime.
func (d *disturbances) vmCrashed(now time.Time, downtime time.Duration) {
	extend(&d.until, now.Add(downtime))
}

// machineRemoved records that a machine was removed for good, which disturbs the fleet only then.
func (d *disturbances) machineRemoved(now time.Time) { extend(&d.until, now) }

// ownerTookOver ends the disturbance by a lost owner. A takeover for other reasons is not a
// disturbance.
func (d *disturbances) ownerTookOver(now time.Time) {
	if d.ownerLostUntil.After(now) {
		d.ownerLostUntil = now
	}
}

// end returns when the fleet was last disturbed. It is in the future during a disturbance.
func (d *disturbances) end() time.Time {
	end := d.until
	extend(&end, d.ownerLostUntil)
	return end
}

// extend moves t to the given time if that is later.
func extend(t *time.Time, to time.Time) {
	if to.After(*t) {
		*t = to
	}
}
