package home

// End is the result of a dispatch to a target.
type End interface{ isEnd() }

// Answered carries the target's complete answer.
type Answered struct{ Body []byte }

// NotStarted reports that the task certainly did not and will not start.
type NotStarted struct{ Reason Reason }

// Failed reports that the target ran the task and the task failed.
type Failed struct{}

// Stopped reports that the target stopped the running task because its lease ended
// or because it was told to.
type Stopped struct{}

// Damaged reports an answer that was truncated or belonged to another task.
type Damaged struct{}

// Lost reports that no answer came, although the target may have received the
// request.
type Lost struct{}

func (Answered) isEnd()   {}
func (NotStarted) isEnd() {}
func (Failed) isEnd()     {}
func (Stopped) isEnd()    {}
func (Damaged) isEnd()    {}
func (Lost) isEnd()       {}

// Reason is why a task did not start.
type Reason int

// Reasons for which a task did not start.
const (
	// Unreachable: no connection was made.
	Unreachable Reason = iota
	// Full: the target has no free slot.
	Full
	// Leaving: the VM is shutting down.
	Leaving
	// Late: the start_by time had passed.
	Late
	// Invalid: the target can't interpret the task.
	Invalid
)

var reasonNames = [...]string{"unreachable", "full", "leaving", "late", "invalid"}

// String returns the reason's name.
func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// Finding is a target's answer when it is asked about a task.
type Finding interface{ isFinding() }

// FoundDone carries the stored answer of a task that has finished.
type FoundDone struct{ Body []byte }

// FoundRunning reports that the task is running.
type FoundRunning struct{}

// FoundStopped reports that the task was stopped.
type FoundStopped struct{}

// FoundNoRecord reports that the target has no record of the task.
type FoundNoRecord struct{}

// FoundNoAnswer reports that the target could not be asked or gave no usable
// answer.
type FoundNoAnswer struct{}

func (FoundDone) isFinding()     {}
func (FoundRunning) isFinding()  {}
func (FoundStopped) isFinding()  {}
func (FoundNoRecord) isFinding() {}
func (FoundNoAnswer) isFinding() {}
