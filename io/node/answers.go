package node

import (
	"sync"
	"time"
)

const (
	// answerFactor is how many times the usual time of an answer a call to the table
	// waits. When the table is slow, each call that is given up and sent again takes its
	// part as long as the first: with a fixed wait of 300 ms and answers after 140 ms,
	// 154 of 174 submissions a second ended without a known outcome.
	answerFactor = 5
	// answerPart is the part of an answer's time that goes into the usual time, and
	// silencePart that of a call without an answer, with the time that it waited: a
	// table that turns slow must be known as such after one or two calls.
	answerPart  = 8
	silencePart = 2
)

// answerTimes learns how long the table takes for an answer. Its zero value has
// heard none.
type answerTimes struct {
	mu    sync.Mutex
	usual time.Duration
}

// learn takes in how long a call took, with or without an answer.
func (a *answerTimes) learn(took time.Duration, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answered {
		a.usual += (took - a.usual) / answerPart
		return
	}
	a.usual += max(0, took-a.usual) / silencePart
}

// patience returns how long to wait for an answer, and not less than least.
func (a *answerTimes) patience(least time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(least, answerFactor*a.usual)
}

// slowerThan tells whether answers usually take longer than d.
func (a *answerTimes) slowerThan(d time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usual > d
}

// typical returns how long an answer usually takes.
func (a *answerTimes) typical() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usual
}
