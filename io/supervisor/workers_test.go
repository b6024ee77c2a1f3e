package supervisor

import (
	"runtime"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// awaitIdle waits until exactly n goroutines are idle and returns their channels.
func awaitIdle(w *Workers, n int) []chan func() {
	for {
		w.mu.Lock()
		idle := append([]chan func(){}, w.idle...)
		w.mu.Unlock()
		if len(idle) == n {
			return idle
		}
		runtime.Gosched()
	}
}

// TestWorkersReuseGoroutines starts functions one after the other. A single goroutine
// runs all of them and exits when Wait is called.
func TestWorkersReuseGoroutines(t *testing.T) {
	var w Workers
	ran := 0
	w.Go(func() { ran++ })
	first := awaitIdle(&w, 1)
	for range 10 {
		w.Go(func() { ran++ })
		assert.Equal(t, awaitIdle(&w, 1)[0], first[0])
	}
	w.Wait()
	assert.Equal(t, ran, 11)
	assert.Equal(t, len(w.idle), 0)
}

// TestWorkersNeverQueue runs more functions at the same time than goroutines are kept
// idle, and each waits for all others. Every function gets its own goroutine, as in
// a Group, so that they don't deadlock. Only maxIdleWorkers goroutines stay idle.
func TestWorkersNeverQueue(t *testing.T) {
	const n = 4 * maxIdleWorkers
	var w Workers
	all := make(chan struct{})
	var arrived atomic.Int64
	for range n {
		w.Go(func() {
			if arrived.Add(1) == n {
				close(all)
			}
			<-all
		})
	}
	<-all
	awaitIdle(&w, maxIdleWorkers)
	w.Wait()
}

// TestWorkersWaitForAll starts a function from another one while Wait is already
// blocked, as a dispatch whose answer was lost starts a query of the target. Wait
// returns only after both have finished.
func TestWorkersWaitForAll(t *testing.T) {
	var w Workers
	var ran atomic.Bool
	w.Go(func() {
		for !isClosed(&w) {
			runtime.Gosched()
		}
		w.Go(func() { ran.Store(true) })
	})
	w.Wait()
	assert.Assert(t, ran.Load())
}

func isClosed(w *Workers) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}
