package supervisor

import (
	"runtime"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// awaitIdle returns the goroutines without work once there are n of them.
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

// TestWorkersTakeTheNextFunction: functions come one after the other. One goroutine
// runs them all, and ends with Wait.
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

// TestWorkersNeverWait: many functions that wait for one another come at once, more
// than goroutines are kept. Each has its own, as in a Group, and few stay.
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

// TestWorkersWaitForAll: a function starts another one while Wait waits already, as a
// dispatch starts a question about its lost answer. Wait returns after both.
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
