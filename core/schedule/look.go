package schedule

import (
	"time"

	"lavenderpond/core/job"
)

const (
	// answerDue is how long after its sending a start should be answered: VMs answer
	// within a few milliseconds.
	answerDue = 150 * time.Millisecond
	// lookInterval is the pause between two looks at a VM.
	lookInterval = 50 * time.Millisecond
)

// checkUnanswered finds out about starts without an answer. Waiting until their deadline has
// passed and the next list comes takes about a second, more than most jobs can
// spare; and a VM that has gone dark would be given more tasks meanwhile, which
// nobody can free for the whole of its lease. So a VM that leaves a start unanswered
// gets no more until it is heard, and is asked what it runs. What isn't on the list
// is stopped by name, which keeps it from beginning later, and then goes elsewhere.
func (s *Scheduler) checkUnanswered(now time.Time, v *vmState) {
	v.unresponsive = false
	if v.ordered == 0 && v.stopping == 0 {
		return
	}
	wanted := false
	for _, r := range v.runs.All() {
		switch {
		case r.phase == runOrdered && now.Sub(r.orderedAt) > answerDue:
			wanted = true
			v.unresponsive = v.unresponsive || v.lastAnswer.Before(r.orderedAt)
		case r.stopAccepted():
			wanted = true
		}
	}
	if !wanted || v.looking || now.Before(v.lookedAt.Add(lookInterval)) || !s.rights.Hold {
		return
	}
	v.looking, v.lookedAt = true, now
	s.emit(Hold{VM: v.id, Look: true, Order: job.HoldOrder{Fence: v.fence}})
}

// stopAccepted tells whether the VM has taken the stop of a start without an answer: it
// runs if a list says so, and can't begin any more.
func (r *run) stopAccepted() bool {
	return r.phase == runUnanswered && r.stopping && r.stopClock > 0
}

// lookAnswered takes in what came of a look.
func (s *Scheduler) lookAnswered(now time.Time, v *vmState, out Outcome, r job.Report) {
	v.looking = false
	if out != Answered || !r.Lists || !s.recordAnswer(now, v, r) {
		return
	}
	s.applyLists(now, v, r)
	for _, x := range v.runs.All() {
		if x.phase == runOrdered && v.lookedAt.Sub(x.orderedAt) > answerDue {
			s.stopRun(now, x, "start not answered")
			s.stopGang(now, x)
		}
	}
}
