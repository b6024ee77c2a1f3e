package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	probeJob = "5c0e7a21d94b36f8"
	otherJob = "6d1f8b32ea5c47a9"
)

// await waits until the condition holds and reports whether it did.
func (w *world) await(within time.Duration, condition func() bool) bool {
	for until := time.Now().Add(within); w.ctx.Err() == nil && time.Now().Before(until); w.sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// playAdvice hands in a job whose step only some workers may run, and looks whether it ever starts.
func playAdvice(w *world, trouble bool) (string, error) {
	const workers, allowed = 40, 8
	good := map[string]bool{}
	advise := func(rw http.ResponseWriter, r *http.Request) {
		var in struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Workers) > 100 {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(20*time.Millisecond + 2*time.Millisecond*time.Duration(len(in.Workers)))
		rows := [][2]string{}
		for _, id := range in.Workers {
			if good[id] {
				rows = append(rows, [2]string{id, ticket(in.Step+".0", id)})
			}
		}
		w.record("advice: %s asked about %d workers (%s to %s), %d of them may run it", in.Step, len(in.Workers), in.Workers[0], in.Workers[len(in.Workers)-1], len(rows))
		writeJSON(rw, http.StatusOK, map[string]any{"good": rows, "valid_ms": 3000})
	}
	var err error
	if w.adviceAddress, err = w.serve(http.HandlerFunc(advise)); err != nil {
		return "", err
	}
	w.configure(true)
	if err := w.start(workers, 0, 3); err != nil {
		return "", err
	}
	for i, m := range w.machines {
		// The policy allows the same number of workers with and without the trouble.
		if trouble == (i >= workers-allowed) && (trouble || i < allowed) {
			good[m.id] = true
		}
	}
	w.record("policy: %d of %d workers may run steps of the queue", len(good), workers)
	j := &submission{Spec: "advised", Steps: []stepDef{{Count: 2, CPU: 1800, MemMB: 1800, EstimateMS: 1000, RunMS: 1000, Advised: true}}}
	if err := w.submit(probeJob, adviceHost, j); err != nil {
		return "", err
	}
	completed := w.await(25*time.Second, func() bool {
		w.sleep(time.Second)
		_, state := w.state(j)
		return state == "completed"
	})
	if started := w.startCount(probeJob + ".0.0.0"); !completed && started == 0 {
		return "LOST: 25 s after its acceptance the job has nothing running, though its turn has come and eight allowed workers are idle", nil
	}
	if !completed {
		return "", errors.Wrap(errNoResult, "the job started but did not complete")
	}
	return "", nil
}

// playRepeats hands in a hundred jobs that are scheduled for later and repeat each minute for a week, and
// looks whether an ordinary job still runs.
func playRepeats(w *world, trouble bool) (string, error) {
	const (
		scheduled = 100
		startIn   = time.Hour
		finish    = 14 * time.Second
		watch     = 25 * time.Second
	)
	w.configure(false)
	if err := w.start(9, 0, 3); err != nil {
		return "", err
	}
	for _, e := range w.edges {
		w.group.Go(e.enforceMemory)
	}
	step := stepDef{Count: 1, CPU: 1800, MemMB: 1800, EstimateMS: 500, RunMS: 500}
	repeat := 10
	if trouble {
		repeat = 7 * 24 * 60
	}
	startAt := time.Now().Add(startIn).UnixMilli()
	for n := range scheduled {
		j := &submission{Spec: "every minute", Steps: []stepDef{step}, Repeat: repeat, StartAt: startAt, Interval: time.Minute.Milliseconds()}
		if err := w.submit(fmt.Sprintf("5c0e7a21d94b36%02x", n), queueHost, j); err != nil {
			return "", err
		}
		w.sleep(50 * time.Millisecond)
	}
	ordinary := &submission{Spec: "ordinary", Steps: []stepDef{step}}
	if err := w.submit(otherJob, queueHost, ordinary); err != nil {
		return "", err
	}
	completed := w.await(finish+watch, func() bool {
		w.sleep(time.Second)
		_, state := w.state(ordinary)
		return state == "completed"
	})
	for _, e := range w.edges {
		e.mu.Lock()
		w.record("%s: ended %d times over its memory, peak %d MB", e.name, e.overLimit, e.peakMB)
		e.mu.Unlock()
	}
	if started := w.startCount(otherJob + ".0.0.0"); !completed && started == 0 {
		return fmt.Sprintf("LOST: %s after its acceptance the ordinary job has nothing running, and nine workers are idle", finish+watch), nil
	}
	if !completed {
		return "", errors.Wrap(errNoResult, "the job started but did not complete")
	}
	return "", nil
}

// playPools lets a burst of one queue take all idle machines, hands one small job of another queue in,
// and looks whether it ever runs.
func playPools(w *world, trouble bool) (string, error) {
	const (
		workers    = 9
		burstJobs  = 3
		watchAfter = 60 * time.Second
	)
	w.configure(false)
	if err := w.start(workers, workers, 3); err != nil {
		return "", err
	}
	var burst []*submission
	for n := range burstJobs {
		if !trouble {
			break
		}
		j := &submission{Spec: "large", Steps: []stepDef{{Count: 24, CPU: 5300, MemMB: 1800, EstimateMS: 2500, RunMS: 2500}}}
		if err := w.submit(fmt.Sprintf("7e2a9c43fb6d58%02x", n), queueHost, j); err != nil {
			return "", err
		}
		burst = append(burst, j)
	}
	w.sleep(3 * time.Second)
	w.record("machines in %s: %d, in %s: %d", pool, w.machinesIn(pool), otherPool, w.machinesIn(otherPool))
	small := &submission{Spec: "small", Steps: []stepDef{{Count: 1, CPU: 1800, MemMB: 1800, EstimateMS: 1000, RunMS: 1000}}}
	if err := w.submit(probeJob, otherHost, small); err != nil {
		return "", err
	}
	burstDone := w.await(30*time.Second, func() bool {
		w.sleep(time.Second)
		return !slices.ContainsFunc(burst, func(j *submission) bool { return w.endCount(j.id, "done") < 24 })
	})
	w.record("burst over: %t", burstDone)
	completed := w.await(watchAfter, func() bool {
		w.sleep(time.Second)
		_, state := w.state(small)
		return state == "completed"
	})
	w.record("machines in %s: %d, in %s: %d", pool, w.machinesIn(pool), otherPool, w.machinesIn(otherPool))
	if !completed {
		return fmt.Sprintf("LOST: the small job has nothing running %s after the burst, while %d machines run nothing", watchAfter, w.idleMachines()), nil
	}
	return "", nil
}

// machinesIn returns the number of machines in a pool.
func (w *world) machinesIn(p string) int {
	n := 0
	for _, m := range w.machines {
		m.mu.Lock()
		if m.pool == p {
			n++
		}
		m.mu.Unlock()
	}
	return n
}

// idleMachines returns the number of machines whose workers run nothing.
func (w *world) idleMachines() int {
	n := 0
	for _, m := range w.machines {
		m.mu.Lock()
		x := m.life
		m.mu.Unlock()
		if x == nil {
			continue
		}
		x.mu.Lock()
		if len(x.runs) == 0 {
			n++
		}
		x.mu.Unlock()
	}
	return n
}

// playLong hands short jobs in at the rate of the sheet, and among them a long one every three seconds. It
// then looks whether a short job ever starts.
func playLong(w *world, trouble bool) (string, error) {
	const (
		workers   = 9
		longJobs  = 9
		perSecond = 5.65
		longRun   = 80 * time.Second
		longGap   = 3 * time.Second
		before    = 6 * time.Second
		after     = 12 * time.Second
		finish    = 14 * time.Second
		watch     = 8 * time.Second
	)
	w.configure(false)
	if err := w.start(workers, 0, 3); err != nil {
		return "", err
	}
	short := stepDef{Count: 1, CPU: 1800, MemMB: 1800, EstimateMS: 500, RunMS: 500}
	long := short
	if trouble {
		long.EstimateMS, long.RunMS = longRun.Milliseconds(), longRun.Milliseconds()
	}
	begun := time.Now()
	nextLong := begun.Add(before)
	longs, shorts := 0, 0
	for longs < longJobs || time.Now().Before(nextLong.Add(after-longGap)) {
		step, spec, id := short, "short", fmt.Sprintf("1a2b3c4d5e6f%04x", shorts)
		if longs < longJobs && !time.Now().Before(nextLong) {
			step, spec, id = long, "long", fmt.Sprintf("2b3c4d5e6f7a%04x", longs)
			longs++
			nextLong = nextLong.Add(longGap)
		} else {
			shorts++
		}
		if err := w.submit(id, queueHost, &submission{Spec: spec, Steps: []stepDef{step}}); err != nil {
			return "", err
		}
		w.sleep(time.Until(begun.Add(time.Duration(float64(longs+shorts) / perSecond * float64(time.Second)))))
	}
	w.record("traffic over: %d jobs, %d of them long", longs+shorts, longs)
	w.sleep(finish)
	waiting := w.neverStarted()
	w.record("%d s later %d accepted jobs have never started", int(finish.Seconds()), len(waiting))
	if len(waiting) == 0 {
		return "", nil
	}
	w.sleep(watch)
	still := w.neverStarted()
	if len(still) == 0 {
		return "", nil
	}
	status, state := w.state(still[0])
	w.record("%d jobs have never started; %s is shown as %q (%d)", len(still), still[0].id, state, status)
	return fmt.Sprintf("LOST: %d accepted jobs have nothing running for %s, %s after the end of the traffic, while %d workers are 6%% in use", len(still), watch, finish, workers), nil
}

// neverStarted returns the jobs of which no task has started, in the order of their ids.
func (w *world) neverStarted() []*submission {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*submission
	for id, j := range w.jobs {
		if w.starts[id+".0.0.0"] == 0 {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *submission) int { return strings.Compare(a.id, b.id) })
	return out
}

// playFills lets a lasting step that serves have one task on each worker, hands in a job whose tasks use
// only what others leave unused, and looks whether it ever starts.
func playFills(w *world, trouble bool) (string, error) {
	const workers = 9
	w.configure(false)
	if err := w.start(workers, 0, 3); err != nil {
		return "", err
	}
	serving := workers
	if !trouble {
		serving = 5
	}
	lasting := &submission{Spec: "survey", Steps: []stepDef{{
		Count: serving, CPU: 2600, MemMB: 4800, EstimateMS: 1000, LongRunning: true, MaxPer: 1, TargetMS: 200,
	}}}
	if err := w.submit(otherJob, queueHost, lasting); err != nil {
		return "", err
	}
	atWork := w.await(10*time.Second, func() bool { return w.busyMachines() == serving })
	if !atWork {
		return "", errors.Wrap(errNoResult, "the lasting tasks are not at work")
	}
	w.record("%d of %d workers run a task that serves", serving, workers)
	w.sleep(4 * time.Second)
	fills := &submission{Spec: "fill", Steps: []stepDef{{Count: 2, CPU: 2000, MemMB: 1800, EstimateMS: 1000, RunMS: 1000, Fills: true}}}
	if err := w.submit(probeJob, queueHost, fills); err != nil {
		return "", err
	}
	completed := w.await(25*time.Second, func() bool {
		w.sleep(time.Second)
		_, state := w.state(fills)
		return state == "completed"
	})
	if started := w.startCount(probeJob + ".0.0.0"); !completed && started == 0 {
		return "LOST: 25 s after its acceptance the job has nothing running, though its tasks need only what others leave unused, and each worker has 29 of its 32 cores idle", nil
	}
	if !completed {
		return "", errors.Wrap(errNoResult, "the job started but did not complete")
	}
	return "", nil
}

// busyMachines returns the number of machines whose workers run something.
func (w *world) busyMachines() int { return len(w.machines) - w.idleMachines() }
