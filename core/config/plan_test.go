package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// TestSession runs a session of operators with accepted, refused and repeated changes. The
// golden file holds the rows written and the settings in effect at an entry.
func TestSession(t *testing.T) {
	var m table.Memory
	var b strings.Builder
	now := testStart
	digest := core.Digest("the key")
	apply := func(id core.ChangeID, c Change) {
		now = now.Add(time.Minute)
		rows := Rows{}
		for _, key := range RequiredKeys(c, id) {
			rows[key] = m.Read(key)
		}
		fmt.Fprintf(&b, "%s %s %s by %q\n", now.Format("15:04"), id, Kind(c), c.ChangedBy())
		record, applied, err := Applied(c, id, rows)
		if applied {
			fmt.Fprintf(&b, "  applied before, in version %d\n", record.Version)
			return
		}
		var plan table.Transaction
		if err == nil {
			plan, err = Plan(c, id, now, rows)
		}
		if err != nil {
			fmt.Fprintf(&b, "  refused: %v\n", err)
			return
		}
		assert.NilError(t, m.Transact(plan))
		for _, w := range plan.Writes {
			fmt.Fprintf(&b, "  %s = %s\n", w.Key, w.Value)
		}
	}
	later := testStart.Add(24 * time.Hour)
	team := SetTeam{Author: "ana", Team: "frames", Value: Team{Share: 3}}
	apply("c1", SetDefaults{Author: "ana", Value: Defaults{Share: 1, Limit: 40, MaxUnavailable: 1, MaxQueued: 100, MaxBody: 1 << 20}})
	apply("c2", team)
	apply("c2", team)
	apply("c2", SetTeam{Author: "bo", Team: "frames", Value: Team{Share: 9}})
	apply("c3", SetTeam{Author: "bo", Team: "frames", Value: Team{Limit: -1}})
	apply("c4", SetTeam{Team: "frames"})
	apply("c5", SetQueue{Author: "bo", Queue: "no/slash", Value: Queue{Pool: "p"}})
	apply("c6", AddException{Author: "bo", ID: "x1", Scope: table.TeamKey("frames"), End: later, Value: map[string]int{"limit": 60}})
	apply("c7", AddException{Author: "bo", ID: "x1", Scope: table.TeamKey("frames"), Reason: "deep field", Value: map[string]int{"limit": 60}})
	apply("c8", AddException{Author: "bo", ID: "x1", Scope: table.TeamKey("frames"), Reason: "deep field", End: later, Value: map[string]int{"speed": 1}})
	apply("c9", AddException{Author: "bo", ID: "x1", Scope: table.TeamKey("frames"), Reason: "deep field", End: later, Value: map[string]int{"limit": 60}})
	writeEffectiveTeam(&b, &m, now)
	apply("c10", RetireException{Author: "ana", ID: "x2", Reason: "over"})
	apply("c11", RetireException{Author: "ana", ID: "x1", Reason: "over"})
	writeEffectiveTeam(&b, &m, now)
	apply("c12", GrantKey{Author: "ana", Team: "frames", Digest: digest})
	apply("c13", GrantKey{Author: "ana", Team: "surveys", Digest: digest})
	apply("c14", GrantKey{Author: "ana", Team: "frames", Digest: "the key"})
	apply("c15", WithdrawKey{Author: "bo", Team: "frames", Digest: digest, Reason: "leaked"})
	apply("c16", GrantKey{Author: "ana", Team: "frames", Digest: digest})
	apply("c17", WithdrawKey{Author: "bo", Team: "frames", Digest: core.Digest("never granted")})
	apply("c18", GrantKey{Author: "ana", Team: "frames", Digest: core.Digest("never granted")})
	apply("c19", AttestZone{Author: "bo", Zone: "zone_c", Down: true})
	apply("c20", AttestZone{Author: "bo", Zone: "zone_c", Down: true, Reason: "power cut, all VMs off"})
	golden.Assert(t, b.String(), "session.golden")
}

func writeEffectiveTeam(b *strings.Builder, m *table.Memory, now time.Time) {
	var v View
	if _, err := v.Apply(Delta{Rows: m.Scan("")}, FromTable); err != nil {
		fmt.Fprintf(b, "  %v\n", err)
	}
	team, ok := v.Team(now, "frames")
	fmt.Fprintf(b, "in force for frames: %+v %t\n", team, ok)
}
