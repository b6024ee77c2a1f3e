// Package ini reads the settings of the daemon lavenderpondd from an INI file.
//
// All settings are defined in one table, from which the parser, the commented sample
// and docs/SETTINGS.md are derived. All mistakes in a file are reported together, and
// the daemon doesn't start with any of them.
package ini

import (
	_ "embed" // for the variable sample
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core"
)

// Settings are the contents of a settings file.
type Settings struct {
	Entry    Entry
	Platform Platform
	Keys     Keys
	Log      Log
	Queue    Queue
	Limits   Limits
}

// Entry is the section [entry]: the daemon's identity, its addresses and its limits.
type Entry struct {
	Name string
	Zone core.ZoneID
	// Zones are all availability zones of the fleet. Their order must be the same on
	// every entry, because it determines the home zone of a request id.
	Zones []core.ZoneID
	// CallerListen is the address for callers, operators, metrics and health checks,
	// all over HTTP.
	CallerListen netip.AddrPort
	// PeerListen is the address for messages from other entries.
	PeerListen netip.AddrPort
	// AdvertisePeer is the address at which other entries reach PeerListen.
	AdvertisePeer netip.AddrPort
	// Peers are the entries to contact until the addresses in the table are known.
	Peers []netip.AddrPort
	// Shards is the number of shards per zone, the same on every entry.
	Shards core.ShardIndex
	// MaxLifetime is the maximum time between a request's arrival and its deadline.
	MaxLifetime time.Duration
	// SkewBound is the maximum difference between any two clocks of the fleet.
	SkewBound time.Duration
	// StopGrace is the time that running requests have to finish at a graceful stop.
	StopGrace time.Duration
	// MaxBody is the maximum size of a request's body, in bytes.
	MaxBody int
}

// Platform is the section [platform]: access to the platform's table, object store
// and list of live VMs.
type Platform struct {
	URL string
	// PollInterval is the time between two reads of the table's changes.
	PollInterval time.Duration
	// Timeout is the time limit of one call to the platform.
	Timeout time.Duration
}

// Keys is the section [keys]: the operator key and the trust in cached team keys.
type Keys struct {
	// OperatorKeyDigest is the digest of the operator key; see core.Digest.
	OperatorKeyDigest core.KeyDigest
	// CutOffBound is the maximum staleness of the key list: how long an entry accepts
	// keys without contact to the table or to an entry that has such contact.
	CutOffBound time.Duration
}

// Log is the section [log]: the JSON log on standard error.
type Log struct {
	// Level is the lowest level that is logged.
	Level zerolog.Level
}

// Queue is the section [queue]: limits on queued requests.
type Queue struct {
	// MaxQueued is the maximum number of requests that wait at this entry, in all
	// queues together.
	MaxQueued int
}

// Limits is the section [limits]: what the daemon may hold for others.
type Limits struct {
	// Memory is the memory that the daemon may use, in bytes.
	Memory int
	// Files is the number of descriptors that the daemon may have open.
	Files int
}

//go:embed sample.ini
var sample string

// Sample returns a commented settings file that Parse accepts.
func Sample() string { return sample }

// Load reads the settings file at path. If the file can be read but has mistakes, the
// error is a Problems.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, core.Errorf(core.CodeInvalidSetting, "%v; give the path of a settings file", err)
	}
	return Parse(path, data)
}
