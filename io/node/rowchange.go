package node

import (
	"slices"

	"lavenderpond/core/fairshare"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

// rowChange is the effect of a save on a row. A nil value removes the row.
type rowChange struct {
	key   platform.RowKey
	value any
	save  schedule.Command
}

// rowChangeFor returns the row change of a save. Times are stored as times of the table's clock.
func rowChangeFor(c schedule.Command, clock *tableClock) rowChange {
	switch c := c.(type) {
	case schedule.Save:
		return rowChange{progressKey(c.Job), newProgressRow(c.Progress, clock), c}
	case schedule.SaveVM:
		return rowChange{vmKey(c.VM.ID), newVMRow(c.VM, clock), c}
	case schedule.DropVM:
		return rowChange{vmKey(c.VM), nil, c}
	case schedule.SaveWave:
		return rowChange{waveKey(c.Wave), c.Progress, c}
	case schedule.SaveOrder:
		return rowChange{machineOrderKey(c.Order.Machine), newOrderRow(c.Order, clock), c}
	case schedule.DropOrder:
		return rowChange{machineOrderKey(c.Machine), nil, c}
	case schedule.SaveShares:
		return rowChange{shareKey(c.Pool), c.Usage, c}
	case schedule.SaveRunTimes:
		return rowChange{runTimeKey(c.Queue), c.RunTimes, c}
	}
	panic("command is not a save")
}

// latestChanges returns the changes of the saves without those that a later save of the
// same row replaces, because a transaction may name a row only once.
func latestChanges(saves []schedule.Command, clock *tableClock) []rowChange {
	var out []rowChange
	seen := map[platform.RowKey]bool{}
	for _, c := range slices.Backward(saves) {
		change := rowChangeFor(c, clock)
		if !seen[change.key] {
			seen[change.key] = true
			out = append(out, change)
		}
	}
	return out
}

// maxStoredUsage is how many accounts' usage one transaction stores, over all pools. At 200 bytes
// each, long names included, that is a third of what the table accepts.
const maxStoredUsage = platform.MaxTransactionBytes / 3 / 200

// limitUsage returns the changes without the usage of pools for which the transaction has no room,
// and how many pools these are. The first ones are kept, which are the latest, and at least one. When
// the table is slow, usage of many pools would otherwise exceed the limit of a transaction, or keep
// jobs' saves waiting. A pool whose usage is skipped is stored again when it has changed.
func limitUsage(changes []rowChange) (kept []rowChange, skipped int) {
	stored := 0
	for _, c := range changes {
		if u, ok := c.value.(fairshare.StoredUsage); ok {
			if stored > 0 && stored+len(u.Accounts) > maxStoredUsage {
				skipped++
				continue
			}
			stored += len(u.Accounts)
		}
		kept = append(kept, c)
	}
	return kept, skipped
}
