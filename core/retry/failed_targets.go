package retry

import (
	"fmt"
	"slices"

	"lavenderpond/core"
)

// MaxTargets is the number of different targets that may refuse or fail a request
// before it is abandoned.
const MaxTargets = 3

// FailedTargets records the targets that refused or failed one request. The zero value
// is empty. A target that was full, leaving or unreachable isn't added, because that
// doesn't depend on the request.
type FailedTargets struct {
	targets        []core.VMID
	mayHaveStarted bool
}

// Add records that vm refused or failed the request after the dispatch got as far as p.
func (t *FailedTargets) Add(vm core.VMID, p Progress) {
	if p == Sent {
		t.mayHaveStarted = true
	}
	if !slices.Contains(t.targets, vm) {
		t.targets = append(t.targets, vm)
	}
}

// Targets returns the recorded targets, which the next attempt should avoid.
func (t *FailedTargets) Targets() []core.VMID { return t.targets }

// Exhausted reports whether the request is abandoned, and returns its final answer:
// cannot_run if every target reported that it didn't start the request, and
// target_failed otherwise, because not_run would be incorrect then.
func (t *FailedTargets) Exhausted() (core.Answer, bool) {
	if len(t.targets) < MaxTargets {
		return nil, false
	}
	detail := fmt.Sprintf("%d targets refused or failed the request; change it before it is sent again", len(t.targets))
	if t.mayHaveStarted {
		return core.OutcomeUnknown{Code: core.CodeTargetFailed, Detail: detail}, true
	}
	return core.NotRun{Code: core.CodeCannotRun, Detail: detail}, true
}
