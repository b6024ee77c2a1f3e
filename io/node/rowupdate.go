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
	// save is the last of the saves.
	save schedule.Command
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
// saves. A row that can't be encoded is set aside.
func (c *committer) encodeUpdates(saves []schedule.Command) []rowUpdate {
	changes, skipped := limitUsage(latestChanges(saves, &c.tenure.clock))
	if skipped > 0 {
		c.log.Info().Str("event", "usage_unstored").Int("pools", skipped).Send()
	}
	var out []rowUpdate
	for _, change := range slices.Backward(changes) {
		u := rowUpdate{key: change.key, save: change.save}
		if change.value != nil {
			value, err := encodeRow(change.value)
			if err != nil {
				c.setAside(&u, err)
				continue
			}
			u.value = value
		}
		out = append(out, u)
	}
	return out
}

// setAside gives up storing a row's update and reports that to the scheduler, which decides what must
// wait for it and when it is saved again.
func (c *committer) setAside(u *rowUpdate, cause error) {
	c.count("row_set_aside")
	c.log.Error().Err(cause).Str("event", "row_set_aside").Str("table", u.key.Table).Str("key", u.key.Key).
		Int("bytes", len(u.value)).Send()
	if c.refusedRows == nil {
		c.refusedRows = map[platform.RowKey]bool{}
	}
	c.refusedRows[u.key] = true
	c.onRefused(u.save)
}

// groupUpdates divides updates, in their order, into groups that fit into one transaction each. There
// is at least one group, which may be empty. A row that was refused before has a group of its own.
func (c *committer) groupUpdates(updates []rowUpdate) [][]rowUpdate {
	groups := [][]rowUpdate{nil}
	size, closed := 0, false
	for i := range updates {
		n, apart := updates[i].size(), c.refusedRows[updates[i].key]
		last := len(groups) - 1
		if len(groups[last]) > 0 && (closed || apart || size+n > maxBatchBytes) {
			groups = append(groups, nil)
			last, size = last+1, 0
		}
		groups[last] = append(groups[last], updates[i])
		size, closed = size+n, apart
	}
	return groups
}
