package node

import (
	"sync/atomic"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/policy"
	"lavenderpond/core/schedule"
)

// statusInterval is how often the owner's status is taken. Taking it visits each job.
const statusInterval = time.Second

// statusPublisher makes the status that the owner's loop takes available to other goroutines.
// The zero value has no status yet.
type statusPublisher struct {
	latest atomic.Pointer[schedule.Status]
	nextAt time.Time
}

// publishStatus takes the scheduler's status if the last one is statusInterval old. It is called
// by the owner's loop only.
func (o *owner) publishStatus(now time.Time) {
	if now.Before(o.status.nextAt) {
		return
	}
	o.status.nextAt = now.Add(statusInterval)
	st := o.scheduler.Status(now, time.Now())
	o.status.latest.Store(&st)
	o.node.metrics.setWaiting(&st)
}

// policyDump is the operators' policy as served at /dump.
type policyDump struct {
	Enabled    []string        `json:"enabled"`
	Exceptions []exceptionDump `json:"exceptions,omitempty"`
}

type exceptionDump struct {
	Name     string          `json:"name"`
	Decision string          `json:"decision"`
	Account  job.AccountName `json:"account,omitempty"`
	Queue    job.QueueName   `json:"queue,omitempty"`
	Reason   string          `json:"reason"`
	End      *time.Time      `json:"end,omitempty"`
	InForce  bool            `json:"in_force"`
}

func dumpPolicy(wall time.Time, p *policy.Policy) policyDump {
	d := policyDump{Enabled: p.EnabledNames()}
	for i := range p.Exceptions {
		e := &p.Exceptions[i]
		x := exceptionDump{
			Name: e.Name, Decision: e.Decision.String(), Account: e.Account, Queue: e.Queue, Reason: e.Reason, InForce: e.InForce(wall),
		}
		if !e.End.IsZero() {
			x.End = &e.End
		}
		d.Exceptions = append(d.Exceptions, x)
	}
	return d
}

// statusDump is the owner's status as served at /dump.
type statusDump struct {
	// AgeMS is the time since the status was taken.
	AgeMS    int64         `json:"age_ms"`
	Jobs     []waitingDump `json:"jobs"`
	Accounts []usageDump   `json:"accounts"`
	// Silent are the silent VMs on which tasks may still run, and BlockedJobs the number of jobs
	// that wait for them.
	Silent      []silentDump `json:"silent_vms,omitempty"`
	BlockedJobs int          `json:"blocked_jobs,omitempty"`
}

// silentDump is a silent VM on which tasks may still run.
type silentDump struct {
	VM         job.VMID `json:"vm"`
	Runs       int      `json:"runs"`
	Unreported bool     `json:"unreported,omitempty"`
	// WaitMS is the time until no task can run there any more.
	WaitMS int64 `json:"wait_ms"`
}

// waitingDump describes the jobs of an account in a queue that have tasks to start.
type waitingDump struct {
	Account job.AccountName `json:"account"`
	Queue   job.QueueName   `json:"queue"`
	Pool    job.PoolName    `json:"pool"`
	Jobs    int             `json:"jobs"`
	Tasks   int             `json:"tasks"`
	// OldestMS is the time since the oldest job arrived at the owner.
	OldestMS int64          `json:"oldest_ms"`
	Ranks    map[string]int `json:"ranks"`
}

// usageDump is what an account's running tasks use, and its quota.
type usageDump struct {
	Account job.AccountName `json:"account"`
	Usage   job.Resources   `json:"usage"`
	Quota   job.Resources   `json:"quota"`
}

func dumpStatus(now time.Time, s *schedule.Status) *statusDump {
	if s == nil {
		return nil
	}
	d := &statusDump{AgeMS: now.Sub(s.AsOf).Milliseconds(), Jobs: []waitingDump{}, Accounts: []usageDump{}, BlockedJobs: s.Blocked}
	for _, g := range s.Waiting {
		d.Jobs = append(d.Jobs, waitingDump{
			Account: g.Account, Queue: g.Queue, Pool: g.Pool, Jobs: g.Jobs, Tasks: g.Tasks,
			OldestMS: now.Sub(g.OldestArrival).Milliseconds(), Ranks: g.JobsByRank,
		})
	}
	for _, a := range s.Accounts {
		d.Accounts = append(d.Accounts, usageDump(a))
	}
	for _, v := range s.Silent {
		d.Silent = append(d.Silent, silentDump{VM: v.VM, Runs: v.Runs, Unreported: v.Unreported, WaitMS: v.LeaseOver.Sub(now).Milliseconds()})
	}
	return d
}
