package retry

import (
	"fmt"
	"slices"

	"lavenderpond/core"
)

// MaxTargets is how many different targets may refuse or fail a request before
// it is given up.
const MaxTargets = 3

// FailedTargets records the targets that refused or failed one request. Its zero value
// has none. A target that was full, leaving or out of reach says nothing about
// the request and isn't added.
type FailedTargets struct {
	targets        []core.VMID
	mayHaveStarted bool
}

// Add records that vm refused or failed the request after it got as far as p.
func (t *FailedTargets) Add(vm core.VMID, p Progress) {
	if p == Sent {
		t.mayHaveStarted = true
	}
	if !slices.Contains(t.targets, vm) {
		t.targets = append(t.targets, vm)
	}
}

// Targets returns the targets added so far, to be avoided by the next try.
func (t *FailedTargets) Targets() []core.VMID { return t.targets }

// Exhausted reports whether the request has been given up, and its final answer:
// cannot_run if every target said that it did not start the request, else
// target_failed, since not_run would be untrue.
func (t *FailedTargets) Exhausted() (core.Answer, bool) {
	if len(t.targets) < MaxTargets {
		return nil, false
	}
	detail := fmt.Sprintf("%d targets refused or failed it; change the request", len(t.targets))
	if t.mayHaveStarted {
		return core.OutcomeUnknown{Code: core.CodeTargetFailed, Detail: detail}, true
	}
	return core.NotRun{Code: core.CodeCannotRun, Detail: detail}, true
}
