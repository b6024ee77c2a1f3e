// Package deferral decides which accepted jobs the owner holds in memory, and which it leaves in the table
// until there is room for them. The package uses no clock, network or goroutines.
package deferral

import (
	"slices"

	"lavenderpond/core/job"
)

const (
	// largePart is the part of the memory, as a divisor, from which a job is large.
	largePart = 64
	// reservedPart is the part of the memory, as a divisor, that is left to jobs that aren't large, so that a few large
	// jobs don't keep all others out.
	reservedPart = 4
)

// Jobs are the accepted jobs that haven't ended, as far as their memory is concerned. The zero value
// holds all jobs.
type Jobs struct {
	// MaxBytes is the memory that jobs may take together; 0 means no limit.
	MaxBytes int64

	held      map[job.ID]int64
	heldBytes int64
	deferred  map[job.ID]*Deferred
	// order holds the deferred jobs as they came, and IDs that aren't deferred any more.
	order []job.ID
}

// Deferred is a job that is left in the table.
type Deferred struct {
	ID    job.ID
	Queue job.QueueName
	// Bytes is the memory that the job takes once it is held.
	Bytes int64
	// Progress is what is stored of its progress; nil if nothing is.
	Progress *job.Progress
	// Urgent is set if the job has to be held now, whatever memory there is: tasks of it may run, or
	// its caller has cancelled it.
	Urgent bool
	// Cancelled is set if the job is to be cancelled as soon as it is held.
	Cancelled bool
}

// Hold counts a job and returns true if there is memory for it. A job that is held already counts once.
func (j *Jobs) Hold(id job.ID, bytes int64) bool {
	if _, ok := j.held[id]; ok {
		return true
	}
	if !j.fits(bytes) {
		return false
	}
	j.ForceHold(id, bytes)
	return true
}

// ForceHold counts a job, whether there is memory for it or not.
func (j *Jobs) ForceHold(id job.ID, bytes int64) {
	j.Forget(id)
	if _, ok := j.held[id]; ok {
		return
	}
	if j.held == nil {
		j.held = map[job.ID]int64{}
	}
	j.held[id] = bytes
	j.heldBytes += bytes
}

func (j *Jobs) fits(bytes int64) bool {
	limit := j.MaxBytes
	if bytes > j.MaxBytes/largePart {
		limit -= j.MaxBytes / reservedPart
	}
	// A job that alone exceeds the limit would never be held otherwise.
	return j.MaxBytes == 0 || j.heldBytes == 0 || j.heldBytes+bytes <= limit
}

// Defer leaves a job in the table. A job that is deferred already keeps its place.
func (j *Jobs) Defer(d Deferred) {
	if j.deferred == nil {
		j.deferred = map[job.ID]*Deferred{}
	}
	if old := j.deferred[d.ID]; old != nil {
		d.Urgent, d.Cancelled = d.Urgent || old.Urgent, d.Cancelled || old.Cancelled
		if d.Progress == nil {
			d.Progress = old.Progress
		}
		*old = d
		return
	}
	j.deferred[d.ID] = &d
	j.order = append(j.order, d.ID)
}

// Deferred returns a deferred job, or nil.
func (j *Jobs) Deferred(id job.ID) *Deferred { return j.deferred[id] }

// DeferredCount returns the number of deferred jobs.
func (j *Jobs) DeferredCount() int { return len(j.deferred) }

// HeldBytes returns the memory of the jobs that are held.
func (j *Jobs) HeldBytes() int64 { return j.heldBytes }

// Next returns the deferred job to hold next, or nil if there is no memory for any: an urgent one, or else the
// one that has waited longest of those that fit.
func (j *Jobs) Next() *Deferred {
	j.order = slices.DeleteFunc(j.order, func(id job.ID) bool { return j.deferred[id] == nil })
	var next *Deferred
	for _, id := range j.order {
		d := j.deferred[id]
		if d.Urgent {
			return d
		}
		if next == nil && j.fits(d.Bytes) {
			next = d
		}
	}
	return next
}

// Forget ends the account of a deferred job that isn't stored any more.
func (j *Jobs) Forget(id job.ID) { delete(j.deferred, id) }

// Release ends the account of the held jobs that the scheduler doesn't know any more.
func (j *Jobs) Release(known func(id job.ID) bool) {
	for id, bytes := range j.held {
		if !known(id) {
			j.heldBytes -= bytes
			delete(j.held, id)
		}
	}
}

// Backlog adds the deferred jobs to the number of jobs of each queue that haven't begun.
func (j *Jobs) Backlog(waiting map[job.QueueName]int) map[job.QueueName]int {
	if len(j.deferred) == 0 {
		return waiting
	}
	out := map[job.QueueName]int{}
	for q, n := range waiting {
		out[q] = n
	}
	for _, d := range j.deferred {
		if d.Progress == nil {
			out[d.Queue]++
		}
	}
	return out
}
