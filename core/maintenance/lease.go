package maintenance

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Lease is the row that says which entry is a zone's controller. It only saves
// work: two controllers at once do no harm, since each transaction stands alone.
type Lease struct {
	Holder core.EntryID `json:"holder"`
	Epoch  core.Epoch   `json:"epoch"`
	Until  time.Time    `json:"until"`
}

// LeaseKey returns the row of a zone's controller.
func LeaseKey(zone core.ZoneID) table.Key {
	return table.Key(table.PrefixWave + "controller/" + string(zone))
}

// DecodeLease reads a row of LeaseKey. A row that doesn't exist gives a free lease.
func DecodeLease(row table.Row) (Lease, error) {
	var l Lease
	return l, row.Decode(&l)
}

// Release frees a lease that its holder gives up, as of now.
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

// Acquire takes or renews the lease for self until the given time. It returns
// false if another entry holds it.
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
