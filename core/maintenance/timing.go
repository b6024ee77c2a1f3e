package maintenance

import "time"

// Timing bounds the steps of a stop. Zero fields mean the defaults. Rows store
// the deadlines that follow from it.
type Timing struct {
	// MaxViewAge is how long an entry in contact with the table may take to act on a
	// changed row.
	MaxViewAge time.Duration
	// DrainTimeout is how long a drain may stay busy before it is withdrawn.
	DrainTimeout time.Duration
	// HoldDuration is how long a VM that is told to refuse new work does so, unless told
	// again.
	HoldDuration time.Duration
	// RebootWindow is how long after the stop a reboot may be asked for.
	RebootWindow time.Duration
	// ReturnTimeout is how long a VM may take to come back.
	ReturnTimeout time.Duration
	// VerifyDuration is how long a VM must be up before it serves.
	VerifyDuration time.Duration
	// MaxListLag is how old the list of live VMs may be when it is used.
	MaxListLag time.Duration
	// MaxClockSkew bounds the difference between clocks, and a reboot's way to the platform.
	MaxClockSkew time.Duration
	// MaintenanceInterval is how long after a maintenance the next one is due.
	MaintenanceInterval time.Duration
}

// The defaults of Timing.
const (
	DefaultMaxViewAge          = 5 * time.Second
	DefaultDrainTimeout        = 4 * time.Hour
	DefaultHoldDuration        = 2 * time.Minute
	DefaultRebootWindow        = 30 * time.Second
	DefaultReturnTimeout       = 10 * time.Minute
	DefaultVerifyDuration      = 10 * time.Second
	DefaultMaxListLag          = 2 * time.Minute
	DefaultMaxClockSkew        = 5 * time.Second
	DefaultMaintenanceInterval = 7 * 7 * 24 * time.Hour
)

func (t Timing) withDefaults() Timing {
	for _, f := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&t.MaxViewAge, DefaultMaxViewAge}, {&t.DrainTimeout, DefaultDrainTimeout}, {&t.HoldDuration, DefaultHoldDuration},
		{&t.RebootWindow, DefaultRebootWindow}, {&t.ReturnTimeout, DefaultReturnTimeout},
		{&t.VerifyDuration, DefaultVerifyDuration}, {&t.MaxListLag, DefaultMaxListLag}, {&t.MaxClockSkew, DefaultMaxClockSkew}, {&t.MaintenanceInterval, DefaultMaintenanceInterval},
	} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	return t
}
