package limit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Guards against an allotment that needs a move but isn't evaluated: others would wait
// for slots for up to a minute, or indefinitely for those of a zone attested to be
// down. Faults are injected as in TestRunningStaysWithinLimit, with pauses in the load
// so that allotments become quiet. An allotment that isn't evaluated within
// decideInterval must not need a move if it were evaluated.
func TestQuietAllotmentsNeedNoMove(t *testing.T) {
	quiet := 0
	for seed := range uint64(testSeeds) {
		w := newSimulation(seed, disabledSafeguards{}, true)
		for i := range testSteps {
			w.noNewWork = i%600 >= 100
			if i%400 == 199 {
				w.attest("z0", i%800 == 199)
			}
			w.step()
			for _, n := range w.entries {
				quiet += w.checkQuietAllotments(t, seed, n)
			}
		}
	}
	t.Logf("%d seeds, %d evaluations skipped, none of which needed a move", testSeeds, quiet)
	assert.Assert(t, quiet > testSeeds*20)
}

// checkQuietAllotments checks the entry's allotments that aren't evaluated soon and
// returns their number.
func (w *simulation) checkQuietAllotments(t *testing.T, seed uint64, n *testEntry) int {
	quiet := 0
	for team, a := range n.ledger.teams {
		if w.now.Before(n.pausedUntil) || !a.decideAt.After(w.now.Add(decideInterval)) {
			continue
		}
		quiet++
		d := n.ledger.draft(w.now, a)
		assert.Assert(t, !d.worthwhile, "seed %d, entry %s at %s: team %s needs a move but is not evaluated until %s", seed, n.ledger.Self, w.now, team, a.decideAt)
	}
	return quiet
}

// attest sends an operator's attestation about a zone to all entries.
func (w *simulation) attest(z core.ZoneID, down bool) {
	for _, n := range w.entries {
		n.inbox = append(n.inbox, ZoneDown{Zone: z, Down: down, Since: w.now})
	}
}

// BenchmarkIdle measures one second of an entry that has slots of each team's limit and
// runs nothing, including the driver's rounds and its reports on 7 zones.
func BenchmarkIdle(b *testing.B) {
	for _, teams := range []int{6, 60, 620} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			d := newDemandSimulation(teams, 1, 1, disabledSafeguards{})
			l := d.ledgers[0]
			for _, team := range d.teams {
				l.RecordDemand(d.now, team)
			}
			d.settle(l)
			for b.Loop() {
				for range 10 {
					d.now = d.now.Add(100 * time.Millisecond)
					for z := range 7 {
						d.execute(l, l.Handle(d.now, ZoneDown{Zone: core.ZoneID(fmt.Sprint("z", z))}))
					}
					d.idleRound(l)
				}
				d.execute(l, l.Handle(d.now, Polled{Sent: d.now, Rows: d.table.Changes(table.PrefixAllotment, d.table.Revision())}))
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N), "us/s")
		})
	}
}

// settle performs the initial moves and waits until the demand for them has expired.
func (d *demandSimulation) settle(l *Ledger) {
	for range 100 {
		d.now = d.now.Add(100 * time.Millisecond)
		d.driverRound(l)
	}
}

// idleRound performs the driver's round for an unchanged configuration head.
func (d *demandSimulation) idleRound(l *Ledger) { d.execute(l, l.Handle(d.now, Tick{})) }
