// Package ini reads the settings of the daemon lavenderpondd from an INI file.
//
// Every setting is a line of one table, which the reader, the commented sample
// and docs/SETTINGS.md share. A mistake is refused at start-up, with all others.
package ini

import (
	_ "embed" // for sample
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core"
)

// Settings is what one daemon is told at its start.
type Settings struct {
	Entry    Entry
	Platform Platform
	Keys     Keys
	Log      Log
	Queue    Queue
}

// Entry is the section [entry]: who the daemon is and whom it speaks to.
type Entry struct {
	Name string
	Zone core.ZoneID
	// Zones are all zones of the fleet, in the same order on every entry: the
	// order decides which zone a request id belongs to.
	Zones []core.ZoneID
	// CallerListen takes callers, operators, metrics and health over HTTP.
	CallerListen netip.AddrPort
	// PeerListen takes the messages of other entries.
	PeerListen netip.AddrPort
	// AdvertisePeer is the address at which other entries reach PeerListen.
	AdvertisePeer netip.AddrPort
	// Peers are tried first, until the table tells the others.
	Peers []netip.AddrPort
	// Shards is the number of shards per zone, the same on every entry.
	Shards core.ShardIndex
	// MaxLifetime is the furthest that a request's deadline may lie ahead.
	MaxLifetime time.Duration
	// SkewBound is the most by which two clocks of the fleet differ.
	SkewBound time.Duration
	// StopGrace is how long running work may take to end at a graceful stop.
	StopGrace time.Duration
	// MaxBody is the largest body of a request, in bytes.
	MaxBody int
}

// Platform is the section [platform]: where the platform's service is.
type Platform struct {
	URL          string
	PollInterval time.Duration
	Timeout      time.Duration
}

// Keys is the section [keys].
type Keys struct {
	// OperatorKeyDigest is the digest of the operator key; see core.Digest.
	OperatorKeyDigest core.KeyDigest
	// CutOffBound is how long an entry trusts its key list with no contact to the
	// table or to any entry that has it.
	CutOffBound time.Duration
}

// Log is the section [log].
type Log struct {
	Level zerolog.Level
}

// Queue is the section [queue].
type Queue struct {
	// MaxQueued is the most requests that wait at this entry, over all queues.
	MaxQueued int
}

//go:embed sample.ini
var sample string

// Sample returns a commented settings file that loads.
func Sample() string { return sample }

// Load reads the settings file at path. Its error is a Problems if the file
// could be read.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, core.Errorf(core.CodeInvalidSetting, "%v; give the path of a settings file", err)
	}
	return Parse(path, data)
}
