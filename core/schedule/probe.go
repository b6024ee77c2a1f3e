package schedule

import (
	"time"

	"lavenderpond/core/job"
)

const (
	// startAnswerTimeout is the period after a start is sent within which the VM should answer
	// it. VMs answer within a few milliseconds.
	startAnswerTimeout = 150 * time.Millisecond
	// probeInterval is the minimum time between two probes of a VM.
	probeInterval = 50 * time.Millisecond
)

// checkUnanswered resolves starts without an answer. Waiting for the start's deadline and
// the next list takes about a second, longer than most jobs can wait without being late.
// Meanwhile a VM that is unreachable would be given more tasks, which can't be freed for
// the whole of its lease. So a VM that leaves a start unanswered gets no more tasks until
// it answers, and a probe asks what it runs. A run that isn't on the list is stopped
// explicitly, which keeps it from beginning later, and its task then starts elsewhere. A probe also
// asks for the answer that a planned start requires.
func (s *Scheduler) checkUnanswered(now time.Time, v *vmState) {
	v.unresponsive = false
	if v.orderedRuns == 0 && v.stoppingRuns == 0 && !v.answerRequired {
		return
	}
	unanswered := false
	for _, r := range v.runs.All() {
		switch {
		case r.phase == runOrdered && now.Sub(r.orderedAt) > startAnswerTimeout:
			unanswered = true
			v.unresponsive = v.unresponsive || v.lastAnswer.Before(r.orderedAt)
		case r.stopAccepted():
			unanswered = true
		}
	}
	needed := unanswered || v.answerRequired
	if !needed || v.probeInFlight || now.Before(v.probedAt.Add(probeInterval)) || !s.rights.ExtendLeases {
		return
	}
	v.probeInFlight, v.probedAt = true, now
	s.emit(Hold{VM: v.id, Probe: true, Direct: unanswered, Order: job.HoldOrder{Fence: v.fence}})
}

// stopAccepted reports whether the VM has accepted the stop of an unanswered start. The
// run exists only if a list shows it, and can't begin any more.
func (r *run) stopAccepted() bool {
	return r.phase == runUnanswered && r.stopping && r.stopClock > 0
}

// probeAnswered handles the outcome of a probe.
func (s *Scheduler) probeAnswered(now time.Time, v *vmState, outcome Outcome, r job.Report) {
	v.probeInFlight = false
	if outcome != Answered {
		s.releaseUnanswered(now, v)
	}
	if outcome != Answered || !r.Lists || !s.recordAnswer(now, v, r) {
		return
	}
	s.applyLists(now, v, r)
	for _, x := range v.runs.All() {
		if x.phase == runOrdered && v.probedAt.Sub(x.orderedAt) > startAnswerTimeout {
			s.stopRun(now, x, "start not answered")
			s.stopGang(now, x)
		}
	}
}

// recentAnswerPeriod is how recently a VM must have answered to be given a long-running task. It must
// be longer than an owner's round, since an answer is acted on in the next round.
const recentAnswerPeriod = 100 * time.Millisecond

// requireAnswer makes the start of a long-running task wait for an answer of the VM if the last one
// is old. An idle VM that is lost is found silent after seconds only, and a start that it leaves
// unanswered keeps the task from starting elsewhere for maxOrderDelay.
func (s *Scheduler) requireAnswer(now time.Time, r *run) {
	r.vm.answerRequired = r.vm.answerRequired || r.awaitsAnswer(now)
}

// awaitsAnswer reports whether the start must wait for an answer of the VM.
func (r *run) awaitsAnswer(now time.Time) bool {
	return r.longRunning && now.Sub(r.vm.lastAnswer) > recentAnswerPeriod
}

// releaseUnanswered releases the planned runs that wait for an answer which the VM doesn't give, so
// that their tasks start on other VMs.
func (s *Scheduler) releaseUnanswered(now time.Time, v *vmState) {
	if !v.answerRequired {
		return
	}
	v.answerRequired = false
	for _, r := range v.runs.All() {
		if r.phase == runPlanned && r.awaitsAnswer(now) {
			v.noAnswerUntil = now.Add(noAnswerPause)
			s.release(now, r)
			s.stopGang(now, r)
		}
	}
}
