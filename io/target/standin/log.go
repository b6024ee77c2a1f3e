package standin

import (
	"sync"
	"time"

	"lavenderpond/core"
)

// Start records one start of a task on a VM.
type Start struct {
	VM      core.VMID `json:"vm"`
	Task    string    `json:"task"`
	Attempt string    `json:"attempt"`
	At      time.Time `json:"at"`
	End     time.Time `json:"end,omitzero"`
}

// StartLog records which tasks ran, and when. Tests compare answers and limits with it. A
// nil StartLog records nothing. It is safe for concurrent use.
type StartLog struct {
	mu     sync.Mutex
	starts []Start
	// running maps the VM and name of a running task to the index of its start.
	running map[string]int
}

func (l *StartLog) started(s Start) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == nil {
		l.running = make(map[string]int)
	}
	l.running[string(s.VM)+" "+s.Task] = len(l.starts)
	l.starts = append(l.starts, s)
}

func (l *StartLog) ended(vm core.VMID, name string, at time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := string(vm) + " " + name
	if i, ok := l.running[key]; ok {
		l.starts[i].End = at
		delete(l.running, key)
	}
}

// Starts returns all starts so far, in the order in which they happened.
func (l *StartLog) Starts() []Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Start(nil), l.starts...)
}
