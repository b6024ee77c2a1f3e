package main

import (
	"time"

	"github.com/pkg/errors"
)

// playTakeover hands in jobs that run twice, and kills the process that leads between the two
// runs. Without the trouble nothing is killed.
func playTakeover(w *world, trouble bool) ([]string, error) {
	const (
		cpu, workers = 32_000, 8
		jobs, tasks  = 60, 180
		interval     = 25 * time.Second
	)
	if err := w.addWorkers(workers, cpu, 65_536); err != nil {
		return nil, err
	}
	if err := w.addDaemons(6); err != nil {
		return nil, err
	}
	first := time.Now().Add(5 * time.Second)
	var ids []string
	s := newSubmission(tasks, taskSpec{CPU: 10, MemMB: 16, RunMS: 5000})
	s.RepeatCount, s.IntervalMS, s.StartAtMS = 2, interval.Milliseconds(), first.UnixMilli()
	for range jobs {
		id, ok := w.submit(keyA, s)
		if !ok {
			return nil, errors.New("a job wasn't accepted")
		}
		ids = append(ids, id)
	}
	w.logf("%d jobs of two runs with %d tasks each are handed in", len(ids), tasks)
	time.Sleep(time.Until(first.Add(interval - 7*time.Second)))
	if trouble {
		d := w.leader()
		if d == nil {
			return nil, errors.New("nobody has written to the store")
		}
		w.group.Go(func() { d.kill(time.Second) })
	}
	time.Sleep(time.Until(first.Add(interval + 2*time.Second)))
	small := newSubmission(4, taskSpec{CPU: 1000, MemMB: 256, RunMS: 500})
	var others []string
	for range 10 {
		if id, ok := w.submit(keyB, small); ok {
			others = append(others, id)
		}
	}
	w.logf("end of the traffic")
	time.Sleep(finishTime)
	broken := w.checkLost(keyB, others, 4*1000, workers*cpu)
	broken = append(broken, w.checkLost(keyA, ids, tasks*10, workers*cpu)...)
	w.logf("the largest transaction had %d bytes, %d were refused as too large", w.largestCall.Load(), w.refusedCalls.Load())
	return broken, nil
}
