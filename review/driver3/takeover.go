package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// grownJobsPerSecond is the rate of all jobs on scic-pond-grown.
	grownJobsPerSecond = 53
	// grownMbps is the bandwidth of the smallest machines there.
	grownMbps = 10
	// padBytes fills a spec up to 4,000 bytes.
	padBytes = 3880
	// grownContact is contact_ms there, and a second in which a process starts.
	grownContact = 5 * time.Second
	// restartDelay is how long a killed process is down.
	restartDelay = 3 * time.Second
)

// grown sets up a deployment with the bounds of scic-pond-grown, and daemons on its smallest machines.
func grown(ctx context.Context, w *world) error {
	w.mbps = grownMbps
	w.cancelMax = 4 * time.Second
	w.settings = strings.NewReplacer(
		"contact_ms = 3000", "contact_ms = 4000", "ack_ms = 4000", "ack_ms = 6000", "drain_ms = 2000", "drain_ms = 3000",
		"config_apply_ms = 2000", "config_apply_ms = 3000", "gang_wait_ms = 3000", "gang_wait_ms = 4000", "cancel_ms = 3000", "cancel_ms = 4000",
		"notice_ms = 4500", "notice_ms = 5500", "harm_ms = 4000", "harm_ms = 4500", "link_mbps = 1000.0", "link_mbps = 10.0", "cpu_share = 0.4", "cpu_share = 0.192", "memory_mb = 284", "memory_mb = 184",
		"writes_per_s = 600", "writes_per_s = 1200", "reads_per_s = 2000", "reads_per_s = 6000",
	)
	return oneService(ctx, w, 12)
}

// smallJob returns a job of one short task, with a spec of nearly 4,000 bytes.
func smallJob(n int) *jobRecord {
	j := &jobRecord{id: fmt.Sprintf("%08x%08x", rand.Uint32(), n), queue: "plain", attempts: 4}
	j.spec = taskSpec{Job: j.id, RunMS: 200, Steps: []stepSpec{{Count: 1, CPU: 500}}, Pad: strings.Repeat("x", padBytes)}
	j.steps = []map[string]any{{"count": 1, "cpu": 500, "mem_mb": 100, "estimated_ms": 200}}
	return j
}

// traffic hands in small jobs at the usual rate for a time.
func (w *world) traffic(length time.Duration, g *sync.WaitGroup, first int) {
	ticker := time.NewTicker(time.Second / grownJobsPerSecond)
	defer ticker.Stop()
	for n, end := first, time.Now().Add(length); time.Now().Before(end); n++ {
		<-ticker.C
		g.Go(func() { w.submit(smallJob(n), "k1", time.Now().Add(20*time.Second)) })
	}
}

// killOwner kills the daemon that owns the fleet and starts it again after restartDelay, when another one owns it.
func (w *world) killOwner() error {
	o := w.owner()
	if o == nil {
		return fmt.Errorf("no daemon owns the fleet")
	}
	w.logf("TROUBLE %s, the owner, is killed", o.name)
	w.mu.Lock()
	o.calm.change(1, grownContact)
	w.mu.Unlock()
	o.kill()
	time.Sleep(restartDelay)
	err := o.start()
	w.mu.Lock()
	defer w.mu.Unlock()
	o.calm.change(-1, grownContact)
	return err
}

// reload plays ordinary jobs for about a minute, and then a kill of the owner.
func reload(w *world, trouble bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := grown(ctx, w); err != nil {
		return err
	}
	var g sync.WaitGroup
	defer g.Wait()
	w.traffic(56*time.Second, &g, 0)
	time.Sleep(2 * time.Second)
	if trouble {
		if err := w.killOwner(); err != nil {
			return err
		}
	}
	var late []*jobRecord
	for n := range 20 {
		j := smallJob(1_000_000 + n)
		if !w.submit(j, "k1", time.Now().Add(10*time.Second)) {
			return fmt.Errorf("%s was not accepted", j.id)
		}
		late = append(late, j)
	}
	if w.await("end of the last jobs", 30*time.Second, func() bool {
		for _, j := range late {
			if t := w.tasks[j.id+".0.0.0"]; t == nil || t.done == nil {
				return false
			}
		}
		return true
	}) == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting, running := 0, 0
	for _, j := range late {
		if t := w.tasks[j.id+".0.0.0"]; t == nil || t.done == nil {
			waiting++
		}
	}
	for _, m := range w.machines {
		running += len(m.cur.runs)
	}
	w.broken("LOST", "%d of %d jobs that were accepted 30 s ago haven't ended; %d tasks run on %d sound workers", waiting, len(late), running, len(w.machines))
	return nil
}

// unasked plays jobs with many times that are cancelled while a new owner reads what the former one left.
func unasked(w *world, trouble bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := grown(ctx, w); err != nil {
		return err
	}
	var g sync.WaitGroup
	defer g.Wait()
	var timed []*jobRecord
	for n := range 40 {
		j := smallJob(2_000_000 + n)
		j.times, j.due, j.interval = 100, time.Now(), time.Second
		if !w.submit(j, "k1", time.Now().Add(10*time.Second)) {
			return fmt.Errorf("%s was not accepted", j.id)
		}
		timed = append(timed, j)
	}
	var ordinary sync.WaitGroup
	defer ordinary.Wait()
	ordinary.Go(func() { w.traffic(50*time.Second, &g, 0) })
	time.Sleep(28 * time.Second)
	if trouble {
		if err := w.killOwner(); err != nil {
			return err
		}
	}
	for _, j := range timed {
		g.Go(func() { w.cancel(j, "k1", time.Now().Add(10*time.Second)) })
	}
	time.Sleep(25 * time.Second)
	return nil
}

// backlog plays ordinary jobs, and asks for their number while a new owner reads what the former one left.
func backlog(w *world, trouble bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := grown(ctx, w); err != nil {
		return err
	}
	w.group.Go(func() { w.watchBacklogs(ctx, "k1", "plain") })
	var g sync.WaitGroup
	defer g.Wait()
	var ordinary sync.WaitGroup
	defer ordinary.Wait()
	ordinary.Go(func() { w.traffic(50*time.Second, &g, 0) })
	time.Sleep(28 * time.Second)
	if trouble {
		if err := w.killOwner(); err != nil {
			return err
		}
	}
	time.Sleep(25 * time.Second)
	return nil
}
