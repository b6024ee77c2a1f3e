package replay

import (
	"math"
	"time"

	"lavenderpond/core"
)

// shareWindow is the period over which the received slot-time is compared with the fair
// slot-time.
const shareWindow = 10 * time.Second

// shareMeter measures how closely teams receive their shares. At every sample, it computes
// the fair division of the slots that a queue uses among the teams with running or waiting
// requests, by weighted max-min fairness with no team above its demand. For each window it
// compares the slot-time that each team received with its fair slot-time. Samples at which
// nobody waits are fair by definition and don't count.
type shareMeter struct {
	accounts  []Account
	index     map[core.TeamID]int
	queues    [queues]queueShares
	windowEnd time.Time
	// misallocated is the slot-time that teams received beyond their fair part, used all
	// received slot-time.
	misallocated, used float64
	received, fair     []float64
}

// queueShares holds the counts of one queue, by index of the account. received and fair
// add up the samples of the current window.
type queueShares struct {
	running, waiting []int
	received, fair   []float64
}

func newShareMeter(accounts []Account) shareMeter {
	m := shareMeter{accounts: accounts, index: make(map[core.TeamID]int), windowEnd: runStart.Add(shareWindow)}
	for i, a := range accounts {
		m.index[a.Team] = i
	}
	n := len(accounts)
	m.received, m.fair = make([]float64, n), make([]float64, n)
	for q := range m.queues {
		m.queues[q] = queueShares{make([]int, n), make([]int, n), make([]float64, n), make([]float64, n)}
	}
	return m
}

func (m *shareMeter) addWaiting(j *job, delta int) {
	m.queues[j.queueIndex].waiting[m.index[j.item.Key.Team]] += delta
}

func (m *shareMeter) addRunning(j *job, delta int) {
	m.queues[j.queueIndex].running[m.index[j.item.Key.Team]] += delta
}

func (m *shareMeter) sample(now time.Time) {
	for q := range m.queues {
		m.sampleQueue(&m.queues[q])
	}
	if !now.Before(m.windowEnd) {
		m.windowEnd = now.Add(shareWindow)
		m.closeWindow()
	}
}

func (m *shareMeter) sampleQueue(q *queueShares) {
	total, waiting := 0, 0
	demand := make([]float64, len(m.accounts))
	for i := range m.accounts {
		total += q.running[i]
		waiting += q.waiting[i]
		demand[i] = math.Min(float64(q.running[i]+q.waiting[i]), float64(m.accounts[i].Limit))
	}
	if waiting == 0 {
		return
	}
	for i, part := range m.divide(float64(total), demand) {
		q.fair[i] += part
		q.received[i] += float64(q.running[i])
	}
}

// divide returns the weighted max-min fair division of the remaining slots. Each round
// gives every unsatisfied team its part of what is left, but not more than its demand.
func (m *shareMeter) divide(remaining float64, demand []float64) []float64 {
	allotted := make([]float64, len(demand))
	for range demand {
		weight := 0.0
		for i, d := range demand {
			if allotted[i] < d {
				weight += float64(m.accounts[i].Share)
			}
		}
		if weight == 0 || remaining < 1e-9 {
			break
		}
		available := remaining
		for i, d := range demand {
			if allotted[i] < d {
				part := math.Min(available*float64(m.accounts[i].Share)/weight, d-allotted[i])
				allotted[i] += part
				remaining -= part
			}
		}
	}
	return allotted
}

// closeWindow compares received and fair slot-time of the window and starts the next one.
func (m *shareMeter) closeWindow() {
	for q := range m.queues {
		s := &m.queues[q]
		for i := range s.received {
			m.misallocated += math.Abs(s.received[i]-s.fair[i]) / 2
			m.used += s.received[i]
			m.received[i] += s.received[i]
			m.fair[i] += s.fair[i]
			s.received[i], s.fair[i] = 0, 0
		}
	}
}

// fairFraction returns the fraction of the contested slot-time that teams received in
// accordance with their shares.
func (m *shareMeter) fairFraction() float64 {
	if m.used == 0 {
		return 1
	}
	return 1 - m.misallocated/m.used
}

// lowestReceivedFraction returns the lowest fraction of its fair slot-time that any team received.
func (m *shareMeter) lowestReceivedFraction() float64 {
	lowest := 1.0
	for i := range m.fair {
		if m.fair[i] > 0 {
			lowest = math.Min(lowest, m.received[i]/m.fair[i])
		}
	}
	return lowest
}
