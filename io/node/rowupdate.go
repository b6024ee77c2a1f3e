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
	// writes and removals are those of the row and of its parts, if it is divided.
	writes   []platform.Write
	removals []platform.RowKey
}

// addTo adds the update to a transaction.
func (u *rowUpdate) addTo(tx *platform.Transaction) {
	tx.Writes = append(tx.Writes, u.writes...)
	tx.Removals = append(tx.Removals, u.removals...)
}

// entries returns how many entries of a transaction the update takes.
func (u *rowUpdate) entries() int { return len(u.writes) + len(u.removals) }

// size returns an upper bound of the bytes that the update takes in the body of a transaction.
func (u *rowUpdate) size() int {
	tx := platform.Transaction{Writes: u.writes, Removals: u.removals}
	return tx.Size()
}

// encode returns the update that makes a change. It removes the parts of the row that the change no
// longer needs.
func (c *committer) encode(change rowChange) (rowUpdate, error) {
	u := rowUpdate{key: change.key, save: change.save}
	if change.value == nil {
		u.removals = []platform.RowKey{change.key}
	} else {
		writes, err := c.encodeWrites(change)
		if err != nil {
			return u, err
		}
		u.writes = writes
	}
	for n := u.parts(); n < c.storedParts(change.key); n++ {
		u.removals = append(u.removals, partKey(change.key, n))
	}
	return u, nil
}

// encodeWrites returns the write of a row, and those of its parts if it must be divided.
func (c *committer) encodeWrites(change rowChange) ([]platform.Write, error) {
	value, err := encodeRow(change.value)
	if err != nil {
		return nil, err
	}
	if c.rowBytes > 0 && len(value) > c.rowBytes {
		return divide(change.key, value, stateOf(change.value), c.rowBytes)
	}
	return []platform.Write{{RowKey: change.key, Value: value}}, nil
}

// parts returns the number of parts that the row has after the update.
func (u *rowUpdate) parts() int { return max(0, len(u.writes)-1) }

// encodeUpdates returns the updates of the saves, one for each row, in the order of the rows' last
// saves. A row that can't be encoded is set aside.
func (c *committer) encodeUpdates(saves []schedule.Command) []rowUpdate {
	changes, skipped := limitUsage(latestChanges(saves, &c.tenure.clock))
	if skipped > 0 {
		c.log.Info().Str("event", "usage_unstored").Int("pools", skipped).Send()
	}
	var out []rowUpdate
	for _, change := range slices.Backward(changes) {
		u, err := c.encode(change)
		if err != nil {
			c.setAside(&u, err)
			continue
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
		Int("bytes", u.size()).Send()
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
	size, entries, closed := 0, 0, false
	for i := range updates {
		u := &updates[i]
		apart := c.refusedRows[u.key]
		full := size+u.size() > maxBatchBytes || entries+u.entries() > maxBatchRows
		last := len(groups) - 1
		if len(groups[last]) > 0 && (closed || apart || full) {
			groups = append(groups, nil)
			last, size, entries = last+1, 0, 0
		}
		groups[last] = append(groups[last], *u)
		size, entries, closed = size+u.size(), entries+u.entries(), apart
	}
	return groups
}

// recordGroup records that a group of updates is stored.
func (c *committer) recordGroup(group []rowUpdate) {
	for i := range group {
		u := &group[i]
		delete(c.refusedRows, u.key)
		c.setParts(u.key, u.parts())
	}
}

// storedParts returns how many parts of a row may be stored.
func (c *committer) storedParts(k platform.RowKey) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parts[k]
}

// setParts records how many parts of a row are stored.
func (c *committer) setParts(k platform.RowKey, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 {
		delete(c.parts, k)
		return
	}
	if c.parts == nil {
		c.parts = map[platform.RowKey]int{}
	}
	c.parts[k] = n
}
