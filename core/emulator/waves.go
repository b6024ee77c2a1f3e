package emulator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
)

// Waves configures what happens to maintenance waves and their machines. Its zero value changes
// nothing.
type Waves struct {
	// Arrivals is the number of machines that arrive during the run. With each of them a wave begins
	// that names it.
	Arrivals int
	// Removals is the number of machines of waves that are removed for good.
	Removals int
	// Rewrites is how often each wave is requested again with other machines and another limit: at a
	// random time, after a takeover or when its last maintenance has begun.
	Rewrites int
	// FeedLag bounds the time until an owner sees the request of a wave.
	FeedLag time.Duration
	// StatusDelay bounds the time until a status that an owner publishes is stored.
	StatusDelay time.Duration
	// LateOrderMax bounds when a maintenance order that got no answer is executed. With 0, such an
	// order is executed immediately or not at all.
	LateOrderMax time.Duration
}

const (
	// arrivalWaveFrom is the number of the wave of the first machine that arrives, and
	// arrivalWaveMachines is how many machines it names.
	arrivalWaveFrom     = 101
	arrivalWaveMachines = 3
	// maxWaveLimit is the highest limit of a wave that is requested again.
	maxWaveLimit = 3
	// keptShare is the share of the machines that stay in a wave that is requested again.
	keptShare = 0.7
	// rewriteDelay bounds the time from a takeover to the rewrite of a wave.
	rewriteDelay = 500 * time.Millisecond
	// limitGracePeriod is how long the former limit of a wave may still count once every owner has
	// seen the new one and late orders are executed.
	limitGracePeriod = 5 * time.Second
)

// waveRequest is a version of the operators' row of a wave.
type waveRequest struct {
	job.Wave
	at time.Time
}

// waveRequests are the operators' rows of waves.
type waveRequests struct {
	Waves
	w   *World
	rng *rand.Rand
	// versions has all versions of each wave, the one in force last.
	versions map[int64][]waveRequest
	// rewritesLeft counts how often each wave is still to be rewritten, at most until rewritesEnd.
	rewritesLeft map[int64]int
	// completed has the revision of each wave that was said to be completed.
	completed   map[int64]job.WaveRevision
	rewritesEnd time.Time
	machines    int
}

func newWaveRequests(w *World, sc Scenario) *waveRequests {
	r := &waveRequests{
		Waves: sc.Waves, w: w, rng: rand.New(rand.NewPCG(sc.Seed, 9)), versions: map[int64][]waveRequest{}, rewritesLeft: map[int64]int{}, completed: map[int64]job.WaveRevision{},
		rewritesEnd: epoch.Add(leadTime + sc.Length), machines: sc.WaveMachines,
	}
	for i := range sc.Waves.Arrivals {
		w.at(leadTime+randomDuration(r.rng, 0, sc.Length), func() { r.machineArrives(i) })
	}
	for range sc.Waves.Removals {
		w.at(leadTime+2*time.Second+randomDuration(r.rng, 0, sc.Length), r.removeMachine)
	}
	return r
}

// inForce returns the definition of a wave that is in force.
func (r *waveRequests) inForce(number int64) job.Wave {
	v := r.versions[number]
	if len(v) == 0 {
		return job.Wave{}
	}
	return v[len(v)-1].Wave
}

// numbers returns the numbers of all waves in order.
func (r *waveRequests) numbers() []int64 { return slices.Sorted(maps.Keys(r.versions)) }

// request writes the operators' row of a wave.
func (r *waveRequests) request(wave job.Wave) {
	_, known := r.versions[wave.Number]
	wave.Revision = job.WaveRevision(len(r.versions[wave.Number]) + 1)
	v := waveRequest{Wave: wave, at: r.w.now}
	r.versions[wave.Number] = append(r.versions[wave.Number], v)
	for _, e := range r.w.entryVMs {
		if o := e.owner; o != nil && o.scheduler != nil {
			r.pass(o, v)
		}
	}
	if !known && r.Rewrites > 0 {
		r.rewritesLeft[wave.Number] = r.Rewrites
		r.rewriteWithin(wave.Number, r.rewritesEnd.Sub(r.w.now))
	}
}

// pass passes a version to an owner once the owner sees it.
func (r *waveRequests) pass(o *owner, v waveRequest) {
	visibleAt := v.at
	if r.FeedLag > 0 {
		visibleAt = v.at.Add(randomDuration(r.rng, 0, r.FeedLag))
	}
	if !visibleAt.After(r.w.now) {
		o.scheduler.AddWave(r.w.now, v.Wave, o.storedWaves[v.Number])
		return
	}
	r.w.after(visibleAt.Sub(r.w.now), func() {
		o.entryVM.callIfRunning(o.run, func() {
			if !o.ended {
				o.scheduler.AddWave(r.w.now, v.Wave, o.storedWaves[v.Number])
			}
		})
	})
}

// restore passes all waves to a new owner. It sees at first the latest version that is old enough.
func (r *waveRequests) restore(o *owner) {
	for _, number := range r.numbers() {
		versions := r.versions[number]
		if r.FeedLag == 0 {
			versions = versions[len(versions)-1:]
		}
		for _, v := range versions {
			r.pass(o, v)
		}
	}
}

// rewriteWithin rewrites a wave at a random time within d, if it is still to be rewritten.
func (r *waveRequests) rewriteWithin(number int64, d time.Duration) {
	r.w.after(randomDuration(r.rng, 0, d), func() { r.rewrite(number) })
}

// rewrite requests a wave again, with some of its machines, some others and another limit.
func (r *waveRequests) rewrite(number int64) {
	if r.rewritesLeft[number] == 0 || r.w.now.After(r.rewritesEnd) {
		return
	}
	r.rewritesLeft[number]--
	former := r.inForce(number)
	wave := former
	wave.Machines, wave.MaxConcurrent = nil, 1+r.rng.IntN(maxWaveLimit)
	for _, id := range former.Machines {
		if r.rng.Float64() < keptShare {
			wave.Machines = append(wave.Machines, id)
		}
	}
	for _, i := range r.rng.Perm(len(r.w.machines)) {
		if id := r.w.machines[i].id; len(wave.Machines) < r.machines && !slices.Contains(former.Machines, id) {
			wave.Machines = append(wave.Machines, id)
		}
	}
	r.w.tracef("wave %d is rewritten: limit %d, machines %v", number, wave.MaxConcurrent, wave.Machines)
	r.w.checker.waveRewritten(number)
	r.request(wave)
}

// ownerTookOver rewrites a random wave right after a takeover.
func (r *waveRequests) ownerTookOver() {
	if numbers := r.numbers(); r.Rewrites > 0 && len(numbers) > 0 {
		r.rewriteWithin(numbers[r.rng.IntN(len(numbers))], rewriteDelay)
	}
}

// maintenanceStarted rewrites a wave about when it is completed, once the last of its maintenance has
// begun.
func (r *waveRequests) maintenanceStarted(number int64) {
	if r.rewritesLeft[number] > 0 && len(r.w.checker.notBegun(number)) == 0 {
		r.rewriteWithin(number, maintenancePeriod+r.FeedLag+r.StatusDelay)
	}
}

// publish stores the status of a wave after a delay.
func (r *waveRequests) publish(c schedule.PublishWave) {
	if r.StatusDelay == 0 {
		r.storeStatus(c)
		return
	}
	r.w.after(randomDuration(r.rng, 0, r.StatusDelay), func() { r.storeStatus(c) })
}

// storeStatus stores the status of a wave while its definition is in force. It never goes back from
// completed under one definition.
func (r *waveRequests) storeStatus(c schedule.PublishWave) {
	if c.Revision != r.inForce(c.Wave).Revision || r.completed[c.Wave] == c.Revision {
		return
	}
	if c.State == job.WaveCompleted {
		r.completed[c.Wave] = c.Revision
	}
	r.w.checker.wavePublished(c.Wave, c.State)
}

// executeLate carries out an order for maintenance that got no answer, at a random time.
func (r *waveRequests) executeLate(id job.MachineID, wave int64, f job.Fence) {
	if r.LateOrderMax > 0 {
		r.w.after(randomDuration(r.rng, 0, r.LateOrderMax), func() { r.w.executeLate(id, wave, f) })
	}
}

// machineArrives adds a machine to a pool, and requests a wave that names it.
func (r *waveRequests) machineArrives(i int) {
	pool := []job.PoolName{poolOne, poolTwo}[i%2]
	m := &machine{
		id: job.MachineID(fmt.Sprintf("m-%s-new-%02d", pool, i)), pool: pool, zone: zoneName(i),
		rack: job.Label(fmt.Sprintf("r%s-new", zoneName(i))), state: job.MachineUp, slowdown: 1,
	}
	wave := job.Wave{Number: arrivalWaveFrom + int64(i), MaxConcurrent: 2, Within: 30 * time.Second, Machines: []job.MachineID{m.id}}
	for _, k := range r.rng.Perm(len(r.w.machines))[:arrivalWaveMachines-1] {
		wave.Machines = append(wave.Machines, r.w.machines[k].id)
	}
	r.w.tracef("%s arrives, wave %d begins", m.id, wave.Number)
	r.w.lists.arrived(m.id)
	r.w.machines = append(r.w.machines, m)
	r.w.startVM(m, "")
	r.request(wave)
}

// removeMachine removes a random machine of a wave for good.
func (r *waveRequests) removeMachine() {
	var named []*machine
	for _, m := range r.w.machines {
		if slices.ContainsFunc(r.numbers(), func(n int64) bool { return slices.Contains(r.inForce(n).Machines, m.id) }) {
			named = append(named, m)
		}
	}
	if len(named) > 0 {
		r.w.removeMachine(named[r.rng.IntN(len(named))])
	}
}

// maxConcurrent returns the highest limit of a wave that an owner may still apply, with the orders that
// it has sent.
func (r *waveRequests) maxConcurrent(number int64) int {
	limit := 0
	for i, v := range r.versions[number] {
		replaced := i+1 < len(r.versions[number])
		if replaced && r.w.now.Sub(r.versions[number][i+1].at) > r.FeedLag+r.LateOrderMax+limitGracePeriod {
			continue
		}
		limit = max(limit, v.MaxConcurrent)
	}
	return limit
}
