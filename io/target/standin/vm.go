// Package standin simulates target VMs for tests. A simulated VM has slots, honours
// leases, and records every start, so that tests can check which tasks ran. It can be set
// to lose, truncate, misdirect or delay answers, to fail tasks, to refuse new tasks, and
// to go down.
package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lavenderpond/core"
	"lavenderpond/io/target"
)

// VM is a simulated target VM. Slots must be set. It is safe for concurrent use.
type VM struct {
	ID    core.VMID
	Slots core.Slots
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log, if set, records every start and end.
	Log *StartLog

	mu      sync.Mutex
	running map[*task]struct{}
	// outcomes holds the outcomes of ended tasks by task name.
	outcomes map[string]outcome
	// endedOrder lists the names of ended tasks, oldest first.
	endedOrder []string
	faults     Faults
	down       bool
	// drainUntil is the time until which the VM refuses new tasks.
	drainUntil time.Time
}

// Faults describes how a VM misbehaves.
type Faults struct {
	// FailAll fails every task immediately.
	FailAll bool `json:"fail_all,omitempty"`
	// RefuseAll refuses every task as invalid.
	RefuseAll bool `json:"refuse_all,omitempty"`
	// LoseAnswers, TruncateAnswers and MisdirectAnswers are the numbers of answers to
	// lose, to truncate, and to replace with the answer of another task. Each task that
	// ran counts all three down.
	LoseAnswers      int `json:"lose_answers,omitempty"`
	TruncateAnswers  int `json:"cut_answers,omitempty"`
	MisdirectAnswers int `json:"cross_answers,omitempty"`
	// Leaving refuses new tasks and lets running tasks finish.
	Leaving bool `json:"leaving,omitempty"`
	// Slowdown is the factor by which tasks run longer, if above 1.
	Slowdown int `json:"slow_by,omitempty"`
}

// Work is the JSON form of a task's body that the simulated VM understands. A task with
// any other body takes no time and still gets an answer.
type Work struct {
	RunMs       int64 `json:"run_ms"`
	AnswerBytes int   `json:"answer_bytes"`
	Fail        bool  `json:"fail"`
}

// maxKeptAnswers is the maximum number of ended tasks whose answers a VM keeps for GET
// requests.
const maxKeptAnswers = 20000

// task is one start of a task. Two starts of the same id are two values.
type task struct {
	name string
	stop chan struct{}
}

// outcome is the final state of a task and the body of its answer.
type outcome struct {
	state string
	body  []byte
}

// Handler returns the VM's HTTP interface.
func (v *VM) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tasks/{team}/{id}", v.post)
	mux.HandleFunc("GET /tasks/{team}/{id}", v.get)
	mux.HandleFunc("DELETE /tasks/{team}/{id}", v.delete)
	return mux
}

// SetFaults replaces the VM's faults.
func (v *VM) SetFaults(f Faults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = f
}

// Running returns the number of slots in use.
func (v *VM) Running() core.Slots {
	v.mu.Lock()
	defer v.mu.Unlock()
	return core.Slots(len(v.running))
}

func (v *VM) post(w http.ResponseWriter, r *http.Request) {
	name := taskName(r)
	body, err := readBody(r)
	if err != nil {
		refuse(w, target.ReasonInvalid)
		return
	}
	t, reason := v.start(name, r)
	if reason != "" {
		refuse(w, reason)
		return
	}
	work := parseWork(body)
	stopped := v.run(r, t, work)
	answer := makeAnswer(name, body, work)
	state := target.StateDone
	if stopped {
		state, answer = target.StateStopped, nil
	}
	f := v.end(t, state, answer)
	reply(w, r, name, state, answer, f, work)
}

// start takes a slot for a task. If the task can't start, it returns the reason.
func (v *VM) start(name string, r *http.Request) (*task, string) {
	startBy, err := target.Millis(r.Header, target.HeaderStartBy)
	if err != nil {
		return nil, target.ReasonInvalid
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.faults.RefuseAll:
		return nil, target.ReasonInvalid
	case v.down || v.faults.Leaving || v.now().Before(v.drainUntil):
		return nil, target.ReasonLeaving
	case !v.now().Before(startBy):
		return nil, target.ReasonLate
	case core.Slots(len(v.running)) >= v.Slots:
		return nil, target.ReasonFull
	}
	if v.running == nil {
		v.running = make(map[*task]struct{})
	}
	if v.outcomes == nil {
		v.outcomes = make(map[string]outcome)
	}
	// A second start of the same id isn't refused, so that the log shows every start that
	// the entries ordered.
	t := &task{name: name, stop: make(chan struct{}, 1)}
	v.running[t] = struct{}{}
	v.Log.started(Start{VM: v.ID, Task: name, Attempt: r.Header.Get(target.HeaderAttempt), At: v.now()})
	return t, ""
}

// run waits for the run time of the task. It reports whether the task was stopped before,
// by a call or by the end of its lease.
func (v *VM) run(r *http.Request, t *task, work Work) bool {
	if v.failsAll() || work.RunMs <= 0 {
		return false
	}
	v.mu.Lock()
	d := time.Duration(work.RunMs) * time.Millisecond * time.Duration(max(1, v.faults.Slowdown))
	v.mu.Unlock()
	lease := d + time.Second
	if until, err := target.Millis(r.Header, target.HeaderLeaseUntil); err == nil {
		lease = until.Sub(v.now())
	}
	timer := time.NewTimer(min(d, lease))
	defer timer.Stop()
	select {
	case <-t.stop:
		return true
	case <-timer.C:
		return lease < d
	}
}

func (v *VM) failsAll() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.faults.FailAll
}

// end frees the task's slot and keeps its answer. It returns the faults to apply to the
// reply.
func (v *VM) end(t *task, state string, answer []byte) Faults {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.running, t)
	name := t.name
	v.outcomes[name] = outcome{state: state, body: answer}
	v.endedOrder = append(v.endedOrder, name)
	if len(v.endedOrder) > maxKeptAnswers {
		delete(v.outcomes, v.endedOrder[0])
		v.endedOrder = v.endedOrder[1:]
	}
	v.Log.ended(v.ID, name, v.now())
	f := v.faults
	decrement(&v.faults.LoseAnswers)
	decrement(&v.faults.TruncateAnswers)
	decrement(&v.faults.MisdirectAnswers)
	return f
}

func (v *VM) get(w http.ResponseWriter, r *http.Request) {
	name := taskName(r)
	v.mu.Lock()
	o, ended := v.outcomes[name]
	isRunning := v.isRunning(name)
	v.mu.Unlock()
	w.Header().Set(target.HeaderTask, name)
	switch {
	case isRunning:
		w.Header().Set(target.HeaderState, target.StateRunning)
	case !ended:
		w.Header().Set(target.HeaderState, target.StateNone)
	default:
		w.Header().Set(target.HeaderState, o.state)
		w.Header().Set(target.HeaderLength, strconv.Itoa(len(o.body)))
		_, _ = w.Write(o.body)
	}
}

func (v *VM) delete(_ http.ResponseWriter, r *http.Request) {
	name := taskName(r)
	v.mu.Lock()
	defer v.mu.Unlock()
	for t := range v.running {
		if t.name == name {
			select {
			case t.stop <- struct{}{}:
			default:
			}
		}
	}
}

func (v *VM) isRunning(name string) bool {
	for t := range v.running {
		if t.name == name {
			return true
		}
	}
	return false
}

func (v *VM) now() time.Time {
	if v.Now == nil {
		return time.Now()
	}
	return v.Now()
}

func parseWork(body []byte) Work {
	var work Work
	if json.Unmarshal(body, &work) != nil {
		return Work{}
	}
	return work
}
