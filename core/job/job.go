// Package job defines the data model of submitted work. A job consists of steps, and
// a step consists of tasks that run on VMs. The package uses no clock, network or
// goroutines.
package job

import (
	"math"
	"time"
)

// ID identifies a job and is chosen by the caller.
type ID string

// QueueName names the queue that a job was submitted to.
type QueueName string

// PoolName names the pool of VMs that runs a queue's tasks.
type PoolName string

// AccountName names a client account.
type AccountName string

// ZoneName names an availability zone.
type ZoneName string

// Label is a property of a VM, such as its type or its rack.
type Label string

// Image names the program that the tasks of a step run. Tasks with the same image are
// expected to behave alike.
type Image string

// Checkpoint identifies the saved progress from which a task can resume. It is empty
// if there is none.
type Checkpoint string

// Attempt numbers the starts of a task. A later start has a higher number.
type Attempt int64

// Resources is an amount of each kind of VM resource.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu,omitempty"`
	// MemMB is in mebibytes.
	MemMB int64 `json:"mem_mb,omitempty"`
	// GPU is a number of accelerators.
	GPU int64 `json:"gpu,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemMB: r.MemMB + o.MemMB, GPU: r.GPU + o.GPU}
}

// Sub returns the difference of r and o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemMB: r.MemMB - o.MemMB, GPU: r.GPU - o.GPU}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), MemMB: max(r.MemMB, o.MemMB), GPU: max(r.GPU, o.GPU)}
}

// Min returns the smaller amount of each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{CPU: min(r.CPU, o.CPU), MemMB: min(r.MemMB, o.MemMB), GPU: min(r.GPU, o.GPU)}
}

// maxProduct bounds the result of Mul, so that sums of many results don't overflow.
const maxProduct = 1 << 52

// Mul returns r multiplied by n, at most maxProduct of each resource.
func (r Resources) Mul(n int) Resources {
	return Resources{CPU: multiply(r.CPU, n), MemMB: multiply(r.MemMB, n), GPU: multiply(r.GPU, n)}
}

func multiply(amount int64, n int) int64 {
	if n > 0 && amount > maxProduct/int64(n) {
		return maxProduct
	}
	return amount * int64(n)
}

// FitsIn reports whether available covers r for every resource.
func (r Resources) FitsIn(available Resources) bool {
	return r.CPU <= available.CPU && r.MemMB <= available.MemMB && r.GPU <= available.GPU
}

// Step is a group of identical tasks.
type Step struct {
	Count     int       `json:"count"`
	Resources Resources `json:"room"`
	// Estimate is the caller's rough estimate of the run time of one task.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the indexes of the steps that must complete before this one.
	After []int `json:"after,omitempty"`
	// Checkpointing tasks can be stopped and resumed from a checkpoint.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// Gang tasks make progress only while all tasks of the step are running.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks run slowly unless they are on the same rack.
	SameRack bool `json:"same_rack,omitempty"`
	// Requires is a label that the VM must have; empty means none.
	Requires Label `json:"requires,omitempty"`
	// PreferredRack is the rack that stores the input data; empty means none.
	PreferredRack Label `json:"near_rack,omitempty"`
	// MaxPerVM limits how many tasks of the step run on one VM; 0 means no limit.
	MaxPerVM int `json:"max_per_vm,omitempty"`
	// Speculative tasks may have several concurrent runs.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool  `json:"lasting,omitempty"`
	Image       Image `json:"image,omitempty"`
	// TailLatencyTarget is the bound on the tail of the response times of a task that
	// serves users.
	TailLatencyTarget time.Duration `json:"tail_target,omitempty"`
	// SpareCPU tasks use only CPU time that other tasks leave idle.
	SpareCPU bool `json:"fills,omitempty"`
	// DisruptionBudget is the number of tasks of a long-running step that may be
	// unavailable at a time because of the scheduler. HasDisruptionBudget is set if
	// the step specifies it.
	DisruptionBudget    int  `json:"may_miss,omitempty"`
	HasDisruptionBudget bool `json:"has_may_miss,omitempty"`
}

// Reservation returns the resources that a task of the step makes unavailable to other
// tasks. Tasks that use spare CPU reserve none.
func (s *Step) Reservation() Resources {
	if s.SpareCPU {
		return Resources{MemMB: s.Resources.MemMB, GPU: s.Resources.GPU}
	}
	return s.Resources
}

// Body is the part of a job that the caller submits.
type Body struct {
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Occurrences is how often the steps run. Zero means once, immediately.
	Occurrences int `json:"occurrences,omitempty"`
	// FirstDue and Interval determine the due time of each occurrence, in wall-clock
	// time.
	FirstDue time.Time     `json:"first_due,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
}

// OccurrenceCount returns how often the steps run, at least once.
func (b *Body) OccurrenceCount() int { return max(1, b.Occurrences) }

// Due returns the earliest start time of occurrence k. The zero time means that it may
// start immediately.
func (b *Body) Due(k int) time.Time {
	if b.Occurrences == 0 {
		return time.Time{}
	}
	if b.Interval > 0 && k > int(maxSchedule/b.Interval) {
		return b.FirstDue.Add(maxSchedule)
	}
	return b.FirstDue.Add(time.Duration(k) * b.Interval)
}

// maxSchedule is the longest time from the first occurrence of a job to a later one. All that lie beyond
// count as due then.
const maxSchedule = time.Duration(math.MaxInt64 / 2)

// LongRunning reports whether the job runs until it is cancelled.
func (b *Body) LongRunning() bool {
	for i := range b.Steps {
		if b.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Terms are the settings of the job's queue at the time the job was accepted.
type Terms struct {
	Queue            QueueName     `json:"queue"`
	Pool             PoolName      `json:"pool"`
	Account          AccountName   `json:"account,omitempty"`
	Priority         int           `json:"priority,omitempty"`
	MaxAttempts      int           `json:"attempts,omitempty"`
	Stretch          float64       `json:"stretch,omitempty"`
	LatencyAllowance time.Duration `json:"latency,omitempty"`
}

// Job is an accepted job.
type Job struct {
	ID    ID    `json:"id"`
	Terms Terms `json:"terms"`
	Body  Body  `json:"body"`
}

// TaskID identifies one task of one occurrence of a job.
type TaskID struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// StepID identifies one step of one occurrence of a job.
type StepID struct {
	Job        ID
	Occurrence int
	Step       int
}

// StepID returns the step that the task belongs to.
func (t TaskID) StepID() StepID { return StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step} }
