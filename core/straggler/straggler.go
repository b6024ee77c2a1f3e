// Package straggler decides what a run that progresses more slowly than its siblings shows: a
// slow VM, on which the task would best be stopped, or a long task, which takes as long
// anywhere. It uses no clock, network or goroutines.
package straggler

import "time"

const (
	// slowVMShare is the share of VMs that are assumed to be slow before anything is known
	// about them.
	slowVMShare = 0.01
	// missRate is the probability that a run on a slow VM looks usual, and that a run looks slow
	// only since its task changed its pace.
	missRate = 0.05
	// minTailShare is the least share of long runs that is assumed in any queue.
	minTailShare = 1e-4
	// FaultProbability is the probability from which the VM is taken to be at fault.
	FaultProbability = 0.5
	// stopMargin is the factor by which the remaining time of a run must exceed the expected
	// time of a new run elsewhere before it is stopped.
	stopMargin = 1.3
)

// Evidence is what is known about a slow run and its VM.
type Evidence struct {
	// TailShare is the share of the queue's runs that are as slow on healthy VMs, in comparison
	// with their siblings or, if these aren't known, with the queue.
	TailShare float64
	// RunningTailShare is the share of such runs among those that are running at a moment. Long
	// runs are running for longer.
	RunningTailShare float64
	// OtherSlow and OtherUsual count the other runs on the VM whose recent progress was slow
	// or usual, each against its own siblings.
	OtherSlow, OtherUsual int
	// SiblingsSlow and SiblingsUsual count the runs of the same step on other VMs that are as
	// slow, or progress as usual. They are 0 if the run was compared with its siblings.
	SiblingsSlow, SiblingsUsual int
	// BeyondTail is set if the run is slower than any known run on a healthy VM.
	BeyondTail bool
	// SlowedDown is set if the run progressed as usual before. A long task is slow from its
	// beginning.
	SlowedDown bool
}

// VMFault returns the probability that the VM is at fault, by Bayes' rule. A run that is slower
// than any long task is at fault itself, and has to be stopped like one on a slow VM.
func (e Evidence) VMFault() float64 {
	if e.BeyondTail {
		return 1
	}
	tail := max(e.TailShare, minTailShare)
	if e.SlowedDown {
		tail *= missRate
	}
	odds := slowVMShare / tail
	running := min(max(e.RunningTailShare, minTailShare), 1-minTailShare)
	for range min(e.OtherSlow, maxWitnesses) {
		odds *= (1 - missRate) / running
	}
	for range min(e.OtherUsual, maxWitnesses) {
		odds *= missRate / (1 - running)
	}
	for range min(e.SiblingsSlow, maxWitnesses) {
		odds *= missRate / (1 - missRate)
	}
	for range min(e.SiblingsUsual, maxWitnesses) {
		odds *= (1 - missRate) / missRate
	}
	return odds / (1 + odds)
}

// maxWitnesses is the number of other runs of each kind from which more change nothing.
const maxWitnesses = 8

// Run is a slow run as its VM reports it.
type Run struct {
	// Usual is the median run time of the siblings, Remaining the predicted remaining time of
	// the run, and Total its predicted run time.
	Usual, Remaining, Total time.Duration
	// Stop is the longest time that a task takes to stop.
	Stop time.Duration
}

// StopEndsSooner reports whether a new run elsewhere is expected to end sooner by a margin,
// given the probability that the VM is at fault. If it isn't, the new run takes as long as this
// one.
func (r Run) StopEndsSooner(vmFault float64) bool {
	elsewhere := r.Stop.Seconds() + vmFault*r.Usual.Seconds() + (1-vmFault)*r.Total.Seconds()
	return r.Remaining.Seconds() > stopMargin*elsewhere
}
