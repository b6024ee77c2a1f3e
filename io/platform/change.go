package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/table"
)

// maxAttempts bounds the attempts to apply a change. A change is planned again if other
// changes moved the head row, and sent again if an answer was lost.
const maxAttempts = 10

// ApplyResult describes how a change took effect.
type ApplyResult struct {
	// Version is the configuration version that contains the change.
	Version core.Version `json:"version"`
	// Repeated is true if the change had already taken effect under its change id.
	Repeated bool `json:"before,omitempty"`
}

// Apply applies c to t under the change id. The change takes effect at most once, however
// often Apply is called. Errors are core.Errors: CodeConflict names the change that took
// effect first, CodePlatformDown means that nothing was written, and CodeChangeUnknown
// means that c may have taken effect and should be repeated under the same id.
func Apply(ctx context.Context, t Table, c config.Change, id core.ChangeID, now time.Time) (ApplyResult, error) {
	a := applier{table: t, change: c, id: id, now: now}
	return a.run(ctx)
}

// applier applies one change for Apply.
type applier struct {
	table  Table
	change config.Change
	id     core.ChangeID
	now    time.Time
	// baseVersion is the version of the row to change when it was first read, and
	// baseHeadVersion that of the configuration's head. Both are valid if haveBase is true.
	baseVersion     core.Version
	baseHeadVersion core.Version
	haveBase        bool
	// outcomeUnknown is true once an answer was lost. The change may have taken effect.
	outcomeUnknown bool
	// Test hook: the record of the change id is neither read nor checked.
	ignoreRecord bool
}

func (a *applier) run(ctx context.Context) (ApplyResult, error) {
	var err error
	for range maxAttempts {
		var done bool
		var applied ApplyResult
		applied, done, err = a.try(ctx)
		if done {
			return applied, err
		}
	}
	return ApplyResult{}, a.finalError(err)
}

// try makes one attempt: it reads the rows, checks whether the change already took
// effect, plans the change and writes it. The second result is false if another attempt
// may succeed.
func (a *applier) try(ctx context.Context) (ApplyResult, bool, error) {
	rows, err := a.read(ctx)
	if err != nil {
		return ApplyResult{}, false, err
	}
	// The record of the change id is checked before the change is planned. After a lost
	// answer, only the record shows whether the write took effect, and a second write
	// would undo what another operator changed in between.
	if a.ignoreRecord {
		rows[table.ChangeKey(a.id)] = table.Row{}
	}
	record, applied, err := config.Applied(a.change, a.id, rows)
	if err != nil {
		return ApplyResult{}, true, err
	}
	if applied {
		return ApplyResult{Version: record.Version, Repeated: !a.outcomeUnknown}, true, nil
	}
	if err := a.checkBase(ctx, rows); err != nil {
		return ApplyResult{}, true, err
	}
	plan, err := config.Plan(a.change, a.id, a.now, rows)
	if err != nil {
		return ApplyResult{}, true, err
	}
	if a.ignoreRecord {
		plan.Checks = plan.Checks[1:]
	}
	err = a.table.Transact(ctx, plan)
	switch {
	case err == nil:
		return ApplyResult{Version: headVersion(rows) + 1}, true, nil
	case errors.Is(err, table.ErrConflict), errors.Is(err, table.ErrUnreachable):
	default:
		a.outcomeUnknown = true
	}
	return ApplyResult{}, false, err
}

func (a *applier) read(ctx context.Context) (config.Rows, error) {
	rows := make(config.Rows)
	for _, key := range config.RequiredKeys(a.change, a.id) {
		row, err := a.table.Read(ctx, key)
		if err != nil {
			return nil, err
		}
		rows[key] = row
	}
	return rows, nil
}

// checkBase returns an error if another operator changed the row after this command first
// read it, so that exactly one of two racing changes succeeds. Withdrawals are exempt,
// because they hold in any order.
func (a *applier) checkBase(ctx context.Context, rows config.Rows) error {
	version := rows[a.change.Key()].Version
	if !a.haveBase {
		a.haveBase, a.baseVersion, a.baseHeadVersion = true, version, headVersion(rows)
		return nil
	}
	if _, ok := a.change.(config.WithdrawKey); ok || version == a.baseVersion {
		return nil
	}
	return core.Errorf(core.CodeConflict, "%s was changed first, by %s; read it again and repeat under a new change id",
		a.change.Key(), a.conflictingChange(ctx, headVersion(rows)))
}

// conflictingChange describes the last change of the row after baseHeadVersion.
func (a *applier) conflictingChange(ctx context.Context, head core.Version) string {
	for v := head; v > a.baseHeadVersion; v-- {
		row, err := a.table.Read(ctx, table.AuditKey(v))
		var audit config.AuditRecord
		if err != nil || row.Decode(&audit) != nil || audit.Key != a.change.Key() {
			continue
		}
		return audit.Author + " in change " + string(audit.Change) + ": " + string(audit.After)
	}
	return "another change"
}

// finalError returns the error to report after the last attempt failed with err.
func (a *applier) finalError(err error) error {
	if a.outcomeUnknown {
		return core.Errorf(core.CodeChangeUnknown, "change %s may have taken effect: repeat it under the same change id (%v)", a.id, err)
	}
	if errors.Is(err, table.ErrConflict) {
		return core.Errorf(core.CodeConflict, "other changes took effect first; repeat change %s", a.id)
	}
	return core.Errorf(core.CodePlatformDown, "nothing was changed; repeat change %s when the table is back (%v)", a.id, err)
}

func headVersion(rows config.Rows) core.Version {
	var head config.Head
	if err := rows[table.ConfigHead].Decode(&head); err != nil {
		return 0
	}
	return head.Version
}
