package main

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"lavenderpond/platform/standin"
)

// oneService sets up a deployment of three daemons and one service.
func oneService(ctx context.Context, w *world, workers int) error {
	w.services = `{"name":"one","health_path":"/health","enforces_capacity":true,"standby":false}`
	w.routes = `{"name":"plain","host":"jobs.example","path_prefix":"/plain/","timeout_ms":3000,"target_latency_ms":600,"priority":0,"service":"one","attempts":4,"stretch":1.6}`
	w.tenants = `{"name":"t1","api_keys":["k1"],"weight":8,"cap":{"cpu":0,"mem_mb":0,"gpu":0}}`
	w.approved = func(string, string) bool { return true }
	for i := range workers {
		if _, err := w.addMachine(fmt.Sprintf("m-%d", i), "one", fmt.Sprintf("r1-%d", i/4), string(rune('a'+i%3)), 16000); err != nil {
			return err
		}
	}
	if err := w.run(ctx, 3); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}

// await waits until the condition holds, or returns an error after a time.
func (w *world) await(what string, most time.Duration, holds func() bool) error {
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		ok := holds()
		w.mu.Unlock()
		if ok {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %s", what, most)
}

// host returns the machine on which a task runs, or nil. The caller holds mu.
func (w *world) host(task string) *machine {
	for _, m := range w.machines {
		if m.cur == nil {
			continue
		}
		for _, r := range m.cur.runs {
			if r.task == task {
				return m
			}
		}
	}
	return nil
}

// fills plays a service on whose workers a lasting job serves, one task on each but one. On the last one
// runs a lasting task that fills. Its machine is lost for good.
func fills(w *world, trouble bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := oneService(ctx, w, 8); err != nil {
		return err
	}
	a := lasting("00000000000000a1", 7, 2000, map[string]any{"target_ms": 100, "max_per_server": 1, "may_miss": 1})
	a.spec.Steps[0].Target = 100
	b := lasting("00000000000000b1", 1, 2000, map[string]any{"fills": true})
	b.spec.Steps[0].Fills = true
	if err := w.submitAll(a, b); err != nil {
		return err
	}
	if trouble {
		w.mu.Lock()
		m := w.host(b.id + ".0.0.0")
		w.logf("TROUBLE %s is lost for good", m.name)
		m.gone = true
		m.down("down", "lost")
		w.mu.Unlock()
	}
	// From 6 s after its last run on, and after 4 s of calm, the task must not stay away for 3 s.
	w.checkAway(time.Now().Add(13*time.Second), time.Now().Add(40*time.Second), b)
	return nil
}

// crashUnder lets the worker that runs a task crash three times, each time 2 s after the start, and start
// again 3 s later.
func (w *world) crashUnder(task string) error {
	for range 3 {
		if err := w.await("start of "+task, 20*time.Second, func() bool { return w.host(task) != nil }); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		if m := w.host(task); m != nil {
			w.logf("TROUBLE %s crashes", m.name)
			m.down("down", "lost")
			time.AfterFunc(3*time.Second, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				m.boot("")
			})
		}
		w.mu.Unlock()
		time.Sleep(3 * time.Second)
	}
	return nil
}

// crashes plays a job of one task of 4 s, and then a lasting job of one task. The workers that run them crash,
// one at a time.
func crashes(w *world, trouble bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := oneService(ctx, w, 8); err != nil {
		return err
	}
	j := &jobRecord{id: "00000000000000c1", queue: "plain", attempts: 4}
	j.spec = taskSpec{Job: j.id, RunMS: 4000, Steps: []stepSpec{{Count: 1, CPU: 2000}}}
	j.steps = []map[string]any{{"count": 1, "cpu": 2000, "mem_mb": 512, "estimated_ms": 4000}}
	if !w.submit(j, "k1", time.Now().Add(15*time.Second)) {
		return fmt.Errorf("%s was not accepted", j.id)
	}
	if trouble {
		if err := w.crashUnder(j.id + ".0.0.0"); err != nil {
			return err
		}
	}
	w.lookUntilOver(j, time.Now().Add(25*time.Second))
	l := lasting("00000000000000c2", 1, 2000, nil)
	if !w.submit(l, "k1", time.Now().Add(15*time.Second)) {
		return fmt.Errorf("%s was not accepted", l.id)
	}
	if trouble {
		if err := w.crashUnder(l.id + ".0.0.0"); err != nil {
			return err
		}
	}
	// From 6 s after its last run on, and after 4 s of calm, the task must not stay away for 3 s.
	w.checkAway(time.Now().Add(10*time.Second), time.Now().Add(20*time.Second), l)
	return nil
}

// lookUntilOver asks for a job's state until it is over, or until has passed.
func (w *world) lookUntilOver(j *jobRecord, until time.Time) {
	for time.Now().Before(until) {
		switch w.look(j, "k1") {
		case "completed", "failed", "cancelled":
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken("LOST", "%s is still %q, and there is room for it", j.id, j.state)
}

// lasting returns a lasting job of one step.
func lasting(id string, count int, cpu int64, extra map[string]any) *jobRecord {
	j := &jobRecord{id: id, queue: "plain", attempts: 4, lasts: true}
	j.spec = taskSpec{Job: id, RunMS: 1000, Steps: []stepSpec{{Count: count, CPU: cpu, Lasts: true}}}
	step := map[string]any{"count": count, "cpu": cpu, "mem_mb": 512, "estimated_ms": 700, "long_running": true, "image": "i-" + id}
	for k, v := range extra {
		step[k] = v
	}
	j.steps = []map[string]any{step}
	return j
}

// submitAll hands lasting jobs in, one after the other, and waits until all their tasks are at work.
func (w *world) submitAll(jobs ...*jobRecord) error {
	for _, j := range jobs {
		if !w.submit(j, "k1", time.Now().Add(15*time.Second)) {
			return fmt.Errorf("%s was not accepted", j.id)
		}
		for n := range j.spec.Steps[0].Count {
			task := fmt.Sprintf("%s.0.0.%d", j.id, n)
			if err := w.await("start of "+task, 15*time.Second, func() bool { return w.host(task) != nil }); err != nil {
				return err
			}
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// freeCPU returns the most CPU that is free on a worker that is up. The caller holds mu.
func (w *world) freeCPU() int64 {
	most := int64(0)
	for _, m := range w.machines {
		if m.cur == nil {
			continue
		}
		free := m.cpu
		for _, r := range m.cur.runs {
			free -= r.def().CPU
		}
		most = max(most, free)
	}
	return most
}

// checkAway records the rule as broken once a task of a lasting job has been away for 3 s from a time on,
// while some worker has room for it twice over.
func (w *world) checkAway(from, until time.Time, jobs ...*jobRecord) {
	since := map[string]time.Time{}
	w.mu.Lock()
	before := len(w.faults)
	w.mu.Unlock()
	for time.Now().Before(until) {
		w.mu.Lock()
		for _, j := range jobs {
			for n := range j.spec.Steps[0].Count {
				task := fmt.Sprintf("%s.0.0.%d", j.id, n)
				switch {
				case w.host(task) != nil, time.Now().Before(from), w.freeCPU() < 2*j.spec.Steps[0].CPU:
					delete(since, task)
				case since[task].IsZero():
					since[task] = time.Now()
				case time.Since(since[task]) > 3*time.Second:
					w.broken("LOST", "%s hasn't run for 3 s, and a worker has %d of CPU free for its %d", task, w.freeCPU(), j.spec.Steps[0].CPU)
				}
			}
		}
		stop := len(w.faults) > before
		w.mu.Unlock()
		if stop {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// wave plays a service whose workers are full of lasting tasks, three of one step on each. One machine is
// due for upkeep.
func wave(w *world, trouble bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := oneService(ctx, w, 4); err != nil {
		return err
	}
	jobs := []*jobRecord{lasting("00000000000000d1", 12, 4000, map[string]any{"may_miss": 1}), lasting("00000000000000d2", 4, 3000, map[string]any{"max_per_server": 1})}
	if err := w.submitAll(jobs...); err != nil {
		return err
	}
	const within = 20 * time.Second
	due := time.Now().Add(within)
	if trouble {
		w.mu.Lock()
		w.waveNumber, w.waveMachines = 1, []string{w.machines[0].name}
		b, _ := json.Marshal(map[string]any{"wave": 1, "machines": w.waveMachines, "duration_s": within.Seconds(), "cap": 1})
		w.logf("TROUBLE wave %s", b)
		w.table.Put(standin.WaveRow(1), b)
		w.mu.Unlock()
	}
	w.checkAway(due.Add(4*time.Second), due.Add(20*time.Second), jobs...)
	return nil
}

// lowered plays a job of one task whose tenant's cap the operator lowers before the task can start.
func lowered(w *world, trouble bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := oneService(ctx, w, 8); err != nil {
		return err
	}
	j := &jobRecord{id: "00000000000000e1", queue: "plain", attempts: 4}
	j.spec = taskSpec{Job: j.id, RunMS: 1500, Steps: []stepSpec{{Count: 2, CPU: 2000}, {Count: 2, CPU: 6000}}}
	j.steps = []map[string]any{
		{"count": 2, "cpu": 2000, "mem_mb": 512, "estimated_ms": 1500},
		{"count": 2, "cpu": 6000, "mem_mb": 512, "estimated_ms": 1500, "after": []int{0}},
	}
	w.tenants = `{"name":"t1","api_keys":["k1"],"weight":8,"cap":{"cpu":24000,"mem_mb":0,"gpu":0}}`
	w.configure(2)
	time.Sleep(2500 * time.Millisecond)
	if !w.submit(j, "k1", time.Now().Add(15*time.Second)) {
		return fmt.Errorf("%s was not accepted", j.id)
	}
	if err := w.await("start", 15*time.Second, func() bool { return w.host(j.id+".0.0.0") != nil }); err != nil {
		return err
	}
	if trouble {
		w.tenants = `{"name":"t1","api_keys":["k1"],"weight":8,"cap":{"cpu":5000,"mem_mb":0,"gpu":0}}`
		w.logf("TROUBLE the tenant's cap is lowered to 5000")
		w.configure(3)
	}
	w.lookUntilOver(j, time.Now().Add(40*time.Second))
	return nil
}

// withdrawn plays a job of two steps on a queue with advice, whose route the operator removes while the first
// step runs.
func withdrawn(w *world, trouble bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.validMS = 4000
	if err := oneService(ctx, w, 8); err != nil {
		return err
	}
	plain := w.routes
	w.routes += `,{"name":"advised","host":"jobs.example","path_prefix":"/advised/","timeout_ms":3000,"target_latency_ms":600,"priority":0,"service":"one","attempts":4,"stretch":1.6,"advice":{"decide_ms":20,"per_item_ms":1,"valid_ms":4000}}`
	w.configure(2)
	time.Sleep(2500 * time.Millisecond)
	j := &jobRecord{id: "00000000000000f1", queue: "advised", attempts: 4}
	j.spec = taskSpec{Job: j.id, RunMS: 5000, Steps: []stepSpec{{Count: 2, CPU: 2000}, {Count: 2, CPU: 2000}}}
	j.steps = []map[string]any{
		{"count": 2, "cpu": 2000, "mem_mb": 512, "estimated_ms": 5000},
		{"count": 2, "cpu": 2000, "mem_mb": 512, "estimated_ms": 5000, "after": []int{0}},
	}
	if !w.submit(j, "k1", time.Now().Add(15*time.Second)) {
		return fmt.Errorf("%s was not accepted", j.id)
	}
	if err := w.await("start", 15*time.Second, func() bool { return w.host(j.id+".0.0.0") != nil }); err != nil {
		return err
	}
	if trouble {
		w.routes = plain
		w.logf("TROUBLE the route is removed")
		w.configure(3)
	}
	over := func() bool {
		a, b := w.tasks[j.id+".0.1.0"], w.tasks[j.id+".0.1.1"]
		return a != nil && a.done != nil && b != nil && b.done != nil
	}
	if w.await("end of the job", 45*time.Second, over) == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken("LOST", "the second step of %s hasn't ended, and there is room for it", j.id)
	return nil
}

// cappedJob returns a job of four tasks that take all of a cap of 24 cores, each on a worker of its own.
func cappedJob(id string) *jobRecord {
	j := &jobRecord{id: id, queue: "plain", attempts: 4, key: "k2"}
	j.spec = taskSpec{Job: id, RunMS: 30_000, Steps: []stepSpec{{Count: 4, CPU: 6000}}}
	j.steps = []map[string]any{{"count": 4, "cpu": 6000, "mem_mb": 512, "estimated_ms": 30_000, "max_per_server": 1}}
	return j
}

// ended plays two jobs of a tenant whose cap lets one of them run. The one that runs is cancelled while the
// ownership is handed over, and three of its workers are cut off and run on.
func ended(w *world, trouble bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.capCPU = 24_000
	if err := oneService(ctx, w, 10); err != nil {
		return err
	}
	w.tenants += `,{"name":"t2","api_keys":["k2"],"weight":8,"cap":{"cpu":24000,"mem_mb":0,"gpu":0}}`
	w.configure(2)
	time.Sleep(2500 * time.Millisecond)
	first, second := cappedJob("00000000000000a2"), cappedJob("00000000000000a3")
	if !w.submit(first, "k2", time.Now().Add(15*time.Second)) {
		return fmt.Errorf("%s was not accepted", first.id)
	}
	runs := func(j *jobRecord) func() bool {
		return func() bool { return w.host(j.id+".0.0.0") != nil && w.host(j.id+".0.0.3") != nil }
	}
	if err := w.await("start", 15*time.Second, runs(first)); err != nil {
		return err
	}
	if !w.submit(second, "k2", time.Now().Add(15*time.Second)) {
		return fmt.Errorf("%s was not accepted", second.id)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		o := w.owner()
		if o == nil {
			return fmt.Errorf("no daemon owns the fleet")
		}
		w.mu.Lock()
		for i := range 3 {
			m := w.host(fmt.Sprintf("%s.0.0.%d", first.id, i))
			w.logf("TROUBLE %s is cut off and runs on", m.name)
			m.cut = true
			time.AfterFunc(4*time.Second, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				m.cut = false
			})
		}
		w.mu.Unlock()
		o.signal(syscall.SIGTERM)
	}
	w.cancel(first, "k2", time.Now().Add(10*time.Second))
	if err := w.await("start of the second job", 20*time.Second, runs(second)); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return nil
}
