package node

import (
	"encoding/json"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"lavenderpond/core/job"
	"lavenderpond/core/policy"
	"lavenderpond/core/schedule"
)

// Guards against a dump that doesn't say who waits, for how long and why, or which exceptions
// apply.
func TestDumpShowsPolicyAndWaitingJobs(t *testing.T) {
	now := time.Unix(1000, 0)
	p := policy.Policy{Admission: true, Exceptions: []policy.Exception{
		{Name: "night", Decision: policy.Admission, Account: "north", Reason: "agreed test", End: now.Add(time.Hour).UTC()},
		{Name: "past", Decision: policy.FairShares, Queue: "batch", Reason: "migration", End: now.UTC()},
	}}
	status := schedule.Status{
		AsOf: now.Add(-300 * time.Millisecond),
		Waiting: []schedule.WaitingGroup{{
			Account: "north", Queue: "frames", Pool: "p", Jobs: 3, Tasks: 20, OldestArrival: now.Add(-2 * time.Second),
			JobsByRank: map[string]int{"in_time": 2, "late": 1},
		}},
		Accounts: []schedule.AccountUsage{{Account: "north", Usage: job.Resources{CPU: 4000, MemMB: 100}, Quota: job.Resources{CPU: 4500}}},
	}
	out, err := json.MarshalIndent(map[string]any{"policy": dumpPolicy(now, &p), "status": dumpStatus(now, &status)}, "", "  ")
	assert.NilError(t, err)
	golden.Assert(t, string(out)+"\n", "policy_dump.golden")
}

// Guards against a status that takes the owner's time in each round, and against a former owner
// that goes on showing waiting jobs.
func TestStatusIsTakenOncePerInterval(t *testing.T) {
	n := &Node{log: zerolog.Nop(), metrics: newProcessMetrics()}
	o := &owner{node: n, scheduler: schedule.New(schedule.Settings{})}
	now := bootNow()
	step := job.Step{Count: 2, Resources: job.Resources{CPU: 1000}}
	o.scheduler.AddJob(now, job.Job{ID: "a", Body: job.Body{Steps: []job.Step{step}}}, nil, false)
	o.publishStatus(now.Add(time.Second))
	first := o.status.latest.Load()
	gauge := func(name string) int64 { return metrics.GetOrRegisterGauge(name, n.metrics.registry).Value() }
	assert.DeepEqual(t, []int64{gauge("waiting_jobs"), gauge("waiting_tasks"), gauge("waiting_oldest_ms")}, []int64{1, 2, 1000})
	o.publishStatus(now.Add(time.Second + statusInterval - time.Millisecond))
	assert.Assert(t, o.status.latest.Load() == first)
	o.publishStatus(now.Add(time.Second + statusInterval))
	assert.Assert(t, o.status.latest.Load() != first)
	n.metrics.setWaiting(&schedule.Status{})
	assert.Equal(t, gauge("waiting_jobs")+gauge("waiting_oldest_ms"), int64(0))
}
