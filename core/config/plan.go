package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Rows holds the rows that Plan reads, by key. A row that doesn't exist has Version 0.
type Rows map[table.Key]table.Row

// RecordRetention is how long a ChangeRecord is kept, and thus how long a change may be
// repeated under its id. It is far longer than the few seconds during which a command
// retries a change automatically.
const RecordRetention = 24 * time.Hour

// ChangeRecord is the row that records that the change with an id took effect. It
// settles the outcome if an answer was lost, and prevents a change from being applied
// twice.
type ChangeRecord struct {
	Version core.Version `json:"version"`
	Key     table.Key    `json:"key"`
	Author  string       `json:"author"`
	At      time.Time    `json:"at"`
	// KeepUntil is when this record and the audit record of Version may be deleted.
	KeepUntil time.Time `json:"keep_until"`
	// Digest is the digest of the change. It detects another change under the same id.
	Digest string `json:"digest"`
}

// AuditRecord is the row that documents an accepted change for the monitor. It holds the
// digests of keys, never the keys.
type AuditRecord struct {
	Version core.Version    `json:"version"`
	Change  core.ChangeID   `json:"change"`
	Kind    string          `json:"kind"`
	Key     table.Key       `json:"key"`
	Author  string          `json:"author"`
	At      time.Time       `json:"at"`
	Reason  string          `json:"reason,omitempty"`
	Before  json.RawMessage `json:"before,omitempty"`
	After   json.RawMessage `json:"after"`
}

// ChangeRecord returns the change record that belongs to a.
func (a AuditRecord) ChangeRecord(digest string) ChangeRecord {
	return ChangeRecord{Version: a.Version, Key: a.Key, Author: a.Author, At: a.At, KeepUntil: a.At.Add(RecordRetention), Digest: digest}
}

// RequiredKeys returns the keys of the rows that Plan and Applied need.
func RequiredKeys(c Change, id core.ChangeID) []table.Key {
	return []table.Key{table.ChangeKey(id), table.ConfigHead, c.Key()}
}

// Applied returns the change record of id and true if the change already took effect. It
// returns an error if the id was used for another change.
func Applied(c Change, id core.ChangeID, rows Rows) (ChangeRecord, bool, error) {
	var record ChangeRecord
	row := rows[table.ChangeKey(id)]
	if row.Version == 0 {
		return record, false, nil
	}
	if err := row.Decode(&record); err != nil {
		return record, false, err
	}
	if record.Digest != changeDigest(c) {
		return record, false, core.Errorf(core.CodeConflict,
			"change id %q was used by %s for %s in version %d; choose a new change id", id, record.Author, record.Key, record.Version)
	}
	return record, true, nil
}

// Plan returns the transaction that applies c under the change id. It writes the head row
// with the next version, the row of c, the change record and the audit record atomically.
// Plan validates c against rows, and fails with a core.Error.
func Plan(c Change, id core.ChangeID, now time.Time, rows Rows) (table.Transaction, error) {
	var t table.Transaction
	if err := validate(c, id, now); err != nil {
		return t, err
	}
	before := rows[c.Key()]
	before.Key = c.Key()
	after, err := newValue(c, now, before)
	if err != nil {
		return t, err
	}
	var head Head
	headRow := rows[table.ConfigHead]
	headRow.Key = table.ConfigHead
	if err := headRow.Decode(&head); err != nil {
		return t, err
	}
	head = Head{Version: head.Version + 1, Change: id}
	t.Check(table.Row{Key: table.ChangeKey(id)})
	t.Check(headRow)
	t.Check(before)
	return t, addWrites(&t, c, now, head, before, after)
}

// addWrites adds the four writes of a change to t.
func addWrites(t *table.Transaction, c Change, now time.Time, head Head, before table.Row, after any) error {
	if err := t.Set(table.ConfigHead, head); err != nil {
		return err
	}
	if err := t.Set(c.Key(), after); err != nil {
		return err
	}
	audit := AuditRecord{
		Version: head.Version, Change: head.Change, Kind: Kind(c), Key: c.Key(), Author: c.ChangedBy(), At: now, Reason: changeReason(c),
		After: t.Writes[1].Value,
	}
	if before.Version > 0 {
		audit.Before = before.Value
	}
	if err := t.Set(table.ChangeKey(head.Change), audit.ChangeRecord(changeDigest(c))); err != nil {
		return err
	}
	return t.Set(table.AuditKey(head.Version), audit)
}

// newValue returns the new value of the row that c writes.
func newValue(c Change, now time.Time, before table.Row) (any, error) {
	switch c := c.(type) {
	case SetTeam:
		return c.Value, nil
	case SetPool:
		return c.Value, nil
	case SetQueue:
		return c.Value, nil
	case SetDefaults:
		return c.Value, nil
	case AddException:
		return Exception{Scope: string(c.Scope), Reason: c.Reason, Author: c.Author, End: c.End, Value: c.Value}, nil
	case RetireException:
		return retiredException(c, now, before)
	case GrantKey:
		return grantedKey(c, before)
	case WithdrawKey:
		return withdrawnKey(c, before)
	case AttestZone:
		return ZoneDown{Down: c.Down, Reason: c.Reason, Author: c.Author, Since: now}, nil
	default:
		return nil, core.Errorf(core.CodeMalformed, "unknown change %T", c)
	}
}

func retiredException(c RetireException, now time.Time, before table.Row) (any, error) {
	if before.Version == 0 {
		return nil, core.Errorf(core.CodeNotFound, "no exception %q", c.ID)
	}
	var e Exception
	if err := before.Decode(&e); err != nil {
		return nil, err
	}
	if e.End.After(now) {
		e.End = now
	}
	return e, nil
}

// grantedKey returns the row of a granted key. It refuses a key that was withdrawn, so that
// a concurrent grant can't undo a withdrawal, in whichever order the two are applied.
func grantedKey(c GrantKey, before table.Row) (any, error) {
	var k Key
	if err := before.Decode(&k); err != nil {
		return nil, err
	}
	if k.Withdrawn {
		return nil, core.Errorf(core.CodeKeyWithdrawn, "this key was withdrawn for good; make a new key for team %s", c.Team)
	}
	if k.Team != "" && k.Team != c.Team {
		return nil, core.Errorf(core.CodeConflict, "this key belongs to team %s; make a new key for team %s", k.Team, c.Team)
	}
	return Key{Team: c.Team}, nil
}

func withdrawnKey(c WithdrawKey, before table.Row) (any, error) {
	k := Key{Team: c.Team}
	if err := before.Decode(&k); err != nil {
		return nil, err
	}
	k.Withdrawn = true
	return k, nil
}

func changeDigest(c Change) string {
	data, err := json.Marshal(c)
	if err != nil {
		// Can't happen: a Change holds only strings, numbers and times.
		panic(err)
	}
	sum := sha256.Sum256(append([]byte(Kind(c)), data...))
	return hex.EncodeToString(sum[:])
}

// Kind returns the name of the change's type in audit records, in snake case.
func Kind(c Change) string {
	switch c.(type) {
	case SetTeam:
		return "set_team"
	case SetPool:
		return "set_pool"
	case SetQueue:
		return "set_queue"
	case SetDefaults:
		return "set_defaults"
	case AddException:
		return "add_exception"
	case RetireException:
		return "retire_exception"
	case GrantKey:
		return "grant_key"
	case WithdrawKey:
		return "withdraw_key"
	case AttestZone:
		return "attest_zone"
	default:
		return fmt.Sprintf("%T", c)
	}
}

func changeReason(c Change) string {
	switch c := c.(type) {
	case AddException:
		return c.Reason
	case RetireException:
		return c.Reason
	case WithdrawKey:
		return c.Reason
	case AttestZone:
		return c.Reason
	default:
		return ""
	}
}
