package lease

import "time"

// Observation is the state of the owner according to one read of the table.
type Observation struct {
	// Sent and Received are when the read was sent and when its answer arrived.
	Sent, Received time.Time
	// Owner and Renewal are the versions of the owner's rows; 0 if a row doesn't exist.
	Owner, Renewal uint64
	// Vacant is set if the owner has given up the ownership.
	Vacant bool
	// PreviousRun is set if the owner is a previous run of this process.
	PreviousRun bool
	// Resumed is set if the owner took over from a previous run of its own process.
	Resumed bool
	// Tenure is the time from the owner's takeover to this read.
	Tenure time.Duration
}

// keepsFailing reports whether two runs of this process in a row have ended as the owner, the last one
// soon after it took over.
func (o *Observation) keepsFailing() bool {
	return o.PreviousRun && o.Resumed && !o.Vacant && o.Tenure < shortTenure
}

// shortTenure is the tenure up to which the end of the owner's process may be due to the takeover.
const shortTenure = time.Minute

// failingOwnerDelay is how much longer a process waits whose runs keep ending as the owner, so that each
// other process is first. It would otherwise keep the ownership for good.
const failingOwnerDelay = 3 * time.Second

// lowCapacityDelay is how much longer an entry VM with low capacity waits before it takes
// over. It covers two reads by an entry VM with enough capacity, which are 300 ms apart, and
// that VM's takeover attempt.
const lowCapacityDelay = 700 * time.Millisecond

// lowMemoryDelay is how much longer an entry VM waits that has less memory than the owner needs. In
// that time an entry VM of low capacity takes over too if it has the memory.
const lowMemoryDelay = 3 * time.Second

// Watcher follows the owner's renewals and decides when to take over. The zero value is
// ready to use.
type Watcher struct {
	// LowCapacity is set on an entry VM that has too little processor time to own a large
	// fleet. It leaves the takeover to an entry VM with enough capacity, if there is one: an
	// owner that is too slow keeps renewing its ownership but answers no calls in time.
	LowCapacity bool
	// LowMemory is set while this entry VM has less memory than the present owner needs.
	LowMemory bool

	owner, renewal uint64
	takeoverAt     time.Time
}

// TakeoverDue processes an observation and reports whether to attempt a takeover. The
// attempt must require both versions to be unchanged, so that a renewal made in the meantime
// prevents the takeover.
func (w *Watcher) TakeoverDue(o Observation) bool {
	failing := o.keepsFailing()
	unowned := o.Owner == 0 || o.Vacant || (o.PreviousRun && !failing)
	if unowned && !w.LowCapacity && !w.LowMemory {
		return true
	}
	if o.Owner != w.owner || o.Renewal != w.renewal || w.takeoverAt.IsZero() {
		w.owner, w.renewal = o.Owner, o.Renewal
		w.takeoverAt = o.Received.Add(w.waitPeriod(unowned, failing))
		return false
	}
	return !o.Sent.Before(w.takeoverAt)
}

// waitPeriod returns how long the owner's rows must remain unchanged before a takeover.
func (w *Watcher) waitPeriod(unowned, failing bool) time.Duration {
	d := time.Duration(0)
	if !unowned {
		d += takeoverSilence
	}
	if w.LowCapacity {
		d += lowCapacityDelay
	}
	if w.LowMemory {
		d += lowMemoryDelay
	}
	if failing {
		d += failingOwnerDelay
	}
	return d
}
