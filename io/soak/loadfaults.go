package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform/standin"
)

const (
	// meanLoadFaultInterval is the mean time between the starts of two load faults.
	meanLoadFaultInterval = 3 * time.Second
	// hotJobs is how many jobs a caller of a hot account submits at a time.
	hotJobs = 4
	// maxUnfinished bounds the unfinished jobs of a caller of a hot account, so that all jobs can
	// finish within maxSettleTime.
	maxUnfinished = 25
	// massRestartDelay is the time from the start of a burst to the kill of all daemons.
	massRestartDelay = 500 * time.Millisecond
)

// loadFaults are the kinds of load that exceeds the capacity. Their order must not change, as
// seeds select by index.
var loadFaults = []fault{
	{name: "hot_account", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		a := standin.Accounts[rng.IntN(len(standin.Accounts))].Name
		f.addHot(a, 1)
		return string(a), func() { f.addHot(a, -1) }
	}},
	{name: "burst", inject: func(f *fleet, _ *rand.Rand) (string, func()) {
		f.addHotAll(1)
		return "", func() { f.addHotAll(-1) }
	}},
	{name: "mass_restart", extraDuration: time.Second, inject: func(f *fleet, _ *rand.Rand) (string, func()) {
		f.addHotAll(1)
		var g supervisor.Group
		g.Go(func() {
			time.Sleep(massRestartDelay)
			for _, e := range f.entries {
				e.signal(syscall.SIGKILL)
			}
		})
		return "", func() {
			g.Wait()
			for _, e := range f.entries {
				f.restartDaemon(e)
			}
			f.addHotAll(-1)
		}
	}},
}

// addHot changes how many load faults make an account hot.
func (f *fleet) addHot(a job.AccountName, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hot == nil {
		f.hot = map[job.AccountName]int{}
	}
	f.hot[a] += n
}

func (f *fleet) addHotAll(n int) {
	for _, a := range standin.Accounts {
		f.addHot(a.Name, n)
	}
}

// isHot reports whether the callers of an account submit as many jobs as they can.
func (f *fleet) isHot(a job.AccountName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hot[a] > 0
}
