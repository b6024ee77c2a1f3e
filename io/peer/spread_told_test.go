package peer

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/key"
)

const (
	toldRings = 6
	toldSteps = 400
)

// toldWorld is the same entries twice: whole ones tell each other all of their
// summaries, brief ones what Told leaves of them.
type toldWorld struct {
	r            *rand.Rand
	now          time.Time
	whole, brief []*key.Ring
	cut          func(Told) Told
}

func newToldWorld(seed uint64, cut func(Told) Told) *toldWorld {
	w := &toldWorld{r: rand.New(rand.NewPCG(seed, 8)), now: spreadStart, cut: cut}
	for i := range toldRings {
		ring := func() *key.Ring {
			return &key.Ring{Zone: spreadZones[i%len(spreadZones)], Zones: spreadZones, Started: spreadStart}
		}
		w.whole, w.brief = append(w.whole, ring()), append(w.brief, ring())
	}
	return w
}

func (w *toldWorld) step() {
	w.now = w.now.Add(time.Duration(w.r.IntN(500)) * time.Millisecond)
	i, teller := w.r.IntN(toldRings), w.r.IntN(toldRings)
	switch w.r.IntN(8) {
	case 0:
		w.whole[i].Complete(w.now)
		w.brief[i].Complete(w.now)
	case 1, 2:
		zone := w.whole[teller].Zone
		w.whole[i].RecordZoneContact(zone, w.now)
		w.brief[i].RecordZoneContact(zone, w.now)
	default:
		told := w.cut(newTold(config.Delta{}, w.brief[teller].Summary()))
		w.whole[i].Merge(w.whole[teller].Summary(), true, time.Second/4)
		w.brief[i].Merge(told.summary(0), true, time.Second/4)
	}
}

// differ returns the first step after which an entry's evidence differs, or -1.
func (w *toldWorld) differ() int {
	for step := range toldSteps {
		w.step()
		for i := range w.whole {
			same := w.whole[i].CompleteAsOf().Equal(w.brief[i].CompleteAsOf()) && w.whole[i].Summary().Joined == w.brief[i].Summary().Joined
			if !same {
				return step
			}
		}
	}
	return -1
}

// Told leaves out the contacts that its table evidence covers. Were one needed, entries
// without the table would lose evidence that they have today and refuse their callers
// with keys_stale. Held against rings that tell each other all: never another evidence,
// nor another say for the own zone. With a contact left out that isn't covered it differs.
func TestToldLosesNoEvidence(t *testing.T) {
	const worlds = 200
	red := 0
	for seed := range uint64(worlds) {
		step := newToldWorld(seed, func(t Told) Told { return t }).differ()
		assert.Equal(t, step, -1, "seed %d: evidence differs after this step", seed)
		uncovered := func(t Told) Told {
			delete(t.Contacts, spreadZones[0])
			return t
		}
		if newToldWorld(seed, uncovered).differ() >= 0 {
			red++
		}
	}
	t.Logf("zone %s never told: %d of %d seeds red", spreadZones[0], red, worlds)
	assert.Assert(t, red > 0, "the contacts are not needed")
}

// A withdrawn key would go on working at an entry that is told of fresh evidence but
// not of the withdrawal: the table is down, one entry of za was told, and its list gets
// lost each time on the way to zb, while the quiet messages arrive. Within the trust
// that zb had, its entries must refuse the key as stale.
func TestSpreadEvidenceNeedsWithdrawals(t *testing.T) {
	accepted := func(anyEvidence bool) bool {
		f := newSpreadFleet(rand.New(rand.NewPCG(1, 9)), spreadZones[:2], 1, false)
		f.apply(t, "team", config.SetTeam{Author: "ana", Team: spreadTeam, Value: config.Team{Share: 1, Limit: 4}})
		f.apply(t, "leaked", config.GrantKey{Author: "ana", Team: spreadTeam, Digest: leakedKey})
		teller, other := f.entries[0], f.entries[1]
		other.spread.anyEvidence = anyEvidence
		f.second()
		f.second()
		other.reaches = false
		teller.config.Withdraw(key.Withdrawal{Digest: leakedKey, Team: spreadTeam, Author: "ana"})
		f.lost = func(to *spreadEntry, t Told) bool { return to != other || len(t.Withdrawals) > 0 }
		for range 30 {
			f.now = f.now.Add(time.Second)
			// The teller's contact with the table, while the record of the withdrawal
			// doesn't take effect there.
			assert.NilError(t, teller.config.FromTable(config.Delta{Version: teller.config.Version()}, f.now))
			teller.spread.Round(context.Background())
		}
		code, ok := other.config.CheckKey(f.now, spreadTeam, leakedKey)
		return ok || code != core.CodeKeysStale
	}
	assert.Assert(t, !accepted(false))
	assert.Assert(t, accepted(true), "red: the safeguard is not needed")
}

// An outage of the table in which many keys are withdrawn must not fill the relays'
// messages: once all entries hold the withdrawals, no message lists them again, and a
// key that is withdrawn later is listed again.
func TestSpreadListsWithdrawalsOnce(t *testing.T) {
	f := spreadRun(t, rand.New(rand.NewPCG(1, 10)), false)
	f.reachTable(nil)
	for _, digest := range []core.KeyDigest{leakedKey, core.Digest("later")} {
		f.anyAlive(f.r).config.Withdraw(key.Withdrawal{Digest: digest, Team: spreadTeam, Author: "ana"})
		f.lists = 0
		assert.Assert(t, f.until(func(e *spreadEntry) bool {
			code, _ := e.config.CheckKey(f.now, spreadTeam, digest)
			return code == core.CodeKeyWithdrawn
		}) <= 6)
		assert.Assert(t, f.lists > 0)
		f.second()
		f.lists = 0
		for range 10 {
			f.second()
		}
		assert.Equal(t, f.lists, 0)
	}
}
