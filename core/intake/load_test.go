package intake

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

const (
	// patience is how long callers wait for an answer.
	patience = 3 * time.Second
	// refusalProcessorSeconds is the processor time of a refusal and its connection.
	refusalProcessorSeconds = 0.00013
)

// durationOf returns how long the smallest VM needs for an amount of processor time.
func durationOf(processorSeconds float64) time.Duration {
	return time.Duration(processorSeconds / smallestVM.Cores * float64(time.Second))
}

// returningCaller is a caller that calls again until it is served.
type returningCaller struct {
	account job.AccountName
	at      time.Duration
	tries   int
	// wait is how long the call that was served took, done when it ended.
	wait, done time.Duration
}

// returnAfterRestart plays callers that all call the smallest entry VM at once. Its processor
// serves one call after another. A refused caller calls again 1 to 2 s later. Calls that would
// wait longer than callers do are given up.
func returnAfterRestart(l *Limiter, callers []*returningCaller, rnd *rand.Rand) (givenUp int) {
	service, refusal := durationOf(callProcessorSeconds), durationOf(refusalProcessorSeconds)
	var busyUntil time.Duration
	var inProgress []*returningCaller
	cost := CallCost(400)
	waiting := slices.Clone(callers)
	for len(waiting) > 0 {
		c := waiting[0]
		waiting = waiting[1:]
		for len(inProgress) > 0 && inProgress[0].done <= c.at {
			l.Release(inProgress[0].account, cost)
			inProgress = inProgress[1:]
		}
		c.tries++
		busyUntil = max(busyUntil, c.at)
		if _, ok := l.Admit(c.account, cost).(Refuse); ok {
			busyUntil += refusal
			c.at += time.Second + time.Duration(rnd.Int64N(int64(time.Second)))
			i, _ := slices.BinarySearchFunc(waiting, c.at, func(o *returningCaller, at time.Duration) int { return cmp.Compare(o.at, at) })
			waiting = slices.Insert(waiting, i, c)
			continue
		}
		busyUntil += service
		c.done, c.wait = busyUntil, busyUntil-c.at
		inProgress = append(inProgress, c)
		if c.wait > patience {
			givenUp++
		}
	}
	return givenUp
}

// Load: all callers return at once after a mass restart, ten times what the smallest entry VM
// takes in. Three quarters of the calls are of one account, and arrive first. Each call that is
// taken in must be answered in half of the time that callers wait, so that the answer is of use.
// All callers must be served in twice the time that the processor needs for their calls alone,
// and the accounts that sent little before the one that sent much.
func TestAllCallersReturnAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		limits := LimitsFor(smallestVM)
		n := int(10 * limits[Calls])
		newCallers := func() []*returningCaller {
			out := make([]*returningCaller, n)
			for i := range out {
				out[i] = &returningCaller{account: "hot", at: time.Duration(i) * 10 * time.Microsecond}
				if i >= n*3/4 {
					out[i].account = job.AccountName(fmt.Sprint(i % 8))
				}
			}
			return out
		}
		assert.Assert(t, returnAfterRestart(&Limiter{}, newCallers(), rnd) > n/4, "without limits the load is not too much")
		callers := newCallers()
		assert.Equal(t, returnAfterRestart(&Limiter{Limits: limits}, callers, rnd), 0)
		var hot, quiet, last time.Duration
		for _, c := range callers {
			assert.Assert(t, c.wait < patience/2, "seed %d: %v", seed, c.wait)
			last = max(last, c.done)
			if c.account == "hot" {
				hot += c.done / time.Duration(n*3/4)
			} else {
				quiet += c.done / time.Duration(n/4)
			}
		}
		assert.Assert(t, last < 2*time.Duration(n)*durationOf(callProcessorSeconds), "seed %d: %v", seed, last)
		assert.Assert(t, quiet < hot, "seed %d: %v, %v", seed, quiet, hot)
	}
}
