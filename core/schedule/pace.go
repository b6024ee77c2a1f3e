package schedule

import "time"

const (
	// paceInterval is how often a VM's pace is set anew: a change shows in the loads of
	// the last half second.
	paceInterval = 500 * time.Millisecond
	// paceStopAt, paceSlowAt and paceFreeAt are shares of a serving task's target.
	// Tasks that fill are halted, halved or sped up as its tail passes them: well
	// before it is over the target, since a change takes a while to show.
	paceHaltRatio  = 0.9
	paceHalveRatio = 0.7
	paceRaiseRatio = 0.5
	// paceStepPercent is by how many percent they are sped up at a time, paceLeast below
	// which they are halted instead of halved.
	paceStepPercent = 20
	paceMinPercent  = 10
)

// pace slows the tasks that fill a VM when a task that serves users there comes
// near its target. Placement keeps both apart; they meet when the serving task
// had no other place.
func (s *Scheduler) pace(now time.Time, v *vmState) {
	if now.Before(v.paceAt) || v.silent {
		return
	}
	tailRatio, serving := 0.0, false
	var fills []*run
	for _, r := range v.runs.All() {
		_, _, st, _ := s.task(r.task)
		switch {
		case st == nil || r.phase != runConfirmed || r.stopping:
		case st.def.Fills:
			fills = append(fills, r)
		case st.def.TailTarget > 0:
			serving = true
			tailRatio = max(tailRatio, float64(r.load)/float64(st.def.TailTarget.Milliseconds()))
		}
	}
	if len(fills) == 0 {
		return
	}
	v.paceAt = now.Add(paceInterval)
	for _, r := range fills {
		percent := 100
		if serving {
			percent = nextPace(r.pace, tailRatio)
		}
		if percent != r.pace {
			r.pace = percent
			s.emit(Pace{VM: v.id, Fence: v.fence, Task: r.task, Attempt: r.attempt, Percent: percent})
		}
	}
}

// nextPace returns the percent at which a filling task may go on beside a serving
// one whose tail is at the share worst of its target.
func nextPace(percent int, tailRatio float64) int {
	switch {
	case tailRatio >= paceHaltRatio:
		return 0
	case tailRatio >= paceHalveRatio && percent/2 < paceMinPercent:
		return 0
	case tailRatio >= paceHalveRatio:
		return percent / 2
	case tailRatio < paceRaiseRatio:
		return min(100, percent+paceStepPercent)
	}
	return percent
}
