package peer

import (
	"context"
	"slices"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/shard"
	"lavenderpond/io/platform"
	"lavenderpond/io/supervisor"
)

// unseenEntryTimeout is how long an entry that is named in a row, and that this entry
// has never seen in the live list, must be missing from it to count as ended. Entries
// are named in rows only after they were listed, so the timeout only has to cover the
// delay between two readers of the list.
const unseenEntryTimeout = 30 * time.Second

// entryTracker determines from successive lists of live entries which runs have ended. A
// run is one process of an entry, identified by the entry's name and its start time.
type entryTracker struct {
	self core.EntryID
	// seen contains the runs that were listed and haven't been found missing since.
	seen map[core.EntryID]bool
	// ended contains the runs that are known to have ended.
	ended map[core.EntryID]bool
	// missingSince maps runs that are named in rows but aren't listed to the time when
	// that was noticed.
	missingSince map[core.EntryID]time.Time
}

func (sm *ShardManager) runLister(ctx context.Context) error {
	return supervisor.Every(ctx, listInterval, sm.refreshEntries)
}

// refreshEntries reads the live list and tells the LeaseManager which entries are live
// and which have ended.
func (sm *ShardManager) refreshEntries(ctx context.Context) {
	live, err := sm.cfg.Live.Live(ctx, sm.cfg.Params.Zone)
	if err != nil {
		sm.cfg.Log.Debug().Err(err).Msg("failed to read the live list")
		return
	}
	sm.mu.Lock()
	named := sm.leases.NamedEntries()
	sm.mu.Unlock()
	sm.handle(sm.entries.update(sm.now(), live, named))
}

// update processes a list of live entries and returns the event for the LeaseManager.
// A list that doesn't contain this entry proves nothing about others: it is older than
// this run, or wrong.
func (t *entryTracker) update(now time.Time, live []platform.Liveness, named []core.EntryID) shard.EntriesListed {
	if t.seen == nil {
		t.seen, t.ended = map[core.EntryID]bool{}, map[core.EntryID]bool{}
		t.missingSince = map[core.EntryID]time.Time{}
	}
	var e shard.EntriesListed
	listed, newest := map[core.EntryID]bool{}, map[string]time.Time{}
	for _, v := range live {
		if v.Started.IsZero() {
			continue
		}
		id := core.NewEntryID(v.Name, v.Started)
		listed[id] = true
		if id.Started().After(newest[v.Name]) {
			newest[v.Name] = id.Started()
		}
		if !v.Leaving {
			e.Live = append(e.Live, id)
		}
	}
	// All entries must see the same order, because it determines which of them acts.
	slices.Sort(e.Live)
	if listed[t.self] {
		t.findEnded(now, listed, newest, named)
	}
	for id := range listed {
		t.seen[id] = true
	}
	for _, id := range named {
		if t.ended[id] {
			e.Ended = append(e.Ended, id)
		}
	}
	return e
}

// findEnded records which entries have ended, given a list that contains this entry.
// newest is the start time of the latest listed run by name.
func (t *entryTracker) findEnded(now time.Time, listed map[core.EntryID]bool, newest map[string]time.Time, named []core.EntryID) {
	for id := range t.seen {
		if !listed[id] {
			t.ended[id] = true
			delete(t.seen, id)
		}
	}
	for _, id := range named {
		switch {
		case id == t.self || listed[id]:
			delete(t.missingSince, id)
		case newest[id.Name()].After(id.Started()):
			// A name has only one run at a time, so the older run has ended.
			t.ended[id] = true
		case t.missingSince[id].IsZero():
			t.missingSince[id] = now
		case now.Sub(t.missingSince[id]) >= unseenEntryTimeout:
			t.ended[id] = true
		}
	}
}
