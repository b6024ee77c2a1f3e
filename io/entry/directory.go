package entry

import (
	"context"
	"encoding/json"
	"net/netip"
	"sort"
	"strings"
	"sync"

	"lavenderpond/core"
	"lavenderpond/core/table"
	"lavenderpond/io/platform"
)

// Address is the table row in which an entry announces its addresses.
type Address struct {
	Entry core.EntryID `json:"entry"`
	Zone  core.ZoneID  `json:"zone"`
	// Peer is where other entries connect, Caller where callers and operators do.
	Peer   netip.AddrPort `json:"peer"`
	Caller netip.AddrPort `json:"caller"`
}

// Directory caches the addresses that the fleet's entries have announced in the table.
// The row of an entry that has ended stays until another run uses the same name, so an
// address in the directory does not mean that the entry is live. The zero value is an
// empty directory. It is safe for concurrent use.
type Directory struct {
	mu       sync.Mutex
	entries  map[table.Key]Address
	revision table.Revision
}

// Announce writes the row of this entry. The daemon does so once per start.
func (d *Directory) Announce(ctx context.Context, t platform.Table, self Address) error {
	key := table.EntryKey(self.Zone, self.Entry.Name())
	row, err := t.Read(ctx, key)
	if err != nil {
		return err
	}
	var tx table.Transaction
	tx.Check(row)
	if err := tx.Set(key, self); err != nil {
		return err
	}
	return t.Transact(ctx, tx)
}

// Refresh reads the rows that have changed since the previous call.
func (d *Directory) Refresh(ctx context.Context, t platform.Table) error {
	d.mu.Lock()
	since := d.revision
	d.mu.Unlock()
	rows, revision, err := t.Changes(ctx, table.PrefixEntry, since)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries == nil {
		d.entries = make(map[table.Key]Address)
	}
	for _, row := range rows {
		var a Address
		if row.Version == 0 || json.Unmarshal(row.Value, &a) != nil {
			delete(d.entries, row.Key)
			continue
		}
		d.entries[row.Key] = a
	}
	d.revision = revision
	return nil
}

// AddressesInZone returns the addresses of a zone's entries, sorted by name.
func (d *Directory) AddressesInZone(zone core.ZoneID) []Address {
	prefix := string(table.EntryKey(zone, ""))
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Address
	for key, a := range d.entries {
		if strings.HasPrefix(string(key), prefix) {
			list = append(list, a)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Entry < list[j].Entry })
	return list
}

// Find returns the addresses of the entry id. It returns false if the row under the
// entry's name is missing or belongs to another run of the entry.
func (d *Directory) Find(zone core.ZoneID, id core.EntryID) (Address, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.entries[table.EntryKey(zone, id.Name())]
	return a, ok && a.Entry == id
}
