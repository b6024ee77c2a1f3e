package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lavenderpond/io/link"
	"lavenderpond/platform/standin"
)

// contact is contact_ms of the settings, and a second in which processes start.
const contact = 4 * time.Second

// fuzz plays random jobs with random trouble.
func fuzz(w *world, trouble bool) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 7))
	w.guards = rng.IntN(2) == 0
	w.validMS = []int64{600, 1500, 4000}[rng.IntN(3)]
	w.approved = func(step, worker string) bool {
		for i, m := range w.machines {
			if m.cur != nil && m.cur.id == worker {
				return (int(hash(step)%97)+i)%3 != 0
			}
		}
		return false
	}
	pools := []string{"one", "two"}
	w.services = `{"name":"one","enforces_capacity":` + strconv.FormatBool(w.guards) + `},{"name":"two","enforces_capacity":` + strconv.FormatBool(w.guards) + `}`
	w.routes = `{"name":"plain","host":"jobs.example","path_prefix":"/plain/","timeout_ms":3000,"target_latency_ms":600,"priority":0,"service":"one","attempts":4,"stretch":1.6},` +
		`{"name":"advised","host":"jobs.example","path_prefix":"/advised/","timeout_ms":3000,"target_latency_ms":600,"priority":0,"service":"two","attempts":4,"stretch":1.6,"advice":{"decide_ms":20,"per_item_ms":1,"valid_ms":` + strconv.FormatInt(w.validMS, 10) + `}},` +
		`{"name":"gangs","host":"jobs.example","path_prefix":"/gangs/","timeout_ms":3000,"target_latency_ms":600,"priority":1,"service":"two","attempts":4,"stretch":1.6}`
	w.tenants = `{"name":"t1","api_keys":["k1"],"weight":8},{"name":"t2","api_keys":["k2"],"weight":8,"cap":{"cpu":60000,"mem_mb":0,"gpu":0}}`
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	size, _ := strconv.Atoi(os.Getenv("SIZE"))
	rate, _ := strconv.Atoi(os.Getenv("RATE"))
	rate = max(rate, 1)
	// The second account has a cap.
	accounts := 2
	if os.Getenv("UNCAPPED") != "" {
		accounts = 1
	}
	drain := 30 * time.Second
	if s, err := strconv.Atoi(os.Getenv("DRAIN_S")); err == nil {
		drain = time.Duration(s) * time.Second
	}
	if m := os.Getenv("MEMORY_MB"); m != "" {
		w.settings = strings.NewReplacer("memory_mb = 284", "memory_mb = "+m)
	}
	for i := range cmp.Or(size, 10) {
		if _, err := w.addMachine(fmt.Sprintf("m-%d", i), pools[i%2], fmt.Sprintf("r1-%d", i/4), string(rune('a'+i%3)), 16000); err != nil {
			return err
		}
	}
	if err := w.run(ctx, 3); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	traffic, err := strconv.Atoi(os.Getenv("TRAFFIC_S"))
	if err != nil {
		traffic = 40
	}
	var g sync.WaitGroup
	end := time.Now().Add(time.Duration(traffic) * time.Second)
	if trouble {
		g.Go(func() { w.makeTrouble(rng, end) })
	}
	for _, x := range []struct{ key, queue string }{{"k1", "plain"}, {"k1", "advised"}, {"k1", "gangs"}} {
		w.group.Go(func() { w.watchBacklogs(ctx, x.key, x.queue) })
	}
	n := 0
	for time.Now().Before(end) {
		n++
		j := randomJob(rng, n)
		if os.Getenv("BIG") != "" && rng.IntN(3) == 0 {
			j = wideJob(rng, n)
		}
		key := "k" + strconv.Itoa(1+n%accounts)
		j.key = key
		j.once = os.Getenv("ONCE") != ""
		drop := rng.IntN(10) == 0
		again := time.Duration(0)
		if os.Getenv("AGAIN") != "" && rng.IntN(2) == 0 {
			drop = rng.IntN(3) == 0
			again = time.Duration(1+rng.IntN(8000)) * time.Millisecond
		}
		after := time.Duration(rng.IntN(3000)) * time.Millisecond
		g.Go(func() {
			if !w.submit(j, key, time.Now().Add(20*time.Second)) {
				return
			}
			if again > 0 {
				w.group.Go(func() {
					time.Sleep(again)
					w.submitAgain(j, key)
				})
			}
			if drop || j.lasts {
				if j.lasts {
					after *= 5
				}
				if j.lasts && !drop && key == "k1" {
					time.Sleep(time.Until(end.Add(16 * time.Second)))
					w.checkPresent(j)
				} else {
					time.Sleep(after)
				}
				w.cancel(j, key, time.Now().Add(20*time.Second))
			}
			for time.Now().Before(end.Add(drain)) {
				switch w.look(j, key) {
				case "completed", "failed", "cancelled":
					w.mu.Lock()
					j.finished = time.Now()
					w.mu.Unlock()
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			if j.queue == "advised" && !w.allApproved(j) {
				return
			}
			w.broken("LOST", "%s (%s) is still %q: %v", j.id, j.queue, j.state, j.steps)
		})
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond / time.Duration(rate))
	}
	g.Wait()
	return nil
}

// checkPresent checks that no task of a lasting job is away for 3 s while a worker of its service has room
// for it twice over.
func (w *world) checkPresent(j *jobRecord) {
	away := map[string]int{}
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		for i, st := range j.spec.Steps {
			for n := range st.Count {
				task := fmt.Sprintf("%s.0.%d.%d", j.id, i, n)
				if w.host(task) != nil || !w.hasRoom(j, i) {
					away[task] = -100
				}
				away[task]++
			}
		}
		w.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, n := range away {
		if n == 30 {
			w.broken("LOST", "%s is away, and there is room for it: %v", task, j.steps)
		}
	}
}

// hasRoom reports whether a worker has room for a task of a lasting job twice over. The caller holds mu.
func (w *world) hasRoom(j *jobRecord, step int) bool {
	for _, m := range w.machines {
		if m.cur == nil || m.cut || m.cur.draining || m.pool != "one" {
			continue
		}
		free, same := m.cpu, 0
		for _, r := range m.cur.runs {
			if !r.def().Fills {
				free -= r.def().CPU
			}
			if r.job == j.id && r.step == step {
				same++
			}
		}
		limited := j.steps[step]["max_per_server"] != nil
		if free >= 2*j.spec.Steps[step].CPU && (!limited || same == 0) {
			return true
		}
	}
	return false
}

// allApproved reports whether each step may run on some worker. The caller holds mu.
func (w *world) allApproved(j *jobRecord) bool {
	for k := range max(1, j.times) {
		for i := range j.steps {
			n := 0
			for _, m := range w.machines {
				if m.cur != nil && m.pool == "two" && w.approved(fmt.Sprintf("%s.%d.%d", j.id, k, i), m.cur.id) {
					n++
				}
			}
			if n == 0 {
				return false
			}
		}
	}
	return true
}

// randomJob returns a random job.
func randomJob(rng *rand.Rand, n int) *jobRecord {
	id := fmt.Sprintf("%016x", uint64(n)<<32|uint64(rng.Uint32()))
	j := &jobRecord{id: id, attempts: 4, queue: []string{"plain", "plain", "advised", "gangs"}[rng.IntN(4)]}
	j.spec = taskSpec{Job: id, RunMS: int64(200 + rng.IntN(2500)), Spread: 500}
	if rng.IntN(4) == 0 {
		j.spec.FailPercent = uint32(rng.IntN(40))
	}
	if j.queue == "plain" && rng.IntN(5) == 0 {
		j.lasts = true
	}
	for i := range 1 + rng.IntN(3) {
		s := stepSpec{Count: 1 + rng.IntN(6), CPU: int64(300 + rng.IntN(3500))}
		m := map[string]any{"count": s.Count, "cpu": s.CPU, "mem_mb": 100, "estimated_ms": j.spec.RunMS}
		if i > 0 && rng.IntN(3) > 0 {
			m["after"] = []int{i - 1}
		}
		switch rng.IntN(5) {
		case 0:
			m["max_per_server"] = 1
			s.Count = min(s.Count, 3)
			m["count"] = s.Count
		case 1:
			m["affinity"] = "r1-1"
		case 2:
			m["checkpointing"] = true
		}
		if j.queue == "gangs" && rng.IntN(2) == 0 {
			s.Gang, m["gang"] = true, true
			s.Count = min(s.Count, 4)
			m["count"] = s.Count
			if rng.IntN(2) == 0 {
				m["same_rack"] = true
			}
		}
		if !s.Gang && !j.lasts && rng.IntN(6) == 0 {
			m["speculative"], j.spec2 = true, true
		}
		if j.lasts {
			s.Lasts, m["long_running"] = true, true
			delete(m, "after")
			m["may_miss"] = 1
			m["image"] = "img"
			switch rng.IntN(3) {
			case 0:
				s.Target, m["target_ms"] = 100, 100
			case 1:
				s.Fills, m["fills"] = true, true
			}
		}
		j.spec.Steps = append(j.spec.Steps, s)
		j.steps = append(j.steps, m)
	}
	if !j.lasts && rng.IntN(5) == 0 {
		j.times, j.interval = 2+rng.IntN(4), time.Duration(500+rng.IntN(2000))*time.Millisecond
		j.due = time.Now().Add(time.Duration(rng.IntN(2000)) * time.Millisecond)
	}
	return j
}

// wideJob returns a job with many short steps.
func wideJob(rng *rand.Rand, n int) *jobRecord {
	id := fmt.Sprintf("%016x", uint64(n)<<32|uint64(rng.Uint32()))
	j := &jobRecord{id: id, attempts: 4, queue: "plain"}
	j.spec = taskSpec{Job: id, RunMS: 100, Spread: 100, Alike: true}
	for range 200 + rng.IntN(1000) {
		j.spec.Steps = append(j.spec.Steps, stepSpec{Count: 1, CPU: 500})
		j.steps = append(j.steps, map[string]any{"count": 1, "cpu": 500})
	}
	return j
}

// makeTrouble makes random trouble until end.
func (w *world) makeTrouble(rng *rand.Rand, end time.Time) {
	var g sync.WaitGroup
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	if kinds[0] == "" {
		kinds = []string{"kill", "kill", "freeze", "cut_store", "crash", "crash", "reborn", "cut", "late", "store", "term", "gone", "slow", "history", "draining", "config", "wave", "cloud"}
	}
	for time.Now().Before(end.Add(-8 * time.Second)) {
		kind := kinds[rng.IntN(len(kinds))]
		d := w.daemons[rng.IntN(len(w.daemons))]
		if o := w.owner(); o != nil && rng.IntN(3) > 0 {
			d = o
		}
		m := w.machines[rng.IntN(len(w.machines))]
		length := time.Duration(500+rng.IntN(4500)) * time.Millisecond
		fault := []standin.TableFault{standin.TableDown, standin.TableBusy, standin.TableSilent, standin.TableLosesAnswers, standin.TableSlow}[rng.IntN(5)]
		w.mu.Lock()
		w.logf("TROUBLE %s %s %s %s", kind, d.name, m.name, length)
		w.trouble = time.Now().Add(length)
		w.mu.Unlock()
		g.Go(func() { w.disrupt(kind, d, m, length, fault) })
		time.Sleep(time.Duration(300+rng.IntN(4000)) * time.Millisecond)
	}
	g.Wait()
}

// disrupt makes one kind of trouble for a time.
func (w *world) disrupt(kind string, d *daemon, m *machine, length time.Duration, fault standin.TableFault) {
	locked := func(f func()) {
		w.mu.Lock()
		defer w.mu.Unlock()
		f()
	}
	disturb := func(change int) {
		locked(func() {
			switch kind {
			case "kill", "term", "freeze", "cut_store":
				d.calm.change(change, contact)
			case "store", "history":
				w.calm.change(change, contact)
			}
		})
	}
	switch kind {
	case "kill", "term", "freeze":
		// One at a time: a frozen process can't be stopped.
		if !d.busy.TryLock() {
			return
		}
		defer d.busy.Unlock()
	}
	disturb(1)
	defer disturb(-1)
	switch kind {
	case "kill":
		d.kill()
		time.Sleep(length / 4)
		d.restart()
	case "term":
		d.signal(syscall.SIGTERM)
		select {
		case <-d.exited:
		case <-time.After(6 * time.Second):
			locked(func() { w.broken("HANG", "%s doesn't stop", d.name) })
			d.kill()
		}
		d.restart()
	case "freeze":
		d.signal(syscall.SIGSTOP)
		time.Sleep(length)
		d.signal(syscall.SIGCONT)
	case "cut_store":
		d.store.SetState(link.Silent, 0)
		time.Sleep(length)
		d.store.SetState(link.Open, 0)
	case "crash", "reborn", "gone":
		id := ""
		locked(func() {
			if m.cur != nil && !m.gone {
				id = m.cur.id
				m.down("down", "lost")
			}
		})
		if id == "" {
			return
		}
		if kind == "gone" {
			length = 12 * time.Second
		}
		time.Sleep(length)
		locked(func() {
			if kind != "reborn" {
				id = ""
			}
			m.boot(id)
		})
	case "cut":
		locked(func() { m.cut = true })
		time.Sleep(length)
		locked(func() { m.cut = false })
	case "late":
		locked(func() { m.lateOdds = 0.3 })
		time.Sleep(length)
		locked(func() { m.lateOdds = 0 })
	case "cloud":
		locked(func() { w.cloudOdds = 0.6 })
		time.Sleep(length)
		locked(func() { w.cloudOdds = 0 })
	case "slow":
		locked(func() { m.slow = 6 })
		time.Sleep(length)
		locked(func() { m.slow = 1 })
	case "store":
		w.table.SetFault(fault)
		time.Sleep(length)
		w.table.SetFault(standin.TableHealthy)
	case "config":
		w.configure(int(time.Since(w.begun).Milliseconds()))
	case "reroute":
		from, to := `"priority":0,"service":"one"`, `"priority":0,"service":"two"`
		if !strings.Contains(w.routes, from) {
			from, to = `"priority":0,"service":"two"`, `"priority":0,"service":"one"`
		}
		w.routes = strings.Replace(w.routes, from, to, 1)
		w.configure(int(time.Since(w.begun).Milliseconds()))
	case "wave":
		locked(func() {
			if w.waveNumber > 0 && time.Since(w.waveAt) < 20*time.Second {
				return
			}
			w.waveNumber++
			w.waveAt = time.Now()
			var names []string
			for _, x := range w.machines {
				if rand.IntN(2) == 0 && !x.gone {
					names = append(names, x.name)
				}
			}
			b, _ := json.Marshal(map[string]any{"wave": w.waveNumber, "machines": names, "duration_s": 20, "cap": 2})
			w.waveMachines = names
			w.logf("wave %d: %s", w.waveNumber, b)
			w.table.Put(standin.WaveRow(w.waveNumber), b)
		})
	case "history":
		w.table.DropHistory()
	case "draining":
		locked(func() {
			if m.cur != nil && m.state == "up" {
				m.cur.draining = true
				m.nextBeat = time.Time{}
			}
		})
		time.Sleep(2500 * time.Millisecond)
		locked(func() {
			if m.cur != nil && m.cur.draining {
				m.down("down", "left")
			}
		})
		time.Sleep(length)
		locked(func() {
			if m.state == "down" {
				m.boot("")
			}
		})
	}
}
