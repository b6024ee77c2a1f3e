package admission

import (
	"slices"
	"time"

	"lavenderpond/core/job"
)

const (
	// maxForecastAge is the age from which a forecast isn't used. An entry VM with low
	// capacity reads it every 450 ms, so two reads may fail.
	maxForecastAge = 1500 * time.Millisecond
	// maxPending bounds how long an admitted job counts as unseen by the owner.
	maxPending = 3 * time.Second
	// maxReadDelay is the usual age of a forecast when it is read.
	maxReadDelay = 450 * time.Millisecond
	// arrivalGrowth is the largest growth of the arrival rate between two forecasts at which no
	// more is admitted than there is room for.
	arrivalGrowth = 2
	// arrivalHorizon is the time whose arrivals count as work before a job that can't be in
	// time. Bursts may end at any moment, so it is short.
	arrivalHorizon = time.Second
	// predictionError is how much sooner than predicted a job may be complete. Run times vary, and
	// machines arrive that no pool has been given yet.
	predictionError = 1.25
)

// Controller decides for one entry VM. The zero value has no forecast and admits every job.
//
// Between two forecasts each entry VM counts the work that it has admitted itself as often as
// there are entry VMs, up to twice the work that arrives by the forecast. If the room that is left
// fits an amount of work, all entry VMs together admit at most that, plus one job each, unless the
// arrivals more than double before the next forecast is read.
type Controller struct {
	forecast Forecast
	// seenAt is when the forecast was first read.
	seenAt time.Time
	// ageKnown is set once a second forecast of the same owner was read. The first one may
	// have been written long before.
	ageKnown bool
	pending  []pendingJob
}

// pendingJob is a job that this entry VM admitted and that the owner may not know yet.
type pendingJob struct {
	id          job.ID
	pool        job.PoolName
	work        CoreSeconds
	beyondShare bool
	priority    int
	expires     time.Time
	// version is that of the job's row, or 0 until it is stored.
	version uint64
}

// Update takes a forecast that was read at now. owner is the run ID of the present owner; a
// forecast of another process isn't used.
func (c *Controller) Update(now time.Time, f Forecast, owner string) {
	switch {
	case owner == "" || f.RunID != owner:
		c.forecast, c.ageKnown = Forecast{}, false
	case f.RunID != c.forecast.RunID:
		c.forecast, c.seenAt, c.ageKnown = f, now, false
	case f.Sequence > c.forecast.Sequence:
		c.forecast, c.seenAt, c.ageKnown = f, now, true
	}
	c.dropSeen(now)
}

// dropSeen removes the jobs that the forecast includes.
func (c *Controller) dropSeen(now time.Time) {
	c.pending = slices.DeleteFunc(c.pending, func(p pendingJob) bool {
		return now.After(p.expires) || (p.version != 0 && p.version <= c.forecast.Includes)
	})
}

// Forecast returns the forecast in force and its age.
func (c *Controller) Forecast(now time.Time) (f Forecast, age time.Duration, inForce bool) {
	age = now.Sub(c.seenAt)
	return c.forecast, age, c.ageKnown && age <= maxForecastAge
}

// Decide decides about a job. The work of an admitted job counts until a forecast includes it
// or Withdraw is called.
func (c *Controller) Decide(now time.Time, r Request) Decision {
	if r.alwaysAdmitted() {
		return Admit{AlwaysAdmitted}
	}
	f, age, inForce := c.Forecast(now)
	switch {
	case !c.ageKnown:
		return Admit{NoForecast}
	case !inForce:
		return Admit{StaleForecast}
	}
	p := f.Pool(r.Job.Terms.Pool)
	if p == nil {
		return Admit{RoomFree}
	}
	beyond := slices.Contains(f.BeyondShare, r.Job.Terms.Account)
	n := r.needs(p.queue(r.Job.Terms.Queue))
	if d, refused := c.judge(now, p, r.Job, n, beyond); refused {
		d.Sequence, d.Age = f.Sequence, age
		return d
	}
	c.pending = append(c.pending, pendingJob{
		id: r.Job.ID, pool: p.Name, work: n.work, beyondShare: beyond, priority: r.Job.Terms.Priority, expires: now.Add(maxPending),
	})
	return Admit{InTime}
}

// judge predicts the job's completion and reports whether it lies clearly after the late limit. A job that
// can't be in time comes after the jobs that can, those that arrive meanwhile included, and
// competes with the late ones.
func (c *Controller) judge(now time.Time, p *Pool, j *job.Job, n needs, beyond bool) (Refuse, bool) {
	r := Refuse{
		LateLimit: now.Add(n.allowed), Work: n.work,
		ServiceRate: max(CoreSeconds(p.coresAfter())-p.ArrivalRate, CoreSeconds(p.coresAfter())/2) / CoreSeconds(c.entries()),
	}
	r.Unseen = c.unseen(now, p, j.Terms.Priority, beyond)
	r.Before = r.Unseen + p.workBefore(InTimeRank, j.Terms.Priority)
	c.predict(now, p, n, &r)
	if !beyond && !r.Complete.After(now.Add(n.objective)) {
		return r, false
	}
	rank := LateRank
	if beyond {
		rank, r.Reason = BeyondShareRank, BeyondShare
	}
	r.Before = r.Unseen + p.workBefore(rank, j.Terms.Priority) + p.ArrivalRate*CoreSeconds(arrivalHorizon.Seconds())
	c.predict(now, p, n, &r)
	allowed := time.Duration(predictionError * float64(r.LateLimit.Sub(now)))
	return r, r.Complete.Sub(now) > allowed
}

// predict sets when a job starts and is complete after the work before it.
func (c *Controller) predict(now time.Time, p *Pool, n needs, r *Refuse) {
	start, ok := p.doneAfter(r.Before)
	end, _ := p.doneAfter(r.Before + n.work)
	if !ok {
		start, end = maxOutlook, maxOutlook
	}
	r.Start = latest(now, c.seenAt.Add(start))
	r.Complete = latest(r.Start.Add(n.chain), c.seenAt.Add(end))
}

func (c *Controller) entries() int { return max(1, c.forecast.Entries) }

// unseen returns the work before a new job that all entry VMs may have admitted and the forecast
// doesn't contain yet.
func (c *Controller) unseen(now time.Time, p *Pool, priority int, beyond bool) CoreSeconds {
	own := CoreSeconds(0)
	for _, x := range c.pending {
		if x.pool == p.Name && (beyond || (!x.beyondShare && x.priority <= priority)) {
			own += x.work
		}
	}
	arrived := arrivalGrowth * p.ArrivalRate * CoreSeconds((now.Sub(c.seenAt) + maxReadDelay).Seconds())
	return max(own, min(own*CoreSeconds(c.entries()), arrived))
}

// Stored records the version of the row that holds an admitted job.
func (c *Controller) Stored(id job.ID, version uint64) {
	for i := range c.pending {
		if c.pending[i].id == id {
			c.pending[i].version = version
		}
	}
}

// Withdraw removes an admitted job that was not stored, or had been stored before.
func (c *Controller) Withdraw(id job.ID) {
	c.pending = slices.DeleteFunc(c.pending, func(p pendingJob) bool { return p.id == id })
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
