package schedule

import "time"

const (
	// paceEvery is how often a VM's pace is set anew: a change shows in the loads of
	// the last half second.
	paceEvery = 500 * time.Millisecond
	// paceStopAt, paceSlowAt and paceFreeAt are shares of a serving task's target.
	// Tasks that fill are halted, halved or sped up as its tail passes them: well
	// before it is over the target, since a change takes a while to show.
	paceStopAt = 0.9
	paceSlowAt = 0.7
	paceFreeAt = 0.5
	// paceStep is by how many percent they are sped up at a time, paceLeast below
	// which they are halted instead of halved.
	paceStep  = 20
	paceLeast = 10
)

// pace slows the tasks that fill a VM when a task that serves users there comes
// near its target. Placement keeps both apart; they meet when the serving task
// had no other place.
func (s *Scheduler) pace(now time.Time, v *vmState) {
	if now.Before(v.paceAt) || v.silent {
		return
	}
	worst, serving := 0.0, false
	var fills []*run
	for _, r := range v.runs.All() {
		_, _, st, _ := s.task(r.task)
		switch {
		case st == nil || r.phase != runConfirmed || r.stopping:
		case st.def.SpareCPU:
			fills = append(fills, r)
		case st.def.TailLatencyTarget > 0:
			serving = true
			worst = max(worst, float64(r.load)/float64(st.def.TailLatencyTarget.Milliseconds()))
		}
	}
	if len(fills) == 0 {
		return
	}
	v.paceAt = now.Add(paceEvery)
	for _, r := range fills {
		percent := 100
		if serving {
			percent = nextPace(r.pace, worst)
		}
		if percent != r.pace {
			r.pace = percent
			s.emit(Pace{VM: v.id, Fence: v.fence, Task: r.task, Attempt: r.attempt, Percent: percent})
		}
	}
}

// nextPace returns the percent at which a filling task may go on beside a serving
// one whose tail is at the share worst of its target.
func nextPace(percent int, worst float64) int {
	switch {
	case worst >= paceStopAt:
		return 0
	case worst >= paceSlowAt && percent/2 < paceLeast:
		return 0
	case worst >= paceSlowAt:
		return percent / 2
	case worst < paceFreeAt:
		return min(100, percent+paceStep)
	}
	return percent
}
