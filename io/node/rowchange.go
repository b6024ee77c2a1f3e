package node

import (
	"slices"

	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

// rowChange is the effect of a save on a row. A nil value removes the row.
type rowChange struct {
	key   platform.RowKey
	value any
}

// rowChangeFor returns the row change of a save.
func rowChangeFor(c schedule.Command) rowChange {
	switch c := c.(type) {
	case schedule.Save:
		return rowChange{progressKey(c.Job), c.Progress}
	case schedule.SaveVM:
		return rowChange{vmKey(c.VM.ID), c.VM}
	case schedule.DropVM:
		return rowChange{vmKey(c.VM), nil}
	case schedule.SaveWave:
		return rowChange{waveKey(c.Wave), waveRow{Done: c.Done}}
	case schedule.SaveOrder:
		return rowChange{machineOrderKey(c.Order.Machine), c.Order}
	case schedule.DropOrder:
		return rowChange{machineOrderKey(c.Machine), nil}
	case schedule.SaveShares:
		return rowChange{shareKey(c.Pool), c.Usage}
	case schedule.SaveRunTimes:
		return rowChange{runTimeKey(c.Queue), c.RunTimes}
	}
	panic("command is not a save")
}

// latestChanges returns the changes of the saves without those that a later save of the
// same row replaces, because a transaction may name a row only once.
func latestChanges(saves []schedule.Command) []rowChange {
	var out []rowChange
	seen := map[platform.RowKey]bool{}
	for _, c := range slices.Backward(saves) {
		change := rowChangeFor(c)
		if !seen[change.key] {
			seen[change.key] = true
			out = append(out, change)
		}
	}
	return out
}
