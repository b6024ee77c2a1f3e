package node

import (
	"slices"

	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

// rowChange is what a save does to a row; without a value it removes it.
type rowChange struct {
	key   platform.RowKey
	value any
}

// rowChangeFor returns the row of a save.
func rowChangeFor(c schedule.Command) rowChange {
	switch c := c.(type) {
	case schedule.Save:
		return rowChange{progressKey(c.Job), c.Progress}
	case schedule.SaveVM:
		return rowChange{vmKey(c.VM.ID), c.VM}
	case schedule.DropVM:
		return rowChange{vmKey(c.VM), nil}
	case schedule.SaveWave:
		return rowChange{waveKey(c.Number), waveRow{Done: c.Done}}
	case schedule.SaveOrder:
		return rowChange{machineOrderKey(c.Order.Machine), c.Order}
	case schedule.DropOrder:
		return rowChange{machineOrderKey(c.Machine), nil}
	}
	panic("not a save")
}

// latestChanges drops saves that a later one of the same row replaces: a transaction
// may name a row once only.
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
