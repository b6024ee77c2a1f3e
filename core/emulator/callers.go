package emulator

import "time"

const (
	// callerPatience is how long a caller tries to submit a job before it gives up.
	callerPatience = 3 * time.Second
	// submitTimeout is how long an entry VM waits until a submission is stored, callTimeout
	// how long a caller waits for the answer of an entry VM.
	submitTimeout = 500 * time.Millisecond
	callTimeout   = time.Second
	// reconnectDelay is how long a caller waits before it connects to another entry VM.
	reconnectDelay = 300 * time.Millisecond
	// refusalDelay is how long a caller waits that was refused because the entry VM cannot
	// reach the table.
	refusalDelay = time.Second
)

// submit lets the caller of a job submit it.
func (w *World) submit(t *trackedJob, load Load) {
	if w.chance(load.GiveUpShare) {
		w.after(t.latencyTarget(), func() { w.giveUp(t) })
	}
	if load.ReturningCallers {
		w.callEntryVM(t)
		return
	}
	t.mayBeStored = true
	w.table.submit(t.Job)
}

// giveUp lets the caller give up a job that isn't completed.
func (w *World) giveUp(t *trackedJob) {
	if t.completedAt.IsZero() && t.cancelledAt.IsZero() {
		t.abandoned = true
		w.cancel(t)
	}
}

// cancel lets the caller cancel a job. Callers don't cancel jobs whose submission was not
// answered.
func (w *World) cancel(t *trackedJob) {
	if t.storedAt.IsZero() || !t.cancelledAt.IsZero() {
		return
	}
	t.cancelledAt = w.now
	w.table.cancel(t.ID)
}

// callEntryVM submits a job to a random entry VM. The caller returns with the same ID after a
// refusal or if there is no answer.
func (w *World) callEntryVM(t *trackedJob) {
	if t.abandoned || w.now.Sub(t.submittedAt) > callerPatience {
		t.abandoned = true
		return
	}
	e := w.entryVMs[w.rng.IntN(len(w.entryVMs))]
	answered := false
	comeBack := func(delay time.Duration) {
		if !answered {
			answered = true
			w.after(delay, func() { w.callEntryVM(t) })
		}
	}
	w.after(callTimeout, func() { comeBack(0) })
	switch {
	case e.run == 0:
		comeBack(reconnectDelay)
	case e.frozen:
	case !e.reachesTable():
		comeBack(refusalDelay)
	default:
		t.mayBeStored = true
		e.callTable(submitTimeout, true, func() { w.table.submit(t.Job) }, func(ok bool) {
			if !ok {
				comeBack(reconnectDelay)
			}
			answered = true
		})
	}
}
