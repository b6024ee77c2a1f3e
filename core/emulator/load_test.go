package emulator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/emulator"
	"lavenderpond/core/job"
)

// total returns the number of jobs that were served in any way.
func total(s emulator.Service) int { return s.InTime + s.Late + s.Useless }

// Guards against surges that reach other accounts or queues than they should, or none.
func TestSurgeAddsJobsOfItsAccountsAndQueue(t *testing.T) {
	quiet := emulator.Scenario{Seed: 1, Length: 10 * time.Second, EntryVMs: 2, VMsPerPool: 4, JobsPerSecond: 8, Load: emulator.Load{Accounts: 6}}
	hot := quiet
	hot.Load.Surges = []emulator.Surge{{Duration: hot.Length, Factor: 4, Accounts: []job.AccountName{"second"}, Queue: "two"}}
	_, before := emulator.Run(quiet)
	_, after := emulator.Run(hot)
	// The other accounts have too few jobs for a comparison.
	for _, a := range []job.AccountName{"first", "second", "account-3"} {
		factor := float64(total(after.Accounts[a])) / float64(total(before.Accounts[a]))
		// Half of the jobs of each account are for the queue of the surge.
		assert.Assert(t, a == "second" == (factor > 1.7), "account %s asks for %.1f times as much", a, factor)
	}
	assert.Assert(t, total(after.Queues["one"])*10 < total(before.Queues["one"])*13)
}

// Guards against callers that never get an answer because they don't return: all processes are
// down for longer than a caller waits for one answer, but not for as long as it keeps trying.
func TestReturningCallersOutlastMassRestart(t *testing.T) {
	s := emulator.Scenario{
		Seed: 1, Length: 6 * time.Second, EntryVMs: 3, VMsPerPool: 8, JobsPerSecond: 4, Load: emulator.Load{ReturningCallers: true},
		Faults: []emulator.Fault{{Kind: emulator.KillAll, At: 2 * time.Second, Duration: 2 * time.Second}},
	}
	violations, stats := emulator.Run(s)
	assert.Equal(t, len(violations), 0)
	for queue, served := range stats.Queues {
		assert.Equal(t, served.Useless, 0, "queue %s: %+v", queue, served)
	}
}

// Guards against callers that wait for jobs which are of no use to them: those that give up cancel
// their jobs.
func TestCallersThatGiveUpCancel(t *testing.T) {
	s := emulator.Scenario{Seed: 1, Length: 6 * time.Second, EntryVMs: 2, VMsPerPool: 2, JobsPerSecond: 8}
	_, patient := emulator.Run(s)
	s.Load.GiveUpShare = 1
	violations, stats := emulator.Run(s)
	assert.Equal(t, len(violations), 0)
	assert.Assert(t, stats.Cancelled > 2*patient.Cancelled, "%d, %d", stats.Cancelled, patient.Cancelled)
	assert.Equal(t, stats.Queues["one"].Late+stats.Queues["two"].Late, 0)
}
