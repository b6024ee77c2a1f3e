package supervisor

import "sync"

// maxIdleWorkers is the maximum number of idle goroutines that Workers keeps for reuse.
const maxIdleWorkers = 512

// Workers is a Group for many short functions. It reuses goroutines, because a new
// goroutine starts with a small stack, and every dispatch of a request would have to
// grow and copy it again. Its zero value is ready to use.
type Workers struct {
	// OnPanic is called with the panic of a function, if it is set. Otherwise the process ends.
	OnPanic func(err error)

	group Group

	mu sync.Mutex
	// idle are the channels on which idle goroutines receive their next function.
	idle []chan func()
	// closed is set by Wait.
	closed bool
}

// Go runs f in an idle goroutine, or in a new one if none is idle. It never blocks.
func (w *Workers) Go(f func()) {
	if next := w.takeIdle(); next != nil {
		next <- f
		return
	}
	w.group.Go(func() { w.runWorker(f) })
}

// Wait blocks until every function has returned, including functions that were
// started by other functions in the meantime. From the call of Wait on, Workers keeps
// no idle goroutines, and Go starts a new goroutine for each function.
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

// runWorker runs f and then the functions that Go assigns to this goroutine.
func (w *Workers) runWorker(f func()) {
	next := make(chan func(), 1)
	for f != nil {
		w.call(f)
		if !w.putIdle(next) {
			return
		}
		f = <-next
	}
}

// call calls f.
func (w *Workers) call(f func()) {
	if w.OnPanic == nil {
		f()
		return
	}
	err := Recover(func() error { f(); return nil })
	if err != nil {
		w.OnPanic(err)
	}
}

// takeIdle removes an idle goroutine from the list and returns the channel on which
// it receives its next function. It returns nil if no goroutine is idle.
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

// putIdle adds a goroutine to the idle list. It returns false if the goroutine has to
// exit instead.
func (w *Workers) putIdle(next chan func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.idle) >= maxIdleWorkers {
		return false
	}
	w.idle = append(w.idle, next)
	return true
}
