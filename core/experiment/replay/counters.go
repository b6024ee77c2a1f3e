package replay

import (
	"slices"
	"time"
)

// counters counts the events of a run.
type counters struct {
	doneInTime, late, refusedEarly, refusedLate int
	unknownOutcomes, givenUp, cancelled         int
	moves, retries, resubmissions, fullRefusals int
	// useful is the total duration of runs that succeeded before the deadline, wasted that
	// of all other runs.
	useful, wasted time.Duration
	// usefulInHorizon is the part of useful that falls within the workload's horizon.
	usefulInHorizon    time.Duration
	waits, urgentWaits []time.Duration
	// Numbers of first attempts and of all dispatches, during the outage and after it.
	firstDuringOutage, attemptsDuringOutage, firstAfterOutage, attemptsAfterOutage int
}

// countFirstAttempt counts a first attempt if it was made during the outage or after it.
func (c *counters) countFirstAttempt(s *simulation, j *job) {
	switch {
	case s.inOutage(j.item.Enqueued):
		c.firstDuringOutage++
	case !j.item.Enqueued.Before(s.workload.timeAt(outageEnd)):
		c.firstAfterOutage++
	}
}

// countAttempt counts a dispatch if it is made during the outage or after it.
func (c *counters) countAttempt(s *simulation) {
	switch {
	case s.inOutage(s.now):
		c.attemptsDuringOutage++
	case !s.now.Before(s.workload.timeAt(outageEnd)):
		c.attemptsAfterOutage++
	}
}

// countRun adds the duration of a run on a target that began at startedAt and ends now.
func (c *counters) countRun(s *simulation, startedAt time.Time, useful bool) {
	run := s.now.Sub(startedAt)
	if !useful {
		c.wasted += run
		return
	}
	c.useful += run
	after := s.now.Sub(s.workload.timeAt(1))
	c.usefulInHorizon += max(0, run-max(0, after))
}

// finish ends j, which succeeded before its deadline or late.
func (c *counters) finish(_ time.Time, j *job, late bool) {
	j.state = ended
	wait := j.firstStart.Sub(j.item.Enqueued)
	c.waits = append(c.waits, wait)
	if j.item.Urgent {
		c.urgentWaits = append(c.urgentWaits, wait)
	}
	if late {
		c.late++
		return
	}
	c.doneInTime++
}

// refuse ends j with a final refusal. The refusal counts as early if more than half of the
// time between the first sending and the deadline is left, so that the caller can still react.
func (c *counters) refuse(now time.Time, j *job) {
	j.state = ended
	if j.item.Deadline.Sub(now) > j.kind.Within/2 {
		c.refusedEarly++
		return
	}
	c.refusedLate++
}

// giveUp ends j after a failed dispatch that isn't retried.
func (c *counters) giveUp(j *job) {
	j.state = ended
	c.givenUp++
}

// endUnknown ends j with an unknown outcome: it may have run and isn't safe to retry.
func (c *counters) endUnknown(j *job) {
	j.state = ended
	c.unknownOutcomes++
}

// cancel ends j because its caller cancelled it.
func (c *counters) cancel(j *job) {
	j.state = ended
	c.cancelled++
}

// measures returns the measures of the run by name. Fractions refer to the requests that
// weren't cancelled. Times are in seconds.
func (s *simulation) measures() map[string]float64 {
	c := &s.counters
	offered := float64(len(s.jobs) - c.cancelled)
	capacity := pools * vmsPerPool * slotsPerVM * s.workload.Horizon.Seconds()
	m := map[string]float64{
		"done_in_time":        float64(c.doneInTime) / offered,
		"refused_early":       float64(c.refusedEarly) / offered,
		"refused_late":        float64(c.refusedLate) / offered,
		"done_late":           float64(c.late) / offered,
		"outcome_unknown":     float64(c.unknownOutcomes) / offered,
		"given_up":            float64(c.givenUp) / offered,
		"wasted_work":         ratio(c.wasted.Seconds(), (c.useful + c.wasted).Seconds()),
		"buffer_cost":         ratio(capacity-c.usefulInHorizon.Seconds(), c.usefulInHorizon.Seconds()),
		"share_nearness":      s.shares.fairFraction(),
		"share_worst_team":    s.shares.lowestReceivedFraction(),
		"moves":               float64(c.moves),
		"retries_per_request": float64(c.retries) / offered,
		"returns_per_request": float64(c.resubmissions) / offered,
		"full_per_request":    float64(c.fullRefusals) / offered,
		"wait_p50":            quantile(c.waits, 0.5),
		"wait_p99":            quantile(c.waits, 0.99),
		"urgent_wait_p99":     quantile(c.urgentWaits, 0.99),
		"urgent_start_in_aim": ratio(float64(s.urgentStartsInTime()), float64(s.urgentOffered())),
	}
	if s.faults.Outage+s.faults.Brownout > 0 {
		m["attempts_during_outage"] = ratio(float64(c.attemptsDuringOutage), float64(c.firstDuringOutage))
		m["attempts_after_outage"] = ratio(float64(c.attemptsAfterOutage), float64(c.firstAfterOutage))
	}
	if c.cancelled > 0 {
		m["cancelled"] = float64(c.cancelled)
	}
	return m
}

// urgentStartGoal is the time within which urgent requests should start, as required for
// the two-year fleet size.
const urgentStartGoal = 7200 * time.Millisecond

func (s *simulation) urgentStartsInTime() int {
	n := 0
	for _, j := range s.jobs {
		if j.item.Urgent && j.started && j.firstStart.Sub(j.item.Enqueued) <= urgentStartGoal {
			n++
		}
	}
	return n
}

func (s *simulation) urgentOffered() int {
	n := 0
	for _, j := range s.jobs {
		if j.item.Urgent {
			n++
		}
	}
	return n
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func quantile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))].Seconds()
}
