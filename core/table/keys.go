package table

import (
	"fmt"
	"strings"

	"lavenderpond/core"
)

// Key prefixes of the table's rows. The key of every lavenderpond row starts with
// one of them.
const (
	PrefixConfig    = "config/"
	PrefixKey       = "key/"
	PrefixAudit     = "audit/"
	PrefixShard     = "shard/"
	PrefixAllotment = "allotment/"
	// PrefixTeamAllotment is the prefix of the rows that divide a team's limit
	// among zones.
	PrefixTeamAllotment = PrefixAllotment + "team/"
	PrefixPool          = "pool/"
	PrefixVM            = "vm/"
	PrefixEntry         = "entry/"
	PrefixWave          = "wave/"
	// PrefixChange is the prefix of the rows that record each change id that took
	// effect.
	PrefixChange = "change/"
)

// ConfigHead is the key of the row with the configuration's version and last
// change.
const ConfigHead Key = PrefixConfig + "head"

// ConfigDefaults is the key of the row with the fleet-wide defaults.
const ConfigDefaults Key = PrefixConfig + "defaults"

// TeamKey returns the key of the row with a team's share and limit.
func TeamKey(t core.TeamID) Key { return Key(PrefixConfig + "team/" + string(t)) }

// PoolConfigKey returns the key of the row with a pool's settings.
func PoolConfigKey(p core.PoolID) Key { return Key(PrefixConfig + "pool/" + string(p)) }

// QueueKey returns the key of the row with a queue's settings.
func QueueKey(q core.QueueID) Key { return Key(PrefixConfig + "queue/" + string(q)) }

// ExceptionKey returns the key of the row of an exception, a temporary deviation
// from the settings.
func ExceptionKey(id string) Key { return Key(PrefixConfig + "exception/" + id) }

// KeyDigestKey returns the key of the row of the team key that has digest d.
func KeyDigestKey(d core.KeyDigest) Key { return Key(PrefixKey + string(d)) }

// AuditKey returns the key of the row that records an accepted change.
func AuditKey(v core.Version) Key { return Key(fmt.Sprintf("%s%020d", PrefixAudit, uint64(v))) }

// ChangeKey returns the key of the row that records that a change took effect.
func ChangeKey(id core.ChangeID) Key { return Key(PrefixChange + string(id)) }

// ShardKey returns the key of the row that names a shard's holder.
func ShardKey(z core.ZoneID, i core.ShardIndex) Key {
	return Key(fmt.Sprintf("%s%s/%04d", PrefixShard, z, i))
}

// TeamAllotmentKey returns the key of the row that divides a team's limit among
// zones.
func TeamAllotmentKey(t core.TeamID) Key { return Key(PrefixTeamAllotment + string(t)) }

// ZoneAllotmentKey returns the key of the row that divides a zone's allotment of a
// team's limit among the zone's entries.
func ZoneAllotmentKey(t core.TeamID, z core.ZoneID) Key {
	return Key(ZoneAllotmentPrefix(z) + string(t))
}

// ZoneAllotmentPrefix returns the prefix of the rows that divide z's allotments
// of the teams' limits. The zone comes first in the key, so that entries only need to
// read the rows of their own zone.
func ZoneAllotmentPrefix(z core.ZoneID) string { return prefixZoneAllotments + string(z) + "/" }

// prefixZoneAllotments is the common prefix of the zone allotment rows of all zones.
const prefixZoneAllotments = PrefixAllotment + "zone/"

// ParseAllotmentKey returns the team and zone of an allotment row's key. The zone
// is empty for a row that divides a team's limit among zones. The result is false
// for keys of other rows.
func ParseAllotmentKey(key Key) (core.TeamID, core.ZoneID, bool) {
	if team, ok := strings.CutPrefix(string(key), PrefixTeamAllotment); ok {
		return core.TeamID(team), "", true
	}
	rest, ok := strings.CutPrefix(string(key), prefixZoneAllotments)
	zone, team, cut := strings.Cut(rest, "/")
	return core.TeamID(team), core.ZoneID(zone), ok && cut
}

// PoolStateKey returns the key of the row with a pool's budget and its VMs that
// are out of service.
func PoolStateKey(p core.PoolID) Key { return Key(PrefixPool + string(p)) }

// VMKey returns the key of the row of a VM, which has its pool, state, rack and
// address.
func VMKey(z core.ZoneID, vm core.VMID) Key { return Key(PrefixVM + string(z) + "/" + string(vm)) }

// EntryKey returns the key of the row in which an entry publishes its addresses.
func EntryKey(z core.ZoneID, name string) Key { return Key(PrefixEntry + string(z) + "/" + name) }
