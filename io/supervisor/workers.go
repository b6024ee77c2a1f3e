package supervisor

import "sync"

// maxIdleWorkers bounds the goroutines that Workers keeps for further work.
const maxIdleWorkers = 512

// Workers is a Group for many short functions: a goroutine that is done takes the
// next function. A new goroutine begins with a small stack, and each dispatch of a
// request grew it anew, copying it each time. Its zero value works.
type Workers struct {
	group Group

	mu     sync.Mutex
	idle   []chan func()
	closed bool
}

// Go runs f on a goroutine of the group. It never waits for one.
func (w *Workers) Go(f func()) {
	if next := w.takeIdle(); next != nil {
		next <- f
		return
	}
	w.group.Go(func() { w.runWorker(f) })
}

// Wait blocks until every function has returned, those included that they started.
// From then on Go works as a Group's.
func (w *Workers) Wait() {
	w.mu.Lock()
	w.closed = true
	idle := w.idle
	w.idle = nil
	w.mu.Unlock()
	for _, next := range idle {
		close(next)
	}
	w.group.Wait()
}

func (w *Workers) runWorker(f func()) {
	next := make(chan func(), 1)
	for f != nil {
		f()
		if !w.putIdle(next) {
			return
		}
		f = <-next
	}
}

// takeIdle returns the way to a goroutine without work, or nil.
func (w *Workers) takeIdle() chan func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.idle)
	if n == 0 {
		return nil
	}
	next := w.idle[n-1]
	w.idle = w.idle[:n-1]
	return next
}

func (w *Workers) putIdle(next chan func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.idle) >= maxIdleWorkers {
		return false
	}
	w.idle = append(w.idle, next)
	return true
}
