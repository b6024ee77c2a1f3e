package schedule

import (
	"unsafe"

	"lavenderpond/core/job"
)

const (
	// jobFootprint is the memory of a job beside its steps.
	jobFootprint = 2 << 10
	// StepStateBytes is the memory of a step's state, with lists that begin to fill once its tasks run.
	StepStateBytes = int64(unsafe.Sizeof(stepState{})) + 64
	// stepFootprint is the memory of a step beside its texts: its definition and its state.
	stepFootprint = int64(unsafe.Sizeof(job.Step{})) + StepStateBytes
)

// Footprint returns about how many bytes of memory a job takes that has not begun.
func Footprint(j *job.Job) int64 {
	n := jobFootprint + int64(len(j.Body.Spec)) + int64(len(j.Body.Steps))*stepFootprint
	for i := range j.Body.Steps {
		s := &j.Body.Steps[i]
		n += int64(len(s.Requires)+len(s.PreferredRack)+len(s.Image)) + int64(len(s.After))*int64(unsafe.Sizeof(int(0)))
	}
	return n
}

// Knows reports whether the scheduler holds a job.
func (s *Scheduler) Knows(id job.ID) bool { return s.jobs.Get(id) != nil }
