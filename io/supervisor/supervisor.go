// Package supervisor runs the daemon's goroutines as a tree: every node starts
// its children through a group and restarts a child that fails or panics.
package supervisor

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Restart delays grow linearly per failure in a row, up to a cap.
const (
	restartDelayStep = 250 * time.Millisecond
	maxRestartDelay  = 5 * time.Second
)

// Group starts goroutines and waits for them. Its zero value works. It is the
// only place in lavenderpond that uses the go statement.
type Group struct {
	wg sync.WaitGroup
}

// Go runs f on a goroutine of the group.
func (g *Group) Go(f func()) { g.wg.Go(f) }

// Wait blocks until every goroutine of the group has returned.
func (g *Group) Wait() { g.wg.Wait() }

// Child is a part of the daemon that runs until ctx ends.
type Child struct {
	Name string
	// Run returns nil when its work is over, or an error to be restarted.
	Run func(ctx context.Context) error
}

// Node supervises children. Its zero value works, without logging.
type Node struct {
	Name     string
	Log      zerolog.Logger
	Children []Child
}

// Run starts all children and returns when each has ended. It is itself a
// Child's Run, so that nodes form a tree.
func (n *Node) Run(ctx context.Context) error {
	var g Group
	for _, c := range n.Children {
		g.Go(func() { n.supervise(ctx, c) })
	}
	g.Wait()
	return nil
}

// AsChild returns the node as a child of another.
func (n *Node) AsChild() Child { return Child{Name: n.Name, Run: n.Run} }

func (n *Node) supervise(ctx context.Context, c Child) {
	for failures := 1; ; failures++ {
		err := runRecovering(ctx, c)
		if err == nil || ctx.Err() != nil {
			return
		}
		n.Log.Error().Str("node", n.Name).Str("child", c.Name).Err(err).Int("failures", failures).Msg("child restarts")
		if !Sleep(ctx, restartDelay(failures)) {
			return
		}
	}
}

func restartDelay(failures int) time.Duration {
	return min(time.Duration(failures)*restartDelayStep, maxRestartDelay)
}

// runRecovering turns a panic of c into an error: one faulty child must not take
// down the requests that the daemon's other children serve.
func runRecovering(ctx context.Context, c Child) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	return c.Run(ctx)
}

// Sleep waits for d; it returns false at once when ctx ends.
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

// Every calls f now and then every d until ctx ends.
func Every(ctx context.Context, d time.Duration, f func(ctx context.Context)) error {
	for {
		f(ctx)
		if !Sleep(ctx, d) {
			return nil
		}
	}
}
