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

// Address is the row in which an entry states where it can be reached.
type Address struct {
	Entry  core.EntryID   `json:"entry"`
	Zone   core.ZoneID    `json:"zone"`
	Peer   netip.AddrPort `json:"peer"`
	Caller netip.AddrPort `json:"caller"`
}

// Directory knows the addresses of the fleet's entries from their rows. Rows of
// entries that are gone stay until the name is used again; they are only
// addresses, and say nothing about who lives. Its zero value is empty. It is safe
// for concurrent use.
type Directory struct {
	mu       sync.Mutex
	entries  map[table.Key]Address
	revision table.Revision
}

// Announce writes self's row, once per start of the daemon.
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

// Refresh reads the rows that changed since the last time.
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

// Zone returns the addresses of a zone's entries, by name.
func (d *Directory) Zone(zone core.ZoneID) []Address {
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

// Find returns the address of one run of an entry.
func (d *Directory) Find(zone core.ZoneID, id core.EntryID) (Address, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.entries[table.EntryKey(zone, id.Name())]
	return a, ok && a.Entry == id
}
