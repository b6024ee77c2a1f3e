package emulator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lavenderpond/core/job"
)

const (
	// evacuationLimit bounds the starts in an evacuated availability zone on days with
	// faults, evacuateCalmly on others.
	evacuationLimit              = 5 * time.Second
	evacuationLimitWithoutFaults = time.Second
	// operatorRetryDelay is the pause before an operator repeats a refused request.
	operatorRetryDelay = 100 * time.Millisecond
)

// Evacuation is an operator's request that nothing start in an availability zone.
type Evacuation struct {
	Zone job.ZoneName
	// At counts from the first caller.
	At  time.Duration
	For time.Duration
}

// RandomEvacuations draws evacuations for a day of the length; they may overlap.
func RandomEvacuations(seed uint64, length time.Duration, n int) []Evacuation {
	rng := rand.New(rand.NewPCG(seed, 3))
	var out []Evacuation
	for range n {
		out = append(out, Evacuation{
			Zone: zoneName(rng.IntN(zoneCount)), At: time.Duration(rng.Int64N(int64(length))),
			For: time.Second + time.Duration(rng.Int64N(int64(10*time.Second))),
		})
	}
	return out
}

// request stores the request, once the table takes it. A zone that is evacuated already
// stays so until the first request for it is taken back.
func (e Evacuation) request(w *World) {
	if w.table.down {
		w.after(operatorRetryDelay, func() { e.request(w) })
		return
	}
	w.tracef("zone %s is evacuated for %s", e.Zone, e.For)
	if _, known := w.evacuated[e.Zone]; !known {
		w.evacuated[e.Zone] = w.now
	}
	w.after(e.For, func() { e.withdraw(w) })
}

func (e Evacuation) withdraw(w *World) {
	if w.table.down {
		w.after(operatorRetryDelay, func() { e.withdraw(w) })
		return
	}
	w.tracef("zone %s is open again", e.Zone)
	delete(w.evacuated, e.Zone)
}

func (w *World) evacuatedZones() []job.ZoneName { return slices.Sorted(maps.Keys(w.evacuated)) }
