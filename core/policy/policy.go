// Package policy holds the operators' settings for times of scarcity: which of the decisions
// that refuse, order or repeat work are in force, and for whom they are not.
package policy

import (
	"slices"
	"time"

	"lavenderpond/core/job"
)

// Policy says which decisions are in force. With the zero value none is.
type Policy struct {
	// Admission lets entry VMs refuse jobs that can't complete while they are of use.
	Admission bool
	// FairShares orders the jobs of a pool that is full by what their accounts already use.
	FairShares bool
	// RunTimeForecast predicts run times from their distribution, and attributes slowness
	// either to a VM or to the task that runs on it.
	RunTimeForecast bool
	// SecondRuns permits a second run of a task whose step allows it.
	SecondRuns bool
	// RankedRoom gives machines to pools by the rank of the work that waits there.
	RankedRoom bool
	// EntryLimits bounds the calls that an entry VM serves concurrently.
	EntryLimits bool
	// Exceptions exempt accounts or queues from decisions.
	Exceptions []Exception
}

// Exception exempts an account or a queue from a decision until it ends.
type Exception struct {
	Name     string
	Decision Decision
	// Account and Queue limit the exception; an empty one matches all.
	Account job.AccountName
	Queue   job.QueueName
	// Reason is shown to operators.
	Reason string
	// End is when the exception ends; zero means that it doesn't.
	End time.Time
}

// Decision is a kind of decision that an exception can exempt from.
type Decision int

// The decisions that have exceptions. Decisions lists them.
const (
	// Admission is the refusal of jobs at submission.
	Admission Decision = iota + 1
	// FairShares is the order by accounts' usage.
	FairShares
	// SecondRuns is the start of second runs.
	SecondRuns
)

// String returns the decision in snake case.
func (d Decision) String() string {
	if d < Admission || d > SecondRuns {
		return "unknown"
	}
	return [...]string{"admission", "fair_shares", "second_runs"}[d-Admission]
}

// Decisions returns all decisions that have exceptions.
func Decisions() []Decision { return []Decision{Admission, FairShares, SecondRuns} }

// Exempt reports whether jobs of the account in the queue are exempt from a decision at the
// given time of day.
func (p *Policy) Exempt(wall time.Time, d Decision, account job.AccountName, queue job.QueueName) bool {
	return slices.ContainsFunc(p.Exceptions, func(e Exception) bool {
		return e.Decision == d && e.InForce(wall) && (e.Account == "" || e.Account == account) && (e.Queue == "" || e.Queue == queue)
	})
}

// InForce reports whether the exception has not ended at the given time of day.
func (e *Exception) InForce(wall time.Time) bool { return e.End.IsZero() || wall.Before(e.End) }
