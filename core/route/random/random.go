// Package random provides a simple router that selects a random target of the pool with
// a free slot by its own counts. It ignores results and serves as a baseline for
// measurements.
package random

import (
	"math/rand/v2"
	"slices"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/route"
)

// Router is a route.Router that selects targets at random. Rand must be set.
type Router struct {
	Rand    *rand.Rand
	targets []route.Target
	running map[core.VMID]core.Slots
}

var _ route.Router = (*Router)(nil)

// Update implements route.Router.
func (r *Router) Update(_ time.Time, targets []route.Target, _ []route.Pool) {
	r.targets = slices.Clone(targets)
}

// Pick implements route.Router.
func (r *Router) Pick(_ time.Time, criteria route.Criteria) (core.VMID, bool) {
	var free []core.VMID
	for _, t := range r.targets {
		if r.fits(t, criteria) {
			free = append(free, t.VM)
		}
	}
	if len(free) == 0 {
		return "", false
	}
	return free[r.Rand.IntN(len(free))], true
}

// Started implements route.Router.
func (r *Router) Started(_ time.Time, vm core.VMID) {
	if r.running == nil {
		r.running = make(map[core.VMID]core.Slots)
	}
	r.running[vm]++
}

// Ended implements route.Router.
func (r *Router) Ended(_ time.Time, vm core.VMID, _ route.Result, _ time.Duration) {
	r.running[vm]--
	if r.running[vm] <= 0 {
		delete(r.running, vm)
	}
}

// Idle implements route.Router.
func (r *Router) Idle(_ time.Time, criteria route.Criteria) core.Slots {
	var idle core.Slots
	for _, t := range r.targets {
		if r.fits(t, criteria) {
			idle += t.Slots - r.running[t.VM]
		}
	}
	return idle
}

func (r *Router) fits(t route.Target, criteria route.Criteria) bool {
	return t.Pool == criteria.Pool && r.running[t.VM] < t.Slots && !slices.Contains(criteria.Tried, t.VM)
}
