package maintenance

import "time"

// Timing configures the durations of a planned stop. A zero field means its
// default. VM rows store the deadlines computed from it.
type Timing struct {
	// MaxViewAge bounds how long an entry that can reach the table takes to act on
	// a changed row.
	MaxViewAge time.Duration
	// DrainTimeout is how long a VM may drain before its permit is withdrawn.
	DrainTimeout time.Duration
	// HoldDuration is how long a VM refuses new work after it was told to refuse it. Each
	// further message extends the period.
	HoldDuration time.Duration
	// RebootWindow is how long after the stop a reboot may be requested.
	RebootWindow time.Duration
	// ReturnTimeout is how long a VM may take to come back before it counts as failed.
	ReturnTimeout time.Duration
	// VerifyDuration is how long a VM must stay in Verifying before it serves again.
	VerifyDuration time.Duration
	// MaxListLag bounds the age of the platform's list of live VMs when it is used.
	MaxListLag time.Duration
	// MaxClockSkew bounds the difference between clocks plus the time that a reboot
	// request takes to reach the platform.
	MaxClockSkew time.Duration
	// MaintenanceInterval is the time from a VM's maintenance to the deadline of its
	// next one.
	MaintenanceInterval time.Duration
}

// Defaults of the Timing fields.
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
