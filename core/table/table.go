// Package table models the rows, versions and transactions of the platform's
// transactional table. It contains no client.
//
// Rows are JSON objects with names in snake case. A transaction checks the
// versions of rows and writes rows, all or nothing.
package table

import (
	"encoding/json"

	"github.com/pkg/errors"

	"lavenderpond/core"
)

// Key is the key of a row. Its parts are separated by "/".
type Key string

// Revision counts the transactions of the whole table.
type Revision uint64

// Row is a row as read. A row with Version 0 doesn't exist.
type Row struct {
	Key     Key             `json:"key"`
	Version core.Version    `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Check requires the row of Key to have Version when the transaction takes effect.
type Check struct {
	Key     Key          `json:"key"`
	Version core.Version `json:"version"`
}

// Write sets a row's value or deletes the row.
type Write struct {
	Key    Key             `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// Transaction takes effect as a whole if all its checks succeed, otherwise not at
// all.
type Transaction struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// Errors that clients of the table return for transactions and reads.
var (
	// ErrConflict means that a check failed and nothing was written.
	ErrConflict = errors.New("table: a row changed since it was read")
	// ErrOutcomeUnknown means that the answer was lost; the writes may have taken
	// effect.
	ErrOutcomeUnknown = errors.New("table: answer lost, the outcome is unknown")
	// ErrUnreachable means that the table was not reached and nothing was written.
	ErrUnreachable = errors.New("table: not reachable")
)

// Check adds a check that r is unchanged.
func (t *Transaction) Check(r Row) {
	t.Checks = append(t.Checks, Check{Key: r.Key, Version: r.Version})
}

// Set adds a write of value, encoded as JSON, to key.
func (t *Transaction) Set(key Key, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode row %s", key)
	}
	t.Writes = append(t.Writes, Write{Key: key, Value: data})
	return nil
}

// Delete adds a deletion of key.
func (t *Transaction) Delete(key Key) {
	t.Writes = append(t.Writes, Write{Key: key, Delete: true})
}

// Decode decodes r's value into v. If the row doesn't exist, v is left unchanged.
func (r Row) Decode(v any) error {
	if r.Version == 0 {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(r.Value, v), "decode row %s", r.Key)
}
