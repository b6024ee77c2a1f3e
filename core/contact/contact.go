// Package contact implements a circuit breaker for calls to the table. The table may be
// unreachable for this process or for all processes, either as a whole or in some of its
// partitions.
package contact

import "time"

// Partition names a partition of the table.
type Partition string

const (
	// maxAnswerAge is the age of the last answer, from any partition, beyond which the table
	// is considered unreachable. An entry VM with low capacity reads every 450 ms, and a slow
	// table adds to that.
	maxAnswerAge = 700 * time.Millisecond
	// tableProbeInterval and partProbeInterval are the intervals between calls that probe
	// whether the table, or one partition of it, is reachable again.
	tableProbeInterval     = 100 * time.Millisecond
	partitionProbeInterval = 200 * time.Millisecond
)

// Decision says what to do with a call to the table.
type Decision int

// The decisions about a call.
const (
	// Call means that the call should be sent normally.
	Call Decision = iota
	// Probe means that the call should be sent although it is likely to fail. Other calls
	// of its kind are refused until it has ended.
	Probe
	// Refuse means that the call would fail and should not be sent. The caller can turn to
	// another process immediately.
	Refuse
)

// String returns the decision in snake case.
func (d Decision) String() string { return [...]string{"call", "probe", "refuse"}[d] }

// Breaker tracks whether the table and its partitions answer one process. The zero value
// has received no answer.
//
// Whether a partition is available depends only on its own answers. If it depended on the
// partition that holds the owner's rows, an outage of that partition would make a process
// refuse every caller, although most of the jobs could be stored in other partitions.
type Breaker struct {
	lastAnswer       time.Time
	nextProbeAt      time.Time
	failedPartitions map[Partition]*failedPartition
}

// failedPartition is the state of a partition whose last call failed.
type failedPartition struct {
	nextProbeAt time.Time
}

// RecordAnswer records that a partition has answered. It reports whether the partition
// had been failing.
func (b *Breaker) RecordAnswer(now time.Time, p Partition) (regained bool) {
	b.RecordContact(now)
	regained = b.failedPartitions[p] != nil
	delete(b.failedPartitions, p)
	return regained
}

// RecordContact records an answer that doesn't belong to a partition.
func (b *Breaker) RecordContact(now time.Time) {
	if now.After(b.lastAnswer) {
		b.lastAnswer = now
	}
	b.nextProbeAt = time.Time{}
}

// RecordFailure records that a call to a partition was refused or not answered. It reports
// whether the partition had not been failing before.
func (b *Breaker) RecordFailure(now time.Time, p Partition) (lost bool) {
	if b.failedPartitions == nil {
		b.failedPartitions = map[Partition]*failedPartition{}
	}
	if b.failedPartitions[p] != nil {
		return false
	}
	b.failedPartitions[p] = &failedPartition{nextProbeAt: now.Add(partitionProbeInterval)}
	return true
}

// SinceLastAnswer returns the time since the last answer of the table.
func (b *Breaker) SinceLastAnswer(now time.Time) time.Duration { return now.Sub(b.lastAnswer) }

// Decide returns what to do with a call to a partition. It assumes that the caller sends a
// call for which it returns Probe.
func (b *Breaker) Decide(now time.Time, p Partition) Decision {
	if b.SinceLastAnswer(now) > maxAnswerAge {
		return allowProbe(now, &b.nextProbeAt, tableProbeInterval)
	}
	if down := b.failedPartitions[p]; down != nil {
		return allowProbe(now, &down.nextProbeAt, partitionProbeInterval)
	}
	return Call
}

// allowProbe lets one call through per interval.
func allowProbe(now time.Time, next *time.Time, interval time.Duration) Decision {
	if now.Before(*next) {
		return Refuse
	}
	*next = now.Add(interval)
	return Probe
}
