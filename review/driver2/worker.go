package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lavenderpond/platform"
)

const (
	heartbeat      = 1500 * time.Millisecond
	tick           = 5 * time.Millisecond
	taskStop       = 100 * time.Millisecond
	moveTime       = 1500 * time.Millisecond
	leaseMaxMS     = 6000
	machinesInRack = 4
	workerCPU      = 32000
	workerMemMB    = 65536
	statusLost     = "lost with its worker"
)

// machine hosts one worker, which may crash and start again under its id.
type machine struct {
	w       *world
	name    string
	id      string
	zone    string
	rack    string
	address string

	mu     sync.Mutex
	pool   string
	moving bool
	// lives counts the workers that the machine has had.
	lives  int
	life   *life
	server *http.Server
	// sequence numbers the heartbeats of the present life.
	sequence int
}

// life is one boot of a worker.
type life struct {
	m       *machine
	started time.Time

	mu       sync.Mutex
	dead     bool
	fence    uint64
	leaseEnd int64
	runs     []*run
	ends     []end
	lastEnd  int64
	// over holds the highest attempt of each task that was stopped or has ended here.
	over map[string]int64
}

// run is a task that runs on a worker.
type run struct {
	task    string
	attempt int64
	step    stepDef
	begun   time.Time
	stopAt  time.Time
}

// end is the end of a run that isn't acknowledged.
type end struct {
	number  int64
	task    string
	attempt int64
	how     string
}

func (w *world) addMachine(i int, pool string) (*machine, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	zone := i % len(zones)
	m := &machine{
		w: w, pool: pool, name: fmt.Sprintf("m-%02d", i), id: fmt.Sprintf("i-%04x", 0x1000+i), zone: zones[zone], address: address,
		rack: fmt.Sprintf("r%d-%d", zone+1, i/len(zones)/machinesInRack+1),
	}
	w.machines = append(w.machines, m)
	w.group.Go(m.beat)
	return m, nil
}

// listing is the machine's entry in the platform's list.
func (m *machine) listing() map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, id := "up", m.id
	switch {
	case m.moving:
		state, id = "moving", ""
	case m.life == nil:
		state, id = "down", ""
	}
	return map[string]any{
		"machine": m.name, "pool": m.pool, "state": state, "zone": m.zone, "labels": []string{"a", m.rack},
		"capacity": map[string]any{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0}, "id": id,
	}
}

// boot starts a new life of the worker under its id.
func (m *machine) boot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	var l net.Listener
	var err error
	for range 200 {
		if l, err = net.Listen("tcp4", m.address); err == nil {
			break
		}
		time.Sleep(tick)
	}
	if err != nil {
		m.w.record("%s: cannot listen: %v", m.id, err)
		return
	}
	x := &life{m: m, started: time.Now(), over: map[string]int64{}}
	m.life, m.sequence = x, 0
	s := &http.Server{Handler: x, ReadHeaderTimeout: time.Minute}
	m.server = s
	m.w.record("%s: worker up on %s in %s, rack %s, born %d", m.id, m.name, m.zone, m.rack, x.started.UnixMilli())
	m.w.group.Go(func() { _ = s.Serve(l) }) // Returns when the life ends.
	m.w.group.Go(x.work)
	m.putEntry()
}

// crash ends the worker's life and resets its connections.
func (m *machine) crash(why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil {
		return
	}
	x, s := m.life, m.server
	m.life = nil
	x.mu.Lock()
	x.dead = true
	m.w.record("%s: worker down (%s)", m.id, why)
	for _, r := range x.runs {
		m.w.record("%s: %s run %d %s after %d ms", m.id, r.task, r.attempt, statusLost, time.Since(r.begun).Milliseconds())
	}
	x.mu.Unlock()
	_ = s.Close()
}

// move ends the worker and starts another one, under a new id, in a pool.
func (m *machine) move(to string) (status int, reason string) {
	m.mu.Lock()
	up := m.life != nil
	done := m.pool == to
	m.mu.Unlock()
	switch {
	case done:
		return http.StatusOK, ""
	case !up:
		return http.StatusConflict, "busy"
	}
	m.crash("moves to another pool")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.w.table.Put(m.entryKey(), nil)
	m.moving, m.pool = true, to
	m.lives++
	m.id = fmt.Sprintf("%s-%d", strings.SplitN(m.id, ".", 2)[0], m.lives)
	m.w.group.Go(func() {
		m.w.sleep(moveTime)
		m.mu.Lock()
		m.moving = false
		m.mu.Unlock()
		if m.w.ctx.Err() == nil {
			m.boot()
		}
	})
	return http.StatusOK, ""
}

// beat writes the worker's entry, and removes it after three silent intervals.
func (m *machine) beat() {
	silent := 0
	for m.w.ctx.Err() == nil {
		m.w.sleep(heartbeat)
		m.mu.Lock()
		switch {
		case m.life != nil:
			silent = 0
			m.putEntry()
		case silent == 3:
			m.w.table.Put(m.entryKey(), nil)
			silent++
		default:
			silent++
		}
		m.mu.Unlock()
	}
}

func (m *machine) entryKey() platform.RowKey {
	return platform.RowKey{Table: platform.VMTable, Key: m.id}
}

// putEntry writes the entry of the present life. m.mu must be held.
func (m *machine) putEntry() {
	m.sequence++
	b, err := json.Marshal(map[string]any{
		"service": m.pool, "address": m.address, "zone": m.zone, "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"seq_num": m.sequence, "capacity": map[string]any{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0},
		"labels": []string{"a", m.rack}, "machine": m.name, "clock_ms": m.life.clock(), "born": m.life.started.UnixMilli(),
	})
	if err != nil {
		panic(err) // The value is made of plain maps.
	}
	m.w.table.Put(m.entryKey(), b)
}

func (x *life) clock() int64 { return time.Since(x.started).Milliseconds() }

// work advances the runs until the life ends.
func (x *life) work() {
	for x.m.w.ctx.Err() == nil {
		time.Sleep(tick)
		x.mu.Lock()
		if x.dead {
			x.mu.Unlock()
			return
		}
		x.advance()
		x.mu.Unlock()
	}
}

func (x *life) advance() {
	now := time.Now()
	lapsed := x.clock() > x.leaseEnd
	active := x.runs[:0:0]
	for _, r := range x.runs {
		switch {
		case lapsed:
			x.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			x.end(r, "stopped")
		case !r.step.LongRunning && now.Sub(r.begun) >= r.step.run():
			x.end(r, "done")
		default:
			active = append(active, r)
		}
	}
	x.runs = active
}

func (x *life) end(r *run, how string) {
	x.lastEnd++
	x.ends = append(x.ends, end{x.lastEnd, r.task, r.attempt, how})
	x.over[r.task] = max(x.over[r.task], r.attempt)
	x.m.w.ended(r.task, how)
	x.m.w.record("%s: %s run %d ended %s after %d ms", x.m.id, r.task, r.attempt, how, time.Since(r.begun).Milliseconds())
}

// order is the body of an order; each kind uses some of its fields.
type order struct {
	Task     string `json:"task"`
	Attempt  int64  `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
	Ticket   string `json:"ticket"`
}

// ServeHTTP implements http.Handler.
func (x *life) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Target-Instance") != x.m.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/hold" {
		x.apply(r.URL.Path, &o)
		x.awaitEnd(r, &o)
	}
	status, out := x.apply(r.URL.Path, &o)
	if status == 0 {
		<-r.Context().Done()
		return
	}
	writeJSON(rw, status, out)
}

func (x *life) awaitEnd(r *http.Request, o *order) {
	for until := time.Now().Add(time.Duration(o.Wait) * time.Millisecond); time.Now().Before(until) && r.Context().Err() == nil; {
		x.mu.Lock()
		wake := x.dead || len(x.ends) > 0
		x.mu.Unlock()
		if wake {
			return
		}
		time.Sleep(tick)
	}
}

// apply executes an order. Status 0 means that the life is over and doesn't answer.
func (x *life) apply(path string, o *order) (status int, out map[string]any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.dead {
		return 0, nil
	}
	out = map[string]any{"clock_ms": x.clock(), "born": x.started.UnixMilli()}
	if o.Fence < x.fence {
		out["reason"] = "fence"
		return http.StatusConflict, out
	}
	x.fence = o.Fence
	switch path {
	case "/run-start":
		if reason := x.begin(o); reason != "" {
			out["reason"] = reason
			return http.StatusConflict, out
		}
	case "/run-stop":
		x.stop(o)
	case "/hold":
		x.extend(o.Deadline)
		for len(x.ends) > 0 && x.ends[0].number <= o.LastSeen {
			x.ends = x.ends[1:]
		}
		x.lists(out)
	case "/pace":
	default:
		return http.StatusNotFound, out
	}
	return http.StatusOK, out
}

func (x *life) extend(deadline int64) {
	x.leaseEnd = max(x.leaseEnd, min(deadline, x.clock()+leaseMaxMS))
}

func (x *life) begin(o *order) (refusal string) {
	step, spec, known := x.m.w.stepOf(o.Task)
	if o.Deadline < x.clock() {
		return "late"
	}
	x.extend(o.Deadline)
	used := step.reserved()
	for _, r := range x.runs {
		if r.task == o.Task && r.attempt == o.Attempt {
			return ""
		}
		used += r.step.reserved()
	}
	switch {
	case x.over[o.Task] >= o.Attempt:
		return "old"
	case step.Advised && o.Ticket != ticket(o.Task, x.m.id):
		return "ticket"
	case used > workerCPU:
		return "room"
	case !known || spec != o.Spec:
		x.m.w.record("%s: %s run %d was never handed in, or with another spec", x.m.id, o.Task, o.Attempt)
	}
	x.runs = append(x.runs, &run{task: o.Task, attempt: o.Attempt, step: step, begun: time.Now()})
	x.m.w.begun(o.Task)
	x.m.w.record("%s: %s run %d started", x.m.id, o.Task, o.Attempt)
	return ""
}

// ticket returns the ticket for a task's step on a worker.
func ticket(task, worker string) string {
	return "t-" + task[:strings.LastIndexByte(task, '.')] + "-" + worker
}

func (x *life) stop(o *order) {
	x.over[o.Task] = max(x.over[o.Task], o.Attempt)
	for _, r := range x.runs {
		if r.task == o.Task && r.attempt <= o.Attempt && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(taskStop)
		}
	}
}

func (x *life) lists(out map[string]any) {
	running, finished := [][]any{}, [][]any{}
	for _, r := range x.runs {
		percent := int64(100)
		if !r.step.LongRunning {
			percent = min(99, 100*time.Since(r.begun).Milliseconds()/r.step.RunMS)
		}
		running = append(running, []any{r.task, r.attempt, "", percent, r.step.load()})
	}
	for _, e := range x.ends {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	out["running"], out["finished"] = running, finished
}

// jobOf returns the job and the step of a task named ID.K.STEP.INDEX.
func jobOf(task string) (id string, step int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0
	}
	step, _ = strconv.Atoi(parts[2])
	return parts[0], step
}
