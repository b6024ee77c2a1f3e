package ini

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core"
	"lavenderpond/core/key"
)

// setting defines one key of the settings file.
type setting struct {
	keyPath
	// defaultValue is used if the file doesn't have the key. It is empty for required
	// keys and for optional keys without a fixed default.
	defaultValue string
	// required reports whether the file must have the key.
	required bool
	// example is shown in the sample for a key without a default value.
	example   string
	help      string
	valueKind valueKind
}

// sections are the sections and their descriptions, in the order in which the sample
// and docs/SETTINGS.md list them.
var sections = []struct{ name, help string }{
	{"entry", "Who this entry is and whom it speaks to."},
	{"platform", "The platform's table, object store and list of live VMs."},
	{"keys", "Who may operate, and how long keys are trusted without contact."},
	{"log", "JSON lines on standard error."},
	{"queue", "Bounds of waiting work."},
	{"limits", "What the daemon may hold for others. Beyond it, connections are closed and requests refused as not run."},
}

// settingTable defines all settings. The parser, the sample and docs/SETTINGS.md are
// derived from it.
var settingTable = []setting{
	{keyPath{"entry", "name"}, "", true, "entry_a1", "The entry's name, unique in its zone.",
		nameKind(func(s *Settings) *string { return &s.Entry.Name })},
	{keyPath{"entry", "zone"}, "", true, "zone_a", "The availability zone that the entry stands in.",
		nameKind(func(s *Settings) *core.ZoneID { return &s.Entry.Zone })},
	{keyPath{"entry", "zones"}, "", true, "zone_a, zone_b, zone_c", "All zones. The list and its order must be the same on every entry.",
		zoneListKind(func(s *Settings) *[]core.ZoneID { return &s.Entry.Zones })},
	{keyPath{"entry", "caller_listen"}, "", true, "127.0.0.1:7001", "Takes callers and operators (connect over HTTP), metrics and health.",
		addressKind(func(s *Settings) *netip.AddrPort { return &s.Entry.CallerListen })},
	{keyPath{"entry", "peer_listen"}, "", true, "127.0.0.1:7101", "Takes messages of other entries.",
		addressKind(func(s *Settings) *netip.AddrPort { return &s.Entry.PeerListen })},
	{keyPath{"entry", "advertise_peer"}, "", false, "127.0.0.1:7101", "Where other entries reach peer_listen. Not given: peer_listen itself.",
		dialableAddressKind(func(s *Settings) *netip.AddrPort { return &s.Entry.AdvertisePeer })},
	{keyPath{"entry", "peers"}, "", false, "", "Peer addresses to try first, until the table tells the others.",
		addressListKind(func(s *Settings) *[]netip.AddrPort { return &s.Entry.Peers })},
	{keyPath{"entry", "shards"}, "16", false, "", "Shards per zone. Must be the same on every entry.",
		intKind(1, 4096, func(s *Settings) *core.ShardIndex { return &s.Entry.Shards })},
	{keyPath{"entry", "max_lifetime"}, "10m", false, "", "The furthest that a request's deadline may lie ahead; bounds what is remembered of ids.",
		durationKind(time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.Entry.MaxLifetime })},
	{keyPath{"entry", "skew_bound"}, "250ms", false, "", "The most by which two clocks of the fleet differ. Must be the same on every entry.",
		durationKind(time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.Entry.SkewBound })},
	{keyPath{"entry", "stop_grace"}, "30s", false, "", "How long running work may take to end after SIGTERM.",
		durationKind(0, 24*time.Hour, func(s *Settings) *time.Duration { return &s.Entry.StopGrace })},
	{keyPath{"entry", "max_body"}, "1048576", false, "", "The largest body of a request, in bytes.",
		intKind(1, 64<<20, func(s *Settings) *int { return &s.Entry.MaxBody })},
	{keyPath{"platform", "url"}, "", true, "http://127.0.0.1:7900", "Where the platform's service answers.",
		urlKind(func(s *Settings) *string { return &s.Platform.URL })},
	{keyPath{"platform", "poll_interval"}, "1s", false, "", "How often the entry asks the table for changes.",
		durationKind(10*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Platform.PollInterval })},
	{keyPath{"platform", "timeout"}, "2s", false, "", "How long one call to the platform may take.",
		durationKind(10*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Platform.Timeout })},
	{keyPath{"keys", operatorKeyDigestKey}, "", true, sampleDigest, "Digest of the operator key: printf %s KEY | sha256sum.",
		digestKind(func(s *Settings) *core.KeyDigest { return &s.Keys.OperatorKeyDigest })},
	{keyPath{"keys", "cut_off_bound"}, "10s", false, "", "How long a zone that is cut off from the table and all else trusts its key list. Then it refuses with keys_stale.",
		durationKind(time.Second, key.MaxStalenessLimit, func(s *Settings) *time.Duration { return &s.Keys.CutOffBound })},
	{keyPath{"log", "level"}, "info", false, "", "The least level that is logged.",
		levelKind(func(s *Settings) *zerolog.Level { return &s.Log.Level })},
	{keyPath{"queue", "max_queued"}, "10000", false, "", "The most requests that wait at this entry, over all queues.",
		intKind(1, 1000000, func(s *Settings) *int { return &s.Queue.MaxQueued })},
	{keyPath{"limits", "memory"}, "268435456", false, "", "The memory that the daemon may use, in bytes. A quarter is for what callers send, a quarter for what other entries send, and a quarter for requests and answers that are kept.",
		intKind(64<<20, 1<<40, func(s *Settings) *int { return &s.Limits.Memory })},
	{keyPath{"limits", "files"}, "4096", false, "", "The descriptors that the daemon may have open. A quarter is for callers, an eighth for other entries.",
		intKind(64, 1<<20, func(s *Settings) *int { return &s.Limits.Files })},
}

// operatorKeyDigestKey is the key whose value is never shown in errors; see redact.
const operatorKeyDigestKey = "operator_key_digest"

// sampleDigest is the digest of "sample-operator-key", the operator key of the sample.
const sampleDigest = "ec7f5c63259fcf6ec3486f6a6ffda30fd2b9698858ec2c62182e361bdfb9abdd"

func findSetting(path keyPath) (setting, bool) {
	for _, st := range settingTable {
		if st.keyPath == path {
			return st, true
		}
	}
	return setting{}, false
}
