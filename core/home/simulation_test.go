package home

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/route"
)

// simulation simulates targets, callers and faults around one Home, from a seed.
// Its targets count the tasks that really started, and the answers are checked
// against the targets.
type simulation struct {
	*testbed
	r        *rand.Rand
	starts   map[core.RequestKey]int
	inFlight []Dispatch
	answers  map[core.RequestKey][]core.Answer
	requests map[core.RequestKey]core.Request
}

// TestPropertyAtMostOnce repeats and cancels ids at random while targets lose,
// truncate and refuse answers and the shard lease expires and returns. No
// non-idempotent id may start twice, no caller may get "not run" as the final
// answer for an id that has started, and no caller may get another request's
// answer.
func TestPropertyAtMostOnce(t *testing.T) {
	for seed := range uint64(400) {
		sim := runSimulation(seed, allSafeguards)
		assert.Equal(t, sim.failure(), "", "seed %d", seed)
	}
}

// TestAtMostOnceSafeguardsAreNeeded checks that the property fails if the home sends
// a request whose answer was lost to another target, or runs each attempt
// separately.
func TestAtMostOnceSafeguardsAreNeeded(t *testing.T) {
	for name, off := range map[string]disabledSafeguards{"no retry after loss": {noRetryAfterLoss: true}, "join attempts": {joinAttempts: true}} {
		failed, startedTwice, first := 0, 0, ""
		for seed := range uint64(100) {
			if failure := runSimulation(seed, func(h *Home) { h.disabled = off }).failure(); failure != "" {
				failed++
				if strings.Contains(failure, "started") {
					startedTwice++
				}
				if failed == 1 {
					first = fmt.Sprintf("seed %d: %s", seed, failure)
				}
			}
		}
		t.Logf("without %q: %d of 100 seeds failed, %d with an id started twice; first %s", name, failed, startedTwice, first)
		assert.Check(t, failed > 50 && startedTwice > 0, "without %q: only %d of 100 seeds failed", name, failed)
	}
}

func runSimulation(seed uint64, change func(*Home)) *simulation {
	sim := &simulation{
		testbed: newTestbed(6, "vm-1", "vm-2", "vm-3"), r: rand.New(rand.NewPCG(seed, 7)),
		starts: map[core.RequestKey]int{}, answers: map[core.RequestKey][]core.Answer{},
		requests: map[core.RequestKey]core.Request{},
	}
	change(sim.home)
	for range 300 {
		sim.wait(time.Duration(sim.r.IntN(60)) * time.Millisecond)
		sim.step()
	}
	return sim
}

func (sim *simulation) step() {
	switch n := sim.r.IntN(20); {
	case n < 7:
		sim.attempt()
	case n < 8:
		sim.lastWaiter++
		sim.record(sim.handle(Cancel{Key: sim.randomKey(), Waiter: sim.lastWaiter}))
	case n < 15:
		sim.endDispatch()
	case n < 16:
		sim.leases.until = sim.now.Add(time.Duration(sim.r.IntN(2000)-200) * time.Millisecond)
	case n < 17:
		sim.record(sim.handle(Asked{Key: sim.randomKey(), Finding: sim.finding()}))
	default:
		sim.record(sim.handle(Tick{}))
	}
}

func (sim *simulation) randomKey() core.RequestKey {
	return key(core.RequestID(fmt.Sprintf("r%d", sim.r.IntN(40))))
}

func (sim *simulation) attempt() {
	k := sim.randomKey()
	req, repeated := sim.requests[k]
	if !repeated {
		req = core.Request{
			Key: k, KeyDigest: "good", Queue: "stack", Body: []byte(k.ID),
			Deadline: sim.now.Add(time.Duration(500+sim.r.IntN(8000)) * time.Millisecond), FirstSent: sim.now,
		}
	}
	req.Attempt++
	sim.requests[k] = req
	sim.lastWaiter++
	sim.record(sim.handle(Submit{Request: req, Waiter: sim.lastWaiter}))
}

// endDispatch ends a random dispatch in one of the possible ways.
func (sim *simulation) endDispatch() {
	if len(sim.inFlight) == 0 {
		return
	}
	i := sim.r.IntN(len(sim.inFlight))
	d := sim.inFlight[i]
	sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
	end := End(Answered{Body: d.Request.Body})
	started := true
	switch sim.r.IntN(8) {
	case 0:
		end, started = NotStarted{Reason: Reason(sim.r.IntN(5))}, false
	case 1:
		end, started = Lost{}, sim.r.IntN(2) == 0
	case 2:
		end = Damaged{}
	case 3:
		end = Failed{}
	}
	if started {
		sim.starts[d.Request.Key]++
	}
	sim.record(sim.handle(Ended{Key: d.Request.Key, DispatchNumber: d.DispatchNumber, End: end}))
}

func (sim *simulation) finding() Finding {
	return []Finding{FoundRunning{}, FoundNoAnswer{}, FoundNoRecord{}, FoundStopped{}}[sim.r.IntN(4)]
}

func (sim *simulation) record(commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case Dispatch:
			sim.inFlight = append(sim.inFlight, c)
		case Reply:
			sim.answers[c.Key] = append(sim.answers[c.Key], c.Answer)
		}
	}
}

// failure describes the first violation in the run, or returns "".
func (sim *simulation) failure() string {
	for _, k := range sortedKeys(sim.starts) {
		if sim.starts[k] > 1 {
			return fmt.Sprintf("%s started %d times", k, sim.starts[k])
		}
	}
	for _, k := range sortedKeys(sim.answers) {
		ran := false
		for _, a := range sim.answers[k] {
			if done, ok := a.(core.Done); ok {
				ran = true
				if string(done.Body) != string(k.ID) {
					return fmt.Sprintf("%s received another request's answer %q", k, done.Body)
				}
			}
			if refusal, ok := a.(core.NotRun); ok && ran && refusal.Code != core.CodeIDReused {
				return fmt.Sprintf("%s received not_run after done", k)
			}
		}
	}
	return ""
}

// TestTeamSlotHeldAfterUnknownOutcome loses an answer while the target can't be
// asked. The caller gets its final answer while the task may still be running: the
// team's slot must stay counted until the end of the task's lease plus the skew
// bound.
func TestTeamSlotHeldAfterUnknownOutcome(t *testing.T) {
	for _, off := range []bool{false, true} {
		b := newTestbed(1, "vm-1", "vm-2")
		b.home.disabled.keepTeamSlot = off
		b.submit("a", 1)
		b.handle(Ended{Key: key("a"), DispatchNumber: 1, End: Lost{}})
		b.wait(3 * time.Second)
		b.handle(Asked{Key: key("a"), Finding: FoundNoAnswer{}})
		assert.Equal(t, b.limits.Running(b.now, "lyra") == 1, !off)
		assert.Equal(t, b.home.Router.Idle(b.now, route.Criteria{Pool: "p"}), core.Slots(2))
		assert.Equal(t, b.limits.Running(epoch.Add(10*time.Second), "lyra") == 1, !off)
		assert.Equal(t, b.limits.Running(epoch.Add(10251*time.Millisecond), "lyra"), core.Slots(0))
	}
}

// TestLateEndOfEarlierDispatchIsIgnored repeats the refusal of a full target after the
// request was sent to another target. If the repeated refusal were accepted, the
// running request would be sent again and run twice. The dispatch number shows that
// the refusal belongs to the earlier dispatch.
func TestLateEndOfEarlierDispatchIsIgnored(t *testing.T) {
	for _, off := range []bool{false, true} {
		b := newTestbed(4, "vm-1", "vm-2")
		b.home.disabled.dispatchNumber = off
		dispatches := b.submit("a", 1)
		full := Ended{Key: key("a"), DispatchNumber: 1, End: NotStarted{Reason: Full}}
		dispatches = append(dispatches, b.handle(full)...)
		b.wait(time.Second)
		dispatches = append(dispatches, b.handle(Tick{})...)
		assert.Equal(t, len(dispatches), 2, "%v", dispatches)
		again := b.handle(full)
		b.wait(time.Second)
		again = append(again, b.handle(Tick{})...)
		assert.Equal(t, len(again) == 0, !off, "%v", again)
	}
}

// TestNewHolderAnswersUnknown checks that a new holder without a record of an id
// doesn't answer a fetch with "not run", because a former holder may have run the
// id.
func TestNewHolderAnswersUnknown(t *testing.T) {
	for _, off := range []bool{false, true} {
		b := newTestbed(1, "vm-1")
		b.home.disabled.laterAttemptUnknown = off
		commands := b.handle(Fetch{Key: key("a"), Waiter: 1})
		unknown := Reply{Waiter: 1, Key: key("a"), Answer: core.OutcomeUnknown{Code: core.CodeNotFound}}
		assert.Equal(t, reflect.DeepEqual(commands, []Command{unknown}), !off, "%v", commands)
		b.leases.known[key("a")] = true
		commands = b.submit("a", 2)
		assert.DeepEqual(t, commands, []Command{Reply{Waiter: 1, Key: key("a"),
			Answer: core.OutcomeUnknown{Code: core.CodeHomeReplaced}}})
	}
}

// TestRefusalIsKeptForFetch refuses a request after its caller submitted it
// without waiting. The caller can fetch the refusal, and a later attempt of the id
// may still run.
func TestRefusalIsKeptForFetch(t *testing.T) {
	b := newTestbed(1, "vm-1")
	b.submit("first", 1)
	req := core.Request{Key: key("a"), KeyDigest: "good", Attempt: 1, Deadline: epoch.Add(time.Second), Queue: "stack"}
	b.handle(Submit{Request: req, Waiter: 10, NoWait: true})
	b.wait(2 * time.Second)
	b.handle(Tick{})
	commands := b.handle(Fetch{Key: key("a"), Waiter: 11})
	assert.DeepEqual(t, commands, []Command{Reply{Waiter: 11, Key: key("a"), Answer: core.NotRun{Code: core.CodeDeadlinePassed}}})
	b.handle(Ended{Key: key("first"), DispatchNumber: 1, End: Answered{}})
	req.Attempt, req.Deadline = 2, epoch.Add(time.Minute)
	commands = b.handle(Submit{Request: req, Waiter: 12})
	assert.Equal(t, len(commands), 1)
	_, dispatched := commands[0].(Dispatch)
	assert.Assert(t, dispatched, "%+v", commands)
}
