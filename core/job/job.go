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

// Room is an amount of a VM's resources.
type Room struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu,omitempty"`
	// MemMB is in mebibytes.
	MemMB int64 `json:"mem_mb,omitempty"`
	// GPU is a number of accelerators.
	GPU int64 `json:"gpu,omitempty"`
}

// Plus returns the sum of both.
func (r Room) Plus(o Room) Room {
	return Room{CPU: r.CPU + o.CPU, MemMB: r.MemMB + o.MemMB, GPU: r.GPU + o.GPU}
}

// Minus returns r without o.
func (r Room) Minus(o Room) Room {
	return Room{CPU: r.CPU - o.CPU, MemMB: r.MemMB - o.MemMB, GPU: r.GPU - o.GPU}
}

// Most returns the larger of both in each kind of room.
func (r Room) Most(o Room) Room {
	return Room{CPU: max(r.CPU, o.CPU), MemMB: max(r.MemMB, o.MemMB), GPU: max(r.GPU, o.GPU)}
}

// Least returns the smaller of both in each kind of room.
func (r Room) Least(o Room) Room {
	return Room{CPU: min(r.CPU, o.CPU), MemMB: min(r.MemMB, o.MemMB), GPU: min(r.GPU, o.GPU)}
}

// Times returns r n times over.
func (r Room) Times(n int) Room {
	return Room{CPU: r.CPU * int64(n), MemMB: r.MemMB * int64(n), GPU: r.GPU * int64(n)}
}

// Fits tells whether r can be taken from free.
func (r Room) Fits(free Room) bool {
	return r.CPU <= free.CPU && r.MemMB <= free.MemMB && r.GPU <= free.GPU
}

// Step is a group of equal tasks.
type Step struct {
	Count int  `json:"count"`
	Room  Room `json:"room"`
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
	// NearRack is the rack where the data lies; empty means none.
	NearRack Label `json:"near_rack,omitempty"`
	// MaxPerVM bounds the tasks of the step on one VM; 0 means no bound.
	MaxPerVM int `json:"max_per_vm,omitempty"`
	// Speculative tasks may have several runs at a time.
	Speculative bool `json:"speculative,omitempty"`
	// Lasting tasks run until the job is cancelled.
	Lasting bool  `json:"lasting,omitempty"`
	Image   Image `json:"image,omitempty"`
	// TailTarget bounds the response times of a task that serves users.
	TailTarget time.Duration `json:"tail_target,omitempty"`
	// Fills tasks use the CPU that others leave over.
	Fills bool `json:"fills,omitempty"`
	// MayMiss is how many tasks of a lasting step may be away on our account;
	// HasMayMiss tells whether the step has such a bound.
	MayMiss    int  `json:"may_miss,omitempty"`
	HasMayMiss bool `json:"has_may_miss,omitempty"`
}

// Claim is the room that a task of the step takes away from other tasks.
func (s *Step) Claim() Room {
	if s.Fills {
		return Room{MemMB: s.Room.MemMB, GPU: s.Room.GPU}
	}
	return s.Room
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

// Runs returns how often the steps run, at least once.
func (b *Body) Runs() int { return max(1, b.Occurrences) }

// Due returns when occurrence k may start; the zero time means at once.
func (b *Body) Due(k int) time.Time {
	if b.Occurrences == 0 {
		return time.Time{}
	}
	return b.FirstDue.Add(time.Duration(k) * b.Interval)
}

// Lasting tells whether the job runs until it is cancelled.
func (b *Body) Lasting() bool {
	for i := range b.Steps {
		if b.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Terms are what the configuration said of the queue when the job was taken in.
type Terms struct {
	Queue    QueueName     `json:"queue"`
	Pool     PoolName      `json:"pool"`
	Account  AccountName   `json:"account,omitempty"`
	Priority int           `json:"priority,omitempty"`
	Attempts int           `json:"attempts,omitempty"`
	Stretch  float64       `json:"stretch,omitempty"`
	Latency  time.Duration `json:"latency,omitempty"`
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
