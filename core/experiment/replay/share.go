package replay

import (
	"math"
	"time"

	"lavenderpond/core"
)

// shareWindow is over how long received service is compared with fair service.
const shareWindow = 10 * time.Second

// shareMeter measures nearness to share. At every sample, the slots that a queue
// uses are divided fairly (weighted max-min, no team above its demand) among the
// teams that run or wait; over each window the slot-time that each team got is
// compared with that. Samples at which nobody waits are fair by definition and
// don't count.
type shareMeter struct {
	accounts []Account
	index    map[core.TeamID]int
	queues   [queues]queueShares
	windowAt time.Time
	// moved is slot-time that the wrong team got, used all slot-time.
	moved, used float64
	got, fair   []float64
}

// queueShares are the counts of one queue, by account.
type queueShares struct {
	running, waiting []int
	got, fair        []float64
}

func newShareMeter(accounts []Account) shareMeter {
	m := shareMeter{accounts: accounts, index: make(map[core.TeamID]int), windowAt: start.Add(shareWindow)}
	for i, a := range accounts {
		m.index[a.Team] = i
	}
	n := len(accounts)
	m.got, m.fair = make([]float64, n), make([]float64, n)
	for q := range m.queues {
		m.queues[q] = queueShares{make([]int, n), make([]int, n), make([]float64, n), make([]float64, n)}
	}
	return m
}

func (m *shareMeter) wait(j *job, by int) {
	m.queues[j.queueIndex].waiting[m.index[j.item.Key.Team]] += by
}

func (m *shareMeter) run(j *job, by int) {
	m.queues[j.queueIndex].running[m.index[j.item.Key.Team]] += by
}

func (m *shareMeter) sample(now time.Time) {
	for q := range m.queues {
		m.sampleQueue(&m.queues[q])
	}
	if !now.Before(m.windowAt) {
		m.windowAt = now.Add(shareWindow)
		m.closeWindow()
	}
}

func (m *shareMeter) sampleQueue(q *queueShares) {
	total, waits := 0, 0
	demand := make([]float64, len(m.accounts))
	for i := range m.accounts {
		total += q.running[i]
		waits += q.waiting[i]
		demand[i] = math.Min(float64(q.running[i]+q.waiting[i]), float64(m.accounts[i].Limit))
	}
	if waits == 0 {
		return
	}
	for i, part := range m.divide(float64(total), demand) {
		q.fair[i] += part
		q.got[i] += float64(q.running[i])
	}
}

// divide is weighted max-min: each round gives every unsatisfied team its part of
// what is left, until no team gets more than it wants.
func (m *shareMeter) divide(left float64, demand []float64) []float64 {
	given := make([]float64, len(demand))
	for range demand {
		weight := 0.0
		for i, d := range demand {
			if given[i] < d {
				weight += float64(m.accounts[i].Share)
			}
		}
		if weight == 0 || left < 1e-9 {
			break
		}
		round := left
		for i, d := range demand {
			if given[i] < d {
				part := math.Min(round*float64(m.accounts[i].Share)/weight, d-given[i])
				given[i] += part
				left -= part
			}
		}
	}
	return given
}

func (m *shareMeter) closeWindow() {
	for q := range m.queues {
		s := &m.queues[q]
		for i := range s.got {
			m.moved += math.Abs(s.got[i]-s.fair[i]) / 2
			m.used += s.got[i]
			m.got[i] += s.got[i]
			m.fair[i] += s.fair[i]
			s.got[i], s.fair[i] = 0, 0
		}
	}
}

// nearness is the part of contested slot-time that went to the right team.
func (m *shareMeter) nearness() float64 {
	if m.used == 0 {
		return 1
	}
	return 1 - m.moved/m.used
}

// worst is the lowest part of its fair slot-time that any team got.
func (m *shareMeter) worst() float64 {
	lowest := 1.0
	for i := range m.fair {
		if m.fair[i] > 0 {
			lowest = math.Min(lowest, m.got[i]/m.fair[i])
		}
	}
	return lowest
}
