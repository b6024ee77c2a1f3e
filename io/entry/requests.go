// Package entry assembles the daemon lavenderpondd, which runs on entry VMs. It drives
// the state machines of core, connects them to peers, the platform and target VMs, and
// runs everything in a supervision tree.
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

// drainPollInterval is the time between two checks of whether a graceful stop has to
// wait any longer.
const drainPollInterval = 10 * time.Millisecond

// Requests drives a home.Home: it passes events to it one at a time and executes the
// resulting commands. It is safe for concurrent use.
type Requests struct {
	// Now is the clock.
	Now func() time.Time
	// Targets is the client for target VMs.
	Targets *target.Client
	// Address returns the address of a target VM, or false if it is unknown.
	Address func(vm core.VMID) (string, bool)
	// OnDispatchEnded, if set, is called with the result of each dispatch and the time
	// at which it was sent. The result is evidence of the VM's state.
	OnDispatchEnded func(vm core.VMID, sentAt time.Time, end home.End)

	// mu guards home, waiters and lastWaiter.
	mu         sync.Mutex
	home       *home.Home
	waiters    map[home.Waiter]chan core.Answer
	lastWaiter home.Waiter
	// calls are the goroutines that call targets, and those started with Go.
	calls supervisor.Workers
	// ctx ends when Close is called.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewRequests returns a driver for h. Now, Targets and Address must be set before use.
func NewRequests(h *home.Home) *Requests {
	ctx, cancel := context.WithCancel(context.Background())
	return &Requests{
		home: h, ctx: ctx, cancel: cancel, waiters: make(map[home.Waiter]chan core.Answer),
	}
}

// Submit submits an attempt of a request and waits for the answer. With noWait, the
// answer to an accepted request is Pending.
func (r *Requests) Submit(ctx context.Context, req core.Request, noWait bool) core.Answer {
	return r.awaitReply(ctx, req.Key, func(w home.Waiter) home.Event {
		return home.Submit{Request: req, Waiter: w, NoWait: noWait}
	})
}

// Fetch returns the answer of a request that was submitted earlier, or Pending.
func (r *Requests) Fetch(ctx context.Context, key core.RequestKey) core.Answer {
	return r.awaitReply(ctx, key, func(w home.Waiter) home.Event { return home.Fetch{Key: key, Waiter: w} })
}

// Cancel cancels a request and returns its outcome.
func (r *Requests) Cancel(ctx context.Context, key core.RequestKey) core.Answer {
	return r.awaitReply(ctx, key, func(w home.Waiter) home.Event { return home.Cancel{Key: key, Waiter: w} })
}

// Handle passes an event to the Home and executes the resulting commands. Calls to
// targets run in the background.
func (r *Requests) Handle(e home.Event) {
	r.mu.Lock()
	commands := r.home.Handle(r.Now(), e)
	replies := r.takeReplies(commands)
	r.mu.Unlock()
	for _, reply := range replies {
		reply.waiter <- reply.answer
	}
	for _, c := range commands {
		r.execute(c)
	}
}

// WithLock calls f with the Home while no event is being handled.
func (r *Requests) WithLock(f func(h *home.Home)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.home)
}

// Settle waits until no request has a start that may be mirrored but has not reached a
// target, or until ctx ends.
func (r *Requests) Settle(ctx context.Context) {
	r.waitForZero(ctx, func(h *home.Home) int { return h.Unsettled(r.Now()) })
}

// Drain waits until every request has its final answer, or until ctx ends. It returns
// the number of requests that are unfinished.
func (r *Requests) Drain(ctx context.Context) int { return r.waitForZero(ctx, (*home.Home).Unfinished) }

// waitForZero polls count until it returns 0 or ctx ends. It returns the last count.
func (r *Requests) waitForZero(ctx context.Context, count func(*home.Home) int) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	left := 0
	_ = supervisor.Every(ctx, drainPollInterval, func(context.Context) {
		r.WithLock(func(h *home.Home) { left = count(h) })
		if left == 0 {
			cancel()
		}
	})
	return left
}

// Go runs f in the background. Its context ends when Close is called, and Close waits
// for f to return.
func (r *Requests) Go(f func(ctx context.Context)) {
	r.calls.Go(func() { f(r.ctx) })
}

// Close cancels all calls to targets and the contexts of functions started with Go, and
// waits for all of them to return.
func (r *Requests) Close() {
	r.cancel()
	r.calls.Wait()
}

// pendingReply is an answer that has to be sent to a waiting caller.
type pendingReply struct {
	waiter chan core.Answer
	answer core.Answer
}

// takeReplies removes the waiters that commands reply to and returns their replies. The
// caller holds mu.
func (r *Requests) takeReplies(commands []home.Command) []pendingReply {
	var replies []pendingReply
	for _, c := range commands {
		reply, ok := c.(home.Reply)
		if !ok {
			continue
		}
		if to := r.waiters[reply.Waiter]; to != nil {
			delete(r.waiters, reply.Waiter)
			replies = append(replies, pendingReply{waiter: to, answer: reply.Answer})
		}
	}
	return replies
}

// awaitReply handles the event that event creates for a new waiter, and waits for the
// reply. If ctx ends first, the caller no longer waits; its request continues.
func (r *Requests) awaitReply(ctx context.Context, key core.RequestKey, event func(home.Waiter) home.Event) core.Answer {
	reply := make(chan core.Answer, 1)
	r.mu.Lock()
	r.lastWaiter++
	w := r.lastWaiter
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

// execute starts a command's call to a target in the background. Replies are sent by
// Handle.
func (r *Requests) execute(c home.Command) {
	switch c := c.(type) {
	case home.Dispatch:
		r.calls.Go(func() { r.startTask(c) })
	case home.AskTarget:
		r.calls.Go(func() { r.askTarget(c) })
	case home.StopTask:
		r.calls.Go(func() { r.stopTask(c) })
	case home.Reply:
	}
}

// startTask sends a dispatch to its target and passes the result on.
func (r *Requests) startTask(d home.Dispatch) {
	sentAt := r.Now()
	end := home.End(home.NotStarted{Reason: home.Unreachable})
	if address, ok := r.Address(d.VM); ok {
		end = r.Targets.Start(r.ctx, address, d)
	}
	if r.OnDispatchEnded != nil {
		r.OnDispatchEnded(d.VM, sentAt, end)
	}
	r.Handle(home.Ended{Key: d.Request.Key, DispatchNumber: d.DispatchNumber, End: end})
}

// askTarget asks a target about the outcome of a task.
func (r *Requests) askTarget(c home.AskTarget) {
	finding := home.Finding(home.FoundNoAnswer{})
	if address, ok := r.Address(c.VM); ok {
		finding = r.Targets.Ask(r.ctx, address, c.Key)
	}
	r.Handle(home.Asked{Key: c.Key, Finding: finding})
}

// stopTask tells a target to stop a task.
func (r *Requests) stopTask(c home.StopTask) {
	if address, ok := r.Address(c.VM); ok {
		r.Targets.Stop(r.ctx, address, c.Key)
	}
}
