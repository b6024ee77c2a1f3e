package home

import (
	"time"

	"lavenderpond/core"
)

// Command is an action for the daemon to execute.
type Command interface{ isCommand() }

// Reply sends a waiter its answer.
type Reply struct {
	Waiter Waiter
	Key    core.RequestKey
	Answer core.Answer
}

// Dispatch sends a request to a target.
type Dispatch struct {
	Request core.Request
	VM      core.VMID
	// DispatchNumber numbers the dispatches of this request, starting at 1.
	DispatchNumber core.Attempt
	// StartBy is the latest time at which the task may start: the earlier of the
	// expiry of this entry's shard lease and the request's deadline. The sender
	// checks it right before the write, and the target enforces it.
	StartBy time.Time
	// LeaseUntil is when the task's lease ends and the target stops the task.
	LeaseUntil time.Time
}

// AskTarget asks a target about the outcome of a task.
type AskTarget struct {
	Key core.RequestKey
	VM  core.VMID
}

// StopTask tells a target to stop a task.
type StopTask struct {
	Key core.RequestKey
	VM  core.VMID
}

func (Reply) isCommand()     {}
func (Dispatch) isCommand()  {}
func (AskTarget) isCommand() {}
func (StopTask) isCommand()  {}
