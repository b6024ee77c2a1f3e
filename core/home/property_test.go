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

// world plays targets, callers and faults around one home, with a seed. Targets
// write down what really started, and answers are held against that.
type world struct {
	*bench
	r      *rand.Rand
	starts map[core.RequestKey]int
	open   []Dispatch
	told   map[core.RequestKey][]core.Answer
	sent   map[core.RequestKey]core.Request
}

// TestPropertyAtMostOnce: callers repeat and cancel ids at random while targets
// lose, cut and refuse answers and the right lapses and returns. No
// non-idempotent id starts twice; nobody is told "not run" as the last word on
// an id that started before; nobody gets another request's answer.
func TestPropertyAtMostOnce(t *testing.T) {
	for seed := range uint64(400) {
		w := runWorld(seed, asIs)
		assert.Equal(t, w.failure(), "", "seed %d", seed)
	}
}

// TestPropertyNeedsItsSafeguards shows that the property fails once the home sends a
// request whose answer was lost to another target, or runs each attempt for itself.
func TestPropertyNeedsItsSafeguards(t *testing.T) {
	for name, off := range map[string]switches{"retryLost": {retryLost: true}, "join": {join: true}} {
		failed, doubled, first := 0, 0, ""
		for seed := range uint64(100) {
			if failure := runWorld(seed, func(h *Home) { h.off = off }).failure(); failure != "" {
				failed++
				if strings.Contains(failure, "started") {
					doubled++
				}
				if failed == 1 {
					first = fmt.Sprintf("seed %d: %s", seed, failure)
				}
			}
		}
		t.Logf("%s: %d of 100 seeds failed, %d with an id started twice; first %s", name, failed, doubled, first)
		assert.Check(t, failed > 50 && doubled > 0, "%s: only %d of 100 seeds failed", name, failed)
	}
}

func runWorld(seed uint64, change func(*Home)) *world {
	w := &world{
		bench: newBench(6, "vm-1", "vm-2", "vm-3"), r: rand.New(rand.NewPCG(seed, 7)),
		starts: map[core.RequestKey]int{}, told: map[core.RequestKey][]core.Answer{},
		sent: map[core.RequestKey]core.Request{},
	}
	change(w.home)
	for range 300 {
		w.wait(time.Duration(w.r.IntN(60)) * time.Millisecond)
		w.step()
	}
	return w
}

func (w *world) step() {
	switch n := w.r.IntN(20); {
	case n < 7:
		w.attempt()
	case n < 8:
		w.next++
		w.take(w.do(Cancel{Key: w.anyKey(), Waiter: w.next}))
	case n < 15:
		w.endOne()
	case n < 16:
		w.rights.until = w.now.Add(time.Duration(w.r.IntN(2000)-200) * time.Millisecond)
	case n < 17:
		w.take(w.do(Asked{Key: w.anyKey(), Finding: w.finding()}))
	default:
		w.take(w.do(Tick{}))
	}
}

func (w *world) anyKey() core.RequestKey {
	return key(core.RequestID(fmt.Sprintf("r%d", w.r.IntN(40))))
}

func (w *world) attempt() {
	k := w.anyKey()
	req, repeated := w.sent[k]
	if !repeated {
		req = core.Request{
			Key: k, KeyDigest: "good", Queue: "stack", Body: []byte(k.ID),
			Deadline: w.now.Add(time.Duration(500+w.r.IntN(8000)) * time.Millisecond), FirstSent: w.now,
		}
	}
	req.Attempt++
	w.sent[k] = req
	w.next++
	w.take(w.do(Submit{Request: req, Waiter: w.next}))
}

// endOne ends a dispatch that is under way, in one of the ways a target can.
func (w *world) endOne() {
	if len(w.open) == 0 {
		return
	}
	i := w.r.IntN(len(w.open))
	d := w.open[i]
	w.open = append(w.open[:i], w.open[i+1:]...)
	end := End(Answered{Body: d.Request.Body})
	started := true
	switch w.r.IntN(8) {
	case 0:
		end, started = NotStarted{Reason: Reason(w.r.IntN(5))}, false
	case 1:
		end, started = Lost{}, w.r.IntN(2) == 0
	case 2:
		end = Damaged{}
	case 3:
		end = Failed{}
	}
	if started {
		w.starts[d.Request.Key]++
	}
	w.take(w.do(Ended{Key: d.Request.Key, Number: d.Number, End: end}))
}

func (w *world) finding() Finding {
	return []Finding{FoundRunning{}, FoundNothing{}, FoundNeverStarted{}, FoundStopped{}}[w.r.IntN(4)]
}

func (w *world) take(commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case Dispatch:
			w.open = append(w.open, c)
		case Reply:
			w.told[c.Key] = append(w.told[c.Key], c.Answer)
		}
	}
}

// failure returns what was wrong in the run, or "".
func (w *world) failure() string {
	for _, k := range sortedKeys(w.starts) {
		if w.starts[k] > 1 {
			return fmt.Sprintf("%s started %d times", k, w.starts[k])
		}
	}
	for _, k := range sortedKeys(w.told) {
		ran := false
		for _, a := range w.told[k] {
			if done, ok := a.(core.Done); ok {
				ran = true
				if string(done.Body) != string(k.ID) {
					return fmt.Sprintf("%s was given %q", k, done.Body)
				}
			}
			if refusal, ok := a.(core.NotRun); ok && ran && refusal.Code != core.CodeIDReused {
				return fmt.Sprintf("%s was told not_run after done", k)
			}
		}
	}
	return ""
}

// TestTeamSlotOutlivesUnknownOutcome: an answer is lost and the target can't be
// asked. The caller gets its final answer at once, but the task may still run:
// the team's slot stays counted until the lease deadline plus the skew bound.
func TestTeamSlotOutlivesUnknownOutcome(t *testing.T) {
	for _, off := range []bool{false, true} {
		b := newBench(1, "vm-1", "vm-2")
		b.home.off.slotKept = off
		b.submit("a", 1)
		b.do(Ended{Key: key("a"), Number: 1, End: Lost{}})
		b.wait(3 * time.Second)
		b.do(Asked{Key: key("a"), Finding: FoundNothing{}})
		assert.Equal(t, b.limits.Running(b.now, "lyra") == 1, !off)
		assert.Equal(t, b.home.Router.Idle(b.now, route.Criteria{Pool: "p"}), core.Slots(2))
		assert.Equal(t, b.limits.Running(epoch.Add(10*time.Second), "lyra") == 1, !off)
		assert.Equal(t, b.limits.Running(epoch.Add(10251*time.Millisecond), "lyra"), core.Slots(0))
	}
}

// TestNewsOfAnEarlierDispatch: a target is full, the request goes to another one, and
// the first one's refusal comes a second time. The request runs already; sent again on
// that word, it would run twice. The dispatch's number tells the news from the answer.
func TestNewsOfAnEarlierDispatch(t *testing.T) {
	for _, off := range []bool{false, true} {
		b := newBench(4, "vm-1", "vm-2")
		b.home.off.number = off
		dispatches := b.submit("a", 1)
		full := Ended{Key: key("a"), Number: 1, End: NotStarted{Reason: Full}}
		dispatches = append(dispatches, b.do(full)...)
		b.wait(time.Second)
		dispatches = append(dispatches, b.do(Tick{})...)
		assert.Equal(t, len(dispatches), 2, "%v", dispatches)
		again := b.do(full)
		b.wait(time.Second)
		again = append(again, b.do(Tick{})...)
		assert.Equal(t, len(again) == 0, !off, "%v", again)
	}
}

// TestFreshHomeKnowsNothing: a new holder asked about an id without a record may
// not say "not run" to a fetch; a former holder may have run it.
func TestFreshHomeKnowsNothing(t *testing.T) {
	for _, off := range []bool{false, true} {
		b := newBench(1, "vm-1")
		b.home.off.attempts = off
		commands := b.do(Fetch{Key: key("a"), Waiter: 1})
		unknown := Reply{Waiter: 1, Key: key("a"), Answer: core.OutcomeUnknown{Code: core.CodeNotFound}}
		assert.Equal(t, reflect.DeepEqual(commands, []Command{unknown}), !off, "%v", commands)
		b.rights.known[key("a")] = true
		commands = b.submit("a", 2)
		assert.DeepEqual(t, commands, []Command{Reply{Waiter: 1, Key: key("a"),
			Answer: core.OutcomeUnknown{Code: core.CodeHomeReplaced}}})
	}
}

// TestRefusalIsKeptForFetch: a caller submits without waiting and its request is
// refused later. It fetches the refusal; a further attempt of the id may still run.
func TestRefusalIsKeptForFetch(t *testing.T) {
	b := newBench(1, "vm-1")
	b.submit("first", 1)
	req := core.Request{Key: key("a"), KeyDigest: "good", Attempt: 1, Deadline: epoch.Add(time.Second), Queue: "stack"}
	b.do(Submit{Request: req, Waiter: 10, NoWait: true})
	b.wait(2 * time.Second)
	b.do(Tick{})
	commands := b.do(Fetch{Key: key("a"), Waiter: 11})
	assert.DeepEqual(t, commands, []Command{Reply{Waiter: 11, Key: key("a"), Answer: core.NotRun{Code: core.CodeDeadlinePassed}}})
	b.do(Ended{Key: key("first"), Number: 1, End: Answered{}})
	req.Attempt, req.Deadline = 2, epoch.Add(time.Minute)
	commands = b.do(Submit{Request: req, Waiter: 12})
	assert.Equal(t, len(commands), 1)
	_, dispatched := commands[0].(Dispatch)
	assert.Assert(t, dispatched, "%+v", commands)
}
