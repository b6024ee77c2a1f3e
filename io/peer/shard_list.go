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

// unseenGone is how long an entry that a row names, and that this one never saw
// listed, must be missing from the list to count as ended. Entries are named only
// after they were listed, so what is missing is the lag between two readers.
const unseenGone = 30 * time.Second

// entryLister finds out from successive lists which entries have ended.
type entryLister struct {
	self    core.EntryID
	seen    map[core.EntryID]bool
	gone    map[core.EntryID]bool
	missing map[core.EntryID]time.Time
}

func (k *ShardKeeper) runList(ctx context.Context) error {
	return supervisor.Every(ctx, shardList, k.list)
}

func (k *ShardKeeper) list(ctx context.Context) {
	live, err := k.cfg.Live.Live(ctx, k.cfg.Params.Zone)
	if err != nil {
		k.cfg.Log.Debug().Err(err).Msg("live list not read")
		return
	}
	k.mu.Lock()
	named := k.keeper.NamedEntries()
	k.mu.Unlock()
	k.handle(k.lister.update(k.now(), live, named))
}

// update takes in a list. A list without this entry proves nothing about others:
// it is older than this run, or wrong.
func (l *entryLister) update(now time.Time, live []platform.Liveness, named []core.EntryID) shard.EntriesListed {
	if l.seen == nil {
		l.seen, l.gone = map[core.EntryID]bool{}, map[core.EntryID]bool{}
		l.missing = map[core.EntryID]time.Time{}
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
	// All entries must see the same order: it says whose turn it is.
	slices.Sort(e.Live)
	if listed[l.self] {
		l.findGone(now, listed, newest, named)
	}
	for id := range listed {
		l.seen[id] = true
	}
	for _, id := range named {
		if l.gone[id] {
			e.Gone = append(e.Gone, id)
		}
	}
	return e
}

func (l *entryLister) findGone(now time.Time, listed map[core.EntryID]bool, newest map[string]time.Time, named []core.EntryID) {
	for id := range l.seen {
		if !listed[id] {
			l.gone[id] = true
			delete(l.seen, id)
		}
	}
	for _, id := range named {
		switch {
		case id == l.self || listed[id]:
			delete(l.missing, id)
		case newest[id.Name()].After(id.Started()):
			// One name has one run at a time, so the older has ended.
			l.gone[id] = true
		case l.missing[id].IsZero():
			l.missing[id] = now
		case now.Sub(l.missing[id]) >= unseenGone:
			l.gone[id] = true
		}
	}
}
