package schedule

import "time"

const (
	// paceInterval is how often the pace of a VM's spare-CPU tasks is adjusted. A change shows
	// in the loads of the last half second.
	paceInterval = 500 * time.Millisecond
	// The pace of spare-CPU tasks depends on the ratio of a serving task's tail latency to its
	// target. From paceHaltRatio on they are halted, from paceHalveRatio on halved, and below
	// paceRaiseRatio sped up. The ratios are well below 1 since a change takes a while to show.
	paceHaltRatio  = 0.9
	paceHalveRatio = 0.7
	paceRaiseRatio = 0.5
	// paceStepPercent is added to the pace when a spare-CPU task is sped up. A task whose pace
	// would fall below paceMinPercent is halted instead of halved.
	paceStepPercent = 20
	paceMinPercent  = 10
)

// adjustPace slows down the spare-CPU tasks on a VM when a serving task there comes near its
// latency target. Placement keeps the two apart; they share a VM only when the serving task
// fits on no other.
func (s *Scheduler) adjustPace(now time.Time, v *vmState) {
	if now.Before(v.nextPaceAt) || v.silent {
		return
	}
	tailRatio, serving := 0.0, false
	var spareCPU []*run
	for _, r := range v.runs.All() {
		_, _, st, _ := s.task(r.task)
		switch {
		case st == nil || r.phase != runConfirmed || r.stopping:
		case st.def.SpareCPU:
			spareCPU = append(spareCPU, r)
		case st.def.TailLatencyTarget > 0:
			serving = true
			tailRatio = max(tailRatio, float64(r.load)/float64(st.def.TailLatencyTarget.Milliseconds()))
		}
	}
	if len(spareCPU) == 0 {
		return
	}
	v.nextPaceAt = now.Add(paceInterval)
	for _, r := range spareCPU {
		percent := 100
		if serving {
			percent = nextPace(r.pacePercent, tailRatio)
		}
		if percent != r.pacePercent {
			r.pacePercent = percent
			s.emit(Pace{VM: v.id, Fence: v.fence, Task: r.task, Attempt: r.attempt, Percent: percent})
		}
	}
}

// nextPace returns the pace, in percent, of a spare-CPU task beside a serving task whose tail
// latency is tailRatio times its target.
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
