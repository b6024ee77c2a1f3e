package schedule

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/policy"
)

// pick returns one of the values.
func pick[T any](r *rand.Rand, values ...T) T { return values[r.IntN(len(values))] }

// randomBody returns a job that callers may submit, with extreme values.
func randomBody(r *rand.Rand) job.Body {
	b := job.Body{Spec: "x", Occurrences: pick(r, 0, 0, 0, -1, 1, 3, 1_000_000_000_000)}
	b.Interval = pick(r, 0, time.Millisecond, -time.Second, time.Hour, math.MaxInt64, math.MinInt64)
	b.FirstDue = startTime.Add(pick(r, 0, time.Second, -time.Hour, 1000*time.Hour))
	for i := range 1 + r.IntN(3) {
		s := job.Step{
			Count:    pick(r, 1, 2, 7, 100_000, 1_000_000_000_000),
			Estimate: pick(r, 0, time.Second, -time.Second, time.Nanosecond, math.MaxInt64, math.MinInt64),
			Gang:     r.IntN(4) == 0, SameRack: r.IntN(4) == 0, Checkpointing: r.IntN(2) == 0, Speculative: r.IntN(3) == 0,
			LongRunning: r.IntN(5) == 0, SpareCPU: r.IntN(5) == 0, Requires: pick[job.Label](r, "", "", "none"), PreferredRack: pick[job.Label](r, "", "rack"),
			MaxPerVM: pick(r, 0, 0, 1, -1, math.MaxInt), TailLatencyTarget: pick(r, 0, time.Millisecond, math.MaxInt64),
			DisruptionBudget: pick(r, 0, 1, -1, math.MaxInt), HasDisruptionBudget: r.IntN(3) == 0,
		}
		s.Resources = job.Resources{CPU: pick[int64](r, 0, 1000, -1, 8000, math.MaxInt64, math.MinInt64), MemMB: pick[int64](r, 0, 100, -1, math.MaxInt64), GPU: pick[int64](r, 0, 0, 1, -1)}
		for range r.IntN(3) {
			if i > 0 {
				s.After = append(s.After, r.IntN(i))
			}
		}
		b.Steps = append(b.Steps, s)
	}
	return b
}

// Guards against a job that ends the owner, and each one that takes over.
func TestAnyJobLeavesOwnerAlive(t *testing.T) {
	for seed := range uint64(400) {
		t.Log("seed", seed)
		r := rand.New(rand.NewPCG(seed, 0))
		h := newHarness(t)
		if r.IntN(2) == 0 {
			h.s.SetPolicy(policy.Policy{SecondRuns: true, RunTimeForecast: true, FairShares: true, RankedRoom: true})
		}
		h.addReadyVMs("one", "two")
		h.listStandby(map[job.MachineID]job.MachineState{"spare": job.MachineUp})
		j := newTestJob("j")
		j.Body = randomBody(r)
		j.Terms.Account = pick[job.AccountName](r, "free", "capped")
		h.s.AddJob(h.now, j, nil, false)
		ends := map[job.VMID]int64{}
		for range 8 {
			for _, c := range commandsOfType[Start](h.advance(300 * time.Millisecond)) {
				if r.IntN(4) > 0 {
					h.confirm(c)
				}
			}
			starts := 0
			for _, v := range h.s.vms.All() {
				var running []job.RunningTask
				var ended []job.End
				for _, x := range v.runs.All() {
					if starts++; starts > 200 {
						break
					}
					if r.IntN(3) > 0 {
						running = append(running, job.RunningTask{Task: x.task, Attempt: x.attempt, Percent: r.IntN(101), Load: int64(r.IntN(100))})
						continue
					}
					ends[v.id]++
					how := pick(r, job.EndedDone, job.EndedFailed, job.EndedStopped)
					ended = append(ended, job.End{Number: ends[v.id], Task: x.task, Attempt: x.attempt, How: how})
				}
				h.answerHold(string(v.id), running, ended...)
			}
			h.s.Status(h.now, h.now)
			h.s.Outlook(h.now)
			h.s.Backlog(h.now)
		}
		h.s.Cancel(h.now, "j")
		h.advance(time.Second)
	}
}
