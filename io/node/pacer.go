package node

import "time"

const (
	// roundPauseFactor is the pause before the next cycle in multiples of the last cycle's
	// duration. A cycle examines the whole fleet whatever triggered it. With 350 VMs and
	// 500 waiting jobs it takes 1 ms, and 1,500 answers a second would each trigger one.
	// The further the owner fell behind, the more jobs waited and the longer the cycles
	// took. With the pause, cycles take at most a fifth of a CPU, and answers are handled
	// together.
	roundPauseFactor = 4
	// minRoundPause lets answers accumulate. A cycle for each of them would sort the same
	// VMs and jobs thousands of times a second.
	minRoundPause = 4 * time.Millisecond
	// maxRoundPause bounds the pause after a cycle during which the process was suspended.
	maxRoundPause = 30 * time.Millisecond
)

// roundPacer spaces the owner's scheduling cycles. The zero value allows the first one
// immediately.
type roundPacer struct{ notBefore time.Time }

// recordRound records when a cycle started and ended.
func (p *roundPacer) recordRound(started, ended time.Time) {
	p.notBefore = ended.Add(min(max(roundPauseFactor*ended.Sub(started), minRoundPause), maxRoundPause))
}

// pause returns how long the next cycle has to wait.
func (p *roundPacer) pause(now time.Time) time.Duration { return max(0, p.notBefore.Sub(now)) }
