package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lavenderpond/platform/standin"
)

// Bounds of the deployment that workers keep to, as in the settings.
const (
	holdMaxMS    = 6000
	stopTime     = 100 * time.Millisecond
	gangWait     = 3 * time.Second
	heartbeat    = 1500 * time.Millisecond
	moveTime     = 1500 * time.Millisecond
	upkeepTime   = 2 * time.Second
	startupTime  = 500 * time.Millisecond
	workerTick   = 10 * time.Millisecond
	lateOrderMin = 2 * time.Second
	lateOrderMax = 12 * time.Second
)

// taskSpec is the spec of a job. It tells the workers what its tasks do.
type taskSpec struct {
	Job    string `json:"job"`
	RunMS  int64  `json:"run_ms"`
	Spread int64  `json:"spread_ms,omitempty"`
	// FailPercent is how many of a hundred runs fail.
	FailPercent uint32     `json:"fail,omitempty"`
	Pad         string     `json:"pad,omitempty"`
	Steps       []stepSpec `json:"steps"`
	// Alike is set if the first step stands for all.
	Alike bool `json:"alike,omitempty"`
}

// text returns the spec as it is submitted.
func (t taskSpec) text() string {
	if t.Alike {
		t.Steps = t.Steps[:1]
	}
	b, _ := json.Marshal(t)
	return string(b)
}

// stepSpec is what a worker needs to know of a step.
type stepSpec struct {
	Count  int   `json:"n"`
	CPU    int64 `json:"c"`
	Lasts  bool  `json:"l,omitempty"`
	Fills  bool  `json:"f,omitempty"`
	Gang   bool  `json:"g,omitempty"`
	Target int64 `json:"t,omitempty"`
}

// run is a run of a task on a worker.
type run struct {
	task           string
	job            string
	k, step, index int
	attempt        int64
	spec           taskSpec
	saved          string
	begun          time.Time
	work, need     time.Duration
	stopAt         time.Time
	fails          bool
	percent        int64
}

func (r *run) def() stepSpec {
	if r.spec.Alike {
		return r.spec.Steps[0]
	}
	return r.spec.Steps[r.step]
}

// end is the end of a run that a worker lists.
type end struct {
	n       int64
	task    string
	attempt int64
	how     string
	saved   string
	at      time.Time
	lapses  int
	// gang is the task that stands for the gang of the run; empty if there is none.
	gang string
}

// worker is one life of a machine.
type worker struct {
	w        *world
	m        *machine
	id       string
	born     int64
	started  time.Time
	fence    int64
	runs     []*run
	ends     []*end
	lastEnd  int64
	barred   map[string]int64
	leaseEnd int64
	lapses   int
	draining bool
}

// machine hosts one worker at a time.
type machine struct {
	w        *world
	name     string
	pool     string
	rack     string
	zone     string
	cpu      int64
	addr     string
	cur      *worker
	state    string
	cut      bool
	lateOdds float64
	slow     float64
	seq      int64
	nextBeat time.Time
	silent   time.Time
	gone     bool
	// holder and fence are those of the last order for the machine.
	holder string
	fence  int64
}

func (k *worker) clock() int64 { return time.Since(k.started).Milliseconds() }

// boot starts a new life of the machine if it has none. With an id, the worker keeps it.
func (m *machine) boot(id string) {
	if m.cur != nil {
		return
	}
	if id == "" {
		m.w.ids++
		id = fmt.Sprintf("i-%s-%d", m.name, m.w.ids)
	}
	m.cur = &worker{w: m.w, m: m, id: id, born: time.Now().UnixMilli(), started: time.Now(), barred: map[string]int64{}}
	m.state = "up"
	m.nextBeat = time.Time{}
	m.w.logf("worker %s boots on %s in %s", id, m.name, m.pool)
}

// down ends the life of the machine's worker.
func (m *machine) down(state, why string) {
	if m.cur != nil {
		for _, r := range m.cur.runs {
			m.w.ended(m.cur, r, why, nil)
		}
		m.cur.runs = nil
		m.w.logf("worker %s is down: %s", m.cur.id, why)
	}
	m.cur = nil
	m.state = state
}

// row returns the worker's entry in the store.
func (k *worker) row() []byte {
	state := "ready"
	if k.draining {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{
		"service": k.m.pool, "address": k.m.addr, "zone": k.m.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
		"capacity": map[string]any{"cpu": k.m.cpu, "mem_mb": 65536, "gpu": 0}, "labels": []string{"a", k.m.rack},
		"clock_ms": k.clock(), "seq_num": k.m.seq, "machine": k.m.name, "born": k.born,
	})
	return b
}

// ServeHTTP answers the orders to the machine's worker.
func (m *machine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Task       string `json:"task"`
		Attempt    int64  `json:"attempt"`
		Spec       string `json:"spec"`
		Deadline   int64  `json:"deadline_ms"`
		Fence      int64  `json:"fencing_token"`
		Checkpoint string `json:"checkpoint"`
		LastSeen   int64  `json:"last_seen"`
		Wait       int64  `json:"wait_ms"`
		Percent    int64  `json:"percent"`
		Ticket     string `json:"ticket"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	m.w.mu.Lock()
	dead := m.cur == nil || m.cut
	late := !dead && rand.Float64() < m.lateOdds
	m.w.mu.Unlock()
	if dead {
		<-r.Context().Done()
		return
	}
	act := func() (int, map[string]any) {
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		k := m.cur
		if k == nil {
			return 0, nil
		}
		if r.Header.Get("Target-Instance") != k.id {
			return http.StatusMisdirectedRequest, map[string]any{}
		}
		out := map[string]any{"clock_ms": k.clock(), "born": k.born}
		if o.Fence < k.fence {
			out["reason"] = "fence"
			return http.StatusConflict, out
		}
		k.fence = o.Fence
		reason := ""
		switch r.URL.Path {
		case "/run-start":
			reason = k.start(o.Task, o.Attempt, o.Spec, o.Deadline, o.Checkpoint, o.Ticket, late)
		case "/run-stop":
			k.stop(o.Task, o.Attempt)
		case "/pace":
		case "/hold":
			k.extend(o.Deadline)
			k.forget(o.LastSeen)
			k.lists(out)
		default:
			return http.StatusNotFound, out
		}
		if reason != "" {
			out["reason"] = reason
			return http.StatusConflict, out
		}
		return http.StatusOK, out
	}
	if late {
		time.Sleep(lateOrderMin + time.Duration(rand.Int64N(int64(lateOrderMax-lateOrderMin))))
		act()
		<-r.Context().Done()
		return
	}
	status, out := act()
	if r.URL.Path == "/hold" && status == http.StatusOK && o.Wait > 0 {
		until := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
		for time.Now().Before(until) && r.Context().Err() == nil && len(out["finished"].([][]any)) == 0 {
			time.Sleep(workerTick)
			m.w.mu.Lock()
			cut := m.cut
			m.w.mu.Unlock()
			if cut {
				break
			}
			if status, out = act(); status != http.StatusOK {
				break
			}
		}
	}
	m.w.mu.Lock()
	dead = status == 0 || m.cut
	m.w.mu.Unlock()
	if dead {
		<-r.Context().Done()
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(out) // The client may have gone.
}

func (k *worker) extend(deadline int64) {
	k.leaseEnd = max(k.leaseEnd, min(deadline, k.clock()+holdMaxMS))
}

func (k *worker) forget(upTo int64) {
	for len(k.ends) > 0 && k.ends[0].n <= upTo {
		e := k.ends[0]
		k.ends = k.ends[1:]
		k.w.noted(k, e)
	}
}

func (k *worker) lists(out map[string]any) {
	running, finished := [][]any{}, [][]any{}
	for _, r := range k.runs {
		load := int64(0)
		switch d := r.def(); {
		case d.Target > 0:
			load = d.Target / 4
		default:
			load = d.CPU
		}
		running = append(running, []any{r.task, r.attempt, r.saved, r.percent, load})
	}
	for _, e := range k.ends[:min(len(k.ends), 500)] {
		finished = append(finished, []any{e.n, e.task, e.attempt, e.how, e.saved})
	}
	out["running"], out["finished"] = running, finished
}

// hash returns a number that depends on the texts only.
func hash(texts ...string) uint32 {
	h := fnv.New32a()
	for _, t := range texts {
		_, _ = h.Write([]byte(t))
	}
	return h.Sum32()
}

func (k *worker) start(task string, attempt int64, spec string, deadline int64, checkpoint, ticket string, late bool) (refusal string) {
	for _, r := range k.runs {
		if r.task == task && r.attempt == attempt {
			k.extend(deadline)
			return ""
		}
	}
	if deadline < k.clock() {
		return "late"
	}
	if attempt <= k.barred[task] {
		k.extend(deadline)
		return "old"
	}
	parts := strings.Split(task, ".")
	r := &run{task: task, job: parts[0], attempt: attempt, saved: checkpoint, begun: time.Now()}
	r.k, _ = strconv.Atoi(parts[1])
	r.step, _ = strconv.Atoi(parts[2])
	r.index, _ = strconv.Atoi(parts[3])
	if json.Unmarshal([]byte(spec), &r.spec) != nil || r.spec.Job != r.job || (r.step >= len(r.spec.Steps) && !r.spec.Alike) {
		k.w.broken("UNASKED", "%s is told to start %s with another spec", k.id, task)
		return "old"
	}
	if reason := k.w.ticketRefusal(k, r, ticket); reason != "" {
		return reason
	}
	if !r.def().Fills {
		used := r.def().CPU
		for _, x := range k.runs {
			if !x.def().Fills {
				used += x.def().CPU
			}
		}
		if used > k.m.cpu {
			if k.w.guards {
				k.extend(deadline)
				return "room"
			}
			k.w.broken("LIMIT", "%s starts %s at %d of %d", k.id, task, used, k.m.cpu)
		}
	}
	k.extend(deadline)
	r.need = time.Duration(r.spec.RunMS) * time.Millisecond
	if r.spec.Spread > 0 {
		r.need += time.Duration(int64(hash(task))%r.spec.Spread) * time.Millisecond
	}
	r.fails = hash(task, strconv.FormatInt(attempt, 10))%100 < r.spec.FailPercent
	k.runs = append(k.runs, r)
	k.w.started(k, r, late)
	return ""
}

func (k *worker) stop(task string, attempt int64) {
	k.barred[task] = max(k.barred[task], attempt)
	for _, r := range k.runs {
		if r.task == task && r.attempt <= attempt && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
	}
}

// finish ends a run on a worker that is up.
func (k *worker) finish(r *run, how string) {
	k.lastEnd++
	e := &end{n: k.lastEnd, task: r.task, attempt: r.attempt, how: how, saved: r.saved, at: time.Now(), lapses: k.lapses}
	if r.def().Gang {
		e.gang = fmt.Sprintf("%s.%d.%d.0", r.job, r.k, r.step)
	}
	k.ends = append(k.ends, e)
	k.barred[r.task] = max(k.barred[r.task], r.attempt)
	for i, x := range k.runs {
		if x == r {
			k.runs = append(k.runs[:i:i], k.runs[i+1:]...)
			break
		}
	}
	k.w.ended(k, r, how, e)
}

// tick advances the runs of a worker.
func (k *worker) tick(d time.Duration) {
	if len(k.runs) > 0 && k.clock() > k.leaseEnd {
		k.lapses++
		for _, r := range append([]*run(nil), k.runs...) {
			k.finish(r, "lapsed")
		}
		return
	}
	for _, r := range append([]*run(nil), k.runs...) {
		def := r.def()
		switch {
		case !r.stopAt.IsZero() && time.Now().After(r.stopAt):
			k.finish(r, "stopped")
			continue
		case def.Gang && !k.w.gangComplete(r):
			if time.Since(r.begun) > gangWait {
				k.finish(r, "alone")
			}
			continue
		}
		r.work += time.Duration(float64(d) / max(1, k.m.slow))
		switch {
		case def.Lasts:
			r.percent = min(100, int64(100*r.work/startupTime))
		case r.fails && r.work >= r.need/2:
			k.finish(r, "failed")
		case r.work >= r.need:
			k.finish(r, "done")
		default:
			r.percent = min(99, int64(100*r.work/max(1, r.need)))
		}
	}
}

// gangKey identifies the gang that a run belongs to.
func gangKey(r *run) string { return fmt.Sprint(r.job, ".", r.k, ".", r.step, ".", r.attempt) }

// beat writes the worker's entry in the store.
func (m *machine) beat() {
	now := time.Now()
	if m.cur == nil || m.cut || m.gone {
		if !m.silent.IsZero() && now.Sub(m.silent) > 3*heartbeat {
			m.silent = time.Time{}
			if m.w.entries[m.name] != "" {
				m.w.table.Put(standin.VMRow(m.w.entryID(m.name)), nil)
				m.w.entries[m.name] = ""
			}
		}
		return
	}
	m.silent = now
	if now.Before(m.nextBeat) {
		return
	}
	m.nextBeat = now.Add(heartbeat)
	m.seq++
	if old := m.w.entries[m.name]; old != "" && old != m.cur.id {
		m.w.table.Put(standin.VMRow(m.w.entryID(m.name)), nil)
	}
	m.w.entries[m.name] = m.cur.id
	m.w.table.Put(standin.VMRow(m.w.entryID(m.name)), m.cur.row())
}
