package maintenance

import "time"

// Timing bounds the steps of a stop. Zero fields mean the defaults. Rows store
// the deadlines that follow from it.
type Timing struct {
	// ViewAge is how long an entry in contact with the table may take to act on a
	// changed row.
	ViewAge time.Duration
	// DrainFor is how long a drain may stay busy before it is withdrawn.
	DrainFor time.Duration
	// Hold is how long a VM that is told to refuse new work does so, unless told
	// again.
	Hold time.Duration
	// RebootWithin is how long after the stop a reboot may be asked for.
	RebootWithin time.Duration
	// BackWithin is how long a VM may take to come back.
	BackWithin time.Duration
	// VerifyFor is how long a VM must be up before it serves.
	VerifyFor time.Duration
	// ListLag is how old the list of live VMs may be when it is used.
	ListLag time.Duration
	// Skew bounds the difference between clocks, and a reboot's way to the platform.
	Skew time.Duration
	// Cycle is how long after a maintenance the next one is due.
	Cycle time.Duration
}

// The defaults of Timing.
const (
	DefaultViewAge      = 5 * time.Second
	DefaultDrainFor     = 4 * time.Hour
	DefaultHold         = 2 * time.Minute
	DefaultRebootWithin = 30 * time.Second
	DefaultBackWithin   = 10 * time.Minute
	DefaultVerifyFor    = 10 * time.Second
	DefaultListLag      = 2 * time.Minute
	DefaultSkew         = 5 * time.Second
	DefaultCycle        = 7 * 7 * 24 * time.Hour
)

func (t Timing) withDefaults() Timing {
	for _, f := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&t.ViewAge, DefaultViewAge}, {&t.DrainFor, DefaultDrainFor}, {&t.Hold, DefaultHold},
		{&t.RebootWithin, DefaultRebootWithin}, {&t.BackWithin, DefaultBackWithin},
		{&t.VerifyFor, DefaultVerifyFor}, {&t.ListLag, DefaultListLag}, {&t.Skew, DefaultSkew}, {&t.Cycle, DefaultCycle},
	} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	return t
}
