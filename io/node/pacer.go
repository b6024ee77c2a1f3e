package node

import "time"

const (
	// cyclePauseFactor is how many times as long as a turn took the next one waits. A turn
	// looks at the whole fleet, whatever brought it about: with 350 VMs and 500
	// waiting jobs it takes 1 ms, and 1,500 answers a second each wanted one. The
	// more fell behind, the more jobs waited and the longer turns took. Paced, turns
	// take a fifth of the processor at most, and the answers are taken in together.
	cyclePauseFactor = 4
	// minCyclePause lets answers gather: a turn for each of them would sort the same
	// VMs and jobs thousands of times a second.
	minCyclePause = 4 * time.Millisecond
	// maxCyclePause bounds the wait after a turn in which the process stood still.
	maxCyclePause = 30 * time.Millisecond
)

// cyclePacer spaces the owner's turns. Its zero value lets the first one go.
type cyclePacer struct{ notBefore time.Time }

// recordCycle notes a turn.
func (p *cyclePacer) recordCycle(started, ended time.Time) {
	p.notBefore = ended.Add(min(max(cyclePauseFactor*ended.Sub(started), minCyclePause), maxCyclePause))
}

// pause returns how long the next turn has to wait.
func (p *cyclePacer) pause(now time.Time) time.Duration { return max(0, p.notBefore.Sub(now)) }
