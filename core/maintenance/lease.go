package maintenance

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Lease is the row that names the entry that acts as a zone's controller. It only
// avoids duplicate work. Two controllers at the same time are safe, because each
// transaction checks the rows that it depends on.
type Lease struct {
	Holder core.EntryID `json:"holder"`
	Epoch  core.Epoch   `json:"epoch"`
	Until  time.Time    `json:"until"`
}

// LeaseKey returns the key of a zone's controller lease.
func LeaseKey(zone core.ZoneID) table.Key {
	return table.Key(table.PrefixWave + "controller/" + string(zone))
}

// DecodeLease decodes a row stored under LeaseKey. A row that doesn't exist decodes
// to a free lease.
func DecodeLease(row table.Row) (Lease, error) {
	var l Lease
	return l, row.Decode(&l)
}

// Release returns the transaction that ends the lease now. Only its holder may
// release it.
func Release(now time.Time, row table.Row) (table.Transaction, error) {
	l, err := DecodeLease(row)
	if err != nil {
		return table.Transaction{}, err
	}
	l.Until = now
	var t table.Transaction
	t.Check(row)
	return t, t.Set(row.Key, l)
}

// Acquire returns the transaction that takes or renews the lease for self until the
// given time, or false if another entry holds the lease.
func Acquire(now time.Time, row table.Row, self core.EntryID, until time.Time) (table.Transaction, bool, error) {
	l, err := DecodeLease(row)
	if err != nil {
		return table.Transaction{}, false, err
	}
	if l.Holder != self {
		if now.Before(l.Until) {
			return table.Transaction{}, false, nil
		}
		l.Holder = self
		l.Epoch++
	}
	l.Until = until
	var t table.Transaction
	t.Check(row)
	return t, true, t.Set(row.Key, l)
}
