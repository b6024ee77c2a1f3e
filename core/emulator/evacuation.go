package emulator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lavenderpond/core/job"
)

const (
	// evacuationLimit is how long tasks may still start in an availability zone after the
	// request to evacuate it, in runs with faults. evacuationLimitWithoutFaults is the same
	// for other runs.
	evacuationLimit              = 5 * time.Second
	evacuationLimitWithoutFaults = time.Second
	// operatorRetryDelay is the delay before an operator repeats a request that the table
	// did not take.
	operatorRetryDelay = 100 * time.Millisecond
)

// Evacuation is a request of an operator to start no tasks in an availability zone.
type Evacuation struct {
	Zone job.ZoneName
	// At is the time from the end of the lead time to the request.
	// Duration is how long the request stays in force.
	At       time.Duration
	Duration time.Duration
}

// RandomEvacuations returns n random evacuations within a scenario of the given length. They
// may overlap.
func RandomEvacuations(seed uint64, length time.Duration, n int) []Evacuation {
	rng := rand.New(rand.NewPCG(seed, 3))
	var out []Evacuation
	for range n {
		out = append(out, Evacuation{
			Zone: zoneName(rng.IntN(zoneCount)), At: time.Duration(rng.Int64N(int64(length))),
			Duration: time.Second + time.Duration(rng.Int64N(int64(10*time.Second))),
		})
	}
	return out
}

// request stores the request as soon as the table is up. A zone that is evacuated already
// stays so until the first request for it is withdrawn.
func (e Evacuation) request(w *World) {
	if w.table.down {
		w.after(operatorRetryDelay, func() { e.request(w) })
		return
	}
	w.tracef("zone %s is evacuated for %s", e.Zone, e.Duration)
	if _, known := w.evacuated[e.Zone]; !known {
		w.evacuated[e.Zone] = w.now
	}
	w.after(e.Duration, func() { e.withdraw(w) })
}

// withdraw takes back the request as soon as the table is up.
func (e Evacuation) withdraw(w *World) {
	if w.table.down {
		w.after(operatorRetryDelay, func() { e.withdraw(w) })
		return
	}
	w.tracef("evacuation of zone %s ends", e.Zone)
	delete(w.evacuated, e.Zone)
}

// evacuatedZones returns the zones in which no task may start, in order.
func (w *World) evacuatedZones() []job.ZoneName { return slices.Sorted(maps.Keys(w.evacuated)) }
