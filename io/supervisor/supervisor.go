// Package supervisor runs the daemon's goroutines as a supervision tree. Each node
// starts its children in a Group and restarts a child that fails or panics.
package supervisor

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// The delay before a restart grows linearly with the number of failures of a child,
// up to maxRestartDelay.
const (
	restartDelayStep = 250 * time.Millisecond
	maxRestartDelay  = 5 * time.Second
)

// Group starts goroutines and waits for them. Its zero value is ready to use. It is
// the only type in lavenderpond that starts goroutines.
type Group struct {
	wg sync.WaitGroup
}

// Go runs f in a new goroutine of the group.
func (g *Group) Go(f func()) { g.wg.Go(f) }

// Wait blocks until every goroutine of the group has returned.
func (g *Group) Wait() { g.wg.Wait() }

// Child is a supervised part of the daemon that runs until its context ends.
type Child struct {
	Name string
	// Run returns nil when its work is finished. If it returns an error or panics,
	// it is called again after a delay.
	Run func(ctx context.Context) error
}

// Node supervises its children. If Log is not set, it does not log.
type Node struct {
	Name     string
	Log      zerolog.Logger
	Children []Child
}

// Run starts all children and returns when every one has finished. It has the
// signature of Child.Run, so nodes can be nested; see AsChild.
func (n *Node) Run(ctx context.Context) error {
	var g Group
	for _, c := range n.Children {
		g.Go(func() { n.supervise(ctx, c) })
	}
	g.Wait()
	return nil
}

// AsChild returns the node as a child for another node.
func (n *Node) AsChild() Child { return Child{Name: n.Name, Run: n.Run} }

// supervise runs c until it finishes without an error or ctx ends.
func (n *Node) supervise(ctx context.Context, c Child) {
	for failures := 1; ; failures++ {
		err := Recover(func() error { return c.Run(ctx) })
		if err == nil || ctx.Err() != nil {
			return
		}
		n.Log.Error().Str("node", n.Name).Str("child", c.Name).Err(err).Int("failures", failures).Msg("child failed; restarting")
		if !Sleep(ctx, restartDelay(failures)) {
			return
		}
	}
}

func restartDelay(failures int) time.Duration {
	return min(time.Duration(failures)*restartDelayStep, maxRestartDelay)
}

// Recover runs f and returns a panic as an error. A fault in one part of the process must not
// end it, and with it the requests that the other parts serve.
func Recover(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	return f()
}

// Sleep waits for d and returns true. If ctx ends first, it returns false immediately.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Every calls f immediately and then again after each pause of d, until ctx ends. It
// always returns nil, so it can end a Child's Run.
func Every(ctx context.Context, d time.Duration, f func(ctx context.Context)) error {
	for {
		f(ctx)
		if !Sleep(ctx, d) {
			return nil
		}
	}
}
