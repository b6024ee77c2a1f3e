// Package job is the model of work that callers hand in: a job of steps, each
// of tasks that run on VMs. It holds no clock, network or goroutine.
package job

import "time"

// ID names a job; its caller chooses it.
type ID string

// QueueName names the queue that a job was handed in to.
type QueueName string

// PoolName names the pool of VMs that runs a queue's tasks.
type PoolName string

// AccountName names a client account.
type AccountName string

// ZoneName names an availability zone.
type ZoneName string

// Label is a property of a VM, such as its kind or its rack.
type Label string

// Image names what the tasks of a step run; tasks of one image behave alike.
type Image string

// Checkpoint is the progress that a task can resume from; empty means none.
type Checkpoint string

// Attempt numbers the starts of a task, from 1.
type Attempt int64

// Resources is an amount of a VM's resources.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu,omitempty"`
	// MemMB is in mebibytes.
	MemMB int64 `json:"mem_mb,omitempty"`
	// GPU is a number of accelerators.
	GPU int64 `json:"gpu,omitempty"`
}

// Add returns the sum of both.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemMB: r.MemMB + o.MemMB, GPU: r.GPU + o.GPU}
}

// Sub returns r without o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemMB: r.MemMB - o.MemMB, GPU: r.GPU - o.GPU}
}

// Max returns the larger of both in each kind of room.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), MemMB: max(r.MemMB, o.MemMB), GPU: max(r.GPU, o.GPU)}
}

// Min returns the smaller of both in each kind of room.
func (r Resources) Min(o Resources) Resources {
	return Resources{CPU: min(r.CPU, o.CPU), MemMB: min(r.MemMB, o.MemMB), GPU: min(r.GPU, o.GPU)}
}

// Mul returns r n times over.
func (r Resources) Mul(n int) Resources {
	return Resources{CPU: r.CPU * int64(n), MemMB: r.MemMB * int64(n), GPU: r.GPU * int64(n)}
}

// FitsIn tells whether r can be taken from free.
func (r Resources) FitsIn(available Resources) bool {
	return r.CPU <= available.CPU && r.MemMB <= available.MemMB && r.GPU <= available.GPU
}

// Step is a group of equal tasks.
type Step struct {
	Count     int       `json:"count"`
	Resources Resources `json:"room"`
	// Estimate is the caller's rough guess of one task's run time.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpointing tasks can be stopped and resumed.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// Gang tasks work only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are slow unless they share a rack.
	SameRack bool `json:"same_rack,omitempty"`
	// Requires is a label that the VM must carry; empty means none.
	Requires Label `json:"requires,omitempty"`
	// PreferredRack is the rack where the data lies; empty means none.
	PreferredRack Label `json:"near_rack,omitempty"`
	// MaxPerVM bounds the tasks of the step on one VM; 0 means no bound.
	MaxPerVM int `json:"max_per_vm,omitempty"`
	// Speculative tasks may have several runs at a time.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool  `json:"lasting,omitempty"`
	Image       Image `json:"image,omitempty"`
	// TailLatencyTarget bounds the response times of a task that serves users.
	TailLatencyTarget time.Duration `json:"tail_target,omitempty"`
	// SpareCPU tasks use the CPU that others leave over.
	SpareCPU bool `json:"fills,omitempty"`
	// DisruptionBudget is how many tasks of a lasting step may be away on our account;
	// HasMayMiss tells whether the step has such a bound.
	DisruptionBudget    int  `json:"may_miss,omitempty"`
	HasDisruptionBudget bool `json:"has_may_miss,omitempty"`
}

// Reservation is the room that a task of the step takes away from other tasks.
func (s *Step) Reservation() Resources {
	if s.SpareCPU {
		return Resources{MemMB: s.Resources.MemMB, GPU: s.Resources.GPU}
	}
	return s.Resources
}

// Body is what a caller hands in.
type Body struct {
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Occurrences is how often the steps run; 0 stands for once, at once.
	Occurrences int `json:"occurrences,omitempty"`
	// FirstDue and Interval give the due time of each occurrence, by the time of day.
	FirstDue time.Time     `json:"first_due,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
}

// OccurrenceCount returns how often the steps run, at least once.
func (b *Body) OccurrenceCount() int { return max(1, b.Occurrences) }

// Due returns when occurrence k may start; the zero time means at once.
func (b *Body) Due(k int) time.Time {
	if b.Occurrences == 0 {
		return time.Time{}
	}
	return b.FirstDue.Add(time.Duration(k) * b.Interval)
}

// LongRunning tells whether the job runs until it is cancelled.
func (b *Body) LongRunning() bool {
	for i := range b.Steps {
		if b.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Terms are what the configuration said of the queue when the job was taken in.
type Terms struct {
	Queue            QueueName     `json:"queue"`
	Pool             PoolName      `json:"pool"`
	Account          AccountName   `json:"account,omitempty"`
	Priority         int           `json:"priority,omitempty"`
	MaxAttempts      int           `json:"attempts,omitempty"`
	Stretch          float64       `json:"stretch,omitempty"`
	LatencyAllowance time.Duration `json:"latency,omitempty"`
}

// Job is a job as it was taken in.
type Job struct {
	ID    ID    `json:"id"`
	Terms Terms `json:"terms"`
	Body  Body  `json:"body"`
}

// TaskID names one task of one occurrence.
type TaskID struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// StepID names a step of one occurrence.
type StepID struct {
	Job        ID
	Occurrence int
	Step       int
}

// StepID returns the step that the task belongs to.
func (t TaskID) StepID() StepID { return StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step} }
