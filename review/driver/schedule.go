package main

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

const (
	// scheduledJobs is the number of jobs that run every minute.
	scheduledJobs = 4
	// minutesOfAYear and minutesOfAnHour are how often such a job runs.
	minutesOfAYear  = 365 * 24 * 60
	minutesOfAnHour = 60
)

// playLongSchedule hands in jobs that run every minute for a year, beside small jobs of another
// tenant. Without the trouble they run every minute for an hour.
func playLongSchedule(w *world, trouble bool) ([]string, error) {
	const cpu, workers = 32_000, 6
	if err := w.addWorkers(workers, cpu, 65_536); err != nil {
		return nil, err
	}
	if err := w.addDaemons(6); err != nil {
		return nil, err
	}
	small := newSubmission(4, taskSpec{CPU: 1000, MemMB: 256, RunMS: 500})
	var ids []string
	hand := func(n int) {
		for range n {
			if id, ok := w.submit(keyB, small); ok {
				ids = append(ids, id)
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	hand(10)
	scheduled := newSubmission(1, taskSpec{CPU: 1000, MemMB: 256, RunMS: 500})
	scheduled.IntervalMS, scheduled.StartAtMS, scheduled.RepeatCount = 60_000, time.Now().Add(2*time.Second).UnixMilli(), minutesOfAnHour
	if trouble {
		scheduled.RepeatCount = minutesOfAYear
	}
	w.logf("%d jobs with repeat_count %d and interval_ms %d are handed in", scheduledJobs, scheduled.RepeatCount, scheduled.IntervalMS)
	for range scheduledJobs {
		if _, ok := w.submit(keyA, scheduled); !ok {
			return nil, errors.New("a scheduled job wasn't accepted")
		}
	}
	hand(20)
	w.logf("end of the traffic")
	time.Sleep(finishTime)
	broken := w.checkLost(keyB, ids, 4*1000, workers*cpu)
	w.logf("largest resident memory of a process: %d MB", w.peakMB.Load())
	total, machines := w.ownEndCount()
	w.logf("processes ended by themselves %d times, three times or more on %d machines", total, machines)
	if machines >= 2 {
		broken = append(broken, fmt.Sprintf("Fault: processes ended by themselves %d times, on %d of %d machines three times or more", total, machines, len(w.daemons)))
	}
	return broken, nil
}
