package main

import (
	"fmt"
	"time"
)

// Bounds of the rule LOST.
const (
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// checkLost checks the end of a case by the rule LOST, for jobs whose tasks' turn has come: finishTime
// after the end of the traffic each job must be known, answer in time, and must not have nothing
// running for idleTime while the service is under half full and has capacity for it twice over.
// All workers' capacity is cpu; need is the largest CPU of a job.
func (w *world) checkLost(key string, ids []string, need, cpu int64) []string {
	idleSince := map[string]time.Time{}
	broken := map[string]string{}
	until := time.Now().Add(idleTime + 500*time.Millisecond)
	for time.Now().Before(until) {
		for _, id := range ids {
			begun, _, active, running := w.counts(id)
			if _, done := broken[id]; done {
				continue
			}
			now := time.Now()
			free := running == 0 && 2*need <= cpu
			if active > 0 || !free {
				delete(idleSince, id)
				continue
			}
			if idleSince[id].IsZero() {
				idleSince[id] = now
			}
			if now.Sub(idleSince[id]) >= idleTime {
				broken[id] = fmt.Sprintf("LOST: job %s has nothing running for 3 s, %d of its tasks have begun, nothing else runs on any worker", id, begun)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	var out []string
	for _, id := range ids {
		switch state := w.state(key, id); state {
		case "completed":
			delete(broken, id)
		case "410", "no answer":
			out = append(out, fmt.Sprintf("LOST: job %s was accepted, and the answer for it is: %s", id, state))
		default:
			if b, ok := broken[id]; ok {
				out = append(out, b+", state "+state)
			}
		}
	}
	return out
}
