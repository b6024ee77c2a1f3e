package key

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/table"
)

// TestSession records the course of three keys at one entry. They are granted, withdrawn
// directly while the table is down, and checked until the entry is cut off from the table
// and all peers and its list becomes stale.
func TestSession(t *testing.T) {
	var b strings.Builder
	r := Keyring{Zone: "za", Zones: []core.ZoneID{"za", "zb", "zc"}, Started: testStart}
	good, leaked, late := core.Digest("good"), core.Digest("leaked"), core.Digest("late")
	row := func(d core.KeyDigest, version core.Version, withdrawn bool) table.Row {
		return table.MustRow(table.KeyDigestKey(d), version, config.Key{Team: testTeam, Withdrawn: withdrawn})
	}
	at := func(seconds int, what string, withdrawn ...core.KeyDigest) {
		now := testStart.Add(time.Duration(seconds) * time.Second)
		fmt.Fprintf(&b, "%3ds %s: %d ended, %d to record, trusted until %s\n", seconds, what,
			len(withdrawn), len(r.Unrecorded()), r.FreshUntil().Format("15:04:05"))
		for i, d := range []core.KeyDigest{good, leaked, late} {
			code, ok := r.Check(now, testTeam, d)
			fmt.Fprintf(&b, "     %-7s %t %s\n", []string{"good", "leaked", "late"}[i], ok, code)
		}
		code, ok := r.Check(now, "surveys", good)
		fmt.Fprintf(&b, "     good as another team: %t %s\n", ok, code)
	}
	at(0, "just started")
	r.RecordTableRead(testStart.Add(time.Second))
	at(1, "table read", r.Apply([]table.Row{row(good, 1, false), row(leaked, 1, false)})...)
	at(5, "leaked and late withdrawn directly, table down", r.Withdraw(
		Withdrawal{Digest: leaked, Team: testTeam, Author: "ana"}, Withdrawal{Digest: late, Team: testTeam, Author: "ana"})...)
	at(6, "told again", r.Withdraw(Withdrawal{Digest: leaked, Team: testTeam, Author: "ana"})...)
	at(7, "an older row comes from a peer", r.Apply([]table.Row{row(leaked, 1, false), row(late, 1, false)})...)
	at(17, "nothing heard")
	r.RecordZoneContact("zb", testStart.Add(18*time.Second))
	at(18, "zone zb heard: two of three zones")
	at(25, "an old answer of zc, told by a peer", r.Merge(Summary{Contacts: map[core.ZoneID]time.Time{"zc": testStart}, Joined: true}, true, testSkew)...)
	at(33, "nothing heard")
	r.RecordTableRead(testStart.Add(40 * time.Second))
	at(40, "table back, the withdrawals recorded", r.Apply([]table.Row{row(leaked, 2, true), row(late, 2, true)})...)
	golden.Assert(t, b.String(), "session.golden")
}

// FuzzKeyringApply feeds arbitrary data to the decoder of key rows. Whatever the rows
// contain, a withdrawn key stays withdrawn, and only a row of the team makes a key
// valid.
func FuzzKeyringApply(f *testing.F) {
	f.Add([]byte(`{"team":"frames"}`))
	f.Add([]byte(`{"team":"frames","withdrawn":false}`))
	f.Add([]byte(`{"team":"frames","withdrawn":"no"}`))
	f.Add([]byte(`[1]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		var r Keyring
		r.RecordTableRead(testStart)
		withdrawn, other := core.Digest("ended"), core.Digest("other")
		r.Withdraw(Withdrawal{Digest: withdrawn})
		r.Apply([]table.Row{
			{Key: table.KeyDigestKey(withdrawn), Version: 9, Value: value}, {Key: table.KeyDigestKey(other), Version: 1, Value: value},
		})
		code, ok := r.Check(testStart, testTeam, withdrawn)
		assert.Assert(t, !ok && code == core.CodeKeyWithdrawn)
		var k config.Key
		row := table.Row{Key: table.KeyDigestKey(other), Version: 1, Value: value}
		_, ok = r.Check(testStart, testTeam, other)
		assert.Equal(t, ok, row.Decode(&k) == nil && k.Team == testTeam && !k.Withdrawn)
	})
}
