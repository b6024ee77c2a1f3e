package schedule

import (
	"slices"
	"time"

	"lavenderpond/core/job"
)

// poolQueue holds the jobs that wait for VMs of a pool, and the usable VMs of that pool.
type poolQueue struct {
	jobs []*jobState
	// atRisk are the runs whose tasks may have a second run.
	atRisk []runAtRisk
	// minReservation is a lower bound of the reservations of all waiting tasks.
	minReservation job.Resources
	vms            []*vmState
	// cordoned are the VMs that only long-running tasks may take, if no other has room.
	cordoned []*vmState
	// suspected are the VMs that get no tasks only because they are suspected.
	suspected []*vmState
	// accepting counts the VMs that accept tasks, and isolated those of them that run a task beside
	// which nothing else may start.
	accepting, isolated int
}

// poolQueues holds the queue of each pool that has one.
type poolQueues map[job.PoolName]*poolQueue

// queue returns the queue of a pool, to which a task with the reservation is added.
func (w poolQueues) queue(p job.PoolName, reservation job.Resources) *poolQueue {
	q := w[p]
	if q == nil {
		q = &poolQueue{minReservation: reservation}
		w[p] = q
	}
	q.minReservation = q.minReservation.Min(reservation)
	return q
}

// addVM adds a VM of the pool, which gets tasks if it is usable and not suspected.
func (q *poolQueue) addVM(v *vmState, usable, suspected bool) {
	if v.acceptsTasks() {
		q.accepting++
	}
	if v.isolatedRuns > 0 {
		q.isolated++
	}
	switch {
	case usable && suspected:
		q.suspected = append(q.suspected, v)
	case usable:
		q.vms = append(q.vms, v)
	}
}

// mayIsolate reports whether the task may start as far as it needs a VM of its own. Such tasks take at
// most half of a pool's VMs, so that the others can go on.
func (q *poolQueue) mayIsolate(t *taskState) bool {
	return !t.crashes.needsIsolation() || q.isolated < max(1, q.accepting/2)
}

// waivePauses lets suspected VMs get tasks if more than half of the pool's VMs are suspected, those whose
// pause ends first before the others. So many faulty VMs at once are unlikely: what they have in common
// are the tasks, which would have no VM left.
func (q *poolQueue) waivePauses() {
	missing := (len(q.vms)+len(q.suspected)+1)/2 - len(q.vms)
	if missing <= 0 {
		return
	}
	slices.SortStableFunc(q.suspected, func(x, y *vmState) int { return x.pauseEnd().Compare(y.pauseEnd()) })
	for _, v := range q.suspected[:missing] {
		v.pauseWaived = true
		q.vms = append(q.vms, v)
	}
}

// pauseEnd returns when the suspicion of the VM ends.
func (v *vmState) pauseEnd() time.Time { return later(v.slowUntil, v.suspectUntil) }
