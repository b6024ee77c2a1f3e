package main

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

const (
	// calmTime is how long there must have been no disruption: 4 s before the 3 s in which a task
	// that lasts doesn't run.
	calmTime = 4 * time.Second
	// afterLastRun is how long after its last run a task that lasts must be running again.
	afterLastRun = 6 * time.Second
)

// playCrashes hands in a job of tasks that last and need the kind of workers of one rack of three.
// Then the workers of that rack crash three times, and are back after a short while. Without the
// trouble none crashes.
func playCrashes(w *world, trouble bool) ([]string, error) {
	const (
		cpu, workers = 32_000, 3 * workersPerRack
		tasks        = workersPerRack
		rackCrashes  = 3
		down         = 1500 * time.Millisecond
		interval     = 5 * time.Second
	)
	if err := w.addWorkers(workers, cpu, 65_536); err != nil {
		return nil, err
	}
	if err := w.addDaemons(6); err != nil {
		return nil, err
	}
	lasting := newSubmission(tasks, taskSpec{CPU: 2600, MemMB: 4800})
	mayMiss := 1
	lasting.Steps[0].LongRunning, lasting.Steps[0].MaxPerVM, lasting.Steps[0].MayMiss = true, 1, &mayMiss
	lasting.Steps[0].EstimatedMS, lasting.Steps[0].Requires = 700, kindOfFirstRack
	id, ok := w.submit(keyA, lasting)
	if !ok {
		return nil, errors.New("the lasting job wasn't accepted")
	}
	time.Sleep(10 * time.Second)
	for range rackCrashes {
		started := time.Now()
		if trouble {
			for _, v := range w.workers[:workersPerRack] {
				w.group.Go(func() { v.crash(down) })
			}
		}
		time.Sleep(time.Until(started.Add(interval)))
	}
	calmFrom := time.Now().Add(down - interval)
	var broken []string
	idleSince := map[string]time.Time{}
	reported := map[string]bool{}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for i := range tasks {
			task := fmt.Sprintf("%s.0.0.%d", id, i)
			active, lastRun := w.taskActive(task)
			now := time.Now()
			switch {
			case active || now.Before(calmFrom.Add(calmTime)) || now.Before(lastRun.Add(afterLastRun)):
				delete(idleSince, task)
			case idleSince[task].IsZero():
				idleSince[task] = now
			case now.Sub(idleSince[task]) >= idleTime && !reported[task]:
				reported[task] = true
				broken = append(broken, fmt.Sprintf("LOST: task %s lasts and doesn't run for 3 s, %.1f s after its last run, no worker has crashed for %.1f s",
					task, now.Sub(lastRun).Seconds(), now.Sub(calmFrom).Seconds()))
			}
		}
	}
	w.logf("end of the traffic")
	for i := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", id, i)
		if active, lastRun := w.taskActive(task); !active && reported[task] {
			w.logf("task %s has not run again in the %.1f s since its last run", task, time.Since(lastRun).Seconds())
		}
	}
	if state := w.state(keyA, id); state == "failed" || state == "cancelled" {
		broken = append(broken, fmt.Sprintf("LOST: job %s is shown as %s; no run of it ended failed and nobody cancelled it", id, state))
	}
	return broken, nil
}
