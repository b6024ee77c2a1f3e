package limit

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// demandSimulation simulates a fleet of entries with rotating demand: each team in turn
// bursts to five times its mean and is at a twentieth of its mean otherwise.
type demandSimulation struct {
	r               *rand.Rand
	now             time.Time
	table           table.Memory
	ledgers         []*Ledger
	polledRevisions []table.Revision
	teams           []core.TeamID
	limits          map[core.TeamID]core.Slots
	sentMoves       int
	conflicts       int
	starts          int
	refused         int
	requestCount    int
}

const (
	demandLimit = 240
	// demandTick is coarser than the driver's interval, to keep the benchmark short.
	demandTick    = 250 * time.Millisecond
	demandBurst   = 8 * time.Second
	demandRunTime = 2 * time.Second
)

func newDemandSimulation(teams, zones, perZone int, disabled disabledSafeguards) *demandSimulation {
	d := &demandSimulation{r: rand.New(rand.NewPCG(1, 8)), now: testStart, limits: map[core.TeamID]core.Slots{}}
	for i := range teams {
		team := core.TeamID(fmt.Sprintf("team%04d", i))
		d.teams = append(d.teams, team)
		d.limits[team] = demandLimit
	}
	for i := range zones * perZone {
		zone := core.ZoneID(fmt.Sprint("z", i/perZone))
		self := core.NewEntryID(fmt.Sprintf("e%02d", i), d.now)
		d.ledgers = append(d.ledgers, &Ledger{Self: self, Zone: zone, disabled: disabled})
		d.polledRevisions = append(d.polledRevisions, 0)
	}
	d.deliverMembers()
	return d
}

// deliverMembers tells each entry the members of its zone, all of which have just
// started.
func (d *demandSimulation) deliverMembers() {
	members := make(map[core.ZoneID][]core.EntryID)
	for _, l := range d.ledgers {
		members[l.Zone] = append(members[l.Zone], l.Self)
	}
	zones := slices.Sorted(maps.Keys(members))
	for _, l := range d.ledgers {
		l.Handle(d.now, Members{Entries: members[l.Zone], Zones: zones})
	}
}

func (d *demandSimulation) tick() {
	d.now = d.now.Add(demandTick)
	for i, l := range d.ledgers {
		d.generateLoad(l)
		d.driverRound(l)
		if d.now.UnixMilli()%1000 == 0 {
			d.execute(l, l.Handle(d.now, Polled{Sent: d.now, Rows: d.table.Changes(table.PrefixAllotment, d.polledRevisions[i])}))
			d.polledRevisions[i] = d.table.Revision()
		}
	}
}

// driverRound performs one round of the ledger's driver, without a poll.
func (d *demandSimulation) driverRound(l *Ledger) {
	if d.table.Revision() == 0 {
		var t table.Transaction
		_ = t.Set(table.ConfigHead, struct{}{})
		_ = d.table.Transact(t)
	}
	d.execute(l, l.Handle(d.now, Limits{Head: d.table.Read(table.ConfigHead), Limits: d.limits}))
	d.execute(l, l.Handle(d.now, Tick{}))
}

func (d *demandSimulation) execute(l *Ledger, commands []Command) {
	for len(commands) > 0 {
		var next []Command
		for _, c := range commands {
			switch c := c.(type) {
			case ReadRows:
				next = append(next, l.Handle(d.now, RowsRead{
					Sent: d.now.Add(time.Millisecond), Team: c.Team, TeamRow: d.table.Read(table.TeamAllotmentKey(c.Team)),
					ZoneRow: d.table.Read(table.ZoneAllotmentKey(c.Team, l.Zone)),
				})...)
			case Move:
				d.sentMoves++
				m := Moved{ID: c.ID, Result: ResultApplied}
				if d.table.Transact(c.Transaction) != nil {
					d.conflicts++
					m.Result = ResultConflict
				}
				next = append(next, l.Handle(d.now, m)...)
			}
		}
		commands = next
	}
}

// generateLoad sends the entry its portion of each team's demand. A tenth of the teams
// burst at any time.
func (d *demandSimulation) generateLoad(l *Ledger) {
	burst := int(d.now.Sub(testStart) / demandBurst)
	for i, team := range d.teams {
		mean := float64(demandLimit) / 6 / float64(len(d.ledgers)) * float64(demandTick) / float64(demandRunTime)
		if i%10 == burst%10 {
			mean *= 5
		} else {
			mean /= 20
		}
		for mean > 0 && d.r.Float64() < mean {
			mean--
			d.requestCount++
			key := core.RequestKey{Team: team, ID: core.RequestID(fmt.Sprint(d.requestCount))}
			if l.Acquire(d.now, key, d.now.Add(demandRunTime)) {
				d.starts++
			} else {
				d.refused++
				l.RecordDemand(d.now, team)
			}
		}
	}
}

// BenchmarkMoves measures the table writes caused by moves of allotments under a
// rotating demand, during the first burst of each team and after two rotations, with
// and without reading the rows before each move.
func BenchmarkMoves(b *testing.B) {
	for _, size := range []struct{ teams, zones, perZone int }{{62, 3, 2}, {155, 7, 2}, {620, 7, 6}} {
		for _, disabled := range []disabledSafeguards{{}, {staleRows: true}} {
			b.Run(fmt.Sprintf("teams=%d/entries=%d/fresh=%t", size.teams, size.zones*size.perZone, !disabled.staleRows), func(b *testing.B) {
				d := newDemandSimulation(size.teams, size.zones, size.perZone, disabled)
				perSecond := int(time.Second / demandTick)
				cold, peak, coldWaits := 0, 0, 0.0
				for second := range 170 {
					before := d.sentMoves
					for range perSecond {
						d.tick()
					}
					peak = max(peak, d.sentMoves-before)
					if second == 79 {
						cold, coldWaits = d.sentMoves, 100*float64(d.refused)/float64(d.starts+d.refused)
					}
				}
				d.sentMoves, d.conflicts, d.starts, d.refused = 0, 0, 0, 0
				for b.Loop() {
					for range perSecond {
						d.tick()
					}
				}
				b.ReportMetric(float64(d.sentMoves)/float64(b.N), "transactions/s")
				b.ReportMetric(float64(cold)/80, "cold-transactions/s")
				b.ReportMetric(coldWaits, "%cold-waits")
				b.ReportMetric(float64(peak), "cold-peak/s")
				b.ReportMetric(float64(d.conflicts)/float64(b.N), "conflicts/s")
				b.ReportMetric(100*float64(d.refused)/float64(d.starts+d.refused), "%waits")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*len(d.ledgers)), "us/s/entry")
			})
		}
	}
}

// BenchmarkLedgerMemory measures the memory that a Ledger uses per team, with an
// allotment and ten running requests for each.
func BenchmarkLedgerMemory(b *testing.B) {
	for _, teams := range []int{62, 155, 620} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			var d *demandSimulation
			before := heapBytes()
			for b.Loop() {
				d = newDemandSimulation(teams, 1, 1, disabledSafeguards{})
				l := d.ledgers[0]
				for _, team := range d.teams {
					l.RecordDemand(d.now, team)
				}
				for range 3 {
					d.driverRound(l)
				}
				for i, team := range d.teams {
					for n := range 10 {
						key := core.RequestKey{Team: team, ID: core.RequestID(fmt.Sprint(i, "-", n))}
						l.teams[team].running.add(key, d.now.Add(time.Hour))
					}
				}
				d.table, d.limits, d.teams = table.Memory{}, nil, nil
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(teams), "B/team")
			runtime.KeepAlive(d)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
