// Package entry puts the parts of the daemon together: the decisions of core
// behind a mutex, the peers they speak to, and the tree that runs them.
package entry

import (
	"context"
	"sync"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/home"
	"lavenderpond/io/supervisor"
	"lavenderpond/io/target"
)

// drainStep is how often Drain looks whether work is left.
const drainStep = 10 * time.Millisecond

// Requests drives a home.Home: it hands in events one by one and carries out the
// commands. It is safe for concurrent use.
type Requests struct {
	// Now is the clock.
	Now func() time.Time
	// Targets sends work to target VMs, at the address that Address gives.
	Targets *target.Client
	Address func(vm core.VMID) (string, bool)
	// Seen is told how each dispatch sent at asked ended, as evidence of a VM's state.
	Seen func(vm core.VMID, asked time.Time, end home.End)

	mu      sync.Mutex
	home    *home.Home
	waiters map[home.Waiter]chan core.Answer
	last    home.Waiter
	calls   supervisor.Workers
	// ctx ends when the daemon gives up what still runs.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewRequests returns a driver of h. The other fields must be set before use.
func NewRequests(h *home.Home) *Requests {
	ctx, cancel := context.WithCancel(context.Background())
	return &Requests{
		home: h, ctx: ctx, cancel: cancel, waiters: make(map[home.Waiter]chan core.Answer),
	}
}

// Submit hands in an attempt and waits for its answer.
func (r *Requests) Submit(ctx context.Context, req core.Request, noWait bool) core.Answer {
	return r.await(ctx, req.Key, func(w home.Waiter) home.Event {
		return home.Submit{Request: req, Waiter: w, NoWait: noWait}
	})
}

// Fetch returns the answer of a request, or Pending.
func (r *Requests) Fetch(ctx context.Context, key core.RequestKey) core.Answer {
	return r.await(ctx, key, func(w home.Waiter) home.Event { return home.Fetch{Key: key, Waiter: w} })
}

// Cancel gives a request up and returns what became of it.
func (r *Requests) Cancel(ctx context.Context, key core.RequestKey) core.Answer {
	return r.await(ctx, key, func(w home.Waiter) home.Event { return home.Cancel{Key: key, Waiter: w} })
}

// Handle hands in an event.
func (r *Requests) Handle(e home.Event) {
	r.mu.Lock()
	commands := r.home.Handle(r.Now(), e)
	replies := r.takeReplies(commands)
	r.mu.Unlock()
	for _, reply := range replies {
		reply.to <- reply.answer
	}
	for _, c := range commands {
		r.carryOut(c)
	}
}

// Locked calls f while no event is handled.
func (r *Requests) Locked(f func(h *home.Home)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.home)
}

// Settle returns when no request is between its mirrored start and its target, or
// when ctx ends.
func (r *Requests) Settle(ctx context.Context) {
	r.awaitNone(ctx, func(h *home.Home) int { return h.Unsettled(r.Now()) })
}

// Drain returns when no request runs any more, or when ctx ends; it returns how
// many were left then.
func (r *Requests) Drain(ctx context.Context) int { return r.awaitNone(ctx, (*home.Home).Unfinished) }

// awaitNone returns when count is 0, or when ctx ends, and the last count.
func (r *Requests) awaitNone(ctx context.Context, count func(*home.Home) int) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	left := 0
	_ = supervisor.Every(ctx, drainStep, func(context.Context) {
		r.Locked(func(h *home.Home) { left = count(h) })
		if left == 0 {
			cancel()
		}
	})
	return left
}

// Go runs f on a goroutine that Close waits for; ctx ends with Close.
func (r *Requests) Go(f func(ctx context.Context)) {
	r.calls.Go(func() { f(r.ctx) })
}

// Close gives up all calls to targets and waits for them.
func (r *Requests) Close() {
	r.cancel()
	r.calls.Wait()
}

// pendingReply is an answer on its way to a waiting caller.
type pendingReply struct {
	to     chan core.Answer
	answer core.Answer
}

func (r *Requests) takeReplies(commands []home.Command) []pendingReply {
	var replies []pendingReply
	for _, c := range commands {
		reply, ok := c.(home.Reply)
		if !ok {
			continue
		}
		if to := r.waiters[reply.Waiter]; to != nil {
			delete(r.waiters, reply.Waiter)
			replies = append(replies, pendingReply{to: to, answer: reply.Answer})
		}
	}
	return replies
}

// await hands in the event that event makes and waits for the reply. A caller
// that goes away leaves its request as it is.
func (r *Requests) await(ctx context.Context, key core.RequestKey, event func(home.Waiter) home.Event) core.Answer {
	reply := make(chan core.Answer, 1)
	r.mu.Lock()
	r.last++
	w := r.last
	r.waiters[w] = reply
	r.mu.Unlock()
	r.Handle(event(w))
	select {
	case a := <-reply:
		return a
	case <-ctx.Done():
		r.mu.Lock()
		delete(r.waiters, w)
		r.mu.Unlock()
		r.Handle(home.Abandon{Key: key, Waiter: w})
		return core.OutcomeUnknown{Code: core.CodeHomeUnreachable}
	}
}

func (r *Requests) carryOut(c home.Command) {
	switch c := c.(type) {
	case home.Dispatch:
		r.calls.Go(func() { r.start(c) })
	case home.AskTarget:
		r.calls.Go(func() { r.ask(c) })
	case home.StopTask:
		r.calls.Go(func() { r.stopTask(c) })
	case home.Reply:
	}
}

func (r *Requests) start(d home.Dispatch) {
	asked := r.Now()
	end := home.End(home.NotStarted{Reason: home.Unreachable})
	if address, ok := r.Address(d.VM); ok {
		end = r.Targets.Start(r.ctx, address, d)
	}
	if r.Seen != nil {
		r.Seen(d.VM, asked, end)
	}
	r.Handle(home.Ended{Key: d.Request.Key, Number: d.Number, End: end})
}

func (r *Requests) ask(c home.AskTarget) {
	finding := home.Finding(home.FoundNoAnswer{})
	if address, ok := r.Address(c.VM); ok {
		finding = r.Targets.Ask(r.ctx, address, c.Key)
	}
	r.Handle(home.Asked{Key: c.Key, Finding: finding})
}

func (r *Requests) stopTask(c home.StopTask) {
	if address, ok := r.Address(c.VM); ok {
		r.Targets.Stop(r.ctx, address, c.Key)
	}
}
