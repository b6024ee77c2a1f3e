package replay

import (
	"slices"
	"time"
)

// counters counts the events of a run.
type counters struct {
	doneInTime, late, refusedEarly, refusedLate int
	unknowns, givenUp, cancelled                int
	moves, retries, resubmissions, fullRefusals int
	useful, wasted                              time.Duration
	// usefulInHorizon is the part of useful that falls within the workload's horizon.
	usefulInHorizon    time.Duration
	waits, urgentWaits []time.Duration
	// First attempts and dispatches during the outage and after it.
	firstDuringOutage, attemptsDuringOutage, firstAfterOutage, attemptsAfterOutage int
}

// countFirst counts a first attempt if it was made during the outage or after it.
func (f *counters) countFirst(s *simulation, j *job) {
	switch {
	case s.inOutage(j.item.Enqueued):
		f.firstDuringOutage++
	case !j.item.Enqueued.Before(s.workload.timeAt(outageEnd)):
		f.firstAfterOutage++
	}
}

// countAttempt counts a dispatch if it is made during the outage or after it.
func (f *counters) countAttempt(s *simulation) {
	switch {
	case s.inOutage(s.now):
		f.attemptsDuringOutage++
	case !s.now.Before(s.workload.timeAt(outageEnd)):
		f.attemptsAfterOutage++
	}
}

// countRun adds the duration of a run on a target that began at startedAt and ends now.
func (f *counters) countRun(s *simulation, startedAt time.Time, useful bool) {
	run := s.now.Sub(startedAt)
	if !useful {
		f.wasted += run
		return
	}
	f.useful += run
	after := s.now.Sub(s.workload.timeAt(1))
	f.usefulInHorizon += max(0, run-max(0, after))
}

func (f *counters) finish(_ time.Time, j *job, late bool) {
	j.state = ended
	wait := j.firstStart.Sub(j.item.Enqueued)
	f.waits = append(f.waits, wait)
	if j.item.Urgent {
		f.urgentWaits = append(f.urgentWaits, wait)
	}
	if late {
		f.late++
		return
	}
	f.doneInTime++
}

// refuse counts a final refusal. It is early if more than half of the time between the
// first sending and the deadline is left, so that the caller can still react.
func (f *counters) refuse(now time.Time, j *job) {
	j.state = ended
	if j.item.Deadline.Sub(now) > j.kind.Within/2 {
		f.refusedEarly++
		return
	}
	f.refusedLate++
}

func (f *counters) giveUp(j *job) {
	j.state = ended
	f.givenUp++
}

func (f *counters) unknown(j *job) {
	j.state = ended
	f.unknowns++
}

func (f *counters) cancel(j *job) {
	j.state = ended
	f.cancelled++
}

// measures returns the measures of the run by name. Fractions refer to the requests that
// weren't cancelled. Times are in seconds.
func (s *simulation) measures() map[string]float64 {
	f := &s.counters
	offered := float64(len(s.jobs) - f.cancelled)
	capacity := pools * vmsPerPool * slotsPerVM * s.workload.Horizon.Seconds()
	m := map[string]float64{
		"done_in_time":        float64(f.doneInTime) / offered,
		"refused_early":       float64(f.refusedEarly) / offered,
		"refused_late":        float64(f.refusedLate) / offered,
		"done_late":           float64(f.late) / offered,
		"outcome_unknown":     float64(f.unknowns) / offered,
		"given_up":            float64(f.givenUp) / offered,
		"wasted_work":         ratio(f.wasted.Seconds(), (f.useful + f.wasted).Seconds()),
		"buffer_cost":         ratio(capacity-f.usefulInHorizon.Seconds(), f.usefulInHorizon.Seconds()),
		"share_nearness":      s.shares.nearness(),
		"share_worst_team":    s.shares.worstTeam(),
		"moves":               float64(f.moves),
		"retries_per_request": float64(f.retries) / offered,
		"returns_per_request": float64(f.resubmissions) / offered,
		"full_per_request":    float64(f.fullRefusals) / offered,
		"wait_p50":            quantile(f.waits, 0.5),
		"wait_p99":            quantile(f.waits, 0.99),
		"urgent_wait_p99":     quantile(f.urgentWaits, 0.99),
		"urgent_start_in_aim": ratio(float64(s.urgentStartedInGoal()), float64(s.urgentOffered())),
	}
	if s.faults.Outage+s.faults.Brownout > 0 {
		m["attempts_during_outage"] = ratio(float64(f.attemptsDuringOutage), float64(f.firstDuringOutage))
		m["attempts_after_outage"] = ratio(float64(f.attemptsAfterOutage), float64(f.firstAfterOutage))
	}
	if f.cancelled > 0 {
		m["cancelled"] = float64(f.cancelled)
	}
	return m
}

// urgentStartGoal is the time within which urgent requests should start, as required for
// the two-year fleet size.
const urgentStartGoal = 7200 * time.Millisecond

func (s *simulation) urgentStartedInGoal() int {
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
