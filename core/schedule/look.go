package schedule

import (
	"time"

	"lavenderpond/core/job"
)

const (
	// answerDue is how long after its sending a start should be answered: VMs answer
	// within a few milliseconds.
	answerDue = 150 * time.Millisecond
	// lookPause is the pause between two looks at a VM.
	lookPause = 50 * time.Millisecond
)

// look finds out about starts without an answer. Waiting until their deadline has
// passed and the next list comes takes about a second, more than most jobs can
// spare; and a VM that has gone dark would be given more tasks meanwhile, which
// nobody can free for the whole of its lease. So a VM that leaves a start unanswered
// gets no more until it is heard, and is asked what it runs. What isn't on the list
// is stopped by name, which keeps it from beginning later, and then goes elsewhere.
func (s *Scheduler) look(now time.Time, v *vmState) {
	v.doubtful = false
	if v.ordered == 0 && v.stopping == 0 {
		return
	}
	wanted := false
	for _, r := range v.runs.All() {
		switch {
		case r.phase == runOrdered && now.Sub(r.orderedAt) > answerDue:
			wanted = true
			v.doubtful = v.doubtful || v.answered.Before(r.orderedAt)
		case r.barred():
			wanted = true
		}
	}
	if !wanted || v.looking || now.Before(v.lookedAt.Add(lookPause)) || !s.rights.Hold {
		return
	}
	v.looking, v.lookedAt = true, now
	s.emit(Hold{VM: v.id, Look: true, Order: job.HoldOrder{Fence: v.fence}})
}

// barred tells whether the VM has taken the stop of a start without an answer: it
// runs if a list says so, and can't begin any more.
func (r *run) barred() bool {
	return r.phase == runUnanswered && r.stopping && r.stopClock > 0
}

// lookAnswered takes in what came of a look.
func (s *Scheduler) lookAnswered(now time.Time, v *vmState, out Outcome, r job.Report) {
	v.looking = false
	if out != Answered || !r.Lists || !s.heard(now, v, r) {
		return
	}
	s.takeLists(now, v, r)
	for _, x := range v.runs.All() {
		if x.phase == runOrdered && v.lookedAt.Sub(x.orderedAt) > answerDue {
			s.stop(now, x, "start not answered")
			s.stopGang(now, x)
		}
	}
}
