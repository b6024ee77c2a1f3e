package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/table"
)

// maxAttempts bounds how often a change is planned again after other changes moved
// the head row, or sent again after a lost answer.
const maxAttempts = 10

// ApplyResult says how a change took effect.
type ApplyResult struct {
	// Version is the configuration version that holds the change.
	Version core.Version `json:"version"`
	// Before is true if the change id had taken effect earlier.
	Before bool `json:"before,omitempty"`
}

// Apply carries out c in t under the change id, at most once however often it is
// called. Its errors are core.Errors: CodeConflict names the change that won,
// CodePlatformDown says that nothing was written, and CodeChangeUnknown that c may
// have taken effect and should be repeated under the same id.
func Apply(ctx context.Context, t Table, c config.Change, id core.ChangeID, now time.Time) (ApplyResult, error) {
	a := applier{table: t, change: c, id: id, now: now}
	return a.run(ctx)
}

type applier struct {
	table  Table
	change config.Change
	id     core.ChangeID
	now    time.Time
	// baseVersion is the row's version when the command first read it.
	baseVersion     core.Version
	baseHeadVersion core.Version
	haveBase        bool
	// outcomeUnknown is true once an answer was lost: the change may have taken effect.
	outcomeUnknown bool
	// ignoreRecord is switched on in tests only: the record of the change id
	// is neither read nor checked.
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

// try makes one round: read, settle, plan, write. It returns done false if the
// round is worth repeating.
func (a *applier) try(ctx context.Context) (ApplyResult, bool, error) {
	rows, err := a.read(ctx)
	if err != nil {
		return ApplyResult{}, false, err
	}
	// The record of the change id is read before anything is planned: after a lost
	// answer it alone tells whether the write took effect, and a second write would
	// undo what another operator did in between.
	if a.ignoreRecord {
		rows[table.ChangeKey(a.id)] = table.Row{}
	}
	record, applied, err := config.Applied(a.change, a.id, rows)
	if err != nil {
		return ApplyResult{}, true, err
	}
	if applied {
		return ApplyResult{Version: record.Version, Before: !a.outcomeUnknown}, true, nil
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

// checkBase refuses the change if another operator changed the row after this
// command first read it: exactly one of two racing changes wins. Withdrawals are
// exempt, since they hold in any order.
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

// conflictingChange names the change that changed the row since baseHead.
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

func (a *applier) finalError(err error) error {
	if a.outcomeUnknown {
		return core.Errorf(core.CodeChangeUnknown, "change %s may have taken effect: repeat it under the same change id (%v)", a.id, err)
	}
	if errors.Is(err, table.ErrConflict) {
		return core.Errorf(core.CodeConflict, "other changes kept coming first; repeat change %s", a.id)
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
