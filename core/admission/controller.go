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
)

// Controller decides for one entry VM. The zero value has no forecast and admits every job.
//
// Between two forecasts each entry VM counts the work that it has admitted itself as often as
// there are entry VMs. If the room that is left fits an amount of work, all entry VMs together
// admit at most that, plus one job each.
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

// judge predicts the job's completion and reports whether it lies after the late limit.
func (c *Controller) judge(now time.Time, p *Pool, j *job.Job, n needs, beyond bool) (Refuse, bool) {
	entries := max(1, c.forecast.Entries)
	unseen := c.unseen(p.Name, j.Terms.Priority, beyond) * CoreSeconds(entries)
	before := p.workBefore(j.Terms.Priority, beyond) + unseen
	r := Refuse{
		LateLimit: now.Add(n.allowed), Work: n.work, Before: before, Unseen: unseen,
		ServiceRate: CoreSeconds(p.coresAfter()) / CoreSeconds(entries),
	}
	if beyond {
		r.Reason = BeyondShare
	}
	start, ok := p.doneAfter(before)
	end, _ := p.doneAfter(before + n.work)
	if !ok {
		start, end = maxOutlook, maxOutlook
	}
	r.Start = latest(now, c.seenAt.Add(start))
	r.Complete = latest(r.Start.Add(n.chain), c.seenAt.Add(end))
	r.RoomAt = now.Add(r.Complete.Sub(r.LateLimit))
	return r, r.Complete.After(r.LateLimit)
}

// unseen returns the work before a new job that this entry VM has admitted since the forecast.
func (c *Controller) unseen(p job.PoolName, priority int, beyond bool) CoreSeconds {
	sum := CoreSeconds(0)
	for _, x := range c.pending {
		if x.pool == p && (beyond || (!x.beyondShare && x.priority <= priority)) {
			sum += x.work
		}
	}
	return sum
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
