package home

// End is how a dispatch to a target ended.
type End interface{ isEnd() }

// Answered carries the target's whole answer.
type Answered struct{ Body []byte }

// NotStarted says that the task certainly did not and will not start.
type NotStarted struct{ Reason Reason }

// Failed says that the target ran the task and reported a failure.
type Failed struct{}

// Stopped says that the target stopped the running task: at the end of its
// lease, or because it was told to.
type Stopped struct{}

// Damaged says that an answer came that was cut or belonged to another task.
type Damaged struct{}

// Lost says that the request may have arrived and that no answer came.
type Lost struct{}

func (Answered) isEnd()   {}
func (NotStarted) isEnd() {}
func (Failed) isEnd()     {}
func (Stopped) isEnd()    {}
func (Damaged) isEnd()    {}
func (Lost) isEnd()       {}

// Reason says why a task did not start.
type Reason int

// The reasons.
const (
	// Unreachable: no connection was made.
	Unreachable Reason = iota
	// Full: no free slot.
	Full
	// Leaving: the VM is shutting down.
	Leaving
	// Late: the start-by deadline had passed.
	Late
	// Invalid: the target can't make sense of the task.
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

// Finding is what a target says about a task when asked.
type Finding interface{ isFinding() }

// FoundDone carries the kept answer of a task that ran.
type FoundDone struct{ Body []byte }

// FoundRunning says that the task runs.
type FoundRunning struct{}

// FoundStopped says that the task was stopped.
type FoundStopped struct{}

// FoundNeverStarted says that the target has no record of the task.
type FoundNeverStarted struct{}

// FoundNothing says that the target could not be asked.
type FoundNothing struct{}

func (FoundDone) isFinding()         {}
func (FoundRunning) isFinding()      {}
func (FoundStopped) isFinding()      {}
func (FoundNeverStarted) isFinding() {}
func (FoundNothing) isFinding()      {}
