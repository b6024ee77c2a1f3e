package fair

import (
	"math/rand/v2"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/queue"
)

const (
	// bufferFactor is the number of items that a team of mean weight may hold per free
	// place in the queue (a dynamic threshold, see Choudhury and Hahne 1998). A single team can use
	// four fifths of the bound, so other teams always find free places.
	bufferFactor = 4
	// minRetryDelay and maxRetryDelay bound the delay after which a refused caller may
	// retry.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// admit refuses an item that doesn't fit or wouldn't be finished in time. It returns
// the predicted wait before correction.
func (f *Queue) admit(now time.Time, s *queueState, t *team, item queue.Item, idle core.Slots) (time.Duration, core.NotRun, bool) {
	if !f.hasSpace(s, t) {
		return 0, f.refuse(now, s, core.CodeQueueFull, "the queue has no space left for the team"), false
	}
	predicted := f.predictWait(s, t, item, idle)
	wait := s.correctionFor(item.Urgent).apply(predicted)
	run := f.shortestRun(s, t)
	if wait > 0 && now.Add(wait+run).After(item.Deadline) {
		return 0, f.refuse(now, s, core.CodeWouldBeLate, "predicted wait "+wait.Round(time.Millisecond).String()), false
	}
	return predicted, core.NotRun{}, true
}

// hasSpace reports whether the queue can accept another item of t. Without the
// threshold, a flood of one team would fill the queue and the requests of other teams
// would be refused, regardless of their shares.
func (f *Queue) hasSpace(s *queueState, t *team) bool {
	bound := f.maxQueued(s.id)
	free := bound - s.waiting
	if free <= 0 {
		return false
	}
	active, total := f.activeWeight(s, t)
	threshold := bufferFactor * float64(free) * t.weight * float64(active) / total
	return float64(t.waiting()) < threshold
}

func (f *Queue) maxQueued(q core.QueueID) int {
	if f.MaxQueued == nil {
		return DefaultMaxQueued
	}
	if n := f.MaxQueued(q); n > 0 {
		return n
	}
	return DefaultMaxQueued
}

// activeWeight returns the number and total weight of the teams that have waiting
// items, including t.
func (f *Queue) activeWeight(s *queueState, t *team) (int, float64) {
	active, total := 0, 0.0
	for _, other := range s.heaps[byAny].teams {
		active++
		total += other.weight
	}
	if t.heapIndex[byAny] == 0 {
		active++
		total += t.weight
	}
	return active, total
}

// predictWait returns the predicted wait of item. The slots that serve the queue are
// those on which its own items run, so slots become free at a rate of their number
// divided by the mean run time.
//
// It returns the lower of two upper bounds: the time to serve the whole backlog in
// order, and the time until the queue's virtual time reaches the item's tag.
func (f *Queue) predictWait(s *queueState, t *team, item queue.Item, idle core.Slots) time.Duration {
	ahead, own := s.waiting, t.waiting()
	if item.Urgent {
		ahead, own = s.urgent, t.urgent.liveCount()
	}
	if int(idle) > ahead {
		return 0
	}
	slots := float64(s.running + int(idle))
	if slots == 0 || !s.runTimes.trusted() {
		return 0
	}
	mean := s.meanRun().Seconds()
	backlog := float64(ahead+1) * mean / slots
	_, total := f.activeWeight(s, t)
	lead := max(0, t.virtual-s.virtual)
	if item.Urgent {
		lead = max(0, lead-urgentLeadRuns*mean/t.weight)
	}
	tag := lead + float64(own+1)*f.predictRun(s, t, item).Seconds()/t.weight
	return secondsToDuration(min(backlog, tag*total/slots))
}

// predictRun returns the expected run time of item: the mean measured for its team or
// else for its queue, or else the declared one.
func (f *Queue) predictRun(s *queueState, t *team, item queue.Item) time.Duration {
	switch {
	case t.runTimes.trusted():
		return secondsToDuration(t.runTimes.mean)
	case s.runTimes.trusted():
		return secondsToDuration(s.runTimes.mean)
	case item.DeclaredRun > 0:
		return item.DeclaredRun
	}
	return fallbackRun
}

// shortestRun returns a low quantile of the measured run times, of the team or else of
// the queue, so that few items run for less. The declared run time isn't used, because items would be refused for declaring too long a run.
func (f *Queue) shortestRun(s *queueState, t *team) time.Duration {
	switch {
	case t.runTimes.trusted():
		return secondsToDuration(t.runTimes.low)
	case s.runTimes.trusted():
		return secondsToDuration(s.runTimes.low)
	}
	return 0
}

func (s *queueState) meanRun() time.Duration {
	if s.runTimes.trusted() {
		return secondsToDuration(s.runTimes.mean)
	}
	return fallbackRun
}

// refuse returns a NotRun with a time to retry. Times are assigned in sequence at the
// rate at which slots become free, with jitter, so that refused callers return about as
// fast as they can be served and don't return simultaneously.
func (f *Queue) refuse(now time.Time, s *queueState, code core.Code, detail string) core.NotRun {
	step := s.meanRun() / time.Duration(max(1, s.running))
	earliest := now.Add(minRetryDelay)
	if s.nextRetryAt.Before(earliest) {
		s.nextRetryAt = earliest
	}
	at := s.nextRetryAt
	if at.After(now.Add(maxRetryDelay)) {
		// More callers were refused than can be served within maxRetryDelay, so their
		// times are distributed evenly.
		at = earliest.Add(time.Duration(f.random().Int64N(int64(maxRetryDelay - minRetryDelay))))
	} else {
		s.nextRetryAt = at.Add(step)
	}
	jitter := time.Duration(f.random().Int64N(int64(minRetryDelay)))
	return core.NotRun{Code: code, ComeBackAt: at.Add(jitter), Detail: detail}
}

func (f *Queue) random() *rand.Rand {
	if f.Rand == nil {
		f.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return f.Rand
}
