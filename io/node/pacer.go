package node

import "time"

const (
	// roundPauseFactor is the pause before the next round in multiples of the last round's
	// duration. A round examines the whole fleet whatever triggered it. With 350 VMs and
	// 500 waiting jobs it takes 1 ms, and 1,500 answers a second would each trigger one.
	// The further the owner fell behind, the more jobs waited and the longer the rounds
	// took. With the pause, rounds take at most a fifth of a CPU, and answers are handled
	// together.
	roundPauseFactor = 4
	// minRoundPause lets answers accumulate. A round for each of them would sort the same
	// VMs and jobs thousands of times a second.
	minRoundPause = 4 * time.Millisecond
	// maxRoundPause bounds the pause after a round during which the process was suspended.
	maxRoundPause = 30 * time.Millisecond
)

// roundPacer spaces the owner's scheduling rounds. The zero value allows the first one
// immediately.
type roundPacer struct{ notBefore time.Time }

// recordRound records when a round started and ended.
func (p *roundPacer) recordRound(started, ended time.Time) {
	p.notBefore = ended.Add(min(max(roundPauseFactor*ended.Sub(started), minRoundPause), maxRoundPause))
}

// pause returns how long the next round has to wait.
func (p *roundPacer) pause(now time.Time) time.Duration { return max(0, p.notBefore.Sub(now)) }
