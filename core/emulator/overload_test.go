package emulator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/emulator"
	"lavenderpond/core/job"
	"lavenderpond/core/policy"
)

const (
	// recoveryLimit is how long after the end of its cause an overload may last. Callers that
	// ask for a job then are served as if nothing had happened.
	recoveryLimit = 3 * time.Second
	// causeAt is when the causes of overloads begin, causeLength how long they last.
	causeAt     = 6 * time.Second
	causeLength = 4 * time.Second
)

// shippedPolicy is the policy that operators start with. The emulator's entry VMs refuse no jobs,
// so admission makes no difference here.
func shippedPolicy() policy.Policy { return policy.Policy{RunTimeForecast: true, RankedRoom: true} }

// fullPolicy is the policy with all decisions under scarcity in force.
func fullPolicy() policy.Policy {
	return policy.Policy{Admission: true, FairShares: true, RunTimeForecast: true, SecondRuns: true, RankedRoom: true}
}

// underLoad returns a scenario that uses about half of the capacity, with accounts of skewed
// size and callers that return.
func underLoad(seed uint64, p policy.Policy) emulator.Scenario {
	return emulator.Scenario{
		Seed: seed, Length: 22 * time.Second, EntryVMs: 5, VMsPerPool: 8, StandbyMachines: 3, JobsPerSecond: 7,
		Load: emulator.Load{Accounts: 6, ReturningCallers: true}, Policy: p,
	}
}

// overloads are causes of overloads. Surges ask for several times the capacity.
var overloads = map[string]func(s *emulator.Scenario){
	"surge of a queue": func(s *emulator.Scenario) {
		s.Load.Surges = []emulator.Surge{{At: causeAt, Duration: causeLength, Factor: 6, Queue: "one"}}
	},
	"successive surges": func(s *emulator.Scenario) {
		s.Load.Surges = emulator.SuccessiveSurges(causeAt, 6)
	},
	"hot account": func(s *emulator.Scenario) {
		s.Load.Surges = []emulator.Surge{{At: causeAt, Duration: causeLength, Factor: 10, Accounts: []job.AccountName{"first"}}}
	},
	"hot accounts": func(s *emulator.Scenario) {
		s.Load.Surges = []emulator.Surge{{At: causeAt, Duration: causeLength, Factor: 8, Accounts: []job.AccountName{"first", "second", "account-4"}}}
	},
	"mass restart amid a surge": func(s *emulator.Scenario) {
		s.Load.Surges = []emulator.Surge{{At: causeAt, Duration: causeLength, Factor: 6, Queue: "one"}}
		s.Faults = []emulator.Fault{{Kind: emulator.KillAll, At: causeAt + causeLength/2, Duration: time.Second}}
	},
	"table down after a mass restart": func(s *emulator.Scenario) {
		s.Load.Surges = []emulator.Surge{{At: causeAt, Duration: causeLength, Factor: 6, Queue: "one"}}
		s.Faults = []emulator.Fault{
			{Kind: emulator.KillAll, At: causeAt + causeLength/2, Duration: time.Second},
			{Kind: emulator.TableDown, At: causeAt + causeLength, Duration: causeLength},
		}
	},
}

// Guards against an overload that outlasts its cause: late jobs and returning callers occupy the
// capacity that new jobs need to complete in time.
func TestOverloadEndsWithItsCause(t *testing.T) { checkRecovery(t, shippedPolicy()) }

// Guards against an overload that outlasts its cause because an account's share holds back jobs
// that there is room for.
func TestOverloadEndsWithFairShares(t *testing.T) { checkRecovery(t, fullPolicy()) }

// checkRecovery checks that each cause of an overload is over soon after it ends.
func checkRecovery(t *testing.T, p policy.Policy) {
	for name, overload := range overloads {
		for seed := range scenarioCount(2) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				s := underLoad(seed, p)
				overload(&s)
				violations, stats := emulator.Run(s)
				t.Logf("%s: above 0.9 again after %s", name, stats.Recovery)
				assert.Equal(t, len(violations), 0, "%s", strings.Join(violations, "\n"))
				assert.Assert(t, stats.Recovery != emulator.NotRecovered && stats.Recovery <= recoveryLimit,
					"above 0.9 again after %s; queues %+v, accounts %+v", stats.Recovery, stats.Queues, stats.Accounts)
			})
		}
	}
}

// Guards against a check of overloads that nothing but the capacity decides: without a cause at
// least 95% of the jobs complete in time.
func TestUnderLoadWithoutCause(t *testing.T) {
	for _, p := range []policy.Policy{shippedPolicy(), fullPolicy()} {
		for seed := range uint64(2) {
			_, stats := emulator.Run(underLoad(seed, p))
			for queue, s := range stats.Queues {
				assert.Assert(t, s.InTime*100 >= 95*(s.InTime+s.Late+s.Useless), "policy %+v, seed %d, queue %s: %+v", p, seed, queue, s)
			}
		}
	}
}
