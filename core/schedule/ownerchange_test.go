package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// ownerChain runs owners one after the other that maintain the machine m-1. No order reaches it.
type ownerChain struct {
	*harness
	stored    map[job.MachineID]MachineOrder
	orderedAt []time.Time
}

func newOwnerChain(t *testing.T) *ownerChain {
	return &ownerChain{harness: newHarness(t), stored: map[job.MachineID]MachineOrder{}}
}

// takeOver makes issuer the owner.
func (c *ownerChain) takeOver(issuer string) {
	settings := c.s.settings
	settings.OrderIssuer, settings.TakeoverTime, settings.FormerOrders = issuer, c.now, nil
	for _, o := range c.stored {
		settings.FormerOrders = append(settings.FormerOrders, o)
	}
	c.s = New(settings)
	c.s.SetRights(Rights{OrderMachines: true, StartTasks: true, ExtendLeases: true})
	c.s.AddWave(c.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-1"}, MaxConcurrent: 1}, job.WaveProgress{})
}

// run lets the owner work for d.
func (c *ownerChain) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.list()
		c.record(c.advance(200 * time.Millisecond))
	}
}

// runUntilOrder lets the owner work until it saves an order, and returns the sequence of that save,
// which the owner doesn't know to be stored yet.
func (c *ownerChain) runUntilOrder(issuer string) int64 {
	for range 100 {
		c.now = c.now.Add(200 * time.Millisecond)
		c.list()
		c.s.Tick(c.now)
		commands := c.s.TakeCommands()
		c.record(commands)
		for _, x := range commandsOfType[SaveOrder](commands) {
			if x.Order.Issuer == issuer {
				return x.Sequence
			}
		}
	}
	c.t.Fatalf("%s never orders the machine", issuer)
	return 0
}

func (c *ownerChain) list() {
	c.s.MachinesListed(c.now, []job.Machine{{ID: "m-1", Pool: poolOff, State: job.MachineUp}})
}

// record stores the orders among the commands and keeps the times of those that are sent.
func (c *ownerChain) record(commands []Command) {
	for _, x := range commands {
		switch x := x.(type) {
		case SaveOrder:
			c.stored[x.Order.Machine] = x.Order
		case DropOrder:
			delete(c.stored, x.Machine)
		case Maintain:
			c.orderedAt = append(c.orderedAt, c.now)
		}
	}
}

// assertSpaced checks that there is more than one order and none within the lease of another.
func (c *ownerChain) assertSpaced() {
	c.t.Helper()
	assert.Assert(c.t, len(c.orderedAt) > 1, "%d orders in %s", len(c.orderedAt), c.now.Sub(startTime))
	for i := 1; i < len(c.orderedAt); i++ {
		gap := c.orderedAt[i].Sub(c.orderedAt[i-1])
		assert.Assert(c.t, gap > c.s.settings.MachineLease, "order %d is sent %s after the one before", i, gap)
	}
}

// Guards against a machine that nobody may order because each owner waits anew for a former one.
func TestMachineIsNotBlockedForeverByFrequentOwnerChanges(t *testing.T) {
	c := newOwnerChain(t)
	for n := range 10 {
		c.takeOver(fmt.Sprintf("owner-%d", n))
		c.run(4 * time.Second)
	}
	c.assertSpaced()
}

// Guards against a machine ordered by two owners within its lease since the first one sent late.
func TestOrderSentJustBeforeTakeoverCountsUnderLaterOwners(t *testing.T) {
	c := newOwnerChain(t)
	for n := range 6 {
		issuer := fmt.Sprintf("owner-%d", n)
		c.takeOver(issuer)
		sequence := c.runUntilOrder(issuer)
		c.now = c.now.Add(4 * time.Second)
		c.s.SavesStored(c.now, sequence)
		c.record(c.s.TakeCommands())
		assert.Equal(t, len(c.orderedAt), n+1)
		c.takeOver("short")
		c.run(time.Second)
		assert.Equal(t, len(c.orderedAt), n+1)
	}
	c.assertSpaced()
}

// Guards against a wrong wait if the time of a former order is unknown or known inexactly.
func TestFormerOrderCountsFromTakeoverAtTheLatest(t *testing.T) {
	for name, sentBefore := range map[string]time.Time{"unknown": {}, "later": startTime.Add(time.Second), "same": startTime} {
		c := newOwnerChain(t)
		c.stored["m-1"] = MachineOrder{Machine: "m-1", Issuer: "there", SentBefore: sentBefore}
		c.takeOver("here")
		wait := c.s.settings.MachineLease + time.Second
		c.run(wait)
		assert.Equal(t, len(c.orderedAt), 0, name)
		c.run(time.Second)
		assert.Equal(t, len(c.orderedAt), 1, name)
	}
}
