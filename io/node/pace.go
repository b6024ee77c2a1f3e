package node

import "time"

const (
	// turnPause is how many times as long as a turn took the next one waits. A turn
	// looks at the whole fleet, whatever brought it about: with 350 VMs and 500
	// waiting jobs it takes 1 ms, and 1,500 answers a second each wanted one. The
	// more fell behind, the more jobs waited and the longer turns took. Paced, turns
	// take a fifth of the processor at most, and the answers are taken in together.
	turnPause = 4
	// turnPauseLeast lets answers gather: a turn for each of them would sort the same
	// VMs and jobs thousands of times a second.
	turnPauseLeast = 4 * time.Millisecond
	// turnPauseMost bounds the wait after a turn in which the process stood still.
	turnPauseMost = 30 * time.Millisecond
)

// turnPacer spaces the owner's turns. Its zero value lets the first one go.
type turnPacer struct{ next time.Time }

// took notes a turn.
func (p *turnPacer) took(begun, ended time.Time) {
	p.next = ended.Add(min(max(turnPause*ended.Sub(begun), turnPauseLeast), turnPauseMost))
}

// pause returns how long the next turn has to wait.
func (p *turnPacer) pause(now time.Time) time.Duration { return max(0, p.next.Sub(now)) }
