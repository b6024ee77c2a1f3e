package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"lavenderpond/platform"
	"lavenderpond/platform/standin"
)

const (
	// maxLeaseMS is hold_max_ms, the longest lease of a worker.
	maxLeaseMS = 6000
	// maxListedEnds is how many ends a worker lists at a time.
	maxListedEnds = 500
	// workersPerRack is how many workers share a rack.
	workersPerRack = 4
	// stopTime is how long a task takes to stop, within stop_grace_ms.
	stopTime = 50 * time.Millisecond
	// startup is how long a task that lasts takes until it is at work.
	startup = 300 * time.Millisecond
	// workerTick is how often a worker looks for runs that are due to end.
	workerTick = 5 * time.Millisecond
	// heartbeat is heartbeat_ms, how often a worker writes its entry.
	heartbeat = 1500 * time.Millisecond
)

// Kinds of workers, which are labels: those of the first rack are of another kind than the others.
const (
	kindOfFirstRack = "b"
	kindOfOthers    = "a"
)

// taskSpec is the spec of the jobs of the cases: what a task of theirs needs and does.
type taskSpec struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	// RunMS is how long the task runs; 0 for one that lasts.
	RunMS int64 `json:"run_ms"`
}

// worker is a stand-in for one worker that enforces its capacity.
type worker struct {
	w          *world
	id         string
	machine    string
	zone       string
	kind, rack string
	address    string
	cpu, memMB int64

	mu sync.Mutex
	// born is the start of the worker's present life. While it is down it answers nothing.
	born     time.Time
	down     bool
	fence    int64
	leaseEnd int64
	sequence int64
	runs     map[string]*workerRun
	ended    []workerEnd
	numEnds  int64
	// highest is the highest attempt of each task that was stopped or has ended.
	highest map[string]int64
}

type workerRun struct {
	task              string
	attempt           int64
	spec              taskSpec
	startedAt, stopAt time.Time
}

type workerEnd struct {
	number  int64
	task    string
	attempt int64
	how     string
}

type workerOrder struct {
	Task     string `json:"task"`
	Attempt  int64  `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

func (v *worker) clock() int64 { return time.Since(v.born).Milliseconds() }

// ServeHTTP implements http.Handler.
func (v *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t := r.Header.Get("Target-Instance"); t != "" && t != v.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o workerOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	life := v.life()
	status, out := v.execute(r.URL.Path, o, life)
	if r.URL.Path == "/hold" && status == http.StatusOK && o.Wait > 0 {
		v.awaitEnd(r, o)
		status, out = v.execute(r.URL.Path, o, life)
	}
	if status == 0 {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

// awaitEnd waits for an end that isn't noted yet.
func (v *worker) awaitEnd(r *http.Request, o workerOrder) {
	until := time.Now().Add(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for r.Context().Err() == nil && time.Now().Before(until) {
		v.mu.Lock()
		n := len(v.ended)
		v.mu.Unlock()
		if n > 0 {
			return
		}
		time.Sleep(workerTick)
	}
}

// life returns the start of the worker's present life, or zero while it is down.
func (v *worker) life() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down {
		return time.Time{}
	}
	return v.born
}

// execute carries out an order that arrived in the given life. Status 0 means that there is no
// answer, because that life is over.
func (v *worker) execute(path string, o workerOrder, life time.Time) (int, map[string]any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down || !life.Equal(v.born) {
		return 0, nil
	}
	v.endDue()
	out := map[string]any{"clock_ms": v.clock(), "born": v.born.UnixMilli()}
	if o.Fence < v.fence {
		out["reason"] = "fence"
		return http.StatusConflict, out
	}
	v.fence = o.Fence
	switch path {
	case "/run-start":
		if reason := v.start(o); reason != "" {
			out["reason"] = reason
			return http.StatusConflict, out
		}
	case "/run-stop":
		v.highest[o.Task] = max(v.highest[o.Task], o.Attempt)
		if r := v.runs[o.Task]; r != nil && r.attempt <= o.Attempt && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
	case "/hold":
		v.extend(o.Deadline)
		for len(v.ended) > 0 && v.ended[0].number <= o.LastSeen {
			v.ended = v.ended[1:]
		}
		running, finished := [][]any{}, [][]any{}
		for _, r := range v.runs {
			running = append(running, []any{r.task, r.attempt, "", r.percent(), r.spec.CPU})
		}
		for _, e := range v.ended[:min(len(v.ended), maxListedEnds)] {
			finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
		}
		out["running"], out["finished"] = running, finished
	case "/pace":
	default:
		return http.StatusNotFound, out
	}
	return http.StatusOK, out
}

// percent returns the progress of a run. A task that lasts is at work after a short startup.
func (r *workerRun) percent() int64 {
	if r.spec.RunMS == 0 {
		if time.Since(r.startedAt) < startup {
			return 0
		}
		return 100
	}
	return min(99, 100*time.Since(r.startedAt).Milliseconds()/r.spec.RunMS)
}

// done reports whether the run has come to its end.
func (r *workerRun) done(now time.Time) bool {
	return r.spec.RunMS > 0 && now.Sub(r.startedAt).Milliseconds() >= r.spec.RunMS
}

// extend moves the lease's end, which applies to everything that runs here.
func (v *worker) extend(deadline int64) {
	v.leaseEnd = max(v.leaseEnd, min(deadline, v.clock()+maxLeaseMS))
}

func (v *worker) start(o workerOrder) string {
	if r := v.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		v.extend(o.Deadline)
		return ""
	}
	var s taskSpec
	if o.Deadline < v.clock() || json.Unmarshal([]byte(o.Spec), &s) != nil {
		return "late"
	}
	v.extend(o.Deadline)
	if v.highest[o.Task] >= o.Attempt || v.runs[o.Task] != nil {
		return "old"
	}
	cpu, mem := s.CPU, s.MemMB
	for _, r := range v.runs {
		cpu, mem = cpu+r.spec.CPU, mem+r.spec.MemMB
	}
	if cpu > v.cpu || mem > v.memMB {
		return "room"
	}
	v.runs[o.Task] = &workerRun{task: o.Task, attempt: o.Attempt, spec: s, startedAt: time.Now()}
	v.w.runStarted(v, o.Task, o.Attempt)
	return ""
}

// endDue ends the runs that are done or stopped, and all of them once the lease has expired.
func (v *worker) endDue() {
	now, lapsed := time.Now(), v.clock() > v.leaseEnd
	var due []string
	for name, r := range v.runs {
		if lapsed || r.done(now) || (!r.stopAt.IsZero() && now.After(r.stopAt)) {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	for _, name := range due {
		r, how := v.runs[name], "done"
		switch {
		case lapsed:
			how = "lapsed"
		case !r.done(now):
			how = "stopped"
		}
		delete(v.runs, name)
		v.highest[name] = max(v.highest[name], r.attempt)
		v.numEnds++
		v.ended = append(v.ended, workerEnd{v.numEnds, r.task, r.attempt, how})
		v.w.runEnded(v, r.task, r.attempt, how)
	}
}

// live ends runs in time and writes the worker's entry until the world closes.
func (v *worker) live() {
	next := time.Now()
	for !v.w.closed() {
		v.mu.Lock()
		if !v.down {
			v.endDue()
		}
		down := v.down
		v.mu.Unlock()
		if now := time.Now(); !down && !now.Before(next) {
			next = now.Add(heartbeat)
			v.writeEntry()
		}
		time.Sleep(workerTick)
	}
}

// crash ends the worker's life. It answers nothing for the time, and is then back under its ID with
// nothing of before.
func (v *worker) crash(down time.Duration) {
	v.mu.Lock()
	v.w.logf("DISRUPTION worker %s crashes and is silent for %s", v.id, down)
	v.down = true
	for _, r := range v.runs {
		v.w.runEnded(v, r.task, r.attempt, "lost")
	}
	v.runs, v.ended, v.highest = map[string]*workerRun{}, nil, map[string]int64{}
	v.fence, v.leaseEnd, v.sequence, v.numEnds = 0, 0, 0, 0
	v.mu.Unlock()
	time.Sleep(down)
	v.mu.Lock()
	v.born, v.down = time.Now(), false
	v.mu.Unlock()
	v.w.logf("worker %s is back", v.id)
	v.writeEntry()
}

func (v *worker) writeEntry() {
	v.mu.Lock()
	v.sequence++
	entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold_left_ms":0,`+
		`"capacity":{"cpu":%d,"mem_mb":%d,"gpu":0},"labels":[%q,%q],"machine":%q,"clock_ms":%d,"born":%d,"seq_num":%d}`,
		servicePool, v.address, v.zone, v.cpu, v.memMB, v.kind, v.rack, v.machine, v.clock(), v.born.UnixMilli(), v.sequence)
	v.mu.Unlock()
	v.w.table.Put(platform.RowKey{Table: platform.VMTable, Key: v.id}, []byte(entry))
}

// addWorkers starts n workers on machines of their own, four a rack.
func (w *world) addWorkers(n int, cpu, memMB int64) error {
	for i := range n {
		rack, kind := i/workersPerRack, kindOfOthers
		if rack == 0 {
			kind = kindOfFirstRack
		}
		zone := zones[rack%len(zones)]
		v := &worker{
			w: w, id: fmt.Sprintf("worker-%02d.%s.%s.qld-south.example", i, servicePool, zone), machine: fmt.Sprintf("m-%02d", i), zone: zone, kind: kind,
			rack: fmt.Sprintf("r%d-%d", rack%len(zones)+1, rack), cpu: cpu, memMB: memMB, born: time.Now(),
			runs: map[string]*workerRun{}, highest: map[string]int64{},
		}
		address, err := w.serve(v)
		if err != nil {
			return err
		}
		v.address = address
		w.workers = append(w.workers, v)
		w.group.Go(v.live)
	}
	w.listMachines()
	return nil
}

// configurationRow is the key of the row that holds the configuration.
var configurationRow = standin.ConfigurationRow
