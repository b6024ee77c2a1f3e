package config

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// newFleetTable returns a table with the configuration of a fleet: teams with three keys
// each, and pools with two queues each.
func newFleetTable(teams, pools int) *table.Memory {
	var m table.Memory
	var t table.Transaction
	set := func(key table.Key, value any) { _ = t.Set(key, value) }
	set(table.ConfigDefaults, Defaults{Share: 1, Limit: 100, MaxUnavailable: 1, MaxQueued: 100, MaxBody: 1 << 20})
	set(table.ConfigHead, Head{Version: 1, Change: "change-0001"})
	for i := range teams {
		team := core.TeamID(fmt.Sprintf("team-%04d", i))
		set(table.TeamKey(team), Team{Share: i, Limit: 200})
		for k := range 3 {
			set(table.KeyDigestKey(core.Digest(fmt.Sprint(team, k))), Key{Team: team})
		}
	}
	for i := range pools {
		pool := core.PoolID(fmt.Sprintf("pool-%03d", i))
		set(table.PoolConfigKey(pool), Pool{MaxUnavailable: 2})
		set(table.QueueKey(core.QueueID(pool)+"-a"), Queue{Pool: pool, MaxQueued: 100})
		set(table.QueueKey(core.QueueID(pool)+"-b"), Queue{Pool: pool, MaxQueued: 100})
	}
	_ = m.Transact(t)
	return &m
}

var fleetSizes = []struct{ teams, pools int }{{62, 22}, {155, 54}, {310, 108}, {620, 215}}

// BenchmarkViewMemory measures the memory of an entry's view, and the size of the first
// delta that the entry fetches.
func BenchmarkViewMemory(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("teams=%d/pools=%d", size.teams, size.pools), func(b *testing.B) {
			rows := newFleetTable(size.teams, size.pools).Scan("")
			data, _ := json.Marshal(rows)
			before := heapBytes()
			var v *View
			for b.Loop() {
				v = &View{}
				var own []table.Row
				_ = json.Unmarshal(data, &own)
				_, _ = v.Apply(Delta{Version: 1, Rows: own}, FromTable)
			}
			b.ReportMetric(float64(heapBytes()-before), "B")
			b.ReportMetric(float64(len(data)), "B-first-delta")
			runtime.KeepAlive(v)
		})
	}
}

// BenchmarkChange measures one change: the sizes of its transaction and of its delta.
func BenchmarkChange(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("teams=%d/pools=%d", size.teams, size.pools), func(b *testing.B) {
			m := newFleetTable(size.teams, size.pools)
			var v View
			_, _ = v.Apply(Delta{Version: 1, Rows: m.Scan("")}, FromTable)
			var writtenBytes, deltaBytes, n int
			for b.Loop() {
				n++
				c := SetTeam{Author: "ana", Team: "team-0001", Value: Team{Share: 1, Limit: core.Slots(n % 1000)}}
				id := core.ChangeID(fmt.Sprintf("change-%04d", n))
				rows := Rows{}
				for _, key := range RequiredKeys(c, id) {
					rows[key] = m.Read(key)
				}
				t, _ := Plan(c, id, testStart, rows)
				data, _ := json.Marshal(t)
				writtenBytes = len(data)
				_ = m.Transact(t)
				d := Delta{Base: v.Version(), Version: v.Version() + 1, Rows: []table.Row{m.Read(table.ConfigHead), m.Read(c.Key())}}
				_, _ = v.Apply(d, FromTable)
				data, _ = json.Marshal(v.DeltaSince(d.Base))
				deltaBytes = len(data)
			}
			b.ReportMetric(float64(writtenBytes), "B-written")
			b.ReportMetric(float64(deltaBytes), "B-delta")
		})
	}
}

// BenchmarkTeam measures the lookup of a team, which is on the request path.
func BenchmarkTeam(b *testing.B) {
	var v View
	_, _ = v.Apply(Delta{Version: 1, Rows: newFleetTable(620, 215).Scan("")}, FromTable)
	for b.Loop() {
		_, _ = v.Team(testStart, "team-0001")
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkDeltaSince measures the delta for a peer that is up to date.
func BenchmarkDeltaSince(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("teams=%d/pools=%d", size.teams, size.pools), func(b *testing.B) {
			var v View
			_, _ = v.Apply(Delta{Version: 1, Rows: newFleetTable(size.teams, size.pools).Scan("")}, FromTable)
			for b.Loop() {
				_ = v.DeltaSince(1)
			}
		})
	}
}
