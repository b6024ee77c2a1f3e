package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/platform/standin"
)

const (
	// meanWaveFaultInterval is the mean time between the starts of two wave faults.
	meanWaveFaultInterval = 1500 * time.Millisecond
	// maxWaves bounds the waves of a run, so that all can be completed within maxSettleTime.
	maxWaves = 3
	// minWaveMachines and maxWaveMachines bound the machines of a wave.
	minWaveMachines, maxWaveMachines = 2, 4
	// maxWaveLimit is the highest limit of a wave.
	maxWaveLimit = 2
	// waveDuration is the period in seconds in which operators request a wave to be completed.
	waveDuration = 30
	// maxListLag bounds how old the list of machines is while it lags.
	maxListLag = 4 * time.Second
	// spareMachines is how many machines may arrive during a run.
	spareMachines = 2
	// machinesPageSize is the number of machines in one page of the list.
	machinesPageSize = 3
)

// waveFaults are the changes of maintenance waves, and the faults of machines and of their list
// that matter to waves. Their order must not change, as seeds select by index.
var waveFaults = []fault{
	{name: "wave", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		return f.beginWave(rng, nil), func() {}
	}},
	{name: "arrival", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		i := slices.IndexFunc(f.spares, func(m *machine) bool { return m.idle() })
		if i < 0 {
			return "none left", func() {}
		}
		m := f.spares[i]
		f.machinesService.Hide(m.id())
		f.arrive(m)
		text := f.beginWave(rng, m)
		if text == "" {
			text = f.rewriteWave(rng, m)
		}
		return m.name + " " + text, func() { f.machinesService.Show(m.id()) }
	}},
	{name: "rewritten_wave", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		return f.rewriteWave(rng, nil), func() {}
	}},
	{name: "lost_entries", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		machines, names := f.waveMachines(rng), ""
		machines = machines[:min(len(machines), 1+rng.IntN(2))]
		for _, m := range machines {
			f.machinesService.Hide(m.id())
			names += m.name + " "
		}
		return names, func() {
			for _, m := range machines {
				f.machinesService.Show(m.id())
			}
		}
	}},
	{name: "list_lag", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		lag := time.Duration(rng.Int64N(int64(maxListLag)))
		f.machinesService.SetLag(lag)
		return lag.Round(time.Millisecond).String(), func() { f.machinesService.SetLag(0) }
	}},
	{name: "late_machine_orders", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		share := 0.3 + 0.5*rng.Float64()
		f.machinesService.DelayOrders(share)
		return fmt.Sprintf("%.2f", share), func() { f.machinesService.DelayOrders(0) }
	}},
	{name: "crash_wave_vm", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		m := f.waveMachines(rng)[0]
		sameID := rng.IntN(2) == 0
		vm, _ := m.currentVM()
		f.crashVM(m, vm)
		return fmt.Sprint(m.name, " same id ", sameID), func() { f.startVM(m, sameID) }
	}},
	{name: "cut_from_machines", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		e := f.entries[rng.IntN(len(f.entries))]
		return breakLink(e.machinesLink, e.name, rng)
	}},
	{name: "departure", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		present := slices.DeleteFunc(slices.Clone(f.spares), func(m *machine) bool { return !m.present() })
		if len(present) == 0 {
			return "none", func() {}
		}
		m := present[rng.IntN(len(present))]
		f.depart(m)
		return m.name, func() {}
	}},
}

// beginWave begins a wave of random machines, with one of them given unless it is nil, and describes
// it. It begins none after maxWaves.
func (f *fleet) beginWave(rng *rand.Rand, with *machine) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.waves) == maxWaves {
		return ""
	}
	var names []job.MachineID
	if with != nil {
		names = append(names, with.id())
	}
	n := minWaveMachines + rng.IntN(maxWaveMachines-minWaveMachines)
	f.waves = append(f.waves, standin.WaveBody{Wave: int64(len(f.waves) + 1)})
	return f.putWave(&f.waves[len(f.waves)-1], f.addRandom(rng, names, n), rng)
}

// rewriteWave replaces the machines of a random wave, with one of the new ones given unless it is
// nil, and describes the wave.
func (f *fleet) rewriteWave(rng *rand.Rand, with *machine) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &f.waves[rng.IntN(len(f.waves))]
	names := slices.Clone(w.Machines)
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	if len(names) == maxWaveMachines || rng.IntN(2) == 0 {
		names = names[1:]
	}
	if with != nil {
		names = append(names, with.id())
	}
	return f.putWave(w, f.addRandom(rng, names, len(names)+1), rng)
}

// addRandom adds random machines until there are n, at most maxWaveMachines.
func (f *fleet) addRandom(rng *rand.Rand, names []job.MachineID, n int) []job.MachineID {
	machines := f.presentMachines()
	rng.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	for _, m := range machines {
		if len(names) < min(n, maxWaveMachines) && !slices.Contains(names, m.id()) {
			names = append(names, m.id())
		}
	}
	return names
}

// putWave writes the row of a wave. f.mu must be held.
func (f *fleet) putWave(w *standin.WaveBody, machines []job.MachineID, rng *rand.Rand) string {
	w.Machines, w.Duration, w.Cap = machines, waveDuration, 1+rng.IntN(maxWaveLimit)
	f.table.Put(standin.WaveRow(w.Wave), w.Encode())
	return fmt.Sprintf("%d of %v, %d at a time", w.Wave, w.Machines, w.Cap)
}

// waveMachines returns the machines of a random wave that haven't left, in random order. Without
// one it returns all machines that haven't.
func (f *fleet) waveMachines(rng *rand.Rand) []*machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.waves[rng.IntN(len(f.waves))]
	all := f.presentMachines()
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if of := slices.DeleteFunc(slices.Clone(all), func(m *machine) bool { return !slices.Contains(w.Machines, m.id()) }); len(of) > 0 {
		return of
	}
	return all
}
