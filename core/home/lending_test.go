package home

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/queue/fair"
	"lavenderpond/core/route"
	"lavenderpond/core/route/least"
)

// twoQueues serves the queue "stack" from pool "p" and "quotes" from "q"; both may
// overflow.
type twoQueues struct{ fakeConfig }

func (*twoQueues) Pool(_ time.Time, q core.QueueID) (core.PoolID, bool, bool) {
	if q == "quotes" {
		return "q", true, true
	}
	return "p", true, q == "stack"
}

// urgentStartsBeforeOwn fills the lending pool "p" with urgent requests of the queue
// "quotes" and submits a request of the pool's own queue. It returns how many further
// urgent requests start before that request does.
func urgentStartsBeforeOwn(t *testing.T, lenderFirst bool) int {
	t.Helper()
	b := newTestbed(100)
	router := &least.Router{}
	router.Update(epoch, []route.Target{{VM: "lender", Pool: "p", Slots: 8}}, []route.Pool{{ID: "p", LendsIdle: true}, {ID: "q"}})
	b.home.Router, b.home.Queue, b.home.Config = router, &fair.Queue{}, &twoQueues{}
	b.home.disabled.lenderFirst = !lenderFirst
	var open []Dispatch
	collect := func(commands []Command) {
		for _, c := range commands {
			if d, ok := c.(Dispatch); ok {
				open = append(open, d)
			}
		}
	}
	for n := range 40 {
		collect(b.submit(core.RequestID(fmt.Sprintf("quote-%d", n)), 1, func(r *core.Request) { r.Queue, r.Urgent = "quotes", true }))
	}
	assert.Equal(t, len(open), 8)
	collect(b.submit("own", 1))
	for n := 0; n < len(open); n++ {
		if open[n].Request.Key.ID == "own" {
			return n - 8
		}
		b.wait(time.Millisecond)
		collect(b.handle(Ended{Key: open[n].Request.Key, DispatchNumber: open[n].DispatchNumber, End: Answered{}}))
	}
	return len(open) - 8
}

// TestLendingPoolServesOwnQueueFirst fills every slot of a lending pool with urgent
// requests of another queue and then submits a request of the pool's own queue. That
// request must get the first slot that becomes free; otherwise it would wait until
// the flood ends.
func TestLendingPoolServesOwnQueueFirst(t *testing.T) {
	assert.Equal(t, urgentStartsBeforeOwn(t, true), 0)
	assert.Equal(t, urgentStartsBeforeOwn(t, false), 32, "without the safeguard")
}
