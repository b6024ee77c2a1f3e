package node

import (
	"slices"

	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

// maxBatchBytes bounds what one transaction stores of saves. The rest of the table's limit is for
// the renewal and the forecast, which are one row each, and for the conditions.
const maxBatchBytes = platform.MaxTransactionBytes - 200_000

// rowUpdate is the effect of saves on one row as a transaction contains it.
type rowUpdate struct {
	key platform.RowKey
	// value is what is written; nil removes the row.
	value []byte
}

// addTo adds the update to a transaction.
func (u *rowUpdate) addTo(tx *platform.Transaction) {
	if u.value == nil {
		tx.Removals = append(tx.Removals, u.key)
		return
	}
	tx.Writes = append(tx.Writes, platform.Write{RowKey: u.key, Value: u.value})
}

// size returns an upper bound of the bytes that the update takes in the body of a transaction.
func (u *rowUpdate) size() int {
	w := platform.Write{RowKey: u.key, Value: u.value}
	return w.Size()
}

// encodeUpdates returns the updates of the saves, one for each row, in the order of the rows' last
// saves.
func (c *committer) encodeUpdates(saves []schedule.Command) ([]rowUpdate, error) {
	changes, skipped := limitUsage(latestChanges(saves, &c.tenure.clock))
	if skipped > 0 {
		c.log.Info().Str("event", "usage_unstored").Int("pools", skipped).Send()
	}
	var out []rowUpdate
	for _, change := range slices.Backward(changes) {
		u := rowUpdate{key: change.key}
		if change.value != nil {
			value, err := encodeRow(change.value)
			if err != nil {
				return nil, err
			}
			u.value = value
		}
		out = append(out, u)
	}
	return out, nil
}

// groupUpdates divides updates, in their order, into groups that fit into one transaction each. There
// is at least one group, which may be empty.
func groupUpdates(updates []rowUpdate) [][]rowUpdate {
	groups := [][]rowUpdate{nil}
	size := 0
	for i := range updates {
		n := updates[i].size()
		last := len(groups) - 1
		if len(groups[last]) > 0 && size+n > maxBatchBytes {
			groups = append(groups, nil)
			last, size = last+1, 0
		}
		groups[last] = append(groups[last], updates[i])
		size += n
	}
	return groups
}
