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
	keyRingCount = 6
	stepCount    = 400
)

// keyRingComparison runs the same events on two sets of key rings: the full rings exchange
// complete summaries, the compact rings exchange Told messages, which omit redundant
// contacts.
type keyRingComparison struct {
	r                       *rand.Rand
	now                     time.Time
	fullRings, compactRings []*key.Keyring
	transform               func(Told) Told
}

func newKeyRingComparison(seed uint64, transform func(Told) Told) *keyRingComparison {
	c := &keyRingComparison{r: rand.New(rand.NewPCG(seed, 8)), now: spreadStart, transform: transform}
	for i := range keyRingCount {
		ring := func() *key.Keyring {
			return &key.Keyring{Zone: spreadZones[i%len(spreadZones)], Zones: spreadZones, Started: spreadStart}
		}
		c.fullRings, c.compactRings = append(c.fullRings, ring()), append(c.compactRings, ring())
	}
	return c
}

func (c *keyRingComparison) step() {
	c.now = c.now.Add(time.Duration(c.r.IntN(500)) * time.Millisecond)
	i, sender := c.r.IntN(keyRingCount), c.r.IntN(keyRingCount)
	switch c.r.IntN(8) {
	case 0:
		c.fullRings[i].RecordTableRead(c.now)
		c.compactRings[i].RecordTableRead(c.now)
	case 1, 2:
		zone := c.fullRings[sender].Zone
		c.fullRings[i].RecordZoneContact(zone, c.now)
		c.compactRings[i].RecordZoneContact(zone, c.now)
	default:
		told := c.transform(newTold(config.Delta{}, c.compactRings[sender].Summary()))
		c.fullRings[i].Merge(c.fullRings[sender].Summary(), true, time.Second/4)
		c.compactRings[i].Merge(told.summary(0), true, time.Second/4)
	}
}

// firstDifference returns the first step after which the evidence of a full ring and of
// its compact counterpart differ, or -1.
func (c *keyRingComparison) firstDifference() int {
	for step := range stepCount {
		c.step()
		for i := range c.fullRings {
			same := c.fullRings[i].CompleteAsOf().Equal(c.compactRings[i].CompleteAsOf()) && c.fullRings[i].Summary().Joined == c.compactRings[i].Summary().Joined
			if !same {
				return step
			}
		}
	}
	return -1
}

// TestToldKeepsRequiredContacts checks that rings that exchange Told messages always have
// the same evidence, and the same Joined, as rings that exchange complete summaries.
// Told omits the contacts that its table evidence covers. If it omitted a contact that is
// needed, entries that can't reach the table would refuse their callers with keys_stale.
// As a control, the test also omits a contact that isn't covered, and checks that this
// is detected for some seeds.
func TestToldKeepsRequiredContacts(t *testing.T) {
	const seeds = 200
	detected := 0
	for seed := range uint64(seeds) {
		step := newKeyRingComparison(seed, func(t Told) Told { return t }).firstDifference()
		assert.Equal(t, step, -1, "seed %d: evidence differs after the step", seed)
		withoutContact := func(t Told) Told {
			delete(t.Contacts, spreadZones[0])
			return t
		}
		if newKeyRingComparison(seed, withoutContact).firstDifference() >= 0 {
			detected++
		}
	}
	t.Logf("contact with zone %s omitted: evidence differs for %d of %d seeds", spreadZones[0], detected, seeds)
	assert.Assert(t, detected > 0, "omitting a required contact was not detected")
}

// TestEvidenceRequiresWithdrawals checks that evidence isn't used without the withdrawals
// that it depends on. zb can't reach the table, and an entry of za has received a
// withdrawal. The messages that list it are lost on the way to zb, while those without
// lists arrive. If zb used their evidence, it would accept the withdrawn key. Instead,
// its list must become stale, so that it refuses the key.
func TestEvidenceRequiresWithdrawals(t *testing.T) {
	accepted := func(skipWithdrawalCheck bool) bool {
		f := newSpreadFleet(rand.New(rand.NewPCG(1, 9)), spreadZones[:2], 1, false)
		f.apply(t, "team", config.SetTeam{Author: "ana", Team: spreadTeam, Value: config.Team{Share: 1, Limit: 4}})
		f.apply(t, "leaked", config.GrantKey{Author: "ana", Team: spreadTeam, Digest: leakedKey})
		sender, receiver := f.entries[0], f.entries[1]
		receiver.spread.skipWithdrawalCheck = skipWithdrawalCheck
		f.advanceSecond()
		f.advanceSecond()
		receiver.reachesTable = false
		sender.config.Withdraw(key.Withdrawal{Digest: leakedKey, Team: spreadTeam, Author: "ana"})
		f.drop = func(to *spreadEntry, t Told) bool { return to != receiver || len(t.Withdrawals) > 0 }
		for range 30 {
			f.now = f.now.Add(time.Second)
			// The sender reads the table, in which the withdrawal isn't recorded yet.
			assert.NilError(t, sender.config.ApplyFromTable(config.Delta{Version: sender.config.Version()}, f.now))
			sender.spread.Round(context.Background())
		}
		code, ok := receiver.config.CheckKey(f.now, spreadTeam, leakedKey)
		return ok || code != core.CodeKeysStale
	}
	assert.Assert(t, !accepted(false))
	assert.Assert(t, accepted(true), "without the check, the withdrawn key must still be accepted")
}

// TestSpreadListsWithdrawalsOnce checks that no message lists the withdrawals once all
// entries hold them, and that a key that is withdrawn later is listed again. Otherwise
// the relays' messages would grow during a table outage in which many keys are withdrawn.
func TestSpreadListsWithdrawalsOnce(t *testing.T) {
	f := newFleetWithKeys(t, rand.New(rand.NewPCG(1, 10)), false)
	f.restrictTable(nil)
	for _, digest := range []core.KeyDigest{leakedKey, core.Digest("later")} {
		f.randomLiveEntry(f.r).config.Withdraw(key.Withdrawal{Digest: digest, Team: spreadTeam, Author: "ana"})
		f.withdrawalLists = 0
		assert.Assert(t, f.secondsUntil(func(e *spreadEntry) bool {
			code, _ := e.config.CheckKey(f.now, spreadTeam, digest)
			return code == core.CodeKeyWithdrawn
		}) <= 6)
		assert.Assert(t, f.withdrawalLists > 0)
		f.advanceSecond()
		f.withdrawalLists = 0
		for range 10 {
			f.advanceSecond()
		}
		assert.Equal(t, f.withdrawalLists, 0)
	}
}
