package table

import (
	"fmt"
	"strings"

	"lavenderpond/core"
)

// Prefixes of the table's rows. All of lavenderpond's rows stand under these.
const (
	PrefixConfig    = "config/"
	PrefixKey       = "key/"
	PrefixAudit     = "audit/"
	PrefixShard     = "shard/"
	PrefixAllotment = "allotment/"
	// PrefixTeamAllotment is that of the rows which split teams' limits among zones.
	PrefixTeamAllotment = PrefixAllotment + "team/"
	PrefixPool          = "pool/"
	PrefixVM            = "vm/"
	PrefixEntry         = "entry/"
	PrefixWave          = "wave/"
	// PrefixChange holds a row for each change id that took effect.
	PrefixChange = "change/"
)

// ConfigHead is the row of the configuration's version and last change.
const ConfigHead Key = PrefixConfig + "head"

// ConfigDefaults is the row of the fleet-wide defaults.
const ConfigDefaults Key = PrefixConfig + "defaults"

// TeamKey returns the row of a team's share and limit.
func TeamKey(t core.TeamID) Key { return Key(PrefixConfig + "team/" + string(t)) }

// PoolConfigKey returns the row of a pool's settings.
func PoolConfigKey(p core.PoolID) Key { return Key(PrefixConfig + "pool/" + string(p)) }

// QueueKey returns the row of a queue's settings.
func QueueKey(q core.QueueID) Key { return Key(PrefixConfig + "queue/" + string(q)) }

// ExceptionKey returns the row of an exception.
func ExceptionKey(id string) Key { return Key(PrefixConfig + "exception/" + id) }

// KeyDigestKey returns the row of a team key.
func KeyDigestKey(d core.KeyDigest) Key { return Key(PrefixKey + string(d)) }

// AuditKey returns the row of the record of an accepted change.
func AuditKey(v core.Version) Key { return Key(fmt.Sprintf("%s%020d", PrefixAudit, uint64(v))) }

// ChangeKey returns the row that says that a change took effect.
func ChangeKey(id core.ChangeID) Key { return Key(PrefixChange + string(id)) }

// ShardKey returns the row of a shard's holder.
func ShardKey(z core.ZoneID, i core.ShardIndex) Key {
	return Key(fmt.Sprintf("%s%s/%04d", PrefixShard, z, i))
}

// TeamAllotmentKey returns the row that splits a team's limit among zones.
func TeamAllotmentKey(t core.TeamID) Key { return Key(PrefixTeamAllotment + string(t)) }

// ZoneAllotmentKey returns the row that splits a zone's part among its entries.
func ZoneAllotmentKey(t core.TeamID, z core.ZoneID) Key {
	return Key(PrefixZoneAllotment(z) + string(t))
}

// PrefixZoneAllotment returns the prefix of the rows that split z's parts. The zone
// stands first, so that its entries read their own zone's rows only.
func PrefixZoneAllotment(z core.ZoneID) string { return prefixZoneAllotments + string(z) + "/" }

// prefixZoneAllotments is that of all zones' rows.
const prefixZoneAllotments = PrefixAllotment + "zone/"

// ParseAllotmentKey returns the team and zone of an allotment row; the zone is empty for
// a team's row. It is false for other rows.
func ParseAllotmentKey(key Key) (core.TeamID, core.ZoneID, bool) {
	if team, ok := strings.CutPrefix(string(key), PrefixTeamAllotment); ok {
		return core.TeamID(team), "", true
	}
	rest, ok := strings.CutPrefix(string(key), prefixZoneAllotments)
	zone, team, cut := strings.Cut(rest, "/")
	return core.TeamID(team), core.ZoneID(zone), ok && cut
}

// PoolStateKey returns the row of a pool's budget and of its VMs that are out.
func PoolStateKey(p core.PoolID) Key { return Key(PrefixPool + string(p)) }

// VMKey returns the row of a VM: its pool, state, rack and address.
func VMKey(z core.ZoneID, vm core.VMID) Key { return Key(PrefixVM + string(z) + "/" + string(vm)) }

// EntryKey returns the row in which an entry states its addresses.
func EntryKey(z core.ZoneID, name string) Key { return Key(PrefixEntry + string(z) + "/" + name) }
