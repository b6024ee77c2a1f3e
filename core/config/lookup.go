package config

import (
	"sort"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Team returns the effective settings of a team at now, or false if the team has no row.
func (v *View) Team(now time.Time, id core.TeamID) (Team, bool) {
	t, ok := v.teams[id]
	if !ok {
		return Team{}, false
	}
	d := v.Defaults(now)
	if t.Share == 0 {
		t.Share = d.Share
	}
	if t.Limit == 0 {
		t.Limit = d.Limit
	}
	applyExceptions(v, now, table.TeamKey(id), teamFields, &t)
	return t, true
}

// Pool returns the effective settings of a pool at now, or false if the pool has no row.
func (v *View) Pool(now time.Time, id core.PoolID) (Pool, bool) {
	p, ok := v.pools[id]
	if !ok {
		return Pool{}, false
	}
	if p.MaxUnavailable == 0 {
		p.MaxUnavailable = v.Defaults(now).MaxUnavailable
	}
	applyExceptions(v, now, table.PoolConfigKey(id), poolFields, &p)
	return p, true
}

// Queue returns the effective settings of a queue at now, or false if the queue has no
// row.
func (v *View) Queue(now time.Time, id core.QueueID) (Queue, bool) {
	q, ok := v.queues[id]
	if !ok {
		return Queue{}, false
	}
	if q.MaxQueued == 0 {
		q.MaxQueued = v.Defaults(now).MaxQueued
	}
	applyExceptions(v, now, table.QueueKey(id), queueFields, &q)
	return q, true
}

// Defaults returns the effective fleet-wide defaults at now.
func (v *View) Defaults(now time.Time) Defaults {
	d := v.defaults
	applyExceptions(v, now, table.ConfigDefaults, defaultsFields, &d)
	return d
}

// ZoneDown returns the attestation that z is down, or false if z is not attested to be
// down.
func (v *View) ZoneDown(z core.ZoneID) (ZoneDown, bool) {
	d := v.downZones[z]
	return d, d.Down
}

// Teams returns the teams that have a row, sorted.
func (v *View) Teams() []core.TeamID { return sortedKeys(v.teams) }

// Pools returns the pools that have a row, sorted.
func (v *View) Pools() []core.PoolID { return sortedKeys(v.pools) }

// Queues returns the queues that have a row, sorted.
func (v *View) Queues() []core.QueueID { return sortedKeys(v.queues) }

// DownZones returns the zones that are attested to be down, sorted.
func (v *View) DownZones() []core.ZoneID {
	var zones []core.ZoneID
	for _, z := range sortedKeys(v.downZones) {
		if v.downZones[z].Down {
			zones = append(zones, z)
		}
	}
	return zones
}

// Exceptions returns the exceptions that are active at now, by key.
func (v *View) Exceptions(now time.Time) map[table.Key]Exception {
	active := make(map[table.Key]Exception)
	for key, e := range v.exceptions {
		if e.End.After(now) {
			active[key] = e
		}
	}
	return active
}

func sortedKeys[K ~string, T any](m map[K]T) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// applyExceptions applies the active exceptions of a row to value. If two exceptions
// replace the same setting, the one whose id sorts last takes precedence.
func applyExceptions[T any](v *View, now time.Time, scope table.Key, fields map[string]field[T], value *T) {
	for _, key := range v.byScope[scope] {
		e := v.exceptions[key]
		if !e.End.After(now) {
			continue
		}
		for name, n := range e.Value {
			if f, ok := fields[name]; ok {
				f.set(value, n)
			}
		}
	}
}

// field describes a setting that an exception can replace: its maximum and its setter.
type field[T any] struct {
	max int
	set func(*T, int)
}

// Maximum values of settings.
const (
	MaxShare       = 1_000_000
	MaxLimit       = 1_000_000
	MaxUnavailable = 100_000
	MaxQueued      = 1_000_000
	// MaxBody is the maximum of max_body, in bytes.
	MaxBody = 256 << 20
)

var teamFields = map[string]field[Team]{
	"share": {MaxShare, func(t *Team, n int) { t.Share = n }},
	"limit": {MaxLimit, func(t *Team, n int) { t.Limit = core.Slots(n) }},
}

var poolFields = map[string]field[Pool]{
	"max_unavailable": {MaxUnavailable, func(p *Pool, n int) { p.MaxUnavailable = n }},
	"lends_idle":      {1, func(p *Pool, n int) { p.LendsIdle = n == 1 }},
}

var queueFields = map[string]field[Queue]{
	"max_queued": {MaxQueued, func(q *Queue, n int) { q.MaxQueued = n }},
	"overflow":   {1, func(q *Queue, n int) { q.Overflow = n == 1 }},
}

var defaultsFields = map[string]field[Defaults]{
	"share":           {MaxShare, func(d *Defaults, n int) { d.Share = n }},
	"limit":           {MaxLimit, func(d *Defaults, n int) { d.Limit = core.Slots(n) }},
	"max_unavailable": {MaxUnavailable, func(d *Defaults, n int) { d.MaxUnavailable = n }},
	"max_queued":      {MaxQueued, func(d *Defaults, n int) { d.MaxQueued = n }},
	"max_body":        {MaxBody, func(d *Defaults, n int) { d.MaxBody = n }},
}
