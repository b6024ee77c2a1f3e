package table

import (
	"sort"
	"strings"

	"lavenderpond/core"
)

// Memory is an in-memory table for the platform emulator and for tests. Its zero
// value is an empty table. It is not safe for concurrent use.
type Memory struct {
	rows     map[Key]memoryRow
	revision Revision
}

type memoryRow struct {
	Row
	changedAt Revision
}

// Revision returns the number of transactions that took effect.
func (m *Memory) Revision() Revision { return m.revision }

// Read returns the row of key; its Version is 0 if the row doesn't exist.
func (m *Memory) Read(key Key) Row {
	r, ok := m.rows[key]
	if !ok || r.Value == nil {
		// The tombstone continues the version count, so that a row that was deleted
		// and written again never matches a check from before the deletion.
		return Row{Key: key}
	}
	return r.Row
}

// Scan returns the rows whose keys start with prefix, sorted by key.
func (m *Memory) Scan(prefix string) []Row {
	return m.collect(prefix, func(r memoryRow) bool { return r.Value != nil })
}

// Changes returns the rows under prefix that changed after since, sorted by key.
// Deleted rows have Version 0.
func (m *Memory) Changes(prefix string, since Revision) []Row {
	rows := m.collect(prefix, func(r memoryRow) bool { return r.changedAt > since })
	for i := range rows {
		if rows[i].Value == nil {
			rows[i].Version = 0
		}
	}
	return rows
}

// Transact applies t, or returns ErrConflict and changes nothing.
func (m *Memory) Transact(t Transaction) error {
	for _, c := range t.Checks {
		if m.Read(c.Key).Version != c.Version {
			return ErrConflict
		}
	}
	if m.rows == nil {
		m.rows = make(map[Key]memoryRow)
	}
	m.revision++
	for _, w := range t.Writes {
		r := m.rows[w.Key]
		r.Key = w.Key
		r.Version++
		r.Value = w.Value
		if w.Delete {
			r.Value = nil
		}
		r.changedAt = m.revision
		m.rows[w.Key] = r
	}
	return nil
}

func (m *Memory) collect(prefix string, keep func(memoryRow) bool) []Row {
	var rows []Row
	for key, r := range m.rows {
		if strings.HasPrefix(string(key), prefix) && keep(r) {
			rows = append(rows, r.Row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// MustRow returns a row for tests and fakes. It panics if value can't be encoded
// as JSON.
func MustRow(key Key, version core.Version, value any) Row {
	var t Transaction
	if err := t.Set(key, value); err != nil {
		panic(err)
	}
	return Row{Key: key, Version: version, Value: t.Writes[0].Value}
}
